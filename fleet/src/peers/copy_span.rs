//! The part of a topic's history that a copy holds, and whether its holder reads on.

use serde::{Deserialize, Serialize};

use crate::mirror::StorePosition;

use super::message::{StoreTopic, TopicPosition};

/// The offsets between which an entry's copy of a topic holds every change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopySpan {
    /// The offset from which on the copy lacks no removal.
    pub start: u64,
    /// The offset after the last record read.
    pub end: u64,
    /// Whether the last read of the store by this entry failed.
    pub fails: bool,
}

/// The spans of an entry's copies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopySpans {
    /// That of the operators' topic.
    pub operator: CopySpan,
    /// That of the targets' topic.
    pub targets: CopySpan,
}

impl CopySpan {
    /// Returns whether a statement about the newest changes, made from a copy with this span at a
    /// position, holds for a copy that ends at `end`: there is no gap between the two.
    ///
    /// A copy that is empty or of an older era has no part to miss: it gets all records at once.
    pub fn covers(&self, position: &TopicPosition, end: StorePosition) -> bool {
        let is_whole_needed = end.offset == 0 || end.era < position.changed_end.era;
        is_whole_needed || self.start <= end.offset
    }
}

impl CopySpans {
    /// Returns the span of a topic; `None` for one that heartbeats do not cover.
    pub fn span(&self, topic: StoreTopic) -> Option<CopySpan> {
        match topic {
            StoreTopic::Operator => Some(self.operator),
            StoreTopic::Targets => Some(self.targets),
            StoreTopic::Peers | StoreTopic::Suspects => None,
        }
    }
}
