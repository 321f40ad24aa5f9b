//! One request or part of prompts that may have ended targets.

use crate::prelude::*;

use super::crash_suspects::SuspectDecision;
use super::suspect_key::SuspectKey;
use super::suspect_record::{KeptEnd, KeptSuspect, MAX_KEPT_ENDS};
use super::suspect_report::{EndReport, SuspectReport};

/// The number of targets that end under a suspect, in runs that follow each other, from which it is
/// harmful; a part's runs are those of different requests.
const MIN_ENDS: usize = 3;

/// The number of targets that end under a suspect that was answered before, `MIN_ENDS` of them in
/// runs that follow each other, from which it is harmful.
const MIN_ENDS_ANSWERED: usize = 6;

/// The most ends that are kept: those in runs that follow each other, then the newest ones.
const MAX_ENDS: usize = 16;

/// How much earlier a run may seem to begin than the one before it ended, as reports take time.
const CLOCK_ERROR_MS: i64 = 10;

/// How long an answer speaks for a suspect.
const TRUST_MS: i64 = 600_000;

/// The time after the first end before which no suspect is harmful: an entry that got it answered
/// before learns of the end and tells the others, by way of three heartbeats between data centres.
const VERDICT_DELAY_MS: i64 = 1_200;

/// Two ends of one target within this time are the same end, reported by two entries or runs.
const SAME_END_MS: i64 = 1_000;

/// How far the clocks of the machines that write ends into the store may be apart.
const CLOCK_DIFFERENCE_MS: i64 = 10_000;

/// The number of ends since the last answer from which a suspect is kept in the store: after a
/// restart one more end is enough then.
const MIN_KEPT_ENDS: usize = 2;

/// How long a suspect is refused after a restart that is harmful by the ends in the store alone, with
/// `MIN_ENDS` of them; each further end doubles it. What would have cleared a sound one may be lost.
const RESTORED_REFUSAL_MS: i64 = 10_000;

/// How long a suspect is refused that ran at each end beside another one, until a run of the other
/// one tells which of them is harmful: the time of a target's return and of a run.
const TIE_MS: i64 = 6_000;

/// How long a harmful suspect is refused after the last target that ended under it.
const REFUSAL_MS: i64 = 600_000;

/// How long the ends under a suspect are kept; after the refusal, one more is enough to refuse it
/// again.
const SUSPECT_TTL_MS: i64 = 2 * REFUSAL_MS;

/// How long before they are dropped ends are no longer reported, so that they do not come back from
/// an entry that drops them a moment later.
const REPORT_MARGIN_MS: i64 = 5_000;

/// How long a suspect is kept after an answer cleared it, so that all entries learn of it.
const CLEARED_TTL_MS: i64 = 10_000;

/// How long a probe may take before another one may begin.
const PROBE_TIMEOUT_MS: i64 = 30_000;

/// How often a change is reported at once, as datagrams may be lost.
const REPORTS_OF_CHANGE: u8 = 3;

/// The time between two later reports of a harmful suspect, for entries that restart or were cut off.
const HARMFUL_REPORT_MS: i64 = 500;

/// The time between two later reports of a suspect with several ends.
const SUSPECT_REPORT_MS: i64 = 1_500;

/// The time between two later reports of any other suspect.
const SINGLE_REPORT_MS: i64 = 10_000;

/// One request or part of prompts that may have ended targets. All times are in milliseconds of the
/// table's clock.
#[derive(Debug)]
pub(super) struct CrashSuspect {
    key: SuspectKey,
    /// Whether a target ended under a run of this entry, which then keeps the suspect in the store.
    is_observed: bool,
    /// The ends of targets that ran the request, the oldest first.
    ends: SmallVec<[TargetEnd; 4]>,
    answered_at: Option<i64>,
    probe_until: Option<i64>,
    /// The number of reports since the last change, up to `REPORTS_OF_CHANGE`.
    n_reports: u8,
    reported_at: Option<i64>,
}

/// The end of a target while it ran a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct TargetEnd {
    /// The hash of the target's id.
    pub(super) target: u32,
    /// The start of the digest of the request that ran.
    pub(super) request: u32,
    /// The start of the run.
    pub(super) began_at: i64,
    /// The end of the target.
    pub(super) at: i64,
    /// When this entry learned of the end, where it is known from the store only.
    pub(super) restored_at: Option<i64>,
}

