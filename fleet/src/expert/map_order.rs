//! Orders that change the map of a rank.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// The experts of a map, by layer set and rank.
pub type ExpertMapping = Arc<Vec<Vec<Vec<u16>>>>;

/// An order to a rank, valid only in one epoch of its group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MapOrder {
    /// The epoch of the group. Each formation of the group starts a new one.
    pub epoch: u64,
    /// The rank's sequence number (`RankReport::seq`) that the order requires. The rank refuses the
    /// order if it has begun another one since. `None` makes the order unconditional.
    pub expected: Option<u64>,
    /// The operation.
    pub kind: OrderKind,
}

/// An operation on the map or the passes of a rank.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum OrderKind {
    /// Copy the experts of the map with this version.
    Prepare(u64, ExpertMapping),
    /// Switch to a version at the start of a pass.
    Arm(u64, u64),
    /// Hold a pass: don't begin it until it is released.
    Hold(u64),
    /// Release a held pass.
    Release(u64),
}

impl OrderKind {
    /// Returns the label for logs and metrics.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Prepare(..) => "prepare",
            Self::Arm(..) => "arm",
            Self::Hold(_) => "hold",
            Self::Release(_) => "release",
        }
    }
}

/// Returns the digest of the experts that one rank holds, by layer set. The order of experts within
/// a set does not affect it.
pub fn mapping_digest<'a>(sets: impl Iterator<Item = &'a [u16]>) -> u64 {
    let mut bytes = Vec::new();
    for experts in sets {
        let mut experts = experts.to_vec();
        experts.sort_unstable();
        bytes.extend((experts.len() as u16).to_le_bytes());
        bytes.extend(experts.iter().flat_map(|expert| expert.to_le_bytes()));
    }
    xxhash_rust::xxh3::xxh3_64(&bytes)
}
