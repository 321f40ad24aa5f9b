//! The operations that an entry VM performs for operators.

use uuid::Uuid;

use crate::connection::{ControlClient, PlanReport};
use crate::prelude::*;
use crate::process::operator::{
    ConfigReport, OpenOrders, PatchOrder, PatchReport, RecallOrder, SettleOrder, SettleReport,
    VersionReport,
};
use crate::version::config::{ConfigRecord, EntryStanding, RecordNonce, VersionDigest};

use super::config_submit::submit;
use super::entry_process::EntryProcess;
use super::order_review;

impl EntryProcess {
    /// Appends a patch to the configuration stream and waits for the result.
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

    /// Appends a recall to the configuration stream and waits for the result.
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
        let fold = self.versions.fold();
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
    }

    /// Returns a version with its content, if the history still covers it.
    pub fn version(&self, number: VersionNumber) -> Option<ConfigReport> {
        let fold = self.versions.fold();
        let current = fold.current();
        let undo_lists: Vec<_> = fold
            .history()
            .since(number)
            .map(|entry| &entry.undo)
            .collect();
        let n_later = current.number.0.checked_sub(number.0)?;
        if n_later != undo_lists.len() as u64 {
            return None;
        }
        let mut content = current.content.clone();
        for change in undo_lists.iter().rev().flat_map(|undo| undo.iter().rev()) {
            change.apply(&mut content).ok()?;
        }
        let digest = VersionDigest::of(&content);
        Some(ConfigReport {
            version: number,
            digest,
            content,
        })
    }

    /// Returns the moves that the leader of a group would make, and the reasons.
    pub async fn plan(&self, group: &GroupName) -> Option<PlanReport> {
        let version = self.versions.current();
        let config = version.content.groups.get(group)?;
        for rank in &config.ranks {
            let Some(target) = version.content.targets.get(rank) else {
                continue;
            };
            let Ok(client) = self.control.client(target.control_address).await else {
                continue;
            };
            if let Ok(Some(report)) = client.plan(group.clone()).await {
                return Some(report);
            }
        }
        None
    }

    /// Lists the orders without a known outcome.
    ///
    /// # Errors
    /// Fails if the log service cannot be read.
    pub async fn open_orders(&self) -> Result<OpenOrders> {
        order_review::open_orders(&self.log_client).await
    }

    /// Records an operator's finding on the outcome of an order.
    ///
    /// # Errors
    /// Fails if the log service cannot be read.
    pub async fn settle_order(&self, order: SettleOrder) -> Result<SettleReport> {
        order_review::settle_order(&self.log_client, order).await
    }
}

fn new_nonce() -> RecordNonce {
    RecordNonce::from(Uuid::new_v4().to_string())
}
