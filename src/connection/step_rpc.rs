//! What agents of a group say to each other about step windows.

use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::process::step_window::StepMessage;
use crate::version::expert_map::MapId;

/// A message between the leader and a rank of a group, or between two ranks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StepEnvelope {
    /// The group.
    pub group: GroupName,
    /// Where the sender takes control messages.
    pub control: SocketAddr,
    /// Which machine of the receiver it is for.
    pub to: StepRecipient,
    /// The message.
    pub message: StepMessage,
}

/// A machine of an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StepRecipient {
    /// The machine of its rank.
    Rank,
    /// The machine of the leader, where the agent leads.
    Leader,
}

/// What a leader would move in its group, and why.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct PlanReport {
    /// The group.
    pub group: GroupName,
    /// The number of the planned map, or of the present one where nothing is moved.
    pub map: u64,
    /// The step-time skew of the present map: the slowest rank's time by the mean.
    pub skew_before: f64,
    /// The step-time skew of the planned map.
    pub skew_after: f64,
    /// The bytes to load from the weight store.
    pub bytes: u64,
    /// Why the plan is as it is.
    pub reason: String,
    /// The loads of experts onto ranks.
    pub moves: Vec<String>,
}

/// A request for the content of a map.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MapRequest {
    /// The group.
    pub group: GroupName,
    /// The map.
    pub map: MapId,
}
