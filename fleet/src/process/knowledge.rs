//! What an entry knows from the store, by itself or through its peers.

use std::net::SocketAddr;

use parking_lot::Mutex;
use slog::{Logger, info, warn};

use crate::mirror::{KeyedMirror, MirrorDelta, MirrorRecord};
use crate::peers::{PeerRecord, PeerTable, StoreTopic, TopicPosition};
use crate::prelude::*;
use crate::roster::{RosterChange, TargetRoster};

use super::entry_state::EntryState;

/// The age of everybody's last word from the store at which the store counts as away.
const OUTAGE_AGE: Duration = Duration::from_millis(1_600);

/// The time after the store's return in which vanished records may only have lapsed.
const RETURN_TIME: Duration = Duration::from_millis(2_000);

/// Reads the platform's records into the product's types.
#[derive(Clone, Copy, Debug)]
pub struct Decoders {
    /// Reads a configuration; the error names the field.
    pub catalog: fn(&[u8]) -> Result<RouteCatalog, String>,
    /// Reads a target's record; the error names the field.
    pub target: fn(&str, &[u8]) -> Result<TargetEntry, String>,
    /// The key of the operators' configuration.
    pub catalog_key: &'static str,
}

/// What an entry knows from the store, by itself or through its peers.
///
/// Lock order: `facts` before the locks of the entry's state.
#[derive(Debug)]
pub struct Knowledge {
    state: Arc<EntryState>,
    decoders: Decoders,
    facts: Mutex<Facts>,
}

#[derive(Debug, Default)]
struct Facts {
    operator: TopicCopy,
    targets: TopicCopy,
    roster: TargetRoster,
    peers: PeerTable,
    store_away: bool,
    store_back_at: Option<Instant>,
}

#[derive(Debug, Default)]
struct TopicCopy {
    mirror: KeyedMirror,
    changed_end: u64,
    /// The last read of the store by this process.
    read_at: Option<Instant>,
}

impl Knowledge {
    /// Creates the knowledge of a process that has read nothing.
    pub fn new(state: Arc<EntryState>, decoders: Decoders) -> Self {
        Self {
            state,
            decoders,
            facts: Mutex::new(Facts::default()),
        }
    }

    /// Returns the offset from which a topic is read next.
    pub fn next_offset(&self, topic: StoreTopic) -> u64 {
        self.facts
            .lock()
            .copy(topic)
            .map_or(0, |copy| copy.mirror.end())
    }

    /// Returns the last time at which this process read a topic from the store.
    pub fn read_at(&self, topic: StoreTopic) -> Option<Instant> {
        self.facts.lock().copy(topic).and_then(|copy| copy.read_at)
    }

    /// Returns how far this process knows a topic, and since when that was confirmed by its own
    /// reads.
    pub fn position(&self, topic: StoreTopic, now: Instant) -> TopicPosition {
        let facts = self.facts.lock();
        facts
            .copy(topic)
            .map_or_else(TopicPosition::default, |copy| {
                TopicPosition::new(copy.changed_end, copy.read_at, now)
            })
    }

    /// Returns the records of a topic that are at least as new as an offset.
    pub fn since(&self, topic: StoreTopic, from: u64) -> MirrorDelta {
        let facts = self.facts.lock();
        facts
            .copy(topic)
            .map_or_else(MirrorDelta::default, |copy| copy.mirror.since(from))
    }

    /// Runs a function with the table of peers.
    pub fn with_peers<T>(&self, work: impl FnOnce(&mut PeerTable) -> T) -> T {
        work(&mut self.facts.lock().peers)
    }

    /// Takes in the records of this system's processes.
    pub fn learn_peers(&self, delta: &MirrorDelta, own: SocketAddr) {
        let mut facts = self.facts.lock();
        let peers = peer_records(delta, &self.state.log);
        for peer in peers.iter().filter(|peer| peer.address != own) {
            facts.peers.add(peer.address, &peer.zone);
        }
    }

