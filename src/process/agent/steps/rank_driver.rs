//! Runs the state machine of an agent's rank: its target, its messages and its maps.

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
use super::candidacy::newest_leadership;
use super::map_loader::load_map;
use super::placement_planner::own_loads;
use super::step_router::{GroupMembership, send_step};

/// The interval between two ticks of the state machine, and between two reads of the target.
const TICK_PERIOD: Duration = Duration::from_millis(50);
/// The time for which an order of an earlier incarnation of the agent may still reach a target
/// that ignores fencing numbers.
const MAX_ORDER_DELAY: Duration = Duration::from_secs(2);
/// The delay before a request to the target is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// An input of the rank task.
#[derive(Debug)]
pub(super) enum RankInput {
    /// A message and the channel for the reply.
    Message(Box<StepEnvelope>, oneshot::Sender<Option<StepMessage>>),
    /// A request for the contents of a map.
    FindMap(MapId, oneshot::Sender<Option<Arc<ExpertMap>>>),
    /// A request for the loads of the rank's experts.
    Loads(oneshot::Sender<Option<LoadReport>>),
    /// Any other event.
    Event(RankEvent),
}

type RankChannel = (
    mpsc::UnboundedSender<RankInput>,
    mpsc::UnboundedReceiver<RankInput>,
);

struct RankDriver {
    process: Arc<AgentProcess>,
    membership: GroupMembership,
    follower: RankFollower,
    inputs: mpsc::UnboundedSender<RankInput>,
    /// The control address of the leader that sent the last message.
    leader: Option<SocketAddr>,
    running: Option<WindowNumber>,
    /// The number of fencing numbers that the target has not yet confirmed.
    pending_fences: watch::Sender<u32>,
}

/// Runs the state machine until the agent stops.
pub(super) async fn drive_rank(
    process: Arc<AgentProcess>,
    membership: GroupMembership,
    (sender, mut inputs): RankChannel,
) {
    let target = match membership.checks_fencing {
        true => TargetFencing::Checks,
        false => TargetFencing::Ignores,
    };
    let follower = RankFollower::new(RankSettings {
        rank: membership.rank,
        n_ranks: membership.shape.ranks,
        incarnation: process.incarnation,
        target,
    });
    let mut driver = RankDriver {
        follower,
        inputs: sender,
        leader: None,
        running: None,
        pending_fences: watch::Sender::new(0),
        membership,
        process: Arc::clone(&process),
    };
    driver.handle_event(RankEvent::Start, None);
    driver.watch_target();
    let mut ticks = tokio::time::interval(TICK_PERIOD);
    loop {
        tokio::select! {
            Some(input) = inputs.recv() => driver.handle_input(input),
            _ = ticks.tick() => driver.handle_event(RankEvent::Tick, None),
            () = process.stop.cancelled() => return,
        }
    }
}

impl RankDriver {
    fn handle_input(&mut self, input: RankInput) {
        match input {
            RankInput::Message(envelope, reply) => {
                let is_from_leader = !matches!(
                    envelope.message,
                    StepMessage::Rejoin { .. } | StepMessage::RejoinAnswer { .. }
                );
                if is_from_leader {
                    self.leader = Some(envelope.control);
                }
                self.handle_event(RankEvent::Message(envelope.message), Some(reply));
            }
            RankInput::FindMap(map, reply) => {
                let _ = reply.send(self.follower.map(map).cloned());
            }
            RankInput::Loads(reply) => {
                let (process, membership) = (Arc::clone(&self.process), self.membership.clone());
                tokio::spawn(async move {
                    let _ = reply.send(own_loads(&process, &membership).await);
                });
            }
            RankInput::Event(RankEvent::WindowStarted(window)) => {
                if self.running < Some(window) {
                    self.running = Some(window);
                    self.handle_event(RankEvent::WindowStarted(window), None);
                }
            }
            RankInput::Event(event) => self.handle_event(event, None),
        }
    }

    fn handle_event(
        &mut self,
        event: RankEvent,
        reply: Option<oneshot::Sender<Option<StepMessage>>>,
    ) {
        let mut answer = None;
        for action in self.follower.on_event(Timestamp::now(), event) {
            match action {
                RankAction::Reply(message) => answer = Some(message),
                action => self.execute(action),
            }
        }
        match (reply, answer) {
            (Some(reply), answer) => self.reply_fenced(reply, answer),
            (None, Some(message)) => self.send_leader(message),
            (None, None) => {}
        }
    }

