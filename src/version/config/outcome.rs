//! Outcomes of folding records and of appends.

use derive_more::Display;

use crate::prelude::*;

use super::{ConfigRejection, ConfigVersion};

/// The outcome of folding one record.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum FoldOutcome {
    /// The record created this version.
    #[display("version {} accepted", _0.number)]
    Accepted(Arc<ConfigVersion>),
    /// The record was evaluated and rejected.
    #[display("rejected: {_0}")]
    Rejected(ConfigRejection),
    /// The record was not evaluated.
    #[display("skipped: {_0}")]
    Skipped(SkipReason),
    /// The fold loaded a snapshot; reading continues at an offset that may be earlier.
    #[display("snapshot loaded, resuming at offset {resume_at}")]
    Loaded {
        /// The offset to read next.
        resume_at: LogOffset,
    },
    /// The stream needs newer software; the fold keeps its current version.
    #[display("the stream allows format {format}, which needs newer software")]
    UnsupportedFormat {
        /// The format that the stream allows.
        format: u32,
    },
}

/// The reason why a record was not evaluated.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum SkipReason {
    /// The record cannot be decoded.
    #[display("corrupt record: {_0}")]
    Corrupt(String),
    /// The stream does not allow the record's format yet.
    #[display("record of format {_0}, which the stream does not allow")]
    Format(u32),
    /// The offset was already folded.
    #[display("offset already folded")]
    Repeated,
    /// Earlier records are missing and no usable snapshot has been read yet.
    #[display("waiting for a snapshot")]
    AwaitingSnapshot,
    /// The snapshot is not newer than the state, or the records after it are missing.
    #[display("snapshot not needed or not usable")]
    StaleSnapshot,
}

/// The outcome of the record with a given nonce.
#[derive(Clone, Debug, PartialEq)]
pub enum NonceOutcome {
    /// The record created this version.
    Accepted(VersionNumber),
    /// The record was rejected.
    Rejected(ConfigRejection),
    /// The fold has not read the record yet, or no longer keeps its outcome.
    NotSeen,
}

/// The status of an append whose response was lost, once the log was read to its tail.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum AppendStatus {
    /// The record created this version.
    #[display("accepted as version {_0}")]
    Accepted(VersionNumber),
    /// The record was rejected.
    #[display("rejected: {_0}")]
    Rejected(ConfigRejection),
    /// The record was not found, and this version is later than its base, so it will never be
    /// accepted.
    #[display("never accepted; try again on version {_0}")]
    Superseded(VersionNumber),
    /// The record was not found, and may still arrive while this version is current. Another
    /// record based on the same version resolves this: at most one of the two is accepted.
    #[display("not in the log yet; it may still arrive while version {_0} is current")]
    Pending(VersionNumber),
    /// The history no longer reaches back to the record's base.
    #[display("unknown: the base is older than the history")]
    Unknown,
}
