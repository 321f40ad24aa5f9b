//! What follows a dispatch that brought no answer.

use crate::prelude::*;

use super::attempt_outcome::AttemptOutcome;
use super::local_response::UnknownReason;

/// The sends beyond a route's attempts that targets may disclaim before the request is refused.
const DISCLAIMED_SENDS: u32 = 2;

/// The least time left in which another send can still bring an answer.
const LEAST_TIME_LEFT: Duration = Duration::from_millis(20);

/// How far a request has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallProgress {
    /// The dispatches that were sent.
    pub sends: u32,
    /// The dispatches that a target may have run.
    pub possible_runs: u32,
    /// The connections that did not come about.
    pub failed_connects: u32,
}

impl CallProgress {
    /// Takes in the outcome of one dispatch.
    pub fn record(&mut self, outcome: AttemptOutcome) {
        match outcome {
            AttemptOutcome::NotSent => self.failed_connects += 1,
            AttemptOutcome::NotRun => self.sends += 1,
            _ => {
                self.sends += 1;
                self.possible_runs += 1;
            }
        }
    }

    /// Returns the proof that the request did not run, if there is one.
    pub fn not_run_proof(&self) -> Option<NotRunProof> {
        match (self.sends, self.possible_runs) {
            (0, _) => Some(NotRunProof::never_sent()),
            (_, 0) => Some(NotRunProof::stated_by_targets()),
            _ => None,
        }
    }
}

/// What follows a dispatch that brought no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Send to another target.
    Retry,
    /// Refuse: the request did not run.
    Refuse(NotRunProof),
    /// Say that the outcome is unknown.
    GiveUp(UnknownReason),
}

/// Decides what follows a dispatch that brought no answer.
///
/// `progress` already holds the outcome; `budget` tells whether a further send is within the
/// retry budget. A connection that did not come about draws on no budget.
pub fn next_step(
    route: &RouteSpec,
    progress: &CallProgress,
    outcome: AttemptOutcome,
    time_left: Duration,
    budget: impl FnOnce() -> bool,
) -> NextStep {
    let stop = match progress.not_run_proof() {
        Some(proof) => NextStep::Refuse(proof),
        None if outcome == AttemptOutcome::Silent => NextStep::GiveUp(UnknownReason::Timeout),
        None => NextStep::GiveUp(UnknownReason::BadAnswer),
    };
    if 0 < progress.possible_runs && !route.kind.may_repeat() {
        return stop;
    }
    let attempts = route.attempts.max(1);
    let bounded = attempts <= progress.possible_runs
        || attempts + DISCLAIMED_SENDS <= progress.sends + progress.failed_connects;
    if bounded || time_left < LEAST_TIME_LEFT {
        return stop;
    }
    if outcome != AttemptOutcome::NotSent && !budget() {
        return stop;
    }
    NextStep::Retry
}
