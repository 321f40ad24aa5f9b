//! Digests of configuration contents.

use derive_more::Display;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_128;

use crate::prelude::*;

use super::ConfigContent;

/// The 128-bit XXH3 hash of the content's JSON, in hex.
///
/// Map keys are sorted and each number has a single text form, so equal contents have equal
/// digests. The digest detects corruption and divergence, but not deliberate forgery.
#[derive(
    Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
#[serde(transparent)]
pub struct VersionDigest(Arc<str>);

impl VersionDigest {
    /// Computes the digest of `content`.
    ///
    /// # Panics
    ///
    /// Never: content has only string keys and finite numbers.
    pub fn of(content: &ConfigContent) -> Self {
        let bytes = serde_json::to_vec(content).expect("content serializes to JSON");
        Self(format!("{:032x}", xxh3_128(&bytes)).into())
    }
}
