//! Counts the requests in progress at a target.

use crate::prelude::*;

use super::entry_state::EntryState;

/// Counts a request as running at a target until dropped.
pub(super) struct RunningGuard {
    state: Arc<EntryState>,
    target: Arc<str>,
}

impl RunningGuard {
    /// Counts a request as started at a target.
    pub(super) fn begin(state: &Arc<EntryState>, target: &Arc<str>) -> Self {
        state.table.lock().begin(target);
        Self {
            state: state.clone(),
            target: target.clone(),
        }
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.state.table.lock().end(&self.target);
        self.state.slot_freed.notify_one();
    }
}
