//! Runs the state machine of a group's leader.

use slog::{info, warn};
use tokio::sync::{mpsc, oneshot};

use crate::connection::{PlanReport, StepEnvelope, StepRecipient};
use crate::prelude::*;
use crate::process::step_window::{
    GroupLeader, LeaderAction, LeaderEvent, LeaderSettings, StepMessage,
};
use crate::version::expert_map::{ExpertMap, LoadReport, PlacementPlan, RankId};

use super::super::agent_process::AgentProcess;
use super::candidacy::newest_leadership;
use super::placement_planner::{PlacementPlanner, fetch_loads, map_of_plan, plan_report};
use super::step_router::{GroupMembership, fetch_map, send_step};

/// The interval between two ticks of the state machine.
const TICK_PERIOD: Duration = Duration::from_millis(50);
/// The delay after which an unanswered message is sent again.
const RESEND_AFTER: Duration = Duration::from_millis(300);
/// The expected duration of a window.
const WINDOW_DURATION: Duration = Duration::from_secs(1);
/// The interval between two checks for a newer leadership record.
const LEADERSHIP_CHECK_PERIOD: Duration = Duration::from_secs(2);
/// The interval between two requests for the expert loads of the ranks.
const EXPERT_LOADS_PERIOD: Duration = Duration::from_secs(1);
/// The interval between two planning rounds.
const PLAN_PERIOD: Duration = Duration::from_secs(10);
/// The group's share of the weight store's bandwidth, in bytes per second.
const BYTES_PER_SECOND: u64 = 1 << 30;
/// The size of one expert of one layer in bytes, from which load times are estimated.
pub(super) const EXPERT_BYTES: u64 = 16 << 20;

/// An input of the leader task.
#[derive(Debug)]
pub(super) enum LeaderInput {
    /// A message from a rank.
    Message(StepMessage),
    /// The expert loads of a rank.
    Loads(LoadReport),
    /// A request for the moves that the planner would make now.
    Plan(oneshot::Sender<Option<PlanReport>>),
    /// Any other event.
    Event(LeaderEvent),
}

/// The reason why a leader ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LeaderEnd {
    /// Another leader has this fencing number or a higher one.
    SteppedDown(FencingNumber),
    /// The agent is stopping.
    Stopped,
}

struct LeaderDriver<'a> {
    process: &'a Arc<AgentProcess>,
    membership: &'a GroupMembership,
    leader: GroupLeader,
    inputs: mpsc::UnboundedSender<LeaderInput>,
    is_first_map_requested: bool,
    planner: PlacementPlanner,
}

/// Runs the state machine until it steps down or the agent stops.
pub(super) async fn drive_leader(
    process: &Arc<AgentProcess>,
    membership: &GroupMembership,
    fencing: FencingNumber,
) -> LeaderEnd {
    let (sender, mut inputs) = mpsc::unbounded_channel();
    process.steps.set_leader(Some(sender.clone()));
    let leader = GroupLeader::new(LeaderSettings {
        n_ranks: membership.shape.ranks,
        fencing,
        expert_bytes: EXPERT_BYTES,
        bytes_per_second: BYTES_PER_SECOND,
        resend_after: RESEND_AFTER,
        window_duration: WINDOW_DURATION,
    });
    let mut driver = LeaderDriver {
        process,
        membership,
        leader,
        inputs: sender,
        is_first_map_requested: false,
        planner: PlacementPlanner::new(membership, &process.versions.current().content.placement),
    };
    let mut end = driver.handle_event(LeaderEvent::Start);
    let mut ticks = tokio::time::interval(TICK_PERIOD);
    let mut checks = tokio::time::interval(LEADERSHIP_CHECK_PERIOD);
    let mut loads = tokio::time::interval(EXPERT_LOADS_PERIOD);
    let mut plans = tokio::time::interval(PLAN_PERIOD);
    while end.is_none() {
        let event = tokio::select! {
            Some(input) = inputs.recv() => match input {
                LeaderInput::Message(message) => LeaderEvent::Message(message),
                LeaderInput::Event(event) => event,
                LeaderInput::Loads(report) => {
                    driver.planner.observe(&report);
                    continue;
                }
                LeaderInput::Plan(reply) => {
                    let plan = driver.plan().await;
                    let report = plan.map(|plan| plan_report(&membership.group, &plan));
                    let _ = reply.send(report);
                    continue;
                }
            },
            _ = ticks.tick() => LeaderEvent::Tick,
            _ = checks.tick() => {
                driver.check_for_newer_leader();
                continue;
            }
            _ = loads.tick() => {
                driver.request_loads();
                continue;
            }
            _ = plans.tick() => match driver.next_map().await {
                Some(map) => LeaderEvent::SwitchMap(map),
                None => continue,
            },
            () = process.stop.cancelled() => break,
        };
        end = driver.handle_event(event);
    }
    process.steps.set_leader(None);
    end.unwrap_or(LeaderEnd::Stopped)
}

