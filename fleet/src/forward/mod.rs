//! Requests and answers between callers and targets.

mod answer_head;
mod call_head;
mod event_parser;
mod header_names;
mod stream_relay;
mod target_call;
mod target_pool;

pub use answer_head::AnswerHead;
pub use call_head::CallHead;
pub use event_parser::{EventParser, StreamEvent};
pub use header_names::{HeaderNames, strip_hop_headers};
pub use stream_relay::{RelayEnd, StreamRelay};
pub use target_call::{BodyPiece, TargetAnswer, TargetCall, call_target};
pub(crate) use target_pool::set_silence_timeout;
pub use target_pool::{PooledSender, TargetPool};
