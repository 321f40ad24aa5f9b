//! The limit on its requests that a target names in its answers.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// The age that a limit must have before an answer without one ends it: answers on different
/// connections may overtake each other.
const OVERTAKE_TIME: Duration = Duration::from_millis(250);

/// The difference from which a report of another entry is newer, as reports take time.
const CLOCK_ERROR: Duration = Duration::from_millis(20);

/// How often a change is reported at once, as datagrams may be lost.
const REPORTS_OF_CHANGE: u8 = 3;

/// The time between two later reports, for entries that restart or were cut off.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// How long the end of a limit is reported.
const ENDED_TTL: Duration = Duration::from_secs(10);

/// What an answer tells of its target's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitNotice {
    /// Nothing: there is no answer, or it is not the target's.
    Unknown,
    /// The target names no limit.
    Absent,
    /// The requests per second that the target takes from all entries together.
    Named(f32),
    /// The target names something that is no number, or none from 0 on.
    Malformed,
}

impl LimitNotice {
    /// Parses the value of the header that names a limit, in requests per second.
    pub fn parse(value: &[u8]) -> Self {
        let text = std::str::from_utf8(value).unwrap_or_default();
        match text.trim().parse::<f32>() {
            Ok(rate) if is_rate(rate) => Self::Named(rate),
            _ => Self::Malformed,
        }
    }
}

fn is_rate(rate: f32) -> bool {
    rate.is_finite() && 0.0 <= rate
}

/// What changed of a target's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// Nothing.
    Same,
    /// The target has a limit, or another one; in requests per second.
    Named(f32),
    /// The target has no limit any more.
    Ended,
    /// The target's answers name a limit that cannot be read.
    Malformed,
}

/// What an entry tells the others of a target's limit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// The hash of the target's id.
    pub target: u32,
    /// The requests per second; `None` where the limit has ended.
    pub rate: Option<f32>,
    /// The time since the answer that told so, in milliseconds.
    pub age_ms: u32,
}

/// The limit on its requests that a target names in its answers, as known to an entry.
///
/// It holds until an answer without one, or until the target starts anew.
#[derive(Clone, Debug, Default)]
pub(super) struct TargetLimit {
    rate: Option<f32>,
    /// When the last answer that had or ended a limit arrived, at any entry.
    told_at: Option<Instant>,
    is_malformed: bool,
    full_until: Option<Instant>,
    /// The number of reports since the last change, up to `REPORTS_OF_CHANGE`.
    n_reports: u8,
    reported_at: Option<Instant>,
}

impl TargetLimit {
    /// Returns the limit in force, in requests per second.
    pub(super) fn rate(&self) -> Option<f32> {
        self.rate
    }

    /// Records what an answer tells.
    pub(super) fn observe(&mut self, notice: LimitNotice, now: Instant) -> LimitChange {
        match notice {
            LimitNotice::Unknown => LimitChange::Same,
            LimitNotice::Malformed if self.is_malformed => LimitChange::Same,
            LimitNotice::Malformed => {
                self.is_malformed = true;
                LimitChange::Malformed
            }
            LimitNotice::Named(rate) => self.set(Some(rate), now),
            LimitNotice::Absent => {
                let is_old = self.told_at.is_some_and(|at| at + OVERTAKE_TIME <= now);
                match is_old {
                    true => self.set(None, now),
                    false => LimitChange::Same,
                }
            }
        }
    }

    /// Merges the report of another entry.
    pub(super) fn merge(&mut self, report: &LimitReport, now: Instant) -> LimitChange {
        let age = Duration::from_millis(report.age_ms.into());
        let Some(told_at) = now.checked_sub(age) else {
            return LimitChange::Same;
        };
        let is_old = self.told_at.is_some_and(|at| told_at < at + CLOCK_ERROR);
        let is_valid = report.rate.is_none_or(is_rate);
        if is_old || !is_valid {
            return LimitChange::Same;
        }
        self.set(report.rate, told_at)
    }

    fn set(&mut self, rate: Option<f32>, told_at: Instant) -> LimitChange {
        self.told_at = Some(told_at);
        self.is_malformed = false;
        if self.rate == rate {
            return LimitChange::Same;
        }
        self.rate = rate;
        self.full_until = None;
        self.n_reports = 0;
        rate.map_or(LimitChange::Ended, LimitChange::Named)
    }

    /// Records that the limit has no room for this entry until a time.
    pub(super) fn set_full(&mut self, until: Instant) {
        self.full_until = Some(until);
    }

    /// Returns until when the limit has no room for this entry.
    pub(super) fn full_until(&self, now: Instant) -> Option<Instant> {
        self.full_until.filter(|until| now < *until)
    }

    /// Returns the number of requests that the target may run at once, of the slots that it has,
    /// where each takes a given time.
    pub(super) fn usable_slots(&self, slots: u32, run_s: f64) -> u32 {
        let at_rate = self.rate.map(|rate| (f64::from(rate) * run_s).ceil());
        at_rate.map_or(slots, |at_rate| slots.min(at_rate as u32))
    }

    /// Returns a report for the other entries, where one is due.
    pub(super) fn take_report(&mut self, target: u32, now: Instant) -> Option<LimitReport> {
        let age = now.saturating_duration_since(self.told_at?);
        let is_changed = self.n_reports < REPORTS_OF_CHANGE;
        let is_reported = self.rate.is_some() || age < ENDED_TTL;
        let is_due = self
            .reported_at
            .is_none_or(|at| at + REPORT_INTERVAL <= now);
        let is_repeated = is_reported && is_due;
        if !is_changed && !is_repeated {
            return None;
        }
        self.n_reports = REPORTS_OF_CHANGE.min(self.n_reports + 1);
        self.reported_at = Some(now);
        Some(LimitReport {
            target,
            rate: self.rate,
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
        })
    }
}
