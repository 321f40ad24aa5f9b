//! The content of a configuration version.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// The content of a configuration version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct ConfigContent {
    /// The client accounts.
    pub accounts: BTreeMap<AccountName, AccountConfig>,
    /// The models that are served.
    pub models: BTreeMap<ModelName, ModelConfig>,
    /// The plain services.
    pub services: BTreeMap<ServiceName, ServiceConfig>,
    /// The targets.
    pub targets: BTreeMap<TargetName, TargetConfig>,
    /// The groups of ranks that run in lock-step.
    pub groups: BTreeMap<GroupName, GroupConfig>,
    /// Retries and timeouts.
    pub retries: RetryConfig,
    /// Weights of the placement of experts.
    pub placement: PlacementConfig,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct AccountConfig {
    /// SHA-256 of each bearer token, in lower-case hex.
    pub token_sha256: Vec<String>,
    /// Limit in tokens a second, over all entry VMs.
    pub tokens_per_second: u64,
    /// Limit of requests in flight, over all entry VMs.
    pub in_flight: u32,
    /// Share under contention, relative to other accounts.
    pub weight: u32,
}

/// A model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ModelConfig {
    /// The longest answer, in tokens.
    pub max_tokens: u32,
    /// The longest time for a whole answer, in milliseconds.
    pub timeout_ms: u64,
}

/// A plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ServiceConfig {
    /// The calls of the service.
    pub calls: BTreeMap<String, CallConfig>,
}

/// One call of a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct CallConfig {
    /// Whether the call may be repeated.
    pub kind: CallKind,
    /// The longest time for an answer, in milliseconds.
    pub timeout_ms: u64,
}

/// Whether a call may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum CallKind {
    /// An idempotent call.
    Lookup,
    /// A call that runs at most once.
    Order,
}

/// A target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct TargetConfig {
    /// The data centre of the target.
    pub data_centre: DataCentreName,
    /// The agent beside the target.
    pub agent: AgentName,
    /// Where the agent takes work.
    pub work_address: SocketAddr,
    /// Where the agent takes control messages.
    pub control_address: SocketAddr,
    /// What the target serves.
    pub serves: TargetRole,
    /// Whether the target refuses an order with an old fencing number.
    pub checks_fencing: bool,
    /// The most requests that the target runs at a time.
    pub slots: u32,
}

/// What a target serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum TargetRole {
    /// A model engine.
    Model(ModelName),
    /// A plain service.
    Service(ServiceName),
}

/// A group of ranks that run in lock-step; a rank's number is its place in `ranks`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct GroupConfig {
    /// The model that the group runs.
    pub model: ModelName,
    /// The target of each rank.
    pub ranks: Vec<TargetName>,
    /// The mixture-of-experts layers.
    pub layers: u32,
    /// The experts of a layer.
    pub experts: u32,
    /// The experts that a rank can hold in one layer, replicas included.
    pub slots_per_rank: u32,
    /// The steps of one step window.
    pub window_steps: u32,
}

/// Retries and timeouts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct RetryConfig {
    /// Retries per first try, in percent.
    pub budget_percent: u32,
    /// The most tries of one request.
    pub max_tries: u32,
    /// The mean of the first delay, in milliseconds.
    pub base_delay_ms: u64,
    /// How long an idempotency key of an order stays valid, in seconds.
    pub order_window_s: u64,
}

impl Default for RetryConfig {
    fn default() -> Self {
        Self {
            budget_percent: 10,
            max_tries: 3,
            base_delay_ms: 20,
            order_window_s: 3_600,
        }
    }
}

/// Weights of the placement of experts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct PlacementConfig {
    /// The cost of skew: of step time above the mean, as a share.
    pub skew_weight: f64,
    /// The cost of moved bytes, as a share of a rank's expert memory, as a mean over the ranks.
    pub move_weight: f64,
    /// The most expert replicas loaded in one round.
    pub max_moves: u32,
    /// How long a new map is expected to stay useful, in seconds.
    pub horizon_s: u32,
}

impl Default for PlacementConfig {
    fn default() -> Self {
        Self {
            skew_weight: 1.0,
            move_weight: 1.0,
            max_moves: 64,
            horizon_s: 600,
        }
    }
}
