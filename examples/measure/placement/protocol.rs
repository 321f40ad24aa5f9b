//! The cost of the step-window protocol.

use std::time::{Duration, Instant};

use comfreyhead::prelude::*;
use comfreyhead::process::step_window::{
    GroupLeader, LeaderAction, LeaderEvent, LeaderSettings, RankAction, RankEvent, RankFollower,
    RankSettings, StepMessage, TargetFencing, TargetState,
};
use comfreyhead::version::expert_map::{ExpertMap, MapNumber, MapShape};

/// The steps that a group runs each second.
const STEPS_PER_SECOND: f64 = 26.0;

/// The number of windows to run; the first quarter is warm-up and is not counted.
const N_WINDOWS: u64 = 400;

/// The window lengths to compare, in steps.
const WINDOW_STEPS: [u32; 5] = [13, 26, 78, 130, 260];

/// The JSON-RPC and WebSocket overhead of a message, in bytes.
const ENVELOPE_BYTES: usize = 70;

/// The cost of the protocol for one window length.
pub(super) struct ProtocolCost {
    pub(super) ranks: u16,
    pub(super) window_steps: u32,
    /// Messages that a rank sends and receives, each second.
    pub(super) rank_messages: f64,
    /// Bytes that a rank sends and receives, each second.
    pub(super) rank_bytes: f64,
    /// Share of a core that a rank's agent uses, including encoding and decoding.
    pub(super) rank_core: f64,
    /// Messages that the leader sends and receives, each second.
    pub(super) leader_messages: f64,
    /// Bytes that the leader sends and receives, each second.
    pub(super) leader_bytes: f64,
    /// Share of a core that the leader uses, including encoding and decoding.
    pub(super) leader_core: f64,
    /// The longest wait for a switch after the last rank has loaded, in seconds.
    pub(super) switch_wait_s: f64,
}

/// The mean cost of one window for the whole group.
struct WindowCost {
    messages: f64,
    bytes: f64,
    rank_time: Duration,
    leader_time: Duration,
}

/// Measures groups of 16 and 64 ranks.
pub(super) fn measure_all() -> Vec<ProtocolCost> {
    [16, 64].into_iter().flat_map(measure).collect()
}

fn measure(ranks: u16) -> Vec<ProtocolCost> {
    let cost = GroupHarness::new(ranks).run();
    let n_ranks = f64::from(ranks);
    let scale = |steps: u32| {
        let windows = STEPS_PER_SECOND / f64::from(steps);
        ProtocolCost {
            ranks,
            window_steps: steps,
            rank_messages: cost.messages * windows / n_ranks,
            rank_bytes: cost.bytes * windows / n_ranks,
            rank_core: cost.rank_time.as_secs_f64() * windows / n_ranks,
            leader_messages: cost.messages * windows,
            leader_bytes: cost.bytes * windows,
            leader_core: cost.leader_time.as_secs_f64() * windows,
            // The next window is already granted, so the switch takes place after it at the latest.
            switch_wait_s: 2.0 / windows,
        }
    };
    WINDOW_STEPS.into_iter().map(scale).collect()
}

/// An in-process group that encodes each message to JSON and decodes it again.
struct GroupHarness {
    leader: GroupLeader,
    followers: Vec<RankFollower>,
    messages: u64,
    bytes: u64,
    rank_time: Duration,
    leader_time: Duration,
    to_leader: Vec<String>,
    to_ranks: Vec<(u16, String)>,
    started: Vec<(u16, RankEvent)>,
    now: Timestamp,
}

impl GroupHarness {
    fn new(ranks: u16) -> Self {
        let leader = GroupLeader::new(LeaderSettings {
            n_ranks: ranks,
            fencing: FencingNumber(1),
            expert_bytes: 1,
            bytes_per_second: 1_000_000_000,
            resend_after: Duration::from_secs(1),
            window_duration: Duration::from_secs(3),
        });
        let follower = |rank| {
            RankFollower::new(RankSettings {
                rank,
                n_ranks: ranks,
                incarnation: ProcessIncarnation(1_764_800_000_000_000),
                target: TargetFencing::Ignores,
            })
        };
        Self {
            leader,
            followers: (0..ranks).map(follower).collect(),
            messages: 0,
            bytes: 0,
            rank_time: Duration::ZERO,
            leader_time: Duration::ZERO,
            to_leader: Vec::new(),
            to_ranks: Vec::new(),
            started: Vec::new(),
            now: Timestamp::from_millis(1),
        }
    }

