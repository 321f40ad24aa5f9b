//! The JSON-RPC interface for control messages between processes.

use std::net::SocketAddr;

use jsonrpsee::proc_macros::rpc;
use jsonrpsee::types::ErrorObjectOwned;
use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::process::distribution::{AnnouncementKind, PeerInfo, VersionAnnouncement, VersionBody};
use crate::process::routing::{CacheEvent, DemandReport, LoadReport, SuspectReport};
use crate::process::step_window::StepMessage;
use crate::version::expert_map::{self, ExpertMap};

use super::step_rpc::{MapRequest, PlanReport, StepEnvelope};

/// The state that two entry VMs exchange; the request and the response have the same form.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerHello {
    /// The sending entry VM.
    #[serde(rename = "f")]
    pub from: EntryName,
    /// The data centre of the sender.
    #[serde(rename = "c")]
    pub data_centre: DataCentreName,
    /// The address where the sender accepts control messages.
    #[serde(rename = "a")]
    pub control: SocketAddr,
    /// The version in force at the sender.
    #[serde(rename = "v")]
    pub announcement: VersionAnnouncement,
    /// The demand of client accounts at the sender.
    #[serde(rename = "d")]
    pub demand: DemandReport,
    /// Requests suspected of crashing targets; empty between data centres.
    #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
    pub suspects: Vec<SuspectReport>,
    /// The other entry VMs known to the sender; not included in every exchange.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub peers: Vec<SocketAddr>,
}

/// A poll from an entry VM for the report of an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportPoll {
    /// The polling entry VM.
    #[serde(rename = "f")]
    pub from: EntryName,
    /// The data centre of the sender.
    #[serde(rename = "c")]
    pub data_centre: DataCentreName,
    /// The address where the sender accepts control messages.
    #[serde(rename = "a")]
    pub control: SocketAddr,
    /// The version in force at the sender.
    #[serde(rename = "v")]
    pub announcement: VersionAnnouncement,
    /// The state of the agent's VM in the platform's VM list.
    #[serde(rename = "l", default, skip_serializing_if = "ListedState::is_present")]
    pub listed: ListedState,
    /// The position of the first cache event to return.
    #[serde(rename = "k")]
    pub cache_from: u64,
}

/// The state of a VM in the platform's VM list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ListedState {
    /// The VM is in use, or the list has no entry for it.
    #[default]
    Present,
    /// The VM is being removed.
    Leaving,
}

impl ListedState {
    /// Returns whether the VM is not being removed.
    #[allow(clippy::trivially_copy_pass_by_ref)] // serde requires this signature.
    pub fn is_present(&self) -> bool {
        *self == Self::Present
    }
}

/// The report of an agent in response to a poll.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AgentReport {
    /// The incarnation of the agent.
    #[serde(rename = "i")]
    pub incarnation: ProcessIncarnation,
    /// Whether the agent accepts new work.
    #[serde(rename = "r")]
    pub readiness: AgentReadiness,
    /// The load of the target, if the agent knows its target.
    #[serde(rename = "l")]
    pub load: Option<LoadReport>,
    /// The version in force at the agent.
    #[serde(rename = "v")]
    pub announcement: VersionAnnouncement,
    /// Requests suspected of crashing targets.
    #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
    pub suspects: Vec<SuspectReport>,
    /// Changes of the target's prefix cache.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    pub cache: Vec<CacheEvent>,
    /// The position from which the next poll should request cache events.
    #[serde(rename = "k")]
    pub cache_next: u64,
}

/// Whether an agent accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "kebab-case")]
pub enum AgentReadiness {
    /// It accepts new work.
    #[display("ready")]
    Ready,
    /// It has no configuration yet, or its target is down.
    #[display("not-ready")]
    NotReady,
    /// It is shutting down and accepts no new work.
    #[display("leaving")]
    Leaving,
}

/// An announcement of the version in force, sent from one process to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionNotice {
    /// The sending process.
    pub from: PeerInfo,
    /// The address where the sender accepts control messages.
    pub control: SocketAddr,
    /// The announced version.
    pub announcement: VersionAnnouncement,
    /// Whether the receiver should announce its own version in return.
    pub kind: AnnouncementKind,
}

/// A request for the versions after a given one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionPull {
    /// The version that the requester already has.
    pub since: VersionNumber,
}

/// The control methods that a process serves to its peers.
#[rpc(server, client, namespace = "cf")]
pub trait Control {
    /// Exchanges versions, demand and suspected requests between entry VMs.
    #[method(name = "exchange")]
    async fn exchange(&self, hello: PeerHello) -> Result<PeerHello, ErrorObjectOwned>;

    /// Returns the report of an agent.
    #[method(name = "report")]
    async fn report(&self, poll: ReportPoll) -> Result<AgentReport, ErrorObjectOwned>;

    /// Delivers a step-window message; returns the reply, if there is one.
    #[method(name = "step")]
    async fn step(&self, envelope: StepEnvelope) -> Result<Option<StepMessage>, ErrorObjectOwned>;

    /// Returns the content of an expert map, if the rank has it.
    #[method(name = "find_map")]
    async fn find_map(
        &self,
        request: MapRequest,
    ) -> Result<Option<Arc<ExpertMap>>, ErrorObjectOwned>;

    /// Returns the expert loads that a rank measured, if any.
    #[method(name = "expert_loads")]
    async fn expert_loads(
        &self,
        group: GroupName,
    ) -> Result<Option<expert_map::LoadReport>, ErrorObjectOwned>;

    /// Returns the placement plan of a group's leader; `None` from any other agent.
    #[method(name = "plan")]
    async fn plan(&self, group: GroupName) -> Result<Option<PlanReport>, ErrorObjectOwned>;

    /// Announces the version in force at the sender.
    #[method(name = "announce")]
    async fn announce(&self, notice: VersionNotice) -> Result<(), ErrorObjectOwned>;

    /// Returns the versions after a given one.
    #[method(name = "pull")]
    async fn pull(&self, pull: VersionPull) -> Result<VersionBody, ErrorObjectOwned>;
}
