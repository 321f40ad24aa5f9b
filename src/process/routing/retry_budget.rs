//! The budget that keeps retries to a share of first tries.

use rand::{Rng, RngExt};

use crate::prelude::*;
use crate::version::config::RetryConfig;

use super::retry_decision::{RetryDecision, RetryQuery, TryFailure, WorkRepetition};
use super::route_decision::RefusalReason;

/// The most retries that may be saved up.
const MAX_SAVED: f64 = 20.0;
/// What is kept of it for work that was lost: refused callers may as well come back later.
const RESERVED: f64 = MAX_SAVED / 2.0;
/// The longest delay before a retry.
const MAX_DELAY: Duration = Duration::from_secs(2);
/// The least time that a try is worth.
const MIN_TRY_TIME: Duration = Duration::from_millis(20);

/// A budget of retries: each first try adds a share of one, each retry or hedge takes one.
///
/// Its place in the lock order is after the target table.
#[derive(Debug)]
pub struct RetryBudget {
    saved: f64,
    share: f64,
    max_tries: u32,
    base_delay: Duration,
}

impl RetryBudget {
    /// Makes a budget, full at the start.
    pub fn new(config: &RetryConfig) -> Self {
        Self {
            saved: MAX_SAVED,
            share: f64::from(config.budget_percent) / 100.0,
            max_tries: config.max_tries,
            base_delay: Duration::from_millis(config.base_delay_ms),
        }
    }

    /// Takes over changed settings and keeps what is saved.
    pub fn set_config(&mut self, config: &RetryConfig) {
        self.share = f64::from(config.budget_percent) / 100.0;
        self.max_tries = config.max_tries;
        self.base_delay = Duration::from_millis(config.base_delay_ms);
    }

    /// Notes a first try.
    pub fn first_try(&mut self) {
        self.saved = (self.saved + self.share).min(MAX_SAVED);
    }

    /// Decides whether a failed try is repeated, and takes it from the budget.
    pub fn decide(
        &mut self,
        now: Timestamp,
        query: &RetryQuery,
        rng: &mut impl Rng,
    ) -> RetryDecision {
        let may_run_twice = query.repetition == WorkRepetition::AtMostOnce
            && query.failure == TryFailure::MayHaveRun;
        if may_run_twice {
            return RetryDecision::MayHaveRun;
        }
        if self.max_tries <= query.n_tries {
            return give_up(RefusalReason::AllTried);
        }
        let delay = self.jittered_delay(query.n_tries, rng);
        if query.deadline < now + delay + MIN_TRY_TIME {
            return give_up(RefusalReason::Deadline);
        }
        let reserved = match query.failure {
            TryFailure::NotStarted => RESERVED,
            TryFailure::MayHaveRun => 0.0,
        };
        if !self.take(reserved) {
            return give_up(RefusalReason::RetryBudget);
        }
        RetryDecision::Retry { delay }
    }

    /// Takes a hedged try of a lookup from the budget; false where it is spent.
    pub fn take_hedge(&mut self) -> bool {
        self.take(RESERVED)
    }

    fn take(&mut self, reserved: f64) -> bool {
        if self.saved < reserved + 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }

    /// A uniform delay between zero and a bound that doubles with each try.
    fn jittered_delay(&self, n_tries: u32, rng: &mut impl Rng) -> Duration {
        let doublings = n_tries.saturating_sub(1).min(16);
        let bound = (self.base_delay * 2 * (1 << doublings)).min(MAX_DELAY);
        bound.mul_f64(rng.random::<f64>())
    }
}

fn give_up(reason: RefusalReason) -> RetryDecision {
    RetryDecision::GiveUp { reason }
}
