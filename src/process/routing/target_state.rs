//! What an entry VM knows of one target.

use derive_more::Display;

use crate::prelude::*;

use super::load_report::LoadReport;
use super::role_pool::PoolMean;

/// The weight of a new step time in the moving mean.
const STEP_TIME_WEIGHT: f32 = 0.3;
/// A target counts as slow when its step time is over this multiple of the median.
const SLOW_RATIO: f32 = 1.5;
/// The upper bound of the slowness factor.
const MAX_SLOWNESS: f32 = 10.0;
/// The extra load, per unit of slowness, that others take before a slow target is chosen.
const SLOW_PENALTY: f32 = 0.5;
/// The shortest service time that the age of a report is compared with, in seconds.
const MIN_SERVICE_S: f32 = 0.001;
/// The least mean of own dispatches at a target that own dispatches are compared with.
const MIN_MEAN_OWN: f32 = 0.5;
/// The failures in a row after which a target is left out for a while.
const EJECT_FAILURES: u32 = 3;
/// The first time for which a failing target is left out.
const EJECT_BASE: Duration = Duration::from_secs(1);
/// The longest time for which a failing target is left out.
const EJECT_MAX: Duration = Duration::from_secs(30);

/// Whether membership lets a target take new work.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum TargetEligibility {
    /// It may take new work.
    #[display("eligible")]
    Eligible,
    /// It is leaving: it takes no new work.
    #[display("leaving")]
    Leaving,
    /// It is down or not known.
    #[display("down")]
    Down,
}

/// The load estimate and the health of one target.
#[derive(Debug)]
pub(crate) struct TargetState {
    pub(crate) name: TargetName,
    pub(crate) pool_idx: u32,
    pub(crate) slots: u32,
    pub(crate) is_near: bool,
    pub(crate) eligibility: TargetEligibility,
    /// The place in the pool's list of eligible targets.
    pub(crate) pool_pos: u32,
    pub(crate) cache_epoch: u32,
    pub(crate) report: Option<LoadReport>,
    /// Own dispatches that the agent has not confirmed.
    unconfirmed: u32,
    /// Own starts (+1) and ends (-1) with the agent's last report before each.
    changes: SmallVec<[LoadChange; 4]>,
    pub(crate) step_time_us: f32,
    slowness: f32,
    /// Own dispatches that have not ended.
    pub(crate) n_own: u32,
    failures: u32,
    pub(crate) ejected_until: Timestamp,
}

#[derive(Clone, Copy, Debug)]
struct LoadChange {
    sequence: u64,
    delta: i32,
}

impl TargetState {
    pub(crate) fn new(name: TargetName, pool_idx: u32, slots: u32, is_near: bool) -> Self {
        Self {
            name,
            pool_idx,
            slots: slots.max(1),
            is_near,
            eligibility: TargetEligibility::Down,
            pool_pos: u32::MAX,
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

    /// Takes in a report; returns false for one that is not newer than the last.
    pub(crate) fn observe_report(&mut self, report: &LoadReport) -> bool {
        if let Some(last) = &self.report {
            if (report.incarnation, report.sequence) <= (last.incarnation, last.sequence) {
                return false;
            }
            if last.incarnation < report.incarnation {
                self.restart();
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

    /// Sets the slowness from the median step time of the pool.
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
        if self.failures < EJECT_FAILURES {
            return;
        }
        let doublings = (self.failures - EJECT_FAILURES).min(5);
        let pause = (EJECT_BASE * (1 << doublings)).min(EJECT_MAX);
        self.ejected_until = now + pause;
    }

    /// The most requests that the target should run at a time.
    pub(crate) fn limit(&self) -> f32 {
        let limit = self.report.map_or(self.slots, |report| report.limit);
        limit.clamp(1, self.slots) as f32
    }

    /// The estimated requests at the target: the last report and what changed since.
    ///
    /// Of the reported difference to the pool's mean only that part counts which is over
    /// what arrived since the report: all entries see the same old report, and would send
    /// more to a target that was idle than it takes to level it. In its place counts what
    /// this entry itself sent to the target over its mean.
    pub(crate) fn load(&self, now: Timestamp, mean: &PoolMean) -> f32 {
        let since: i32 = self.changes.iter().map(|change| change.delta).sum();
        let since = (since + self.unconfirmed as i32) as f32;
        let Some(report) = &self.report else {
            return since.max(0.0);
        };
        let reported = (report.running + report.waiting) as f32;
        let age_s = now.since(report.made_at).as_secs_f32();
        let turnover = age_s / report.service_time.mean_s.max(MIN_SERVICE_S);
        let arrived = turnover * mean.load;
        let difference = reported - mean.load;
        let counted = difference.signum() * (difference.abs() - arrived).max(0.0);
        let doubt = turnover.min(1.0);
        let sent = self.n_own as f32 / mean.n_own.max(MIN_MEAN_OWN) - 1.0;
        (mean.load + counted + doubt * sent * mean.load + since).max(0.0)
    }

    /// The load with one more request as a share of the limit.
    pub(crate) fn next_load(&self, now: Timestamp, mean: &PoolMean) -> f32 {
        (self.load(now, mean) + 1.0) / self.limit()
    }

    /// What a choice compares: the next load, raised for a slow target.
    pub(crate) fn score(&self, now: Timestamp, mean: &PoolMean) -> f32 {
        self.next_load(now, mean) * self.slowness + SLOW_PENALTY * (self.slowness - 1.0)
    }

    /// The time within which a request of `cost` probably ends; zero where a slot is free.
    ///
    /// A free slot is used whatever the estimate says: else an estimate that a stall drove
    /// over every deadline would keep out the requests that could correct it.
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

    /// A new incarnation of the agent: what was known of the earlier one is void.
    fn restart(&mut self) {
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
