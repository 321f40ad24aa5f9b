//! What an entry VM does for operators.

use uuid::Uuid;

use crate::prelude::*;
use crate::process::operator::{
    OpenOrders, PatchOrder, PatchReport, RecallOrder, SettleOrder, SettleReport, VersionReport,
};
use crate::version::config::{ConfigRecord, EntryStanding, RecordNonce};

use super::config_tail::submit;
use super::entry_process::EntryProcess;
use super::order_review;

impl EntryProcess {
    /// Publishes a patch and waits for the verdict.
    pub async fn patch(self: &Arc<Self>, order: PatchOrder) -> PatchReport {
        let PatchOrder {
            base,
            batch,
            author,
            changes,
        } = order;
        let record = ConfigRecord::Patch {
            base,
            batch,
            author,
            changes,
            nonce: new_nonce(),
        };
        submit(self, &record).await
    }

    /// Publishes a recall and waits for the verdict.
    pub async fn recall(self: &Arc<Self>, order: RecallOrder) -> PatchReport {
        let RecallOrder {
            base,
            batch,
            author,
        } = order;
        let record = ConfigRecord::Recall {
            base,
            batch,
            author,
            nonce: new_nonce(),
        };
        submit(self, &record).await
    }

    /// Lists the versions that can still be recalled, the oldest first.
    pub fn history(&self) -> Vec<VersionReport> {
        self.versions.with_fold(|fold| {
            let reports = fold.history().entries().map(|entry| VersionReport {
                summary: entry.summary(),
                changes: match &entry.accepted.record {
                    ConfigRecord::Patch { changes, .. } => changes.clone(),
                    _ => Vec::new(),
                },
                recalled_by: match entry.standing {
                    EntryStanding::Recalled(by) => Some(by),
                    EntryStanding::Standing | EntryStanding::Partial => None,
                },
            });
            reports.collect()
        })
    }

    /// Lists the orders without a known outcome.
    ///
    /// # Errors
    /// The log service did not answer.
    pub async fn open_orders(&self) -> Result<OpenOrders> {
        order_review::open_orders(&self.log_client).await
    }

    /// Records what an operator found out about an order.
    ///
    /// # Errors
    /// The settlement is not valid, or the log service did not answer.
    pub async fn settle_order(&self, order: SettleOrder) -> Result<SettleReport> {
        order_review::settle_order(&self.log_client, order).await
    }
}

fn new_nonce() -> RecordNonce {
    RecordNonce::from(Uuid::new_v4().to_string())
}
