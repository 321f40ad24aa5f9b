//! Whether the store is away, as one process knows it.

use crate::prelude::*;

/// The age of the last known read of the store, by this entry or any peer, from which the store
/// counts as lost where this entry has failed to reach it since.
const STORE_LOST_AGE: Duration = Duration::from_millis(1_600);

/// Whether the store is away, as one process knows it.
///
/// That no peer tells of a read is no outage: peers fall silent, and do not vouch for a copy that is
/// behind. Only a failed call of this process shows one.
#[derive(Debug, Default)]
pub(super) struct StoreStatus {
    is_lost: bool,
    /// The latest time at which this entry or any peer is known to have read the store.
    known_at: Option<Instant>,
    /// The time of this process's last call that failed.
    failed_at: Option<Instant>,
    /// The time at which the store was regained after the last outage.
    regained_at: Option<Instant>,
}

/// A change of the status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StatusChange {
    /// The store is away; holds the age of the last known read.
    Lost(Duration),
    /// The store is back.
    Regained,
}

impl StoreStatus {
    /// Returns when the store was regained after the last outage.
    pub(super) fn regained_at(&self) -> Option<Instant> {
        self.regained_at
    }

    /// Records that a call of this process, made at a time, failed.
    pub(super) fn record_failure(&mut self, at: Instant) {
        self.failed_at = self.failed_at.max(Some(at));
    }

    /// Records an answer of the store before the records in it are applied: those that lapsed in an
    /// outage disappear in it.
    pub(super) fn record_answer(&mut self, now: Instant) {
        if self.is_lost {
            self.regained_at = Some(now);
        }
    }

    /// Updates the status by the latest read that is known.
    pub(super) fn update(
        &mut self,
        read_at: Option<Instant>,
        now: Instant,
    ) -> Option<StatusChange> {
        let before = self.known_at;
        let known_at = read_at.max(before)?;
        self.known_at = Some(known_at);
        let is_lost = known_at + STORE_LOST_AGE <= now && self.has_failed_since(known_at);
        // Detects an outage that ended between two updates.
        let was_lost = self.is_lost
            || before.is_some_and(|before| {
                before + STORE_LOST_AGE <= known_at && self.has_failed_since(before)
            });
        let is_new = is_lost && !self.is_lost;
        self.is_lost = is_lost;
        match (is_lost, was_lost) {
            (true, _) => is_new.then(|| StatusChange::Lost(now - known_at)),
            (false, true) => {
                self.regained_at = Some(now);
                Some(StatusChange::Regained)
            }
            (false, false) => None,
        }
    }

    fn has_failed_since(&self, at: Instant) -> bool {
        self.failed_at.is_some_and(|failed_at| at < failed_at)
    }
}
