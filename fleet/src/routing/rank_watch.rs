//! What the agents beside the ranks of a group that does not serve report of it.

use std::collections::HashMap;
use std::net::IpAddr;

use crate::prelude::*;

/// The number of agents that one round of queries goes to.
pub const ASKED_PER_ROUND: usize = 6;

/// The time between two rounds of queries.
pub const ROUND_PERIOD: Duration = Duration::from_millis(100);

/// How many cycles of queries a rank's last report counts for; one may be lost or late.
const FRESH_CYCLES: u32 = 2;

/// How many times its stated time a group may take to form before the forecast is dropped.
const FORM_TIME_RATIO: f64 = 1.5;

/// The part of a rank's report that tells whether its group serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RankStatus {
    /// Whether the group is formed and runs passes.
    pub open: bool,
    /// The epoch of the group.
    pub epoch: u64,
    /// The number of ranks.
    pub size: u16,
}

/// What is known of a group that does not serve, from the agents beside its ranks.
///
/// A group forms again once all its ranks are back. The reports tell when they are, and when the
/// group has formed.
#[derive(Debug)]
pub struct RankWatch {
    began_at: Instant,
    last_asked: usize,
    reports: HashMap<IpAddr, Instant>,
    /// The epoch that ranks reported as broken.
    broken_epoch: Option<u64>,
    reported_at: Option<Instant>,
    size: u16,
    has_missed_ranks: bool,
    complete_since: Option<Instant>,
}

impl RankWatch {
    /// Begins to watch a group.
    pub fn new(now: Instant) -> Self {
        Self {
            began_at: now,
            last_asked: 0,
            reports: HashMap::new(),
            broken_epoch: None,
            reported_at: None,
            size: 0,
            has_missed_ranks: false,
            complete_since: None,
        }
    }

    /// Returns the ranks to ask in the next round, in turn.
    pub fn next_asked(&mut self, ranks: &[IpAddr]) -> SmallVec<[IpAddr; ASKED_PER_ROUND]> {
        let first = self.last_asked;
        let n_asked = ranks.len().min(ASKED_PER_ROUND);
        self.last_asked = first.wrapping_add(n_asked);
        (0..n_asked)
            .map(|idx| ranks[first.wrapping_add(idx) % ranks.len()])
            .collect()
    }

    /// Records the report of a rank; returns whether it shows that the group has formed again.
    pub fn record(&mut self, rank: IpAddr, status: RankStatus, now: Instant) -> bool {
        self.size = status.size;
        if status.open {
            // Ranks that wait for a lost one still report the old epoch as open.
            return self.broken_epoch.is_some_and(|epoch| epoch < status.epoch);
        }
        self.broken_epoch = self.broken_epoch.max(Some(status.epoch));
        self.reported_at = Some(now);
        self.reports.insert(rank, now);
        self.update(now);
        false
    }

    /// Returns whether some rank has recently reported the group as broken.
    pub fn is_reported_broken(&self, now: Instant) -> bool {
        let max_age = ROUND_PERIOD * 4;
        self.reported_at.is_some_and(|at| now < at + max_age)
    }

    /// Returns until when the group is expected to form, where ranks were missing and all are back.
    pub fn forms_until(&self, form_time: Duration, now: Instant) -> Option<Instant> {
        let until = self.complete_since? + form_time.mul_f64(FORM_TIME_RATIO);
        (now < until && self.has_all_ranks(now)).then_some(until)
    }

    fn update(&mut self, now: Instant) {
        if self.has_all_ranks(now) {
            if self.has_missed_ranks && self.complete_since.is_none() {
                self.complete_since = Some(now);
            }
            return;
        }
        if self.began_at + self.max_age() <= now {
            self.has_missed_ranks = true;
            self.complete_since = None;
        }
    }

    fn has_all_ranks(&self, now: Instant) -> bool {
        let max_age = self.max_age();
        let fresh = self.reports.values().filter(|at| now < **at + max_age);
        0 < self.size && usize::from(self.size) <= fresh.count()
    }

    /// Returns for how long a rank's report counts.
    fn max_age(&self) -> Duration {
        let rounds = usize::from(self.size).div_ceil(ASKED_PER_ROUND).max(1);
        ROUND_PERIOD * (rounds as u32) * FRESH_CYCLES + ROUND_PERIOD
    }
}
