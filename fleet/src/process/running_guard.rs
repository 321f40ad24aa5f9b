//! Counts the requests in progress at a target.

use slog::info;

use crate::prelude::*;

use super::entry_state::EntryState;

/// Counts a request as running at a target until dropped.
pub(super) struct RunningGuard {
    state: Arc<EntryState>,
    target: Arc<str>,
    attempt_id: Arc<str>,
    begun_at: Instant,
    has_ended: bool,
}

impl RunningGuard {
    /// Counts a request as started at a target.
    pub(super) fn begin(state: &Arc<EntryState>, target: &Arc<str>, attempt_id: &Arc<str>) -> Self {
        state.table.lock().begin(target);
        Self {
            state: state.clone(),
            target: target.clone(),
            attempt_id: attempt_id.clone(),
            begun_at: Instant::now(),
            has_ended: false,
        }
    }

    /// Ends a run whose target has answered, or failed to.
    pub(super) fn end(mut self) {
        self.has_ended = true;
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.state.table.lock().end(&self.target);
        self.state.slot_freed.notify_one();
        if !self.has_ended {
            info!(self.state.log, "dispatch dropped"; "request" => &*self.attempt_id,
                "target" => &*self.target,
                "after_ms" => self.begun_at.elapsed().as_millis() as u64);
            let dispatches = &self.state.metrics.dispatches;
            dispatches.with_label_values(&["dropped"]).inc();
        }
    }
}
