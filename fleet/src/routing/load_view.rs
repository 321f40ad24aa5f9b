//! The load that the other entries report.

use std::collections::HashMap;

use crate::prelude::*;

/// The age after which a peer's last report no longer counts.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1_500);

/// The load that the other entries report: running requests by target, demand by service.
#[derive(Debug, Default)]
pub struct LoadView {
    peers: HashMap<u64, PeerLoad>,
}

#[derive(Debug)]
struct PeerLoad {
    received_at: Instant,
    running: Vec<(u32, u16)>,
    demand: Vec<(u32, f32)>,
}

/// Returns the hash that identifies a target or a service in peer messages.
pub fn name_hash(name: &str) -> u32 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes()) as u32
}

impl LoadView {
    /// Replaces a peer's report: its running requests by target, and its demand by service in
    /// requests per second.
    pub fn update(
        &mut self,
        peer: u64,
        running: Vec<(u32, u16)>,
        demand: Vec<(u32, f32)>,
        now: Instant,
    ) {
        let load = PeerLoad {
            received_at: now,
            running,
            demand,
        };
        self.peers.insert(peer, load);
        self.peers
            .retain(|_, load| now < load.received_at + MAX_REPORT_AGE);
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

    fn fresh(&self, now: Instant) -> impl Iterator<Item = &PeerLoad> {
        self.peers
            .values()
            .filter(move |load| now < load.received_at + MAX_REPORT_AGE)
    }
}
