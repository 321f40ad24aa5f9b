//! The decisions and answers of an agent about offered work.

use derive_more::Display;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::request::work_id::WorkId;

use super::route_decision::RefusalReason;

/// The decision of an agent about offered work.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// It starts now.
    #[display("start")]
    Start,
    /// It is queued; a later action starts or refuses it.
    #[display("wait")]
    Wait,
    /// It never started, and later copies of the offer will not start it: a proof of "not run".
    #[display("refused reason={reason} retry_after_ms={}", retry_after.as_millis())]
    Refused {
        /// The reason.
        reason: RefusalReason,
        /// How long the caller should wait before a retry.
        retry_after: Duration,
    },
    /// It does not start now, but a copy of the offer may have run at an earlier incarnation,
    /// or the agent may have dropped its record. This is no proof of "not run".
    #[display("unproved reason={reason}")]
    Unproved {
        /// The reason.
        reason: RefusalReason,
    },
    /// The agent holds or finished this work already: the offer is a copy.
    #[display("duplicate")]
    Duplicate,
}

/// What an agent does with work that was queued.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum AdmissionAction {
    /// Start it.
    #[display("start work={_0}")]
    Start(WorkId),
    /// Refuse it; it never started.
    #[display("refuse work={work} reason={reason}")]
    Refuse {
        /// The work.
        work: WorkId,
        /// The reason.
        reason: RefusalReason,
        /// How long the caller should wait before a retry.
        retry_after: Duration,
    },
}

/// The answer of an agent to a cancellation.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum CancelAnswer {
    /// It never started and never will: a proof of "not run".
    #[display("never-started")]
    NeverStarted,
    /// It is running: repeatable work is told to stop, an order runs to its end.
    #[display("running")]
    Running,
    /// It ran, and has ended.
    #[display("finished")]
    Finished,
    /// The agent has no record that shows whether it ran.
    #[display("forgotten")]
    Forgotten,
}
