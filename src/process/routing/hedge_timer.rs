//! The delay after which a slow lookup is sent to a second target as well.

use hdrhistogram::Histogram;

use crate::prelude::*;

/// The quantile of lookup times that sets the delay of a hedge.
const HEDGE_QUANTILE: f64 = 0.95;
/// The maximum number of samples; once the newer half is full, the older half is dropped.
const MAX_SAMPLES: u64 = 4_096;
/// The number of samples required before lookups are hedged.
const MIN_SAMPLES: u64 = 50;
/// The upper bound of a recorded time, in microseconds.
const MAX_TIME_US: u64 = 60_000_000;

/// Histograms of the lookup times of one service, which set the delay of a hedge.
#[derive(Debug)]
pub struct HedgeTimer {
    current: Histogram<u32>,
    earlier: Option<Histogram<u32>>,
}

impl HedgeTimer {
    /// Creates a timer without samples.
    pub fn new() -> Self {
        Self {
            current: empty_histogram(),
            earlier: None,
        }
    }

    /// Records the time of a lookup that was answered.
    pub fn observe(&mut self, time: Duration) {
        let time_us = (time.as_micros() as u64).clamp(1, MAX_TIME_US);
        self.current.saturating_record(time_us);
        if MAX_SAMPLES / 2 <= self.current.len() {
            self.earlier = Some(std::mem::replace(&mut self.current, empty_histogram()));
        }
    }

    /// Returns the delay before a hedge; none until there are enough samples.
    pub fn delay(&self) -> Option<Duration> {
        let samples = match &self.earlier {
            Some(earlier) if self.current.len() < MIN_SAMPLES => earlier,
            _ => &self.current,
        };
        if samples.len() < MIN_SAMPLES {
            return None;
        }
        let time_us = samples.value_at_quantile(HEDGE_QUANTILE);
        Some(Duration::from_micros(time_us))
    }
}

impl Default for HedgeTimer {
    fn default() -> Self {
        Self::new()
    }
}

fn empty_histogram() -> Histogram<u32> {
    Histogram::new_with_bounds(1, MAX_TIME_US, 2).expect("constant bounds are valid")
}
