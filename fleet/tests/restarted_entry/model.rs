//! Entries without a network beside a model of the store.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use comfreyhead_fleet::mirror::{MirrorDelta, MirrorRecord, StoreEra};
use comfreyhead_fleet::peers::{
    PeerHeartbeat, ReaderChoice, ReaderInput, StoreTopic, TopicPosition, choose_reader,
};
use comfreyhead_fleet::prelude::*;
use comfreyhead_fleet::process::{EntryState, StoreReplica};
use proptest::prelude::{Strategy, any};

use crate::fixtures::replica;

const TOPIC: StoreTopic = StoreTopic::Targets;
const N_ENTRIES: usize = 4;
const N_KEYS: usize = 5;

/// The number of records that the store keeps beside the newest of each key.
const N_KEPT: u64 = 12;

/// One thing that happens.
#[derive(Clone, Debug)]
pub enum Step {
    /// A target writes its record.
    Write(usize),
    /// The record of a target is removed.
    Remove(usize),
    /// An entry reads what is new in the store.
    Read(usize),
    /// An entry reads the whole store, between the pages of which one record is written.
    ReadPages(usize, Box<Step>),
    /// An entry hears of another and pulls from it where that one is ahead.
    Pull(usize, usize),
    /// An entry starts again.
    Restart(usize),
}

impl Step {
    /// Returns any step.
    pub fn any() -> impl Strategy<Value = Self> {
        (0..9_usize, any::<usize>(), any::<usize>(), any::<bool>()).prop_map(
            |(kind, first, second, removes)| {
                let (entry, key) = (first % N_ENTRIES, first % N_KEYS);
                let write = |key| match removes {
                    true => Self::Remove(key),
                    false => Self::Write(key),
                };
                match kind {
                    0 | 1 => Self::Write(key),
                    2 => Self::Remove(key),
                    3 | 4 => Self::Read(entry),
                    5 => Self::ReadPages(entry, Box::new(write(second % N_KEYS))),
                    6 | 7 => Self::Pull(entry, second % N_ENTRIES),
                    _ => Self::Restart(entry),
                }
            },
        )
    }
}

struct Entry {
    state: Arc<EntryState>,
    replica: StoreReplica,
    has_read: bool,
}

/// Entries beside a model of the store.
pub struct Fleet {
    log: Vec<(String, Option<String>)>,
    entries: Vec<Entry>,
}

impl Fleet {
    /// Creates entries that have just started beside an empty store.
    pub fn new() -> Self {
        Self {
            log: Vec::new(),
            entries: (0..N_ENTRIES).map(|_| start()).collect(),
        }
    }

    /// Plays a step.
    pub fn play(&mut self, step: &Step) {
        match step {
            Step::Write(key) => self.write(*key),
            Step::Remove(key) => self.log.push((format!("t{key}"), None)),
            Step::Read(entry) => self.read(*entry),
            Step::ReadPages(entry, between) => self.read_pages(*entry, between),
            Step::Pull(entry, from) => self.pull(*entry, *from),
            Step::Restart(entry) => self.entries[*entry] = start(),
        }
    }

    /// Lets the entries choose who reads, and pull from each other until none is ahead.
    pub fn settle(&mut self) {
        for _ in 0..N_ENTRIES {
            for entry in 0..N_ENTRIES {
                let last_read_at = self.last_read_at(entry);
                if self.choice(entry, last_read_at) != ReaderChoice::Skip {
                    self.read(entry);
                }
                for other in 0..N_ENTRIES {
                    self.pull(other, entry);
                }
            }
        }
    }

    /// Returns the first entry and target that it uses though the store does not hold it, or the
    /// other way round.
    pub fn first_difference(&self) -> Option<(usize, String)> {
        let stored = self.newest();
        (0..N_ENTRIES).find_map(|idx| {
            let used = self.entries[idx].used();
            let differs = |key: &String| used.contains(key) != stored.contains_key(key);
            let key = (0..N_KEYS).map(|key| format!("t{key}")).find(differs)?;
            Some((idx, key))
        })
    }

    /// Writes a record that changes with each write, as the number of writes in it does.
    fn write(&mut self, key: usize) {
        self.log
            .push((format!("t{key}"), Some(format!("ready {}", 9_000 + key))));
    }

    fn end(&self) -> u64 {
        self.log.len() as u64
    }

    fn newest(&self) -> BTreeMap<String, MirrorRecord> {
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in (0..).zip(&self.log) {
            match value {
                Some(_) => newest.insert(key.clone(), record(key, offset, value)),
                None => newest.remove(key),
            };
        }
        newest
    }

