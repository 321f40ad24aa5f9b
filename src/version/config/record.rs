//! The records of the configuration stream.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::prelude::*;

use super::{AuthorName, BatchName, ConfigChange, ConfigSnapshot, RecordNonce};

/// The record format that every process supports.
pub const FIRST_FORMAT: u32 = 1;

/// The newest record format that this software supports.
pub const NEWEST_FORMAT: u32 = 1;

/// The name of the format field in an encoded record.
const FORMAT_FIELD: &str = "format";

/// A record of the configuration stream; the encoded form also has a format field.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum ConfigRecord {
    /// Applies changes to the current version.
    Patch {
        /// The version on which the author based the record.
        base: VersionNumber,
        /// The batch that the patch belongs to.
        batch: BatchName,
        /// The operator who sent the record.
        author: AuthorName,
        /// The changes, applied in this order.
        changes: Vec<ConfigChange>,
        /// The identifier of the record.
        nonce: RecordNonce,
    },
    /// Creates a new version that undoes the changes of a batch.
    Recall {
        /// The version on which the author based the record.
        base: VersionNumber,
        /// The batch to recall.
        batch: BatchName,
        /// The operator who sent the record.
        author: AuthorName,
        /// The identifier of the record.
        nonce: RecordNonce,
    },
    /// Allows records of the next format; to be sent once every process supports it.
    Upgrade {
        /// The version on which the author based the record.
        base: VersionNumber,
        /// The format to allow.
        to: u32,
        /// The operator who sent the record.
        author: AuthorName,
        /// The identifier of the record.
        nonce: RecordNonce,
    },
    /// Stores the state of the fold, so that older records can be trimmed.
    Snapshot {
        /// The state of the fold.
        state: Box<ConfigSnapshot>,
        /// The first offset that the writer had not yet read.
        read_to: LogOffset,
        /// When the snapshot was written, by the writer's clock.
        written_at: Timestamp,
    },
}

/// Why a record cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordError {
    /// The record has no valid format number or does not match its format.
    Corrupt(String),
    /// The record has a format that the stream does not allow yet.
    Format(u32),
}

impl ConfigRecord {
    /// Encodes the record in the first format.
    ///
    /// # Panics
    ///
    /// Never: a record has only string keys and finite numbers.
    pub fn encode(&self) -> Value {
        self.encode_as(FIRST_FORMAT)
    }

    /// Encodes the record in `format`.
    ///
    /// # Panics
    ///
    /// Never: a record has only string keys and finite numbers.
    pub fn encode_as(&self, format: u32) -> Value {
        let mut value = serde_json::to_value(self).expect("record serializes to JSON");
        value[FORMAT_FIELD] = Value::from(format);
        value
    }

    /// Decodes a record; fails for formats above `allowed`.
    pub fn decode(value: &Value, allowed: u32) -> Result<Self, RecordError> {
        let format = read_format(value)?;
        if allowed < format {
            return Err(RecordError::Format(format));
        }
        let mut fields = value.clone();
        if let Some(object) = fields.as_object_mut() {
            object.remove(FORMAT_FIELD);
        }
        serde_json::from_value(fields).map_err(|err| RecordError::Corrupt(err.to_string()))
    }

    /// Returns the record's nonce, or `None` for snapshots.
    pub fn nonce(&self) -> Option<&RecordNonce> {
        match self {
            Self::Patch { nonce, .. }
            | Self::Recall { nonce, .. }
            | Self::Upgrade { nonce, .. } => Some(nonce),
            Self::Snapshot { .. } => None,
        }
    }

    /// Returns the operator who sent the record, or `None` for snapshots.
    pub fn author(&self) -> Option<&AuthorName> {
        match self {
            Self::Patch { author, .. }
            | Self::Recall { author, .. }
            | Self::Upgrade { author, .. } => Some(author),
            Self::Snapshot { .. } => None,
        }
    }

    /// Returns the batch that the record belongs to or recalls, if any.
    pub fn batch(&self) -> Option<&BatchName> {
        match self {
            Self::Patch { batch, .. } | Self::Recall { batch, .. } => Some(batch),
            Self::Upgrade { .. } | Self::Snapshot { .. } => None,
        }
    }

    /// Returns the version on which the record is based, or `None` for snapshots.
    pub fn base(&self) -> Option<VersionNumber> {
        match self {
            Self::Patch { base, .. } | Self::Recall { base, .. } | Self::Upgrade { base, .. } => {
                Some(*base)
            }
            Self::Snapshot { .. } => None,
        }
    }
}

fn read_format(value: &Value) -> Result<u32, RecordError> {
    let format = value.get(FORMAT_FIELD).and_then(Value::as_u64);
    match format.and_then(|format| u32::try_from(format).ok()) {
        Some(format) if FIRST_FORMAT <= format => Ok(format),
        _ => Err(RecordError::Corrupt(
            "missing or invalid format number".to_owned(),
        )),
    }
}
