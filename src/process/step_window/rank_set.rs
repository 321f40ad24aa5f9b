//! A set of ranks of one group.

use crate::version::expert_map::{MapShape, RankId};

/// The number of bits in one word of a set.
const WORD_BITS: u16 = u64::BITS as u16;

/// The number of words in a set of the largest group.
const N_WORDS: usize = (MapShape::MAX_RANKS / WORD_BITS) as usize;

/// A set of ranks of one group, at most [`MapShape::MAX_RANKS`] of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RankSet([u64; N_WORDS]);

impl RankSet {
    /// Creates the set of all ranks of a group.
    pub fn all(n_ranks: u16) -> Self {
        assert!(
            (1..=MapShape::MAX_RANKS).contains(&n_ranks),
            "ranks_of_a_group_are_bounded"
        );
        let mut set = Self::default();
        (0..n_ranks).for_each(|rank| set.insert(rank));
        set
    }

    /// Adds a rank.
    pub fn insert(&mut self, rank: RankId) {
        self.0[usize::from(rank / WORD_BITS)] |= 1 << (rank % WORD_BITS);
    }

    /// Removes a rank.
    pub fn remove(&mut self, rank: RankId) {
        self.0[usize::from(rank / WORD_BITS)] &= !(1 << (rank % WORD_BITS));
    }

    /// Returns whether the set holds a rank.
    pub fn contains(self, rank: RankId) -> bool {
        let word = self.0.get(usize::from(rank / WORD_BITS));
        word.is_some_and(|word| word >> (rank % WORD_BITS) & 1 == 1)
    }

    /// Returns the ranks of this set that are not in another.
    pub fn without(self, other: Self) -> Self {
        let mut set = self;
        for (word, other) in set.0.iter_mut().zip(other.0) {
            *word &= !other;
        }
        set
    }

    /// Returns whether the set is empty.
    pub fn is_empty(self) -> bool {
        self.0 == [0; N_WORDS]
    }

    /// Returns the number of ranks.
    pub fn len(self) -> usize {
        self.0.iter().map(|word| word.count_ones() as usize).sum()
    }

    /// Returns the ranks in order.
    pub fn iter(self) -> impl Iterator<Item = RankId> {
        (0..MapShape::MAX_RANKS).filter(move |&rank| self.contains(rank))
    }
}
