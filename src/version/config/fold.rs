//! The deterministic fold over the configuration stream.

use std::collections::VecDeque;

use serde_json::Value;

use crate::prelude::*;

use super::{
    AcceptedRecord, AppendStatus, AuthorName, BatchName, ConfigChange, ConfigContent, ConfigPath,
    ConfigRecord, ConfigRejection, ConfigSnapshot, ConfigVersion, EntryStanding, FIRST_FORMAT,
    FoldOutcome, HistoryEntry, NEWEST_FORMAT, NonceOutcome, RecordError, RecordNonce, SkipReason,
    VersionDigest, VersionHistory, validate,
};

/// The number of recent rejections kept for operators whose append response was lost.
const MAX_REJECTIONS: usize = 256;

/// Folds the records of the configuration stream into the current version.
///
/// The state depends only on the accepted records, so a process that reads the log and one
/// that receives the accepted records from a peer reach the same state. Stream offsets are
/// contiguous; after a gap the fold waits for a snapshot.
#[derive(Clone, Debug)]
pub struct ConfigFold {
    state: ConfigSnapshot,
    position: StreamPosition,
    rejections: VecDeque<(RecordNonce, ConfigRejection)>,
    last_snapshot_at: Option<Timestamp>,
    newest_format: u32,
}

/// The position of the fold in the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StreamPosition {
    /// All records before this offset are folded.
    Following(LogOffset),
    /// Records are missing; those from `first` up to, but not including, `next` were read since.
    Awaiting { first: LogOffset, next: LogOffset },
}

impl Default for ConfigFold {
    fn default() -> Self {
        Self::new()
    }
}

impl ConfigFold {
    /// Creates a fold that reads the stream from its first record, at offset 0.
    pub fn new() -> Self {
        Self::with_newest_format(NEWEST_FORMAT)
    }

    /// Creates a fold that supports record formats up to `newest_format`.
    pub fn with_newest_format(newest_format: u32) -> Self {
        let state = ConfigSnapshot {
            version: Arc::default(),
            resume_at: LogOffset(0),
            format: FIRST_FORMAT,
            history: VersionHistory::default(),
        };
        Self {
            state,
            position: StreamPosition::Following(LogOffset(0)),
            rejections: VecDeque::new(),
            last_snapshot_at: None,
            newest_format,
        }
    }

    /// Returns the current version.
    pub fn current(&self) -> &Arc<ConfigVersion> {
        &self.state.version
    }

    /// Returns the versions that can still be recalled or sent to peers.
    pub fn history(&self) -> &VersionHistory {
        &self.state.history
    }

    /// Returns the offset to read next, or `None` while a snapshot is needed.
    pub fn next_offset(&self) -> Option<LogOffset> {
        match self.position {
            StreamPosition::Following(next) => Some(next),
            StreamPosition::Awaiting { .. } => None,
        }
    }

    /// Moves back to the offset after the current version's record, to start reading or to
    /// recover from a gap.
    ///
    /// Returns that offset.
    pub fn rewind(&mut self) -> LogOffset {
        self.position = StreamPosition::Following(self.state.resume_at);
        self.state.resume_at
    }

    /// Returns the full state, to send to a peer or to write as a snapshot record.
    pub fn snapshot(&self) -> &ConfigSnapshot {
        &self.state
    }

    /// Returns a snapshot record of the state, or `None` while the fold waits for a snapshot.
    pub fn snapshot_record(&self, written_at: Timestamp) -> Option<ConfigRecord> {
        self.next_offset().map(|read_to| ConfigRecord::Snapshot {
            state: Box::new(self.state.clone()),
            read_to,
            written_at,
        })
    }

    /// Returns the latest write time of the snapshots read so far, or `None` without one.
    pub fn last_snapshot_at(&self) -> Option<Timestamp> {
        self.last_snapshot_at
    }

    /// Returns the outcome of the record with `nonce`, based on the records read so far.
    pub fn outcome_of(&self, nonce: &RecordNonce) -> NonceOutcome {
        if let Some(number) = self.state.history.find(nonce) {
            return NonceOutcome::Accepted(number);
        }
        let rejection = self.rejections.iter().find(|(known, _)| known == nonce);
        match rejection {
            Some((_, rejection)) => NonceOutcome::Rejected(rejection.clone()),
            None => NonceOutcome::NotSeen,
        }
    }

