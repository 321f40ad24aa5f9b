//! The cost of the step-window protocol.

use std::time::{Duration, Instant};

use comfreyhead::prelude::*;
use comfreyhead::process::step_window::{
    GroupLeader, LeaderAction, LeaderEvent, LeaderSettings, RankAction, RankEvent, RankFollower,
    RankSettings, StepMessage, TargetFencing, TargetState,
};
use comfreyhead::version::expert_map::{ExpertMap, MapNumber, MapShape};

/// The steps of a group each second.
const STEPS_PER_SECOND: f64 = 26.0;

/// The windows that are measured.
const WINDOWS: u64 = 400;

/// The steps of a window that are weighed.
const WINDOW_STEPS: [u32; 5] = [13, 26, 78, 130, 260];

/// What JSON-RPC and WebSocket add to a message, in bytes.
const ENVELOPE_BYTES: usize = 70;

/// The cost of the protocol for one length of window.
pub(super) struct ProtocolCost {
    pub(super) ranks: u16,
    pub(super) window_steps: u32,
    /// Messages that a rank sends and receives, each second.
    pub(super) rank_messages: f64,
    /// Bytes that a rank sends and receives, each second.
    pub(super) rank_bytes: f64,
    /// Share of a core that a rank's agent uses, coding and decoding included.
    pub(super) rank_core: f64,
    /// Messages that the leader sends and receives, each second.
    pub(super) leader_messages: f64,
    /// Bytes that the leader sends and receives, each second.
    pub(super) leader_bytes: f64,
    /// Share of a core that the leader uses, coding and decoding included.
    pub(super) leader_core: f64,
    /// The longest wait for a switch after the last rank has loaded, in seconds.
    pub(super) switch_wait_s: f64,
}

/// What one window costs.
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
    let cost = Wire::new(ranks).run();
    let of_ranks = f64::from(ranks);
    let scale = |steps: u32| {
        let windows = STEPS_PER_SECOND / f64::from(steps);
        ProtocolCost {
            ranks,
            window_steps: steps,
            rank_messages: cost.messages * windows / of_ranks,
            rank_bytes: cost.bytes * windows / of_ranks,
            rank_core: cost.rank_time.as_secs_f64() * windows / of_ranks,
            leader_messages: cost.messages * windows,
            leader_bytes: cost.bytes * windows,
            leader_core: cost.leader_time.as_secs_f64() * windows,
            // The next window is granted already: the switch comes after it at the latest.
            switch_wait_s: 2.0 / windows,
        }
    };
    WINDOW_STEPS.into_iter().map(scale).collect()
}

/// A group whose messages are coded to JSON and back.
struct Wire {
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

impl Wire {
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
        while self.newest_window() < WINDOWS {
            if self.newest_window() == WINDOWS / 4 {
                self.reset_counts();
            }
            self.pass_messages();
        }
        let windows = (WINDOWS - WINDOWS / 4) as f64;
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
            self.tell_rank(rank, RankEvent::TargetRead(state));
        }
        // All agents start at once, so that each reads the log.
        self.drain();
        for rank in 0..ranks {
            self.tell_rank(rank, RankEvent::LogRead(FencingNumber(0)));
        }
        self.tell_leader(LeaderEvent::Start);
        self.drain();
        let next = Arc::new(map.renumbered(self.leader.next_map_number()));
        self.tell_leader(LeaderEvent::SwitchMap(next));
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
            self.tell_rank(rank, RankEvent::Message(message));
        }
        for (rank, event) in std::mem::take(&mut self.started) {
            self.tell_rank(rank, event);
        }
        for text in std::mem::take(&mut self.to_leader) {
            let start = Instant::now();
            let message = decode(&text);
            self.leader_time += start.elapsed();
            self.tell_leader(LeaderEvent::Message(message));
        }
    }

    fn tell_leader(&mut self, event: LeaderEvent) {
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

    fn tell_rank(&mut self, rank: u16, event: RankEvent) {
        let asker = match &event {
            RankEvent::Message(StepMessage::Rejoin { rank, .. }) => Some(*rank),
            _ => None,
        };
        let start = Instant::now();
        let actions = self.followers[usize::from(rank)].on_event(self.now, event);
        let mut sent = Vec::new();
        for action in actions {
            match action {
                RankAction::Reply(message) => sent.push((asker, encode(&message))),
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
