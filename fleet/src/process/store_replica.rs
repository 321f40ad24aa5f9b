//! An entry's local replica of the store, kept up to date by own reads and through peers.

use std::net::SocketAddr;

use parking_lot::Mutex;
use slog::{Logger, info, warn};

use crate::mirror::{KeyedMirror, MirrorDelta, MirrorRecord};
use crate::peers::{PeerRecord, PeerTable, StoreTopic, TopicPosition};
use crate::prelude::*;
use crate::roster::{RosterChange, TargetRoster};

use super::entry_state::EntryState;

/// The age of the last read of the store by this entry or any peer from which the store counts as
/// lost.
const STORE_LOST_AGE: Duration = Duration::from_millis(1_600);

/// How long after the store is regained a removed record may merely have expired during the outage,
/// so that its target may still be live.
const STORE_RECOVERY_TIME: Duration = Duration::from_millis(2_000);

/// The functions that decode the platform's records.
#[derive(Clone, Copy, Debug)]
pub struct Decoders {
    /// Decodes a configuration; the error names the field.
    pub catalog: fn(&[u8]) -> Result<RouteCatalog, String>,
    /// Decodes a target's record; the error names the field.
    pub target: fn(&str, &[u8]) -> Result<TargetEntry, String>,
    /// The key of the record that holds the operators' configuration.
    pub catalog_key: &'static str,
}

/// An entry's local replica of the store, kept up to date by own reads and through peers.
///
/// Lock order: `inner` before the locks of the entry's state.
#[derive(Debug)]
pub struct StoreReplica {
    state: Arc<EntryState>,
    decoders: Decoders,
    inner: Mutex<ReplicaInner>,
}

#[derive(Debug, Default)]
struct ReplicaInner {
    operator: TopicCopy,
    targets: TopicCopy,
    roster: TargetRoster,
    peers: PeerTable,
    store_lost: bool,
    store_regained_at: Option<Instant>,
}

/// The local copy of one topic.
#[derive(Debug, Default)]
struct TopicCopy {
    mirror: KeyedMirror,
    /// The offset after the last record that changed something.
    changed_end: u64,
    /// The time of this process's last read of the store.
    read_at: Option<Instant>,
}

impl StoreReplica {
    /// Creates an empty replica.
    pub fn new(state: Arc<EntryState>, decoders: Decoders) -> Self {
        Self {
            state,
            decoders,
            inner: Mutex::new(ReplicaInner::default()),
        }
    }

    /// Returns the offset from which a topic is read next.
    pub fn next_offset(&self, topic: StoreTopic) -> u64 {
        self.inner
            .lock()
            .copy(topic)
            .map_or(0, |copy| copy.mirror.end())
    }

    /// Returns the last time at which this process read a topic from the store.
    pub fn read_at(&self, topic: StoreTopic) -> Option<Instant> {
        self.inner.lock().copy(topic).and_then(|copy| copy.read_at)
    }

    /// Returns up to where this process has applied a topic, and the age of its last read of the
    /// store.
    pub fn position(&self, topic: StoreTopic, now: Instant) -> TopicPosition {
        let inner = self.inner.lock();
        inner
            .copy(topic)
            .map_or_else(TopicPosition::default, |copy| {
                TopicPosition::new(copy.changed_end, copy.read_at, now)
            })
    }

    /// Returns the records of a topic that are at least as new as an offset.
    pub fn since(&self, topic: StoreTopic, from: u64) -> MirrorDelta {
        let inner = self.inner.lock();
        inner
            .copy(topic)
            .map_or_else(MirrorDelta::default, |copy| copy.mirror.since(from))
    }

    /// Runs a function with the table of peers.
    pub fn with_peers<T>(&self, work: impl FnOnce(&mut PeerTable) -> T) -> T {
        work(&mut self.inner.lock().peers)
    }

    /// Adds the peers found in the records of the entries.
    pub fn add_peers(&self, delta: &MirrorDelta, own: SocketAddr) {
        let mut inner = self.inner.lock();
        let peers = peer_records(delta, &self.state.log);
        for peer in peers.iter().filter(|peer| peer.address != own) {
            inner.peers.add(peer.address, &peer.zone);
        }
    }

    /// Applies records that this process read from the store.
    pub fn apply_from_store(&self, topic: StoreTopic, delta: MirrorDelta, asked_at: Instant) {
        let now = Instant::now();
        let mut inner = self.inner.lock();
        // Detects an outage that no tick has seen, before this read ends it.
        inner.update_store_status(now, &self.state.log);
        if let Some(copy) = inner.copy_mut(topic) {
            copy.read_at = Some(copy.read_at.map_or(asked_at, |at| at.max(asked_at)));
        }
        inner.update_store_status(now, &self.state.log);
        if topic == StoreTopic::Operator {
            self.state.confirm(asked_at);
        }
        self.apply(&mut inner, topic, delta, "store");
    }

    /// Applies records that were pulled from a peer.
    pub fn apply_from_peer(&self, topic: StoreTopic, delta: MirrorDelta) {
        let mut inner = self.inner.lock();
        inner.update_store_status(Instant::now(), &self.state.log);
        self.apply(&mut inner, topic, delta, "peer");
    }

