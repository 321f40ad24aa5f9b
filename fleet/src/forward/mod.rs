//! Forwarding of requests to targets and of responses to callers.

mod byte_budget;
mod event_parser;
mod head_meter;
mod header_names;
mod prompt_parts;
mod request_head;
mod response_head;
mod stream_relay;
mod target_call;
mod target_check;
mod target_pool;

pub use byte_budget::{
    BodyBuffer, ByteBudget, ByteLease, CutScope, ReadCut, ReadError, SMALL_READ,
};
pub use comfreyhead::connection::{SharedStream, StreamInput};
pub use event_parser::{EventParser, StreamEvent};
pub use head_meter::{BoundedClient, HeadMeter, MeteredStream, bounded_handshake};
pub use header_names::{HeaderNames, strip_hop_headers};
pub use prompt_parts::PromptParts;
pub use request_head::RequestHead;
pub use response_head::ResponseHead;
pub use stream_relay::{RelayEnd, RelayStart, StreamRelay};
pub use target_call::{BodyChunk, CallFailure, TargetCall, TargetResponse, call_target};
pub use target_check::TargetCheck;
pub use target_pool::{PooledConnection, TargetPool};
