//! What a rank of a group reports.

use serde::{Deserialize, Serialize};

/// What a rank of a group reports.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RankReport {
    /// The hash of the group's name.
    pub group: u32,
    /// The number of the group's formation; a new one forgets all maps and orders.
    pub epoch: u64,
    /// The rank.
    pub rank: u16,
    /// The number of ranks.
    pub size: u16,
    /// Whether the group runs.
    pub open: bool,
    /// The last pass that was begun.
    pub step: u64,
    /// The orders that have begun something since the rank's start.
    pub seq: u64,
    /// The version of the map in use.
    pub version: u64,
    /// The version that is copied and may be armed.
    pub prepared: Option<PreparedMap>,
    /// The version that is armed.
    pub armed: Option<ArmedMap>,
    /// The pass that the group does not begin until it is released.
    pub held: Option<u64>,
    /// How many times as long as usual the rank takes; over 1 where it is slow.
    pub pace: f32,
    /// The requests that run on the rank.
    pub active: u32,
}

/// A map that a rank has copied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PreparedMap {
    /// The version.
    pub version: u64,
    /// The digest of the experts that this rank holds in it; `None` where it was not asked for.
    pub digest: Option<u64>,
}

/// A map that a rank switches to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ArmedMap {
    /// The version.
    pub version: u64,
    /// The pass at whose start the rank switches.
    pub step: u64,
}
