//! Connections: HTTP serving, control messages, and the messages of the data path.

mod bearer_token;
mod caller_error;
mod control_pool;
mod control_rpc;
mod control_server;
mod guarded_body;
mod http_server;
mod owed_responses;
mod reply;
mod shared_stream;
mod step_rpc;
mod work_message;

pub use bearer_token::{bearer_token, token_digest};
pub use caller_error::{CallerError, OUTCOME_HEADER, outcome_value};
pub use control_pool::{ControlPool, MAX_CONTROL_BYTES};
pub use control_rpc::{
    AgentReadiness, AgentReport, ControlClient, ControlServer, ListedState, PeerHello, ReportPoll,
    VersionNotice, VersionPull,
};
pub use control_server::serve_control;
pub use guarded_body::GuardedBody;
pub use http_server::{bind, serve};
pub use owed_responses::OwedResponse;
pub use reply::{BodyError, ResponseBody, empty_reply, json_reply, read_body, stream_reply};
pub use shared_stream::{SharedStream, StreamInput};
pub use step_rpc::{MapRequest, PlanReport, StepEnvelope, StepRecipient};
pub use work_message::{
    CANCEL_PATH, FinalLoad, LossReason, ORDER_PATH, OrderDispatch, RESUME_PATH, ResumeFailure,
    SEQUENCE_HEADER, WITHDRAW_PATH, WORK_PATH, WorkKind, WorkLine, WorkRefusal, WorkRequest,
    WorkResume,
};
