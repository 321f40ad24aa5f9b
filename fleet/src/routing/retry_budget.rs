//! The share of a service's retry budget that this process may spend.

use std::collections::VecDeque;

use crate::prelude::*;

/// The part of the common budget that is spent. The rest covers what a process that was restarted
/// has spent within the window and does not remember.
const SPENT_PART: f64 = 0.55;

/// The bounds of the retry budget that all entries share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetSettings {
    /// The window in which retries are counted.
    pub window: Duration,
    /// The retries allowed for each request.
    pub ratio: f64,
    /// The retries allowed besides, for all entries together.
    pub slack: f64,
}

/// The share of a service's retry budget that this process may spend: a ratio of the requests that
/// it took in, and an equal part of the common slack.
#[derive(Debug)]
pub struct RetryBudget {
    started_at: Instant,
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl RetryBudget {
    /// Creates the budget of a process. Its slack grows over the first window after the process's
    /// start, as the process before it may have spent its own.
    pub fn new(started_at: Instant) -> Self {
        Self {
            started_at,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Counts a request of a caller.
    pub fn count_request(&mut self, settings: &BudgetSettings, now: Instant) {
        self.requests.push_back(now);
        Self::forget(&mut self.requests, now, settings.window);
    }

    /// Draws one retry, where `n_processes` share the slack; returns whether it may be made.
    pub fn draw(&mut self, settings: &BudgetSettings, now: Instant, n_processes: usize) -> bool {
        let BudgetSettings {
            window,
            ratio,
            slack,
        } = *settings;
        Self::forget(&mut self.requests, now, window);
        Self::forget(&mut self.retries, now, window);
        let age = now.saturating_duration_since(self.started_at);
        let known = (age.as_secs_f64() / window.as_secs_f64()).min(1.0);
        let own_slack = known * slack / n_processes.max(1) as f64;
        let allowed = SPENT_PART * (ratio * self.requests.len() as f64 + own_slack);
        let within = ((self.retries.len() + 1) as f64) <= allowed;
        if within {
            self.retries.push_back(now);
        }
        within
    }

    fn forget(times: &mut VecDeque<Instant>, now: Instant, window: Duration) {
        while times.front().is_some_and(|&at| at + window < now) {
            times.pop_front();
        }
    }
}
