//! The accepted versions that can still be recalled or sent to peers.

use std::collections::VecDeque;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::prelude::*;

use super::{
    BatchName, ChangeSummary, ConfigChange, ConfigPath, ConfigRecord, RecordNonce, VersionDigest,
};

/// The maximum number of versions in the history.
pub const MAX_HISTORY_VERSIONS: usize = 1_024;

/// An accepted record and the version that it created.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct AcceptedRecord {
    /// The offset of the record in the stream.
    pub offset: LogOffset,
    /// The version that the record created.
    pub number: VersionNumber,
    /// The digest of that version.
    pub digest: VersionDigest,
    /// The record.
    pub record: ConfigRecord,
}

/// An accepted record and the changes that undo it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct HistoryEntry {
    /// The accepted record.
    pub accepted: Arc<AcceptedRecord>,
    /// The inverse of each change, in the order of the changes.
    pub undo: Arc<Vec<ConfigChange>>,
    /// Whether the version can still be recalled.
    pub standing: EntryStanding,
}

/// Whether a version of the history can still be recalled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum EntryStanding {
    /// The version is in force.
    Standing,
    /// The version was recalled by this later version.
    Recalled(VersionNumber),
    /// The version is in force, but an earlier patch of its batch is no longer in the history.
    Partial,
}

impl HistoryEntry {
    /// Returns the batch of a patch, or `None` for recalls and upgrades.
    pub fn batch(&self) -> Option<&BatchName> {
        match &self.accepted.record {
            ConfigRecord::Patch { batch, .. } => Some(batch),
            _ => None,
        }
    }

    /// Returns the entries that the version changed.
    pub fn paths(&self) -> Vec<ConfigPath> {
        let mut paths: Vec<ConfigPath> = self.undo.iter().map(ConfigChange::path).collect();
        paths.sort();
        paths.dedup();
        paths
    }

    /// Returns a short description of the version.
    pub fn summary(&self) -> ChangeSummary {
        ChangeSummary {
            number: self.accepted.number,
            batch: self.accepted.record.batch().cloned(),
            author: self.accepted.record.author().cloned(),
            paths: self.paths(),
        }
    }

    /// Returns whether this is a patch that was not recalled.
    fn is_in_force(&self) -> bool {
        self.batch().is_some() && !matches!(self.standing, EntryStanding::Recalled(_))
    }
}

/// The most recently accepted versions, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(transparent)]
pub struct VersionHistory {
    entries: VecDeque<HistoryEntry>,
}

impl VersionHistory {
    /// Returns the entries, oldest first.
    pub fn entries(&self) -> impl DoubleEndedIterator<Item = &HistoryEntry> + ExactSizeIterator {
        self.entries.iter()
    }

    /// Returns the oldest version in the history.
    pub fn oldest(&self) -> Option<VersionNumber> {
        self.entries.front().map(|entry| entry.accepted.number)
    }

    /// Returns the entries accepted after `base`.
    pub fn since(&self, base: VersionNumber) -> impl Iterator<Item = &HistoryEntry> {
        self.entries
            .iter()
            .filter(move |entry| base < entry.accepted.number)
    }

    /// Returns the version that the record with `nonce` created.
    pub fn find(&self, nonce: &RecordNonce) -> Option<VersionNumber> {
        self.entries
            .iter()
            .rev()
            .find(|entry| entry.accepted.record.nonce() == Some(nonce))
            .map(|entry| entry.accepted.number)
    }

    /// Returns the patches of `batch`.
    pub fn of_batch<'a>(&'a self, batch: &'a BatchName) -> impl Iterator<Item = &'a HistoryEntry> {
        self.entries
            .iter()
            .filter(move |entry| entry.batch() == Some(batch))
    }

    /// Returns the patches of other batches after `first` that are in force and change one of
    /// `paths`.
    pub(super) fn later_patches(
        &self,
        first: VersionNumber,
        batch: &BatchName,
        paths: &[ConfigPath],
    ) -> Vec<ChangeSummary> {
        self.since(first)
            .filter(|entry| entry.is_in_force() && entry.batch() != Some(batch))
            .filter(|entry| entry.paths().iter().any(|path| paths.contains(path)))
            .map(|entry| {
                let mut summary = entry.summary();
                summary.paths.retain(|path| paths.contains(path));
                summary
            })
            .collect()
    }

    /// Adds an entry and drops the oldest one if the history is full.
    pub(super) fn push(&mut self, entry: HistoryEntry) {
        self.entries.push_back(entry);
        if self.entries.len() <= MAX_HISTORY_VERSIONS {
            return;
        }
        let Some(dropped) = self.entries.pop_front() else {
            return;
        };
        if let (true, Some(batch)) = (dropped.is_in_force(), dropped.batch()) {
            self.set_batch_standing(batch, EntryStanding::Partial);
        }
    }

    pub(super) fn set_batch_standing(&mut self, batch: &BatchName, standing: EntryStanding) {
        for entry in &mut self.entries {
            if entry.batch() == Some(batch) {
                entry.standing = standing;
            }
        }
    }
}
