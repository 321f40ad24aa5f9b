//! A configuration version.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::prelude::*;

use super::{AuthorName, BatchName, ConfigContent, VersionDigest};

/// An immutable configuration version; no other version has its number.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ConfigVersion {
    /// The number of the version.
    pub number: VersionNumber,
    /// The digest of the content.
    pub digest: VersionDigest,
    /// The content of the version.
    pub content: ConfigContent,
    /// The batch that created the version or that it recalls; `None` for version 0 and upgrades.
    pub batch: Option<BatchName>,
    /// The operator who created the version; `None` for version 0.
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
