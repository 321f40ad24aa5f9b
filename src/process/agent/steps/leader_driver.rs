//! Drives the machine of a group's leader.

use slog::{info, warn};
use tokio::sync::{mpsc, oneshot};

use crate::connection::{PlanReport, StepEnvelope, StepRecipient};
use crate::prelude::*;
use crate::process::step_window::{
    GroupLeader, LeaderAction, LeaderEvent, LeaderSettings, StepMessage,
};
use crate::version::expert_map::{ExpertMap, LoadReport, PlacementPlan, RankId};

use super::super::agent_process::AgentProcess;
use super::candidacy::newest_lead;
use super::placement_round::{PlacementRound, ask_for_loads, map_of_plan, plan_report};
use super::step_router::{GroupPlace, ask_for_map, send_step};

/// The time between two ticks of the machine.
const TICK: Duration = Duration::from_millis(50);
/// The time after which an unanswered message is sent again.
const RESEND_AFTER: Duration = Duration::from_millis(300);
/// The time that a window is expected to take.
const WINDOW_DURATION: Duration = Duration::from_secs(1);
/// The time between two looks for a later lead record.
const LEAD_LOOK: Duration = Duration::from_secs(2);
/// The time between two looks at the loads.
const LOAD_PERIOD: Duration = Duration::from_secs(1);
/// The time between two rounds of planning.
const PLAN_PERIOD: Duration = Duration::from_secs(10);
/// The group's share of the weight store, in bytes a second.
const BYTES_PER_SECOND: u64 = 1 << 30;
/// The size of one expert of one layer that loads are spread by, in bytes.
pub(super) const EXPERT_BYTES: u64 = 16 << 20;

/// What reaches the machine.
#[derive(Debug)]
pub(super) enum LeaderInput {
    /// A message of a rank.
    Message(StepMessage),
    /// The loads of a rank.
    Loads(LoadReport),
    /// Somebody asks what would be moved.
    Plan(oneshot::Sender<Option<PlanReport>>),
    /// Something else happened.
    Event(LeaderEvent),
}

/// Why a leader ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LeaderEnd {
    /// Another leader has this fencing number, or a later one.
    SteppedDown(FencingNumber),
    /// The agent stops or leaves.
    Stopped,
}

struct LeaderDriver<'a> {
    process: &'a Arc<AgentProcess>,
    place: &'a GroupPlace,
    leader: GroupLeader,
    inputs: mpsc::UnboundedSender<LeaderInput>,
    is_first_map_given: bool,
    round: PlacementRound,
}

/// Drives the machine until it stands down or the agent stops.
pub(super) async fn drive_leader(
    process: &Arc<AgentProcess>,
    place: &GroupPlace,
    fencing: FencingNumber,
) -> LeaderEnd {
    let (sender, mut inputs) = mpsc::unbounded_channel();
    process.steps.set_leader(Some(sender.clone()));
    let leader = GroupLeader::new(LeaderSettings {
        n_ranks: place.shape.ranks,
        fencing,
        expert_bytes: EXPERT_BYTES,
        bytes_per_second: BYTES_PER_SECOND,
        resend_after: RESEND_AFTER,
        window_duration: WINDOW_DURATION,
    });
    let mut driver = LeaderDriver {
        process,
        place,
        leader,
        inputs: sender,
        is_first_map_given: false,
        round: PlacementRound::new(place, &process.versions.current().content.placement),
    };
    let mut end = driver.take(LeaderEvent::Start);
    let mut ticks = tokio::time::interval(TICK);
    let mut looks = tokio::time::interval(LEAD_LOOK);
    let mut loads = tokio::time::interval(LOAD_PERIOD);
    let mut plans = tokio::time::interval(PLAN_PERIOD);
    while end.is_none() {
        let event = tokio::select! {
            Some(input) = inputs.recv() => match input {
                LeaderInput::Message(message) => LeaderEvent::Message(message),
                LeaderInput::Event(event) => event,
                LeaderInput::Loads(report) => {
                    driver.round.observe(&report);
                    continue;
                }
                LeaderInput::Plan(reply) => {
                    let plan = driver.plan().await;
                    let report = plan.map(|plan| plan_report(&place.group, &plan));
                    let _ = reply.send(report);
                    continue;
                }
            },
            _ = ticks.tick() => LeaderEvent::Tick,
            _ = looks.tick() => {
                driver.look_for_later_lead();
                continue;
            }
            _ = loads.tick() => {
                driver.ask_for_loads();
                continue;
            }
            _ = plans.tick() => match driver.next_map().await {
                Some(map) => LeaderEvent::SwitchMap(map),
                None => continue,
            },
            () = process.stop.cancelled() => break,
        };
        end = driver.take(event);
    }
    process.steps.set_leader(None);
    end.unwrap_or(LeaderEnd::Stopped)
}