    /// Reads what is new, or the whole store where the records have expired.
    fn read(&mut self, idx: usize) {
        let from = self.entries[idx].replica.next_position(TOPIC).offset;
        let is_expired = from + N_KEPT < self.end();
        let delta = match self.entries[idx].has_read && !is_expired {
            true => self.part(from),
            false => self.whole(self.end(), self.newest().into_values().collect()),
        };
        self.apply(idx, delta);
    }

    fn read_pages(&mut self, idx: usize, between: &Step) {
        let end = self.end();
        let first = self.newest().into_iter().take(2).collect::<Vec<_>>();
        self.play(between);
        let last_key = first.last().map(|(key, _)| key.clone());
        let second = self
            .newest()
            .into_iter()
            .filter(|(key, _)| last_key.as_ref().is_none_or(|last| last < key));
        let records = first.iter().cloned().chain(second);
        let delta = self.whole(end, records.map(|(_, record)| record).collect());
        self.apply(idx, delta);
    }

    fn part(&self, from: u64) -> MirrorDelta {
        let records = (0..)
            .zip(&self.log)
            .skip(from as usize)
            .map(|(offset, (key, value))| record(key, offset, value));
        MirrorDelta {
            era: StoreEra::default(),
            end: self.end(),
            complete: false,
            records: records.collect(),
        }
    }

    fn whole(&self, end: u64, records: Vec<MirrorRecord>) -> MirrorDelta {
        MirrorDelta {
            era: StoreEra::default(),
            end,
            complete: true,
            records,
        }
    }

    fn apply(&mut self, idx: usize, delta: MirrorDelta) {
        let entry = &mut self.entries[idx];
        entry.replica.apply_from_store(TOPIC, delta, Instant::now());
        entry.has_read = true;
    }

    /// Lets an entry hear of another and pull what it lacks, as the task that pulls does.
    fn pull(&mut self, idx: usize, from: usize) {
        if idx == from {
            return;
        }
        let now = Instant::now();
        let heartbeat = heartbeat(from, &self.entries[from].replica, now);
        let replica = &self.entries[idx].replica;
        let changed_end = replica.position(TOPIC, now).changed_end;
        let ahead = replica.with_peers(|peers| {
            peers.record_heartbeat(address(from), heartbeat, now);
            peers.ahead_of(TOPIC, changed_end, now)
        });
        if let Some((peer, _)) = ahead {
            let peer_idx = usize::from(peer.port());
            let position = replica.next_position(TOPIC).min(changed_end);
            let copy = self.entries[peer_idx].replica.since(TOPIC, position);
            replica.apply_from_peer(TOPIC, copy);
        }
    }

    /// Returns when an entry read the store last, if it has since the last write.
    fn last_read_at(&self, idx: usize) -> Option<Instant> {
        self.entries[idx].replica.read_at(TOPIC)
    }

    fn choice(&self, idx: usize, own_read_at: Option<Instant>) -> ReaderChoice {
        let replica = &self.entries[idx].replica;
        let input = ReaderInput {
            topic: TOPIC,
            own: idx as u64,
            era: replica.era(),
            end: replica.next_position(TOPIC),
            own_read_at,
            behind_since: replica.behind_since(TOPIC),
            jitter: 0.0,
        };
        replica.with_peers(|peers| choose_reader(&input, peers, Instant::now()))
    }
}

impl Entry {
    fn used(&self) -> Vec<String> {
        let excluded = [];
        let mut used: Vec<String> = (0..64)
            .filter_map(|_| {
                self.state
                    .with_table(|table, rng| table.choose("svc", &excluded, Instant::now(), rng))
            })
            .map(|pick| pick.id.to_string())
            .collect();
        used.sort_unstable();
        used.dedup();
        used
    }
}

fn start() -> Entry {
    let (state, replica) = replica();
    Entry {
        state,
        replica,
        has_read: false,
    }
}

fn address(idx: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], idx as u16))
}

fn record(key: &str, offset: u64, value: &Option<String>) -> MirrorRecord {
    MirrorRecord {
        key: key.to_owned(),
        offset,
        value: value.as_ref().map(|text| text.as_bytes().to_vec()),
    }
}

fn heartbeat(sender: usize, replica: &StoreReplica, now: Instant) -> PeerHeartbeat {
    PeerHeartbeat {
        sender: sender as u64,
        zone: "a".to_owned(),
        draining: false,
        for_zone: false,
        version: None,
        operator: TopicPosition::default(),
        targets: replica.position(TOPIC, now),
        running: Vec::new(),
        demand: Vec::new(),
        results: Vec::new(),
        spans: Some(replica.spans(now)),
    }
}
