//! What agents of a group say to each other about step windows.

use std::net::SocketAddr;

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
    pub to: StepParty,
    /// The message.
    pub message: StepMessage,
}

/// A machine of an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StepParty {
    /// The machine of its rank.
    Rank,
    /// The machine of the leader, where the agent leads.
    Leader,
}

/// A request for the content of a map.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MapRequest {
    /// The group.
    pub group: GroupName,
    /// The map.
    pub map: MapId,
}