impl TargetEnd {
    fn is_same(&self, other: &Self) -> bool {
        let max_difference = match (self.restored_at, other.restored_at) {
            (None, None) => SAME_END_MS,
            (Some(_), Some(_)) => CLOCK_DIFFERENCE_MS,
            // What ends later cannot have been in the store.
            (Some(restored_at), None) if other.at <= restored_at => CLOCK_DIFFERENCE_MS,
            (None, Some(restored_at)) if self.at <= restored_at => CLOCK_DIFFERENCE_MS,
            _ => return false,
        };
        self.target == other.target && (self.at - other.at).abs() < max_difference
    }
}

impl CrashSuspect {
    pub(super) fn new(key: SuspectKey) -> Self {
        Self {
            key,
            is_observed: false,
            ends: SmallVec::new(),
            answered_at: None,
            probe_until: None,
            n_reports: 0,
            reported_at: None,
        }
    }

    /// Adds the end of a target that an entry saw, unless it is known. One request is no evidence against the parts of
    /// its prompt more than once.
    pub(super) fn add_end(&mut self, new: TargetEnd) {
        if let Some(known_idx) = self.ends.iter().position(|end| end.is_same(&new)) {
            let known = &mut self.ends[known_idx];
            if known.restored_at.is_some() {
                // The times of a running entry are more exact.
                self.ends.remove(known_idx);
                return self.add_end(new);
            }
            // Of several runs that one end broke off, all entries keep the last one.
            if known.began_at + CLOCK_ERROR_MS < new.began_at {
                known.began_at = new.began_at;
                self.n_reports = 0;
            }
            return;
        }
        self.insert_end(new);
    }

    /// Adds ends that one entry knows from the store. They are different ones, also where a target that
    /// was back under its id ended again; each may be known already.
    fn add_restored(&mut self, restored: impl Iterator<Item = TargetEnd>) {
        let mut known: SmallVec<[TargetEnd; MAX_ENDS]> = self.ends.iter().copied().collect();
        for new in restored {
            let same = known
                .iter()
                .enumerate()
                .filter(|(_, end)| end.is_same(&new));
            let nearest = same.min_by_key(|(_, end)| (end.at - new.at).abs());
            match nearest.map(|(idx, _)| idx) {
                Some(idx) => {
                    known.remove(idx);
                }
                None => self.insert_end(new),
            }
        }
    }

    fn insert_end(&mut self, new: TargetEnd) {
        let is_part = self.key.is_part();
        if is_part && self.ends.iter().any(|end| end.request == new.request) {
            return;
        }
        let idx = self.ends.partition_point(|end| end.at <= new.at);
        self.ends.insert(idx, new);
        if MAX_ENDS < self.ends.len() {
            let counted = self.counted();
            let dropped = (0..self.ends.len()).find(|idx| !counted.contains(idx));
            let dropped = dropped.unwrap_or(0);
            self.ends.remove(dropped);
            if dropped == idx {
                return;
            }
        }
        self.n_reports = 0;
    }

    /// Records an answer, which clears the suspect of all ends before it.
    pub(super) fn clear(&mut self, at: i64) {
        let is_news = match (self.answered_at, self.last_end()) {
            // A small difference comes from the way of the report.
            (Some(old), Some(end)) => old < end && (end <= at || old + SAME_END_MS <= at),
            (Some(_), None) => false,
            (None, _) => true,
        };
        if is_news {
            self.answered_at = Some(at);
            self.n_reports = 0;
        }
    }

    /// Returns the number of ends since the last answer, in runs that followed each other: what runs
    /// at many targets when they end together need not be the cause.
    pub(super) fn n_counted(&self) -> usize {
        self.counted().len()
    }

    /// Returns the indices of the ends that count.
    fn counted(&self) -> SmallVec<[usize; MAX_ENDS]> {
        let mut counted = SmallVec::new();
        let mut last_end = i64::MIN;
        for (idx, end) in self.ends.iter().enumerate() {
            if self.is_since_answer(end) && last_end <= end.began_at + CLOCK_ERROR_MS {
                counted.push(idx);
                last_end = end.at;
            }
        }
        counted
    }

    fn ends_since_answer(&self) -> impl Iterator<Item = &TargetEnd> {
        let ends = self.ends.iter();
        ends.filter(|end| self.is_since_answer(end))
    }

    fn is_since_answer(&self, end: &TargetEnd) -> bool {
        self.answered_at.is_none_or(|at| at < end.at)
    }

