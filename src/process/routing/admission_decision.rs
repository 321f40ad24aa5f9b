//! What agents decide about work.

use derive_more::Display;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::request::work_id::WorkId;

use super::route_decision::RefusalReason;

/// What becomes of offered work.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// It starts now.
    #[display("start")]
    Start,
    /// It waits; a later action starts or refuses it.
    #[display("wait")]
    Wait,
    /// It never started and will not, should a copy arrive: a proof of "not run".
    #[display("refused reason={reason} retry_after_ms={}", retry_after.as_millis())]
    Refused {
        /// Why.
        reason: RefusalReason,
        /// When the caller may come back.
        retry_after: Duration,
    },
    /// It does not start now, but a copy of the message may have run it: an earlier
    /// incarnation may have had one, or the agent may have forgotten it. No proof of "not run".
    #[display("unproved reason={reason}")]
    Unproved {
        /// Why.
        reason: RefusalReason,
    },
    /// The agent has this work, or had it: a copy of the message arrived.
    #[display("duplicate")]
    Duplicate,
}

/// What an agent does about work that waited.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum AdmissionAction {
    /// Start it.
    #[display("start work={_0}")]
    Start(WorkId),
    /// Refuse it: it did not start.
    #[display("refuse work={work} reason={reason}")]
    Refuse {
        /// The work.
        work: WorkId,
        /// Why.
        reason: RefusalReason,
        /// When the caller may come back.
        retry_after: Duration,
    },
}

/// What an agent answers to a cancellation.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum CancelAnswer {
    /// It never started and never will: a proof of "not run".
    #[display("never-started")]
    NeverStarted,
    /// It runs; work that may be repeated is told to stop, an order goes on.
    #[display("running")]
    Running,
    /// It ended.
    #[display("finished")]
    Finished,
    /// The agent no longer knows.
    #[display("forgotten")]
    Forgotten,
}
