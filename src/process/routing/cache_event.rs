//! Events about the prompt prefixes in a target's cache.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::prefix_hash::PrefixHash;

/// A change of a target's prefix cache. Events may arrive late or be lost.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum CacheEvent {
    /// The cache stored the blocks that end these prefixes.
    Stored(Vec<PrefixHash>),
    /// The cache evicted the blocks that end these prefixes.
    Removed(Vec<PrefixHash>),
    /// The cache was emptied.
    Cleared,
}
