//! The manual settlement of an order whose claim was never settled by its holder.

use derive_more::Display;
use quick_error::quick_error;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::prelude::*;

use super::fold::OpenClaim;
use super::record::{OrderChange, OrderRecord, OrderSettlement, SettlementAuthor};

/// Minimum age of a claim before an operator may settle it; until then its holder may still run
/// the order.
const MIN_CLAIM_AGE: Duration = Duration::from_secs(900);

/// What an operator found out about an order whose claim was never settled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorFinding {
    /// The operator's name, for the audit trail.
    pub operator: Arc<str>,
    /// The outcome according to the target's own records.
    pub outcome: FindingOutcome,
    /// Where and how the operator verified the outcome.
    pub note: Arc<str>,
}

/// What the target's own books say of an order.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
pub enum FindingOutcome {
    /// It ran.
    Answered,
    /// It ran and was turned down.
    Failed,
    /// It did not run.
    NotRun,
}

quick_error! {
    /// Why an operator's finding is rejected.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum SettleError {
        /// The holder may still run the order.
        ClaimTooYoung(age: Duration, least: Duration) {
            display("the claim is {} s old; its holder may run it until {} s",
                age.as_secs(), least.as_secs())
        }
    }
}

impl OpenClaim {
    /// Returns the record that settles the claim with the outcome that an operator found.
    ///
    /// A later settlement by the holder itself takes precedence, unless its outcome is unknown.
    ///
    /// # Errors
    /// Returns [`SettleError::ClaimTooYoung`] while the holder may still run the order.
    pub fn settle(
        &self,
        now: Timestamp,
        finding: &OperatorFinding,
    ) -> Result<OrderRecord, SettleError> {
        let age = now.since(self.at);
        if age < MIN_CLAIM_AGE {
            return Err(SettleError::ClaimTooYoung(age, MIN_CLAIM_AGE));
        }
        let settlement = OrderSettlement {
            outcome: match finding.outcome {
                FindingOutcome::Answered => RequestOutcome::Answered,
                FindingOutcome::Failed => RequestOutcome::Failed,
                FindingOutcome::NotRun => RequestOutcome::NotRun,
            },
            answer: None,
            by: SettlementAuthor::Operator {
                name: finding.operator.clone(),
                note: finding.note.clone(),
            },
        };
        let change = OrderChange::Settle(settlement);
        Ok(OrderRecord::new(self.key.clone(), self.attempt, change))
    }
}
