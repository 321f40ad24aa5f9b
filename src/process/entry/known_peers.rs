//! What an entry VM knows of the other entry VMs.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::connection::PeerHello;
use crate::prelude::*;
use crate::process::distribution::{PeerInfo, PeerName, PeerRole};
use crate::process::operator::PeerReport;

/// The time without an answer after which a peer is forgotten, unless it is a seed.
const FORGET_AFTER: Duration = Duration::from_secs(120);
/// The most peers that are known.
const MAX_PEERS: usize = 1_024;

/// What is known of another entry VM.
#[derive(Clone, Debug, Default)]
struct KnownPeer {
    name: Option<EntryName>,
    data_centre: Option<DataCentreName>,
    version: VersionNumber,
    known_since: Timestamp,
    heard_at: Option<Timestamp>,
    asked_at: Option<Timestamp>,
    is_reachable: bool,
    is_seed: bool,
}

/// The other entry VMs by their address for control messages.
///
/// Its lock is a leaf of the lock order.
#[derive(Debug)]
pub(super) struct KnownPeers {
    own: SocketAddr,
    peers: BTreeMap<SocketAddr, KnownPeer>,
}

impl KnownPeers {
    /// Makes a table of the seeds.
    pub(super) fn new(own: SocketAddr, seeds: &[SocketAddr], now: Timestamp) -> Self {
        let mut table = Self {
            own,
            peers: BTreeMap::new(),
        };
        for &seed in seeds.iter().filter(|seed| **seed != own) {
            let peer = KnownPeer {
                is_seed: true,
                known_since: now,
                ..KnownPeer::default()
            };
            table.peers.insert(seed, peer);
        }
        table
    }

    /// Takes in what a peer told, and the peers that it knows.
    pub(super) fn observe(&mut self, now: Timestamp, hello: &PeerHello) {
        if hello.control == self.own {
            return;
        }
        self.learn(now, hello.control);
        if let Some(peer) = self.peers.get_mut(&hello.control) {
            peer.name = Some(hello.from.clone());
            peer.data_centre = Some(hello.data_centre.clone());
            peer.version = hello.announcement.number;
            peer.heard_at = Some(now);
            peer.is_reachable = true;
        }
        for &address in &hello.peers {
            self.learn(now, address);
        }
    }

    /// Notes a message without an answer.
    pub(super) fn failed(&mut self, now: Timestamp, address: SocketAddr) {
        let Some(peer) = self.peers.get_mut(&address) else {
            return;
        };
        peer.is_reachable = false;
        let silent_since = peer.heard_at.unwrap_or(peer.known_since);
        if !peer.is_seed && FORGET_AFTER <= now.since(silent_since) {
            self.peers.remove(&address);
        }
    }

    /// Returns the addresses of the peers with which an exchange is due, and notes it.
    ///
    /// Of two entry VMs the one with the lower address begins; the other does so only when it
    /// has heard nothing for a while.
    pub(super) fn take_due(&mut self, now: Timestamp, period: Duration) -> Vec<SocketAddr> {
        let own = self.own;
        let due = self.peers.iter_mut().filter(|(address, peer)| {
            let is_asked = peer.asked_at.is_some_and(|at| now.since(at) < period);
            let is_heard = peer.heard_at.is_some_and(|at| now.since(at) < period * 2);
            !is_asked && (own < **address || !is_heard)
        });
        let due = due.map(|(&address, peer)| {
            peer.asked_at = Some(now);
            address
        });
        due.collect()
    }

    /// Returns the addresses of the peers that answered their last message.
    pub(super) fn reachable(&self) -> Vec<SocketAddr> {
        let reachable = self.peers.iter().filter(|(_, peer)| peer.is_reachable);
        reachable.map(|(&address, _)| address).collect()
    }

    /// Returns the peers that have told who they are, with their addresses.
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

    /// Returns the names of all peers that have told theirs.
    pub(super) fn names(&self) -> Vec<EntryName> {
        self.peers
            .values()
            .filter_map(|peer| peer.name.clone())
            .collect()
    }

    /// Reports the peers.
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

    fn learn(&mut self, now: Timestamp, address: SocketAddr) {
        if address == self.own || MAX_PEERS <= self.peers.len() {
            return;
        }
        let peer = KnownPeer {
            known_since: now,
            ..KnownPeer::default()
        };
        self.peers.entry(address).or_insert(peer);
    }
}
