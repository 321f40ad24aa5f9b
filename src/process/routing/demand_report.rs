//! The demand of client accounts that entry VMs report to each other.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// The demand at one entry VM, for accounts whose demand is large enough to affect the others.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct DemandReport {
    /// The sequence number, which increases with each report.
    #[serde(rename = "s")]
    pub sequence: u64,
    /// The accounts with significant demand.
    #[serde(rename = "a")]
    pub accounts: Vec<AccountDemand>,
}

/// The demand of one client account at one entry VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct AccountDemand {
    /// The client account.
    #[serde(rename = "n")]
    pub account: AccountName,
    /// The offered tokens per second, admitted or not.
    #[serde(rename = "t")]
    pub tokens_per_second: u32,
    /// The requests in flight plus those recently refused for that limit.
    #[serde(rename = "f")]
    pub in_flight: u32,
}
