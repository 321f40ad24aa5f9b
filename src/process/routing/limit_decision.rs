//! The outcome of a check against an account's limits.

use derive_more::Display;

use crate::prelude::*;

use super::route_decision::RefusalReason;

/// The cost of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkCost {
    /// The tokens of prompt and answer.
    pub tokens: u64,
}

/// Whether a request is within its account's limits.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum LimitDecision {
    /// It may go on; its end must be reported.
    #[display("admitted")]
    Admitted,
    /// It is over a limit.
    #[display("refused reason={reason} retry_after_ms={}", retry_after.as_millis())]
    Refused {
        /// The limit.
        reason: RefusalReason,
        /// When the caller may come back.
        retry_after: Duration,
    },
}

impl LimitDecision {
    pub(crate) fn refused(reason: RefusalReason, retry_after: Duration) -> Self {
        Self::Refused {
            reason,
            retry_after,
        }
    }
}
