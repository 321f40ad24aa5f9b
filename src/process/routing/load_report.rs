//! What an agent reports of its target's load.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::prelude::*;

use super::service_time::ServiceTime;

/// The load of a target, as its agent reported it; reports lag.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct LoadReport {
    /// The incarnation of the agent.
    #[serde(rename = "i")]
    pub incarnation: ProcessIncarnation,
    /// The number of the report, higher for each later report of an incarnation.
    #[serde(rename = "q")]
    pub sequence: u64,
    /// When it was made, by the agent's clock; a wrong clock costs balance only.
    #[serde(rename = "m")]
    pub made_at: Timestamp,
    /// The requests that the target runs.
    #[serde(rename = "r")]
    pub running: u32,
    /// The requests that wait at the agent or in the target.
    #[serde(rename = "w")]
    pub waiting: u32,
    /// The most requests that the agent runs at a time at present.
    #[serde(rename = "l")]
    pub limit: u32,
    /// The tokens that the target generated in the last second.
    #[serde(rename = "t")]
    pub tokens_per_second: u32,
    /// The mean time of a step (of a call, for a service), in microseconds; 0 when idle.
    #[serde(rename = "u")]
    pub step_time_us: u32,
    /// The mean time that a request holds a slot.
    #[serde(rename = "s")]
    pub service_time: ServiceTime,
}
