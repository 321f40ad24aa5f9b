//! The table of targets with what each source says.

use std::collections::BTreeMap;

use crate::prelude::*;

use super::{
    AgentReadiness, AgentReport, DispatchSignal, MembershipEvent, StateReason, TargetState,
    TargetStatus, VmState,
};

/// The time between two heartbeats to an agent.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_100);
/// How long a report of readiness holds, from the heartbeat that it answers.
///
/// Two heartbeats; below the 3 s after which a target that is leaving gets no new work.
pub const REPORT_LEASE: Duration = Duration::from_millis(2_400);
/// Failed dispatches in a row after which a target is down until its next report.
const DOWN_FAILURES: u32 = 2;

/// The targets with what each source says: the platform's list, the agents' reports, and the
/// results of this process's own dispatches.
///
/// A target is eligible only while none of them speaks against it, and only within the lease
/// of a report. So a lost signal costs at most the lease, and a report that is late or of an
/// earlier life of the agent renews nothing.
#[derive(Clone, Debug, Default)]
pub struct MembershipTable {
    targets: BTreeMap<TargetName, TargetSigns>,
}

#[derive(Clone, Debug, Default)]
struct TargetSigns {
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

    /// Takes over the targets of a configuration version; what is known of the others goes.
    pub fn set_targets(&mut self, targets: impl IntoIterator<Item = TargetName>) {
        let mut known = std::mem::take(&mut self.targets);
        for target in targets {
            let signs = known.remove(&target).unwrap_or_default();
            self.targets.insert(target, signs);
        }
    }

    /// Handles one event; events about unknown targets change nothing.
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
                let signs = self.targets.get_mut(&target);
                let signs = signs.filter(|signs| signs.incarnation == incarnation);
                if let Some(signs) = signs {
                    signs.note_dispatch(sent_at, signal);
                }
            }
        }
    }

    /// Returns the state of a target at `now`, with what it rests on.
    pub fn status(&self, target: &TargetName, now: Timestamp) -> TargetStatus {
        match self.targets.get(target) {
            Some(signs) => signs.status(now),
            None => TargetStatus {
                state: TargetState::Unknown,
                reason: StateReason::NeverHeard,
            },
        }
    }

    /// Returns every target with its state at `now`.
    pub fn statuses(&self, now: Timestamp) -> impl Iterator<Item = (&TargetName, TargetStatus)> {
        self.targets
            .iter()
            .map(move |(name, signs)| (name, signs.status(now)))
    }

    /// Returns the life of the agent that the last report named.
    pub fn incarnation(&self, target: &TargetName) -> Option<ProcessIncarnation> {
        let signs = self.targets.get(target)?;
        signs.ready_at.map(|_| signs.incarnation)
    }

    fn on_list(&mut self, list: &[(TargetName, VmState)]) {
        let listed: BTreeMap<&TargetName, VmState> =
            list.iter().map(|(name, state)| (name, *state)).collect();
        for (name, signs) in &mut self.targets {
            signs.listing = match (listed.get(name), signs.listing) {
                (Some(state), _) => VmListing::Listed(*state),
                (None, VmListing::NeverListed) => VmListing::NeverListed,
                (None, _) => VmListing::Gone,
            };
        }
    }

    fn on_report(&mut self, report: &AgentReport) {
        let Some(signs) = self.targets.get_mut(&report.target) else {
            return;
        };
        if report.incarnation < signs.incarnation {
            return;
        }
        if signs.incarnation < report.incarnation {
            *signs = TargetSigns {
                listing: signs.listing,
                incarnation: report.incarnation,
                ..TargetSigns::default()
            };
        }
        match report.readiness {
            AgentReadiness::Leaving => signs.leaving = Some(StateReason::LeavingReport),
            AgentReadiness::Ready => signs.note_ready(report.heartbeat_at),
        }
    }
}

impl TargetSigns {
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
        let (state, reason) = self.judge(now);
        TargetStatus { state, reason }
    }

    fn judge(&self, now: Timestamp) -> (TargetState, StateReason) {
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
