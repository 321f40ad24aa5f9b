//! One configuration version.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::prelude::*;

use super::{AuthorName, BatchName, ConfigContent, VersionDigest};

/// A configuration version: immutable, and the only one of its number.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ConfigVersion {
    /// The number.
    pub number: VersionNumber,
    /// The digest of the content.
    pub digest: VersionDigest,
    /// The content.
    pub content: ConfigContent,
    /// The batch that made the version, or that it recalls; none for version 0 and upgrades.
    pub batch: Option<BatchName>,
    /// The operator who made the version; none for version 0.
    pub author: Option<AuthorName>,
}

impl Default for ConfigVersion {
    fn default() -> Self {
        let content = ConfigContent::default();
        Self {
            number: VersionNumber(0),
            digest: VersionDigest::of(&content),
            content,
            batch: None,
            author: None,
        }
    }
}
