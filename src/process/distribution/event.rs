//! Input events and output actions of the distributor.

use derive_more::Display;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::prelude::*;
use crate::version::config::{ConfigVersion, FoldOutcome};

use super::{AnnouncementKind, PeerInfo, PeerName, VersionAnnouncement, VersionBody};

/// An input of the distributor.
#[derive(Clone, Debug)]
pub enum DistributionEvent {
    /// A timer tick, sent every 100 ms.
    Tick,
    /// The known processes; the list may include this one.
    Members(Vec<PeerInfo>),
    /// A control message arrived.
    Announced {
        /// The sender.
        from: PeerName,
        /// The sender's version.
        announcement: VersionAnnouncement,
        /// Whether the sender expects a reply.
        kind: AnnouncementKind,
    },
    /// The response to a pull arrived.
    BodyReceived {
        /// The sender.
        from: PeerName,
        /// The records or the state.
        body: VersionBody,
    },
    /// The log reader read a record.
    LogRecord {
        /// Its offset.
        offset: LogOffset,
        /// The record.
        value: Value,
    },
    /// The log reader reached the tail: there are no further records.
    LogTail,
    /// The log service did not respond.
    LogUnreachable,
}

/// An action that the distributor requests.
#[derive(Clone, Debug)]
pub enum DistributionAction {
    /// Send an announcement.
    Announce {
        /// The receiver.
        to: PeerName,
        /// The announcement.
        announcement: VersionAnnouncement,
        /// Whether a reply is requested.
        kind: AnnouncementKind,
    },
    /// Request the records after a version from a peer.
    Pull {
        /// The peer.
        from: PeerName,
        /// The version in force in this process.
        since: VersionNumber,
    },
    /// Put a version in force.
    Install(Arc<ConfigVersion>),
    /// Read the log from an offset, or from its oldest record when that offset has expired.
    ReadLog {
        /// The offset.
        from: LogOffset,
    },
    /// Stop reading the log.
    StopReading,
    /// Report the outcome of applying a record.
    Report {
        /// The record's offset.
        offset: LogOffset,
        /// The outcome.
        outcome: FoldOutcome,
    },
    /// Start to accept work.
    Serve(StartBasis),
}

/// How a process confirmed that its version was current before it accepted work.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum StartBasis {
    /// It read the log's tail.
    #[display("read the log's tail")]
    OwnTail,
    /// A peer that follows the log's tail has this process's version or an earlier one.
    #[display("same version as {_0}, which follows the log")]
    PeerTail(PeerName),
    /// The log was unreachable; the process has at least the highest version announced by the
    /// peers of its data centre that answered, and some known peer was already accepting work.
    #[display("log away; highest version of {answered} answering peers of {asked}")]
    HighestPeer {
        /// The number of peers that were probed.
        asked: usize,
        /// The number of peers that answered.
        answered: usize,
    },
}
