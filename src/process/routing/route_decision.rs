//! The result of choosing a target for a request.

use derive_more::Display;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// The chosen target; its text form is logged.
#[derive(Clone, Debug, Display, PartialEq)]
#[display(
    "target={target} runner_up={} reason={reason} load={load:.2}",
    runner_up_name(runner_up)
)]
pub struct RouteDecision {
    /// The chosen target.
    pub target: TargetName,
    /// The next best target among those sampled.
    pub runner_up: Option<TargetName>,
    /// Why the target was chosen.
    pub reason: RouteReason,
    /// The chosen target's estimated load as a share of its limit, this request included.
    pub load: f32,
}

/// Why a target was chosen.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum RouteReason {
    /// Its cache probably holds a prefix of the prompt.
    #[display("cached-prefix({blocks})")]
    CachedPrefix {
        /// The number of blocks in the longest cached prefix.
        blocks: usize,
    },
    /// It has the lowest estimated load of those sampled.
    #[display("lower-load")]
    LowerLoad,
    /// It is the only available target.
    #[display("only-target")]
    OnlyTarget,
    /// Every untried target is ejected after recent failures; this one is used regardless.
    #[display("last-resort")]
    LastResort,
}

/// A refusal to choose a target; the request has not left the entry VM.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("reason={reason} retry_after_ms={}", retry_after.as_millis())]
pub struct RouteRefusal {
    /// Why no target was chosen.
    pub reason: RefusalReason,
    /// How long the caller should wait before a retry.
    pub retry_after: Duration,
}

/// Why a request was refused, by an entry before dispatch or by an agent before its start.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// No eligible target serves the model or service.
    #[display("no-target")]
    NoTarget,
    /// Every eligible target was tried.
    #[display("all-tried")]
    AllTried,
    /// It cannot be answered before its deadline.
    #[display("deadline")]
    Deadline,
    /// Too much work is queued or running.
    #[display("overloaded")]
    Overloaded,
    /// The client account exceeds its limit of tokens per second.
    #[display("token-limit")]
    TokenLimit,
    /// The client account exceeds its limit of requests in flight.
    #[display("in-flight-limit")]
    InFlightLimit,
    /// The client account is not configured.
    #[display("unknown-account")]
    UnknownAccount,
    /// The process is draining and takes no new work.
    #[display("draining")]
    Draining,
    /// The offer was addressed to another incarnation of the agent.
    #[display("stale-incarnation")]
    StaleIncarnation,
    /// The work was cancelled or refused before, or predates the agent's records.
    #[display("tombstone")]
    Tombstone,
    /// The agent received this work already; another message decides its outcome.
    #[display("duplicate")]
    Duplicate,
    /// The request crashed several targets.
    #[display("crash-suspect")]
    CrashSuspect,
    /// The retry budget is spent.
    #[display("retry-budget")]
    RetryBudget,
}

fn runner_up_name(runner_up: &Option<TargetName>) -> &str {
    runner_up.as_ref().map_or("-", TargetName::as_str)
}
