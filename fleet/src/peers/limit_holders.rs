//! Which entry shares out the limit of a target.
//!
//! Of the data centres that can be reached, one is chosen for each target, and there the entry that
//! represents it. Behind a cut each side has a holder of its own, which shares out only its part.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::prelude::*;

use super::message::PeerHeartbeat;
use super::peer_table::PeerTable;

/// How long an entry that fell silent without stopping may still share out a part of the limits, as
/// it may run behind a cut.
const CUT_TIME: Duration = Duration::from_secs(60);

/// The entries that share out the limits of targets.
#[derive(Clone, Debug)]
pub struct LimitHolders {
    zones: SmallVec<[ZoneHolder; 4]>,
    /// The fraction of each limit that this entry may share out, where it is the holder.
    pub share: f64,
}

#[derive(Clone, Debug)]
struct ZoneHolder {
    zone: Arc<str>,
    holder: LimitHolder,
}

/// The entry that shares out the limit of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitHolder {
    /// This entry.
    Own,
    /// The entry at this address.
    Peer(SocketAddr),
}

impl Default for LimitHolders {
    fn default() -> Self {
        Self {
            zones: SmallVec::new(),
            share: 1.0,
        }
    }
}

impl LimitHolders {
    /// Returns the holder of a target's limit.
    pub fn holder_of(&self, target: u32) -> LimitHolder {
        let seed = u64::from(target);
        let zone = self
            .zones
            .iter()
            .max_by_key(|row| xxh3_64_with_seed(row.zone.as_bytes(), seed));
        zone.map_or(LimitHolder::Own, |row| row.holder)
    }
}

impl PeerTable {
    /// Returns the entries that share out the limits of targets, as this entry knows them.
    pub fn limit_holders(&self, own: &PeerHeartbeat, now: Instant) -> LimitHolders {
        let mut zones: SmallVec<[ZoneHolder; 4]> = SmallVec::new();
        zones.push(ZoneHolder {
            zone: own.zone.as_str().into(),
            holder: self.own_zone_holder(own, now),
        });
        let mut remote: SmallVec<[(&PeerHeartbeat, SocketAddr); 4]> = self
            .recent_heartbeats(now)
            .filter(|(_, _, heartbeat)| heartbeat.for_zone && heartbeat.zone != own.zone)
            .map(|(address, _, heartbeat)| (heartbeat, address))
            .collect();
        remote.sort_unstable_by_key(|(heartbeat, _)| (heartbeat.draining, heartbeat.sender));
        for (heartbeat, address) in remote {
            if zones.iter().all(|row| *row.zone != *heartbeat.zone) {
                zones.push(ZoneHolder {
                    zone: heartbeat.zone.as_str().into(),
                    holder: LimitHolder::Peer(address),
                });
            }
        }
        let share = self.own_share(own, zones.len(), now);
        LimitHolders { zones, share }
    }

    fn own_zone_holder(&self, own: &PeerHeartbeat, now: Instant) -> LimitHolder {
        let peers = self.recent_heartbeats(now).filter(|(_, _, heartbeat)| {
            heartbeat.zone == own.zone && !heartbeat.for_zone && !heartbeat.draining
        });
        let first = peers.min_by_key(|(_, _, heartbeat)| heartbeat.sender);
        match first {
            Some((address, _, peer)) if own.draining || peer.sender < own.sender => {
                LimitHolder::Peer(address)
            }
            _ => LimitHolder::Own,
        }
    }

    /// Returns the fraction of the entries that can be reached, by entries in the own data centre and
    /// by data centres beyond it.
    fn own_share(&self, own: &PeerHeartbeat, n_zones: usize, now: Instant) -> f64 {
        let mut known_zones = BTreeSet::from([own.zone.as_str()]);
        let mut n_known = 1;
        for (_, _, heartbeat) in self.heartbeats_within(CUT_TIME, now) {
            if !heartbeat.draining {
                known_zones.insert(&heartbeat.zone);
                n_known += usize::from(heartbeat.zone == own.zone);
            }
        }
        let is_local =
            |heartbeat: &PeerHeartbeat| heartbeat.zone == own.zone && !heartbeat.draining;
        let n_reached = 1 + self
            .recent_heartbeats(now)
            .filter(|(_, _, heartbeat)| is_local(heartbeat))
            .count();
        let of_zone = n_reached as f64 / n_known as f64;
        let of_zones = n_zones as f64 / known_zones.len().max(n_zones) as f64;
        of_zone * of_zones
    }
}
