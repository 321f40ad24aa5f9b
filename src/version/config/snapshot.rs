//! The whole state of the fold.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::prelude::*;

use super::{ConfigVersion, VersionDigest, VersionHistory};

/// The whole state of the fold; it depends on the accepted records only.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ConfigSnapshot {
    /// The current version.
    pub version: Arc<ConfigVersion>,
    /// The offset after the record that made the current version.
    pub resume_at: LogOffset,
    /// The newest format that the stream allows.
    pub format: u32,
    /// The versions that can still be recalled.
    pub history: VersionHistory,
}

impl ConfigSnapshot {
    /// Whether the content has the digest that the snapshot names.
    pub fn digest_matches(&self) -> bool {
        VersionDigest::of(&self.version.content) == self.version.digest
    }
}
