//! Which targets probably hold which prompt prefixes.

use std::num::NonZeroUsize;

use lru::LruCache;

use crate::prelude::*;

use super::prefix_hash::PrefixHash;

/// The most holders kept for one prefix.
const MAX_HOLDERS: usize = 4;

/// A bounded map from prefixes to the targets that probably hold them.
///
/// A wrong hint costs time only, so the least recently used prefixes are forgotten.
#[derive(Debug)]
pub(crate) struct PrefixIndex {
    holders: LruCache<PrefixHash, SmallVec<[PrefixHolder; 2]>>,
}

/// A target that probably holds a prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PrefixHolder {
    /// The target's place in the table.
    pub(crate) target_idx: u32,
    /// The target's cache epoch when the hint was made; a cleared cache starts a new one.
    pub(crate) epoch: u32,
}

impl PrefixIndex {
    /// Makes an index of at most `capacity` prefixes.
    pub(crate) fn new(capacity: NonZeroUsize) -> Self {
        Self {
            holders: LruCache::sparse(capacity),
        }
    }

    /// Notes that `holder` holds `prefix`.
    pub(crate) fn insert(&mut self, prefix: PrefixHash, holder: PrefixHolder) {
        let holders = self.holders.get_or_insert_mut(prefix, SmallVec::new);
        holders.retain(|known| known.target_idx != holder.target_idx);
        if MAX_HOLDERS <= holders.len() {
            holders.remove(0);
        }
        holders.push(holder);
    }

    /// Notes that the target at `target_idx` no longer holds `prefix`.
    pub(crate) fn remove(&mut self, prefix: PrefixHash, target_idx: u32) {
        let Some(holders) = self.holders.peek_mut(&prefix) else {
            return;
        };
        holders.retain(|known| known.target_idx != target_idx);
        if holders.is_empty() {
            self.holders.pop(&prefix);
        }
    }

    /// Returns the holders of `prefix`.
    pub(crate) fn holders(&self, prefix: PrefixHash) -> &[PrefixHolder] {
        self.holders.peek(&prefix).map_or(&[], |holders| holders)
    }

    /// Returns the number of prefixes.
    pub(crate) fn len(&self) -> usize {
        self.holders.len()
    }
}
