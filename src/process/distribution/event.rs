//! What the distributor is told and what it asks for.

use derive_more::Display;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::prelude::*;
use crate::version::config::{ConfigVersion, FoldOutcome};

use super::{AnnouncementKind, PeerInfo, PeerName, VersionAnnouncement, VersionBody};

/// What the distributor is told.
#[derive(Clone, Debug)]
pub enum DistributionEvent {
    /// Time passed; sent every 100 ms.
    Tick,
    /// The known processes, this one among them or not.
    Members(Vec<PeerInfo>),
    /// A control message arrived.
    Announced {
        /// The sender.
        from: PeerName,
        /// What it says.
        announcement: VersionAnnouncement,
        /// Whether it wants an answer.
        kind: AnnouncementKind,
    },
    /// A body arrived.
    BodyReceived {
        /// The sender.
        from: PeerName,
        /// The body.
        body: VersionBody,
    },
    /// The log reader read a record.
    LogRecord {
        /// Its offset.
        offset: LogOffset,
        /// The record.
        value: Value,
    },
    /// The log reader has just found nothing more to read.
    LogTail,
    /// The log service does not answer.
    LogAway,
}

/// What the distributor asks for.
#[derive(Clone, Debug)]
pub enum DistributionAction {
    /// Send an announcement.
    Announce {
        /// The receiver.
        to: PeerName,
        /// What to say.
        announcement: VersionAnnouncement,
        /// Whether an answer is wanted.
        kind: AnnouncementKind,
    },
    /// Ask a peer for what follows a version.
    Pull {
        /// The peer.
        from: PeerName,
        /// The version in force here.
        since: VersionNumber,
    },
    /// Put a version in force.
    Install(Arc<ConfigVersion>),
    /// Read the log from an offset, or from its first record when that is gone.
    ReadLog {
        /// The offset.
        from: LogOffset,
    },
    /// Stop reading the log.
    StopReading,
    /// Report what became of a record.
    Report {
        /// The record's offset.
        offset: LogOffset,
        /// What became of it.
        outcome: FoldOutcome,
    },
    /// Start to take work.
    Serve(StartBasis),
}

/// What a process knew of the current version when it started to take work.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum StartBasis {
    /// It read the log's tail.
    #[display("read the log's tail")]
    OwnTail,
    /// A peer that follows the log's tail has the same version.
    #[display("same version as {_0}, which follows the log")]
    PeerTail(PeerName),
    /// The log was away; it took the highest version of the peers in its data centre.
    #[display("log away; highest version of {answered} answering peers of {asked}")]
    HighestPeer {
        /// The peers that were asked.
        asked: usize,
        /// Those that answered.
        answered: usize,
    },
}