    fn run(mut self) -> WindowCost {
        self.start();
        while self.newest_window() < N_WINDOWS {
            if self.newest_window() == N_WINDOWS / 4 {
                self.reset_counts();
            }
            self.pass_messages();
        }
        let windows = (N_WINDOWS - N_WINDOWS / 4) as f64;
        WindowCost {
            messages: self.messages as f64 / windows,
            bytes: self.bytes as f64 / windows,
            rank_time: self.rank_time.div_f64(windows),
            leader_time: self.leader_time.div_f64(windows),
        }
    }

    fn newest_window(&self) -> u64 {
        self.leader
            .newest_window()
            .map_or(0, |newest| newest.window.0)
    }

    fn reset_counts(&mut self) {
        self.messages = 0;
        self.bytes = 0;
        self.rank_time = Duration::ZERO;
        self.leader_time = Duration::ZERO;
    }

    fn start(&mut self) {
        let ranks = self.followers.len() as u16;
        let shape = MapShape {
            ranks,
            experts: ranks * 4,
            layers: 1,
            slots_per_rank: 5,
        };
        let map =
            Arc::new(ExpertMap::round_robin(MapNumber(1), shape).expect("the shape is valid"));
        for rank in 0..ranks {
            let loaded = SmallVec::from_iter([map.clone()]);
            let state = TargetState {
                running: None,
                queued: None,
                loaded,
            };
            self.deliver_to_rank(rank, RankEvent::TargetRead(state));
        }
        // All agents start together, so each one reads the log.
        self.drain();
        for rank in 0..ranks {
            self.deliver_to_rank(rank, RankEvent::LogRead(FencingNumber(0)));
        }
        self.deliver_to_leader(LeaderEvent::Start);
        self.drain();
        let next = Arc::new(map.renumbered(self.leader.next_map_number()));
        self.deliver_to_leader(LeaderEvent::SwitchMap(next));
    }

    fn drain(&mut self) {
        while !self.to_ranks.is_empty() || !self.to_leader.is_empty() {
            self.pass_messages();
        }
    }

    fn pass_messages(&mut self) {
        for (rank, text) in std::mem::take(&mut self.to_ranks) {
            let start = Instant::now();
            let message = decode(&text);
            self.rank_time += start.elapsed();
            self.deliver_to_rank(rank, RankEvent::Message(message));
        }
        for (rank, event) in std::mem::take(&mut self.started) {
            self.deliver_to_rank(rank, event);
        }
        for text in std::mem::take(&mut self.to_leader) {
            let start = Instant::now();
            let message = decode(&text);
            self.leader_time += start.elapsed();
            self.deliver_to_leader(LeaderEvent::Message(message));
        }
    }

    fn deliver_to_leader(&mut self, event: LeaderEvent) {
        let start = Instant::now();
        let mut sent = Vec::new();
        for action in self.leader.on_event(self.now, event) {
            if let LeaderAction::Send(rank, message) = action {
                sent.push((rank, encode(&message)));
            }
        }
        self.leader_time += start.elapsed();
        for (_, text) in &sent {
            self.count(text);
        }
        self.to_ranks.extend(sent);
    }

    fn deliver_to_rank(&mut self, rank: u16, event: RankEvent) {
        let requester = match &event {
            RankEvent::Message(StepMessage::Rejoin { rank, .. }) => Some(*rank),
            _ => None,
        };
        let start = Instant::now();
        let actions = self.followers[usize::from(rank)].on_event(self.now, event);
        let mut sent = Vec::new();
        for action in actions {
            match action {
                RankAction::Reply(message) => sent.push((requester, encode(&message))),
                RankAction::SendLeader(message) => sent.push((None, encode(&message))),
                RankAction::SendRank(other, message) => sent.push((Some(other), encode(&message))),
                RankAction::RunWindow(_, window) => {
                    self.started
                        .push((rank, RankEvent::WindowStarted(window.window)));
                }
                RankAction::LoadMap(map, _) => {
                    self.started.push((rank, RankEvent::MapLoaded(map.id())));
                }
                _ => {}
            }
        }
        self.rank_time += start.elapsed();
        for (to, text) in sent {
            self.count(&text);
            match to {
                Some(other) => self.to_ranks.push((other, text)),
                None => self.to_leader.push(text),
            }
        }
    }

    fn count(&mut self, text: &str) {
        self.messages += 1;
        self.bytes += (text.len() + ENVELOPE_BYTES) as u64;
    }
}

fn encode(message: &StepMessage) -> String {
    serde_json::to_string(message).expect("messages are plain data")
}

fn decode(text: &str) -> StepMessage {
    serde_json::from_str(text).expect("the text was encoded here")
}
