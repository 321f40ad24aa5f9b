//! What a process says about its version.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::version::config::{AcceptedRecord, ConfigSnapshot, VersionDigest};

/// The version that a process has in force; part of every control message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct VersionAnnouncement {
    /// The life of the process.
    #[serde(rename = "i")]
    pub incarnation: ProcessIncarnation,
    /// The version in force.
    #[serde(rename = "n")]
    pub number: VersionNumber,
    /// Its digest.
    #[serde(rename = "d")]
    pub digest: VersionDigest,
    /// Whether the process read the log's tail a moment ago.
    #[serde(rename = "f")]
    pub following: bool,
    /// Whether the process takes work, so that its version was once confirmed.
    #[serde(rename = "s")]
    pub serving: bool,
}

impl VersionAnnouncement {
    pub(super) fn order(&self) -> (ProcessIncarnation, VersionNumber) {
        (self.incarnation, self.number)
    }
}

/// Whether an announcement asks for one in return.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum AnnouncementKind {
    /// The receiver answers with its own announcement.
    Probe,
    /// No answer is expected.
    Reply,
}

/// What a process that is behind gets from one that is ahead.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum VersionBody {
    /// The accepted records that follow the asked version.
    Records(Vec<Arc<AcceptedRecord>>),
    /// The whole state, where the records are no longer held.
    Whole(Box<ConfigSnapshot>),
}
