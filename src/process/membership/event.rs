//! Input events of the membership table.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// An input of the membership table.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipEvent {
    /// The platform's VM list was read; targets that are not on it are missing here.
    VmList(Vec<(TargetName, VmState)>),
    /// A report of an agent arrived.
    Report(AgentReport),
    /// A dispatch of this process ended.
    Dispatch {
        /// The target.
        target: TargetName,
        /// The incarnation of the agent to which the work was sent.
        incarnation: ProcessIncarnation,
        /// When the dispatch was sent.
        sent_at: Timestamp,
        /// What the dispatch showed about the agent.
        signal: DispatchSignal,
    },
}

/// The state of a VM on the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// The VM is running.
    Live,
    /// The VM will stop soon.
    Leaving,
}

/// An agent's report on its target, sent in reply to a heartbeat of this process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct AgentReport {
    /// The target.
    pub target: TargetName,
    /// The agent's incarnation.
    pub incarnation: ProcessIncarnation,
    /// Whether the agent accepts new work.
    pub readiness: AgentReadiness,
    /// When the receiver of the report sent the heartbeat that the report answers.
    ///
    /// The age of a report is measured from this time, on one clock, so that a report that was
    /// long in transit does not count as recent.
    pub heartbeat_at: Timestamp,
}

/// Whether an agent accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum AgentReadiness {
    /// It accepts new work.
    Ready,
    /// It finishes its current work and accepts no new work.
    Leaving,
}

/// What a dispatch showed about the agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchSignal {
    /// The agent accepted the work.
    Accepted,
    /// The agent refused the work because it is leaving.
    RefusedLeaving,
    /// The agent could not be reached.
    Unreachable,
}
