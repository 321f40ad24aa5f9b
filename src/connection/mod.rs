//! What lives as long as a connection.

mod http_server;
mod reply;
mod work_message;

pub use http_server::serve;
pub use reply::{BodyFailure, ResponseBody, empty_reply, json_reply, read_body, stream_reply};
pub use work_message::{WorkKind, WorkRefusal, WorkRequest};
