//! The digest of a request, which tells that it is sent again.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// The digest of what a request asks for and of its caller, equal in all attempts of the request.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
pub struct CallDigest(pub u64);

impl CallDigest {
    /// Computes the digest of a request from its parts, in a fixed order.
    pub fn new(parts: &[&[u8]]) -> Self {
        let mut hasher = Xxh3::new();
        for part in parts {
            // The length keeps apart parts that are divided elsewhere.
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Self(hasher.digest())
    }
}
