//! The decision whether to repeat a failed try.

use derive_more::Display;

use crate::prelude::*;

use super::route_decision::RefusalReason;

/// Whether the work of a failed try may have run.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum TryFailure {
    /// It provably did not start.
    #[display("not-started")]
    NotStarted,
    /// It may have run.
    #[display("may-have-run")]
    MayHaveRun,
}

/// Whether work may run more than once.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum WorkRepetition {
    /// An idempotent call or a model request.
    #[display("repeatable")]
    Repeatable,
    /// A call that runs at most once.
    #[display("at-most-once")]
    AtMostOnce,
}

/// A failed try that may be repeated.
#[derive(Clone, Copy, Debug)]
pub struct RetryQuery {
    /// The number of tries so far.
    pub n_tries: u32,
    /// Whether the failed try may have run.
    pub failure: TryFailure,
    /// Whether the work may run more than once.
    pub repetition: WorkRepetition,
    /// When the answer is due.
    pub deadline: Timestamp,
}

/// The decision about a failed try.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try again after the delay.
    #[display("retry delay_ms={}", delay.as_millis())]
    Retry {
        /// The delay.
        delay: Duration,
    },
    /// Give up and answer at once.
    #[display("give-up reason={reason}")]
    GiveUp {
        /// The reason.
        reason: RefusalReason,
    },
    /// Give up: the work may have run and must not run twice.
    #[display("give-up reason=may-have-run")]
    MayHaveRun,
}
