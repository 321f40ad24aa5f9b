//! An entry's local replica of the store, kept up to date by own reads and through peers.

use std::net::SocketAddr;

use parking_lot::Mutex;
use slog::{info, warn};
use tokio::sync::watch;

use crate::mirror::{
    MirrorChange, MirrorDelta, MirrorRecord, ReplacedCopy, StoreEra, StorePosition,
};
use crate::peers::{CopySpans, PeerCopy, PeerTable, StoreTopic, TopicPosition};
use crate::prelude::*;
use crate::roster::RosterChange;

use super::entry_state::EntryState;
use super::record_decoders::{Decoders, RecordSource, peer_records};
use super::replica_tables::ReplicaTables;
use super::store_access::CallError;
use super::store_status::StatusChange;

/// How long after the store is regained, or has come back from an older copy, its records may lack
/// live targets, which write them again within this time.
const STORE_RECOVERY_TIME: Duration = Duration::from_millis(2_000);

/// How long after a restore of the store nothing is denied by the configuration: within this time
/// operators write it again, and all live entries register again and hear of each other, so that
/// one that started meanwhile learns of a newer version in force.
const DENIAL_GRACE_PERIOD: Duration = Duration::from_millis(6_000);

/// An entry's local replica of the store, kept up to date by own reads and through peers.
///
/// Lock order: `inner` before the locks of the entry's state.
#[derive(Debug)]
pub struct StoreReplica {
    state: Arc<EntryState>,
    decoders: Decoders,
    /// The newest era of the store that this entry knows of.
    era: watch::Sender<StoreEra>,
    inner: Mutex<ReplicaTables>,
}

impl StoreReplica {
    /// Creates an empty replica.
    pub fn new(state: Arc<EntryState>, decoders: Decoders) -> Self {
        Self {
            state,
            decoders,
            era: watch::Sender::new(StoreEra::default()),
            inner: Mutex::new(ReplicaTables::default()),
        }
    }

    /// Returns the position from which a topic is read next.
    pub fn next_position(&self, topic: StoreTopic) -> StorePosition {
        self.inner
            .lock()
            .copy(topic)
            .map_or_else(StorePosition::default, |copy| copy.mirror.end())
    }

    /// Returns the newest era of the store that this entry knows of.
    pub fn era(&self) -> StoreEra {
        *self.era.borrow()
    }

    /// Returns a receiver of changes of the era.
    pub fn subscribe_era(&self) -> watch::Receiver<StoreEra> {
        self.era.subscribe()
    }

    /// Records an era that the store or a peer has stated.
    pub fn observe_era(&self, era: StoreEra) {
        self.observe_era_at(&mut self.inner.lock(), era, Instant::now());
    }

    fn observe_era_at(&self, inner: &mut ReplicaTables, era: StoreEra, now: Instant) {
        let rises = self.era.send_if_modified(|known| {
            let rises = *known < era;
            *known = era.max(*known);
            rises
        });
        if rises {
            inner.era_seen_at = Some(now);
            inner.roster.renew_departed(now);
            self.state.metrics.store_era.set(era.0 as i64);
        }
    }

    /// Returns the last time at which this process read a topic from the store.
    pub fn read_at(&self, topic: StoreTopic) -> Option<Instant> {
        self.inner.lock().copy(topic).and_then(|copy| copy.read_at)
    }

    /// Returns since when peers have been ahead of a topic's copy while nothing new came.
    pub fn behind_since(&self, topic: StoreTopic) -> Option<Instant> {
        self.inner
            .lock()
            .copy(topic)
            .and_then(|copy| copy.behind_since)
    }

    /// Returns up to where this process has applied a topic, and the age of its last read of the
    /// store.
    pub fn position(&self, topic: StoreTopic, now: Instant) -> TopicPosition {
        let inner = self.inner.lock();
        inner
            .copy(topic)
            .map_or_else(TopicPosition::default, |copy| {
                TopicPosition::new(copy.changed_end(), copy.read_at, now)
            })
    }

    /// Returns the parts of the topics' histories that this process holds.
    pub fn spans(&self, now: Instant) -> CopySpans {
        let inner = self.inner.lock();
        CopySpans {
            operator: inner.operator.span(now),
            targets: inner.targets.span(now),
        }
    }

