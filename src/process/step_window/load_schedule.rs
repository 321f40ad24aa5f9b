//! The order and the rate in which ranks load a map.

use crate::prelude::*;
use crate::version::expert_map::{ExpertMap, RankId};

use super::rank_set::RankSet;

/// The order and the rate in which ranks load a map, within the rate of the weight store.
#[derive(Clone, Debug)]
pub(super) struct LoadSchedule {
    pub(super) map: Arc<ExpertMap>,
    rate: LoadRate,
    ranks: Vec<RankLoad>,
    next_at: Timestamp,
}

/// The rate at which a group loads experts.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoadRate {
    /// The size of one expert of one layer, in bytes.
    pub(super) expert_bytes: u64,
    /// The group's share of the weight store, in bytes a second.
    pub(super) bytes_per_second: u64,
    /// The time, beyond twice the load itself, after which a load is sent again.
    pub(super) resend_after: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct RankLoad {
    experts: u64,
    repeat_at: Timestamp,
}

impl LoadSchedule {
    /// Creates the schedule for ranks that hold `earlier`; without it they load all.
    pub(super) fn new(
        now: Timestamp,
        map: Arc<ExpertMap>,
        earlier: Option<&ExpertMap>,
        rate: LoadRate,
    ) -> Self {
        let shape = map.shape();
        let all = RankLoad {
            experts: shape.slots_of_rank() as u64,
            repeat_at: now,
        };
        let mut ranks = vec![all; usize::from(shape.ranks)];
        if let Some(earlier) = earlier.filter(|earlier| earlier.shape() == shape) {
            ranks.fill(RankLoad {
                experts: 0,
                repeat_at: now,
            });
            for expert_move in map.moves_from(earlier) {
                ranks[usize::from(expert_move.rank)].experts += 1;
            }
        }
        Self {
            map,
            rate,
            ranks,
            next_at: now,
        }
    }

    /// Returns the ranks of `missing` that are to be sent their load now.
    pub(super) fn due(&mut self, now: Timestamp, missing: RankSet) -> RankSet {
        let mut due = RankSet::default();
        for rank in missing.iter() {
            let load_time = self.load_time(rank);
            if now < self.next_at {
                break;
            }
            let load = &mut self.ranks[usize::from(rank)];
            if now < load.repeat_at {
                continue;
            }
            load.repeat_at = now + load_time * 2 + self.rate.resend_after;
            self.next_at = self.next_at.max(now) + load_time;
            due.insert(rank);
        }
        due
    }

    /// Lets a rank that has lost the map be sent it again at once.
    pub(super) fn repeat(&mut self, now: Timestamp, rank: RankId) {
        self.ranks[usize::from(rank)].repeat_at = now;
    }

    fn load_time(&self, rank: RankId) -> Duration {
        let bytes = self.ranks[usize::from(rank)].experts * self.rate.expert_bytes;
        let rate = self.rate.bytes_per_second.max(1);
        Duration::from_micros(bytes.saturating_mul(1_000_000) / rate)
    }
}
