//! Counts the streams that wait for their first event.

use crate::prelude::*;
use crate::routing::StartEnd;

use super::request_run::CallContext;

/// The fraction of a caller's patience within which a stream is to begin.
const START_FRACTION: f64 = 0.5;

/// Counts a stream as waiting for its first event at a group until dropped.
pub(super) struct StartGuard {
    call: Arc<CallContext>,
    begun_at: Instant,
    end: StartEnd,
}

impl StartGuard {
    /// Counts a stream as waiting; given up if dropped without another end.
    pub(super) fn begin(call: &Arc<CallContext>) -> Self {
        let mut table = call.state.table.lock();
        table.limit_mut(&call.service).starts.begin();
        drop(table);
        Self {
            call: call.clone(),
            begun_at: Instant::now(),
            end: StartEnd::GivenUp,
        }
    }

    /// Ends the wait.
    pub(super) fn end(mut self, end: StartEnd) {
        self.end = end;
    }
}

impl Drop for StartGuard {
    fn drop(&mut self) {
        let now = Instant::now();
        let wait = now - self.begun_at;
        let allowed = self.call.route.patience().mul_f64(START_FRACTION);
        let mut table = self.call.state.table.lock();
        let starts = &mut table.limit_mut(&self.call.service).starts;
        starts.end(wait, allowed, self.end, now);
    }
}
