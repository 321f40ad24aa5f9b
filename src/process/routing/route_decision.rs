//! The outcome of a routing decision.

use derive_more::Display;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// The chosen target, as logged.
#[derive(Clone, Debug, Display, PartialEq)]
#[display(
    "target={target} runner_up={} reason={reason} load={load:.2}",
    runner_up_name(runner_up)
)]
pub struct RouteDecision {
    /// The chosen target.
    pub target: TargetName,
    /// The next best target that was looked at.
    pub runner_up: Option<TargetName>,
    /// Why the target was chosen.
    pub reason: RouteReason,
    /// The chosen target's estimated load as a share of its limit, this request included.
    pub load: f32,
}

/// Why a target was chosen.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum RouteReason {
    /// It probably holds a prefix of the prompt.
    #[display("cached-prefix({blocks})")]
    CachedPrefix {
        /// The blocks of the longest prefix that it holds.
        blocks: usize,
    },
    /// It has the lowest estimated load of those sampled.
    #[display("lower-load")]
    LowerLoad,
    /// No other target could be chosen.
    #[display("only-target")]
    OnlyTarget,
    /// Every target failed of late; this one was tried all the same.
    #[display("last-resort")]
    LastResort,
}

/// A refusal to choose a target: the request did not leave the entry VM.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("reason={reason} retry_after_ms={}", retry_after.as_millis())]
pub struct RouteRefusal {
    /// Why no target was chosen.
    pub reason: RefusalReason,
    /// When the caller may come back.
    pub retry_after: Duration,
}

/// Why a request was refused before it was dispatched, or by an agent that did not start it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// No eligible target serves it.
    #[display("no-target")]
    NoTarget,
    /// Every eligible target was tried.
    #[display("all-tried")]
    AllTried,
    /// It cannot be answered before its deadline.
    #[display("deadline")]
    Deadline,
    /// Too much work waits.
    #[display("overloaded")]
    Overloaded,
    /// The client account is over its limit of tokens a second.
    #[display("token-limit")]
    TokenLimit,
    /// The client account is over its limit of requests in flight.
    #[display("in-flight-limit")]
    InFlightLimit,
    /// The client account is not configured.
    #[display("unknown-account")]
    UnknownAccount,
    /// The process takes no new work since it is leaving.
    #[display("draining")]
    Draining,
    /// The message was meant for an earlier incarnation of the agent.
    #[display("stale-incarnation")]
    StaleIncarnation,
    /// The work was cancelled or refused before, or is older than the agent's memory.
    #[display("tombstone")]
    Tombstone,
    /// The agent has this work already; another message decides its outcome.
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
