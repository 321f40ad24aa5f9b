//! Stand-ins for the systems that comfreyhead meets, for tests and examples only.
//!
//! Each stand-in is a small HTTP server on a loopback address of its own. Its handle shows the
//! address, holds the switches that bring about failures, and stops the server when dropped.

mod cache_event;
mod completion;
mod engine;
mod engine_http;
mod lagged_value;
mod log;
mod rate_limit;
mod server;
mod service;
mod step_runner;
mod vm_list;
mod weight_store;

pub use cache_event::{CacheEvent, CacheEventKind, cache_blocks};
pub use completion::expected_tokens;
pub use engine::{EngineOptions, EngineStandIn, LoadReport};
pub use log::{LogOptions, LogPage, LogRecord, LogStandIn};
pub use service::{RanCall, ServiceOptions, ServiceStandIn};
pub use step_runner::ExpertMapOrder;
pub use vm_list::{VmEntry, VmListOptions, VmListStandIn, VmState};
pub use weight_store::{WeightStoreOptions, WeightStoreStandIn};
