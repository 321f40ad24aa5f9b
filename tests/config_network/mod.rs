//! A fake network and log service that run version distributors in virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::Value;

use comfreyhead::prelude::*;
use comfreyhead::process::distribution::{
    DistributionAction, DistributionEvent, DistributorSettings, PeerInfo, PeerName, PeerRole,
    VersionDistributor,
};
use comfreyhead::version::config::{ConfigVersion, VersionDigest};

/// The size of the envelope, frame and packet headers of a control message, in bytes.
const MESSAGE_OVERHEAD: usize = 120;
/// The time between two ticks of a node.
const TICK: Duration = Duration::from_millis(100);
/// The time between two reads of the log by one reader.
const LOG_READ_INTERVAL: Duration = Duration::from_millis(500);

/// The size of the network and its message faults.
#[derive(Clone, Copy, Debug)]
pub struct NetworkSettings {
    /// The number of nodes, half of them entry VMs, distributed over the data centres.
    pub nodes: usize,
    /// The number of data centres.
    pub data_centres: usize,
    /// Messages that are lost, in percent.
    pub loss_percent: u32,
    /// Messages that are delivered twice, in percent.
    pub double_percent: u32,
    /// The maximum delay of a message, in milliseconds.
    pub max_delay_ms: u64,
    /// The seed of the random generator.
    pub seed: u64,
}

/// A simulated process.
pub struct Node {
    /// Its name, data centre and role.
    pub info: PeerInfo,
    /// The distributor under test.
    pub distributor: VersionDistributor,
    /// When each version came into force.
    pub installed: BTreeMap<VersionNumber, Timestamp>,
    /// The bytes sent and received.
    pub bytes: usize,
    /// The next log offset to read; `None` while it does not read the log.
    reading: Option<u64>,
    incarnation: u64,
}

#[derive(Debug)]
enum Message {
    Event(DistributionEvent),
    Pull { from: usize, since: VersionNumber },
    Tick,
    ReadLog,
}

/// The nodes, the messages in transit and the log.
pub struct Network {
    /// The virtual time.
    pub now: Timestamp,
    /// The processes.
    pub nodes: Vec<Node>,
    /// The records of the log.
    pub log: Vec<Value>,
    /// Whether each data centre can reach the log.
    pub log_up: Vec<bool>,
    /// Whether each data centre can reach the others.
    pub linked: Vec<bool>,
    /// The digest of each version that any node put in force.
    pub digests: BTreeMap<VersionNumber, VersionDigest>,
    settings: NetworkSettings,
    queue: BinaryHeap<Reverse<(Timestamp, u64, usize)>>,
    messages: BTreeMap<u64, (usize, u64, Message)>,
    sequence: u64,
    rng: ChaCha8Rng,
}

impl Network {
    /// Starts all nodes at time 1 s.
    pub fn new(settings: NetworkSettings) -> Self {
        let mut network = Self {
            now: Timestamp::from_millis(1_000),
            nodes: Vec::new(),
            log: Vec::new(),
            log_up: vec![true; settings.data_centres],
            linked: vec![true; settings.data_centres],
            digests: BTreeMap::new(),
            settings,
            queue: BinaryHeap::new(),
            messages: BTreeMap::new(),
            sequence: 0,
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
        };
        for idx in 0..settings.nodes {
            let info = node_info(idx, &settings);
            let distributor = network.new_distributor(&info, 1);
            network.nodes.push(Node {
                info,
                distributor,
                installed: BTreeMap::new(),
                bytes: 0,
                reading: None,
                incarnation: 1,
            });
        }
        for idx in 0..settings.nodes {
            network.start(idx);
        }
        network
    }

    /// Restarts a node without state, under a new incarnation.
    #[allow(dead_code, reason = "not every user of the fake restarts nodes")]
    pub fn restart(&mut self, idx: usize) {
        let incarnation = self.nodes[idx].incarnation + 1;
        let info = self.nodes[idx].info.clone();
        let distributor = self.new_distributor(&info, incarnation);
        let node = &mut self.nodes[idx];
        node.distributor = distributor;
        node.installed.clear();
        node.reading = None;
        node.incarnation = incarnation;
        self.start(idx);
    }

    /// Stops a node permanently.
    #[allow(dead_code, reason = "not every user of the fake stops nodes")]
    pub fn stop(&mut self, idx: usize) {
        self.nodes[idx].incarnation += 1;
    }

    /// Ends all outages, losses and duplicates and limits the delay to 3 ms.
    #[allow(dead_code, reason = "not every user of the fake has faults")]
    pub fn heal(&mut self) {
        self.log_up.fill(true);
        self.linked.fill(true);
        self.settings.loss_percent = 0;
        self.settings.double_percent = 0;
        self.settings.max_delay_ms = 3;
    }

    /// Handles all messages that are due up to `end`.
    pub fn run_until(&mut self, end: Timestamp) {
        while let Some(&Reverse((at, sequence, idx))) = self.queue.peek() {
            if end < at {
                break;
            }
            self.queue.pop();
            self.now = at;
            let entry = self.messages.remove(&sequence);
            let (_, incarnation, message) = entry.expect("a queued message is stored");
            if incarnation == self.nodes[idx].incarnation {
                self.handle(idx, message);
            }
        }
        self.now = end;
    }

    /// Advances the virtual time by `duration`.
    pub fn run_for(&mut self, duration: Duration) {
        self.run_until(self.now + duration);
    }

    /// Returns the index of a node's data centre.
    pub fn data_centre(&self, idx: usize) -> usize {
        idx % self.settings.data_centres
    }

