//! The control messages between processes, by JSON-RPC.

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

/// What an entry VM tells another, and gets back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerHello {
    /// The entry VM that speaks.
    #[serde(rename = "f")]
    pub from: EntryName,
    /// Its data centre.
    #[serde(rename = "c")]
    pub data_centre: DataCentreName,
    /// Where it takes control messages.
    #[serde(rename = "a")]
    pub control: SocketAddr,
    /// The version that it has in force.
    #[serde(rename = "v")]
    pub announcement: VersionAnnouncement,
    /// The demand of client accounts at it.
    #[serde(rename = "d")]
    pub demand: DemandReport,
    /// The requests that may crash targets; empty between data centres.
    #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
    pub suspects: Vec<SuspectReport>,
    /// The other entry VMs that it knows; told only now and then.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub peers: Vec<SocketAddr>,
}

/// What an entry VM asks an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportPoll {
    /// The entry VM that asks.
    #[serde(rename = "f")]
    pub from: EntryName,
    /// Its data centre.
    #[serde(rename = "c")]
    pub data_centre: DataCentreName,
    /// Where it takes control messages.
    #[serde(rename = "a")]
    pub control: SocketAddr,
    /// The version that it has in force.
    #[serde(rename = "v")]
    pub announcement: VersionAnnouncement,
    /// What the platform's list says of the agent's VM.
    #[serde(rename = "l", default, skip_serializing_if = "ListedState::is_present")]
    pub listed: ListedState,
    /// From where cache events are wanted.
    #[serde(rename = "k")]
    pub cache_from: u64,
}

/// What the platform's list says of a VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ListedState {
    /// Nothing, or that the VM is in use.
    #[default]
    Present,
    /// That the VM is leaving.
    Leaving,
}

impl ListedState {
    /// Returns whether the list says nothing against the VM.
    #[allow(clippy::trivially_copy_pass_by_ref)] // The signature that serde asks for.
    pub fn is_present(&self) -> bool {
        *self == Self::Present
    }
}

/// What an agent reports.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AgentReport {
    /// The incarnation of the agent.
    #[serde(rename = "i")]
    pub incarnation: ProcessIncarnation,
    /// Whether it takes new work.
    #[serde(rename = "r")]
    pub readiness: AgentReadiness,
    /// The load, where the agent knows its target.
    #[serde(rename = "l")]
    pub load: Option<LoadReport>,
    /// The version that it has in force.
    #[serde(rename = "v")]
    pub announcement: VersionAnnouncement,
    /// The requests that may crash targets.
    #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
    pub suspects: Vec<SuspectReport>,
    /// Changes of the target's prefix cache.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    pub cache: Vec<CacheEvent>,
    /// From where the next cache events are wanted.
    #[serde(rename = "k")]
    pub cache_next: u64,
}

/// Whether an agent takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "kebab-case")]
pub enum AgentReadiness {
    /// It does.
    #[display("ready")]
    Ready,
    /// It has no configuration yet, or its target is down.
    #[display("not-ready")]
    NotReady,
    /// It is leaving.
    #[display("leaving")]
    Leaving,
}

/// The announcement of a version between two processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionNotice {
    /// The process that speaks.
    pub from: PeerInfo,
    /// Where it takes control messages.
    pub control: SocketAddr,
    /// What it announces.
    pub announcement: VersionAnnouncement,
    /// Whether an announcement is wanted in return.
    pub kind: AnnouncementKind,
}

/// A request for the versions after one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionPull {
    /// The version that the asking process has.
    pub since: VersionNumber,
}

/// The control messages.
#[rpc(server, client, namespace = "cf")]
pub trait Control {
    /// Exchanges versions, demand and suspects between entry VMs.
    #[method(name = "exchange")]
    async fn exchange(&self, hello: PeerHello) -> Result<PeerHello, ErrorObjectOwned>;

    /// Asks an agent for its report.
    #[method(name = "report")]
    async fn report(&self, poll: ReportPoll) -> Result<AgentReport, ErrorObjectOwned>;

    /// Passes a message about step windows; returns the answer, if there is one.
    #[method(name = "step")]
    async fn step(&self, envelope: StepEnvelope) -> Result<Option<StepMessage>, ErrorObjectOwned>;

    /// Asks a rank for the content of a map.
    #[method(name = "find_map")]
    async fn find_map(
        &self,
        request: MapRequest,
    ) -> Result<Option<Arc<ExpertMap>>, ErrorObjectOwned>;

    /// Asks a rank for the loads of its experts.
    #[method(name = "expert_loads")]
    async fn expert_loads(
        &self,
        group: GroupName,
    ) -> Result<Option<expert_map::LoadReport>, ErrorObjectOwned>;

    /// Asks the leader of a group what it would move; others answer nothing.
    #[method(name = "plan")]
    async fn plan(&self, group: GroupName) -> Result<Option<PlanReport>, ErrorObjectOwned>;

    /// Announces the version in force.
    #[method(name = "announce")]
    async fn announce(&self, notice: VersionNotice) -> Result<(), ErrorObjectOwned>;

    /// Asks for the versions after one.
    #[method(name = "pull")]
    async fn pull(&self, pull: VersionPull) -> Result<VersionBody, ErrorObjectOwned>;
}
