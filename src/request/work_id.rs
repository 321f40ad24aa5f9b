//! The id of one attempt of a request.

use derive_more::Display;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::request_id::RequestId;

/// One attempt of a request: each dispatch to an agent has its own number.
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
