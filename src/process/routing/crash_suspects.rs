//! Requests that may crash the targets that run them.

use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};

use crate::prelude::*;

use super::suspect_decision::SuspectDecision;
use super::suspect_report::{RequestDigest, SuspectReport, TargetCrash};

/// How long a crash counts against the requests that were in flight.
const SUSPICION_LIFE: Duration = Duration::from_secs(600);
/// How long a request that crashed targets alone is refused.
const REFUSAL_LIFE: Duration = Duration::from_secs(1_800);
/// The crashes with others in flight after which a request runs alone.
const SHARED_CRASHES: usize = 2;
/// The targets that a request must crash alone to be refused.
const ALONE_CRASHES: usize = 2;
/// The most suspects kept.
const MAX_SUSPECTS: usize = 4_096;
/// The most crashes kept for one suspect.
const MAX_CRASHES: usize = 8;

/// The requests that were in flight when targets crashed.
///
/// A request that shared crashes runs alone; one that crashed two targets alone is refused.
/// One that ends without a crash is cleared, so that innocents are never refused.
/// Its place in the lock order is last.
#[derive(Debug, Default)]
pub struct CrashSuspects {
    suspects: HashMap<RequestDigest, CrashSuspect>,
}

#[derive(Debug)]
struct CrashSuspect {
    shared: BTreeSet<TargetCrash>,
    alone: BTreeSet<TargetCrash>,
    until: Timestamp,
    news: SuspectNews,
}

/// Whether a request was alone in flight at a target that crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CrashCompany {
    Alone,
    Shared,
}

/// Whether the other processes were told of the latest change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SuspectNews {
    Untold,
    Told,
}

impl CrashSuspects {
    /// Makes an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes a crash of a target with all requests that were in flight there, as its agent
    /// knows them, or with the one request that ran alone there.
    pub fn crashed(&mut self, now: Timestamp, crash: &TargetCrash, in_flight: &[RequestDigest]) {
        let company = match in_flight.len() {
            1 => CrashCompany::Alone,
            _ => CrashCompany::Shared,
        };
        self.note_crash(now, crash, in_flight, company);
    }

    /// Notes a crash of a target with some of the requests that were in flight there, as an
    /// entry VM knows them when the agent is lost as well: none counts as alone.
    pub fn crashed_in_part(
        &mut self,
        now: Timestamp,
        crash: &TargetCrash,
        in_flight: &[RequestDigest],
    ) {
        self.note_crash(now, crash, in_flight, CrashCompany::Shared);
    }

    fn note_crash(
        &mut self,
        now: Timestamp,
        crash: &TargetCrash,
        in_flight: &[RequestDigest],
        company: CrashCompany,
    ) {
        self.drop_expired(now);
        for digest in in_flight {
            let suspect = self.suspect(now, digest);
            let crashes = match company {
                CrashCompany::Alone => &mut suspect.alone,
                CrashCompany::Shared => &mut suspect.shared,
            };
            insert_bounded(crashes, crash);
            suspect.news = SuspectNews::Untold;
            suspect.extend_life(now);
        }
        self.drop_surplus();
    }

    /// Notes that a request ended without a crash: nothing is held against it any longer.
    ///
    /// A request that is refused already stays so until that lapses.
    pub fn finished(&mut self, digest: &RequestDigest) {
        if let Some(suspect) = self.suspects.get(digest)
            && !suspect.is_refused()
        {
            self.suspects.remove(digest);
        }
    }

    /// Decides how a request may run.
    pub fn check(&self, now: Timestamp, digest: &RequestDigest) -> SuspectDecision {
        let Some(suspect) = self.suspects.get(digest) else {
            return SuspectDecision::Clear;
        };
        if suspect.until <= now {
            return SuspectDecision::Clear;
        }
        if suspect.is_refused() {
            let retry_after = suspect.until.since(now);
            return SuspectDecision::Refused { retry_after };
        }
        if suspect.alone.is_empty() && suspect.shared.len() < SHARED_CRASHES {
            return SuspectDecision::Clear;
        }
        SuspectDecision::RunAlone
    }

