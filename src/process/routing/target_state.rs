//! The load estimate and health of one target, as an entry VM knows it.

use derive_more::Display;

use crate::prelude::*;

use super::load_report::LoadReport;
use super::role_pool::PoolMean;

/// The weight of a new step time in the exponential moving average.
const STEP_TIME_WEIGHT: f32 = 0.3;
/// A target is slow when its step time exceeds this multiple of the pool's median.
const SLOW_RATIO: f32 = 1.5;
/// The upper bound of the slowness factor.
const MAX_SLOWNESS: f32 = 10.0;
/// The score penalty of a slow target per unit of slowness above 1, as a share of its limit.
const SLOWNESS_PENALTY: f32 = 0.5;
/// The lower bound of the mean service time by which the age of a report is divided, in seconds.
const MIN_SERVICE_TIME_S: f32 = 0.001;
/// The lower bound of the mean number of own dispatches per target, as a divisor.
const MIN_MEAN_DISPATCHES: f32 = 0.5;
/// The number of consecutive failures after which a target is ejected for a while.
const FAILURES_TO_EJECT: u32 = 3;
/// The duration of the first ejection; it doubles with each further failure.
const MIN_EJECTION: Duration = Duration::from_secs(1);
/// The maximum duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(30);

/// Whether a target may take new work, according to membership.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum TargetEligibility {
    /// It may take new work.
    #[display("eligible")]
    Eligible,
    /// It is leaving and takes no new work.
    #[display("leaving")]
    Leaving,
    /// It is down or unknown.
    #[display("down")]
    Down,
}

/// The load estimate and the health of one target.
#[derive(Debug)]
pub(crate) struct TargetState {
    pub(crate) name: TargetName,
    pub(crate) pool_idx: u32,
    pub(crate) slots: u32,
    pub(crate) is_local: bool,
    pub(crate) eligibility: TargetEligibility,
    /// The index in the pool's list of eligible targets.
    pub(crate) pool_list_idx: u32,
    pub(crate) cache_epoch: u32,
    pub(crate) report: Option<LoadReport>,
    /// The number of own dispatches that the agent has not confirmed.
    unconfirmed: u32,
    /// Own confirmed starts (+1) and ends (-1) that the last report does not include yet, with
    /// the sequence number of the agent's last report before each.
    changes: SmallVec<[LoadChange; 4]>,
    pub(crate) step_time_us: f32,
    slowness: f32,
    /// The number of own dispatches that have not ended.
    pub(crate) n_own: u32,
    /// The number of consecutive failures.
    failures: u32,
    pub(crate) ejected_until: Timestamp,
}

#[derive(Clone, Copy, Debug)]
struct LoadChange {
    sequence: u64,
    delta: i32,
}

impl TargetState {
    pub(crate) fn new(name: TargetName, pool_idx: u32, slots: u32, is_local: bool) -> Self {
        Self {
            name,
            pool_idx,
            slots: slots.max(1),
            is_local,
            eligibility: TargetEligibility::Down,
            pool_list_idx: u32::MAX,
            cache_epoch: 0,
            report: None,
            unconfirmed: 0,
            changes: SmallVec::new(),
            step_time_us: 0.0,
            slowness: 1.0,
            n_own: 0,
            failures: 0,
            ejected_until: Timestamp::default(),
        }
    }

    /// Stores a report; returns false for one that is not newer than the last.
    pub(crate) fn observe_report(&mut self, report: &LoadReport) -> bool {
        if let Some(last) = &self.report {
            if (report.incarnation, report.sequence) <= (last.incarnation, last.sequence) {
                return false;
            }
            if last.incarnation < report.incarnation {
                self.reset();
            }
        }
        self.changes
            .retain(|change| report.sequence <= change.sequence);
        if report.step_time_us != 0 {
            let step_time = report.step_time_us as f32;
            self.step_time_us = match self.step_time_us {
                0.0 => step_time,
                mean => mean + STEP_TIME_WEIGHT * (step_time - mean),
            };
        }
        self.report = Some(*report);
        true
    }

    /// Sets the slowness by comparison with the median step time of the pool.
    pub(crate) fn compare_step_time(&mut self, median_us: f32) {
        let ratio = if median_us <= 0.0 {
            1.0
        } else {
            self.step_time_us / median_us
        };
        self.slowness = if SLOW_RATIO < ratio {
            ratio.min(MAX_SLOWNESS)
        } else {
            1.0
        };
    }

    pub(crate) fn is_slow(&self) -> bool {
        1.0 < self.slowness
    }

