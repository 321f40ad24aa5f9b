//! Messages between an entry VM and an agent on the data path.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::prelude::*;
use crate::process::orders::{AttemptId, BodyDigest, KeyHistory, OrderKey};
use crate::process::routing::{CancelAnswer, LoadReport, RefusalReason, WorkOffer};
use crate::request::{ResumePoint, WorkEvent, WorkId};

/// The path on which an agent accepts work.
pub const WORK_PATH: &str = "/work";
/// The path on which an agent resumes an answer.
pub const RESUME_PATH: &str = "/work/resume";
/// The path on which an agent cancels work.
pub const CANCEL_PATH: &str = "/work/cancel";
/// The path on which an agent cancels work that has not started.
pub const WITHDRAW_PATH: &str = "/work/withdraw";
/// The path on which an agent accepts orders.
pub const ORDER_PATH: &str = "/orders";
/// The header that carries the sequence number of the agent's last load report.
pub const SEQUENCE_HEADER: &str = "x-report-sequence";

/// Work that an entry VM dispatches to an agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkRequest {
    /// The offer that the agent admits or refuses.
    pub offer: WorkOffer,
    /// The operation that the target runs.
    pub kind: WorkKind,
    /// The point from which the answer continues; not the start if another target was lost.
    pub from: ResumePoint,
    /// The request body for the target.
    pub body: Value,
}

/// The operation that a target runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WorkKind {
    /// A model request, with its path in the engine's API.
    Model(Arc<str>),
    /// An idempotent call of a service, with the name of the call.
    Lookup(Arc<str>),
}

/// A request for the events of an answer from a point on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkResume {
    /// The attempt.
    pub work: WorkId,
    /// The incarnation of the agent that has the answer.
    pub incarnation: ProcessIncarnation,
    /// The client account that owns the answer.
    pub account: AccountName,
    /// The point to resume from.
    pub from: ResumePoint,
}

/// A refusal by an agent that has not started the work and never will.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkRefusal {
    /// The reason for the refusal.
    pub reason: RefusalReason,
    /// The delay before a retry, in milliseconds.
    pub retry_after_ms: u64,
    /// The incarnation of the refusing agent.
    pub incarnation: ProcessIncarnation,
}

/// The response of an agent that has no events to resume.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResumeFailure {
    /// The state of the work at the agent.
    pub answer: CancelAnswer,
}

/// One line of an agent's streamed answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WorkLine {
    /// An event of the answer.
    Event(WorkEvent),
    /// The load of the target, sent just before the last event.
    Load(FinalLoad),
    /// The target or its answer was lost; no line follows.
    Lost(LossReason),
}

/// The load of a target at the end of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct FinalLoad {
    /// A load report created for this answer.
    pub report: LoadReport,
    /// The sequence number of the last report that counts this work as running.
    pub sequence: u64,
}

/// Why an answer cannot continue at this agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "kebab-case")]
pub enum LossReason {
    /// The target crashed.
    #[display("crashed")]
    Crashed,
    /// The target ended its answer early.
    #[display("broken-off")]
    BrokenOff,
    /// The work was cancelled.
    #[display("cancelled")]
    Cancelled,
    /// The answer of this target differs from the one that another target started.
    #[display("diverged")]
    Diverged,
}

impl WorkLine {
    /// Encodes the line as JSON with a trailing newline.
    pub fn encode(&self) -> Bytes {
        let mut bytes = serde_json::to_vec(self).unwrap_or_default();
        bytes.push(b'\n');
        Bytes::from(bytes)
    }
}

/// An order that an entry VM dispatches to an agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OrderDispatch {
    /// The idempotency key.
    pub key: OrderKey,
    /// The attempt, which is sent to one agent only.
    pub attempt: AttemptId,
    /// The digest of the call and its body.
    pub digest: BodyDigest,
    /// The service.
    pub service: ServiceName,
    /// The name of the call.
    pub call: Arc<str>,
    /// The time left until the caller's deadline, in milliseconds.
    pub remaining_ms: u64,
    /// Whether the caller marked this as the first use of the key.
    pub key_history: KeyHistory,
    /// The request body for the service.
    pub body: Value,
}
