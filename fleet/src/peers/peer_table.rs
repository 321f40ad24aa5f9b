//! The table of other entries.

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::mirror::{StoreEra, StorePosition};
use crate::prelude::*;
use crate::routing::MAX_SENDERS;

use super::message::{PeerHeartbeat, StoreTopic, TopicPosition};

/// The time without a heartbeat after which a peer's last one no longer counts.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1_200);

/// The time without a heartbeat after which a peer counts as silent and is sent fewer heartbeats.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(5);

/// One heartbeat in this many goes to a silent peer.
const SILENT_PEER_INTERVAL: u64 = 8;

/// One heartbeat in this many, every few seconds, goes from every entry to all other data centres,
/// so that all entries learn of each other.
const REMOTE_INTERVAL: u64 = 16;

/// The known other entries, by address.
#[derive(Debug, Default)]
pub struct PeerTable {
    rows: HashMap<SocketAddr, PeerRow>,
}

/// The addresses that heartbeats go to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeartbeatReceivers {
    /// Entries that get the sender's own heartbeat.
    pub own_heartbeat: Vec<SocketAddr>,
    /// Entries of other data centres that get the heartbeat of the whole data centre.
    pub zone_heartbeat: Vec<SocketAddr>,
}

/// What is known of another entry.
#[derive(Clone, Debug, Default)]
pub struct PeerRow {
    /// The data centre, where it is known.
    pub zone: Option<Arc<str>>,
    /// Whether the store has a record of it.
    pub is_registered: bool,
    /// The last heartbeat and the time of its arrival.
    pub last_heartbeat: Option<(Instant, PeerHeartbeat)>,
}

impl PeerTable {
    /// Adds a peer that is registered in the store.
    pub fn add(&mut self, address: SocketAddr, zone: &str) {
        let row = self.rows.entry(address).or_default();
        row.is_registered = true;
        row.zone.get_or_insert_with(|| zone.into());
    }

    /// Records a heartbeat, and adds its sender where it is not known and there is room: a sender
    /// that fell silent and has no record in the store leaves for it.
    pub fn record_heartbeat(
        &mut self,
        address: SocketAddr,
        mut heartbeat: PeerHeartbeat,
        now: Instant,
    ) {
        if !self.rows.contains_key(&address) && MAX_SENDERS <= self.rows.len() {
            let silent = self.rows.iter().find(|(_, row)| row.may_leave(now));
            let Some(silent) = silent.map(|(address, _)| *address) else {
                return;
            };
            self.rows.remove(&silent);
        }
        let row = self.rows.entry(address).or_default();
        if row.zone.as_deref() != Some(&heartbeat.zone) {
            row.zone = Some(heartbeat.zone.as_str().into());
        }
        if let Some((at, before)) = &row.last_heartbeat {
            let elapsed = now.saturating_duration_since(*at);
            heartbeat
                .operator
                .keep_confirmation(&before.operator, elapsed);
            heartbeat
                .targets
                .keep_confirmation(&before.targets, elapsed);
        }
        row.last_heartbeat = Some((now, heartbeat));
    }

    /// Returns the number of known peers.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether no peer is known.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns the addresses that a heartbeat goes to.
    ///
    /// The own heartbeat goes to the own data centre each time, to its silent peers at longer
    /// intervals. Other data centres get the one of the whole data centre from its representative
    /// each time, and the own one from other entries at longer intervals.
    pub fn heartbeat_receivers(
        &self,
        heartbeat_idx: u64,
        own: &PeerHeartbeat,
        now: Instant,
    ) -> HeartbeatReceivers {
        let is_representative = self.represents_zone(own, now);
        let mut receivers = HeartbeatReceivers::default();
        for (address, row) in &self.rows {
            let is_local = row.zone.as_deref().is_none_or(|zone| zone == own.zone);
            let is_remote_due = heartbeat_idx.is_multiple_of(REMOTE_INTERVAL);
            let is_due = row.sent_within(now, SILENCE_TIMEOUT)
                || heartbeat_idx.is_multiple_of(SILENT_PEER_INTERVAL);
            match (is_local, is_representative) {
                (true, _) if is_due => receivers.own_heartbeat.push(*address),
                // Silence is ignored here: a remote entry that receives heartbeats from this data
                // centre rarely sends its own to it.
                (false, true) => receivers.zone_heartbeat.push(*address),
                (false, false) if is_remote_due => receivers.own_heartbeat.push(*address),
                _ => {}
            }
        }
        receivers
    }

