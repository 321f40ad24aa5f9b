//! A set of ranks of one group.

use crate::version::expert_map::{MapShape, RankId};

/// A set of ranks of one group, at most 64.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RankSet(u64);

impl RankSet {
    /// Creates the set of all ranks of a group.
    pub fn all(ranks: u16) -> Self {
        assert!(
            (1..=MapShape::MAX_RANKS).contains(&ranks),
            "ranks_of_a_group_are_bounded"
        );
        Self(u64::MAX >> (MapShape::MAX_RANKS - ranks))
    }

    /// Adds a rank.
    pub fn insert(&mut self, rank: RankId) {
        self.0 |= 1 << rank;
    }

    /// Removes a rank.
    pub fn remove(&mut self, rank: RankId) {
        self.0 &= !(1 << rank);
    }

    /// Returns whether the set holds a rank.
    pub fn contains(self, rank: RankId) -> bool {
        rank < MapShape::MAX_RANKS && self.0 >> rank & 1 == 1
    }

    /// Returns the ranks of this set that are not in another.
    pub fn without(self, other: Self) -> Self {
        Self(self.0 & !other.0)
    }

    /// Returns whether the set is empty.
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }

    /// Returns the number of ranks.
    pub fn len(self) -> usize {
        self.0.count_ones() as usize
    }

    /// Returns the ranks in order.
    pub fn iter(self) -> impl Iterator<Item = RankId> {
        (0..MapShape::MAX_RANKS).filter(move |&rank| self.contains(rank))
    }
}
