//! An entry's copy of one topic.

use crate::mirror::{KeyedMirror, MirrorRecord, StorePosition};
use crate::peers::CopySpan;
use crate::prelude::*;

/// How long a failed read counts: longer than an entry that goes on trying pauses.
const FAILURE_MEMORY: Duration = Duration::from_millis(2_500);

/// An entry's copy of one topic.
#[derive(Debug, Default)]
pub(super) struct TopicCopy {
    /// The newest record of each key.
    pub(super) mirror: KeyedMirror,
    changed_end: StorePosition,
    /// The time of this process's last read of the store.
    pub(super) read_at: Option<Instant>,
    /// When this process last failed to read the store, if it has not read it since.
    pub(super) read_failed_at: Option<Instant>,
    /// Since when peers have been ahead and nothing new came from them or the store.
    pub(super) behind_since: Option<Instant>,
    /// The latest time at which the store held nothing newer, as this process or a peer read.
    pub(super) confirmed_at: Option<Instant>,
}

impl TopicCopy {
    /// Returns the position after the last record that changed something.
    ///
    /// A whole read may return records from beyond its end, which lacks others from there. These
    /// count only once the copy reaches them.
    pub(super) fn changed_end(&self) -> StorePosition {
        self.changed_end.min(self.mirror.end())
    }

    /// Returns the offsets between which the copy holds every change, and whether this process fails
    /// to read on: one that does not try any more says no more of the store.
    pub(super) fn span(&self, now: Instant) -> CopySpan {
        let failed_at = self.read_failed_at;
        CopySpan {
            start: self.mirror.history_start(),
            end: self.mirror.end().offset,
            fails: failed_at.is_some_and(|at| now < at + FAILURE_MEMORY),
        }
    }

    /// Moves the end of the changes to that of a peer whose copy has been applied.
    pub(super) fn advance_to(&mut self, peer_end: StorePosition) {
        self.changed_end = self.changed_end.max(peer_end);
    }

    /// Records a read of the store that shows all that was written up to a time.
    pub(super) fn record_read(&mut self, at: Instant) {
        self.read_failed_at = None;
        self.read_at = self.read_at.max(Some(at));
        self.confirm(Some(at));
    }

    /// Records that the copy holds all that was written up to a time.
    pub(super) fn confirm(&mut self, at: Option<Instant>) {
        self.behind_since = None;
        self.confirmed_at = self.confirmed_at.max(at);
    }

    /// Records that a peer is ahead of the copy.
    pub(super) fn fall_behind(&mut self, now: Instant) {
        self.behind_since.get_or_insert(now);
    }

    /// Moves the end of the changes behind a record of the copy's era.
    pub(super) fn advance(&mut self, offset: u64) {
        let end = StorePosition {
            era: self.mirror.end().era,
            offset: offset + 1,
        };
        self.changed_end = self.changed_end.max(end);
    }

    /// Sets the end of the changes after the copy was replaced: each of its records counts as one,
    /// so that peers that have read the same records agree.
    pub(super) fn end_changes(&mut self, records: &[MirrorRecord]) {
        let end = records.iter().map(|record| record.offset + 1).max();
        self.changed_end = StorePosition {
            era: self.mirror.end().era,
            offset: end.unwrap_or_default(),
        };
    }
}
