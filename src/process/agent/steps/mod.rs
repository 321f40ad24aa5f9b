//! Step windows at an agent: its rank's machine, and the leader's where this agent leads.

mod candidacy;
mod leader_driver;
mod map_loader;
mod placement_round;
mod rank_driver;
mod step_router;

pub(super) use step_router::{StepRouter, follow_group};
