//! A copy of one keyed topic.

use std::collections::HashMap;

use super::mirror_delta::{MirrorDelta, MirrorRecord};

/// A copy of one keyed topic: the newest record of each key up to an offset.
#[derive(Debug, Default)]
pub struct KeyedMirror {
    end: u64,
    records: HashMap<String, (u64, Option<Vec<u8>>)>,
}

impl KeyedMirror {
    /// Returns the offset after the last record taken in.
    pub fn end(&self) -> u64 {
        self.end
    }

    /// Takes in records and returns those that are newer than what was known of their keys.
    ///
    /// A complete delta also removes the keys that it lacks.
    pub fn apply(&mut self, delta: MirrorDelta) -> Vec<MirrorRecord> {
        let mut news = Vec::new();
        if delta.complete && self.end <= delta.end {
            news.extend(self.missing_from(&delta));
        }
        news.extend(delta.records);
        news.retain(|record| self.store(record));
        self.end = self.end.max(delta.end);
        news
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

    fn missing_from(&self, delta: &MirrorDelta) -> Vec<MirrorRecord> {
        let kept: std::collections::HashSet<&str> = delta
            .records
            .iter()
            .map(|record| record.key.as_str())
            .collect();
        self.records
            .iter()
            .filter(|(key, (_, value))| value.is_some() && !kept.contains(key.as_str()))
            .map(|(key, _)| MirrorRecord {
                key: key.clone(),
                // The removal itself may have expired; it lies before the end that was read.
                offset: delta.end.saturating_sub(1),
                value: None,
            })
            .collect()
    }

    fn store(&mut self, record: &MirrorRecord) -> bool {
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
