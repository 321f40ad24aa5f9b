//! The eligible targets of one role.

use crate::prelude::*;
use crate::version::config::TargetRole;

use super::target_state::TargetState;

/// How often the median step time is computed.
const MEDIAN_INTERVAL: Duration = Duration::from_secs(1);

/// The eligible targets of one role and what they have in common.
#[derive(Debug)]
pub(crate) struct RolePool {
    pub(crate) role: TargetRole,
    /// Those in the own data centre.
    pub(crate) near: Vec<u32>,
    /// Those in other data centres.
    pub(crate) far: Vec<u32>,
    pub(crate) median_step_us: f32,
    next_median_at: Timestamp,
}

impl RolePool {
    pub(crate) fn new(role: TargetRole) -> Self {
        Self {
            role,
            near: Vec::new(),
            far: Vec::new(),
            median_step_us: 0.0,
            next_median_at: Timestamp::default(),
        }
    }

    pub(crate) fn list_mut(&mut self, is_near: bool) -> &mut Vec<u32> {
        match is_near {
            true => &mut self.near,
            false => &mut self.far,
        }
    }

    /// Computes the median step time of the pool, once in an interval.
    pub(crate) fn refresh_median(&mut self, now: Timestamp, targets: &[TargetState]) {
        if now < self.next_median_at {
            return;
        }
        self.next_median_at = now + MEDIAN_INTERVAL;
        let mut step_times: Vec<f32> = self
            .near
            .iter()
            .chain(&self.far)
            .map(|&target_idx| targets[target_idx as usize].step_time_us)
            .filter(|&step_time| 0.0 < step_time)
            .collect();
        if step_times.is_empty() {
            return;
        }
        let middle = step_times.len() / 2;
        let (_, median, _) = step_times.select_nth_unstable_by(middle, f32::total_cmp);
        self.median_step_us = *median;
    }
}
