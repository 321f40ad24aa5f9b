//! Smoothed loads of experts and measured speeds of ranks.

use crate::prelude::*;

use super::expert_loads::ExpertLoads;
use super::load_report::{LoadReport, LoadSample};
use super::map_shape::MapShape;

/// The assumed rate of an expert without reports and the minimum rate of any expert, in tokens a
/// second.
const MIN_RATE: f32 = 1.0;

/// The minimum and maximum measured speed, relative to the mean of the group.
const RELATIVE_SPEED_BOUNDS: (f64, f64) = (0.1, 4.0);

/// Smoothed loads per layer and expert, from reports that may be late or missing.
///
/// Each replica's report estimates the total rate of its expert, since tokens are split evenly
/// among the replicas; if the reports of one rank are lost, the others still give an estimate.
/// Memory use is bounded by the dimensions of the map.
#[derive(Clone, Debug)]
pub struct PopularityTable {
    shape: MapShape,
    time_constant: Duration,
    rates: Vec<SmoothedRate>,
    ranks: Vec<RankHistory>,
}

#[derive(Clone, Copy, Debug, Default)]
struct SmoothedRate {
    tokens_per_s: f32,
    /// The weight of all samples so far, decayed like the rate; 0 before the first sample.
    weight: f32,
    until: Timestamp,
}

#[derive(Clone, Copy, Debug, Default)]
struct RankHistory {
    until: Option<Timestamp>,
    tokens_per_busy_s: Option<f64>,
}

impl PopularityTable {
    /// Creates an empty table; samples decay by a factor of e per time constant.
    pub fn new(shape: MapShape, time_constant: Duration) -> Self {
        let n_rates = usize::from(shape.layers) * usize::from(shape.experts);
        Self {
            shape,
            time_constant,
            rates: vec![SmoothedRate::default(); n_rates],
            ranks: vec![RankHistory::default(); usize::from(shape.ranks)],
        }
    }

    /// Adds a report; ignores stale and duplicate ones.
    pub fn on_report(&mut self, report: &LoadReport) {
        let Some(rank) = self.ranks.get_mut(usize::from(report.rank)) else {
            return;
        };
        let stale = rank.until.is_some_and(|until| report.until <= until);
        if stale || report.interval_ms == 0 {
            return;
        }
        rank.until = Some(report.until);
        self.smooth_speed(report);
        for sample in &report.samples {
            self.smooth_sample(report, sample);
        }
    }

    /// Returns the smoothed loads; an expert that was never reported counts as nearly idle.
    pub fn loads(&self) -> ExpertLoads {
        let rates = self.rates.iter().map(SmoothedRate::value).collect();
        ExpertLoads::new(self.shape.experts, rates)
    }

    /// Returns the measured speed of each rank relative to the mean, or 1.0 if unknown.
    pub fn speeds(&self) -> Vec<f64> {
        let known = self.ranks.iter().filter_map(|rank| rank.tokens_per_busy_s);
        let n_known = known.clone().count();
        if n_known == 0 {
            return vec![1.0; self.ranks.len()];
        }
        let mean = known.sum::<f64>() / n_known as f64;
        let (low, high) = RELATIVE_SPEED_BOUNDS;
        let relative = |speed: f64| (speed / mean).clamp(low, high);
        self.ranks
            .iter()
            .map(|rank| rank.tokens_per_busy_s.map_or(1.0, relative))
            .collect()
    }

    /// Returns the largest time since the newest report of any rank, or `None` until every rank
    /// has reported.
    pub fn staleness(&self, now: Timestamp) -> Option<Duration> {
        let ages = self
            .ranks
            .iter()
            .map(|rank| rank.until.map(|until| now.since(until)));
        ages.collect::<Option<Vec<_>>>()?.into_iter().max()
    }

    fn smooth_speed(&mut self, report: &LoadReport) {
        if report.busy_ms == 0 {
            return;
        }
        let tokens: u64 = report
            .samples
            .iter()
            .map(|sample| u64::from(sample.tokens))
            .sum();
        let measured = tokens as f64 * 1_000.0 / f64::from(report.busy_ms);
        let decay = self.decay_factor(Duration::from_millis(u64::from(report.interval_ms)));
        let speed = &mut self.ranks[usize::from(report.rank)].tokens_per_busy_s;
        *speed = Some(speed.map_or(measured, |old| old * decay + measured * (1.0 - decay)));
    }

    fn smooth_sample(&mut self, report: &LoadReport, sample: &LoadSample) {
        if self.shape.layers <= sample.layer || self.shape.experts <= sample.expert {
            return;
        }
        let experts = usize::from(self.shape.experts);
        let idx = usize::from(sample.layer) * experts + usize::from(sample.expert);
        let interval_s = report.interval_ms as f32 / 1_000.0;
        let replicas = f32::from(sample.replicas.max(1));
        let measured = sample.tokens as f32 * replicas / interval_s;
        let age = report.until.since(self.rates[idx].until);
        let decay = self.decay_factor(age) as f32;
        let added = (interval_s / replicas / self.time_constant.as_secs_f32()).min(1.0);
        let rate = &mut self.rates[idx];
        let weight = rate.weight * decay + added;
        rate.tokens_per_s += (measured - rate.tokens_per_s) * added / weight;
        rate.weight = weight;
        rate.until = rate.until.max(report.until);
    }

    /// Returns the factor by which a sample of this age has decayed.
    fn decay_factor(&self, age: Duration) -> f64 {
        (-age.as_secs_f64() / self.time_constant.as_secs_f64()).exp()
    }
}

impl SmoothedRate {
    fn value(&self) -> f32 {
        if self.weight <= 0.0 {
            MIN_RATE
        } else {
            self.tokens_per_s.max(MIN_RATE)
        }
    }
}
