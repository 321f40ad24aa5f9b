//! How long requests hold a slot.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// The weight of a new sample in the moving means.
const SAMPLE_WEIGHT: f32 = 0.02;
/// The mean deviations over the mean within which most requests end.
const MOST_DEVIATIONS: f32 = 2.0;

/// Moving means of the time that requests hold a slot, and of their estimated cost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct ServiceTime {
    /// The mean time, in seconds; zero before the first sample.
    #[serde(rename = "m")]
    pub mean_s: f32,
    /// The mean deviation from the mean time, in seconds.
    #[serde(rename = "d")]
    pub deviation_s: f32,
    /// The mean estimated cost, in tokens or calls.
    #[serde(rename = "c")]
    pub mean_cost: f32,
}

impl ServiceTime {
    /// Takes in the time that a request of the estimated `cost` held a slot.
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

    /// Returns the time within which most requests of `cost` end.
    pub fn of_cost(&self, cost: u64) -> Duration {
        if self.mean_cost <= 0.0 {
            return Duration::ZERO;
        }
        let most_s = self.mean_s + MOST_DEVIATIONS * self.deviation_s;
        Duration::from_secs_f32(most_s * cost as f32 / self.mean_cost)
    }

    /// Returns the expected wait behind `n_ahead` requests where `limit` run at a time.
    pub fn of_wait(&self, n_ahead: f32, limit: f32) -> Duration {
        Duration::from_secs_f32(self.mean_s * n_ahead / limit)
    }
}
