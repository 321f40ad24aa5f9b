//! Step windows at an agent: the state machine of its rank, and that of the leader if this
//! agent leads.

mod candidacy;
mod leader_driver;
mod map_loader;
mod placement_planner;
mod rank_driver;
mod step_router;

pub(super) use step_router::{StepRouter, follow_group};
