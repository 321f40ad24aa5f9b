//! Digests of contents.

use derive_more::Display;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::prelude::*;

use super::ConfigContent;

/// The bytes of SHA-256 that a digest keeps.
const DIGEST_BYTES: usize = 16;

/// The first 16 bytes of SHA-256 over a content's JSON, in lower-case hex.
///
/// Maps are sorted and numbers have one spelling, so equal contents have equal digests.
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
        let hash = Sha256::digest(&bytes);
        Self(hex::encode(&hash[..DIGEST_BYTES]).into())
    }
}
