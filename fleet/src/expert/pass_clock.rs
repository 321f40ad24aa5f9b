//! How long a group's passes take.

use crate::prelude::*;

/// The least time from which the time of a pass is taken: a few passes.
const WINDOW: Duration = Duration::from_millis(300);

/// The time of a group's passes, from the passes that were begun.
#[derive(Debug, Default)]
pub struct PassClock {
    start: Option<(u64, Instant)>,
    pass_s: Option<f64>,
}

impl PassClock {
    /// Takes in the last pass that was begun at a time.
    pub fn observe(&mut self, step: u64, now: Instant) {
        let Some((first, since)) = self.start else {
            self.start = Some((step, now));
            return;
        };
        let elapsed = now.saturating_duration_since(since);
        if elapsed < WINDOW {
            return;
        }
        let passes = step.saturating_sub(first);
        // A group without work makes no passes; its last pace still tells most.
        if 0 < passes {
            self.pass_s = Some(elapsed.as_secs_f64() / passes as f64);
        }
        self.start = Some((step, now));
    }

    /// Returns the time of a pass, in seconds.
    pub fn pass_s(&self) -> Option<f64> {
        self.pass_s
    }
}