    /// Returns whether the suspect ends its targets, as far as this entry knows.
    pub(super) fn is_harmful(&self, now: i64) -> bool {
        let first = self.ends_since_answer().next();
        self.has_enough_ends(now) && first.is_some_and(|end| end.at + VERDICT_DELAY_MS <= now)
    }

    /// Returns whether the suspect is harmful unless another entry tells of an answer in time.
    pub(super) fn has_enough_ends(&self, now: i64) -> bool {
        let is_trusted = self.answered_at.is_some_and(|at| now < at + TRUST_MS);
        let has_more = || MIN_ENDS_ANSWERED <= self.ends_since_answer().count();
        MIN_ENDS <= self.n_counted() && (!is_trusted || has_more())
    }

    /// Returns whether targets ended under this suspect whenever they did under another one.
    pub(super) fn covers(&self, other: &Self) -> bool {
        other
            .ends_since_answer()
            .all(|end| self.ends_since_answer().any(|own| own.is_same(end)))
    }

    /// Returns whether a target ended under this suspect and another one.
    pub(super) fn shares_end(&self, other: &Self) -> bool {
        let mut ends = other.ends_since_answer();
        ends.any(|end| self.ends_since_answer().any(|own| own.is_same(end)))
    }

    /// Returns whether at each end of a target under this suspect it ended under one of the others.
    pub(super) fn is_covered_by<'a, Others>(&self, others: impl Fn() -> Others) -> bool
    where
        Others: Iterator<Item = &'a Self>,
    {
        let is_shared = |end: &TargetEnd| {
            others().any(|other| other.ends_since_answer().any(|own| own.is_same(end)))
        };
        self.ends_since_answer().all(is_shared)
    }

    /// Decides about a suspect that ran beside another one at each end.
    pub(super) fn check_tied(&self, now: i64) -> SuspectDecision {
        let until = self.last_end().unwrap_or(now) + TIE_MS;
        match now < until {
            true => SuspectDecision::Refused(Duration::from_millis((until - now) as u64)),
            false => SuspectDecision::Clear,
        }
    }

    /// Decides whether a request with the suspect may be sent.
    pub(super) fn check(&self, now: i64) -> SuspectDecision {
        if !self.is_harmful(now) {
            return SuspectDecision::Clear;
        }
        let last_end = self.last_end().unwrap_or(now);
        let settled_at = last_end + VERDICT_DELAY_MS;
        if now < settled_at {
            // Another entry may still tell what else ran at the last end.
            return SuspectDecision::Refused(Duration::from_millis((settled_at - now) as u64));
        }
        let refused_until = self.refused_until(last_end);
        let until = refused_until.max(self.probe_until.unwrap_or(refused_until));
        if now < until {
            return SuspectDecision::Refused(Duration::from_millis((until - now) as u64));
        }
        SuspectDecision::Probe
    }

    /// Returns until when a harmful suspect is refused.
    fn refused_until(&self, last_end: i64) -> i64 {
        let until = last_end + REFUSAL_MS;
        let restored = self.ends_since_answer().map(|end| end.restored_at);
        // `None` is the lowest value, so that one end of a running entry counts for all.
        let Some(Some(restored_at)) = restored.min() else {
            return until;
        };
        let n_further = self.n_counted().saturating_sub(MIN_ENDS);
        until.min(restored_at + (RESTORED_REFUSAL_MS << n_further))
    }

    /// Records that this entry saw a target end under the suspect.
    pub(super) fn observe(&mut self) {
        self.is_observed = true;
    }

    /// Returns what this entry keeps of the suspect in the store, if anything.
    pub(super) fn kept(&self, now: i64) -> Option<KeptSuspect> {
        let n_ends = self.ends_since_answer().count();
        if !self.is_observed || n_ends < MIN_KEPT_ENDS || self.has_expired(now) {
            return None;
        }
        let ends = self
            .ends_since_answer()
            .skip(n_ends.saturating_sub(MAX_KEPT_ENDS));
        Some(KeptSuspect {
            key: self.key,
            ends: ends
                .map(|end| KeptEnd {
                    target: end.target,
                    request: end.request,
                    began_at: end.began_at,
                    at: end.at,
                })
                .collect(),
            answered_at: self.answered_at,
        })
    }

