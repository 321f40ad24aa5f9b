//! An index of the targets that probably have a prompt prefix in their cache.

use std::num::NonZeroUsize;

use lru::LruCache;

use crate::prelude::*;

use super::prefix_hash::PrefixHash;

/// The maximum number of holders kept for one prefix; a new one replaces the oldest.
const MAX_HOLDERS: usize = 4;

/// A bounded map from prefixes to the targets that probably hold them.
///
/// A wrong or missing hint costs only time, so the least recently inserted prefixes are evicted.
#[derive(Debug)]
pub(crate) struct PrefixIndex {
    holders: LruCache<PrefixHash, SmallVec<[PrefixHolder; 2]>>,
}

/// A target that probably holds a prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PrefixHolder {
    /// The target's index in the table.
    pub(crate) target_idx: u32,
    /// The target's cache epoch at the time of the hint; clearing the cache starts a new epoch.
    pub(crate) epoch: u32,
}

impl PrefixIndex {
    /// Creates an index of at most `capacity` prefixes.
    pub(crate) fn new(capacity: NonZeroUsize) -> Self {
        Self {
            holders: LruCache::sparse(capacity),
        }
    }

    /// Adds `holder` to the holders of `prefix`, or updates its epoch.
    pub(crate) fn insert(&mut self, prefix: PrefixHash, holder: PrefixHolder) {
        let holders = self.holders.get_or_insert_mut(prefix, SmallVec::new);
        holders.retain(|existing| existing.target_idx != holder.target_idx);
        if MAX_HOLDERS <= holders.len() {
            holders.remove(0);
        }
        holders.push(holder);
    }

    /// Removes the target at `target_idx` from the holders of `prefix`.
    pub(crate) fn remove(&mut self, prefix: PrefixHash, target_idx: u32) {
        let Some(holders) = self.holders.peek_mut(&prefix) else {
            return;
        };
        holders.retain(|existing| existing.target_idx != target_idx);
        if holders.is_empty() {
            self.holders.pop(&prefix);
        }
    }

    /// Returns the holders of `prefix`, including those of an earlier cache epoch.
    pub(crate) fn holders(&self, prefix: PrefixHash) -> &[PrefixHolder] {
        self.holders.peek(&prefix).map_or(&[], |holders| holders)
    }

    /// Returns the number of prefixes in the index.
    pub(crate) fn len(&self) -> usize {
        self.holders.len()
    }
}
