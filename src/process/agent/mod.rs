//! The agent: the only process that sends work and orders to its target.

mod agent_process;
mod control_api;
mod lookup_run;
mod model_run;
mod order_driver;
mod serving_state;
mod steps;
mod target_watch;
mod work_api;
mod work_run;
mod work_table;

pub use agent_process::{AgentListeners, AgentProcess};
