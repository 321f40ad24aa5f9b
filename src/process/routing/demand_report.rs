//! What entry VMs tell each other of their demand.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// The demand at one entry VM, for accounts whose demand matters to the others.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct DemandReport {
    /// The number of the report, higher for each later one.
    #[serde(rename = "s")]
    pub sequence: u64,
    /// The active accounts.
    #[serde(rename = "a")]
    pub accounts: Vec<AccountDemand>,
}

/// The demand of one client account at one entry VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct AccountDemand {
    /// The client account.
    #[serde(rename = "n")]
    pub account: AccountName,
    /// The offered tokens a second, admitted or not.
    #[serde(rename = "t")]
    pub tokens_per_second: u32,
    /// The requests in flight and those refused of late for that limit.
    #[serde(rename = "f")]
    pub in_flight: u32,
}
