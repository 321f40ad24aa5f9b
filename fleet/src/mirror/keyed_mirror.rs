//! A local copy of one keyed topic.

use std::collections::{HashMap, HashSet};

use super::mirror_change::{MirrorChange, ReplacedCopy};
use super::mirror_delta::{MirrorDelta, MirrorRecord};
use super::store_era::{StoreEra, StorePosition};

/// A local copy of one keyed topic: the newest record of each key up to an offset of one era.
///
/// A whole read of the store shows no removals, only the keys that are left. The copy therefore
/// holds the removals from an offset on, `history_start`, and answers a position before that with
/// all its records.
#[derive(Debug, Default)]
pub struct KeyedMirror {
    era: StoreEra,
    end: u64,
    history_start: u64,
    records: HashMap<String, (u64, Option<Vec<u8>>)>,
}

impl KeyedMirror {
    /// Returns the era and the offset after the last record applied.
    pub fn end(&self) -> StorePosition {
        StorePosition {
            era: self.era,
            offset: self.end,
        }
    }

    /// Returns the offset from which on the copy lacks no removal.
    pub fn history_start(&self) -> u64 {
        self.history_start
    }

    /// Returns the value of a key.
    pub fn value(&self, key: &str) -> Option<&[u8]> {
        self.records.get(key)?.1.as_deref()
    }

    /// Applies a delta.
    ///
    /// A complete delta also removes the keys that it lacks, unless it is older than the copy. One
    /// of a newer era replaces the copy, whatever its offsets.
    pub fn apply(&mut self, delta: MirrorDelta) -> MirrorChange {
        if delta.era < self.era {
            return MirrorChange::Outdated;
        }
        if delta.era == self.era {
            return MirrorChange::Updated(self.update(delta));
        }
        if !delta.complete {
            return MirrorChange::Incomplete;
        }
        MirrorChange::Replaced(self.replace(delta))
    }

    fn update(&mut self, delta: MirrorDelta) -> Vec<MirrorRecord> {
        let mut newer = Vec::new();
        if delta.complete && self.end <= delta.end {
            newer.extend(self.tombstones_of_missing_keys(&delta));
            if self.end < delta.end {
                self.history_start = delta.end;
            }
        }
        newer.extend(delta.records);
        newer.retain(|record| self.store_if_newer(record));
        self.end = self.end.max(delta.end);
        newer
    }

    fn replace(&mut self, delta: MirrorDelta) -> ReplacedCopy {
        let dropped = self.tombstones_of_missing_keys(&delta);
        let is_kept = |record: &&MirrorRecord| {
            let old = self.records.get(&record.key);
            old.is_some_and(|(_, value)| *value == record.value)
        };
        let n_kept = delta.records.iter().filter(is_kept).count();
        let is_first = self.records.is_empty();
        let old_era = std::mem::replace(&mut self.era, delta.era);
        self.end = delta.end;
        self.history_start = delta.end;
        self.records.clear();
        for record in delta.records.iter().chain(&dropped) {
            self.store_if_newer(record);
        }
        ReplacedCopy {
            old_era,
            is_first,
            records: delta.records,
            dropped,
            n_kept,
        }
    }

    /// Returns the newest records that were written at or after a position; the whole copy if the
    /// position is of another era, or lies before the removals that the copy holds.
    pub fn since(&self, from: StorePosition) -> MirrorDelta {
        let is_complete = from.era != self.era || from.offset < self.history_start;
        let records = self
            .records
            .iter()
            .filter(|(_, (offset, _))| is_complete || from.offset <= *offset)
            .map(|(key, (offset, value))| MirrorRecord {
                key: key.clone(),
                offset: *offset,
                value: value.clone(),
            })
            .collect();
        MirrorDelta {
            era: self.era,
            end: self.end,
            complete: is_complete,
            records,
        }
    }

    fn tombstones_of_missing_keys(&self, delta: &MirrorDelta) -> Vec<MirrorRecord> {
        let present_keys: HashSet<&str> = delta
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
