//! Health of a target, derived from the results of its requests.

use crate::prelude::*;

/// The weight of a new result in the moving average of failures.
const RESULT_WEIGHT: f64 = 0.25;

/// The half-life of the failure rate while no requests are sent.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);

/// How long a target is avoided after a failed connection attempt.
const UNREACHABLE_COOLDOWN: Duration = Duration::from_millis(600);

/// The penalty of a target that fails every request, in running requests.
const FAILURE_PENALTY: f64 = 24.0;

/// Health of a target, derived from the results of its requests.
#[derive(Clone, Debug, Default)]
pub struct TargetHealth {
    failure_rate: f64,
    updated_at: Option<Instant>,
    avoid_until: Option<Instant>,
}

impl TargetHealth {
    /// Records an answered request.
    pub fn record_success(&mut self, now: Instant) {
        self.record_result(now, 0.0);
        self.avoid_until = None;
    }

    /// Records a request that failed because of the target.
    pub fn record_failure(&mut self, now: Instant) {
        self.record_result(now, 1.0);
    }

    /// Records a failed connection attempt.
    pub fn record_unreachable(&mut self, now: Instant) {
        self.record_result(now, 1.0);
        self.avoid_until = Some(now + UNREACHABLE_COOLDOWN);
    }

    /// Returns whether the target should be skipped while others are available.
    pub fn is_avoided(&self, now: Instant) -> bool {
        self.avoid_until.is_some_and(|until| now < until)
    }

    /// Returns the penalty added to the target's load, in running requests.
    pub fn penalty(&self, now: Instant) -> f64 {
        FAILURE_PENALTY * self.failure_rate_at(now)
    }

    fn failure_rate_at(&self, now: Instant) -> f64 {
        let Some(updated_at) = self.updated_at else {
            return 0.0;
        };
        let age = now.saturating_duration_since(updated_at);
        self.failure_rate * 0.5_f64.powf(age.as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64())
    }

    fn record_result(&mut self, now: Instant, result: f64) {
        self.failure_rate += RESULT_WEIGHT * (result - self.failure_rate);
        self.updated_at = Some(now);
    }
}
