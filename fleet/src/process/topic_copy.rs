//! An entry's copy of one topic.

use crate::mirror::{KeyedMirror, MirrorRecord, StorePosition};
use crate::peers::CopySpan;
use crate::prelude::*;

/// An entry's copy of one topic.
#[derive(Debug, Default)]
pub(super) struct TopicCopy {
    /// The newest record of each key.
    pub(super) mirror: KeyedMirror,
    changed_end: StorePosition,
    /// The time of this process's last read of the store.
    pub(super) read_at: Option<Instant>,
    /// Whether this process's last try to read the store failed.
    pub(super) read_fails: bool,
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

    /// Returns the offsets between which the copy holds every change.
    pub(super) fn span(&self) -> CopySpan {
        CopySpan {
            start: self.mirror.history_start(),
            end: self.mirror.end().offset,
            fails: self.read_fails,
        }
    }

    /// Moves the end of the changes to that of a peer whose copy has been applied.
    pub(super) fn advance_to(&mut self, peer_end: StorePosition) {
        self.changed_end = self.changed_end.max(peer_end);
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
