//! The decision about a request that may crash targets.

use derive_more::Display;

use crate::prelude::*;

/// How a request may run.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum SuspectDecision {
    /// It runs without restriction.
    #[display("clear")]
    Clear,
    /// It runs with nothing else in flight at its target.
    #[display("run-alone")]
    RunAlone,
    /// It is refused.
    #[display("refused retry_after_ms={}", retry_after.as_millis())]
    Refused {
        /// The time until the refusal expires.
        retry_after: Duration,
    },
}
