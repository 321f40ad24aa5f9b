//! What the results of requests say about a target.

use crate::prelude::*;

/// The weight of one result in the share of failures.
const RESULT_WEIGHT: f64 = 0.25;

/// The time in which the share of failures halves while nothing is sent.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);

/// The time without new requests after a connection that did not come about.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(600);

/// The queued requests that a target which fails everything is taken to be worse by.
const FAILURE_PENALTY: f64 = 24.0;

/// What the results of requests say about a target.
#[derive(Clone, Debug, Default)]
pub struct TargetHealth {
    failure_share: f64,
    updated_at: Option<Instant>,
    avoid_until: Option<Instant>,
}

impl TargetHealth {
    /// Takes in that a request was answered.
    pub fn record_success(&mut self, now: Instant) {
        self.blend(now, 0.0);
        self.avoid_until = None;
    }

    /// Takes in that a request failed by the target's fault.
    pub fn record_failure(&mut self, now: Instant) {
        self.blend(now, 1.0);
    }

    /// Takes in that no connection came about.
    pub fn record_unreachable(&mut self, now: Instant) {
        self.blend(now, 1.0);
        self.avoid_until = Some(now + UNREACHABLE_PAUSE);
    }

    /// Returns whether the target is to be left out while others are there.
    pub fn is_avoided(&self, now: Instant) -> bool {
        self.avoid_until.is_some_and(|until| now < until)
    }

    /// Returns by how many queued requests the target is taken to be worse than it reports.
    pub fn penalty(&self, now: Instant) -> f64 {
        FAILURE_PENALTY * self.share_at(now)
    }

    fn share_at(&self, now: Instant) -> f64 {
        let Some(updated_at) = self.updated_at else {
            return 0.0;
        };
        let age = now.saturating_duration_since(updated_at);
        self.failure_share * 0.5_f64.powf(age.as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64())
    }

    fn blend(&mut self, now: Instant, result: f64) {
        self.failure_share += RESULT_WEIGHT * (result - self.failure_share);
        self.updated_at = Some(now);
    }
}
