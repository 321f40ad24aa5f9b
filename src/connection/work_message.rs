//! What an entry VM and an agent say to each other on the data path.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::prelude::*;

/// Work that an entry VM gives to an agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkRequest {
    /// The id of the request.
    pub request: RequestId,
    /// The incarnation that the message is meant for; `None` before the first contact.
    pub incarnation: Option<ProcessIncarnation>,
    /// The time left until the caller's deadline, in milliseconds.
    pub remaining_ms: u64,
    /// The lane.
    pub lane: WorkLane,
    /// The client account.
    pub account: AccountName,
    /// What is to be done.
    pub kind: WorkKind,
    /// The body that the target gets.
    pub body: Value,
}

/// What a target is to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WorkKind {
    /// A model request on this path of the engine's API.
    Model(Arc<str>),
    /// An idempotent call of a plain service.
    Lookup(Arc<str>),
}

/// Why an agent did not do the work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkRefusal {
    /// What is known of the work: `NotRun` only when it never started and never will.
    pub outcome: RequestOutcome,
    /// Why, for people.
    pub reason: String,
    /// The incarnation of the agent that answers.
    pub incarnation: ProcessIncarnation,
    /// When to come back, in milliseconds.
    pub retry_after_ms: Option<u64>,
}
