//! The adaptive limit of requests that an agent lets its target run concurrently.

use crate::prelude::*;

/// A step is late when its time exceeds the goal by this factor.
const LATE_RATIO: f64 = 1.2;
/// The factor by which a late step reduces the limit.
const DECREASE_FACTOR: f64 = 0.9;

/// An additive-increase, multiplicative-decrease limit, driven by step times.
///
/// A step on time raises it by one while at most one more request could run. A late step sets it
/// to nine tenths of itself or, if that is less, of the number of running requests.
#[derive(Clone, Copy, Debug)]
pub struct ConcurrencyLimit {
    limit: f64,
    slots: u32,
}

impl ConcurrencyLimit {
    /// Creates a limit that starts at the number of slots and never exceeds it.
    pub fn new(slots: u32) -> Self {
        Self {
            limit: f64::from(slots),
            slots,
        }
    }

    /// Returns the limit, from 1 to the number of slots.
    pub fn get(&self) -> u32 {
        (self.limit as u32).clamp(1, self.slots)
    }

    /// Adapts the limit to a step time measured with `n_running` requests.
    pub fn observe(&mut self, step_time: Duration, goal: Duration, n_running: u32) {
        let is_late = goal.as_secs_f64() * LATE_RATIO < step_time.as_secs_f64();
        let is_reached = self.get() <= n_running + 1;
        if is_late {
            let base_limit = self.limit.min(f64::from(n_running.max(1)));
            self.limit = (base_limit * DECREASE_FACTOR).max(1.0);
            return;
        }
        if is_reached {
            self.limit = (self.limit + 1.0).min(f64::from(self.slots));
        }
    }
}
