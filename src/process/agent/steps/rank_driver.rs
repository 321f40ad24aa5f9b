//! Drives the machine of an agent's rank: its target, its messages and its maps.

use std::net::SocketAddr;

use slog::{debug, info, warn};
use tokio::sync::{mpsc, oneshot, watch};

use crate::connection::{StepEnvelope, StepRecipient};
use crate::prelude::*;
use crate::process::platform::{EngineMap, EngineSteps};
use crate::process::step_window::{
    RankAction, RankEvent, RankFollower, RankSettings, StepMessage, TargetFencing, TargetState,
    WindowMap, WindowNumber,
};
use crate::version::expert_map::{ExpertMap, LoadReport, MapId};

use super::super::agent_process::AgentProcess;
use super::candidacy::newest_lead;
use super::map_loader::load_map;
use super::placement_round::own_loads;
use super::step_router::{GroupPlace, send_step};

/// The time between two ticks of the machine, and between two looks at the target.
const TICK: Duration = Duration::from_millis(50);
/// The time in which an order of an earlier life of the agent may still reach a target that
/// ignores fencing numbers.
const ORDER_FLIGHT: Duration = Duration::from_secs(2);
/// The pause after a target or the log service did not answer.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// What reaches the machine.
#[derive(Debug)]
pub(super) enum RankInput {
    /// A message, and where its answer goes.
    Message(Box<StepEnvelope>, oneshot::Sender<Option<StepMessage>>),
    /// Somebody asks for the content of a map.
    FindMap(MapId, oneshot::Sender<Option<Arc<ExpertMap>>>),
    /// Somebody asks for the loads of the rank's experts.
    Loads(oneshot::Sender<Option<LoadReport>>),
    /// Something else happened.
    Event(RankEvent),
}

type RankChannel = (
    mpsc::UnboundedSender<RankInput>,
    mpsc::UnboundedReceiver<RankInput>,
);

struct RankDriver {
    process: Arc<AgentProcess>,
    place: GroupPlace,
    follower: RankFollower,
    inputs: mpsc::UnboundedSender<RankInput>,
    /// Where the leader that the rank follows takes control messages.
    leader: Option<SocketAddr>,
    running: Option<WindowNumber>,
    /// The fencing numbers that the target was not yet told of.
    open_fences: watch::Sender<u32>,
}

/// Drives the machine until the agent stops.
pub(super) async fn drive_rank(
    process: Arc<AgentProcess>,
    place: GroupPlace,
    (sender, mut inputs): RankChannel,
) {
    let target = match place.checks_fencing {
        true => TargetFencing::Checks,
        false => TargetFencing::Ignores,
    };
    let follower = RankFollower::new(RankSettings {
        rank: place.rank,
        n_ranks: place.shape.ranks,
        incarnation: process.incarnation,
        target,
    });
    let mut driver = RankDriver {
        follower,
        inputs: sender,
        leader: None,
        running: None,
        open_fences: watch::Sender::new(0),
        place,
        process: Arc::clone(&process),
    };
    driver.take(RankEvent::Start, None);
    driver.watch_target();
    let mut ticks = tokio::time::interval(TICK);
    loop {
        tokio::select! {
            Some(input) = inputs.recv() => driver.take_input(input),
            _ = ticks.tick() => driver.take(RankEvent::Tick, None),
            () = process.stop.cancelled() => return,
        }
    }
}

impl RankDriver {
    fn take_input(&mut self, input: RankInput) {
        match input {
            RankInput::Message(envelope, reply) => {
                let is_of_leader = !matches!(
                    envelope.message,
                    StepMessage::Rejoin { .. } | StepMessage::RejoinAnswer { .. }
                );
                if is_of_leader {
                    self.leader = Some(envelope.control);
                }
                self.take(RankEvent::Message(envelope.message), Some(reply));
            }
            RankInput::FindMap(map, reply) => {
                let _ = reply.send(self.follower.map(map).cloned());
            }
            RankInput::Loads(reply) => {
                let (process, place) = (Arc::clone(&self.process), self.place.clone());
                tokio::spawn(async move {
                    let _ = reply.send(own_loads(&process, &place).await);
                });
            }
            RankInput::Event(RankEvent::WindowStarted(window)) => {
                if self.running < Some(window) {
                    self.running = Some(window);
                    self.take(RankEvent::WindowStarted(window), None);
                }
            }
            RankInput::Event(event) => self.take(event, None),
        }
    }

    fn take(&mut self, event: RankEvent, reply: Option<oneshot::Sender<Option<StepMessage>>>) {
        let mut answer = None;
        for action in self.follower.on_event(Timestamp::now(), event) {
            match action {
                RankAction::Reply(message) => answer = Some(message),
                action => self.carry_out(action),
            }
        }
        match (reply, answer) {
            (Some(reply), answer) => self.reply_fenced(reply, answer),
            (None, Some(message)) => self.send_leader(message),
            (None, None) => {}
        }
    }

