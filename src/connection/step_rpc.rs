//! Messages between the agents of a group about step windows and expert maps.

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
    /// The address where the sender accepts control messages.
    pub control: SocketAddr,
    /// Which state machine of the receiving agent handles the message.
    pub to: StepRecipient,
    /// The message.
    pub message: StepMessage,
}

/// A state machine of an agent that receives step messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StepRecipient {
    /// The agent's rank.
    Rank,
    /// The group leader, if the agent is leading.
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

/// A request for the content of an expert map.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MapRequest {
    /// The group.
    pub group: GroupName,
    /// The id of the map.
    pub map: MapId,
}
