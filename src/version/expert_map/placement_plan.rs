//! A planned expert map.

use derive_more::Display;

use super::expert_move::ExpertMove;
use super::map::ExpertMap;

/// A planned expert map; its display is the log line of the decision.
#[derive(Clone, Debug, Display)]
#[display(
    "map={} skew_before={skew_before:.4} skew_after={skew_after:.4} moves={} bytes={bytes} \
     reason={reason}",
    map.number(),
    moves.len()
)]
pub struct PlacementPlan {
    /// The planned map; the current one where nothing is moved.
    pub map: ExpertMap,
    /// The loads that the map needs.
    pub moves: Vec<ExpertMove>,
    /// The step-time skew of the current map under the given loads.
    pub skew_before: f64,
    /// The step-time skew of the planned map under the given loads.
    pub skew_after: f64,
    /// The bytes to load from the weight store.
    pub bytes: u64,
    /// Why the plan is as it is.
    pub reason: PlanReason,
}

/// Why a plan is as it is.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum PlanReason {
    /// No known move lowers the skew.
    #[display("balanced")]
    Balanced,
    /// Moves lower the skew, but by less than they cost over the horizon.
    #[display("gain-below-cost")]
    GainBelowCost,
    /// All moves that pay over the horizon are in the plan.
    #[display("gain-pays")]
    GainPays,
    /// More moves would pay than a round may make.
    #[display("moves-bounded")]
    MovesBounded,
}

impl PlacementPlan {
    /// Returns whether the plan changes the map.
    pub fn changes_map(&self) -> bool {
        !self.moves.is_empty()
    }
}
