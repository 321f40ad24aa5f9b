//! What an entry VM and an agent say to each other on the data path.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::prelude::*;
use crate::process::orders::{AttemptId, BodyDigest, KeyHistory, OrderKey};
use crate::process::routing::{CancelAnswer, LoadReport, RefusalReason, WorkOffer};
use crate::request::{ResumePoint, WorkEvent, WorkId};

/// The path on which an agent takes work.
pub const WORK_PATH: &str = "/work";
/// The path on which an agent resumes an answer.
pub const RESUME_PATH: &str = "/work/resume";
/// The path on which an agent cancels work.
pub const CANCEL_PATH: &str = "/work/cancel";
/// The path on which an agent takes orders.
pub const ORDER_PATH: &str = "/orders";
/// The header that carries the number of the agent's last load report.
pub const SEQUENCE_HEADER: &str = "x-report-sequence";

/// Work that an entry VM gives to an agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkRequest {
    /// What the agent decides on.
    pub offer: WorkOffer,
    /// What the target is to do.
    pub kind: WorkKind,
    /// From where the answer goes on, after another target was lost.
    pub from: ResumePoint,
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

/// A request for the events of an answer from a point on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkResume {
    /// The attempt.
    pub work: WorkId,
    /// The incarnation of the agent that has the answer.
    pub incarnation: ProcessIncarnation,
    /// The client account whose answer it is.
    pub account: AccountName,
    /// From where.
    pub from: ResumePoint,
}

/// Why an agent did not start the work. It never will.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkRefusal {
    /// Why.
    pub reason: RefusalReason,
    /// When to come back, in milliseconds.
    pub retry_after_ms: u64,
    /// The incarnation of the agent that answers.
    pub incarnation: ProcessIncarnation,
}

/// Why an agent has no events for a resume.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResumeFailure {
    /// What became of the work.
    pub answer: CancelAnswer,
}

/// One line of an agent's streamed answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WorkLine {
    /// An event of the answer.
    Event(WorkEvent),
    /// The load of the target, just before the last event.
    Load(FinalLoad),
    /// The target or its answer is lost; nothing follows.
    Lost(LossReason),
}

/// The load of a target as an answer ends.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct FinalLoad {
    /// A report made for this answer.
    pub report: LoadReport,
    /// The number of the last report that counts the answer's work as running.
    pub sequence: u64,
}

/// Why an answer cannot go on at this agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "kebab-case")]
pub enum LossReason {
    /// The target crashed.
    #[display("crashed")]
    Crashed,
    /// The target broke off its answer.
    #[display("broken-off")]
    BrokenOff,
    /// The work was cancelled.
    #[display("cancelled")]
    Cancelled,
    /// The answer of this target differs from what another began.
    #[display("diverged")]
    Diverged,
}

impl WorkLine {
    /// Encodes the line with its line end.
    pub fn encode(&self) -> Bytes {
        let mut bytes = serde_json::to_vec(self).unwrap_or_default();
        bytes.push(b'\n');
        Bytes::from(bytes)
    }
}

/// An order that an entry VM gives to an agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OrderDispatch {
    /// The key.
    pub key: OrderKey,
    /// The attempt, sent to one agent only.
    pub attempt: AttemptId,
    /// The digest of the call and its body.
    pub digest: BodyDigest,
    /// The service.
    pub service: ServiceName,
    /// The call of the service.
    pub call: Arc<str>,
    /// The time left until the caller's deadline, in milliseconds.
    pub remaining_ms: u64,
    /// Whether the caller marked the first use of the key.
    pub key_history: KeyHistory,
    /// The body that the service gets.
    pub body: Value,
}
