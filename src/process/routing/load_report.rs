//! The load of a target, as its agent reports it.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::prelude::*;

use super::service_time::ServiceTime;

/// The load of a target when its agent made the report; it is out of date on arrival.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct LoadReport {
    /// The incarnation of the agent.
    #[serde(rename = "i")]
    pub incarnation: ProcessIncarnation,
    /// The sequence number, which increases with each report of an incarnation.
    #[serde(rename = "q")]
    pub sequence: u64,
    /// When it was made, by the agent's clock; clock skew only makes the load less balanced.
    #[serde(rename = "m")]
    pub made_at: Timestamp,
    /// The number of requests that the target runs.
    #[serde(rename = "r")]
    pub running: u32,
    /// The number of requests that wait at the agent or in the target.
    #[serde(rename = "w")]
    pub waiting: u32,
    /// The agent's current limit of concurrently running requests.
    #[serde(rename = "l")]
    pub limit: u32,
    /// The tokens that the target generated in the last second.
    #[serde(rename = "t")]
    pub tokens_per_second: u32,
    /// The mean time of a model step or a service call, in microseconds; 0 when idle.
    #[serde(rename = "u")]
    pub step_time_us: u32,
    /// The time that requests hold a slot.
    #[serde(rename = "s")]
    pub service_time: ServiceTime,
}
