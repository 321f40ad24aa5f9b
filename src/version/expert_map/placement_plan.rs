//! A planned expert map.

use derive_more::Display;

use super::expert_move::ExpertMove;
use super::map::ExpertMap;

/// A planned expert map; its display form is logged with the decision.
#[derive(Clone, Debug, Display)]
#[display(
    "map={} skew_before={skew_before:.4} skew_after={skew_after:.4} moves={} bytes={bytes} \
     reason={reason}",
    map.number(),
    moves.len()
)]
pub struct PlacementPlan {
    /// The planned map, or the current one if nothing is moved.
    pub map: ExpertMap,
    /// The experts that the ranks must load for the map.
    pub moves: Vec<ExpertMove>,
    /// The step-time skew of the current map under the given loads.
    pub skew_before: f64,
    /// The step-time skew of the planned map under the given loads.
    pub skew_after: f64,
    /// The bytes to load from the weight store.
    pub bytes: u64,
    /// The reason for the plan.
    pub reason: PlanReason,
}

/// The reason for a plan.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum PlanReason {
    /// The search found no move that lowers the skew.
    #[display("balanced")]
    Balanced,
    /// Moves would lower the skew, but gain less over the horizon than they cost.
    #[display("gain-below-cost")]
    GainBelowCost,
    /// The plan has all moves whose gain over the horizon covers their cost.
    #[display("gain-pays")]
    GainPays,
    /// More moves would pay off than a round allows.
    #[display("moves-bounded")]
    MovesBounded,
}

impl PlacementPlan {
    /// Returns whether the plan changes the map.
    pub fn changes_map(&self) -> bool {
        !self.moves.is_empty()
    }
}
