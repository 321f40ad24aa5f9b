//! The time that requests hold a slot.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// The weight of a new sample in the exponential moving averages.
const SAMPLE_WEIGHT: f32 = 0.02;
/// Most requests end within this many mean deviations above the mean.
const DEVIATIONS_ABOVE_MEAN: f32 = 2.0;

/// Exponential moving averages of the time that requests hold a slot and of their estimated cost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct ServiceTime {
    /// The mean time, in seconds; zero before the first sample.
    #[serde(rename = "m")]
    pub mean_s: f32,
    /// The mean absolute deviation from the mean time, in seconds.
    #[serde(rename = "d")]
    pub deviation_s: f32,
    /// The mean estimated cost, in tokens or calls.
    #[serde(rename = "c")]
    pub mean_cost: f32,
}

impl ServiceTime {
    /// Adds the time that a request of the estimated `cost` held a slot.
    pub fn observe(&mut self, time: Duration, cost: u64) {
        let time_s = time.as_secs_f32();
        let cost = cost.max(1) as f32;
        if self.mean_s == 0.0 {
            self.mean_s = time_s;
            self.mean_cost = cost;
            return;
        }
        let deviation_s = (time_s - self.mean_s).abs();
        self.deviation_s += SAMPLE_WEIGHT * (deviation_s - self.deviation_s);
        self.mean_s += SAMPLE_WEIGHT * (time_s - self.mean_s);
        self.mean_cost += SAMPLE_WEIGHT * (cost - self.mean_cost);
    }

    /// Returns the time within which most requests of `cost` end; zero before the first sample.
    pub fn estimate_for_cost(&self, cost: u64) -> Duration {
        if self.mean_cost <= 0.0 {
            return Duration::ZERO;
        }
        let bound_s = self.mean_s + DEVIATIONS_ABOVE_MEAN * self.deviation_s;
        Duration::from_secs_f32(bound_s * cost as f32 / self.mean_cost)
    }

    /// Returns the expected wait behind `n_ahead` requests when `limit` run concurrently.
    pub fn expected_wait(&self, n_ahead: f32, limit: f32) -> Duration {
        Duration::from_secs_f32(self.mean_s * n_ahead / limit)
    }
}