    /// Updates the state that depends on time: the store's status, the time at which the
    /// configuration was confirmed, and expired targets.
    pub fn tick(&self, now: Instant) {
        let mut inner = self.inner.lock();
        inner.update_store_status(now, &self.state.log);
        let operator_end = inner.operator.changed_end;
        let is_behind = inner
            .peers
            .ahead_of(StoreTopic::Operator, operator_end, now)
            .is_some();
        if let Some(at) = inner.peers.confirmed_at(StoreTopic::Operator, now)
            && !is_behind
        {
            self.state.confirm(at);
        }
        for id in inner.roster.expire(now) {
            info!(self.state.log, "target lapsed"; "target" => &*id);
            self.state.table.lock().apply(&RosterChange::Removed(id));
        }
        let n_usable = self.state.table.lock().n_usable();
        self.state.metrics.targets.set(n_usable as i64);
    }

    /// Applies records to a topic's copy and to the tables that depend on it.
    fn apply(&self, inner: &mut ReplicaInner, topic: StoreTopic, delta: MirrorDelta, source: &str) {
        let Some(copy) = inner.copy_mut(topic) else {
            return;
        };
        let changes = copy.mirror.apply(delta);
        for record in changes {
            let changed = match topic {
                StoreTopic::Operator => self.apply_catalog(&record, source),
                StoreTopic::Targets => self.apply_target(inner, &record, source),
                StoreTopic::Peers => false,
            };
            if let Some(copy) = inner.copy_mut(topic)
                && changed
            {
                copy.changed_end = copy.changed_end.max(record.offset + 1);
            }
        }
    }

    /// Puts a configuration in force if it is newer; returns whether the record is a valid one.
    fn apply_catalog(&self, record: &MirrorRecord, source: &str) -> bool {
        let log = &self.state.log;
        let Some(bytes) = record
            .value
            .as_ref()
            .filter(|_| record.key == self.decoders.catalog_key)
        else {
            return false;
        };
        let catalog = match (self.decoders.catalog)(bytes) {
            Ok(catalog) => catalog,
            Err(reason) => {
                warn!(log, "unreadable record"; "topic" => "operator", "key" => &record.key,
                    "offset" => record.offset, "reason" => reason);
                return false;
            }
        };
        let current = self
            .state
            .catalog
            .load()
            .as_ref()
            .map(|catalog| catalog.version);
        if current.is_some_and(|current| catalog.version <= current) {
            return true;
        }
        info!(log, "configuration in force"; "version" => catalog.version, "source" => source,
            "offset" => record.offset, "before" => current);
        self.state.metrics.version.set(catalog.version as i64);
        self.state.catalog.store(Some(Arc::new(catalog)));
        true
    }

    /// Applies a target's record; returns whether it changed the roster.
    fn apply_target(&self, inner: &mut ReplicaInner, record: &MirrorRecord, source: &str) -> bool {
        let log = &self.state.log;
        let entry = record
            .value
            .as_ref()
            .map(|bytes| (self.decoders.target)(&record.key, bytes));
        let change = match entry {
            Some(Ok(entry)) => inner.roster.insert(entry),
            Some(Err(reason)) => {
                warn!(log, "unreadable record"; "topic" => "targets", "key" => &record.key,
                    "offset" => record.offset, "reason" => reason);
                inner.roster.remove(&record.key)
            }
            None => match inner.store_regained_at {
                Some(regained_at) if Instant::now() < regained_at + STORE_RECOVERY_TIME => {
                    inner.roster.remove_lapsed(&record.key, regained_at)
                }
                _ => inner.roster.remove(&record.key),
            },
        };
        if change == RosterChange::Same {
            return false;
        }
        match &change {
            RosterChange::Changed(entry) => info!(log, "target changed"; "target" => &*entry.id,
                "service" => &*entry.service, "address" => %entry.address,
                "draining" => entry.draining, "offset" => record.offset, "source" => source),
            _ => info!(log, "target removed"; "change" => ?change, "offset" => record.offset,
                "source" => source),
        }
        self.state.table.lock().apply(&change);
        true
    }
}

/// Decodes the records of the entries, and logs each one that cannot be decoded.
pub(super) fn peer_records(delta: &MirrorDelta, log: &Logger) -> Vec<PeerRecord> {
    let read = |record: &MirrorRecord| {
        postcard::from_bytes(record.value.as_ref()?)
            .inspect_err(|err| {
                warn!(log, "unreadable record"; "topic" => "peers", "key" => &record.key,
                    "offset" => record.offset, "reason" => %err);
            })
            .ok()
    };
    delta.records.iter().filter_map(read).collect()
}

impl ReplicaInner {
    fn copy(&self, topic: StoreTopic) -> Option<&TopicCopy> {
        match topic {
            StoreTopic::Operator => Some(&self.operator),
            StoreTopic::Targets => Some(&self.targets),
            StoreTopic::Peers => None,
        }
    }

    fn copy_mut(&mut self, topic: StoreTopic) -> Option<&mut TopicCopy> {
        match topic {
            StoreTopic::Operator => Some(&mut self.operator),
            StoreTopic::Targets => Some(&mut self.targets),
            StoreTopic::Peers => None,
        }
    }

    /// Records whether this entry or any peer has read the store recently, and when it was regained
    /// after an outage.
    fn update_store_status(&mut self, now: Instant, log: &Logger) {
        let peers_at = self.peers.confirmed_at(StoreTopic::Targets, now);
        let Some(known_at) = peers_at.max(self.targets.read_at) else {
            return;
        };
        let is_lost = known_at + STORE_LOST_AGE <= now;
        if is_lost == self.store_lost {
            return;
        }
        self.store_lost = is_lost;
        if is_lost {
            warn!(log, "store lost"; "age_ms" => (now - known_at).as_millis() as u64);
        } else {
            self.store_regained_at = Some(now);
            info!(log, "store regained");
        }
    }
}
