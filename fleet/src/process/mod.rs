//! The entry and agent processes: their tasks, and the state that the tasks share.

mod agent_run;
mod call_stop;
mod call_suspects;
mod caller_body;
mod caller_server;
mod connection_activity;
mod drain;
mod end_check;
mod entry_run;
mod entry_state;
mod keeper_link;
mod leader_table;
mod leader_task;
mod leave_watch;
mod limit_permits;
mod logger;
mod metrics;
mod open_dispatches;
mod order_sender;
mod peer_pull;
mod peer_tasks;
mod permit_table;
mod plain_run;
mod rank_link;
mod ready_server;
mod record_decoders;
mod replica_tables;
mod request_body;
mod request_run;
mod running_guard;
mod start_guard;
mod store_access;
mod store_replica;
mod store_status;
mod store_tasks;
mod stream_run;
mod stream_source;
mod suspect_keeper;
mod topic_copy;
mod unread_config;

pub use agent_run::{AgentConfig, run_agent};
pub use caller_body::{CallerBody, StreamPart};
pub use caller_server::serve_callers;
pub use drain::DrainState;
pub use entry_run::{EntryConfig, run_entry};
pub use entry_state::{EntryState, ProcessBounds};
pub use logger::root_logger;
pub use metrics::EntryMetrics;
pub use permit_table::{PermitAnswer, PermitSource, PermitTable};
pub use ready_server::{serve_metrics, serve_ready};
pub use record_decoders::Decoders;
pub use store_access::{
    CallError, StoreAnswer, StoreReply, StoreRequest, TargetReply, TargetRequest,
};
pub use store_replica::StoreReplica;
