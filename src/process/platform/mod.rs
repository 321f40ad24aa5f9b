//! Adapters for the platform and the targets: one thin module for each outside interface.

mod config_log;
mod http_client;
mod log_service;
mod model_engine;
mod plain_service;
mod vm_list;
mod weight_store;

pub use config_log::{CONFIG_STREAM, ConfigLog};
pub use http_client::{HttpClient, HttpFailure, json_request};
pub use log_service::{AppendFailure, LogClient, LogPage, LogRecord};
pub use model_engine::{
    CacheEvent, CachePage, EngineCall, EngineClient, EngineEvent, EngineExpertLoads, EngineLoad,
    EngineMap, EngineSteps,
};
pub use plain_service::{CallFailure, ServiceCall, ServiceClient};
pub use vm_list::{ListedVm, VmList, VmListClient, VmState};
pub use weight_store::{WeightClient, WeightFailure};

/// Makes a header value of `text`.
///
/// # Errors
/// `Decode` when the text has characters that a header cannot carry.
fn header_value(text: &str) -> Result<http::HeaderValue, HttpFailure> {
    http::HeaderValue::from_str(text).map_err(http_client::bad_request)
}