    /// Returns the records of a topic that are at least as new as a position, for a peer.
    pub fn since(&self, topic: StoreTopic, from: StorePosition) -> PeerCopy {
        let inner = self.inner.lock();
        let Some(copy) = inner.copy(topic) else {
            return PeerCopy::default();
        };
        let departed = match topic {
            StoreTopic::Targets if inner.era_seen_at.is_some() => inner.roster.departed(),
            _ => Vec::new(),
        };
        PeerCopy {
            delta: copy.mirror.since(from),
            changed_end: copy.changed_end(),
            departed,
        }
    }

    /// Returns the bytes of the configuration in force, for a peer.
    pub fn catalog_bytes(&self) -> Option<Vec<u8>> {
        let inner = self.inner.lock();
        let stored = || inner.operator.mirror.value(self.decoders.catalog_key);
        let bytes = inner.retained_catalog.as_deref().or_else(stored)?;
        Some(bytes.to_vec())
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

    /// Applies records that this process read from the store; returns whether the copy is up to
    /// date, or a complete read is needed.
    pub fn apply_from_store(
        &self,
        topic: StoreTopic,
        delta: MirrorDelta,
        asked_at: Instant,
    ) -> bool {
        let now = Instant::now();
        let mut inner = self.inner.lock();
        if delta.era < self.era() {
            info!(self.state.log, "answer of an older era ignored"; "topic" => topic.label(),
                "era" => delta.era.0, "known" => self.era().0);
            return false;
        }
        self.observe_era_at(&mut inner, delta.era, now);
        // Detects an outage that no tick has seen, before this read ends it.
        self.update_store_status(&mut inner, now);
        if topic == StoreTopic::Targets {
            inner.status.record_answer(now);
        }
        if !self.apply(&mut inner, topic, delta, RecordSource::Store) {
            return false;
        }
        if let Some(copy) = inner.copy_mut(topic) {
            copy.record_read(asked_at);
        }
        self.update_store_status(&mut inner, now);
        if topic == StoreTopic::Operator {
            self.confirm_catalog(&inner, asked_at);
        }
        true
    }

    /// Records that a read of the store by this process, made at a time, failed.
    pub fn record_failed_read(&self, topic: StoreTopic, at: Instant, err: CallError) {
        let mut inner = self.inner.lock();
        if let Some(copy) = inner.copy_mut(topic) {
            copy.read_failed_at = Some(at);
        }
        // A reply that is no use comes from a store that is there.
        if !matches!(err, CallError::TooLong(_) | CallError::Malformed) {
            inner.status.record_failure(at);
        }
    }

    /// Applies records that were pulled from a peer.
    pub fn apply_from_peer(&self, topic: StoreTopic, peer_copy: PeerCopy) {
        let now = Instant::now();
        let mut inner = self.inner.lock();
        self.update_store_status(&mut inner, now);
        let era = peer_copy.delta.era;
        self.observe_era_at(&mut inner, era, now);
        if era != self.era() || !self.apply(&mut inner, topic, peer_copy.delta, RecordSource::Peer)
        {
            return;
        }
        if let Some(copy) = inner.copy_mut(topic) {
            // The copies are the same up to here, whichever records changed something in each.
            copy.advance_to(peer_copy.changed_end);
            copy.behind_since = None;
        }
        for incarnation in &peer_copy.departed {
            let change = inner.roster.depart(incarnation, now);
            self.state.apply_roster_change(
                &change,
                RecordSource::Peer,
                peer_copy.changed_end.offset,
            );
        }
    }

    /// Puts a configuration in force that was pulled from a peer while the store holds an older
    /// one; returns whether it could be read.
    pub fn apply_peer_catalog(&self, bytes: Vec<u8>) -> bool {
        let mut inner = self.inner.lock();
        let before = self.state.version();
        let record = MirrorRecord {
            key: self.decoders.catalog_key.to_owned(),
            offset: inner.operator.mirror.end().offset,
            value: Some(bytes),
        };
        let is_read = self
            .state
            .apply_catalog(&record, RecordSource::Peer, &self.decoders);
        if before < self.state.version() {
            inner.retained_catalog = record.value;
        }
        is_read
    }

    /// Records that the configuration matched the store at a time, unless the store holds one that
    /// cannot be read. Shortly after a restore, a version in the store confirms nothing, as it may be
    /// an older one.
    fn confirm_catalog(&self, inner: &ReplicaTables, at: Instant) {
        let is_restoring = inner
            .era_seen_at
            .is_some_and(|seen_at| at < seen_at + DENIAL_GRACE_PERIOD);
        if !is_restoring && !inner.unread_config.is_some() {
            self.state.confirm(at);
        }
    }

    /// Updates the state that depends on time: the store's status, the time at which the
    /// configuration was confirmed, and expired targets.
    pub fn tick(&self, now: Instant) {
        let mut inner = self.inner.lock();
        self.update_store_status(&mut inner, now);
        for topic in [StoreTopic::Operator, StoreTopic::Targets] {
            if let Some(at) = inner.confirm_copy(topic, self.era(), now) {
                let age = now.saturating_duration_since(at);
                self.state.metrics.observe_age(topic.label(), age);
            }
        }
        let is_newest = inner
            .peers
            .newer_version(self.state.version(), now)
            .is_none();
        if let Some(at) = inner.operator.confirmed_at
            && is_newest
        {
            self.confirm_catalog(&inner, at);
        }
        inner.unread_config.compare(&inner.peers, &self.state, now);
        for id in inner.roster.expire(now) {
            info!(self.state.log, "target lapsed"; "target" => &*id);
            self.state.table.lock().apply(&RosterChange::Removed(id));
        }
        let n_usable = self.state.table.lock().n_usable();
        self.state.metrics.targets.set(n_usable as i64);
    }

    /// Applies records to a topic's copy and to the tables that depend on it; returns whether the
    /// copy is up to date with them.
    fn apply(
        &self,
        inner: &mut ReplicaTables,
        topic: StoreTopic,
        delta: MirrorDelta,
        source: RecordSource,
    ) -> bool {
        let Some(copy) = inner.copy_mut(topic) else {
            return false;
        };
        let may_replace = topic == StoreTopic::Operator
            && (copy.mirror.end().era < delta.era || !delta.records.is_empty());
        let mut last_in_force = copy
            .mirror
            .value(self.decoders.catalog_key)
            .filter(|_| may_replace)
            .map(<[u8]>::to_vec);
        match copy.mirror.apply(delta) {
            MirrorChange::Updated(records) => {
                let confirmed_at = copy.confirmed_at;
                let mut n_changed = 0;
                for record in records {
                    let before = self.state.version();
                    // A removal counts also where this copy did not hold the key, as others may.
                    let is_changed =
                        self.apply_record(inner, topic, &record, source) || record.value.is_none();
                    if before < self.state.version() {
                        last_in_force.clone_from(&record.value);
                    }
                    if let Some(copy) = inner.copy_mut(topic)
                        && is_changed
                    {
                        copy.advance(record.offset);
                        n_changed += 1;
                    }
                }
                if let Some(at) = confirmed_at.filter(|_| 0 < n_changed) {
                    self.state
                        .metrics
                        .observe_change(topic.label(), at.elapsed());
                }
            }
            MirrorChange::Replaced(replaced) => {
                self.apply_replaced(inner, topic, &replaced, source);
            }
            MirrorChange::Incomplete | MirrorChange::Outdated => return false,
        }
        if let Some(bytes) = last_in_force {
            self.keep_catalog(inner, bytes);
        }
        true
    }

    /// Keeps the bytes of the configuration in force if the copy now holds an older one.
    fn keep_catalog(&self, inner: &mut ReplicaTables, old_bytes: Vec<u8>) {
        let version_of = |bytes: &[u8]| {
            let catalog = (self.decoders.catalog)(bytes).ok()?;
            Some(catalog.version)
        };
        let in_force = self.state.version();
        let new_bytes = inner.operator.mirror.value(self.decoders.catalog_key);
        if new_bytes.and_then(version_of) < in_force && version_of(&old_bytes) == in_force {
            info!(self.state.log, "configuration retained"; "version" => in_force,
                "reason" => "the store holds an older one");
            inner.retained_catalog = Some(old_bytes);
        }
    }

    /// Applies the records of a copy of a newer era.
    fn apply_replaced(
        &self,
        inner: &mut ReplicaTables,
        topic: StoreTopic,
        replaced: &ReplacedCopy,
        source: RecordSource,
    ) {
        let mut n_ignored = 0;
        for record in replaced.records.iter().chain(&replaced.dropped) {
            let bytes = record.value.as_deref();
            let restored = match topic {
                StoreTopic::Targets => {
                    bytes.and_then(|bytes| (self.decoders.target)(&record.key, bytes).ok())
                }
                StoreTopic::Operator | StoreTopic::Peers | StoreTopic::Suspects => None,
            };
            match restored {
                Some(entry) => {
                    let is_known = inner.roster.contains(&entry);
                    let change = inner.roster.restore(entry);
                    n_ignored += u32::from(!is_known && change == RosterChange::Same);
                    self.state
                        .apply_roster_change(&change, source, record.offset);
                }
                None => {
                    self.apply_record(inner, topic, record, source);
                }
            }
        }
        if let Some(copy) = inner.copy_mut(topic) {
            copy.end_changes(&replaced.records);
        }
        if replaced.is_first {
            return;
        }
        warn!(self.state.log, "store came back from an older copy"; "topic" => topic.label(),
            "old_era" => replaced.old_era.0, "era" => self.era().0, "source" => %source,
            "replaced" => replaced.records.len() - replaced.n_kept, "kept" => replaced.n_kept,
            "dropped" => replaced.dropped.len(), "ignored" => n_ignored);
        let copies = &self.state.metrics.replaced_copies;
        copies.with_label_values(&[topic.label()]).inc();
    }

    fn apply_record(
        &self,
        inner: &mut ReplicaTables,
        topic: StoreTopic,
        record: &MirrorRecord,
        source: RecordSource,
    ) -> bool {
        match topic {
            StoreTopic::Operator => {
                let is_valid = self.state.apply_catalog(record, source, &self.decoders);
                if record.key == self.decoders.catalog_key && record.value.is_some() {
                    let config = &mut inner.unread_config;
                    config.observe(record.offset, is_valid, &self.state);
                }
                if inner.retained_catalog.is_some() && self.is_in_force(record) {
                    inner.retained_catalog = None;
                }
                is_valid
            }
            StoreTopic::Targets => self.apply_target(inner, record, source),
            StoreTopic::Peers | StoreTopic::Suspects => false,
        }
    }

    /// Returns whether a record holds the configuration in force.
    fn is_in_force(&self, record: &MirrorRecord) -> bool {
        let bytes = record.value.as_deref().unwrap_or_default();
        let version = (self.decoders.catalog)(bytes)
            .ok()
            .map(|catalog| catalog.version);
        record.key == self.decoders.catalog_key && version == self.state.version()
    }

    /// Applies a target's record; returns whether it changed the roster.
    fn apply_target(
        &self,
        inner: &mut ReplicaTables,
        record: &MirrorRecord,
        source: RecordSource,
    ) -> bool {
        let log = &self.state.log;
        let entry = record
            .value
            .as_ref()
            .map(|bytes| (self.decoders.target)(&record.key, bytes));
        let now = Instant::now();
        let change = match entry {
            Some(Ok(entry)) => {
                let released = inner.roster.release_address(&entry, now);
                self.state
                    .apply_roster_change(&released, source, record.offset);
                inner.roster.insert(entry)
            }
            Some(Err(reason)) => {
                warn!(log, "unreadable record"; "topic" => "targets", "key" => &record.key,
                    "offset" => record.offset, "reason" => reason);
                inner.roster.remove(&record.key, now)
            }
            None => match inner.status.regained_at().max(inner.era_seen_at) {
                Some(back_at) if now < back_at + STORE_RECOVERY_TIME => {
                    inner.roster.remove_lapsed(&record.key, back_at, now)
                }
                _ => inner.roster.remove(&record.key, now),
            },
        };
        self.state
            .apply_roster_change(&change, source, record.offset)
    }

    /// Updates whether the store is away.
    fn update_store_status(&self, inner: &mut ReplicaTables, now: Instant) {
        let log = &self.state.log;
        let peers_at = inner
            .peers
            .confirmed_at(StoreTopic::Targets, self.era(), now);
        match inner
            .status
            .update(peers_at.max(inner.targets.read_at), now)
        {
            Some(StatusChange::Lost(age)) => {
                warn!(log, "store lost"; "age_ms" => age.as_millis() as u64);
            }
            Some(StatusChange::Regained) => info!(log, "store regained"),
            None => {}
        }
    }
}
