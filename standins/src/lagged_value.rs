//! A value whose updates readers see after a delay.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// A value whose updates become visible to readers after a delay.
#[derive(Debug)]
pub(crate) struct LaggedValue<T> {
    /// The delay before an update is visible.
    pub(crate) lag: Duration,
    states: VecDeque<(Instant, T)>,
}

/// How long old values are kept, which limits the effective delay.
const HISTORY_DURATION: Duration = Duration::from_secs(60);

impl<T: Clone> LaggedValue<T> {
    /// Creates a value that has always been `value`.
    pub(crate) fn new(value: T, lag: Duration) -> Self {
        let states = VecDeque::from([(Instant::now(), value)]);
        Self { lag, states }
    }

    /// Sets the latest value.
    pub(crate) fn set(&mut self, value: T) {
        let now = Instant::now();
        while 1 < self.states.len() && HISTORY_DURATION < now.duration_since(self.states[1].0) {
            self.states.pop_front();
        }
        self.states.push_back((now, value));
    }

    /// Returns the latest value.
    pub(crate) fn latest(&self) -> T {
        self.states[self.states.len() - 1].1.clone()
    }

    /// Returns the value as it was `lag` ago.
    pub(crate) fn visible(&self) -> T {
        let now = Instant::now();
        let state = self
            .states
            .iter()
            .rev()
            .find(|(at, _)| self.lag <= now.duration_since(*at))
            .unwrap_or(&self.states[0]);
        state.1.clone()
    }
}
