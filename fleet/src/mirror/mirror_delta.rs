//! The records of a topic that changed since an offset.

use serde::{Deserialize, Serialize};

/// The newest records of a topic's keys that were written at or after an offset.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MirrorDelta {
    /// The offset after the last record that the sender had read.
    pub end: u64,
    /// Whether the records are all that the topic holds, so that other keys are gone.
    pub complete: bool,
    /// The records.
    pub records: Vec<MirrorRecord>,
}

/// One record of a keyed topic.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MirrorRecord {
    /// The key.
    pub key: String,
    /// The record's offset.
    pub offset: u64,
    /// The value; `None` where the key was removed.
    pub value: Option<Vec<u8>>,
}
