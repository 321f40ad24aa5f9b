//! The numbered events of an answer.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::answer_digest::AnswerDigest;

/// One event of an answer, from an agent to an entry VM and on to the caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct WorkEvent {
    /// The attempt that made it.
    pub attempt: u32,
    /// Its place in the answer, from 0; the last event's is the count of payloads.
    pub index: u64,
    /// What it says.
    pub body: EventBody,
}

/// What an event says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum EventBody {
    /// A part of the answer.
    Payload(String),
    /// The end of a whole answer.
    End(AnswerEnd),
    /// The target said no; nothing follows.
    Failed(TargetFailure),
}

/// The end of a whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct AnswerEnd {
    /// The payloads of the whole answer.
    pub count: u64,
    /// The digest of all payloads.
    pub digest: AnswerDigest,
}

/// What a target said that refused or failed a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct TargetFailure {
    /// The target's HTTP status.
    pub status: u16,
    /// The target's words.
    pub message: String,
}
