//! What the caller of an order is told.

use derive_more::Display;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::prelude::*;

use super::answer::OrderAnswer;
use super::record::OrderSettlement;

/// What the caller of an order is told.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct OrderReply {
    /// The outcome.
    pub outcome: RequestOutcome,
    /// Why it is that outcome.
    pub reason: ReplyReason,
    /// What the caller may do with the key.
    pub key_use: KeyUse,
    /// The target's answer, where there is one.
    pub answer: Option<OrderAnswer>,
    /// When the caller should ask again, in milliseconds from now.
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

    /// Creates the reply for a key that a void closed: no order under it ran or will run.
    pub fn voided() -> Self {
        Self {
            outcome: RequestOutcome::NotRun,
            reason: ReplyReason::Voided,
            key_use: KeyUse::Closed,
            answer: None,
            retry_after_ms: None,
        }
    }

    /// Creates the reply of a try that may have run, or whose key may have.
    pub fn unknown(reason: ReplyReason, retry_after: Duration) -> Self {
        Self {
            outcome: RequestOutcome::Unknown,
            reason,
            key_use: KeyUse::AskAgain,
            answer: None,
            retry_after_ms: Some(retry_after.as_millis() as u64),
        }
    }

    /// Creates the reply of a try that ended before anything was appended for it.
    ///
    /// Only the first use of a key makes that a statement about the key.
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

    /// Creates the reply for a body that differs from the claimed one.
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

/// Whether the caller says that it sends the key for the first time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum KeyHistory {
    /// The caller marked the first use of the key.
    FirstUse,
    /// The key may have been sent before.
    Repeat,
}

impl KeyHistory {
    /// Reads the value of the header [`FIRST_USE_HEADER`], a boolean structured field.
    pub fn from_header(value: Option<&str>) -> Self {
        match value.map(str::trim) {
            Some("?1" | "true") => Self::FirstUse,
            _ => Self::Repeat,
        }
    }
}

/// The header by which a caller marks the first use of a key.
pub const FIRST_USE_HEADER: &str = "idempotency-first-use";

/// What a caller may do with the key after a reply.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum KeyUse {
    /// The key is decided: the same key gets the same outcome, a new order needs a new key.
    #[display("closed")]
    Closed,
    /// Nothing was recorded of the key: it may be sent again, no longer marked as first use.
    #[display("reusable")]
    Reusable,
    /// The same key may be sent again, to learn how it ended.
    #[display("ask-again")]
    AskAgain,
}

/// Why a reply has its outcome.
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
    /// The target's answer.
    Settled,
    /// A void stands first.
    Voided,
    /// The holder of the claim did not start it and never will.
    NotStarted,
    /// The connection to the target was lost during the run.
    TargetLost,
    /// The target was still running at the deadline.
    StillRunning,
    /// Another attempt holds the claim and was not settled before the deadline.
    ClaimOpen,
    /// The claim was not read back before the deadline.
    ClaimUnresolved,
    /// The void was not read back before the deadline.
    VoidUnresolved,
    /// The log service is away.
    LogAway,
    /// The log service refused the append.
    LogBusy,
    /// The process holds as many orders as it may.
    TooManyOrders,
    /// The process has not yet read far enough back for the key.
    NotCovered,
    /// The process is leaving.
    Leaving,
    /// The key is older than the window.
    KeyExpired,
    /// The key's time is ahead of the clock.
    KeyEarly,
    /// The key was used with another body.
    BodyMismatch,
    /// A newer program wrote a record of the key that this one can't read.
    NewerFormat,
    /// The deadline passed before anything was appended.
    DeadlinePassed,
    /// No agent could be reached and nothing was appended.
    NoAgent,
    /// The agent did not reply before the deadline.
    AgentSilent,
}

impl ReplyReason {
    /// Returns whether the reason says nothing of the key or the log, so that another agent may
    /// take the order.
    pub fn is_of_one_agent(self) -> bool {
        matches!(self, Self::Leaving | Self::TooManyOrders)
    }
}
