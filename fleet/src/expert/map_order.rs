//! The orders by which ranks change their map.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// The experts of a map, by set and rank.
pub type ExpertMapping = Arc<Vec<Vec<Vec<u16>>>>;

/// An order to a rank, valid in one formation of its group only.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MapOrder {
    /// The formation of the group.
    pub epoch: u64,
    /// The orders that the rank has begun, where the order is to be refused once it has begun
    /// another; `None` where it holds whatever came between.
    pub expected: Option<u64>,
    /// What is ordered.
    pub kind: OrderKind,
}

/// What is ordered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum OrderKind {
    /// Copy the experts of a map of a version.
    Prepare(u64, ExpertMapping),
    /// Switch to a version as a pass begins.
    Arm(u64, u64),
    /// Do not begin a pass.
    Hold(u64),
    /// Let a held pass begin.
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

/// Returns the digest of the experts that one rank holds, set by set, in any order.
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
