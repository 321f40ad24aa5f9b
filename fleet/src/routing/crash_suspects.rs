//! The requests and parts of prompts that may have ended targets, at all entries.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::num::NonZeroUsize;

use lru::LruCache;

use crate::prelude::*;

use super::crash_suspect::{CrashSuspect, TargetEnd};
use super::suspect_key::{SuspectKey, SuspectKeys};
use super::suspect_record::{MAX_KEPT_SUSPECTS, SuspectRecord};
use super::suspect_report::SuspectReport;

/// The most suspects that are kept.
const MAX_SUSPECTS: usize = 4_096;

/// The most answered requests and parts that are remembered.
const MAX_ANSWERED: NonZeroUsize = NonZeroUsize::new(8_192).expect("is_not_zero");

/// The number of ends from which a suspect may explain a part of those under another one.
const MIN_JOINT_ENDS: usize = 2;

/// The most suspects that one message reports.
const MAX_REPORTS: usize = 32;

/// The ends from which a message reports no further suspect, so that it fits into one packet.
const MAX_REPORTED_ENDS: usize = 40;

/// The requests and parts of prompts that may have ended targets, at all entries.
///
/// A suspect is harmful once several targets have ended under it, in runs that followed each other,
/// without an answer in between. One that was answered before needs more of them.
/// In the lock order it comes last.
#[derive(Debug)]
pub struct CrashSuspects {
    /// The start of the clock in which the suspects count.
    epoch: Instant,
    suspects: HashMap<SuspectKey, CrashSuspect>,
    /// What this entry got answered, and when.
    answered: LruCache<SuspectKey, i64>,
}

/// Whether a request may be sent to a target; the strictest comes last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SuspectDecision {
    /// It may.
    Clear,
    /// It may, as the only one of its kind, to find out whether it still ends targets.
    Probe,
    /// It ends its targets; holds the time after which it may be tried again.
    Refused(Duration),
}

/// Which entry wrote a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordWriter {
    /// This one, before it restarted.
    This,
    /// Another one.
    Other,
}

/// What the ends under a suspect may be due to instead.
enum Explanation {
    /// Another suspect, under which more targets ended.
    Other,
    /// One of several suspects that ran together at all their ends.
    Tied,
}

impl CrashSuspects {
    /// Creates an empty table.
    pub fn new(now: Instant) -> Self {
        Self {
            epoch: now,
            suspects: HashMap::new(),
            answered: LruCache::new(MAX_ANSWERED),
        }
    }

    /// Records that a target ended while it ran a request; returns the number of ends that count
    /// against the request or one of its parts now.
    pub fn record_end(
        &mut self,
        keys: &SuspectKeys,
        target: u32,
        began_at: Instant,
        now: Instant,
    ) -> usize {
        let end = TargetEnd {
            target,
            request: keys.request.0 as u32,
            began_at: self.millis(began_at),
            at: self.millis(now),
            restored_at: None,
        };
        let counts = keys.iter().map(|key| {
            self.change(key, end.at, |suspect| {
                suspect.observe();
                suspect.add_end(end);
            });
            self.suspects.get(&key).map_or(0, CrashSuspect::n_counted)
        });
        counts.max().unwrap_or_default()
    }

    /// Records that a target answered something.
    pub fn record_answer(&mut self, keys: impl Iterator<Item = SuspectKey>, now: Instant) {
        let now = self.millis(now);
        for key in keys {
            self.answered.put(key, now);
            if let Some(suspect) = self.suspects.get_mut(&key) {
                suspect.clear(now);
            }
        }
    }

    /// Decides whether a request may be sent.
    pub fn check(&self, keys: &SuspectKeys, now: Instant) -> SuspectDecision {
        let now = self.millis(now);
        let decisions = keys.iter().map(|key| self.check_key(key, keys, now));
        decisions.max().unwrap_or(SuspectDecision::Clear)
    }

