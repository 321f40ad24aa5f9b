//! Offers and cancellations of work that entry VMs send to agents.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::request::work_id::WorkId;

use super::work_history::WorkOrigin;

/// Work that an entry VM offers to an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct WorkOffer {
    /// The attempt at a request.
    pub work: WorkId,
    /// The incarnation of the agent, as the entry knows it.
    pub incarnation: ProcessIncarnation,
    /// The entry VM that offers it.
    pub entry: EntryName,
    /// When that entry accepted the request, by its own clock; never compared across clocks.
    pub accepted_at: Timestamp,
    /// The time left until the answer is due, in milliseconds.
    pub remaining_ms: u64,
    /// The client account.
    pub account: AccountName,
    /// The account's relative share under contention.
    pub weight: u32,
    /// The priority lane.
    pub lane: WorkLane,
    /// The estimated cost, in tokens or calls.
    pub cost: u64,
    /// Whether it may run concurrently with other work.
    pub sharing: WorkSharing,
}

impl WorkOffer {
    pub(crate) fn origin(&self) -> WorkOrigin {
        WorkOrigin {
            entry: self.entry.clone(),
            accepted_at: self.accepted_at,
        }
    }
}

/// The cancellation of work, with the origin that its offer carries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct WorkCancel {
    /// The attempt at a request.
    pub work: WorkId,
    /// The incarnation of the agent to which it was offered.
    pub incarnation: ProcessIncarnation,
    /// The entry VM that offered it.
    pub entry: EntryName,
    /// When that entry accepted the request, by its own clock.
    pub accepted_at: Timestamp,
}

impl WorkCancel {
    pub(crate) fn origin(&self) -> WorkOrigin {
        WorkOrigin {
            entry: self.entry.clone(),
            accepted_at: self.accepted_at,
        }
    }
}

/// Whether work may run concurrently with other work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum WorkSharing {
    /// It may run concurrently.
    Shared,
    /// It is suspected of crashing targets, so it runs alone.
    Alone,
}
