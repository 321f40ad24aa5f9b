//! What lives as long as a connection.

mod bearer_token;
mod caller_error;
mod control_pool;
mod http_server;
mod reply;
mod work_message;

pub use bearer_token::{bearer_token, token_digest};
pub use caller_error::{CallerError, OUTCOME_HEADER, outcome_value};
pub use control_pool::{ControlPool, MAX_CONTROL_BYTES};
pub use http_server::serve;
pub use reply::{BodyFailure, ResponseBody, empty_reply, json_reply, read_body, stream_reply};
pub use work_message::{WorkKind, WorkRefusal, WorkRequest};
