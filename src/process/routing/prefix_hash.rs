//! Hashes of prompt prefixes.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The size of a prompt block, in bytes.
pub const PREFIX_BLOCK_BYTES: usize = 1_024;
/// The maximum number of blocks of a prompt that are hashed.
pub const MAX_PREFIX_BLOCKS: usize = 64;

/// The hash of a prompt up to the end of one block, for one model.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
#[serde(transparent)]
pub struct PrefixHash(pub u64);

/// Returns the chained hashes of the full blocks of `prompt`, the shortest prefix first.
///
/// `model` names the model and its adapter and seeds the chain, since models share no cache.
pub fn prefix_hashes(model: &str, prompt: &[u8]) -> SmallVec<[PrefixHash; 8]> {
    let mut chain = xxh3_64_with_seed(model.as_bytes(), 0);
    prompt
        .chunks_exact(PREFIX_BLOCK_BYTES)
        .take(MAX_PREFIX_BLOCKS)
        .map(|block| {
            chain = xxh3_64_with_seed(block, chain);
            PrefixHash(chain)
        })
        .collect()
}
