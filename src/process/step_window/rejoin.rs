//! How the agent of a rank rejoins its group after a restart.

use crate::prelude::*;
use crate::version::expert_map::RankId;

use super::rank_set::RankSet;
use super::step_message::RejoinPromise;

/// Which ranks know the new incarnation, and the promises that they told.
#[derive(Clone, Debug)]
pub(super) struct RejoinRound {
    pub(super) missing: RankSet,
    floor: FencingNumber,
    needs_log: bool,
}

impl RejoinRound {
    /// Creates a round that asks all other ranks.
    pub(super) fn new(rank: RankId, ranks: u16) -> Self {
        let mut missing = RankSet::all(ranks);
        missing.remove(rank);
        // A rank without others has nobody who remembers its promises.
        Self {
            needs_log: missing.is_empty(),
            missing,
            floor: FencingNumber::default(),
        }
    }

    /// Takes the answer of a rank in.
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

    /// Returns whether all ranks have answered and the log has to tell the floor.
    pub(super) fn wants_log(&self) -> bool {
        self.missing.is_empty() && self.needs_log
    }

    /// Returns the floor above the newest `Lead` record: no leader of before is followed.
    pub(super) fn floor_above(&self, newest: FencingNumber) -> FencingNumber {
        self.floor.max(newest.next())
    }
}
