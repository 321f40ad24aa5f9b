//! Paths of entries in a configuration version.

use derive_more::Display;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// The place of one entry in the content of a configuration version.
#[derive(
    Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
#[serde(rename_all = "kebab-case")]
pub enum ConfigPath {
    /// A client account.
    #[display("accounts/{_0}")]
    Account(AccountName),
    /// A model.
    #[display("models/{_0}")]
    Model(ModelName),
    /// A plain service.
    #[display("services/{_0}")]
    Service(ServiceName),
    /// A target.
    #[display("targets/{_0}")]
    Target(TargetName),
    /// A group of ranks.
    #[display("groups/{_0}")]
    Group(GroupName),
    /// Retries and timeouts.
    #[display("retries")]
    Retries,
    /// Weights of the placement of experts.
    #[display("placement")]
    Placement,
}
