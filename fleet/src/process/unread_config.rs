//! A configuration in the store that this entry cannot read.

use std::sync::atomic::Ordering;

use slog::warn;

use crate::peers::PeerTable;
use crate::prelude::*;

use super::entry_state::EntryState;

/// A configuration in the store that this entry cannot read.
///
/// The entry goes on by the version that it has in force, as all entries may be in this state at
/// once, but denies nothing by it. It takes no new connections once most entries have a newer
/// version in force.
#[derive(Debug, Default)]
pub(super) struct UnreadConfig {
    offset: Option<u64>,
}

impl UnreadConfig {
    /// Returns whether the newest configuration could not be read.
    pub(super) fn is_some(&self) -> bool {
        self.offset.is_some()
    }

    /// Records whether the newest configuration could be read.
    pub(super) fn observe(&mut self, offset: u64, is_read: bool, state: &EntryState) {
        self.offset = (!is_read).then_some(offset);
        state.metrics.unread_config.set(i64::from(!is_read));
    }

    /// Updates whether most entries, this one included, have a newer version in force.
    pub(super) fn compare(&self, peers: &PeerTable, state: &EntryState, now: Instant) {
        let version = state.version();
        let n_heard = peers.recent_heartbeats(now).count();
        let heartbeats = peers.recent_heartbeats(now);
        let n_newer = heartbeats
            .filter(|(_, _, heartbeat)| version < heartbeat.version)
            .count();
        let is_outdated = self.is_some() && n_heard + 1 < 2 * n_newer;
        if state.is_outdated.swap(is_outdated, Ordering::Relaxed) != is_outdated {
            warn!(state.log, "readiness by configuration"; "ready" => !is_outdated,
                "version" => version, "unread_offset" => self.offset,
                "entries_with_newer" => n_newer, "entries_heard" => n_heard);
        }
    }
}
