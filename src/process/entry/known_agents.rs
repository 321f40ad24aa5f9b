//! The agents that an entry VM knows, and their membership state.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use crate::connection::{AgentReadiness, AgentReport, ListedState};
use crate::prelude::*;
use crate::process::membership::{
    self, DispatchSignal, MembershipEvent, MembershipTable, TargetState, TargetStatus,
};
use crate::process::platform::{VmList, VmState};
use crate::process::routing::TargetEligibility;

/// The addresses and the last reported state of one agent.
#[derive(Clone, Debug)]
pub(super) struct KnownAgent {
    /// The name of the agent.
    pub(super) agent: AgentName,
    /// The address for work.
    pub(super) work_address: SocketAddr,
    /// The address for control messages.
    pub(super) control_address: SocketAddr,
    /// The incarnation, known after the first response.
    pub(super) incarnation: Option<ProcessIncarnation>,
    /// The configuration version in its last response.
    pub(super) version: VersionNumber,
    /// The time of its last response.
    pub(super) heard_at: Option<Timestamp>,
    /// The position from which to request its next cache events.
    pub(super) cache_from: u64,
    readiness: AgentReadiness,
    listed: ListedState,
}

/// The agents by target, and their membership state as combined from all sources.
///
/// No other lock is taken while its lock is held.
#[derive(Debug, Default)]
pub(super) struct KnownAgents {
    agents: HashMap<TargetName, KnownAgent>,
    subscribed: HashSet<TargetName>,
    membership: MembershipTable,
}

impl KnownAgent {
    /// Creates an agent that has not responded yet.
    pub(super) fn new(agent: AgentName, work: SocketAddr, control: SocketAddr) -> Self {
        Self {
            agent,
            work_address: work,
            control_address: control,
            incarnation: None,
            version: VersionNumber(0),
            heard_at: None,
            cache_from: 0,
            readiness: AgentReadiness::NotReady,
            listed: ListedState::Present,
        }
    }

    /// Returns the state of the agent's VM in the platform's list.
    pub(super) fn listed(&self) -> ListedState {
        self.listed
    }

    fn observe(&mut self, now: Timestamp, report: &AgentReport) {
        if self.incarnation != Some(report.incarnation) {
            self.cache_from = 0;
        }
        self.incarnation = Some(report.incarnation);
        self.version = report.announcement.number;
        self.heard_at = Some(now);
        self.cache_from = report.cache_next;
        self.readiness = report.readiness;
    }
}

impl KnownAgents {
    /// Replaces the agents with those of a version; an agent with the same work address keeps its
    /// state.
    pub(super) fn set_agents(&mut self, agents: impl Iterator<Item = (TargetName, KnownAgent)>) {
        let mut previous = std::mem::take(&mut self.agents);
        for (target, agent) in agents {
            let known = previous.remove(&target);
            let known = known.filter(|known| known.work_address == agent.work_address);
            self.agents.insert(target, known.unwrap_or(agent));
        }
        self.membership.set_targets(self.agents.keys().cloned());
    }

    /// Sets which targets this entry VM subscribes to.
    pub(super) fn set_subscribed(&mut self, targets: HashSet<TargetName>) {
        self.subscribed = targets;
    }

    /// Returns the targets that this entry VM subscribes to.
    pub(super) fn subscribed(&self) -> impl Iterator<Item = &TargetName> {
        self.subscribed.iter()
    }

    /// Applies the platform's list of VMs.
    pub(super) fn set_list(&mut self, list: &VmList) {
        let state = |state| match state {
            VmState::Live => membership::VmState::Live,
            VmState::Leaving => membership::VmState::Leaving,
        };
        let vms = list.vms.iter();
        let vms = vms.map(|vm| (TargetName::from(Arc::clone(&vm.name)), state(vm.state)));
        let vms: Vec<_> = vms.collect();
        for (target, agent) in &mut self.agents {
            let is_leaving = vms
                .iter()
                .any(|(name, state)| name == target && *state == membership::VmState::Leaving);
            agent.listed = if is_leaving {
                ListedState::Leaving
            } else {
                ListedState::Present
            };
        }
        self.membership.on_event(MembershipEvent::VmList(vms));
    }

    /// Records an agent's response to the heartbeat that was sent at `heartbeat_at`.
    pub(super) fn observe(
        &mut self,
        now: Timestamp,
        heartbeat_at: Timestamp,
        target: &TargetName,
        report: &AgentReport,
    ) {
        let Some(agent) = self.agents.get_mut(target) else {
            return;
        };
        agent.observe(now, report);
        let readiness = match report.readiness {
            AgentReadiness::Ready => membership::AgentReadiness::Ready,
            AgentReadiness::Leaving => membership::AgentReadiness::Leaving,
            AgentReadiness::NotReady => return,
        };
        self.membership
            .on_event(MembershipEvent::Report(membership::AgentReport {
                target: target.clone(),
                incarnation: report.incarnation,
                readiness,
                heartbeat_at,
            }));
    }

    /// Records what a dispatch from this entry VM revealed about an agent.
    pub(super) fn record_dispatch(
        &mut self,
        target: &TargetName,
        incarnation: ProcessIncarnation,
        sent_at: Timestamp,
        signal: DispatchSignal,
    ) {
        let target = target.clone();
        self.membership.on_event(MembershipEvent::Dispatch {
            target,
            incarnation,
            sent_at,
            signal,
        });
    }

    /// Returns the state of a target and the reason for it.
    pub(super) fn status(&self, now: Timestamp, target: &TargetName) -> TargetStatus {
        self.membership.status(target, now)
    }

    /// Returns whether a target was ready and its next report is only late.
    pub(super) fn is_silent(&self, now: Timestamp, target: &TargetName) -> bool {
        self.is_ready(target) && self.membership.is_silent(target, now)
    }

    /// Returns whether a target may take new work.
    pub(super) fn eligibility(&self, now: Timestamp, target: &TargetName) -> TargetEligibility {
        let is_ready = self.is_ready(target);
        match self.status(now, target).state {
            TargetState::Leaving => TargetEligibility::Leaving,
            TargetState::Eligible if is_ready => TargetEligibility::Eligible,
            TargetState::Eligible | TargetState::Down | TargetState::Unknown => {
                TargetEligibility::Down
            }
        }
    }

    fn is_ready(&self, target: &TargetName) -> bool {
        let agent = self.agents.get(target);
        agent.is_some_and(|agent| agent.readiness != AgentReadiness::NotReady)
    }

    /// Returns the agent of a target.
    pub(super) fn get(&self, target: &TargetName) -> Option<&KnownAgent> {
        self.agents.get(target)
    }
}