    /// Adds what was kept in the store. Times in the future come from a clock that was ahead; an end
    /// long in the future or past is not used.
    pub(super) fn restore(&mut self, kept: &KeptSuspect, now: i64) {
        let ends = kept.ends.iter().take(MAX_KEPT_ENDS);
        let usable =
            ends.filter(|end| now - SUSPECT_TTL_MS < end.at && end.at <= now + CLOCK_DIFFERENCE_MS);
        self.add_restored(usable.map(|end| {
            let at = end.at.min(now);
            TargetEnd {
                target: end.target,
                request: end.request,
                began_at: end.began_at.clamp(at - SUSPECT_TTL_MS, at),
                at,
                restored_at: Some(now),
            }
        }));
        if let Some(at) = kept.answered_at {
            self.clear(at.clamp(now - SUSPECT_TTL_MS, now));
        }
    }

    /// Counts a probe that is sent.
    pub(super) fn begin_probe(&mut self, now: i64) {
        self.probe_until = Some(now + PROBE_TIMEOUT_MS);
    }

    /// Returns whether a report is due.
    pub(super) fn is_report_due(&self, now: i64) -> bool {
        let interval = match self.n_counted() {
            _ if self.is_harmful(now) => HARMFUL_REPORT_MS,
            ..=1 => SINGLE_REPORT_MS,
            _ => SUSPECT_REPORT_MS,
        };
        self.n_reports < REPORTS_OF_CHANGE || self.reported_at.is_none_or(|at| at + interval <= now)
    }

    /// Makes a report due, as after a change.
    pub(super) fn report_again(&mut self) {
        self.n_reports = 0;
    }

    /// Returns the order of reports: changes first, then the most ends, then the oldest report.
    pub(super) fn urgency(&self, now: i64) -> (bool, usize, i64) {
        let is_changed = self.n_reports < REPORTS_OF_CHANGE;
        let waiting = self.reported_at.map_or(i64::MAX, |at| now - at);
        (is_changed, self.n_counted(), waiting)
    }

    /// Takes the reports for the other entries: of what running entries saw, and of what is known from
    /// the store only.
    pub(super) fn take_reports(&mut self, now: i64) -> impl Iterator<Item = SuspectReport> {
        self.n_reports = REPORTS_OF_CHANGE.min(self.n_reports + 1);
        self.reported_at = Some(now);
        let reports = [self.report(now, false), self.report(now, true)];
        reports.into_iter().filter(|report| {
            !report.ends.is_empty() || (report.answered_ms.is_some() && !report.is_restored)
        })
    }

    fn report(&self, now: i64, is_restored: bool) -> SuspectReport {
        let age = |at: i64| u32::try_from(now - at).unwrap_or_default();
        let ends = self
            .ends
            .iter()
            .filter(|end| end.restored_at.is_some() == is_restored)
            .filter(|end| now < end.at + SUSPECT_TTL_MS - REPORT_MARGIN_MS);
        SuspectReport {
            key: self.key,
            ends: ends
                .map(|end| EndReport {
                    target: end.target,
                    request: end.request,
                    age_ms: age(end.at),
                    run_ms: u32::try_from(end.at - end.began_at).unwrap_or(u32::MAX),
                })
                .collect(),
            answered_ms: self.answered_at.map(age),
            is_restored,
        }
    }

    /// Merges the report of another entry.
    pub(super) fn merge(&mut self, report: &SuspectReport, now: i64) {
        let ends = report.ends.iter().take(MAX_ENDS).map(|end| {
            let at = now - i64::from(end.age_ms);
            TargetEnd {
                target: end.target,
                request: end.request,
                began_at: at - i64::from(end.run_ms),
                at,
                restored_at: report.is_restored.then_some(now),
            }
        });
        match report.is_restored {
            true => self.add_restored(ends),
            false => ends.for_each(|end| self.add_end(end)),
        }
        if let Some(age) = report.answered_ms {
            self.clear(now - i64::from(age));
        }
    }

    /// Returns the time of the last end.
    pub(super) fn last_end(&self) -> Option<i64> {
        self.ends.last().map(|end| end.at)
    }

    /// Returns whether the suspect is to be dropped.
    pub(super) fn has_expired(&self, now: i64) -> bool {
        let Some(last_end) = self.last_end() else {
            return true;
        };
        match self.answered_at {
            Some(at) if last_end <= at => at + CLEARED_TTL_MS <= now,
            _ => last_end + SUSPECT_TTL_MS <= now,
        }
    }
}
