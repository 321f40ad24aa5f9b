//! Health of a target, derived from the results of its requests.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// The half-life of the counts of results.
const RESULT_HALF_LIFE: Duration = Duration::from_secs(2);

/// The failures added to the denominator of the failure share, so that a single failure is no proof.
const PRIOR_RESULTS: f64 = 1.0;

/// How long a target is avoided after a failed connection attempt, or after it fell silent.
const UNREACHABLE_COOLDOWN: Duration = Duration::from_millis(600);

/// The penalty of a target that fails every request, in running requests.
const FAILURE_PENALTY: f64 = 24.0;

/// The recent failures of a target from which it may be ejected.
const MIN_FAILURES: f64 = 3.0;

/// The share of recent requests that fail from which a target may be ejected.
const EJECTION_SHARE: f64 = 0.3;

/// How many times the failure share of the service's other targets an ejected target's share is at
/// least: where all fail alike, no choice among them helps.
const EJECTION_RATIO: f64 = 2.0;

/// Recent results of a target, weighted by age.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ResultCounts {
    /// The requests that failed because of the target.
    pub failed: f32,
    /// The requests that it answered.
    pub answered: f32,
}

/// Health of a target, derived from the results of this entry's requests.
#[derive(Clone, Debug, Default)]
pub struct TargetHealth {
    counts: ResultCounts,
    updated_at: Option<Instant>,
    avoid_until: Option<Instant>,
}

impl ResultCounts {
    /// Adds the counts of another entry.
    pub fn add(&mut self, other: Self) {
        self.failed += other.failed;
        self.answered += other.answered;
    }

    /// Returns the penalty added to the target's load, in running requests.
    pub fn penalty(&self) -> f64 {
        FAILURE_PENALTY * self.failure_share(PRIOR_RESULTS)
    }

    /// Returns whether a target with these results is to get no requests, given the results of the
    /// service's other targets.
    pub fn is_failing(&self, others: Self) -> bool {
        let share = self.failure_share(0.0);
        let others_share = others.failure_share(PRIOR_RESULTS);
        MIN_FAILURES <= f64::from(self.failed)
            && EJECTION_SHARE <= share
            && EJECTION_RATIO * others_share <= share
    }

    /// Returns the share of requests that failed, with a number of answered ones added.
    fn failure_share(&self, prior: f64) -> f64 {
        let failed = f64::from(self.failed);
        failed / (failed + f64::from(self.answered) + prior).max(f64::MIN_POSITIVE)
    }

    fn scaled(self, factor: f32) -> Self {
        Self {
            failed: self.failed * factor,
            answered: self.answered * factor,
        }
    }
}

impl TargetHealth {
    /// Records an answered request.
    pub fn record_success(&mut self, now: Instant) {
        self.counts = self.counts_at(now);
        self.counts.answered += 1.0;
        self.updated_at = Some(now);
        self.avoid_until = None;
    }

    /// Records a request that failed because of the target.
    pub fn record_failure(&mut self, now: Instant) {
        self.counts = self.counts_at(now);
        self.counts.failed += 1.0;
        self.updated_at = Some(now);
    }

    /// Records a failed connection attempt.
    pub fn record_unreachable(&mut self, now: Instant) {
        self.record_failure(now);
        self.avoid_until = Some(now + UNREACHABLE_COOLDOWN);
    }

    /// Records that the target has sent nothing for too long, which is no failure: a sound target may
    /// go on.
    pub fn record_silence(&mut self, now: Instant) {
        self.avoid_until = Some(now + UNREACHABLE_COOLDOWN);
    }

    /// Returns whether the target should be skipped while others are available.
    pub fn is_avoided(&self, now: Instant) -> bool {
        self.avoid_until.is_some_and(|until| now < until)
    }

    /// Returns the recent results.
    pub fn counts_at(&self, now: Instant) -> ResultCounts {
        let Some(updated_at) = self.updated_at else {
            return ResultCounts::default();
        };
        let age = now.saturating_duration_since(updated_at);
        let half_lives = age.as_secs_f32() / RESULT_HALF_LIFE.as_secs_f32();
        self.counts.scaled(0.5_f32.powf(half_lives))
    }
}
