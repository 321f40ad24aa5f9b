//! An entry's replica of the store without its tasks, and what it decodes.

use std::time::Duration;

use comfreyhead_fleet::catalog::RouteCatalog;
use comfreyhead_fleet::forward::HeaderNames;
use comfreyhead_fleet::prelude::*;
use comfreyhead_fleet::process::{Decoders, EntryState, ProcessBounds, StoreReplica};
use comfreyhead_fleet::routing::BudgetSettings;
use http::HeaderName;
use slog::{Discard, Logger, o};
use tokio::sync::watch;

/// Decodes a configuration that consists of its version.
fn decode_catalog(bytes: &[u8]) -> Result<RouteCatalog, String> {
    let text = std::str::from_utf8(bytes).map_err(|err| err.to_string())?;
    let version = text.parse().map_err(|_| format!("no version: {text}"))?;
    Ok(RouteCatalog {
        version,
        ..RouteCatalog::default()
    })
}

/// Decodes a target from "STATE PORT".
pub fn decode_target(id: &str, bytes: &[u8]) -> Result<TargetEntry, String> {
    let text = std::str::from_utf8(bytes).map_err(|err| err.to_string())?;
    let (state, port) = text.split_once(' ').ok_or("no port")?;
    Ok(TargetEntry {
        id: id.into(),
        service: "svc".into(),
        address: ([127, 0, 0, 1], port.parse().map_err(|_| "bad port")?).into(),
        zone: "a".into(),
        slots: 4,
        draining: state == "draining",
        started_ms: 7,
    })
}

/// An entry's replica without its tasks.
pub fn replica() -> (Arc<EntryState>, StoreReplica) {
    let name = |name| HeaderName::from_static(name);
    let names = HeaderNames {
        attempt_id: name("x-id"),
        deadline_ms: name("x-deadline"),
        expected_target: name("x-expect"),
        account: name("x-account"),
        signature: name("x-seal"),
        not_run: name("x-not-run"),
        limit: name("server-limit"),
        last_event_id: name("last-event-id"),
        prompt_parts: name("x-parts"),
        retry_after: http::header::RETRY_AFTER,
        key: http::header::AUTHORIZATION,
        key_scheme: "Token".into(),
    };
    let budget = BudgetSettings {
        window: Duration::from_secs(10),
        ratio: 0.2,
        slack: 100.0,
    };
    let bounds = ProcessBounds {
        budget,
        grace: Duration::from_secs(8),
    };
    let (_, bounds) = watch::channel(bounds);
    let log = Logger::root(Discard, o!());
    let state = Arc::new(EntryState::new(names, "a".into(), bounds, 1, log));
    let decoders = Decoders {
        catalog: decode_catalog,
        target: decode_target,
        catalog_key: "config",
    };
    let replica = StoreReplica::new(state.clone(), decoders);
    (state, replica)
}
