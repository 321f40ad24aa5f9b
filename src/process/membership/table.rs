//! Table of the targets and the health signals received for each.

use std::collections::BTreeMap;

use crate::prelude::*;

use super::{
    AgentReadiness, AgentReport, DispatchSignal, MembershipEvent, StateReason, TargetState,
    TargetStatus, VmState,
};

/// The time between two heartbeats to an agent.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_100);
/// How long a ready report is valid, counted from the heartbeat that it answers.
///
/// It covers two heartbeats, and is below the 3 s after which a leaving target must receive no
/// new work.
pub const REPORT_LEASE: Duration = Duration::from_millis(2_400);
/// How long after its last ready report a target counts as silent and not as gone.
const MAX_SILENCE: Duration = Duration::from_secs(5);
/// Consecutive failed dispatches after which a target is down until its next report.
const DOWN_FAILURES: u32 = 2;

/// The targets with the signals from each source: the platform's VM list, the agents' reports,
/// and the results of this process's own dispatches.
///
/// A target is eligible only within the lease of a report and while no source rules it out. So a
/// lost signal has an effect for at most the lease, and a report that is late or from an earlier
/// incarnation of the agent does not renew the lease.
#[derive(Clone, Debug, Default)]
pub struct MembershipTable {
    targets: BTreeMap<TargetName, TargetSignals>,
}

#[derive(Clone, Debug, Default)]
struct TargetSignals {
    listing: VmListing,
    incarnation: ProcessIncarnation,
    ready_at: Option<Timestamp>,
    leaving: Option<StateReason>,
    failures: u32,
    failed_at: Timestamp,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum VmListing {
    #[default]
    NeverListed,
    Listed(VmState),
    Gone,
}

impl MembershipTable {
    /// Returns an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the targets by those of a configuration version; drops signals of removed ones.
    pub fn set_targets(&mut self, targets: impl IntoIterator<Item = TargetName>) {
        let mut known = std::mem::take(&mut self.targets);
        for target in targets {
            let signals = known.remove(&target).unwrap_or_default();
            self.targets.insert(target, signals);
        }
    }

    /// Handles one event; ignores unknown targets, reports from an earlier incarnation of an agent,
    /// and dispatches to an incarnation other than the one last reported.
    pub fn on_event(&mut self, event: MembershipEvent) {
        match event {
            MembershipEvent::VmList(list) => self.on_list(&list),
            MembershipEvent::Report(report) => self.on_report(&report),
            MembershipEvent::Dispatch {
                target,
                incarnation,
                sent_at,
                signal,
            } => {
                let signals = self.targets.get_mut(&target);
                let signals = signals.filter(|signals| signals.incarnation == incarnation);
                if let Some(signals) = signals {
                    signals.note_dispatch(sent_at, signal);
                }
            }
        }
    }

    /// Returns the state of a target at `now` and the reason for it.
    pub fn status(&self, target: &TargetName, now: Timestamp) -> TargetStatus {
        match self.targets.get(target) {
            Some(signals) => signals.status(now),
            None => TargetStatus {
                state: TargetState::Unknown,
                reason: StateReason::NeverHeard,
            },
        }
    }

    /// Returns whether the last report of a target expired so recently that the next may only be
    /// late, and nothing else rules the target out.
    pub fn is_silent(&self, target: &TargetName, now: Timestamp) -> bool {
        self.targets.get(target).is_some_and(|signals| {
            let is_recent = |at| now.since(at) < MAX_SILENCE;
            signals.status(now).reason == StateReason::ReportExpired
                && signals.ready_at.is_some_and(is_recent)
        })
    }

    /// Returns every target with its state at `now`.
    pub fn statuses(&self, now: Timestamp) -> impl Iterator<Item = (&TargetName, TargetStatus)> {
        self.targets
            .iter()
            .map(move |(name, signals)| (name, signals.status(now)))
    }

    /// Returns the agent's incarnation from its last report; `None` before it reported ready.
    pub fn incarnation(&self, target: &TargetName) -> Option<ProcessIncarnation> {
        let signals = self.targets.get(target)?;
        signals.ready_at.map(|_| signals.incarnation)
    }

    fn on_list(&mut self, list: &[(TargetName, VmState)]) {
        let listed: BTreeMap<&TargetName, VmState> =
            list.iter().map(|(name, state)| (name, *state)).collect();
        for (name, signals) in &mut self.targets {
            signals.listing = match (listed.get(name), signals.listing) {
                (Some(state), _) => VmListing::Listed(*state),
                (None, VmListing::NeverListed) => VmListing::NeverListed,
                (None, _) => VmListing::Gone,
            };
        }
    }

    fn on_report(&mut self, report: &AgentReport) {
        let Some(signals) = self.targets.get_mut(&report.target) else {
            return;
        };
        if report.incarnation < signals.incarnation {
            return;
        }
        if signals.incarnation < report.incarnation {
            *signals = TargetSignals {
                listing: signals.listing,
                incarnation: report.incarnation,
                ..TargetSignals::default()
            };
        }
        match report.readiness {
            AgentReadiness::Leaving => signals.leaving = Some(StateReason::LeavingReport),
            AgentReadiness::Ready => signals.note_ready(report.heartbeat_at),
        }
    }
}

impl TargetSignals {
    fn note_ready(&mut self, at: Timestamp) {
        self.ready_at = self.ready_at.max(Some(at));
        if self.failed_at < at {
            self.failures = 0;
        }
    }

    fn note_dispatch(&mut self, sent_at: Timestamp, signal: DispatchSignal) {
        match signal {
            DispatchSignal::Accepted => self.note_ready(sent_at),
            DispatchSignal::RefusedLeaving => self.leaving = Some(StateReason::LeavingRefusal),
            DispatchSignal::Unreachable => {
                self.failures += 1;
                self.failed_at = self.failed_at.max(sent_at);
            }
        }
    }

    fn status(&self, now: Timestamp) -> TargetStatus {
        let (state, reason) = self.evaluate(now);
        TargetStatus { state, reason }
    }

    fn evaluate(&self, now: Timestamp) -> (TargetState, StateReason) {
        match self.listing {
            VmListing::Gone => return (TargetState::Down, StateReason::ListedGone),
            VmListing::Listed(VmState::Leaving) => {
                return (TargetState::Leaving, StateReason::ListedLeaving);
            }
            VmListing::Listed(VmState::Live) | VmListing::NeverListed => {}
        }
        if let Some(reason) = self.leaving {
            return (TargetState::Leaving, reason);
        }
        if DOWN_FAILURES <= self.failures {
            return (TargetState::Down, StateReason::DispatchFailures);
        }
        match self.ready_at {
            None => (TargetState::Unknown, StateReason::NeverHeard),
            Some(at) if now.since(at) < REPORT_LEASE => {
                (TargetState::Eligible, StateReason::ReadyReport)
            }
            Some(_) => (TargetState::Unknown, StateReason::ReportExpired),
        }
    }
}