    /// Returns all that is held against requests, for a process that starts.
    pub fn reports(&self, now: Timestamp) -> Vec<SuspectReport> {
        self.suspects
            .iter()
            .filter(|(_, suspect)| now < suspect.until)
            .map(|(digest, suspect)| suspect.report(now, digest))
            .collect()
    }

    /// Takes up to `n_wanted` changes that the other processes were not told of, the worst
    /// first; what is left comes with the next call.
    pub fn take_news(&mut self, now: Timestamp, n_wanted: usize) -> Vec<SuspectReport> {
        let mut untold: Vec<_> = self
            .suspects
            .iter_mut()
            .filter(|(_, suspect)| suspect.news == SuspectNews::Untold)
            .collect();
        untold.sort_by_key(|(_, suspect)| Reverse(suspect.weight()));
        untold
            .into_iter()
            .take(n_wanted)
            .map(|(digest, suspect)| {
                suspect.news = SuspectNews::Told;
                suspect.report(now, digest)
            })
            .collect()
    }

    /// Takes in what another process holds against a request; it may come twice or late.
    pub fn observe_report(&mut self, now: Timestamp, report: &SuspectReport) {
        self.drop_expired(now);
        let suspect = self.suspect(now, &report.digest);
        for crash in &report.shared {
            insert_bounded(&mut suspect.shared, crash);
        }
        for crash in &report.alone {
            insert_bounded(&mut suspect.alone, crash);
        }
        let remaining = Duration::from_millis(report.remaining_ms).min(suspect.life());
        suspect.until = suspect.until.max(now + remaining);
        self.drop_surplus();
    }

    /// Returns the number of requests against which something is held.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns whether nothing is held against any request.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    fn suspect(&mut self, now: Timestamp, digest: &RequestDigest) -> &mut CrashSuspect {
        self.suspects
            .entry(digest.clone())
            .or_insert_with(|| CrashSuspect {
                shared: BTreeSet::new(),
                alone: BTreeSet::new(),
                until: now,
                news: SuspectNews::Untold,
            })
    }

    fn drop_expired(&mut self, now: Timestamp) {
        self.suspects.retain(|_, suspect| now < suspect.until);
    }

    /// Keeps the table bounded: the least suspected and soonest to lapse go first.
    fn drop_surplus(&mut self) {
        if self.suspects.len() <= MAX_SUSPECTS {
            return;
        }
        let n_surplus = self.suspects.len() - MAX_SUSPECTS;
        let mut ranked: Vec<_> = self
            .suspects
            .iter()
            .map(|(digest, suspect)| (suspect.weight(), suspect.until, digest.clone()))
            .collect();
        ranked.sort();
        for (_, _, digest) in ranked.into_iter().take(n_surplus) {
            self.suspects.remove(&digest);
        }
    }
}

impl CrashSuspect {
    fn is_refused(&self) -> bool {
        let targets: BTreeSet<_> = self.alone.iter().map(|crash| &crash.target).collect();
        ALONE_CRASHES <= targets.len()
    }

    fn report(&self, now: Timestamp, digest: &RequestDigest) -> SuspectReport {
        SuspectReport {
            digest: digest.clone(),
            shared: self.shared.iter().cloned().collect(),
            alone: self.alone.iter().cloned().collect(),
            remaining_ms: self.until.since(now).as_millis() as u64,
        }
    }

    fn life(&self) -> Duration {
        match self.is_refused() {
            true => REFUSAL_LIFE,
            false => SUSPICION_LIFE,
        }
    }

    fn extend_life(&mut self, now: Timestamp) {
        self.until = self.until.max(now + self.life());
    }

    fn weight(&self) -> (usize, usize) {
        (self.alone.len(), self.shared.len())
    }
}

fn insert_bounded(crashes: &mut BTreeSet<TargetCrash>, crash: &TargetCrash) {
    if crashes.len() < MAX_CRASHES {
        crashes.insert(crash.clone());
    }
}
