//! The full state of the configuration fold.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::prelude::*;

use super::{ConfigVersion, VersionDigest, VersionHistory};

/// The full state of the fold; it depends only on the accepted records.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ConfigSnapshot {
    /// The current version.
    pub version: Arc<ConfigVersion>,
    /// The offset after the record that created the current version.
    pub resume_at: LogOffset,
    /// The newest format that the stream allows.
    pub format: u32,
    /// The versions that can still be recalled.
    pub history: VersionHistory,
}

impl ConfigSnapshot {
    /// Returns whether the content matches the snapshot's digest.
    pub fn digest_matches(&self) -> bool {
        VersionDigest::of(&self.version.content) == self.version.digest
    }
}
