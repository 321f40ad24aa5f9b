//! Tells of callers that leave before their response.

use slog::info;

use crate::prelude::*;

use super::entry_state::EntryState;

/// Logs and counts that a caller has left, if dropped before its request has a response.
pub(super) struct LeaveWatch {
    state: Arc<EntryState>,
    attempt_id: Arc<str>,
    received_at: Instant,
    has_response: bool,
}

impl LeaveWatch {
    /// Begins to watch a request.
    pub(super) fn new(
        state: &Arc<EntryState>,
        attempt_id: &Arc<str>,
        received_at: Instant,
    ) -> Self {
        Self {
            state: state.clone(),
            attempt_id: attempt_id.clone(),
            received_at,
            has_response: false,
        }
    }

    /// Ends the watch, as the request has a response.
    pub(super) fn end(mut self) {
        self.has_response = true;
    }
}

impl Drop for LeaveWatch {
    fn drop(&mut self) {
        if self.has_response || std::thread::panicking() {
            return;
        }
        info!(self.state.log, "caller left"; "request" => &*self.attempt_id,
            "after_ms" => self.received_at.elapsed().as_millis() as u64);
        let requests = &self.state.metrics.requests;
        requests.with_label_values(&["own", "left"]).inc();
    }
}
