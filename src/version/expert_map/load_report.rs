//! Reports of the load of the experts on a rank.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

use super::map_shape::{ExpertId, RankId};

/// The load of a rank's experts over an interval; reports may be late, duplicated or lost.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The rank that reports.
    pub rank: RankId,
    /// The end of the interval; a report that ends no later than one already received is stale.
    pub until: Timestamp,
    /// The length of the interval, in milliseconds.
    pub interval_ms: u32,
    /// The time that the rank spent computing its experts, in milliseconds.
    pub busy_ms: u32,
    /// The load of each expert replica on the rank.
    pub samples: Vec<LoadSample>,
}

/// The load of one replica of an expert.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadSample {
    /// The layer of the expert.
    pub layer: u16,
    /// The expert.
    pub expert: ExpertId,
    /// The replicas of the expert in the map that was in use, this one included.
    pub replicas: u16,
    /// The tokens that this replica processed.
    pub tokens: u32,
}
