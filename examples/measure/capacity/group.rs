//! Probes of a group of ranks: step windows, expert popularity and expert maps.

use std::collections::VecDeque;

use comfreyhead::prelude::*;
use comfreyhead::process::step_window::{
    GroupLeader, LeaderAction, LeaderEvent, LeaderSettings, RankAction, RankEvent, RankFollower,
    RankSettings, StepMessage, TargetFencing, TargetState,
};
use comfreyhead::version::config::PlacementConfig;
use comfreyhead::version::expert_map::{
    ExpertLoads, ExpertMap, LoadReport, LoadSample, MapNumber, MapShape, PlanInput,
    PopularityTable, RankId, plan,
};

use super::fixtures::START;
use super::probe::{Probe, ProbeUsage, measure_cpu};

/// Step windows per group run.
const N_WINDOWS: usize = 500;

pub(super) fn probes() -> Vec<Probe> {
    vec![
        Probe {
            name: "group-rank-window",
            per: "rank, in 500 windows: both machines; wire: JSON of all messages",
            sizes: &[8, 16, 32, 64],
            run: windows,
        },
        Probe {
            name: "group-rank-messages",
            per: "rank, in 500 windows; wire: number of messages",
            sizes: &[8, 16, 32, 64],
            run: window_messages,
        },
        Probe {
            name: "group-map-load",
            per: "rank, one map sent to each (60 layers, 256 experts)",
            sizes: &[16, 32, 64],
            run: map_loads,
        },
        Probe {
            name: "group-popularity",
            per: "sample in 100 reports of 64 ranks, decoded and smoothed",
            sizes: &[60, 120, 240, 300],
            run: popularity,
        },
        Probe {
            name: "group-plan",
            per: "layer planned (64 ranks, 256 experts, 5 slots a rank)",
            sizes: &[15, 30, 45, 60],
            run: plans,
        },
    ]
}

fn shape(ranks: u16, layers: u16) -> MapShape {
    MapShape {
        ranks,
        experts: 256,
        layers,
        slots_per_rank: (256 / ranks + 1).min(256),
    }
}

/// The sender or recipient of a message.
#[derive(Clone, Copy)]
enum Endpoint {
    Leader,
    Rank(RankId),
}

struct Envelope {
    from: Endpoint,
    to: Endpoint,
    message: StepMessage,
}

/// A simulated group whose messages are delivered in order and without delay.
struct GroupRun {
    leader: GroupLeader,
    followers: Vec<RankFollower>,
    queue: VecDeque<Envelope>,
    n_windows: usize,
    wire_bytes: u64,
    n_messages: u64,
}

impl GroupRun {
    fn start(ranks: u16) -> Self {
        let settings = LeaderSettings {
            n_ranks: ranks,
            fencing: FencingNumber(7),
            expert_bytes: 1,
            bytes_per_second: u64::MAX,
            resend_after: Duration::from_secs(1),
            window_duration: Duration::from_secs(10),
        };
        let follower = |rank| {
            RankFollower::new(RankSettings {
                rank,
                n_ranks: ranks,
                incarnation: ProcessIncarnation(START.0),
                target: TargetFencing::Checks,
            })
        };
        let mut run = Self {
            leader: GroupLeader::new(settings),
            followers: (0..ranks).map(follower).collect(),
            queue: VecDeque::new(),
            n_windows: 0,
            wire_bytes: 0,
            n_messages: 0,
        };
        (0..ranks).for_each(|rank| run.rank_event(rank, RankEvent::Start, Endpoint::Leader));
        run.deliver(usize::MAX);
        run.leader_event(LeaderEvent::Start);
        run.deliver(usize::MAX);
        assert!(run.leader.is_leading(), "the leader is not leading");
        run
    }

    fn switch_map(&mut self, map: ExpertMap) {
        self.leader_event(LeaderEvent::SwitchMap(Arc::new(map)));
    }

    /// Delivers queued messages until `n_windows` windows have been granted or the queue is empty.
    fn deliver(&mut self, n_windows: usize) {
        while self.n_windows < n_windows {
            let Some(envelope) = self.queue.pop_front() else {
                return;
            };
            let text = serde_json::to_string(&envelope.message).expect("message encodes");
            self.wire_bytes += text.len() as u64;
            self.n_messages += 1;
            let message = serde_json::from_str(&text).expect("message decodes");
            match envelope.to {
                Endpoint::Leader => self.leader_event(LeaderEvent::Message(message)),
                Endpoint::Rank(rank) => {
                    self.rank_event(rank, RankEvent::Message(message), envelope.from);
                }
            }
        }
    }

