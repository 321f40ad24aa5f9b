//! The other entries.

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::prelude::*;

use super::message::{PeerHeartbeat, StoreTopic, TopicPosition};

/// The time without a beat after which a peer's word no longer counts.
const HEARD_AGE: Duration = Duration::from_millis(1_200);

/// The time without a beat after which beats to a peer become rare.
const QUIET_AGE: Duration = Duration::from_secs(5);

/// One beat in this many goes to a quiet peer.
const QUIET_DIVISOR: u64 = 8;

/// One beat in this many goes to all other data centres from every entry, so that all learn of each
/// other: a few seconds.
const FAR_DIVISOR: u64 = 16;

/// The other entries, by address.
#[derive(Debug, Default)]
pub struct PeerTable {
    rows: HashMap<SocketAddr, PeerRow>,
}

/// The addresses that a beat goes to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeartbeatReceivers {
    /// Entries that are told of the sender alone.
    pub own_heartbeat: Vec<SocketAddr>,
    /// Entries of other data centres, which the speaker tells of its own.
    pub zone_heartbeat: Vec<SocketAddr>,
}

/// Another entry.
#[derive(Clone, Debug, Default)]
pub struct PeerRow {
    /// The data centre, where it is known.
    pub zone: Option<Arc<str>>,
    /// The last beat and the time of its arrival.
    pub heard: Option<(Instant, PeerHeartbeat)>,
}

impl PeerTable {
    /// Adds a peer that a record names.
    pub fn add(&mut self, address: SocketAddr, zone: &str) {
        let row = self.rows.entry(address).or_default();
        row.zone.get_or_insert_with(|| zone.into());
    }

    /// Takes in a beat.
    pub fn record_heartbeat(&mut self, address: SocketAddr, beat: PeerHeartbeat, now: Instant) {
        let row = self.rows.entry(address).or_default();
        if row.zone.as_deref() != Some(&beat.zone) {
            row.zone = Some(beat.zone.as_str().into());
        }
        row.heard = Some((now, beat));
    }

    /// Returns the number of known peers.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether no peer is known.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns the addresses that the beat of a number goes to: those of the own data centre, and
    /// those of others from its speaker. Quiet peers get few.
    pub fn heartbeat_receivers(
        &self,
        n_beat: u64,
        own: &PeerHeartbeat,
        now: Instant,
    ) -> HeartbeatReceivers {
        let speaks = self.represents_zone(own, now);
        let mut receivers = HeartbeatReceivers::default();
        for (address, row) in &self.rows {
            let is_near = row.zone.as_deref().is_none_or(|zone| zone == own.zone);
            let is_far_due = n_beat.is_multiple_of(FAR_DIVISOR);
            let is_due = row.is_heard(now, QUIET_AGE) || n_beat.is_multiple_of(QUIET_DIVISOR);
            match (is_near, speaks) {
                (true, _) if is_due => receivers.own_heartbeat.push(*address),
                // The others of that data centre hear of this one, but beat to few far peers.
                (false, true) => receivers.zone_heartbeat.push(*address),
                (false, false) if is_far_due => receivers.own_heartbeat.push(*address),
                _ => {}
            }
        }
        receivers
    }

    /// Returns the peers whose word counts now.
    pub fn heard(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (SocketAddr, Instant, &PeerHeartbeat)> {
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

impl PeerHeartbeat {
    /// Returns how far the sender knows a topic.
    pub fn position(&self, topic: StoreTopic) -> Option<TopicPosition> {
        match topic {
            StoreTopic::Operator => Some(self.operator),
            StoreTopic::Targets => Some(self.targets),
            StoreTopic::Peers => None,
        }
    }
}
