//! Eligibility of targets for new work.

use derive_more::Display;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Whether a target may receive new work.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, JsonSchema,
)]
#[serde(rename_all = "kebab-case")]
pub enum TargetState {
    /// It may receive new work.
    #[display("eligible")]
    Eligible,
    /// It finishes its current work and receives no new work.
    #[display("leaving")]
    Leaving,
    /// It no longer exists or cannot be reached.
    #[display("down")]
    Down,
    /// There is no recent report of its agent.
    #[display("unknown")]
    Unknown,
}

/// A target's state and the reason for it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[display("{state}: {reason}")]
pub struct TargetStatus {
    /// The state.
    pub state: TargetState,
    /// The reason for it.
    pub reason: StateReason,
}

/// The reason for a target's state.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum StateReason {
    /// A recent report of its agent says that it accepts work.
    #[display("its agent reported ready")]
    ReadyReport,
    /// A report of its agent says that it is leaving.
    #[display("its agent reported leaving")]
    LeavingReport,
    /// Its agent refused work because it is leaving.
    #[display("its agent refused work because it leaves")]
    LeavingRefusal,
    /// The platform lists the VM as leaving.
    #[display("the platform lists its VM as leaving")]
    ListedLeaving,
    /// The VM was on the platform's list and no longer is.
    #[display("the platform no longer lists its VM")]
    ListedGone,
    /// Several dispatches failed in a row since the last report.
    #[display("dispatches to it failed")]
    DispatchFailures,
    /// The last report is too old.
    #[display("no recent report of its agent")]
    ReportExpired,
    /// No report has arrived yet.
    #[display("its agent was never heard")]
    NeverHeard,
}
