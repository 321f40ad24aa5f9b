//! The loading of an expert onto a rank.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::map_shape::{ExpertId, RankId};

/// The loading of an expert onto a rank.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("layer {layer} expert {expert} -> rank {rank}")]
pub struct ExpertMove {
    /// The rank that loads the expert.
    pub rank: RankId,
    /// The layer of the expert.
    pub layer: u16,
    /// The expert.
    pub expert: ExpertId,
}
