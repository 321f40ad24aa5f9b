//! What the membership table is told.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// What the membership table is told.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipEvent {
    /// The platform's list was read; targets that it does not name have no entry.
    VmList(Vec<(TargetName, VmState)>),
    /// An agent reported.
    Report(AgentReport),
    /// A dispatch of this process ended.
    Dispatch {
        /// The target.
        target: TargetName,
        /// The agent's life that was addressed.
        incarnation: ProcessIncarnation,
        /// When the dispatch was sent.
        sent_at: Timestamp,
        /// What it showed.
        signal: DispatchSignal,
    },
}

/// A VM on the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// It runs.
    Live,
    /// It will stop soon.
    Leaving,
}

/// What an agent says of its target, in answer to a heartbeat of this process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct AgentReport {
    /// The target.
    pub target: TargetName,
    /// The agent's life.
    pub incarnation: ProcessIncarnation,
    /// Whether the agent takes new work.
    pub readiness: AgentReadiness,
    /// The time at which the receiver of the report sent the heartbeat that it answers.
    ///
    /// The age of a report counts from here, by one clock, so that a report which was long
    /// under way is not taken for a recent one.
    pub heartbeat_at: Timestamp,
}

/// Whether an agent takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum AgentReadiness {
    /// It takes new work.
    Ready,
    /// It finishes what it has.
    Leaving,
}

/// What a dispatch showed of the agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchSignal {
    /// The agent took the work.
    Accepted,
    /// The agent refused it because it leaves.
    RefusedLeaving,
    /// The agent could not be reached.
    Unreachable,
}
