//! Measurement of the time of a group's passes.

use crate::prelude::*;

/// The minimum window over which the pass time is measured: a few passes.
const MIN_WINDOW: Duration = Duration::from_millis(300);

/// Measures the mean time of a group's passes from the number of passes begun.
#[derive(Debug, Default)]
pub struct PassClock {
    start: Option<(u64, Instant)>,
    pass_s: Option<f64>,
}

impl PassClock {
    /// Records `step`, the last pass that was begun, as of `now`.
    pub fn observe(&mut self, step: u64, now: Instant) {
        let Some((first, since)) = self.start else {
            self.start = Some((step, now));
            return;
        };
        let elapsed = now.saturating_duration_since(since);
        if elapsed < MIN_WINDOW {
            return;
        }
        let n_passes = step.saturating_sub(first);
        // A group without work runs no passes; its last pass time is still the best estimate.
        if 0 < n_passes {
            self.pass_s = Some(elapsed.as_secs_f64() / n_passes as f64);
        }
        self.start = Some((step, now));
    }

    /// Returns the mean time of a pass, in seconds; `None` until the first window is complete.
    pub fn pass_s(&self) -> Option<f64> {
        self.pass_s
    }
}
