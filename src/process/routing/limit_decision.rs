//! The result of checking a request against its account's limits.

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
    /// It is admitted; the limiter must be told when it ends.
    #[display("admitted")]
    Admitted,
    /// It is over a limit, or its account is not configured.
    #[display("refused reason={reason} retry_after_ms={}", retry_after.as_millis())]
    Refused {
        /// The reason.
        reason: RefusalReason,
        /// How long the caller should wait before a retry.
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
