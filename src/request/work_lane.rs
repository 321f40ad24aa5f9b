//! Priority lanes that separate urgent work from bulk work.

use derive_more::Display;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The priority lane of a request, ordered from the most urgent to the least.
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
#[serde(rename_all = "kebab-case")]
pub enum WorkLane {
    /// A non-idempotent call, which must run at most once.
    #[display("order")]
    Order,
    /// An idempotent call to a plain service.
    #[display("lookup")]
    Lookup,
    /// A model request with a user waiting for the answer.
    #[display("interactive")]
    Interactive,
    /// A model request with no user waiting for the answer.
    #[display("batch")]
    Batch,
}
