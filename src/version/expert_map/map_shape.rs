//! The dimensions of an expert map.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// The index of a rank in its group.
pub type RankId = u16;

/// The index of an expert in its layer.
pub type ExpertId = u16;

/// The dimensions of an expert map.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MapShape {
    /// The number of ranks in the group.
    pub ranks: u16,
    /// The number of experts in a layer.
    pub experts: u16,
    /// The number of mixture-of-experts layers.
    pub layers: u16,
    /// The number of experts, replicas included, that a rank can hold in one layer.
    pub slots_per_rank: u16,
}

impl MapShape {
    /// The maximum number of ranks in a group: several times the largest published group, of 72.
    pub const MAX_RANKS: u16 = 512;
    /// The maximum number of experts in a layer: several times the largest published layer, of 256.
    pub const MAX_EXPERTS: u16 = 1_024;
    /// The maximum number of mixture-of-experts layers.
    pub const MAX_LAYERS: u16 = 60;

    /// Returns an error if a dimension is out of bounds or the experts do not fit into the slots.
    pub fn validate(self) -> Result<()> {
        let within = (1..=Self::MAX_RANKS).contains(&self.ranks)
            && (1..=Self::MAX_EXPERTS).contains(&self.experts)
            && (1..=Self::MAX_LAYERS).contains(&self.layers)
            && (1..=self.experts).contains(&self.slots_per_rank);
        if !within {
            return Err(Error::Invalid(format!(
                "expert map out of bounds: {self:?}"
            )));
        }
        if self.slots_per_layer() < usize::from(self.experts) {
            let reason = format!("{} experts do not fit into {self:?}", self.experts);
            return Err(Error::Invalid(reason));
        }
        Ok(())
    }

    /// Returns the number of slots in one layer, over all ranks.
    pub fn slots_per_layer(self) -> usize {
        usize::from(self.ranks) * usize::from(self.slots_per_rank)
    }

    /// Returns the number of slots on one rank, over all layers.
    pub fn slots_of_rank(self) -> usize {
        usize::from(self.layers) * usize::from(self.slots_per_rank)
    }
}
