//! Work that entry VMs offer to agents.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::request::work_id::WorkId;

use super::work_memory::WorkOrigin;

/// Work that an entry VM offers to an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct WorkOffer {
    /// The attempt.
    pub work: WorkId,
    /// The incarnation of the agent that the entry knows.
    pub incarnation: ProcessIncarnation,
    /// The entry VM that offers it.
    pub entry: EntryName,
    /// When that entry took the request in, by its own clock, never compared with another's.
    pub accepted_at: Timestamp,
    /// The time that is left for the answer, in milliseconds.
    pub remaining_ms: u64,
    /// The client account.
    pub account: AccountName,
    /// The account's share under contention.
    pub weight: u32,
    /// The lane.
    pub lane: WorkLane,
    /// The estimated cost, in tokens or calls.
    pub cost: u64,
    /// Whether it may run beside other work.
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

/// The cancellation of work, with all that the offer said of its origin.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct WorkCancel {
    /// The attempt.
    pub work: WorkId,
    /// The incarnation of the agent to which it was offered.
    pub incarnation: ProcessIncarnation,
    /// The entry VM that offered it.
    pub entry: EntryName,
    /// When that entry took the request in, by its own clock.
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

/// Whether work may run beside other work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum WorkSharing {
    /// It may.
    Shared,
    /// It is suspected of crashing targets and runs alone.
    Alone,
}
