//! Expert maps: the assignment of experts to ranks, and the planning of the next map.

mod expert_loads;
mod expert_move;
mod expert_placement;
mod layer_search;
mod load_report;
mod map;
mod map_number;
mod map_shape;
mod placement_plan;
mod plan;
mod popularity_table;

pub use expert_loads::ExpertLoads;
pub use expert_move::ExpertMove;
pub use expert_placement::place_experts;
pub use load_report::{LoadReport, LoadSample};
pub use map::ExpertMap;
pub use map_number::{MapId, MapNumber};
pub use map_shape::{ExpertId, MapShape, RankId};
pub use placement_plan::{PlacementPlan, PlanReason};
pub use plan::{PlanInput, REFERENCE_HORIZON_S, plan};
pub use popularity_table::PopularityTable;
