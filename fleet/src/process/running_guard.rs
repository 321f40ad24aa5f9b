//! Counts a request at a target for as long as it runs there.

use crate::prelude::*;

use super::entry_state::EntryState;

/// Counts a request at a target until it is dropped.
pub(super) struct RunningGuard {
    state: Arc<EntryState>,
    target: Arc<str>,
}

impl RunningGuard {
    /// Counts the start of a request at a target.
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
        self.state.room.notify_one();
    }
}
