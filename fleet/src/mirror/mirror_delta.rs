//! The records of a topic that were written since an offset.

use std::fmt;

use serde::de::{Error, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize};

use super::store_era::StoreEra;

/// The limit on what the records of one delta hold once decoded, in bytes: each of the three topics
/// is held a few times over in a process with 128 MB.
pub const MAX_COPY_BYTES: usize = 8 << 20;

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
    #[serde(deserialize_with = "limited_records")]
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

impl MirrorRecord {
    /// Returns what the record holds, in bytes.
    pub fn held_bytes(&self) -> usize {
        let value = self.value.as_ref().map_or(0, Vec::len);
        size_of::<Self>() + self.key.len() + value
    }
}

/// Decodes records until they hold too much; encoded ones may be far shorter.
fn limited_records<'de, D>(deserializer: D) -> Result<Vec<MirrorRecord>, D::Error>
where
    D: Deserializer<'de>,
{
    deserializer.deserialize_seq(LimitedRecords)
}

struct LimitedRecords;

impl<'de> Visitor<'de> for LimitedRecords {
    type Value = Vec<MirrorRecord>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("records")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<Self::Value, A::Error> {
        let mut records = Vec::new();
        let mut held = 0;
        while let Some(record) = items.next_element::<MirrorRecord>()? {
            held += record.held_bytes();
            if MAX_COPY_BYTES < held {
                return Err(A::Error::custom("the records hold too much"));
            }
            records.push(record);
        }
        Ok(records)
    }
}