    /// Returns the status of an append on `base` whose response was lost.
    ///
    /// The fold must have read to the log's tail after the append was sent; a process that
    /// does not read the log does so with a clone of its fold. A retry of the same change must
    /// use the version in the returned status as its base, not one read at another time: the
    /// append could have arrived in between, and the change would be accepted twice.
    pub fn append_status(&self, nonce: &RecordNonce, base: VersionNumber) -> AppendStatus {
        match self.outcome_of(nonce) {
            NonceOutcome::Accepted(number) => return AppendStatus::Accepted(number),
            NonceOutcome::Rejected(rejection) => return AppendStatus::Rejected(rejection),
            NonceOutcome::NotSeen => {}
        }
        let current = self.state.version.number;
        let oldest = self.state.history.oldest();
        if current <= base {
            AppendStatus::Pending(current)
        } else if oldest.is_some_and(|oldest| oldest <= base.next()) {
            AppendStatus::Superseded(current)
        } else {
            AppendStatus::Unknown
        }
    }

    /// Folds the record at `offset`.
    ///
    /// # Panics
    ///
    /// Panics when a snapshot has different content for the current version.
    pub fn apply(&mut self, offset: LogOffset, value: &Value) -> FoldOutcome {
        if self.newest_format < self.state.format {
            return FoldOutcome::UnsupportedFormat {
                format: self.state.format,
            };
        }
        if self.next_offset().is_some_and(|next| offset < next) {
            return FoldOutcome::Skipped(SkipReason::Repeated);
        }
        self.advance(offset);
        match ConfigRecord::decode(value, self.state.format) {
            Ok(ConfigRecord::Snapshot {
                state,
                read_to,
                written_at,
            }) => {
                self.last_snapshot_at = self.last_snapshot_at.max(Some(written_at));
                self.apply_snapshot(offset, *state, read_to)
            }
            Ok(_) if self.next_offset().is_none() => {
                FoldOutcome::Skipped(SkipReason::AwaitingSnapshot)
            }
            Ok(record) => self.evaluate(offset, record),
            Err(RecordError::Corrupt(reason)) => FoldOutcome::Skipped(SkipReason::Corrupt(reason)),
            Err(RecordError::Format(format)) => FoldOutcome::Skipped(SkipReason::Format(format)),
        }
    }

    /// Replaces the state with a peer's state if that is newer; returns whether it was.
    ///
    /// # Panics
    ///
    /// Panics when the peer has different content for the current version.
    pub fn install(&mut self, state: ConfigSnapshot) -> bool {
        self.assert_same_content(state.version.number, &state.version.digest);
        if state.version.number <= self.state.version.number {
            return false;
        }
        self.resume_from(state.resume_at);
        self.state = state;
        true
    }

    /// Applies a record that a peer reports as accepted; returns whether it created a version.
    ///
    /// # Panics
    ///
    /// Panics when the record is rejected here or creates different content than on the peer.
    pub fn replay(&mut self, accepted: &AcceptedRecord) -> bool {
        let next = self.state.version.number.next();
        if accepted.number < next {
            self.assert_digest(accepted.number, &accepted.digest);
            return false;
        }
        if next < accepted.number || self.newest_format < self.state.format {
            return false;
        }
        let outcome = self.evaluate(accepted.offset, accepted.record.clone());
        assert!(
            matches!(outcome, FoldOutcome::Accepted(_)),
            "a record accepted by a peer must be accepted here: {outcome}"
        );
        self.assert_same_content(accepted.number, &accepted.digest);
        self.resume_from(accepted.offset.next());
        true
    }

    /// Checks the digest that a peer reports for a version against the local one, if known.
    ///
    /// # Panics
    ///
    /// Panics when the local digest of the version differs.
    pub fn assert_digest(&self, number: VersionNumber, digest: &VersionDigest) {
        self.assert_same_content(number, digest);
        let mut entries = self.state.history.entries().rev();
        let known = entries.find(|entry| entry.accepted.number <= number);
        if let Some(known) = known.filter(|entry| entry.accepted.number == number) {
            assert_eq!(
                &known.accepted.digest, digest,
                "one content per version number: version {number}"
            );
        }
    }

