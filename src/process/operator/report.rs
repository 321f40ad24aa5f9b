//! The requests and responses of the operators' API.

use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::process::distribution::DataCentreReport;
use crate::process::orders::{AttemptId, FindingOutcome, OrderKey};
use crate::version::config::{
    AuthorName, BatchName, ChangeSummary, ConfigChange, ConfigContent, VersionDigest,
};

/// The state of an entry VM and what it sees of the others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct StatusReport {
    /// The entry VM.
    pub name: EntryName,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// The version in force here.
    pub version: VersionNumber,
    /// The digest of the version.
    pub digest: VersionDigest,
    /// On what basis it serves; none while it starts.
    pub basis: Option<String>,
    /// Whether it read the log service's tail a moment ago.
    pub reads_log: bool,
    /// Whether the log service answered last, where it reads it.
    pub log_reachable: bool,
    /// Requests in progress here.
    pub in_flight: i64,
    /// The other entry VMs that this one knows.
    pub peers: Vec<PeerReport>,
    /// The data centres, with what they serve at least.
    pub data_centres: Vec<DataCentreReport>,
    /// The targets, by what this entry VM knows of them.
    pub targets: Vec<TargetReport>,
}

/// What an entry VM knows of another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct PeerReport {
    /// The other entry VM, where it has answered.
    pub name: Option<EntryName>,
    /// Its data centre, where it has answered.
    pub data_centre: Option<DataCentreName>,
    /// Its address for control messages.
    pub control: SocketAddr,
    /// The version that it last told.
    pub version: VersionNumber,
    /// The time since it last answered, in milliseconds; none if it never did.
    pub silent_ms: Option<u64>,
    /// Whether it answered the last message.
    pub reachable: bool,
}

/// What an entry VM knows of a target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct TargetReport {
    /// The target.
    pub target: TargetName,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// What it serves.
    pub serves: String,
    /// Whether it takes new work.
    pub state: String,
    /// What the state rests on.
    pub reason: String,
    /// The incarnation of its agent.
    pub incarnation: Option<ProcessIncarnation>,
    /// The estimated requests that run or wait there.
    pub load: u32,
    /// Whether it is much slower than others of its kind.
    pub slow: bool,
    /// The version in force at its agent.
    pub version: VersionNumber,
    /// The time since its agent last answered, in milliseconds; none if it never did.
    pub silent_ms: Option<u64>,
}

/// A configuration version with its content.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct ConfigReport {
    /// The number.
    pub version: VersionNumber,
    /// The digest.
    pub digest: VersionDigest,
    /// The content.
    pub content: ConfigContent,
}

/// One version of the history.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct VersionReport {
    /// The version in short.
    pub summary: ChangeSummary,
    /// The changes as they were sent; none for a recall.
    pub changes: Vec<ConfigChange>,
    /// The version that recalled it.
    pub recalled_by: Option<VersionNumber>,
}

/// A patch that an operator sends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PatchOrder {
    /// The version that the operator saw.
    pub base: VersionNumber,
    /// The batch that the patch belongs to.
    pub batch: BatchName,
    /// The operator.
    pub author: AuthorName,
    /// The changes, applied in this order.
    pub changes: Vec<ConfigChange>,
}

/// A recall that an operator sends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RecallOrder {
    /// The version that the operator saw.
    pub base: VersionNumber,
    /// The batch to recall.
    pub batch: BatchName,
    /// The operator.
    pub author: AuthorName,
}

/// What became of a patch or a recall.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema, derive_more::Display,
)]
#[serde(rename_all = "kebab-case")]
pub enum PatchResult {
    /// It made a version.
    #[display("accepted")]
    Accepted,
    /// It was judged and did not pass.
    #[display("rejected")]
    Rejected,
    /// It was not written and will not be.
    #[display("not-written")]
    NotWritten,
    /// It is not known whether it was written; the nonce finds it in the history.
    #[display("unknown")]
    Unknown,
}

/// What became of a patch or a recall, with what an operator needs to go on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct PatchReport {
    /// What became of it.
    pub result: PatchResult,
    /// The version that it made, or the current version.
    pub version: VersionNumber,
    /// The nonce of the record.
    pub nonce: String,
    /// Why it was rejected or not written; empty when it was accepted.
    pub reason: String,
}

/// Why a request was routed as it was.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct RequestReport {
    /// The request.
    pub request: RequestId,
    /// The client account.
    pub account: AccountName,
    /// The decisions, in their order.
    pub decisions: Vec<DecisionReport>,
    /// The outcome, once there is one.
    pub outcome: Option<RequestOutcome>,
}

/// One decision on a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct DecisionReport {
    /// When, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// What was decided and why.
    pub decision: String,
}

/// The orders without a known outcome.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct OpenOrders {
    /// The claims without a settlement, the oldest first.
    pub orders: Vec<OpenOrder>,
}

/// A claim without a settlement.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct OpenOrder {
    /// The key.
    pub key: OrderKey,
    /// The attempt that holds the claim.
    pub attempt: AttemptId,
    /// The agent that holds it.
    pub agent: AgentName,
    /// The target.
    pub target: TargetName,
    /// The age of the claim, in seconds.
    pub age_s: u64,
}

/// What an operator found out about an order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct SettleOrder {
    /// The key.
    pub key: OrderKey,
    /// The attempt that holds the claim.
    pub attempt: AttemptId,
    /// What the target's own books say.
    pub outcome: FindingOutcome,
    /// The operator.
    pub author: AuthorName,
    /// How the operator found out.
    pub note: String,
}

/// What became of a settlement by an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct SettleReport {
    /// What became of it.
    pub result: PatchResult,
    /// What was recorded, or why nothing was.
    pub reason: String,
}
