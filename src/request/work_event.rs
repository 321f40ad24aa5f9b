//! The numbered events of a streamed answer.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::answer_digest::AnswerDigest;

/// One event of an answer, sent by an agent to an entry VM and forwarded to the caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct WorkEvent {
    /// The attempt that produced the event.
    pub attempt: u32,
    /// The position in the answer, from 0; for the last event, the number of payloads.
    pub index: u64,
    /// The content of the event.
    pub body: EventBody,
}

/// The content of an event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum EventBody {
    /// A chunk of the answer.
    Payload(String),
    /// The answer is complete.
    End(AnswerEnd),
    /// The target rejected or failed the request; no event follows.
    Failed(TargetFailure),
}

/// The totals that end a complete answer, which the receiver checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct AnswerEnd {
    /// The number of payloads in the answer.
    pub count: u64,
    /// The digest of all payloads in order.
    pub digest: AnswerDigest,
}

/// The error response of a target that rejected or failed a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct TargetFailure {
    /// The HTTP status from the target.
    pub status: u16,
    /// The error message from the target.
    pub message: String,
}