    fn new_distributor(&mut self, info: &PeerInfo, incarnation: u64) -> VersionDistributor {
        VersionDistributor::new(DistributorSettings {
            own: info.clone(),
            incarnation: ProcessIncarnation(incarnation),
            rng: ChaCha8Rng::seed_from_u64(self.rng.random()),
        })
    }

    fn start(&mut self, idx: usize) {
        let members = (0..self.settings.nodes).map(|idx| node_info(idx, &self.settings));
        let members = DistributionEvent::Members(members.collect());
        self.deliver(idx, members);
        let phase = Duration::from_micros(self.rng.random_range(0..TICK.as_micros() as u64));
        self.push(idx, self.now + phase, Message::Tick);
        self.push(idx, self.now + phase, Message::ReadLog);
    }

    fn push(&mut self, idx: usize, at: Timestamp, message: Message) {
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence, idx)));
        let incarnation = self.nodes[idx].incarnation;
        self.messages
            .insert(self.sequence, (idx, incarnation, message));
    }

    fn handle(&mut self, idx: usize, message: Message) {
        match message {
            Message::Event(event) => self.deliver(idx, event),
            Message::Pull { from, since } => {
                let body = self.nodes[idx].distributor.body_since(since);
                let size = encoded_size(&body);
                let event = DistributionEvent::BodyReceived {
                    from: self.nodes[idx].info.name.clone(),
                    body,
                };
                self.send(idx, from, size, || Message::Event(event.clone()));
            }
            Message::Tick => {
                self.push(idx, self.now + TICK, Message::Tick);
                self.deliver(idx, DistributionEvent::Tick);
            }
            Message::ReadLog => {
                self.push(idx, self.now + LOG_READ_INTERVAL, Message::ReadLog);
                self.read_log(idx);
            }
        }
    }

    fn read_log(&mut self, idx: usize) {
        if self.nodes[idx].reading.is_none() {
            return;
        }
        if !self.log_up[self.data_centre(idx)] {
            return self.deliver(idx, DistributionEvent::LogUnreachable);
        }
        self.nodes[idx].bytes += MESSAGE_OVERHEAD;
        while let Some(next) = self.nodes[idx].reading {
            let Some(value) = self.log.get(next as usize).cloned() else {
                return self.deliver(idx, DistributionEvent::LogTail);
            };
            self.nodes[idx].bytes += encoded_size(&value);
            self.nodes[idx].reading = Some(next + 1);
            let offset = LogOffset(next);
            self.deliver(idx, DistributionEvent::LogRecord { offset, value });
        }
    }

    fn deliver(&mut self, idx: usize, event: DistributionEvent) {
        let now = self.now;
        for action in self.nodes[idx].distributor.on_event(now, event) {
            self.carry_out(idx, action);
        }
    }

    fn carry_out(&mut self, idx: usize, action: DistributionAction) {
        match action {
            DistributionAction::Announce {
                to,
                announcement,
                kind,
            } => {
                let size = encoded_size(&(&announcement, kind));
                let event = DistributionEvent::Announced {
                    from: self.nodes[idx].info.name.clone(),
                    announcement,
                    kind,
                };
                let to = self.index_of(&to);
                self.send(idx, to, size, || Message::Event(event.clone()));
            }
            DistributionAction::Pull { from, since } => {
                let to = self.index_of(&from);
                let size = encoded_size(&since);
                self.send(idx, to, size, || Message::Pull { from: idx, since });
            }
            DistributionAction::Install(version) => self.note_install(idx, &version),
            DistributionAction::ReadLog { from } => self.nodes[idx].reading = Some(from.0),
            DistributionAction::StopReading => self.nodes[idx].reading = None,
            DistributionAction::Report { .. } | DistributionAction::Serve(_) => {}
        }
    }

    fn note_install(&mut self, idx: usize, version: &ConfigVersion) {
        let node = &mut self.nodes[idx];
        let last = node.installed.last_key_value().map(|(number, _)| *number);
        assert!(last < Some(version.number), "versions only increase");
        node.installed.insert(version.number, self.now);
        let known = self.digests.insert(version.number, version.digest.clone());
        assert!(
            known.is_none_or(|known| known == version.digest),
            "one content per version number"
        );
    }

    fn send(&mut self, from: usize, to: usize, size: usize, message: impl Fn() -> Message) {
        let bytes = size + MESSAGE_OVERHEAD;
        self.nodes[from].bytes += bytes;
        let (left, right) = (self.data_centre(from), self.data_centre(to));
        let cut = left != right && !(self.linked[left] && self.linked[right]);
        if cut || self.chance(self.settings.loss_percent) {
            return;
        }
        let copies = 1 + usize::from(self.chance(self.settings.double_percent));
        for _ in 0..copies {
            self.nodes[to].bytes += bytes;
            let delay = self
                .rng
                .random_range(500..=self.settings.max_delay_ms * 1_000);
            let at = self.now + Duration::from_micros(delay);
            self.push(to, at, message());
        }
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    fn index_of(&self, name: &PeerName) -> usize {
        let digits = name.trim_start_matches(|c: char| !c.is_ascii_digit());
        digits.parse().expect("a node's name ends in its index")
    }
}

fn node_info(idx: usize, settings: &NetworkSettings) -> PeerInfo {
    let is_entry = (idx / settings.data_centres).is_multiple_of(2);
    let (prefix, role) = if is_entry {
        ("entry", PeerRole::Entry)
    } else {
        ("agent", PeerRole::Agent)
    };
    PeerInfo {
        name: PeerName::from(format!("{prefix}-{idx}")),
        data_centre: DataCentreName::from(format!("dc-{}", idx % settings.data_centres)),
        role,
    }
}

fn encoded_size(value: &impl serde::Serialize) -> usize {
    serde_json::to_vec(value).expect("messages encode").len()
}
