//! The state of a single request: its ids, its attempts, its answer and its outcome.

mod answer_assembler;
mod answer_buffer;
mod answer_digest;
pub mod outcome;
pub mod request_id;
mod request_tracker;
mod tracker_event;
mod work_event;
pub mod work_id;
pub mod work_lane;

pub use answer_assembler::{AnswerAssembler, AssemblyError, AssemblyStep};
pub use answer_buffer::{AnswerBuffer, ResumeRefusal};
pub use answer_digest::{AnswerDigest, ResumePoint};
pub use request_tracker::{RequestTracker, ResumedRequest, TrackerActions};
pub use tracker_event::{EndReason, RequestEnd, TrackerAction, TrackerEvent};
pub use work_event::{AnswerEnd, EventBody, TargetFailure, WorkEvent};
pub use work_id::WorkId;
