//! How entries share out the limits that targets name: what all of them send together, while demand
//! is skewed and entries join, leave, restart and are cut off from each other.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use comfreyhead_fleet::peers::{CopySpans, LimitHolder, PeerHeartbeat, PeerTable};
use comfreyhead_fleet::prelude::*;
use comfreyhead_fleet::routing::{PermitDecision, RateBuckets};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The time of one step.
const STEP: Duration = Duration::from_millis(10);

/// The steps between two heartbeats.
const BEAT_STEPS: usize = 25;

const N_ZONES: usize = 3;

/// The stated bound: in any 4 s, one and a half times what the limit allows, and 5.
const WINDOW: Duration = Duration::from_secs(4);
fn allowed(limit: f64) -> f64 {
    1.5 * limit * WINDOW.as_secs_f64() + 5.0
}

/// An entry with what it knows of the others, and its part of the requests.
struct Entry {
    sender: u64,
    zone: usize,
    is_up: bool,
    is_draining: bool,
    peers: PeerTable,
    buckets: RateBuckets,
    full_until: Option<Instant>,
    demand: f64,
}

/// Entries in three data centres, and one target that names a limit.
struct Fleet {
    entries: Vec<Entry>,
    /// The data centres that no other one reaches.
    cut_zones: Vec<usize>,
    limit: f64,
    now: Instant,
    n_steps: usize,
    rng: ChaCha8Rng,
    sent: VecDeque<Instant>,
    most_in_window: usize,
    longest_gap: Duration,
    n_sent: usize,
}

impl Fleet {
    /// Starts entries whose demand is in requests per second.
    fn new(demands: &[f64], limit: f64) -> Self {
        let entries = demands.iter().enumerate().map(|(idx, demand)| Entry {
            sender: (idx as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15),
            zone: idx % N_ZONES,
            is_up: true,
            is_draining: false,
            peers: PeerTable::default(),
            buckets: RateBuckets::default(),
            full_until: None,
            demand: *demand,
        });
        Self {
            entries: entries.collect(),
            cut_zones: Vec::new(),
            limit,
            now: Instant::now() + Duration::from_secs(100),
            n_steps: 0,
            rng: ChaCha8Rng::seed_from_u64(7),
            sent: VecDeque::new(),
            most_in_window: 0,
            longest_gap: Duration::ZERO,
            n_sent: 0,
        }
    }

    fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += STEP;
            self.n_steps += 1;
            for idx in 0..self.entries.len() {
                if (self.n_steps + idx).is_multiple_of(BEAT_STEPS) {
                    self.beat(idx);
                }
                let p = self.entries[idx].demand * STEP.as_secs_f64();
                if self.rng.random_range(0.0..1.0) < p {
                    self.request(idx);
                }
            }
        }
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let (from, to) = (&self.entries[from], &self.entries[to]);
        let is_cut = |zone| self.cut_zones.contains(&zone);
        to.is_up && (from.zone == to.zone || !is_cut(from.zone) && !is_cut(to.zone))
    }

    fn beat(&mut self, idx: usize) {
        let entry = &self.entries[idx];
        if !entry.is_up {
            return;
        }
        let own = heartbeat(entry);
        let beat_idx = (self.n_steps / BEAT_STEPS) as u64;
        let receivers = entry.peers.heartbeat_receivers(beat_idx, &own, self.now);
        let zone_heartbeat = entry.peers.zone_heartbeat(&own, self.now);
        for other in 0..self.entries.len() {
            if other == idx || !self.reaches(idx, other) {
                continue;
            }
            let address = address(other);
            let message = match () {
                () if receivers.own_heartbeat.contains(&address) => own.clone(),
                () if receivers.zone_heartbeat.contains(&address) => zone_heartbeat.clone(),
                () => continue,
            };
            let peers = &mut self.entries[other].peers;
            peers.record_heartbeat(self::address(idx), message, self.now);
        }
    }

    /// Lets an entry send a request if it gets a permit.
    fn request(&mut self, idx: usize) {
        let entry = &self.entries[idx];
        let is_full = entry.full_until.is_some_and(|until| self.now < until);
        if !entry.is_up || is_full {
            return;
        }
        let decision = match self.holder_of(idx) {
            Some(holder) if self.reaches(idx, holder) && self.holder_of(holder) == Some(holder) => {
                let entry = &mut self.entries[holder];
                let own = heartbeat(entry);
                let share = entry.peers.limit_holders(&own, self.now).share;
                entry.buckets.take(1, self.limit, share, self.now)
            }
            _ => PermitDecision::Full(Duration::from_millis(250)),
        };
        match decision {
            PermitDecision::Granted => self.record_sent(),
            PermitDecision::Full(time) => {
                self.entries[idx].full_until = Some(self.now + time);
            }
        }
    }

    fn holder_of(&self, idx: usize) -> Option<usize> {
        let entry = &self.entries[idx];
        let own = heartbeat(entry);
        match entry.peers.limit_holders(&own, self.now).holder_of(1) {
            LimitHolder::Own => Some(idx),
            LimitHolder::Peer(at) => (0..self.entries.len()).find(|idx| address(*idx) == at),
        }
    }

    fn record_sent(&mut self) {
        self.n_sent += 1;
        let gap = self.sent.back().map(|at| self.now - *at);
        self.longest_gap = self.longest_gap.max(gap.unwrap_or_default());
        self.sent.push_back(self.now);
        while self.sent.front().is_some_and(|at| *at + WINDOW < self.now) {
            self.sent.pop_front();
        }
        self.most_in_window = self.most_in_window.max(self.sent.len());
    }

    /// Starts an entry with nothing of before.
    fn restart(&mut self, idx: usize) {
        let entry = &mut self.entries[idx];
        entry.is_up = true;
        entry.peers = PeerTable::default();
        entry.buckets = RateBuckets::default();
        entry.full_until = None;
        self.register_all();
    }

    /// Lets all entries know the addresses of all, as from the store.
    fn register_all(&mut self) {
        let zones: Vec<usize> = self.entries.iter().map(|entry| entry.zone).collect();
        for (own, entry) in self.entries.iter_mut().enumerate() {
            for (idx, zone) in zones.iter().enumerate().filter(|(idx, _)| *idx != own) {
                entry.peers.add(address(idx), &zone.to_string());
            }
        }
    }

    fn assert_within_limit(&self) {
        let (most, allowed) = (self.most_in_window as f64, allowed(self.limit));
        assert!(most <= allowed, "{most} in a window, {allowed} allowed");
    }
}

fn address(idx: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, idx as u8], 7000))
}

fn heartbeat(entry: &Entry) -> PeerHeartbeat {
    PeerHeartbeat {
        sender: entry.sender,
        zone: entry.zone.to_string(),
        draining: entry.is_draining,
        for_zone: false,
        version: None,
        operator: Default::default(),
        targets: Default::default(),
        running: Vec::new(),
        demand: Vec::new(),
        results: Vec::new(),
        spans: Some(CopySpans::default()),
    }
}

fn started(demands: &[f64], limit: f64) -> Fleet {
    let mut fleet = Fleet::new(demands, limit);
    fleet.register_all();
    fleet.run(Duration::from_secs(5));
    fleet
}

// Guards against shares that are nothing or too much where a limit is below one request a second for
// each entry.
#[test]
fn skewed_demand_gets_all_of_a_small_limit_and_no_more() {
    for limit in [0.5, 2.0, 9.0, 40.0] {
        let mut demands = [0.05; 18];
        demands[3] = 4.0 + 3.0 * limit;
        demands[4] = limit;
        let mut fleet = started(&demands, limit);
        let n_before = fleet.n_sent;
        fleet.run(Duration::from_secs(60));
        fleet.assert_within_limit();
        let rate = (fleet.n_sent - n_before) as f64 / 60.0;
        assert!(0.9 * limit <= rate, "{rate} of {limit} a second");
    }
}