    pub(crate) fn started(&mut self) {
        self.n_own += 1;
        self.unconfirmed += 1;
    }

    pub(crate) fn confirmed(&mut self, sequence: u64) {
        self.unconfirmed = self.unconfirmed.saturating_sub(1);
        self.push_change(LoadChange { sequence, delta: 1 });
    }

    pub(crate) fn ended_unconfirmed(&mut self) {
        self.n_own -= 1;
        self.unconfirmed = self.unconfirmed.saturating_sub(1);
    }

    pub(crate) fn ended_confirmed(&mut self, sequence: u64) {
        self.n_own -= 1;
        self.push_change(LoadChange {
            sequence,
            delta: -1,
        });
    }

    pub(crate) fn succeeded(&mut self) {
        self.failures = 0;
        self.ejected_until = Timestamp::default();
    }

    pub(crate) fn failed(&mut self, now: Timestamp) {
        self.failures += 1;
        if self.failures < FAILURES_TO_EJECT {
            return;
        }
        let exponent = (self.failures - FAILURES_TO_EJECT).min(5);
        let ejection = (MIN_EJECTION * (1 << exponent)).min(MAX_EJECTION);
        self.ejected_until = now + ejection;
    }

    /// Returns the number of requests that the target should run concurrently at most.
    pub(crate) fn limit(&self) -> f32 {
        let limit = self.report.map_or(self.slots, |report| report.limit);
        limit.clamp(1, self.slots) as f32
    }

    /// Estimates the number of requests at the target from the last report and own changes.
    ///
    /// Only the part of the reported difference from the pool's mean counts that exceeds the
    /// expected arrivals after the report: all entries see the same old report, and together
    /// they would overload a target that was idle. As the report ages, the relative excess of
    /// this entry's own dispatches at the target over its mean per target counts instead.
    pub(crate) fn load(&self, now: Timestamp, mean: &PoolMean) -> f32 {
        let changed: i32 = self.changes.iter().map(|change| change.delta).sum();
        let changed = (changed + self.unconfirmed as i32) as f32;
        let Some(report) = &self.report else {
            return changed.max(0.0);
        };
        let reported = (report.running + report.waiting) as f32;
        let age_s = now.since(report.made_at).as_secs_f32();
        let turnover = age_s / report.service_time.mean_s.max(MIN_SERVICE_TIME_S);
        let expected_arrivals = turnover * mean.load;
        let difference = reported - mean.load;
        let trusted_difference =
            difference.signum() * (difference.abs() - expected_arrivals).max(0.0);
        let staleness = turnover.min(1.0);
        let excess = self.n_own as f32 / mean.n_own.max(MIN_MEAN_DISPATCHES) - 1.0;
        (mean.load + trusted_difference + staleness * excess * mean.load + changed).max(0.0)
    }

    /// Returns the load with one more request, as a share of the limit.
    pub(crate) fn next_load(&self, now: Timestamp, mean: &PoolMean) -> f32 {
        (self.load(now, mean) + 1.0) / self.limit()
    }

    /// Returns the score for choosing among targets: the next load, increased for a slow target.
    pub(crate) fn score(&self, now: Timestamp, mean: &PoolMean) -> f32 {
        self.next_load(now, mean) * self.slowness + SLOWNESS_PENALTY * (self.slowness - 1.0)
    }

    /// Returns the time within which most requests of `cost` end; zero if a slot is free.
    ///
    /// A free slot is used whatever the estimate is: after a stall the estimate may exceed
    /// every deadline, and would otherwise refuse the requests that could correct it.
    pub(crate) fn expected_time(&self, now: Timestamp, mean: &PoolMean, cost: u64) -> Duration {
        let Some(report) = &self.report else {
            return Duration::ZERO;
        };
        let n_ahead = self.load(now, mean) + 1.0 - self.limit();
        if n_ahead <= 0.0 {
            return Duration::ZERO;
        }
        report.service_time.expected_wait(n_ahead, self.limit())
            + report.service_time.estimate_for_cost(cost)
    }

    /// Discards the state of an earlier incarnation of the agent.
    fn reset(&mut self) {
        self.changes.clear();
        self.unconfirmed = 0;
        self.cache_epoch += 1;
        self.step_time_us = 0.0;
        self.slowness = 1.0;
    }

    fn push_change(&mut self, change: LoadChange) {
        let reported = self.report.map_or(0, |report| report.sequence);
        if reported <= change.sequence {
            self.changes.push(change);
        }
    }
}
