//! The number of requests that an agent lets its target run at a time.

use crate::prelude::*;

/// The step time over the goal, as a ratio, from which the limit goes down.
const SLOW_RATIO: f64 = 1.2;
/// What is kept of the limit when it goes down.
const DECREASE: f64 = 0.9;

/// A limit that grows by one while steps are on time and shrinks by a tenth when they are late.
#[derive(Clone, Copy, Debug)]
pub struct ConcurrencyLimit {
    limit: f64,
    slots: u32,
}

impl ConcurrencyLimit {
    /// Makes a limit that starts at the target's slots and never exceeds them.
    pub fn new(slots: u32) -> Self {
        Self {
            limit: f64::from(slots),
            slots,
        }
    }

    /// Returns the limit.
    pub fn get(&self) -> u32 {
        (self.limit as u32).clamp(1, self.slots)
    }

    /// Takes in a step time with `n_running` requests against its goal.
    pub fn observe(&mut self, step_time: Duration, goal: Duration, n_running: u32) {
        let is_late = goal.as_secs_f64() * SLOW_RATIO < step_time.as_secs_f64();
        let is_used = self.get() <= n_running + 1;
        if is_late {
            let from = self.limit.min(f64::from(n_running.max(1)));
            self.limit = (from * DECREASE).max(1.0);
            return;
        }
        if is_used {
            self.limit = (self.limit + 1.0).min(f64::from(self.slots));
        }
    }
}
