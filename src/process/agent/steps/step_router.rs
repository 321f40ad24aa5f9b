//! Starts the state machines of an agent's rank and routes messages to them.

use std::net::SocketAddr;

use parking_lot::Mutex;
use slog::info;
use tokio::sync::{mpsc, oneshot};

use crate::connection::{ControlClient, MapRequest, PlanReport, StepEnvelope, StepRecipient};
use crate::prelude::*;
use crate::process::step_window::StepMessage;
use crate::version::config::{ConfigVersion, GroupConfig};
use crate::version::expert_map::{ExpertMap, LoadReport, MapId, MapShape, RankId};

use super::super::agent_process::AgentProcess;
use super::candidacy::run_candidacy;
use super::leader_driver::LeaderInput;
use super::rank_driver::{RankInput, drive_rank};

/// The membership of an agent's target in a group.
#[derive(Clone, Debug)]
pub(in crate::process::agent) struct GroupMembership {
    /// The group.
    pub(super) group: GroupName,
    /// The model that the group runs.
    pub(super) model: ModelName,
    /// The rank of this agent's target.
    pub(super) rank: RankId,
    /// The dimensions of the group's maps.
    pub(super) shape: MapShape,
    /// The control address of the agent of each rank.
    pub(super) rank_addresses: Vec<SocketAddr>,
    /// Whether this agent's target checks fencing numbers.
    pub(super) checks_fencing: bool,
}

/// Routes messages to the state machines of an agent. No other lock is taken while one of its
/// locks is held.
#[derive(Debug, Default)]
pub(in crate::process::agent) struct StepRouter {
    rank: Mutex<Option<mpsc::UnboundedSender<RankInput>>>,
    leader: Mutex<Option<mpsc::UnboundedSender<LeaderInput>>>,
}

impl StepRouter {
    /// Routes a message to its receiver and returns the reply to the sender, if there is one.
    pub(in crate::process::agent) async fn route(
        &self,
        envelope: StepEnvelope,
    ) -> Option<StepMessage> {
        match envelope.to {
            StepRecipient::Rank => {
                let rank = self.rank.lock().clone()?;
                let (reply, answer) = oneshot::channel();
                rank.send(RankInput::Message(Box::new(envelope), reply))
                    .ok()?;
                answer.await.ok()?
            }
            StepRecipient::Leader => {
                let leader = self.leader.lock().clone()?;
                let _ = leader.send(LeaderInput::Message(envelope.message));
                None
            }
        }
    }

    /// Returns the contents of a map, if the rank has them.
    pub(in crate::process::agent) async fn find_map(&self, map: MapId) -> Option<Arc<ExpertMap>> {
        let rank = self.rank.lock().clone()?;
        let (reply, answer) = oneshot::channel();
        rank.send(RankInput::FindMap(map, reply)).ok()?;
        answer.await.ok()?
    }

    /// Returns the loads of the rank's experts.
    pub(in crate::process::agent) async fn expert_loads(&self) -> Option<LoadReport> {
        let rank = self.rank.lock().clone()?;
        let (reply, answer) = oneshot::channel();
        rank.send(RankInput::Loads(reply)).ok()?;
        answer.await.ok()?
    }

    /// Returns the moves that the leader would make now, if this agent leads.
    pub(in crate::process::agent) async fn plan(&self) -> Option<PlanReport> {
        let leader = self.leader.lock().clone()?;
        let (reply, answer) = oneshot::channel();
        leader.send(LeaderInput::Plan(reply)).ok()?;
        answer.await.ok()?
    }

    /// Sets or removes the channel to the leader's state machine.
    pub(super) fn set_leader(&self, leader: Option<mpsc::UnboundedSender<LeaderInput>>) {
        *self.leader.lock() = leader;
    }
}

/// Finds the group membership of a target in a configuration version.
fn membership_of(version: &ConfigVersion, target: &TargetName) -> Option<GroupMembership> {
    let content = &version.content;
    let (group, config, rank) = content.groups.iter().find_map(|(group, config)| {
        let rank = config.ranks.iter().position(|rank| rank == target)?;
        Some((group, config, rank))
    })?;
    let rank_addresses = config
        .ranks
        .iter()
        .map(|rank| Some(content.targets.get(rank)?.control_address));
    Some(GroupMembership {
        group: group.clone(),
        model: config.model.clone(),
        rank: rank as RankId,
        shape: shape_of(config),
        rank_addresses: rank_addresses.collect::<Option<_>>()?,
        checks_fencing: content.targets.get(target)?.checks_fencing,
    })
}

fn shape_of(config: &GroupConfig) -> MapShape {
    MapShape {
        ranks: config.ranks.len() as u16,
        experts: config.experts as u16,
        layers: config.layers as u16,
        slots_per_rank: config.slots_per_rank as u16,
    }
}

/// Runs the state machines once a configuration version puts the target into a group.
pub(in crate::process::agent) async fn follow_group(
    process: Arc<AgentProcess>,
    target: TargetName,
) {
    let mut versions = process.versions.subscribe();
    let membership = loop {
        let version = versions.borrow_and_update().clone();
        if let Some(membership) = membership_of(&version, &target) {
            break membership;
        }
        tokio::select! {
            changed = versions.changed() => if changed.is_err() { return },
            () = process.stop.cancelled() => return,
        }
    };
    info!(process.log, "rank joins"; "group" => %membership.group, "rank" => membership.rank);
    let (sender, inputs) = mpsc::unbounded_channel();
    *process.steps.rank.lock() = Some(sender.clone());
    tokio::spawn(run_candidacy(
        Arc::clone(&process),
        membership.clone(),
        sender.clone(),
    ));
    drive_rank(process, membership, (sender, inputs)).await;
}

/// Sends a message to an agent of the group and returns the reply.
pub(super) async fn send_step(
    process: &AgentProcess,
    address: SocketAddr,
    envelope: StepEnvelope,
) -> Result<Option<StepMessage>> {
    let client = process.control.client(address).await?;
    let answer = client.step(envelope).await;
    answer.map_err(|err| Error::Peer(format!("step message to {address}: {err}")))
}

/// Fetches the contents of a map from the agents of a group, one after another.
pub(super) async fn fetch_map(
    process: &AgentProcess,
    membership: &GroupMembership,
    map: MapId,
) -> Option<Arc<ExpertMap>> {
    for &address in &membership.rank_addresses {
        let Ok(client) = process.control.client(address).await else {
            continue;
        };
        let request = MapRequest {
            group: membership.group.clone(),
            map,
        };
        if let Ok(Some(found)) = client.find_map(request).await {
            return Some(found);
        }
    }
    None
}