    fn carry_out(&self, action: RankAction) {
        match action {
            RankAction::Reply(message) | RankAction::SendLeader(message) => {
                self.send_leader(message);
            }
            RankAction::ReadTarget => self.read_target(),
            RankAction::FenceTarget(fencing) => self.fence_target(fencing),
            RankAction::ReadLog => self.read_log(),
            RankAction::SendRank(rank, message) => {
                let address = self.place.ranks[usize::from(rank)];
                self.send(address, StepRecipient::Rank, message);
            }
            RankAction::RunWindow(fencing, window) => self.run_window(fencing, window),
            RankAction::LoadMap(map, rate) => {
                let (process, place) = (Arc::clone(&self.process), self.place.clone());
                let inputs = self.inputs.clone();
                tokio::spawn(async move {
                    let event = load_map(&process, &place, map, rate).await;
                    let _ = inputs.send(RankInput::Event(event));
                });
            }
            RankAction::DropMap(map) => {
                let process = Arc::clone(&self.process);
                tokio::spawn(async move { process.engine.drop_map(map).await });
            }
        }
    }

    /// Tells the target of a fencing number, again until it answers.
    fn fence_target(&self, fencing: FencingNumber) {
        let process = Arc::clone(&self.process);
        let open_fences = self.open_fences.clone();
        open_fences.send_modify(|n_open| *n_open += 1);
        tokio::spawn(async move {
            while process.engine.fence(fencing).await.is_err() && !process.stop.is_cancelled() {
                tokio::time::sleep(RETRY_PAUSE).await;
            }
            open_fences.send_modify(|n_open| *n_open -= 1);
        });
    }

    /// Answers once the target knows every fencing number that the rank has promised.
    fn reply_fenced(
        &self,
        reply: oneshot::Sender<Option<StepMessage>>,
        answer: Option<StepMessage>,
    ) {
        let mut open_fences = self.open_fences.subscribe();
        tokio::spawn(async move {
            if open_fences.wait_for(|n_open| *n_open == 0).await.is_ok() {
                let _ = reply.send(answer);
            }
        });
    }

    /// Orders the target to run a window. Only this agent gives it orders.
    fn run_window(&self, fencing: FencingNumber, window: WindowMap) {
        let process = Arc::clone(&self.process);
        let (group, rank) = (self.place.group.clone(), self.place.rank);
        tokio::spawn(async move {
            let order = EngineMap {
                fencing_number: fencing,
                window: window.window,
                map: window.map,
            };
            while let Err(err) = process.engine.run_window(order).await {
                warn!(process.log, "target did not take a window"; "group" => %group,
                    "rank" => rank, "window" => %window, "reason" => %err);
                if err.is_refusal() || process.stop.is_cancelled() {
                    return;
                }
                tokio::time::sleep(RETRY_PAUSE).await;
            }
            debug!(process.log, "window ordered"; "group" => %group, "window" => %window);
        });
    }

    fn read_target(&self) {
        let process = Arc::clone(&self.process);
        let inputs = self.inputs.clone();
        let is_blind = !self.place.checks_fencing;
        tokio::spawn(async move {
            if is_blind {
                tokio::time::sleep(ORDER_FLIGHT).await;
            }
            loop {
                if let Ok(steps) = process.engine.steps().await {
                    let state = target_state(steps);
                    info!(process.log, "target read"; "running" => ?state.running);
                    let _ = inputs.send(RankInput::Event(RankEvent::TargetRead(state)));
                    return;
                }
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        });
    }

    fn read_log(&self) {
        let process = Arc::clone(&self.process);
        let (group, inputs) = (self.place.group.clone(), self.inputs.clone());
        tokio::spawn(async move {
            if let Ok(newest) = newest_lead(&process.log_client, &group).await {
                let _ = inputs.send(RankInput::Event(RankEvent::LogRead(newest)));
            }
        });
    }

    /// Tells the machine of each window that the target starts.
    fn watch_target(&self) {
        let process = Arc::clone(&self.process);
        let inputs = self.inputs.clone();
        tokio::spawn(async move {
            while !process.stop.is_cancelled() {
                tokio::time::sleep(TICK).await;
                let Ok(steps) = process.engine.steps().await else {
                    continue;
                };
                if let Some(running) = steps.running {
                    let event = RankEvent::WindowStarted(running.window);
                    let _ = inputs.send(RankInput::Event(event));
                }
            }
        });
    }

    fn send_leader(&self, message: StepMessage) {
        if let Some(leader) = self.leader {
            self.send(leader, StepRecipient::Leader, message);
        }
    }

    /// Sends a message; an answer comes back as a message of its own.
    fn send(&self, address: SocketAddr, to: StepRecipient, message: StepMessage) {
        let envelope = StepEnvelope {
            group: self.place.group.clone(),
            control: self.process.settings.addresses.control,
            to,
            message,
        };
        let process = Arc::clone(&self.process);
        let inputs = self.inputs.clone();
        tokio::spawn(async move {
            match send_step(&process, address, envelope).await {
                Ok(Some(answer)) => {
                    let _ = inputs.send(RankInput::Event(RankEvent::Message(answer)));
                }
                Ok(None) => {}
                Err(err) => debug!(process.log, "step message lost"; "error" => %err),
            }
        });
    }
}

fn target_state(steps: EngineSteps) -> TargetState {
    let window = |order: EngineMap| WindowMap {
        window: order.window,
        map: order.map,
    };
    TargetState {
        running: steps.running.map(window),
        queued: steps.queued.map(window),
        loaded: steps.loaded.into_iter().map(Arc::new).collect(),
    }
}