    fn leader_event(&mut self, event: LeaderEvent) {
        for action in self.leader.on_event(START, event) {
            match action {
                LeaderAction::Send(rank, message) => {
                    self.send(Endpoint::Leader, Endpoint::Rank(rank), message);
                }
                LeaderAction::Granted(_) => self.n_windows += 1,
                _ => {}
            }
        }
    }

    fn rank_event(&mut self, rank: RankId, event: RankEvent, from: Endpoint) {
        let here = Endpoint::Rank(rank);
        for action in self.followers[usize::from(rank)].on_event(START, event) {
            match action {
                RankAction::ReadTarget => {
                    let read = RankEvent::TargetRead(TargetState::default());
                    self.rank_event(rank, read, from);
                }
                RankAction::ReadLog => {
                    self.rank_event(rank, RankEvent::LogRead(FencingNumber(6)), from);
                }
                RankAction::Reply(message) => self.send(here, from, message),
                RankAction::SendLeader(message) => self.send(here, Endpoint::Leader, message),
                RankAction::SendRank(other, message) => {
                    self.send(here, Endpoint::Rank(other), message);
                }
                RankAction::RunWindow(_, window) => {
                    self.rank_event(rank, RankEvent::WindowStarted(window.window), from);
                }
                RankAction::LoadMap(map, _) => {
                    self.rank_event(rank, RankEvent::MapLoaded(map.id()), from);
                }
                RankAction::FenceTarget(_) | RankAction::DropMap(_) => {}
            }
        }
    }

    fn send(&mut self, from: Endpoint, to: Endpoint, message: StepMessage) {
        self.queue.push_back(Envelope { from, to, message });
    }
}

/// Starts a group that has been granted its first window.
fn running_group(ranks: u16) -> GroupRun {
    let mut run = GroupRun::start(ranks);
    run.switch_map(ExpertMap::round_robin(MapNumber(1), shape(ranks, 1)).expect("the experts fit"));
    run.deliver(1);
    run.wire_bytes = 0;
    run.n_messages = 0;
    run
}

fn windows(ranks: usize) -> ProbeUsage {
    let mut run = running_group(ranks as u16);
    let mut usage = measure_cpu(|| run.deliver(N_WINDOWS + 1));
    assert_eq!(run.n_windows, N_WINDOWS + 1, "the group stopped early");
    usage.wire_bytes = run.wire_bytes;
    usage
}

fn window_messages(ranks: usize) -> ProbeUsage {
    let mut run = running_group(ranks as u16);
    run.deliver(N_WINDOWS + 1);
    ProbeUsage {
        wire_bytes: run.n_messages,
        ..ProbeUsage::default()
    }
}

fn map_loads(ranks: usize) -> ProbeUsage {
    let ranks = ranks as u16;
    let mut run = GroupRun::start(ranks);
    run.wire_bytes = 0;
    let map = ExpertMap::round_robin(MapNumber(1), shape(ranks, 60)).expect("the experts fit");
    let mut usage = measure_cpu(|| {
        run.switch_map(map);
        run.deliver(1);
    });
    usage.wire_bytes = run.wire_bytes;
    usage
}

fn popularity(n_samples: usize) -> ProbeUsage {
    let ranks = 64;
    let mut table = PopularityTable::new(shape(ranks, 60), Duration::from_secs(600));
    let report = |idx: usize| {
        let sample = |sample: usize| LoadSample {
            layer: (sample / 5) as u16,
            expert: ((sample + idx) % 256) as u16,
            replicas: 1,
            tokens: 1_000 + sample as u32,
        };
        LoadReport {
            rank: (idx % usize::from(ranks)) as RankId,
            until: START + Duration::from_secs(idx as u64),
            interval_ms: 10_000,
            busy_ms: 7_500,
            samples: (0..n_samples).map(sample).collect(),
        }
    };
    let texts: Vec<String> = (0..100)
        .map(|idx| serde_json::to_string(&report(idx)).expect("report encodes"))
        .collect();
    let mut usage = measure_cpu(|| {
        for text in &texts {
            table.on_report(&serde_json::from_str(text).expect("report decodes"));
        }
    });
    usage.wire_bytes = texts.iter().map(|text| text.len() as u64).sum();
    usage
}

fn plans(layers: usize) -> ProbeUsage {
    let shape = shape(64, layers as u16);
    let current = ExpertMap::round_robin(MapNumber(1), shape).expect("the experts fit");
    // Popularity follows Zipf's law with exponent 1, shifted by layer.
    let rates = (0..layers * 256).map(|idx| 10_000.0 / (1 + (idx * 37) % 256) as f32);
    let loads = ExpertLoads::new(256, rates.collect());
    let input = PlanInput {
        current: &current,
        loads: &loads,
        speeds: &[1.0; 64],
        expert_bytes: 40 << 20,
        weights: &PlacementConfig::default(),
        headroom: u16::MAX,
    };
    measure_cpu(|| plan(&input))
}
