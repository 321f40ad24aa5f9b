//! Hints about the prompt prefixes that a target holds in its cache.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::prefix_hash::PrefixHash;

/// A change of a target's prefix cache; events are late and have gaps.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum CacheEvent {
    /// Blocks that the cache now holds.
    Stored(Vec<PrefixHash>),
    /// Blocks that the cache dropped.
    Removed(Vec<PrefixHash>),
    /// The cache dropped all that it held.
    Cleared,
}