    fn execute(&self, action: RankAction) {
        match action {
            RankAction::Reply(message) | RankAction::SendLeader(message) => {
                self.send_leader(message);
            }
            RankAction::ReadTarget => self.read_target(),
            RankAction::FenceTarget(fencing) => self.fence_target(fencing),
            RankAction::ReadLog => self.read_log(),
            RankAction::SendRank(rank, message) => {
                let address = self.membership.rank_addresses[usize::from(rank)];
                self.send(address, StepRecipient::Rank, message);
            }
            RankAction::RunWindow(fencing, window) => self.run_window(fencing, window),
            RankAction::LoadMap(map, rate) => {
                let (process, membership) = (Arc::clone(&self.process), self.membership.clone());
                let inputs = self.inputs.clone();
                tokio::spawn(async move {
                    let event = load_map(&process, &membership, map, rate).await;
                    let _ = inputs.send(RankInput::Event(event));
                });
            }
            RankAction::DropMap(map) => {
                let process = Arc::clone(&self.process);
                tokio::spawn(async move { process.engine.drop_map(map).await });
            }
        }
    }

    /// Sends a fencing number to the target, repeatedly until it answers.
    fn fence_target(&self, fencing: FencingNumber) {
        let process = Arc::clone(&self.process);
        let pending_fences = self.pending_fences.clone();
        pending_fences.send_modify(|n_pending| *n_pending += 1);
        tokio::spawn(async move {
            while process.engine.fence(fencing).await.is_err() && !process.stop.is_cancelled() {
                tokio::time::sleep(RETRY_DELAY).await;
            }
            pending_fences.send_modify(|n_pending| *n_pending -= 1);
        });
    }

    /// Replies once the target has confirmed every fencing number that the rank has promised.
    fn reply_fenced(
        &self,
        reply: oneshot::Sender<Option<StepMessage>>,
        answer: Option<StepMessage>,
    ) {
        let mut pending_fences = self.pending_fences.subscribe();
        tokio::spawn(async move {
            if pending_fences
                .wait_for(|n_pending| *n_pending == 0)
                .await
                .is_ok()
            {
                let _ = reply.send(answer);
            }
        });
    }

    /// Orders the target to run a window. No other process gives this target orders.
    fn run_window(&self, fencing: FencingNumber, window: WindowMap) {
        let process = Arc::clone(&self.process);
        let (group, rank) = (self.membership.group.clone(), self.membership.rank);
        tokio::spawn(async move {
            let order = EngineMap {
                fencing_number: fencing,
                window: window.window,
                map: window.map,
            };
            while let Err(err) = process.engine.run_window(order).await {
                warn!(process.log, "target did not accept a window"; "group" => %group,
                    "rank" => rank, "window" => %window, "reason" => %err);
                if err.is_refusal() || process.stop.is_cancelled() {
                    return;
                }
                tokio::time::sleep(RETRY_DELAY).await;
            }
            debug!(process.log, "window ordered"; "group" => %group, "window" => %window);
        });
    }

    fn read_target(&self) {
        let process = Arc::clone(&self.process);
        let inputs = self.inputs.clone();
        let ignores_fencing = !self.membership.checks_fencing;
        tokio::spawn(async move {
            if ignores_fencing {
                tokio::time::sleep(MAX_ORDER_DELAY).await;
            }
            loop {
                if let Ok(steps) = process.engine.steps().await {
                    let state = target_state(steps);
                    info!(process.log, "target read"; "running" => ?state.running);
                    let _ = inputs.send(RankInput::Event(RankEvent::TargetRead(state)));
                    return;
                }
                tokio::time::sleep(RETRY_DELAY).await;
            }
        });
    }

    fn read_log(&self) {
        let process = Arc::clone(&self.process);
        let (group, inputs) = (self.membership.group.clone(), self.inputs.clone());
        tokio::spawn(async move {
            if let Ok(newest) = newest_leadership(&process.log_client, &group).await {
                let _ = inputs.send(RankInput::Event(RankEvent::LogRead(newest)));
            }
        });
    }

    /// Polls the target and reports each running window to the state machine.
    fn watch_target(&self) {
        let process = Arc::clone(&self.process);
        let inputs = self.inputs.clone();
        tokio::spawn(async move {
            while !process.stop.is_cancelled() {
                tokio::time::sleep(TICK_PERIOD).await;
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

    /// Sends a message. A reply is handled as a separate message.
    fn send(&self, address: SocketAddr, to: StepRecipient, message: StepMessage) {
        let envelope = StepEnvelope {
            group: self.membership.group.clone(),
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
                Err(err) => debug!(process.log, "step message not delivered"; "error" => %err),
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
