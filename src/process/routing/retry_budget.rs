//! A budget that limits retries to a fraction of first tries.

use rand::{Rng, RngExt};

use crate::prelude::*;
use crate::version::config::RetryConfig;

use super::retry_decision::{RetryDecision, RetryQuery, TryFailure, WorkRepetition};
use super::route_decision::RefusalReason;

/// The maximum balance, in retries.
const MAX_BALANCE: f64 = 20.0;
/// The balance kept for lost tries, which may have run; refused callers can retry later instead.
const LOST_TRY_RESERVE: f64 = MAX_BALANCE / 2.0;
/// The longest delay before a retry.
const MAX_DELAY: Duration = Duration::from_secs(2);
/// A retry is not made with less time than this left before the deadline.
const MIN_TRY_TIME: Duration = Duration::from_millis(20);

/// A retry budget: a first try adds a fraction of a retry, each retry or hedge takes one.
///
/// In the lock order it comes after the target table.
#[derive(Debug)]
pub struct RetryBudget {
    balance: f64,
    retry_ratio: f64,
    max_tries: u32,
    base_delay: Duration,
}

impl RetryBudget {
    /// Creates a budget with a full balance.
    pub fn new(config: &RetryConfig) -> Self {
        Self {
            balance: MAX_BALANCE,
            retry_ratio: f64::from(config.budget_percent) / 100.0,
            max_tries: config.max_tries,
            base_delay: Duration::from_millis(config.base_delay_ms),
        }
    }

    /// Applies changed settings and keeps the balance.
    pub fn set_config(&mut self, config: &RetryConfig) {
        self.retry_ratio = f64::from(config.budget_percent) / 100.0;
        self.max_tries = config.max_tries;
        self.base_delay = Duration::from_millis(config.base_delay_ms);
    }

    /// Records a first try.
    pub fn first_try(&mut self) {
        self.balance = (self.balance + self.retry_ratio).min(MAX_BALANCE);
    }

    /// Decides whether to repeat a failed try, and takes the retry from the budget.
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
        let reserve = match query.failure {
            TryFailure::NotStarted => LOST_TRY_RESERVE,
            TryFailure::MayHaveRun => 0.0,
        };
        if !self.take(reserve) {
            return give_up(RefusalReason::RetryBudget);
        }
        RetryDecision::Retry { delay }
    }

    /// Takes a hedge of a lookup from the budget; returns false if that would use the reserve.
    pub fn take_hedge(&mut self) -> bool {
        self.take(LOST_TRY_RESERVE)
    }

    fn take(&mut self, reserve: f64) -> bool {
        if self.balance < reserve + 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }

    /// Returns a uniform random delay up to a bound that doubles with each try (full jitter).
    ///
    /// The first bound is twice the base delay, so that the mean delay starts at the base delay.
    fn jittered_delay(&self, n_tries: u32, rng: &mut impl Rng) -> Duration {
        let exponent = n_tries.saturating_sub(1).min(16);
        let bound = (self.base_delay * 2 * (1 << exponent)).min(MAX_DELAY);
        bound.mul_f64(rng.random::<f64>())
    }
}

fn give_up(reason: RefusalReason) -> RetryDecision {
    RetryDecision::GiveUp { reason }
}
