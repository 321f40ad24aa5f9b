//! The input events and output actions of the request tracker.

use derive_more::Display;

use crate::prelude::*;
use crate::process::routing::{CancelAnswer, RefusalReason, RouteRefusal};

use super::answer_assembler::AssemblyError;
use super::answer_digest::ResumePoint;
use super::work_event::{AnswerEnd, TargetFailure, WorkEvent};
use super::work_id::WorkId;

/// An input event of the request tracker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TrackerEvent {
    /// A target was chosen.
    Routed {
        /// The target.
        target: TargetName,
        /// The last known incarnation of its agent.
        incarnation: ProcessIncarnation,
    },
    /// No target was chosen.
    RouteRefused(RouteRefusal),
    /// No target was chosen, but one is only silent.
    TargetSilent,
    /// The agent refused an attempt: it has not started and never will.
    Refused {
        /// The attempt.
        attempt: u32,
        /// The reason for the refusal.
        reason: RefusalReason,
        /// The delay after which the caller may retry.
        retry_after: Duration,
    },
    /// An event of an answer arrived.
    Received(WorkEvent),
    /// The connection to the agent was lost, or its stream ended before the last event.
    ConnectionLost {
        /// The attempt.
        attempt: u32,
    },
    /// The target or its agent crashed, or cannot continue the answer.
    TargetLost {
        /// The attempt.
        attempt: u32,
    },
    /// The agent answered a cancellation, or a resume of work that it is not running.
    CancelAnswered {
        /// The attempt.
        attempt: u32,
        /// The answer.
        answer: CancelAnswer,
    },
    /// The delay before a retry has elapsed.
    RetryDue,
    /// The hedging delay of a lookup has elapsed: it is slow enough for a second attempt.
    HedgeDue,
    /// The deadline is so near that only a withdrawal can still prove that nothing ran.
    DeadlineNear,
    /// The deadline has passed.
    DeadlinePassed,
    /// The caller disconnected and did not reconnect.
    CallerGone,
}

/// An action that the request tracker asks its driver to take.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TrackerAction {
    /// Choose a target that has not been tried.
    Route {
        /// The targets tried so far.
        tried: SmallVec<[TargetName; 4]>,
    },
    /// Send the request to a target, which continues the answer from `from`.
    Dispatch {
        /// The attempt.
        work: WorkId,
        /// The target.
        target: TargetName,
        /// The agent incarnation that may accept the attempt.
        incarnation: ProcessIncarnation,
        /// The point from which the answer continues.
        from: ResumePoint,
    },
    /// Ask the agent to resend the events of an attempt from a point on.
    Resume {
        /// The attempt.
        work: WorkId,
        /// The target.
        target: TargetName,
        /// The point to resume from.
        from: ResumePoint,
    },
    /// Cancel an attempt if it has not started.
    Withdraw {
        /// The attempt.
        work: WorkId,
        /// The target.
        target: TargetName,
    },
    /// Cancel an attempt.
    Cancel {
        /// The attempt.
        work: WorkId,
        /// The target.
        target: TargetName,
    },
    /// Send `RetryDue` once the silent target may be heard again.
    WaitForTarget,
    /// Send `RetryDue` after the delay.
    RetryLater {
        /// The delay.
        delay: Duration,
    },
    /// Forward an event to the caller.
    Deliver(WorkEvent),
    /// Report the end to the caller immediately.
    End(RequestEnd),
}

/// The result of a request as reported to the caller.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("outcome={outcome} reason={reason}")]
pub struct RequestEnd {
    /// The outcome.
    pub outcome: RequestOutcome,
    /// The reason for the outcome.
    pub reason: EndReason,
    /// The delay after which the caller may retry; zero where a retry would not help.
    pub retry_after: Duration,
}

/// Why a request ended with its outcome.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum EndReason {
    /// The answer is complete.
    #[display("whole count={} digest={}", _0.count, _0.digest)]
    Complete(AnswerEnd),
    /// The target rejected or failed the request.
    #[display("target-failed status={}", _0.status)]
    TargetFailed(TargetFailure),
    /// Routing or the agent refused the request.
    #[display("{_0}")]
    Refused(RefusalReason),
    /// The target or its agent was lost, and the work must not or cannot be retried.
    #[display("target-lost")]
    TargetLost,
    /// The answer failed a consistency check and cannot be completed.
    #[display("broken-answer({_0})")]
    InvalidAnswer(AssemblyError),
    /// The deadline passed.
    #[display("deadline")]
    DeadlinePassed,
    /// The caller disconnected.
    #[display("caller-gone")]
    CallerGone,
}
