//! The other entry VMs that an entry VM knows.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::connection::PeerHello;
use crate::prelude::*;
use crate::process::distribution::{PeerInfo, PeerName, PeerRole};
use crate::process::operator::PeerReport;

/// The time without a response after which a peer is removed, unless it is a seed.
const FORGET_AFTER: Duration = Duration::from_secs(120);
/// The maximum number of known peers.
const MAX_PEERS: usize = 1_024;

/// The last known state of another entry VM.
#[derive(Clone, Debug, Default)]
struct KnownPeer {
    name: Option<EntryName>,
    data_centre: Option<DataCentreName>,
    version: VersionNumber,
    known_since: Timestamp,
    heard_at: Option<Timestamp>,
    contacted_at: Option<Timestamp>,
    is_reachable: bool,
    is_seed: bool,
}

/// The other entry VMs by their address for control messages.
///
/// No other lock is taken while its lock is held.
#[derive(Debug)]
pub(super) struct KnownPeers {
    own_address: SocketAddr,
    peers: BTreeMap<SocketAddr, KnownPeer>,
}

impl KnownPeers {
    /// Creates a table that contains the seeds.
    pub(super) fn new(own_address: SocketAddr, seeds: &[SocketAddr], now: Timestamp) -> Self {
        let mut table = Self {
            own_address,
            peers: BTreeMap::new(),
        };
        for &seed in seeds.iter().filter(|seed| **seed != own_address) {
            let peer = KnownPeer {
                is_seed: true,
                known_since: now,
                ..KnownPeer::default()
            };
            table.peers.insert(seed, peer);
        }
        table
    }

    /// Records a peer's message and adds the peers that it lists.
    pub(super) fn observe(&mut self, now: Timestamp, hello: &PeerHello) {
        if hello.control == self.own_address {
            return;
        }
        self.add(now, hello.control);
        if let Some(peer) = self.peers.get_mut(&hello.control) {
            peer.name = Some(hello.from.clone());
            peer.data_centre = Some(hello.data_centre.clone());
            peer.version = hello.announcement.number;
            peer.heard_at = Some(now);
            peer.is_reachable = true;
        }
        for &address in &hello.peers {
            self.add(now, address);
        }
    }

    /// Records that a peer did not respond, and removes it if it has been silent for too long.
    pub(super) fn record_failure(&mut self, now: Timestamp, address: SocketAddr) {
        let Some(peer) = self.peers.get_mut(&address) else {
            return;
        };
        peer.is_reachable = false;
        let silent_since = peer.heard_at.unwrap_or(peer.known_since);
        if !peer.is_seed && FORGET_AFTER <= now.since(silent_since) {
            self.peers.remove(&address);
        }
    }

    /// Returns the addresses of the peers due for an exchange, and marks them as contacted.
    ///
    /// Of two entry VMs, the one with the lower address initiates the exchange; the other does so
    /// only if it has heard nothing for two periods.
    pub(super) fn start_due_exchanges(
        &mut self,
        now: Timestamp,
        period: Duration,
    ) -> Vec<SocketAddr> {
        let own_address = self.own_address;
        let due = self.peers.iter_mut().filter(|(address, peer)| {
            let is_contacted = peer.contacted_at.is_some_and(|at| now.since(at) < period);
            let is_heard = peer.heard_at.is_some_and(|at| now.since(at) < period * 2);
            !is_contacted && (own_address < **address || !is_heard)
        });
        let due = due.map(|(&address, peer)| {
            peer.contacted_at = Some(now);
            address
        });
        due.collect()
    }

    /// Returns the addresses of the peers that responded to the last message.
    pub(super) fn reachable(&self) -> Vec<SocketAddr> {
        let reachable = self.peers.iter().filter(|(_, peer)| peer.is_reachable);
        reachable.map(|(&address, _)| address).collect()
    }

    /// Returns the peers whose name and data centre are known, with their addresses.
    pub(super) fn members(&self) -> Vec<(PeerInfo, SocketAddr)> {
        let members = self.peers.iter().filter_map(|(&control, peer)| {
            let info = PeerInfo {
                name: PeerName::from(peer.name.as_ref()?.as_str()),
                data_centre: peer.data_centre.clone()?,
                role: PeerRole::Entry,
            };
            Some((info, control))
        });
        members.collect()
    }

    /// Returns the names of all peers whose name is known.
    pub(super) fn names(&self) -> Vec<EntryName> {
        self.peers
            .values()
            .filter_map(|peer| peer.name.clone())
            .collect()
    }

    /// Reports the state of each peer.
    pub(super) fn reports(&self, now: Timestamp) -> Vec<PeerReport> {
        let reports = self.peers.iter().map(|(&control, peer)| PeerReport {
            name: peer.name.clone(),
            data_centre: peer.data_centre.clone(),
            control,
            version: peer.version,
            silent_ms: peer.heard_at.map(|at| now.since(at).as_millis() as u64),
            reachable: peer.is_reachable,
        });
        reports.collect()
    }

    fn add(&mut self, now: Timestamp, address: SocketAddr) {
        if address == self.own_address || MAX_PEERS <= self.peers.len() {
            return;
        }
        let peer = KnownPeer {
            known_since: now,
            ..KnownPeer::default()
        };
        self.peers.entry(address).or_insert(peer);
    }
}
