//! Finds out whether a target ended while it ran a request.

use slog::{info, warn};

use crate::forward::{PromptParts, TargetCheck};
use crate::prelude::*;
use crate::routing::{SuspectKeys, TargetPick, name_hash};

use super::entry_state::EntryState;

/// A run of a request whose connection to the target has ended.
pub(super) struct EndedRun {
    pub(super) attempt_id: Arc<str>,
    pub(super) keys: SuspectKeys,
    pub(super) prompt_parts: PromptParts,
    pub(super) pick: TargetPick,
}

/// Checks whether the target of a run is still there, and holds its end against the request if not.
pub(super) async fn check_end(state: &EntryState, run: &EndedRun) -> TargetCheck {
    let check = state.pool.check(run.pick.address).await;
    info!(state.log, "target checked"; "request" => &*run.attempt_id,
        "target" => &*run.pick.id, "result" => ?check, "digest" => %run.keys.request,
        "parts" => %run.prompt_parts);
    // What leaves as announced ends by itself.
    let is_leaving = state.table.lock().is_leaving(&run.pick.id);
    if check.is_end() && !is_leaving {
        let target = name_hash(&run.pick.id);
        let now = Instant::now();
        let mut suspects = state.suspects.lock();
        let n_ends = suspects.record_end(&run.keys, target, run.pick.chosen_at, now);
        drop(suspects);
        warn!(state.log, "target ended"; "request" => &*run.attempt_id,
            "target" => &*run.pick.id, "digest" => %run.keys.request,
            "parts" => %run.prompt_parts, "ends" => n_ends);
        state.metrics.target_ends.inc();
        state.target_ended.notify_one();
    }
    check
}