    /// Advances the position past the record at `offset`.
    fn advance(&mut self, offset: LogOffset) {
        let next = offset.next();
        self.position = match self.position {
            StreamPosition::Following(expected) if expected == offset => {
                StreamPosition::Following(next)
            }
            StreamPosition::Awaiting {
                first,
                next: expected,
            } if expected == offset => StreamPosition::Awaiting { first, next },
            _ => StreamPosition::Awaiting {
                first: offset,
                next,
            },
        };
    }

    /// Continues at `next`, unless the fold is already past it.
    fn resume_from(&mut self, next: LogOffset) {
        let current = self.next_offset().unwrap_or_default();
        self.position = StreamPosition::Following(next.max(current));
    }

    fn apply_snapshot(
        &mut self,
        offset: LogOffset,
        state: ConfigSnapshot,
        read_to: LogOffset,
    ) -> FoldOutcome {
        if !state.digest_matches() {
            let reason = "snapshot content does not match its digest".to_owned();
            return FoldOutcome::Skipped(SkipReason::Corrupt(reason));
        }
        self.assert_same_content(state.version.number, &state.version.digest);
        let (number, current) = (state.version.number, self.state.version.number);
        let resume_at = match self.position {
            StreamPosition::Following(next) if current < number => next,
            StreamPosition::Awaiting { first, .. } if first <= read_to && current <= number => {
                read_to.min(offset.next())
            }
            _ => return FoldOutcome::Skipped(SkipReason::StaleSnapshot),
        };
        self.state = state;
        self.position = StreamPosition::Following(resume_at);
        FoldOutcome::Loaded { resume_at }
    }

    fn evaluate(&mut self, offset: LogOffset, record: ConfigRecord) -> FoldOutcome {
        let result = match &record {
            ConfigRecord::Patch {
                batch,
                author,
                changes,
                ..
            } => self
                .check_base(&record)
                .and_then(|()| self.check_batch(batch, author))
                .and_then(|()| self.draft_patch(changes)),
            ConfigRecord::Recall { batch, .. } => self
                .check_base(&record)
                .and_then(|()| self.draft_recall(batch)),
            ConfigRecord::Upgrade { to, .. } => self
                .check_base(&record)
                .and_then(|()| self.draft_upgrade(*to)),
            ConfigRecord::Snapshot { .. } => {
                return FoldOutcome::Skipped(SkipReason::StaleSnapshot);
            }
        };
        match result {
            Ok(draft) => FoldOutcome::Accepted(self.accept(offset, record, draft)),
            Err(rejection) => self.reject(&record, rejection),
        }
    }

    fn reject(&mut self, record: &ConfigRecord, rejection: ConfigRejection) -> FoldOutcome {
        if let Some(nonce) = record.nonce() {
            if self.rejections.len() == MAX_REJECTIONS {
                self.rejections.pop_front();
            }
            self.rejections
                .push_back((nonce.clone(), rejection.clone()));
        }
        FoldOutcome::Rejected(rejection)
    }

    fn check_base(&self, record: &ConfigRecord) -> Result<(), ConfigRejection> {
        let current = self.state.version.number;
        let base = record.base().unwrap_or(current);
        if base == current {
            return Ok(());
        }
        if current < base {
            return Err(ConfigRejection::BaseAhead { base, current });
        }
        let changed = self.state.history.since(base);
        Err(ConfigRejection::Conflict {
            base,
            current,
            changed: changed.map(HistoryEntry::summary).collect(),
        })
    }

    fn check_batch(&self, batch: &BatchName, author: &AuthorName) -> Result<(), ConfigRejection> {
        let Some(entry) = self.state.history.of_batch(batch).last() else {
            return Ok(());
        };
        let batch = batch.clone();
        if let EntryStanding::Recalled(by) = entry.standing {
            return Err(ConfigRejection::BatchRecalled { batch, by });
        }
        match entry.accepted.record.author() {
            Some(owner) if owner != author => Err(ConfigRejection::BatchTaken {
                batch,
                author: owner.clone(),
            }),
            _ => Ok(()),
        }
    }

