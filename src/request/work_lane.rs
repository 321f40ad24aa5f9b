//! The lanes that keep urgent work apart from bulk work.

use derive_more::Display;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The lane of a request, the most urgent first.
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
    /// A call that may not be repeated.
    #[display("order")]
    Order,
    /// An idempotent call to a plain service.
    #[display("lookup")]
    Lookup,
    /// A model request that a person waits for.
    #[display("interactive")]
    Interactive,
    /// A model request that nobody waits for.
    #[display("batch")]
    Batch,
}
