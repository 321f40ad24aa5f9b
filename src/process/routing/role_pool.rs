//! The eligible targets of one role, with statistics over them.

use crate::prelude::*;
use crate::version::config::TargetRole;

use super::target_state::TargetState;

/// How often the median and the means are recomputed.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// The eligible targets of one role, as indices in the target table, with their median step
/// time and mean load.
#[derive(Debug)]
pub(crate) struct RolePool {
    pub(crate) role: TargetRole,
    /// The targets in the own data centre.
    pub(crate) local: Vec<u32>,
    /// The targets in other data centres.
    pub(crate) remote: Vec<u32>,
    pub(crate) median_step_us: f32,
    pub(crate) mean: PoolMean,
    next_refresh_at: Timestamp,
}

/// Means over the eligible targets of a pool.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PoolMean {
    /// The mean number of reported requests at a target, running or waiting.
    pub(crate) load: f32,
    /// The mean number of own dispatches at a target that have not ended.
    pub(crate) n_own: f32,
}

impl RolePool {
    pub(crate) fn new(role: TargetRole) -> Self {
        Self {
            role,
            local: Vec::new(),
            remote: Vec::new(),
            median_step_us: 0.0,
            mean: PoolMean::default(),
            next_refresh_at: Timestamp::default(),
        }
    }

    pub(crate) fn list_mut(&mut self, is_local: bool) -> &mut Vec<u32> {
        match is_local {
            true => &mut self.local,
            false => &mut self.remote,
        }
    }

    /// Recomputes the median step time and the means, at most once per interval.
    pub(crate) fn refresh(&mut self, now: Timestamp, targets: &[TargetState]) {
        if now < self.next_refresh_at {
            return;
        }
        self.next_refresh_at = now + REFRESH_INTERVAL;
        self.mean = self.compute_mean(targets);
        let mut step_times: Vec<f32> = self
            .local
            .iter()
            .chain(&self.remote)
            .map(|&target_idx| targets[target_idx as usize].step_time_us)
            .filter(|&step_time| 0.0 < step_time)
            .collect();
        if step_times.is_empty() {
            return;
        }
        let middle_idx = step_times.len() / 2;
        let (_, median, _) = step_times.select_nth_unstable_by(middle_idx, f32::total_cmp);
        self.median_step_us = *median;
    }

    fn compute_mean(&self, targets: &[TargetState]) -> PoolMean {
        let n_targets = (self.local.len() + self.remote.len()).max(1) as f32;
        let mut mean = PoolMean::default();
        for &target_idx in self.local.iter().chain(&self.remote) {
            let target = &targets[target_idx as usize];
            mean.load += target
                .report
                .map_or(0, |report| report.running + report.waiting)
                as f32;
            mean.n_own += target.n_own as f32;
        }
        mean.load /= n_targets;
        mean.n_own /= n_targets;
        mean
    }
}
