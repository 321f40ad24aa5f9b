//! How a request that may crash targets is treated.

use derive_more::Display;

use crate::prelude::*;

/// How a request may run.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum SuspectDecision {
    /// It runs as any other.
    #[display("clear")]
    Clear,
    /// It runs with nothing else in flight at its target.
    #[display("run-alone")]
    RunAlone,
    /// It is refused.
    #[display("refused retry_after_ms={}", retry_after.as_millis())]
    Refused {
        /// When the refusal lapses.
        retry_after: Duration,
    },
}
