//! The records of a topic that were written since an offset.

use serde::{Deserialize, Serialize};

use super::store_era::StoreEra;

/// The newest records of a topic's keys that were written at or after an offset.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MirrorDelta {
    /// The era of the store that the sender has read.
    pub era: StoreEra,
    /// The offset after the last record that the sender has read.
    pub end: u64,
    /// Whether the delta holds every record of the topic, so that missing keys were removed.
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
    /// The value; `None` for a tombstone, which marks a removed key.
    pub value: Option<Vec<u8>>,
}
