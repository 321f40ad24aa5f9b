//! The decision between retrying, refusing and giving up after a failed dispatch.

use crate::prelude::*;

use super::attempt_outcome::AttemptOutcome;
use super::local_response::UnknownReason;

/// The tries allowed beyond a route's attempts for dispatches that did not run the request.
const EXTRA_TRIES: u32 = 2;

/// The minimum remaining time in which another try can still succeed.
const MIN_TIME_LEFT: Duration = Duration::from_millis(20);

/// Counts of the dispatches of one request so far.
///
/// A dispatch that falls silent counts as a possible run from then on, but it stays open: a sound
/// target may still answer, and its outcome then replaces the silence.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallProgress {
    /// The dispatches that were sent.
    pub sends: u32,
    /// The dispatches that a target may have run.
    pub possible_runs: u32,
    /// The connection attempts that failed.
    pub failed_connects: u32,
    n_begun: u32,
    /// The dispatches below this number have fallen silent or ended.
    n_silent: u32,
    /// The open dispatches that have not fallen silent.
    n_active: u32,
}

/// The number of a dispatch among those of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DispatchNumber(u32);

impl CallProgress {
    /// Counts a dispatch that begins.
    pub fn begin(&mut self) -> DispatchNumber {
        let number = DispatchNumber(self.n_begun);
        self.n_begun += 1;
        self.n_active += 1;
        number
    }

    /// Counts the open dispatches as possible runs, since none of them has sent anything for too
    /// long.
    pub fn record_silence(&mut self) {
        self.sends += self.n_active;
        self.possible_runs += self.n_active;
        self.n_active = 0;
        self.n_silent = self.n_begun;
    }

    /// Records the outcome of an open dispatch.
    pub fn end(&mut self, number: DispatchNumber, outcome: AttemptOutcome) {
        if self.is_silent(number) {
            self.sends -= 1;
            self.possible_runs -= 1;
        } else {
            self.n_active -= 1;
        }
        self.record(outcome);
    }

    /// Returns whether a dispatch is open that has not fallen silent.
    pub fn has_active_dispatch(&self) -> bool {
        0 < self.n_active
    }

    /// Returns whether an open dispatch has fallen silent.
    pub fn is_silent(&self, number: DispatchNumber) -> bool {
        number.0 < self.n_silent
    }

    /// Records the outcome of one dispatch.
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

    /// Returns the proof that the request did not run, or `None` if it may have run.
    pub fn not_run_proof(&self) -> Option<NotRunProof> {
        match (self.sends, self.possible_runs) {
            (0, _) => Some(NotRunProof::never_sent()),
            (_, 0) => Some(NotRunProof::stated_by_targets()),
            _ => None,
        }
    }
}

/// The step that follows a dispatch without a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Retry at another target.
    Retry,
    /// Refuse the request, which did not run.
    Refuse(NotRunProof),
    /// Report that the outcome is unknown.
    GiveUp(UnknownReason),
}

/// Returns what follows if the request is not sent again.
pub fn stop_step(progress: &CallProgress, outcome: AttemptOutcome) -> NextStep {
    match progress.not_run_proof() {
        Some(proof) => NextStep::Refuse(proof),
        None if outcome == AttemptOutcome::Silent => NextStep::GiveUp(UnknownReason::Timeout),
        None => NextStep::GiveUp(UnknownReason::BadAnswer),
    }
}

/// Decides what follows a dispatch without a response.
///
/// `progress` already includes `outcome`. `budget` takes one retry from the retry budget and
/// returns whether it was allowed; it is not called after a failed connection, which costs no
/// budget.
pub fn next_step(
    route: &RouteSpec,
    progress: &CallProgress,
    outcome: AttemptOutcome,
    time_left: Duration,
    budget: impl FnOnce() -> bool,
) -> NextStep {
    let stop = stop_step(progress, outcome);
    if 0 < progress.possible_runs && !route.kind.may_repeat() {
        return stop;
    }
    let attempts = route.attempts.max(1);
    let is_exhausted = attempts <= progress.possible_runs
        || attempts + EXTRA_TRIES <= progress.sends + progress.failed_connects;
    if is_exhausted || time_left < MIN_TIME_LEFT {
        return stop;
    }
    if outcome != AttemptOutcome::NotSent && !budget() {
        return stop;
    }
    NextStep::Retry
}
