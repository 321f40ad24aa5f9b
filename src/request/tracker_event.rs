//! What happens to a request at its entry VM, and what is done about it.

use derive_more::Display;

use crate::prelude::*;
use crate::process::routing::{CancelAnswer, RefusalReason, RouteRefusal};

use super::answer_assembler::AssemblyError;
use super::answer_digest::ResumePoint;
use super::work_event::{AnswerEnd, TargetFailure, WorkEvent};
use super::work_id::WorkId;

/// What happens to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TrackerEvent {
    /// A target was chosen.
    Routed {
        /// The target.
        target: TargetName,
        /// The incarnation of its agent that is known.
        incarnation: ProcessIncarnation,
    },
    /// No target was chosen.
    RouteRefused(RouteRefusal),
    /// The agent refused an attempt, which never started and never will.
    Refused {
        /// The attempt.
        attempt: u32,
        /// Why.
        reason: RefusalReason,
        /// When the caller may come back.
        retry_after: Duration,
    },
    /// An event of an answer arrived.
    Received(WorkEvent),
    /// The connection to the agent was lost, or its stream ended without a last event.
    ConnectionLost {
        /// The attempt.
        attempt: u32,
    },
    /// The target or its agent died, or can no longer go on with the answer.
    TargetLost {
        /// The attempt.
        attempt: u32,
    },
    /// The agent answered a cancellation, or a resume of work that it does not run.
    CancelAnswered {
        /// The attempt.
        attempt: u32,
        /// The answer.
        answer: CancelAnswer,
    },
    /// The time of a retry has come.
    RetryDue,
    /// A lookup takes so long that a second try is worth it.
    HedgeDue,
    /// The deadline is so near that only a cancellation can still give a proof.
    DeadlineNear,
    /// The deadline has passed.
    DeadlinePassed,
    /// The caller went away and did not come back.
    CallerGone,
}

/// What is done about a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TrackerAction {
    /// Choose a target that was not tried.
    Route {
        /// The targets that were tried.
        tried: SmallVec<[TargetName; 4]>,
    },
    /// Send the request to a target; from a point after the start, the target goes on from there.
    Dispatch {
        /// The attempt.
        work: WorkId,
        /// The target.
        target: TargetName,
        /// The incarnation of the agent that is meant.
        incarnation: ProcessIncarnation,
        /// From where the answer goes on.
        from: ResumePoint,
    },
    /// Ask the agent again for the events of an attempt.
    Resume {
        /// The attempt.
        work: WorkId,
        /// The target.
        target: TargetName,
        /// From where.
        from: ResumePoint,
    },
    /// Cancel an attempt.
    Cancel {
        /// The attempt.
        work: WorkId,
        /// The target.
        target: TargetName,
    },
    /// Come back with `RetryDue` after the delay.
    RetryLater {
        /// The delay.
        delay: Duration,
    },
    /// Pass an event on to the caller.
    Deliver(WorkEvent),
    /// Tell the caller the end, at once.
    End(RequestEnd),
}

/// How a request ended, with all that the caller is told.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("outcome={outcome} reason={reason}")]
pub struct RequestEnd {
    /// The outcome.
    pub outcome: RequestOutcome,
    /// Why.
    pub reason: EndReason,
    /// When the caller may come back; zero where that makes no difference.
    pub retry_after: Duration,
}

/// Why a request ended as it did.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum EndReason {
    /// The answer is whole.
    #[display("whole count={} digest={}", _0.count, _0.digest)]
    Complete(AnswerEnd),
    /// The target said no.
    #[display("target-failed status={}", _0.status)]
    TargetFailed(TargetFailure),
    /// It was refused.
    #[display("{_0}")]
    Refused(RefusalReason),
    /// The target or its agent was lost, and the work may not or cannot run again.
    #[display("target-lost")]
    TargetLost,
    /// The answer cannot become whole.
    #[display("broken-answer({_0})")]
    InvalidAnswer(AssemblyError),
    /// The deadline passed.
    #[display("deadline")]
    DeadlinePassed,
    /// The caller went away.
    #[display("caller-gone")]
    CallerGone,
}