impl LeaderDriver<'_> {
    fn handle_event(&mut self, event: LeaderEvent) -> Option<LeaderEnd> {
        let mut end = None;
        for action in self.leader.on_event(Timestamp::now(), event) {
            end = end.or(self.execute(action));
        }
        end
    }

    fn execute(&mut self, action: LeaderAction) -> Option<LeaderEnd> {
        let (log, group) = (&self.process.log, &self.membership.group);
        match action {
            LeaderAction::Send(rank, message) => self.send(rank, message),
            LeaderAction::Leading(newest) => {
                let newest = newest.map(|newest| newest.to_string());
                info!(log, "all ranks answered"; "group" => %group, "newest" => newest.as_deref());
                if newest.is_none() && !self.is_first_map_requested {
                    self.is_first_map_requested = true;
                    self.switch_to_first_map();
                }
            }
            LeaderAction::Granted(_) => self.process.metrics.windows_granted.inc(),
            LeaderAction::Switched(window) => {
                info!(log, "group switches map"; "group" => %group, "window" => %window);
            }
            LeaderAction::MapReady(map) => {
                info!(log, "map ready"; "group" => %group, "map" => %map);
            }
            LeaderAction::MapRefused(map) => {
                warn!(log, "map refused"; "group" => %group, "map" => %map);
            }
            LeaderAction::FindMap(map) => {
                let (process, membership) = (Arc::clone(self.process), self.membership.clone());
                let inputs = self.inputs.clone();
                tokio::spawn(async move {
                    if let Some(found) = fetch_map(&process, &membership, map).await {
                        let _ = inputs.send(LeaderInput::Event(LeaderEvent::MapFound(found)));
                    }
                });
            }
            LeaderAction::RankRefused(rank, reason) => {
                info!(log, "rank refused"; "group" => %group, "rank" => rank,
                    "reason" => %reason);
            }
            LeaderAction::Waiting(ranks) => {
                let ranks: Vec<RankId> = ranks.iter().collect();
                warn!(log, "waiting for ranks"; "group" => %group, "ranks" => ?ranks);
            }
            LeaderAction::StepDown(fencing) => return Some(LeaderEnd::SteppedDown(fencing)),
        }
        None
    }

    async fn plan(&self) -> Option<PlacementPlan> {
        let current = self
            .leader
            .current_map()
            .filter(|_| self.leader.is_leading())?;
        let placement = self.process.versions.current().content.placement.clone();
        self.planner.plan(Arc::clone(current), placement).await
    }

    /// Returns the map to switch to, if its gain outweighs the cost of its moves.
    async fn next_map(&self) -> Option<Arc<ExpertMap>> {
        let plan = self.plan().await?;
        map_of_plan(
            self.process,
            self.membership,
            &plan,
            self.leader.next_map_number(),
        )
    }

    fn request_loads(&self) {
        for rank in 0..self.membership.rank_addresses.len() {
            let (process, membership) = (Arc::clone(self.process), self.membership.clone());
            let inputs = self.inputs.clone();
            tokio::spawn(async move {
                if let Some(report) = fetch_loads(&process, &membership, rank).await {
                    let _ = inputs.send(LeaderInput::Loads(report));
                }
            });
        }
    }

    /// Switches a group that has not run any window to its first map, a round-robin one.
    fn switch_to_first_map(&self) {
        match ExpertMap::round_robin(self.leader.next_map_number(), self.membership.shape) {
            Ok(map) => {
                let event = LeaderEvent::SwitchMap(Arc::new(map));
                let _ = self.inputs.send(LeaderInput::Event(event));
            }
            Err(err) => warn!(self.process.log, "cannot create the first map"; "error" => %err),
        }
    }

    fn send(&self, rank: RankId, message: StepMessage) {
        let address = self.membership.rank_addresses[usize::from(rank)];
        let envelope = StepEnvelope {
            group: self.membership.group.clone(),
            control: self.process.settings.addresses.control,
            to: StepRecipient::Rank,
            message,
        };
        let process = Arc::clone(self.process);
        let inputs = self.inputs.clone();
        tokio::spawn(async move {
            if let Ok(Some(answer)) = send_step(&process, address, envelope).await {
                let _ = inputs.send(LeaderInput::Message(answer));
            }
        });
    }

    fn check_for_newer_leader(&self) {
        let (process, group) = (Arc::clone(self.process), self.membership.group.clone());
        let inputs = self.inputs.clone();
        let own = self.leader.fencing();
        tokio::spawn(async move {
            let newest = newest_leadership(&process.log_client, &group).await;
            if let Ok(newer) = newest
                && own < newer
            {
                let _ = inputs.send(LeaderInput::Event(LeaderEvent::NewerLeader(newer)));
            }
        });
    }
}