// Guards against buckets that are full at all entries when requests come at once after a calm time.
#[test]
fn burst_at_all_entries_after_a_calm_stays_within_the_limit() {
    for limit in [0.1, 2.0, 20.0] {
        let mut fleet = started(&[0.0; 18], limit);
        fleet.run(Duration::from_secs(30));
        fleet
            .entries
            .iter_mut()
            .for_each(|entry| entry.demand = 50.0);
        fleet.run(Duration::from_secs(10));
        fleet.assert_within_limit();
    }
}

// Guards against sides of a cut that each take the limit for their own.
#[test]
fn sides_of_a_cut_stay_within_the_limit_together() {
    for cut_zones in [vec![0], vec![1], vec![0, 1, 2]] {
        let mut fleet = started(&[2.0; 18], 8.0);
        fleet.run(Duration::from_secs(10));
        fleet.cut_zones = cut_zones;
        fleet.run(Duration::from_secs(20));
        fleet.cut_zones.clear();
        fleet.run(Duration::from_secs(10));
        fleet.assert_within_limit();
    }
}

// Guards against an entry that starts, stops or leaves for good and takes a share twice, or none.
#[test]
fn entries_that_join_and_leave_keep_the_limit_in_use() {
    // Arrange
    let mut fleet = started(&[2.0; 18], 8.0);
    let mut n_sent = Vec::new();

    // Act
    for n_round in 0..18 {
        let n_before = fleet.n_sent;
        fleet.entries[n_round].is_draining = true;
        fleet.run(Duration::from_secs(1));
        fleet.entries[n_round].is_up = false;
        fleet.run(Duration::from_secs(1));
        fleet.entries[n_round].is_draining = false;
        fleet.restart(n_round);
        fleet.run(Duration::from_secs(2));
        n_sent.push(fleet.n_sent - n_before);
    }

    // Assert
    fleet.assert_within_limit();
    let n_sum: usize = n_sent.iter().sum();
    assert!(18 * 4 * 8 / 2 <= n_sum, "{n_sent:?}");
}

// Guards against a target that nobody asks for seconds whether its limit of nothing has ended, while
// its callers are refused.
#[test]
fn target_with_a_limit_of_nothing_is_asked_again_within_three_seconds() {
    for n_entries in [4, 18] {
        let mut fleet = started(&vec![3.0; n_entries], 0.0);
        fleet.run(Duration::from_secs(60));
        fleet.assert_within_limit();
        let gap = fleet.longest_gap;
        assert!(gap <= Duration::from_secs(3), "{n_entries}: {gap:?}");
    }
}

// Guards against sides of a cut that each ask a target with a limit of nothing as often as all together.
#[test]
fn sides_of_a_cut_stay_within_a_limit_of_nothing() {
    let mut fleet = started(&[2.0; 18], 0.0);
    fleet.run(Duration::from_secs(10));
    fleet.cut_zones = vec![0, 1, 2];
    fleet.run(Duration::from_secs(30));
    fleet.cut_zones.clear();
    fleet.run(Duration::from_secs(10));
    fleet.assert_within_limit();
}

// Guards against entries that are killed: the rest has to share the limit out within a few seconds.
#[test]
fn limit_is_shared_out_after_entries_were_killed() {
    let mut fleet = started(&[2.0; 18], 8.0);
    for idx in 0..9 {
        fleet.entries[idx].is_up = false;
    }
    fleet.run(Duration::from_secs(5));
    let n_before = fleet.n_sent;
    fleet.run(Duration::from_secs(10));
    fleet.assert_within_limit();
    let n_sent = fleet.n_sent - n_before;
    assert!(10 * 8 / 4 <= n_sent, "{n_sent}");
}
