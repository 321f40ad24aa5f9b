//! An entry's copy of one topic.

use crate::mirror::{KeyedMirror, MirrorRecord, StorePosition};
use crate::prelude::*;

/// An entry's copy of one topic.
#[derive(Debug, Default)]
pub(super) struct TopicCopy {
    /// The newest record of each key.
    pub(super) mirror: KeyedMirror,
    /// The position after the last record that changed something.
    pub(super) changed_end: StorePosition,
    /// The time of this process's last read of the store.
    pub(super) read_at: Option<Instant>,
}

impl TopicCopy {
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
