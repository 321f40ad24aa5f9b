//! The share of a service's retry budget that this process may spend.

use std::collections::VecDeque;

use crate::prelude::*;

/// The part of the common budget that is spent. The rest covers what a process that was restarted
/// has spent within the window and does not remember.
const SPENT_PART: f64 = 0.55;

/// The share of a service's retry budget that this process may spend: a ratio of the requests that
/// it took in, and an equal part of the common slack.
#[derive(Debug)]
pub struct RetryBudget {
    window: Duration,
    ratio: f64,
    slack: f64,
    started_at: Instant,
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl RetryBudget {
    /// Creates a budget of `ratio` retries a request and `slack` retries of all processes, in each
    /// window. The slack grows over the first window after the process's start, as the process
    /// before it may have spent its own.
    pub fn new(window: Duration, ratio: f64, slack: f64, started_at: Instant) -> Self {
        Self {
            window,
            ratio,
            slack,
            started_at,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Takes in bounds that may have changed.
    pub fn set_bounds(&mut self, window: Duration, ratio: f64, slack: f64) {
        self.window = window;
        self.ratio = ratio;
        self.slack = slack;
    }

    /// Counts a request of a caller.
    pub fn count_request(&mut self, now: Instant) {
        self.requests.push_back(now);
        Self::forget(&mut self.requests, now, self.window);
    }

    /// Draws one retry, where `n_processes` share the slack; returns whether it may be made.
    pub fn draw(&mut self, now: Instant, n_processes: usize) -> bool {
        Self::forget(&mut self.requests, now, self.window);
        Self::forget(&mut self.retries, now, self.window);
        let age = now.saturating_duration_since(self.started_at);
        let known = (age.as_secs_f64() / self.window.as_secs_f64()).min(1.0);
        let own_slack = known * self.slack / n_processes.max(1) as f64;
        let allowed = SPENT_PART * (self.ratio * self.requests.len() as f64 + own_slack);
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