    fn draft_patch(&self, changes: &[ConfigChange]) -> Result<VersionDraft, ConfigRejection> {
        if changes.is_empty() {
            return Err(ConfigRejection::Empty);
        }
        let draft = self.draft(changes)?;
        let errors = validate(&draft.content);
        if errors.is_empty() {
            Ok(draft)
        } else {
            Err(ConfigRejection::Invalid { faults: errors })
        }
    }

    fn draft_recall(&self, batch: &BatchName) -> Result<VersionDraft, ConfigRejection> {
        let history = &self.state.history;
        let entries: Vec<&HistoryEntry> = history.of_batch(batch).collect();
        let unknown = || ConfigRejection::BatchUnknown {
            batch: batch.clone(),
            oldest: history.oldest().unwrap_or_default(),
        };
        let first = entries.first().ok_or_else(unknown)?;
        match first.standing {
            EntryStanding::Standing => {}
            EntryStanding::Partial => return Err(unknown()),
            EntryStanding::Recalled(by) => {
                let batch = batch.clone();
                return Err(ConfigRejection::BatchRecalled { batch, by });
            }
        }
        let first = first.accepted.number;
        let paths: Vec<ConfigPath> = entries.iter().flat_map(|entry| entry.paths()).collect();
        self.check_dependents(first, batch, &paths)?;
        let undo = entries
            .iter()
            .rev()
            .flat_map(|entry| entry.undo.iter().rev());
        let draft = self.draft(&undo.cloned().collect::<Vec<_>>())?;
        let errors = validate(&draft.content);
        if errors.is_empty() {
            return Ok(draft);
        }
        let invalid: Vec<ConfigPath> = errors.iter().map(|error| error.path.clone()).collect();
        self.check_dependents(first, batch, &invalid)?;
        Err(ConfigRejection::Invalid { faults: errors })
    }

    fn check_dependents(
        &self,
        first: VersionNumber,
        batch: &BatchName,
        paths: &[ConfigPath],
    ) -> Result<(), ConfigRejection> {
        let later = self.state.history.later_patches(first, batch, paths);
        if later.is_empty() {
            return Ok(());
        }
        let batch = batch.clone();
        Err(ConfigRejection::Depended { batch, later })
    }

    fn draft_upgrade(&self, to: u32) -> Result<VersionDraft, ConfigRejection> {
        let present = self.state.format;
        if to != present + 1 {
            return Err(ConfigRejection::FormatOrder { present, to });
        }
        self.draft(&[])
    }

    /// Applies `changes` to a copy of the content without validating the result.
    fn draft(&self, changes: &[ConfigChange]) -> Result<VersionDraft, ConfigRejection> {
        let mut content = self.state.version.content.clone();
        let mut undo = Vec::with_capacity(changes.len());
        for change in changes {
            let inverse = change.apply(&mut content);
            undo.push(inverse.map_err(|path| ConfigRejection::Absent { path })?);
        }
        Ok(VersionDraft { content, undo })
    }

    fn accept(
        &mut self,
        offset: LogOffset,
        record: ConfigRecord,
        draft: VersionDraft,
    ) -> Arc<ConfigVersion> {
        let number = self.state.version.number.next();
        let digest = VersionDigest::of(&draft.content);
        match &record {
            ConfigRecord::Recall { batch, .. } => {
                let standing = EntryStanding::Recalled(number);
                self.state.history.set_batch_standing(batch, standing);
            }
            ConfigRecord::Upgrade { to, .. } => self.state.format = *to,
            _ => {}
        }
        self.state.version = Arc::new(ConfigVersion {
            number,
            digest: digest.clone(),
            content: draft.content,
            batch: record.batch().cloned(),
            author: record.author().cloned(),
        });
        let accepted = AcceptedRecord {
            offset,
            number,
            digest,
            record,
        };
        self.state.history.push(HistoryEntry {
            accepted: Arc::new(accepted),
            undo: Arc::new(draft.undo),
            standing: EntryStanding::Standing,
        });
        self.state.resume_at = offset.next();
        self.state.version.clone()
    }

    fn assert_same_content(&self, number: VersionNumber, digest: &VersionDigest) {
        if number == self.state.version.number {
            assert_eq!(
                &self.state.version.digest, digest,
                "one content per version number: version {number}"
            );
        }
    }
}

/// The content of the next version and the changes that undo it.
struct VersionDraft {
    content: ConfigContent,
    undo: Vec<ConfigChange>,
}
