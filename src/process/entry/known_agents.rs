//! What an entry VM knows of the agents.

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::connection::{AgentReadiness, AgentReport, ListedState};
use crate::prelude::*;
use crate::process::routing::TargetEligibility;

/// The failed polls after which an agent counts as down.
const MAX_FAILED_POLLS: u32 = 2;

/// What is known of one agent.
#[derive(Clone, Debug)]
pub(super) struct KnownAgent {
    /// The agent.
    pub(super) agent: AgentName,
    /// Where it takes work.
    pub(super) work_address: SocketAddr,
    /// Where it takes control messages.
    pub(super) control_address: SocketAddr,
    /// Its incarnation, once it has answered.
    pub(super) incarnation: Option<ProcessIncarnation>,
    /// The version that it last told.
    pub(super) version: VersionNumber,
    /// When it last answered.
    pub(super) heard_at: Option<Timestamp>,
    /// From where its next cache events are wanted.
    pub(super) cache_from: u64,
    readiness: AgentReadiness,
    n_failed_polls: u32,
}

/// The agents by target, and what the platform's list says of their VMs.
///
/// Its lock is a leaf of the lock order.
#[derive(Debug, Default)]
pub(super) struct KnownAgents {
    agents: HashMap<TargetName, KnownAgent>,
    leaving_vms: Vec<Arc<str>>,
}

impl KnownAgent {
    /// Makes an agent that has not answered yet.
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
            n_failed_polls: 0,
        }
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
        self.n_failed_polls = 0;
    }
}

impl KnownAgents {
    /// Takes over the agents of a version; known ones keep what is known of them.
    pub(super) fn set_agents(&mut self, agents: impl Iterator<Item = (TargetName, KnownAgent)>) {
        let mut earlier = std::mem::take(&mut self.agents);
        for (target, agent) in agents {
            let known = earlier.remove(&target);
            let known = known.filter(|known| known.work_address == agent.work_address);
            self.agents.insert(target, known.unwrap_or(agent));
        }
    }

    /// Takes over the VMs that the platform's list shows as leaving.
    pub(super) fn set_leaving_vms(&mut self, vms: Vec<Arc<str>>) {
        self.leaving_vms = vms;
    }

    /// Returns what the platform's list says of the VM of a target.
    pub(super) fn listed(&self, target: &TargetName) -> ListedState {
        let is_leaving = self.leaving_vms.iter().any(|vm| **vm == *target.as_str());
        if is_leaving {
            ListedState::Leaving
        } else {
            ListedState::Present
        }
    }

    /// Takes in an agent's report.
    pub(super) fn observe(&mut self, now: Timestamp, target: &TargetName, report: &AgentReport) {
        if let Some(agent) = self.agents.get_mut(target) {
            agent.observe(now, report);
        }
    }

    /// Notes a poll without an answer.
    pub(super) fn poll_failed(&mut self, target: &TargetName) {
        if let Some(agent) = self.agents.get_mut(target) {
            agent.n_failed_polls += 1;
        }
    }

    /// Returns whether a target may take new work.
    pub(super) fn eligibility(&self, target: &TargetName) -> TargetEligibility {
        let Some(agent) = self.agents.get(target) else {
            return TargetEligibility::Down;
        };
        if self.listed(target) == ListedState::Leaving {
            return TargetEligibility::Leaving;
        }
        if MAX_FAILED_POLLS <= agent.n_failed_polls {
            return TargetEligibility::Down;
        }
        match agent.readiness {
            AgentReadiness::Ready => TargetEligibility::Eligible,
            AgentReadiness::Leaving => TargetEligibility::Leaving,
            AgentReadiness::NotReady => TargetEligibility::Down,
        }
    }

    /// Returns an agent.
    pub(super) fn get(&self, target: &TargetName) -> Option<&KnownAgent> {
        self.agents.get(target)
    }

    /// Returns the targets.
    pub(super) fn targets(&self) -> impl Iterator<Item = TargetName> {
        self.agents.keys().cloned()
    }

    /// Returns the targets with their agents.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&TargetName, &KnownAgent)> {
        self.agents.iter()
    }
}