    /// Decides whether a request may be sent; a probe counts as sent.
    pub fn admit(&mut self, keys: &SuspectKeys, now: Instant) -> SuspectDecision {
        let decision = self.check(keys, now);
        if decision == SuspectDecision::Probe {
            let now = self.millis(now);
            for key in keys.iter() {
                if let Some(suspect) = self.suspects.get_mut(&key) {
                    suspect.begin_probe(now);
                }
            }
        }
        decision
    }

    /// Takes the reports that are due for the other entries: changes first, then the most harmful.
    pub fn take_reports(&mut self, now: Instant) -> Vec<SuspectReport> {
        let now = self.millis(now);
        self.suspects.retain(|_, suspect| !suspect.has_expired(now));
        let mut due: Vec<_> = self
            .suspects
            .iter_mut()
            .filter(|(_, suspect)| suspect.is_report_due(now))
            .collect();
        due.sort_by_key(|(_, suspect)| Reverse(suspect.urgency(now)));
        let mut reports = Vec::new();
        let mut n_ends = 0;
        for (_, suspect) in due.into_iter().take(MAX_REPORTS) {
            if MAX_REPORTED_ENDS <= n_ends {
                break;
            }
            for report in suspect.take_reports(now) {
                n_ends += report.ends.len();
                reports.push(report);
            }
        }
        reports
    }

    /// Reports all suspects again, as another entry can be reached that could not be before.
    pub fn report_again(&mut self) {
        self.suspects
            .values_mut()
            .for_each(CrashSuspect::report_again);
    }

    /// Merges the report of another entry; it may arrive late, or more than once. Returns whether
    /// enough ends are known only now for the suspect to be harmful.
    pub fn observe_report(&mut self, report: &SuspectReport, now: Instant) -> bool {
        let now = self.millis(now);
        let has_enough = |suspects: &Self| {
            let suspect = suspects.suspects.get(&report.key);
            suspect.is_some_and(|suspect| suspect.has_enough_ends(now))
        };
        let had_enough = has_enough(self);
        self.change(report.key, now, |suspect| suspect.merge(report, now));
        !had_enough && has_enough(self)
    }

    /// Returns what this entry keeps in the store: of the suspects under which it saw targets end, those
    /// with the most ends, the newest first.
    pub fn record(&self, now: Instant) -> SuspectRecord {
        let now = self.millis(now);
        let kept = self
            .suspects
            .values()
            .filter_map(|suspect| suspect.kept(now));
        let mut suspects: Vec<_> = kept.collect();
        suspects.sort_by_key(|kept| {
            let last_end = kept.ends.last().map(|end| end.at);
            (Reverse(kept.ends.len()), Reverse(last_end), kept.key)
        });
        suspects.truncate(MAX_KEPT_SUSPECTS);
        SuspectRecord { suspects }
    }

    /// Adds what an entry kept in the store, where `unix_ms` is the time of day now; returns the
    /// number of suspects that still count. What this entry kept before it restarted is its own to
    /// keep again.
    pub fn restore(
        &mut self,
        record: SuspectRecord,
        writer: RecordWriter,
        unix_ms: i64,
        now: Instant,
    ) -> usize {
        let now = self.millis(now);
        let record = record.shifted(now - unix_ms);
        let mut n_restored = 0;
        for kept in record.suspects.iter().take(MAX_KEPT_SUSPECTS) {
            self.change(kept.key, now, |suspect| {
                suspect.restore(kept, now);
                if writer == RecordWriter::This {
                    suspect.observe();
                }
            });
            let suspect = self.suspects.get(&kept.key);
            n_restored += usize::from(suspect.is_some_and(|suspect| !suspect.has_expired(now)));
        }
        n_restored
    }

    /// Returns what the Unix clock is ahead of the table's clock, in milliseconds.
    pub fn unix_offset(&self, unix_ms: i64, now: Instant) -> i64 {
        unix_ms - self.millis(now)
    }