impl LeaderDriver<'_> {
    fn take(&mut self, event: LeaderEvent) -> Option<LeaderEnd> {
        let mut end = None;
        for action in self.leader.on_event(Timestamp::now(), event) {
            end = end.or(self.carry_out(action));
        }
        end
    }

    fn carry_out(&mut self, action: LeaderAction) -> Option<LeaderEnd> {
        let (log, group) = (&self.process.log, &self.place.group);
        match action {
            LeaderAction::Send(rank, message) => self.send(rank, message),
            LeaderAction::Leading(newest) => {
                let newest = newest.map(|newest| newest.to_string());
                info!(log, "group answers"; "group" => %group, "newest" => newest.as_deref());
                if newest.is_none() && !self.is_first_map_given {
                    self.is_first_map_given = true;
                    self.give_first_map();
                }
            }
            LeaderAction::Granted(_) => self.process.metrics.windows_granted.inc(),
            LeaderAction::Switched(window) => {
                info!(log, "group switches"; "group" => %group, "window" => %window);
            }
            LeaderAction::MapReady(map) => {
                info!(log, "map ready"; "group" => %group, "map" => %map);
            }
            LeaderAction::MapRefused(map) => {
                warn!(log, "map refused"; "group" => %group, "map" => %map);
            }
            LeaderAction::FindMap(map) => {
                let (process, place) = (Arc::clone(self.process), self.place.clone());
                let inputs = self.inputs.clone();
                tokio::spawn(async move {
                    if let Some(found) = ask_for_map(&process, &place, map).await {
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
                warn!(log, "group waits"; "group" => %group, "ranks" => ?ranks);
            }
            LeaderAction::StepDown(later) => return Some(LeaderEnd::SteppedDown(later)),
        }
        None
    }

    async fn plan(&self) -> Option<PlacementPlan> {
        let current = self
            .leader
            .current_map()
            .filter(|_| self.leader.is_leading())?;
        let weights = self.process.versions.current().content.placement.clone();
        self.round.plan(Arc::clone(current), weights).await
    }

    /// Returns the map to switch to, where a move pays.
    async fn next_map(&self) -> Option<Arc<ExpertMap>> {
        let plan = self.plan().await?;
        map_of_plan(
            self.process,
            self.place,
            &plan,
            self.leader.next_map_number(),
        )
    }

    fn ask_for_loads(&self) {
        for rank in 0..self.place.ranks.len() {
            let (process, place) = (Arc::clone(self.process), self.place.clone());
            let inputs = self.inputs.clone();
            tokio::spawn(async move {
                if let Some(report) = ask_for_loads(&process, &place, rank).await {
                    let _ = inputs.send(LeaderInput::Loads(report));
                }
            });
        }
    }

    /// Starts a group that has run no window yet.
    fn give_first_map(&self) {
        match ExpertMap::round_robin(self.leader.next_map_number(), self.place.shape) {
            Ok(map) => {
                let event = LeaderEvent::SwitchMap(Arc::new(map));
                let _ = self.inputs.send(LeaderInput::Event(event));
            }
            Err(err) => warn!(self.process.log, "no first map"; "error" => %err),
        }
    }

    fn send(&self, rank: RankId, message: StepMessage) {
        let address = self.place.ranks[usize::from(rank)];
        let envelope = StepEnvelope {
            group: self.place.group.clone(),
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

    fn look_for_later_lead(&self) {
        let (process, group) = (Arc::clone(self.process), self.place.group.clone());
        let inputs = self.inputs.clone();
        let own = self.leader.fencing();
        tokio::spawn(async move {
            let newest = newest_lead(&process.log_client, &group).await;
            if let Ok(later) = newest
                && own < later
            {
                let _ = inputs.send(LeaderInput::Event(LeaderEvent::NewerLeader(later)));
            }
        });
    }
}
