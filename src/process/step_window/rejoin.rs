//! The round of messages by which the agent of a rank rejoins its group after a restart.

use crate::prelude::*;
use crate::version::expert_map::RankId;

use super::rank_set::RankSet;
use super::step_message::RejoinPromise;

/// The ranks that have not yet recorded the new incarnation, and the promises of the others.
#[derive(Clone, Debug)]
pub(super) struct RejoinRound {
    pub(super) missing: RankSet,
    floor: FencingNumber,
    needs_log: bool,
}

impl RejoinRound {
    /// Creates a round that asks all other ranks.
    pub(super) fn new(rank: RankId, n_ranks: u16) -> Self {
        let mut missing = RankSet::all(n_ranks);
        missing.remove(rank);
        // In a group of one rank, no other rank remembers its promises.
        Self {
            needs_log: missing.is_empty(),
            missing,
            floor: FencingNumber::default(),
        }
    }

    /// Records the answer of a rank.
    pub(super) fn on_answer(&mut self, rank: RankId, promise: RejoinPromise) {
        if !self.missing.contains(rank) {
            return;
        }
        self.missing.remove(rank);
        match promise {
            RejoinPromise::Floor(floor) => self.floor = self.floor.max(floor),
            RejoinPromise::Rejoining => self.needs_log = true,
        }
    }

    /// Returns the floor once all ranks have answered and each knew its own promise.
    pub(super) fn floor(&self) -> Option<FencingNumber> {
        (self.missing.is_empty() && !self.needs_log).then_some(self.floor)
    }

    /// Returns whether all ranks have answered and the floor must be read from the log.
    pub(super) fn must_read_log(&self) -> bool {
        self.missing.is_empty() && self.needs_log
    }

    /// Returns a floor above the newest leadership record, so that no earlier leader is followed.
    pub(super) fn floor_above(&self, newest: FencingNumber) -> FencingNumber {
        self.floor.max(newest.next())
    }
}
