//! Whether a target may get new work.

use derive_more::Display;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Whether a target may get new work.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, JsonSchema,
)]
#[serde(rename_all = "kebab-case")]
pub enum TargetState {
    /// It may get new work.
    #[display("eligible")]
    Eligible,
    /// It finishes what it has and gets nothing new.
    #[display("leaving")]
    Leaving,
    /// It is gone or does not answer.
    #[display("down")]
    Down,
    /// Nothing recent is known of it.
    #[display("unknown")]
    Unknown,
}

/// A target's state and what it rests on.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[display("{state}: {reason}")]
pub struct TargetStatus {
    /// The state.
    pub state: TargetState,
    /// What it rests on.
    pub reason: StateReason,
}

/// What a target's state rests on.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum StateReason {
    /// A recent report of its agent.
    #[display("its agent reported ready")]
    ReadyReport,
    /// A report of its agent.
    #[display("its agent reported leaving")]
    LeavingReport,
    /// A refusal of work by its agent.
    #[display("its agent refused work because it leaves")]
    LeavingRefusal,
    /// The platform's list.
    #[display("the platform lists its VM as leaving")]
    ListedLeaving,
    /// The platform's list.
    #[display("the platform no longer lists its VM")]
    ListedGone,
    /// Failed dispatches since the last report.
    #[display("dispatches to it failed")]
    DispatchFailures,
    /// The last report is too old.
    #[display("no recent report of its agent")]
    ReportExpired,
    /// No report yet.
    #[display("its agent was never heard")]
    NeverHeard,
}
