//! A local copy of one keyed topic.

use std::collections::HashMap;

use super::mirror_delta::{MirrorDelta, MirrorRecord};

/// A local copy of one keyed topic: the newest record of each key up to an offset.
#[derive(Debug, Default)]
pub struct KeyedMirror {
    end: u64,
    records: HashMap<String, (u64, Option<Vec<u8>>)>,
}

impl KeyedMirror {
    /// Returns the offset after the last record applied.
    pub fn end(&self) -> u64 {
        self.end
    }

    /// Applies records and returns those that are newer than the stored ones of their keys.
    ///
    /// A complete delta also removes the keys that it lacks, unless it is older than the copy.
    pub fn apply(&mut self, delta: MirrorDelta) -> Vec<MirrorRecord> {
        let mut newer = Vec::new();
        if delta.complete && self.end <= delta.end {
            newer.extend(self.tombstones_of_missing_keys(&delta));
        }
        newer.extend(delta.records);
        newer.retain(|record| self.store_if_newer(record));
        self.end = self.end.max(delta.end);
        newer
    }

    /// Returns the newest records that were written at or after an offset.
    pub fn since(&self, from: u64) -> MirrorDelta {
        let records = self
            .records
            .iter()
            .filter(|(_, (offset, _))| from <= *offset)
            .map(|(key, (offset, value))| MirrorRecord {
                key: key.clone(),
                offset: *offset,
                value: value.clone(),
            })
            .collect();
        MirrorDelta {
            end: self.end,
            complete: false,
            records,
        }
    }

    fn tombstones_of_missing_keys(&self, delta: &MirrorDelta) -> Vec<MirrorRecord> {
        let present_keys: std::collections::HashSet<&str> = delta
            .records
            .iter()
            .map(|record| record.key.as_str())
            .collect();
        self.records
            .iter()
            .filter(|(key, (_, value))| value.is_some() && !present_keys.contains(key.as_str()))
            .map(|(key, _)| MirrorRecord {
                key: key.clone(),
                // The real tombstone may have expired; it was written before the end of the read.
                offset: delta.end.saturating_sub(1),
                value: None,
            })
            .collect()
    }

    fn store_if_newer(&mut self, record: &MirrorRecord) -> bool {
        if let Some((offset, _)) = self.records.get(&record.key)
            && record.offset <= *offset
        {
            return false;
        }
        self.records
            .insert(record.key.clone(), (record.offset, record.value.clone()));
        true
    }
}