    /// Returns the number of suspects.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns whether there are no suspects.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    fn millis(&self, now: Instant) -> i64 {
        now.saturating_duration_since(self.epoch).as_millis() as i64
    }

    fn check_key(&self, key: SuspectKey, keys: &SuspectKeys, now: i64) -> SuspectDecision {
        let Some(suspect) = self.suspects.get(&key) else {
            return SuspectDecision::Clear;
        };
        match suspect.check(now) {
            SuspectDecision::Clear => SuspectDecision::Clear,
            decision => match self.explanation(key, suspect, keys, now) {
                None => decision,
                Some(Explanation::Other) => SuspectDecision::Clear,
                Some(Explanation::Tied) => suspect.check_tied(now),
            },
        }
    }

    /// Returns whether the ends under a suspect may be due to another one, which the request to be
    /// sent does not have.
    ///
    /// Of suspects that ran together at all their ends the one with the lowest key may be sent: its
    /// next run tells which of them is harmful.
    fn explanation(
        &self,
        key: SuspectKey,
        suspect: &CrashSuspect,
        keys: &SuspectKeys,
        now: i64,
    ) -> Option<Explanation> {
        let covering = self.suspects.iter().filter(|(other, other_suspect)| {
            !keys.contains(**other)
                && other_suspect.is_harmful(now)
                && other_suspect.covers(suspect)
        });
        let (mut is_tied, mut is_first) = (false, true);
        for (other, other_suspect) in covering {
            if !suspect.covers(other_suspect) {
                return Some(Explanation::Other);
            }
            is_tied = true;
            is_first &= key < *other;
        }
        match (is_tied, is_first) {
            (false, _) => self.joint_explanation(key, suspect, keys, now),
            (true, true) => Some(Explanation::Other),
            (true, false) => Some(Explanation::Tied),
        }
    }

    /// Returns whether the ends under a suspect may be due to several others, by turns.
    ///
    /// Each of these must have ended a target without the suspect: what only ran beside a harmful one
    /// has not. Until all of them are known to be harmful, the suspect is held back for a short time.
    fn joint_explanation(
        &self,
        key: SuspectKey,
        suspect: &CrashSuspect,
        keys: &SuspectKeys,
        now: i64,
    ) -> Option<Explanation> {
        let others: SmallVec<[&CrashSuspect; 8]> = self
            .suspects
            .iter()
            .filter(|(other, _)| !keys.contains(**other))
            // Requests end targets by the parts that they have.
            .filter(|(other, _)| !key.is_part() || other.is_part())
            .map(|(_, other_suspect)| other_suspect)
            .filter(|other| MIN_JOINT_ENDS <= other.n_counted())
            .filter(|other| other.shares_end(suspect) && !suspect.covers(other))
            .collect();
        let harmful = others.iter().copied();
        if suspect.is_covered_by(|| harmful.clone().filter(|other| other.is_harmful(now))) {
            return Some(Explanation::Other);
        }
        suspect
            .is_covered_by(|| others.iter().copied())
            .then_some(Explanation::Tied)
    }

    /// Changes a suspect, and adds this entry's last answer.
    fn change(&mut self, key: SuspectKey, now: i64, change: impl FnOnce(&mut CrashSuspect)) {
        if !self.suspects.contains_key(&key) {
            self.make_room(now);
        }
        let suspect = self
            .suspects
            .entry(key)
            .or_insert_with(|| CrashSuspect::new(key));
        change(suspect);
        if let Some(at) = self.answered.peek(&key) {
            suspect.clear(*at);
        }
    }

    /// Drops the suspect with the fewest ends, the oldest one, where there is no room.
    fn make_room(&mut self, now: i64) {
        if self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        self.suspects.retain(|_, suspect| !suspect.has_expired(now));
        let least = self
            .suspects
            .iter()
            .min_by_key(|(_, suspect)| (suspect.n_counted(), suspect.last_end()));
        let least = least.map(|(key, _)| *key);
        if let Some(key) = least.filter(|_| MAX_SUSPECTS <= self.suspects.len()) {
            self.suspects.remove(&key);
        }
    }
}
