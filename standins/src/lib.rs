//! Stand-ins for the external systems that comfreyhead talks to, for tests and examples only.
//!
//! Each stand-in is a small HTTP server that listens on its own loopback address. Its handle
//! returns the address, injects faults, and stops the server when dropped.

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
