//! An agent's view of the rank beside it.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};

use parking_lot::Mutex;
use slog::{Logger, info};

use crate::expert::{CountWindow, MapOrder, OrderKind, RankReport, mapping_digest};
use crate::peers::{RankDetails, RankQuery};
use crate::prelude::*;

use super::store_access::{CallError, TargetReply, TargetRequest};

/// The sends of one order before the leader is told how things stand; the leader asks again.
const ORDER_SENDS: usize = 4;

/// The time within which a copy that has begun is not ordered again: a rank would begin it anew.
const COPY_TIME: Duration = Duration::from_millis(1_500);

/// The time between two looks at a copy in progress: some passes, and a part of the copy of the
/// experts that may be new to a rank.
const COPY_CHECK: Duration = Duration::from_millis(25);

/// An agent's view of a rank: reads its state and gives it orders.
pub(super) struct RankLink<Call> {
    address: SocketAddr,
    call: Call,
    log: Logger,
    is_busy: AtomicBool,
    /// The digest of the copied version, by formation and version.
    digest: Mutex<Option<((u64, u64), u64)>>,
    /// The formation and version of the copy that the rank has begun, and when it did.
    copying: Mutex<Option<((u64, u64), Instant)>>,
    /// The counts as they were last told.
    window: Mutex<CountWindow>,
}

impl<Call, Reply> RankLink<Call>
where
    Call: Fn(SocketAddr, TargetRequest) -> Reply,
    Reply: Future<Output = Result<TargetReply, CallError>>,
{
    pub(super) fn new(address: SocketAddr, call: Call, log: Logger) -> Self {
        Self {
            address,
            call,
            log,
            is_busy: AtomicBool::new(false),
            digest: Mutex::new(None),
            copying: Mutex::new(None),
            window: Mutex::default(),
        }
    }

    /// Reads the rank's state; `None` where it cannot be had or the target is no rank.
    pub(super) async fn report(&self) -> Option<RankReport> {
        let reply = (self.call)(self.address, TargetRequest::Report).await;
        let Ok(TargetReply::Report(Some(mut report))) = reply else {
            return None;
        };
        if let Some(prepared) = &mut report.prepared {
            prepared.digest = self.digest_of(report.epoch, prepared.version).await;
        }
        Some(report)
    }

    /// Reads the rank's state, its experts and, where asked for, what was chosen of late.
    pub(super) async fn state(&self, question: RankQuery) -> Option<(RankReport, RankDetails)> {
        let report = self.report().await?;
        let window = match question {
            RankQuery::State => Vec::new(),
            RankQuery::Counts => self.counted().await?,
        };
        let Ok(TargetReply::Listings(held, _)) =
            (self.call)(self.address, TargetRequest::Listings).await
        else {
            return None;
        };
        Some((report, RankDetails { held, window }))
    }

    async fn counted(&self) -> Option<Vec<u32>> {
        let reply = (self.call)(self.address, TargetRequest::Counts).await;
        let Ok(TargetReply::Counts(counts)) = reply else {
            return None;
        };
        Some(self.window.lock().advance(counts, Instant::now()))
    }

    /// Waits until a copy that an order began is complete, and returns the state then; `None`
    /// where the order began no copy, or it has not become complete in time.
    pub(super) async fn copied(&self, order: &MapOrder) -> Option<RankReport> {
        while self.is_copying(order) {
            tokio::time::sleep(COPY_CHECK).await;
            let report = self.report().await.filter(|report| is_done(order, report));
            if report.is_some() {
                return report;
            }
        }
        None
    }

    /// Gives the rank an order until its state shows that it holds, some times at most; returns
    /// the state. `None` where another order is being given or the state cannot be had.
    pub(super) async fn order(&self, order: &MapOrder) -> Option<RankReport> {
        if self.is_busy.swap(true, Ordering::AcqRel) {
            return None;
        }
        let report = self.order_alone(order).await;
        self.is_busy.store(false, Ordering::Release);
        report
    }

    async fn order_alone(&self, order: &MapOrder) -> Option<RankReport> {
        let mut report = self.report().await?;
        for _ in 0..ORDER_SENDS {
            if is_done(order, &report) || report.epoch != order.epoch || self.is_copying(order) {
                break;
            }
            let reply = (self.call)(self.address, TargetRequest::Order(order.clone())).await;
            let accepted = matches!(reply, Ok(TargetReply::Ordered(200 | 202)));
            info!(self.log, "order"; "order" => order.kind.label(), "epoch" => order.epoch,
                "step" => report.step, "reply" => ?reply);
            report = self.report().await?;
            if let OrderKind::Prepare(version, _) = &order.kind
                && accepted
            {
                *self.copying.lock() = Some(((order.epoch, *version), Instant::now()));
            }
        }
        Some(report)
    }

    fn is_copying(&self, order: &MapOrder) -> bool {
        let OrderKind::Prepare(version, _) = &order.kind else {
            return false;
        };
        let copying = *self.copying.lock();
        copying.is_some_and(|(key, since)| {
            key == (order.epoch, *version) && since.elapsed() < COPY_TIME
        })
    }

    async fn digest_of(&self, epoch: u64, version: u64) -> Option<u64> {
        let known = *self.digest.lock();
        if let Some((key, digest)) = known
            && key == (epoch, version)
        {
            return Some(digest);
        }
        let reply = (self.call)(self.address, TargetRequest::Listings).await;
        let Ok(TargetReply::Listings(_, Some((listed, experts)))) = reply else {
            return None;
        };
        if listed != version {
            return None;
        }
        let digest = mapping_digest(experts.iter().map(Vec::as_slice));
        *self.digest.lock() = Some(((epoch, version), digest));
        Some(digest)
    }
}

/// Returns whether a rank's state shows that an order holds.
fn is_done(order: &MapOrder, report: &RankReport) -> bool {
    match &order.kind {
        OrderKind::Prepare(version, _) => {
            report.prepared.is_some_and(|map| map.version == *version) || report.version == *version
        }
        OrderKind::Arm(version, step) => {
            report
                .armed
                .is_some_and(|map| (map.version, map.step) == (*version, *step))
                || *step <= report.step
        }
        OrderKind::Hold(step) => report.held == Some(*step) || *step <= report.step,
        OrderKind::Release(step) => report.held != Some(*step),
    }
}
