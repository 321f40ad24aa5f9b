//! What the fold did with a record.

use derive_more::Display;

use crate::prelude::*;

use super::{ConfigRejection, ConfigVersion};

/// What the fold did with a record.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum FoldOutcome {
    /// The record made a version.
    #[display("version {} accepted", _0.number)]
    Accepted(Arc<ConfigVersion>),
    /// The record was judged and did not pass.
    #[display("rejected: {_0}")]
    Rejected(ConfigRejection),
    /// The record was not judged.
    #[display("skipped: {_0}")]
    Skipped(SkipReason),
    /// The fold took over a snapshot; reading goes on at this offset, which may lie earlier.
    #[display("snapshot loaded, resuming at offset {resume_at}")]
    Loaded {
        /// Where reading goes on.
        resume_at: LogOffset,
    },
    /// The stream needs newer software; the fold stays at its version.
    #[display("held: the stream allows format {format}, newer software is needed")]
    UnsupportedFormat {
        /// The format that the stream allows.
        format: u32,
    },
}

/// Why a record was not judged.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum SkipReason {
    /// The record cannot be read.
    #[display("corrupt record: {_0}")]
    Corrupt(String),
    /// The record's format is not allowed yet.
    #[display("record of format {_0}, which the stream does not allow")]
    Format(u32),
    /// The offset was folded before.
    #[display("offset folded before")]
    Repeated,
    /// The start of the stream is missing and no snapshot was read yet.
    #[display("waiting for a snapshot")]
    AwaitingSnapshot,
    /// A snapshot that is not ahead, or whose following records are gone.
    #[display("snapshot that is not needed or not usable")]
    StaleSnapshot,
}

/// What became of the record with a nonce.
#[derive(Clone, Debug, PartialEq)]
pub enum NonceOutcome {
    /// It made this version.
    Accepted(VersionNumber),
    /// It was rejected.
    Rejected(ConfigRejection),
    /// It has not been read up to the fold's position.
    NotSeen,
}

/// What can be said of an append whose answer was lost, once the log was read to its tail.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum AppendStatus {
    /// It made this version.
    #[display("accepted as version {_0}")]
    Accepted(VersionNumber),
    /// It was rejected.
    #[display("rejected: {_0}")]
    Rejected(ConfigRejection),
    /// It was not seen up to this version, whose base is past: it will never be accepted.
    #[display("never accepted; try again on version {_0}")]
    Superseded(VersionNumber),
    /// It was not seen, and may still arrive while this version is current. Another record on
    /// this very version settles it: at most one of the two is accepted.
    #[display("not in the log yet; it may still arrive while version {_0} is current")]
    Pending(VersionNumber),
    /// The history no longer reaches back to its base.
    #[display("too old to tell")]
    Unknown,
}
