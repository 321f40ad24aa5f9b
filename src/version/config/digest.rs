//! Digests of contents.

use derive_more::Display;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_128;

use crate::prelude::*;

use super::ConfigContent;

/// The 128-bit XXH3 hash of a content's JSON, in hex.
///
/// Maps are sorted and numbers have one spelling, so equal contents have equal digests. The
/// digest finds faults; it is no protection against a forged content.
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
    /// Never: a content holds string keys and finite numbers only.
    pub fn of(content: &ConfigContent) -> Self {
        let bytes = serde_json::to_vec(content).expect("content encodes");
        Self(format!("{:032x}", xxh3_128(&bytes)).into())
    }
}
