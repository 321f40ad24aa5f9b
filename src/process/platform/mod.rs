//! Clients of the platform services and of the targets, one module per external interface.

mod config_log;
mod event_limit;
mod http_client;
mod log_service;
mod model_engine;
mod plain_service;
mod vm_list;
mod weight_store;

pub use config_log::{CONFIG_STREAM, ConfigLog};
pub use http_client::{AnswerLimit, HttpClient, HttpFailure, json_request};
pub use log_service::{AppendFailure, LogClient, LogPage, LogRecord};
pub use model_engine::{
    CacheEvent, CachePage, EngineCall, EngineClient, EngineEvent, EngineExpertLoads, EngineLoad,
    EngineMap, EngineSteps,
};
pub use plain_service::{CallFailure, ServiceCall, ServiceClient};
pub use vm_list::{ListedVm, VmList, VmListClient, VmState};
pub use weight_store::{WeightClient, WeightFailure};

/// Converts `text` into a header value.
///
/// # Errors
/// `Decode` if `text` contains characters that are not allowed in a header value.
fn header_value(text: &str) -> Result<http::HeaderValue, HttpFailure> {
    http::HeaderValue::from_str(text).map_err(http_client::bad_request)
}
