//! Expert maps: reports of the ranks, planning of the next map, and the switch of all ranks to it.
//!
//! A pass is one forward pass of a group, which all its ranks run together.

mod count_window;
mod map_order;
mod map_planner;
mod pass_clock;
mod pass_keeper;
mod rank_report;
mod switch_leader;

pub use count_window::{CountWindow, is_counted};
pub use map_order::{ExpertMapping, MapOrder, OrderKind, mapping_digest};
pub use map_planner::{MapPlanner, PlannedMap, PlannerInput};
pub use pass_clock::PassClock;
pub use pass_keeper::{KeeperVerdict, PassKeeper, PassQuery};
pub use rank_report::{ArmedMap, PreparedMap, RankReport};
pub use switch_leader::{LeaderAction, LeaderActions, RankView, SwitchLeader, SwitchPhase};
