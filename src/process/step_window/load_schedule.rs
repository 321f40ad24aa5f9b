//! The order and rate at which the ranks of a group load a map.

use crate::prelude::*;
use crate::version::expert_map::{ExpertMap, RankId};

use super::rank_set::RankSet;

/// The order and rate at which ranks load a map, within the group's share of the weight store's
/// bandwidth.
#[derive(Clone, Debug)]
pub(super) struct LoadSchedule {
    pub(super) map: Arc<ExpertMap>,
    rate: LoadRate,
    ranks: Vec<RankLoad>,
    next_send_at: Timestamp,
}

/// The rate at which a group loads experts.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoadRate {
    /// The size of one expert of one layer, in bytes.
    pub(super) expert_bytes: u64,
    /// The group's share of the weight store's bandwidth, in bytes per second.
    pub(super) bytes_per_second: u64,
    /// The delay, in addition to twice the load time, after which a load is sent again.
    pub(super) resend_after: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct RankLoad {
    n_experts: u64,
    resend_at: Timestamp,
}

impl LoadSchedule {
    /// Creates the schedule for ranks that hold `earlier`. Without it, they load every expert.
    pub(super) fn new(
        now: Timestamp,
        map: Arc<ExpertMap>,
        earlier: Option<&ExpertMap>,
        rate: LoadRate,
    ) -> Self {
        let shape = map.shape();
        let all = RankLoad {
            n_experts: shape.slots_of_rank() as u64,
            resend_at: now,
        };
        let mut ranks = vec![all; usize::from(shape.ranks)];
        if let Some(earlier) = earlier.filter(|earlier| earlier.shape() == shape) {
            ranks.fill(RankLoad {
                n_experts: 0,
                resend_at: now,
            });
            for expert_move in map.moves_from(earlier) {
                ranks[usize::from(expert_move.rank)].n_experts += 1;
            }
        }
        Self {
            map,
            rate,
            ranks,
            next_send_at: now,
        }
    }

    /// Returns the ranks of `missing` whose load must be sent now.
    pub(super) fn due(&mut self, now: Timestamp, missing: RankSet) -> RankSet {
        let mut due = RankSet::default();
        for rank in missing.iter() {
            let load_time = self.load_time(rank);
            if now < self.next_send_at {
                break;
            }
            let load = &mut self.ranks[usize::from(rank)];
            if now < load.resend_at {
                continue;
            }
            load.resend_at = now + load_time * 2 + self.rate.resend_after;
            self.next_send_at = self.next_send_at.max(now) + load_time;
            due.insert(rank);
        }
        due
    }

    /// Makes the load of a rank that has lost the map due at once.
    pub(super) fn resend_now(&mut self, now: Timestamp, rank: RankId) {
        self.ranks[usize::from(rank)].resend_at = now;
    }

    fn load_time(&self, rank: RankId) -> Duration {
        let bytes = self.ranks[usize::from(rank)].n_experts * self.rate.expert_bytes;
        let rate = self.rate.bytes_per_second.max(1);
        Duration::from_micros(bytes.saturating_mul(1_000_000) / rate)
    }
}
