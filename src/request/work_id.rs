//! The id of one attempt of a request.

use derive_more::Display;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::request_id::RequestId;

/// Identifies one attempt of a request; every dispatch to an agent gets its own number.
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
#[display("{request}/{attempt}")]
pub struct WorkId {
    /// The request.
    pub request: RequestId,
    /// The number of the attempt, from 1.
    pub attempt: u32,
}
