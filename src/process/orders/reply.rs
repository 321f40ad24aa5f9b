//! The reply to the caller of an order.

use derive_more::Display;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::prelude::*;

use super::answer::OrderAnswer;
use super::record::OrderSettlement;

/// The reply to the caller of an order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct OrderReply {
    /// The outcome.
    pub outcome: RequestOutcome,
    /// The reason for the outcome.
    pub reason: ReplyReason,
    /// What the caller may do with the key.
    pub key_use: KeyUse,
    /// The target's answer, if there is one.
    pub answer: Option<OrderAnswer>,
    /// The delay after which the caller should ask again, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

impl OrderReply {
    /// Creates the reply to a settled order.
    pub fn settled(settlement: &OrderSettlement) -> Self {
        Self {
            outcome: settlement.outcome,
            reason: settled_reason(settlement),
            key_use: match settlement.outcome {
                RequestOutcome::Unknown => KeyUse::AskAgain,
                _ => KeyUse::Closed,
            },
            answer: settlement.answer.clone(),
            retry_after_ms: None,
        }
    }

    /// Creates the reply for a key that a void closed: its order neither ran nor will run.
    pub fn voided() -> Self {
        Self {
            outcome: RequestOutcome::NotRun,
            reason: ReplyReason::Voided,
            key_use: KeyUse::Closed,
            answer: None,
            retry_after_ms: None,
        }
    }

    /// Creates the reply to a try that may have run, or whose key may have run in another try.
    pub fn unknown(reason: ReplyReason, retry_after: Duration) -> Self {
        Self {
            outcome: RequestOutcome::Unknown,
            reason,
            key_use: KeyUse::AskAgain,
            answer: None,
            retry_after_ms: Some(retry_after.as_millis() as u64),
        }
    }

    /// Creates the reply to a try that ended before anything was appended for it.
    ///
    /// The outcome is known to be not-run only if this is the first use of the key; otherwise an
    /// earlier try may have run.
    pub fn refused(key_history: KeyHistory, reason: ReplyReason, retry_after: Duration) -> Self {
        match key_history {
            KeyHistory::Repeat => Self::unknown(reason, retry_after),
            KeyHistory::FirstUse => Self {
                outcome: RequestOutcome::NotRun,
                key_use: KeyUse::Reusable,
                ..Self::unknown(reason, retry_after)
            },
        }
    }

    /// Creates the reply to a try whose digest differs from the claimed one.
    pub fn mismatch() -> Self {
        Self {
            outcome: RequestOutcome::Unknown,
            reason: ReplyReason::BodyMismatch,
            key_use: KeyUse::Closed,
            answer: None,
            retry_after_ms: None,
        }
    }
}

fn settled_reason(settlement: &OrderSettlement) -> ReplyReason {
    match settlement.outcome {
        RequestOutcome::NotRun => ReplyReason::NotStarted,
        RequestOutcome::Unknown => ReplyReason::TargetLost,
        RequestOutcome::Answered | RequestOutcome::Failed => ReplyReason::Settled,
    }
}

/// Whether the caller declares that it sends the key for the first time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum KeyHistory {
    /// The caller marked the first use of the key.
    FirstUse,
    /// The key may have been sent before.
    Repeat,
}

impl KeyHistory {
    /// Parses the value of the header [`FIRST_USE_HEADER`], a boolean structured field.
    pub fn from_header(value: Option<&str>) -> Self {
        match value.map(str::trim) {
            Some("?1" | "true") => Self::FirstUse,
            _ => Self::Repeat,
        }
    }
}

/// The header in which a caller marks the first use of a key.
pub const FIRST_USE_HEADER: &str = "idempotency-first-use";

/// What a caller may do with the key after a reply.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum KeyUse {
    /// The key is decided: it always gets the same outcome, and a new order needs a new key.
    #[display("closed")]
    Closed,
    /// No record of the key was written: it may be sent again, but not marked as first use.
    #[display("reusable")]
    Reusable,
    /// The same key may be sent again to learn the outcome.
    #[display("ask-again")]
    AskAgain,
}

/// The reason for the outcome of a reply.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    JsonSchema,
)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
pub enum ReplyReason {
    /// The target answered, successfully or not.
    Settled,
    /// The first valid record of the key is a void.
    Voided,
    /// The holder of the claim did not start the order and never will.
    NotStarted,
    /// The connection to the target was lost while the order ran.
    TargetLost,
    /// The target was still running at the deadline.
    StillRunning,
    /// The claim was not settled before the deadline: another attempt holds it, or the log has not
    /// acknowledged the outcome yet.
    ClaimOpen,
    /// The claim was not read back before the deadline.
    ClaimUnresolved,
    /// The void was not read back before the deadline.
    VoidUnresolved,
    /// The log service is unreachable.
    LogAway,
    /// The log service refused the append.
    LogBusy,
    /// The process holds its maximum number of orders.
    TooManyOrders,
    /// The process has not yet read the stream far enough back for the key.
    NotCovered,
    /// The process is shutting down.
    Leaving,
    /// The window of the key has ended.
    KeyExpired,
    /// The key's time is ahead of the clock by more than the allowed skew.
    KeyEarly,
    /// The key was used with another service, call or body.
    BodyMismatch,
    /// A newer version of the program wrote a record of the key that this one can't read.
    NewerFormat,
    /// The deadline passed before anything was appended.
    DeadlinePassed,
    /// No agent could be reached and nothing was appended.
    NoAgent,
    /// The agent did not reply before the deadline.
    AgentSilent,
}

impl ReplyReason {
    /// Returns whether the reason concerns only the replying agent, not the key or the log, so that
    /// another agent may take the order.
    pub fn is_agent_specific(self) -> bool {
        matches!(self, Self::Leaving | Self::TooManyOrders)
    }
}