    /// Returns the peers with a recent heartbeat, and the time of its arrival.
    pub fn recent_heartbeats(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (SocketAddr, Instant, &PeerHeartbeat)> {
        self.heartbeats_within(HEARTBEAT_TIMEOUT, now)
    }

    /// Returns the peers whose last heartbeat is younger than `age`, and the time of its arrival.
    pub(super) fn heartbeats_within(
        &self,
        age: Duration,
        now: Instant,
    ) -> impl Iterator<Item = (SocketAddr, Instant, &PeerHeartbeat)> {
        self.rows.iter().filter_map(move |(address, row)| {
            let (at, heartbeat) = row.last_heartbeat.as_ref()?;
            (now < *at + age).then_some((*address, *at, heartbeat))
        })
    }

    /// Returns the latest time at which a peer that has read the era `era` or a later one read a
    /// topic from the store.
    pub fn confirmed_at(&self, topic: StoreTopic, era: StoreEra, now: Instant) -> Option<Instant> {
        self.recent_heartbeats(now)
            .filter_map(|(_, at, heartbeat)| heartbeat.read_at(topic, era, at))
            .max()
    }

    /// Returns the latest time at which a peer confirmed with the store that a copy which ends at
    /// `end`, or which has all records of that peer, is up to date.
    pub fn confirmed_copy_at(
        &self,
        topic: StoreTopic,
        era: StoreEra,
        end: StorePosition,
        now: Instant,
    ) -> Option<Instant> {
        self.recent_heartbeats(now)
            .filter(|(_, _, heartbeat)| heartbeat.covers(topic, end))
            .filter_map(|(_, at, heartbeat)| heartbeat.read_at(topic, era, at))
            .max()
    }

    /// Returns any peer that has read an era of the targets' topic.
    pub fn recent_peer(&self, era: StoreEra, now: Instant) -> Option<SocketAddr> {
        self.recent_heartbeats(now)
            .find(|(_, _, heartbeat)| {
                heartbeat.spans.is_some() && heartbeat.targets.changed_end.era == era
            })
            .map(|(address, _, _)| address)
    }

    /// Returns a peer whose configuration in force is newer than `version`; the newest one's.
    pub fn newer_version(&self, version: Option<u64>, now: Instant) -> Option<SocketAddr> {
        self.recent_heartbeats(now)
            .filter(|(_, _, heartbeat)| version < heartbeat.version)
            .max_by_key(|(_, _, heartbeat)| heartbeat.version)
            .map(|(address, _, _)| address)
    }

    /// Returns the peer that has read furthest in a topic, and its end, where that lies beyond
    /// `end`. Peers of an earlier version do not count: their answers may lack removals.
    pub fn ahead_of(
        &self,
        topic: StoreTopic,
        end: StorePosition,
        now: Instant,
    ) -> Option<(SocketAddr, StorePosition)> {
        self.recent_heartbeats(now)
            .filter(|(_, _, heartbeat)| heartbeat.spans.is_some())
            .filter_map(|(address, _, heartbeat)| {
                Some((address, heartbeat.position(topic)?.changed_end))
            })
            .filter(|(_, peer_end)| end < *peer_end)
            .max_by_key(|(_, peer_end)| *peer_end)
    }
}

impl PeerRow {
    fn may_leave(&self, now: Instant) -> bool {
        !self.is_registered && !self.sent_within(now, SILENCE_TIMEOUT)
    }

    fn sent_within(&self, now: Instant, age: Duration) -> bool {
        self.last_heartbeat
            .as_ref()
            .is_some_and(|(at, _)| now < *at + age)
    }
}

impl PeerHeartbeat {
    /// Returns the sender's position in a topic; `None` for a topic that heartbeats do not cover.
    pub fn position(&self, topic: StoreTopic) -> Option<TopicPosition> {
        match topic {
            StoreTopic::Operator => Some(self.operator),
            StoreTopic::Targets => Some(self.targets),
            StoreTopic::Peers | StoreTopic::Suspects => None,
        }
    }

    /// Returns whether what the sender states of a topic holds for a copy that ends at `end`.
    pub fn covers(&self, topic: StoreTopic, end: StorePosition) -> bool {
        let span = self.spans.and_then(|spans| spans.span(topic));
        span.zip(self.position(topic))
            .is_some_and(|(span, position)| span.covers(&position, end))
    }

    /// Returns whether the sender says that it fails to read a topic. One that speaks for its data
    /// centre says how old the confirmation there is instead.
    pub fn fails(&self, topic: StoreTopic) -> bool {
        let span = self.spans.and_then(|spans| spans.span(topic));
        !self.for_zone && span.is_some_and(|span| span.fails)
    }

    /// Returns the latest time at which an entry read the era `era` of a topic or a later one from
    /// the store, as stated in a heartbeat that arrived at a time.
    fn read_at(&self, topic: StoreTopic, era: StoreEra, arrived_at: Instant) -> Option<Instant> {
        let position = self.position(topic)?;
        let is_known = era <= position.changed_end.era && position.age_ms < u32::MAX;
        let age = Duration::from_millis(u64::from(position.age_ms));
        is_known.then(|| arrived_at.checked_sub(age))?
    }
}
