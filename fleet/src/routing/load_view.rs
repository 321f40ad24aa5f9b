//! The load that the other entries report.

use std::collections::HashMap;

use crate::prelude::*;

use super::target_health::ResultCounts;

/// The age after which a peer's last report no longer counts.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1_500);

/// The most senders of datagrams that are kept: about twice the entries of the largest deployment
/// planned for.
pub const MAX_SENDERS: usize = 1_024;

/// The load that the other entries report.
#[derive(Debug, Default)]
pub struct LoadView {
    peers: HashMap<u64, (Instant, PeerLoad)>,
}

/// The load that an entry reports, or the sums of a data centre.
#[derive(Clone, Debug, Default)]
pub struct PeerLoad {
    /// Running requests by target.
    pub running: Vec<(u32, u16)>,
    /// Demand by service, in requests per second.
    pub demand: Vec<(u32, f32)>,
    /// Recent results of the targets at which requests failed.
    pub results: Vec<(u32, ResultCounts)>,
}

/// Returns the hash that identifies a target or a service in peer messages.
pub fn name_hash(name: &str) -> u32 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes()) as u32
}

impl LoadView {
    /// Replaces a peer's report; ignored where too many other ones are recent.
    pub fn update(&mut self, peer: u64, load: PeerLoad, now: Instant) {
        self.peers
            .retain(|_, (received_at, _)| now < *received_at + MAX_REPORT_AGE);
        if self.peers.len() < MAX_SENDERS || self.peers.contains_key(&peer) {
            self.peers.insert(peer, (now, load));
        }
    }

    /// Returns the number of requests that the other entries run at a target.
    pub fn running_at(&self, target: u32, now: Instant) -> u32 {
        self.fresh(now)
            .flat_map(|load| &load.running)
            .filter(|(hash, _)| *hash == target)
            .map(|(_, n_running)| u32::from(*n_running))
            .sum()
    }

    /// Returns the other entries' demand for a service, in requests per second.
    pub fn demand_for(&self, service: u32, now: Instant) -> f64 {
        self.fresh(now)
            .flat_map(|load| &load.demand)
            .filter(|(hash, _)| *hash == service)
            .map(|(_, rate)| f64::from(*rate))
            .sum()
    }

    /// Returns the recent results of a target at the other entries.
    pub fn results_at(&self, target: u32, now: Instant) -> ResultCounts {
        let mut sum = ResultCounts::default();
        self.fresh(now)
            .flat_map(|load| &load.results)
            .filter(|(hash, _)| *hash == target)
            .for_each(|(_, counts)| sum.add(*counts));
        sum
    }

    fn fresh(&self, now: Instant) -> impl Iterator<Item = &PeerLoad> {
        self.peers
            .values()
            .filter(move |(received_at, _)| now < *received_at + MAX_REPORT_AGE)
            .map(|(_, load)| load)
    }
}
