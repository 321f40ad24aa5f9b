//! What the other entries say about their requests in progress.

use std::collections::HashMap;

use crate::prelude::*;

/// The age at which the last message of a peer no longer tells its load.
const LOAD_AGE: Duration = Duration::from_millis(1_500);

/// What the other entries say about their requests in progress, by target and service.
#[derive(Debug, Default)]
pub struct LoadView {
    peers: HashMap<u64, PeerLoad>,
}

#[derive(Debug)]
struct PeerLoad {
    heard_at: Instant,
    running: Vec<(u32, u16)>,
    demand: Vec<(u32, f32)>,
}

/// Returns the hash by which messages name a target or a service.
pub fn name_hash(name: &str) -> u32 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes()) as u32
}

impl LoadView {
    /// Takes in a peer's requests in progress by target and its demand by service, in requests a
    /// second.
    pub fn update(
        &mut self,
        peer: u64,
        running: Vec<(u32, u16)>,
        demand: Vec<(u32, f32)>,
        now: Instant,
    ) {
        let load = PeerLoad {
            heard_at: now,
            running,
            demand,
        };
        self.peers.insert(peer, load);
        self.peers.retain(|_, load| now < load.heard_at + LOAD_AGE);
    }

    /// Returns the requests of all other entries in progress at a target.
    pub fn running_at(&self, target: u32, now: Instant) -> u32 {
        self.fresh(now)
            .flat_map(|load| &load.running)
            .filter(|(hash, _)| *hash == target)
            .map(|(_, n_running)| u32::from(*n_running))
            .sum()
    }

    /// Returns the demand of all other entries for a service, in requests a second.
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
            .filter(move |load| now < load.heard_at + LOAD_AGE)
    }
}
