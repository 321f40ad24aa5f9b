//! The records of the order stream.

use derive_more::Display;
use rand::Rng;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use uuid::{Builder, Uuid};

use crate::prelude::*;

use super::answer::OrderAnswer;
use super::digest::BodyDigest;
use super::key::OrderKey;

/// The version of the record format that this program writes.
pub const RECORD_FORMAT: u32 = 1;

/// The id of one dispatch of an order to one agent.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    JsonSchema,
)]
#[serde(transparent)]
pub struct AttemptId(pub Uuid);

impl AttemptId {
    /// Generates a random id.
    pub fn random<R: Rng>(rng: &mut R) -> Self {
        let mut bytes = [0; 16];
        rng.fill_bytes(&mut bytes);
        Self(Builder::from_random_bytes(bytes).into_uuid())
    }
}

/// A record of the order stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// The version of the record's format.
    pub format: u32,
    /// The key that the record is about.
    pub key: OrderKey,
    /// The attempt that the record is about.
    pub attempt: AttemptId,
    /// The change that the record makes.
    #[serde(flatten)]
    pub change: OrderChange,
}

impl OrderRecord {
    /// Creates a record in the current format.
    pub fn new(key: OrderKey, attempt: AttemptId, change: OrderChange) -> Self {
        Self {
            format: RECORD_FORMAT,
            key,
            attempt,
            change,
        }
    }

    /// Returns the record as JSON, as the log service stores it.
    pub fn to_value(&self) -> serde_json::Value {
        serde_json::to_value(self).expect("an order record has string keys only")
    }
}

/// The change that a record makes to its key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "kebab-case")]
pub enum OrderChange {
    /// An agent claims the key to run its order.
    Claim(OrderClaim),
    /// An entry VM voids the key: if no valid record comes before, its order never runs.
    Void(OrderVoid),
    /// The holder of the claim, or an operator, records the outcome.
    Settle(OrderSettlement),
}

/// An agent's claim of a key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OrderClaim {
    /// The digest of the service, call and body.
    pub digest: BodyDigest,
    /// The agent that is to run the order.
    pub agent: AgentName,
    /// The incarnation of the agent; no other incarnation may use the claim.
    pub incarnation: ProcessIncarnation,
    /// The target that is to run the order.
    pub target: TargetName,
    /// The service.
    pub service: ServiceName,
    /// The call of the service.
    pub call: Arc<str>,
}

/// An entry VM's void of a key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OrderVoid {
    /// Why the key is closed.
    pub reason: VoidReason,
    /// The entry VM that closes it.
    pub entry: EntryName,
}

/// Why an entry VM closes a key.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum VoidReason {
    /// The connection to the agent was lost after the dispatch.
    #[display("agent-lost")]
    AgentLost,
    /// No agent could be reached.
    #[display("no-agent")]
    NoAgent,
}

/// The recorded outcome of an order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OrderSettlement {
    /// The outcome.
    pub outcome: RequestOutcome,
    /// The target's answer, if there is one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answer: Option<OrderAnswer>,
    /// Who recorded the outcome.
    pub by: SettlementAuthor,
}

impl OrderSettlement {
    /// Returns the precedence of the settlement over others of the same attempt.
    ///
    /// The holder knows what it ran, so an operator overrides only its unknown outcome.
    /// Rank 0 leaves the claim open.
    pub(super) fn rank(&self) -> u8 {
        match (&self.by, self.outcome) {
            (SettlementAuthor::Agent { .. }, RequestOutcome::Unknown) => 0,
            (SettlementAuthor::Operator { .. }, _) => 1,
            (SettlementAuthor::Agent { .. }, _) => 2,
        }
    }
}

/// Who recorded the outcome of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SettlementAuthor {
    /// The holder of the claim.
    Agent {
        /// The agent.
        agent: AgentName,
        /// The incarnation of the agent.
        incarnation: ProcessIncarnation,
    },
    /// An operator who looked the order up at the target.
    Operator {
        /// The operator's name.
        name: Arc<str>,
        /// What the operator found.
        note: Arc<str>,
    },
}
