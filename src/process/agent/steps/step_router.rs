//! Starts the machines of an agent's rank and passes messages to them.

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
use super::candidacy::stand_for_leader;
use super::leader_driver::LeaderInput;
use super::rank_driver::{RankInput, drive_rank};

/// The group of an agent's target and the agents of its ranks.
#[derive(Clone, Debug)]
pub(in crate::process::agent) struct GroupPlace {
    /// The group.
    pub(super) group: GroupName,
    /// The model that it runs.
    pub(super) model: ModelName,
    /// The own rank.
    pub(super) rank: RankId,
    /// The size of its maps.
    pub(super) shape: MapShape,
    /// Where the agent of each rank takes control messages.
    pub(super) ranks: Vec<SocketAddr>,
    /// Whether the own target checks fencing numbers.
    pub(super) checks_fencing: bool,
}

/// Passes messages to the machines of an agent. Its locks are leaves of the lock order.
#[derive(Debug, Default)]
pub(in crate::process::agent) struct StepRouter {
    rank: Mutex<Option<mpsc::UnboundedSender<RankInput>>>,
    leader: Mutex<Option<mpsc::UnboundedSender<LeaderInput>>>,
}

impl StepRouter {
    /// Passes a message on; returns the answer to the sender, if there is one.
    pub(in crate::process::agent) async fn pass(
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

    /// Returns the content of a map that the rank has.
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

    /// Returns what the leader would move, where this agent leads.
    pub(in crate::process::agent) async fn plan(&self) -> Option<PlanReport> {
        let leader = self.leader.lock().clone()?;
        let (reply, answer) = oneshot::channel();
        leader.send(LeaderInput::Plan(reply)).ok()?;
        answer.await.ok()?
    }

    /// Sets the machine of the leader, or removes it.
    pub(super) fn set_leader(&self, leader: Option<mpsc::UnboundedSender<LeaderInput>>) {
        *self.leader.lock() = leader;
    }
}

/// Finds the place of a target in a group of a version.
fn place_of(version: &ConfigVersion, target: &TargetName) -> Option<GroupPlace> {
    let content = &version.content;
    let (group, config, rank) = content.groups.iter().find_map(|(group, config)| {
        let rank = config.ranks.iter().position(|rank| rank == target)?;
        Some((group, config, rank))
    })?;
    let ranks = config
        .ranks
        .iter()
        .map(|rank| Some(content.targets.get(rank)?.control_address));
    Some(GroupPlace {
        group: group.clone(),
        model: config.model.clone(),
        rank: rank as RankId,
        shape: shape_of(config),
        ranks: ranks.collect::<Option<_>>()?,
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

/// Starts the machines once a version puts the target into a group.
pub(in crate::process::agent) async fn follow_group(
    process: Arc<AgentProcess>,
    target: TargetName,
) {
    let mut versions = process.versions.subscribe();
    let place = loop {
        let version = versions.borrow_and_update().clone();
        if let Some(place) = place_of(&version, &target) {
            break place;
        }
        tokio::select! {
            changed = versions.changed() => if changed.is_err() { return },
            () = process.stop.cancelled() => return,
        }
    };
    info!(process.log, "rank joins"; "group" => %place.group, "rank" => place.rank);
    let (sender, inputs) = mpsc::unbounded_channel();
    *process.steps.rank.lock() = Some(sender.clone());
    tokio::spawn(stand_for_leader(
        Arc::clone(&process),
        place.clone(),
        sender.clone(),
    ));
    drive_rank(process, place, (sender, inputs)).await;
}

/// Sends a message to an agent of the group; returns its answer.
pub(super) async fn send_step(
    process: &AgentProcess,
    address: SocketAddr,
    envelope: StepEnvelope,
) -> Result<Option<StepMessage>> {
    let client = process.control.client(address).await?;
    let answer = client.step(envelope).await;
    answer.map_err(|err| Error::Peer(format!("step message to {address}: {err}")))
}

/// Asks the agents of a group for the content of a map.
pub(super) async fn ask_for_map(
    process: &AgentProcess,
    place: &GroupPlace,
    map: MapId,
) -> Option<Arc<ExpertMap>> {
    for &address in &place.ranks {
        let Ok(client) = process.control.client(address).await else {
            continue;
        };
        let request = MapRequest {
            group: place.group.clone(),
            map,
        };
        if let Ok(Some(found)) = client.find_map(request).await {
            return Some(found);
        }
    }
    None
}
