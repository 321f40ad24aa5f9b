//! Messages that announce and transfer configuration versions.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::version::config::{AcceptedRecord, ConfigSnapshot, VersionDigest};

/// The version that a process has in force; included in every control message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct VersionAnnouncement {
    /// The incarnation of the process; a restart raises it.
    #[serde(rename = "i")]
    pub incarnation: ProcessIncarnation,
    /// The version in force.
    #[serde(rename = "n")]
    pub number: VersionNumber,
    /// Its digest.
    #[serde(rename = "d")]
    pub digest: VersionDigest,
    /// Whether the process recently read up to the tail of the log.
    #[serde(rename = "f")]
    pub following: bool,
    /// Whether the process accepts work, which implies that its version was confirmed at start.
    #[serde(rename = "s")]
    pub serving: bool,
}

impl VersionAnnouncement {
    /// Returns the key by which announcements of one process are ordered.
    pub(super) fn order(&self) -> (ProcessIncarnation, VersionNumber) {
        (self.incarnation, self.number)
    }
}

/// Whether an announcement requests a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum AnnouncementKind {
    /// The receiver replies with its own announcement.
    Probe,
    /// No reply is expected.
    Reply,
}

/// The response to a pull: what brings a process with an older version up to date.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum VersionBody {
    /// The accepted records after the requested version.
    Records(Vec<Arc<AcceptedRecord>>),
    /// The full state, sent when those records are no longer in the history.
    Whole(Box<ConfigSnapshot>),
}