    /// Takes in records that this process read from the store.
    pub fn read_from_store(&self, topic: StoreTopic, delta: MirrorDelta, asked_at: Instant) {
        let now = Instant::now();
        let mut facts = self.facts.lock();
        facts.watch_store(now, &self.state.log);
        if let Some(copy) = facts.copy_mut(topic) {
            copy.read_at = Some(copy.read_at.map_or(asked_at, |at| at.max(asked_at)));
        }
        facts.watch_store(now, &self.state.log);
        if topic == StoreTopic::Operator {
            self.state.confirm(asked_at);
        }
        self.take_in(&mut facts, topic, delta, "store");
    }

    /// Takes in records that a peer passed on.
    pub fn read_from_peer(&self, topic: StoreTopic, delta: MirrorDelta) {
        let mut facts = self.facts.lock();
        facts.watch_store(Instant::now(), &self.state.log);
        self.take_in(&mut facts, topic, delta, "peer");
    }

    /// Updates what depends on time alone.
    pub fn tick(&self, now: Instant) {
        let mut facts = self.facts.lock();
        facts.watch_store(now, &self.state.log);
        let operator_end = facts.operator.changed_end;
        let behind = facts
            .peers
            .ahead_of(StoreTopic::Operator, operator_end, now)
            .is_some();
        if let Some(at) = facts.peers.confirmed_at(StoreTopic::Operator, now)
            && !behind
        {
            self.state.confirm(at);
        }
        for id in facts.roster.expire(now) {
            info!(self.state.log, "target lapsed"; "target" => &*id);
            self.state.table.lock().apply(&RosterChange::Removed(id));
        }
        let n_usable = self.state.table.lock().n_usable();
        self.state.metrics.targets.set(n_usable as i64);
    }

    fn take_in(&self, facts: &mut Facts, topic: StoreTopic, delta: MirrorDelta, source: &str) {
        let Some(copy) = facts.copy_mut(topic) else {
            return;
        };
        let news = copy.mirror.apply(delta);
        for record in news {
            let changed = match topic {
                StoreTopic::Operator => self.take_in_catalog(&record, source),
                StoreTopic::Targets => self.take_in_target(facts, &record, source),
                StoreTopic::Peers => false,
            };
            if let Some(copy) = facts.copy_mut(topic)
                && changed
            {
                copy.changed_end = copy.changed_end.max(record.offset + 1);
            }
        }
    }

    fn take_in_catalog(&self, record: &MirrorRecord, source: &str) -> bool {
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

    fn take_in_target(&self, facts: &mut Facts, record: &MirrorRecord, source: &str) -> bool {
        let log = &self.state.log;
        let entry = record
            .value
            .as_ref()
            .map(|bytes| (self.decoders.target)(&record.key, bytes));
        let change = match entry {
            Some(Ok(entry)) => facts.roster.insert(entry),
            Some(Err(reason)) => {
                warn!(log, "unreadable record"; "topic" => "targets", "key" => &record.key,
                    "offset" => record.offset, "reason" => reason);
                facts.roster.remove(&record.key)
            }
            None => match facts.store_back_at {
                Some(back_at) if Instant::now() < back_at + RETURN_TIME => {
                    facts.roster.remove_lapsed(&record.key, back_at)
                }
                _ => facts.roster.remove(&record.key),
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

/// Reads the records of this system's processes; each one that cannot be read is logged.
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

impl Facts {
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

    /// Notes whether anybody has heard from the store of late, and when it came back.
    fn watch_store(&mut self, now: Instant, log: &Logger) {
        let peers_at = self.peers.confirmed_at(StoreTopic::Targets, now);
        let Some(known_at) = peers_at.max(self.targets.read_at) else {
            return;
        };
        let is_away = known_at + OUTAGE_AGE <= now;
        if is_away == self.store_away {
            return;
        }
        self.store_away = is_away;
        if is_away {
            warn!(log, "store lost"; "age_ms" => (now - known_at).as_millis() as u64);
        } else {
            self.store_back_at = Some(now);
            info!(log, "store regained");
        }
    }
}
