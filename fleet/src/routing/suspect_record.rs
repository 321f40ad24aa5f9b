//! What an entry keeps in the store of the requests that may have ended targets.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::prelude::*;

use super::suspect_key::SuspectKey;

/// The format of the records, their first byte; records of another one are ignored.
const FORMAT: u8 = 1;

/// The most suspects of a record.
pub(super) const MAX_KEPT_SUSPECTS: usize = 24;

/// The most ends of a suspect in a record.
pub(super) const MAX_KEPT_ENDS: usize = 8;

/// What an entry keeps in the store of the requests that may have ended targets.
///
/// Its times are in milliseconds: of the table's clock in memory, of the Unix clock in the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRecord {
    pub(super) suspects: Vec<KeptSuspect>,
}

/// A request or part of prompts under which several targets ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct KeptSuspect {
    pub(super) key: SuspectKey,
    pub(super) ends: SmallVec<[KeptEnd; 4]>,
    /// When a target last answered it, where one did.
    pub(super) answered_at: Option<i64>,
}

/// The end of a target while it ran a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct KeptEnd {
    /// The hash of the target's id.
    pub(super) target: u32,
    /// The start of the digest of the request.
    pub(super) request: u32,
    pub(super) began_at: i64,
    pub(super) at: i64,
}

/// Why a record cannot be used.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum RecordError {
    /// It has another format, such as that of a later version.
    #[display("format {_0}")]
    Format(u8),
    /// Its bytes are no record.
    #[display("malformed")]
    Malformed,
}

impl SuspectRecord {
    /// Returns the number of suspects.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns whether there are no suspects.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Encodes the record; `unix_offset` is what the Unix clock is ahead of the record's times.
    pub fn encode(&self, unix_offset: i64) -> Vec<u8> {
        let record = self.clone().shifted(unix_offset);
        postcard::to_extend(&record, vec![FORMAT]).expect("records_have_a_byte_form")
    }

    /// Decodes a record, whose times are those of the Unix clock.
    pub fn decode(bytes: &[u8]) -> Result<Self, RecordError> {
        match bytes.split_first() {
            Some((&FORMAT, rest)) => postcard::from_bytes(rest).map_err(|_| RecordError::Malformed),
            Some((&format, _)) => Err(RecordError::Format(format)),
            None => Err(RecordError::Malformed),
        }
    }

    /// Returns the record with all times moved.
    pub(super) fn shifted(mut self, by: i64) -> Self {
        for suspect in &mut self.suspects {
            suspect.answered_at = suspect.answered_at.map(|at| at.saturating_add(by));
            for end in &mut suspect.ends {
                end.began_at = end.began_at.saturating_add(by);
                end.at = end.at.saturating_add(by);
            }
        }
        self
    }
}
