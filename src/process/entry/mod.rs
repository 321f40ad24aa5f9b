//! The entry VM: serves callers and operators, and routes requests to targets.

mod agent_watch;
mod answer_resume;
mod caller_api;
mod config_submit;
mod control_api;
mod decision_journal;
mod dispatch;
mod entry_process;
mod known_agents;
mod known_peers;
mod model_api;
mod operations;
mod order_driver;
mod order_review;
mod peer_watch;
mod request_run;
mod service_api;
mod version_index;
mod whole_answer;

pub use entry_process::{EntryListeners, EntryProcess};
