//! State reports of the ranks of a group.

use serde::{Deserialize, Serialize};

/// The state of a rank of a group.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RankReport {
    /// The hash of the group's name.
    pub group: u32,
    /// The epoch of the group. Each formation of the group starts a new epoch, which discards all
    /// maps and orders.
    pub epoch: u64,
    /// The rank.
    pub rank: u16,
    /// The number of ranks.
    pub size: u16,
    /// Whether the group is formed and runs passes.
    pub open: bool,
    /// The last pass that was begun.
    pub step: u64,
    /// The number of orders since the rank's start that changed its state.
    pub seq: u64,
    /// The version of the map in use.
    pub version: u64,
    /// The map that is copied and may be armed.
    pub prepared: Option<PreparedMap>,
    /// The map that is armed.
    pub armed: Option<ArmedMap>,
    /// The pass that the group doesn't begin until it is released.
    pub held: Option<u64>,
    /// The pass time of the rank relative to normal; above 1 if the rank is slow.
    pub pace: f32,
    /// The number of requests running on the rank.
    pub active: u32,
}

/// A map that a rank has copied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PreparedMap {
    /// The version.
    pub version: u64,
    /// The digest of the experts that this rank holds in the map; `None` if it was not queried.
    pub digest: Option<u64>,
}

/// A map that a rank switches to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ArmedMap {
    /// The version.
    pub version: u64,
    /// The pass at the start of which the rank switches.
    pub step: u64,
}
