//! The other entries.

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::prelude::*;

use super::message::{PeerBeat, StoreTopic, TopicPosition};

/// The time without a beat after which a peer's word no longer counts.
const HEARD_AGE: Duration = Duration::from_millis(1_200);

/// The time without a beat after which beats to a peer become rare.
const QUIET_AGE: Duration = Duration::from_secs(5);

/// One beat in this many goes to a quiet peer.
const QUIET_DIVISOR: u64 = 8;

/// The other entries, by address.
#[derive(Debug, Default)]
pub struct PeerTable {
    rows: HashMap<SocketAddr, PeerRow>,
}

/// Another entry.
#[derive(Clone, Debug, Default)]
pub struct PeerRow {
    /// The last beat and the time of its arrival.
    pub heard: Option<(Instant, PeerBeat)>,
}

impl PeerTable {
    /// Adds a peer that a record names.
    pub fn add(&mut self, address: SocketAddr) {
        self.rows.entry(address).or_default();
    }

    /// Takes in a beat.
    pub fn hear(&mut self, address: SocketAddr, beat: PeerBeat, now: Instant) {
        self.rows.entry(address).or_default().heard = Some((now, beat));
    }

    /// Returns the number of known peers.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether no peer is known.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns the addresses that the beat of a number goes to: quiet peers get few.
    pub fn beat_addresses(&self, n_beat: u64, now: Instant) -> Vec<SocketAddr> {
        let is_due =
            |row: &PeerRow| row.is_heard(now, QUIET_AGE) || n_beat.is_multiple_of(QUIET_DIVISOR);
        let due = self.rows.iter().filter(|(_, row)| is_due(row));
        due.map(|(address, _)| *address).collect()
    }

    /// Returns the peers whose word counts now.
    pub fn heard(&self, now: Instant) -> impl Iterator<Item = (SocketAddr, Instant, &PeerBeat)> {
        self.rows.iter().filter_map(move |(address, row)| {
            let (at, beat) = row.heard.as_ref()?;
            (now < *at + HEARD_AGE).then_some((*address, *at, beat))
        })
    }

    /// Returns the time at which a peer last confirmed a topic with the store, the latest of all.
    pub fn confirmed_at(&self, topic: StoreTopic, now: Instant) -> Option<Instant> {
        self.heard(now)
            .filter_map(|(_, at, beat)| {
                let age = beat.position(topic)?.age_ms;
                (age < u32::MAX).then(|| at.checked_sub(Duration::from_millis(u64::from(age))))?
            })
            .max()
    }

    /// Returns the peer that knows most of a topic, where it knows more than up to an offset.
    pub fn ahead_of(&self, topic: StoreTopic, end: u64, now: Instant) -> Option<(SocketAddr, u64)> {
        self.heard(now)
            .filter_map(|(address, _, beat)| Some((address, beat.position(topic)?.changed_end)))
            .filter(|(_, peer_end)| end < *peer_end)
            .max_by_key(|(_, peer_end)| *peer_end)
    }
}

impl PeerRow {
    fn is_heard(&self, now: Instant, age: Duration) -> bool {
        self.heard.as_ref().is_some_and(|(at, _)| now < *at + age)
    }
}

impl PeerBeat {
    /// Returns how far the sender knows a topic.
    pub fn position(&self, topic: StoreTopic) -> Option<TopicPosition> {
        match topic {
            StoreTopic::Operator => Some(self.operator),
            StoreTopic::Targets => Some(self.targets),
            StoreTopic::Peers => None,
        }
    }
}
