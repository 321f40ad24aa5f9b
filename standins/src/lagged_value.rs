//! A value that readers see late.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// A value of which readers see the state of some time ago.
#[derive(Debug)]
pub(crate) struct LaggedValue<T> {
    /// How far readers are behind.
    pub(crate) lag: Duration,
    states: VecDeque<(Instant, T)>,
}

const KEPT: Duration = Duration::from_secs(60);

impl<T: Clone> LaggedValue<T> {
    /// Creates a value that has always been `value`.
    pub(crate) fn new(value: T, lag: Duration) -> Self {
        let states = VecDeque::from([(Instant::now(), value)]);
        Self { lag, states }
    }

    /// Sets the value as of now.
    pub(crate) fn set(&mut self, value: T) {
        let now = Instant::now();
        while 1 < self.states.len() && KEPT < now.duration_since(self.states[1].0) {
            self.states.pop_front();
        }
        self.states.push_back((now, value));
    }

    /// Returns the value as of now.
    pub(crate) fn latest(&self) -> T {
        self.states[self.states.len() - 1].1.clone()
    }

    /// Returns the value as of `lag` ago.
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
