//! Fixture: the engine specification of a small group.

use std::time::Duration;

use comfreyhead_fleet::catalog::EngineSpec;

/// Returns an engine specification with published times and sizes, but few experts.
pub fn small_engines() -> EngineSpec {
    EngineSpec {
        slots: 12,
        sets: 1,
        experts: 16,
        places: 5,
        headroom: 2,
        expert_mb: 880.0,
        link_mbps: 180_000.0,
        form_time: Duration::from_millis(600),
        base_pass: Duration::from_millis(29),
        pause: Duration::from_millis(120),
    }
}
