//! This process's share of a service's retry budget.

use std::collections::VecDeque;

use crate::prelude::*;

/// The fraction of the shared budget that is spent. The rest covers retries that a restarted
/// process made earlier in the window and no longer knows of.
const SPENDABLE_RATIO: f64 = 0.55;

/// Bounds of the retry budget that all entries share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetSettings {
    /// The sliding window over which requests and retries are counted.
    pub window: Duration,
    /// The retries allowed per request.
    pub ratio: f64,
    /// The retries allowed per window in addition, for all entries together.
    pub slack: f64,
}

/// This process's share of a service's retry budget: a ratio of the requests that it received, plus
/// an equal share of the slack.
#[derive(Debug)]
pub struct RetryBudget {
    started_at: Instant,
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl RetryBudget {
    /// Creates the budget of a process. Its slack grows linearly over the first window, as the
    /// process's predecessor may have just spent its own.
    pub fn new(started_at: Instant) -> Self {
        Self {
            started_at,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Counts a caller's request.
    pub fn count_request(&mut self, settings: &BudgetSettings, now: Instant) {
        self.requests.push_back(now);
        Self::drop_expired(&mut self.requests, now, settings.window);
    }

    /// Takes one retry from the budget, where `n_processes` share the slack; returns whether the
    /// retry is allowed.
    pub fn draw(&mut self, settings: &BudgetSettings, now: Instant, n_processes: usize) -> bool {
        let BudgetSettings {
            window,
            ratio,
            slack,
        } = *settings;
        Self::drop_expired(&mut self.requests, now, window);
        Self::drop_expired(&mut self.retries, now, window);
        let age = now.saturating_duration_since(self.started_at);
        let known_ratio = (age.as_secs_f64() / window.as_secs_f64()).min(1.0);
        let own_slack = known_ratio * slack / n_processes.max(1) as f64;
        let allowed = SPENDABLE_RATIO * (ratio * self.requests.len() as f64 + own_slack);
        let is_allowed = ((self.retries.len() + 1) as f64) <= allowed;
        if is_allowed {
            self.retries.push_back(now);
        }
        is_allowed
    }

    fn drop_expired(times: &mut VecDeque<Instant>, now: Instant, window: Duration) {
        while times.front().is_some_and(|&at| at + window < now) {
            times.pop_front();
        }
    }
}
