//! How a request ended.

use derive_more::Display;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// How a request ended, as its caller is told.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum RequestOutcome {
    /// It ran and the answer is whole.
    #[display("answered")]
    Answered,
    /// It ran and the target said no.
    #[display("failed")]
    Failed,
    /// It did not run and cannot run later.
    #[display("not-run")]
    NotRun,
    /// It may have run.
    #[display("unknown")]
    Unknown,
}
