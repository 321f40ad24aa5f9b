//! What entries tell each other of what may have ended targets.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

use super::suspect_key::SuspectKey;

/// What an entry knows of a request or part of prompts that may have ended targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// The request or part.
    pub key: SuspectKey,
    /// The targets that ended while they ran it, or a request that has it.
    pub ends: SmallVec<[EndReport; 4]>,
    /// The time since a target last answered it, in milliseconds, where one did.
    pub answered_ms: Option<u32>,
    /// Whether the sender knows the ends from the store only. Such reports go out in messages of their
    /// own, which earlier versions ignore.
    #[serde(skip)]
    pub is_restored: bool,
}

/// The end of a target while it ran a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndReport {
    /// The hash of the target's id.
    pub target: u32,
    /// The start of the digest of the request.
    pub request: u32,
    /// The time since the end, in milliseconds.
    pub age_ms: u32,
    /// The time from the start of the run to the end, in milliseconds.
    pub run_ms: u32,
}
