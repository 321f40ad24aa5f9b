//! Tracking of requests that may have crashed targets.

use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};

use crate::prelude::*;

use super::suspect_decision::SuspectDecision;
use super::suspect_report::{RequestDigest, SuspectReport, TargetCrash};

/// How long a crash is held against the requests that were in flight.
const SUSPICION_TTL: Duration = Duration::from_secs(600);
/// How long a request that crashed targets while it ran alone is refused.
const REFUSAL_TTL: Duration = Duration::from_secs(1_800);
/// The number of crashes with other requests in flight after which a request runs alone.
const MIN_SHARED_CRASHES: usize = 2;
/// The number of targets that a request crashes while running alone before it is refused.
const MIN_ALONE_TARGETS: usize = 2;
/// The maximum number of suspects kept.
const MAX_SUSPECTS: usize = 4_096;
/// The maximum number of crashes of each kind kept for one suspect.
const MAX_CRASHES: usize = 8;

/// The requests that were in flight when targets crashed.
///
/// A request that was among others in two crashes, or alone in one, runs alone from then on;
/// one that crashed two targets while alone is refused. A request that ends without a crash
/// is cleared unless it is refused already, so that no harmless request is ever refused.
/// In the lock order it comes last.
#[derive(Debug, Default)]
pub struct CrashSuspects {
    suspects: HashMap<RequestDigest, CrashSuspect>,
}

#[derive(Debug)]
struct CrashSuspect {
    shared: BTreeSet<TargetCrash>,
    alone: BTreeSet<TargetCrash>,
    expires_at: Timestamp,
    report_state: ReportState,
}

/// Whether a request was the only one in flight at a target that crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CrashSharing {
    Alone,
    Shared,
}

/// Whether the latest change of a suspect was sent to the other processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReportState {
    Pending,
    Sent,
}

impl CrashSuspects {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a crash of a target with all requests that were in flight there.
    ///
    /// The target's agent knows them all; an entry VM knows them when a request ran alone.
    pub fn crashed(&mut self, now: Timestamp, crash: &TargetCrash, in_flight: &[RequestDigest]) {
        let sharing = match in_flight.len() {
            1 => CrashSharing::Alone,
            _ => CrashSharing::Shared,
        };
        self.note_crash(now, crash, in_flight, sharing);
    }

    /// Records a crash of a target with some of the requests that were in flight there.
    ///
    /// An entry VM knows only its own ones when the agent is lost as well, so a single request
    /// does not count as alone.
    pub fn crashed_partly_known(
        &mut self,
        now: Timestamp,
        crash: &TargetCrash,
        in_flight: &[RequestDigest],
    ) {
        self.note_crash(now, crash, in_flight, CrashSharing::Shared);
    }

    fn note_crash(
        &mut self,
        now: Timestamp,
        crash: &TargetCrash,
        in_flight: &[RequestDigest],
        sharing: CrashSharing,
    ) {
        self.drop_expired(now);
        for digest in in_flight {
            let suspect = self.suspect(now, digest);
            let crashes = match sharing {
                CrashSharing::Alone => &mut suspect.alone,
                CrashSharing::Shared => &mut suspect.shared,
            };
            insert_bounded(crashes, crash);
            suspect.report_state = ReportState::Pending;
            suspect.extend_expiry(now);
        }
        self.drop_surplus();
    }

    /// Records that a request ended without a crash, which clears it of suspicion.
    ///
    /// A request that is refused already stays refused until its refusal expires.
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
        if suspect.expires_at <= now {
            return SuspectDecision::Clear;
        }
        if suspect.is_refused() {
            let retry_after = suspect.expires_at.since(now);
            return SuspectDecision::Refused { retry_after };
        }
        if suspect.alone.is_empty() && suspect.shared.len() < MIN_SHARED_CRASHES {
            return SuspectDecision::Clear;
        }
        SuspectDecision::RunAlone
    }

    /// Returns a report of every suspect, for a process that starts.
    pub fn reports(&self, now: Timestamp) -> Vec<SuspectReport> {
        self.suspects
            .iter()
            .filter(|(_, suspect)| now < suspect.expires_at)
            .map(|(digest, suspect)| suspect.report(now, digest))
            .collect()
    }

    /// Takes the reports of up to `n_max` changed suspects for the other processes, the most
    /// severe first; the next call returns the remaining ones.
    pub fn take_pending_reports(&mut self, now: Timestamp, n_max: usize) -> Vec<SuspectReport> {
        let mut pending: Vec<_> = self
            .suspects
            .iter_mut()
            .filter(|(_, suspect)| suspect.report_state == ReportState::Pending)
            .collect();
        pending.sort_by_key(|(_, suspect)| Reverse(suspect.severity()));
        pending
            .into_iter()
            .take(n_max)
            .map(|(digest, suspect)| {
                suspect.report_state = ReportState::Sent;
                suspect.report(now, digest)
            })
            .collect()
    }

    /// Merges the report of another process; it may arrive twice or late.
    pub fn observe_report(&mut self, now: Timestamp, report: &SuspectReport) {
        self.drop_expired(now);
        let suspect = self.suspect(now, &report.digest);
        for crash in &report.shared {
            insert_bounded(&mut suspect.shared, crash);
        }
        for crash in &report.alone {
            insert_bounded(&mut suspect.alone, crash);
        }
        let remaining = Duration::from_millis(report.remaining_ms).min(suspect.ttl());
        suspect.expires_at = suspect.expires_at.max(now + remaining);
        self.drop_surplus();
    }

    /// Returns the number of suspects.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns whether there are no suspects.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    fn suspect(&mut self, now: Timestamp, digest: &RequestDigest) -> &mut CrashSuspect {
        self.suspects
            .entry(digest.clone())
            .or_insert_with(|| CrashSuspect {
                shared: BTreeSet::new(),
                alone: BTreeSet::new(),
                expires_at: now,
                report_state: ReportState::Pending,
            })
    }

    fn drop_expired(&mut self, now: Timestamp) {
        self.suspects.retain(|_, suspect| now < suspect.expires_at);
    }

    /// Drops suspects beyond `MAX_SUSPECTS`: the least severe first, and among equals those
    /// that expire soonest.
    fn drop_surplus(&mut self) {
        if self.suspects.len() <= MAX_SUSPECTS {
            return;
        }
        let n_surplus = self.suspects.len() - MAX_SUSPECTS;
        let mut ranked: Vec<_> = self
            .suspects
            .iter()
            .map(|(digest, suspect)| (suspect.severity(), suspect.expires_at, digest.clone()))
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
        MIN_ALONE_TARGETS <= targets.len()
    }

    fn report(&self, now: Timestamp, digest: &RequestDigest) -> SuspectReport {
        SuspectReport {
            digest: digest.clone(),
            shared: self.shared.iter().cloned().collect(),
            alone: self.alone.iter().cloned().collect(),
            remaining_ms: self.expires_at.since(now).as_millis() as u64,
        }
    }

    fn ttl(&self) -> Duration {
        match self.is_refused() {
            true => REFUSAL_TTL,
            false => SUSPICION_TTL,
        }
    }

    fn extend_expiry(&mut self, now: Timestamp) {
        self.expires_at = self.expires_at.max(now + self.ttl());
    }

    /// Ranks suspects by crashes while alone, then by crashes with others in flight.
    fn severity(&self) -> (usize, usize) {
        (self.alone.len(), self.shared.len())
    }
}

fn insert_bounded(crashes: &mut BTreeSet<TargetCrash>, crash: &TargetCrash) {
    if crashes.len() < MAX_CRASHES {
        crashes.insert(crash.clone());
    }
}
