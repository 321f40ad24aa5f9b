//! Access to one rank: its reports, and orders to it.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};

use parking_lot::Mutex;
use slog::{Logger, info, warn};

use crate::expert::{CountWindow, MapOrder, OrderKind, RankReport, mapping_digest};
use crate::peers::{RankDetails, RankQuery};
use crate::prelude::*;

use super::store_access::{CallError, TargetReply, TargetRequest};

/// How often one order is sent before the state is returned all the same; the leader then repeats
/// the order.
const MAX_ORDER_SENDS: usize = 4;

/// How long a copy counts as in progress; its order is not resent meanwhile, as the rank would
/// restart the copy.
const COPY_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How often a copy in progress is polled: several passes, and a fraction of the time to
/// copy a rank's new experts.
const COPY_POLL_PERIOD: Duration = Duration::from_millis(25);

/// Reads a rank's state and sends it orders.
pub(super) struct RankLink<Call> {
    address: SocketAddr,
    call: Call,
    log: Logger,
    is_busy: AtomicBool,
    /// The digest of the copied map, keyed by epoch and version.
    digest: Mutex<Option<((u64, u64), u64)>>,
    /// The epoch and version of the copy that the rank has begun, and the time of its start.
    copying: Mutex<Option<((u64, u64), Instant)>>,
    /// The last counts read, from which the next window is computed.
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

    /// Reads the rank's report; `None` if it cannot be read or the target is not a rank.
    pub(super) async fn report(&self) -> Option<RankReport> {
        let reply = self.read(TargetRequest::Report).await;
        let Ok(TargetReply::Report(Some(mut report))) = reply else {
            return None;
        };
        if let Some(prepared) = &mut report.prepared {
            prepared.digest = self.digest_of(report.epoch, prepared.version).await;
        }
        Some(report)
    }

    /// Reads the rank's report, its experts and, if queried, the expert counts since the
    /// last such query.
    pub(super) async fn state(&self, query: RankQuery) -> Option<(RankReport, RankDetails)> {
        let report = self.report().await?;
        let window = match query {
            RankQuery::State | RankQuery::Report => Vec::new(),
            RankQuery::Counts => self.count_window().await?,
        };
        let Ok(TargetReply::Listings(held, _)) = self.read(TargetRequest::Listings).await else {
            return None;
        };
        Some((report, RankDetails { held, window }))
    }

    /// Makes a call that reads; logs a reply over a limit, which no later one may make good.
    async fn read(&self, request: TargetRequest) -> Result<TargetReply, CallError> {
        let reply = (self.call)(self.address, request).await;
        if let Err(err @ CallError::TooLong(_)) = reply {
            warn!(self.log, "read cut"; "target" => %self.address, "fault" => %err);
        }
        reply
    }

    /// Reads the expert counts since they were last read.
    async fn count_window(&self) -> Option<Vec<u32>> {
        let reply = self.read(TargetRequest::Counts).await;
        let Ok(TargetReply::Counts(counts)) = reply else {
            return None;
        };
        Some(self.window.lock().advance(counts, Instant::now()))
    }

    /// Waits until a copy started by an order is complete, and returns the report then; `None` if
    /// the order started no copy, or the copy did not complete in time.
    pub(super) async fn wait_copied(&self, order: &MapOrder) -> Option<RankReport> {
        while self.is_copying(order) {
            tokio::time::sleep(COPY_POLL_PERIOD).await;
            let report = self.report().await.filter(|report| is_done(order, report));
            if report.is_some() {
                return report;
            }
        }
        None
    }

    /// Sends an order until the rank's report shows it as carried out, at most `MAX_ORDER_SENDS`
    /// times; returns the last report. `None` if another order is in progress or the report cannot
    /// be read.
    pub(super) async fn order(&self, order: &MapOrder) -> Option<RankReport> {
        if self.is_busy.swap(true, Ordering::AcqRel) {
            return None;
        }
        let report = self.send_until_done(order).await;
        self.is_busy.store(false, Ordering::Release);
        report
    }

    async fn send_until_done(&self, order: &MapOrder) -> Option<RankReport> {
        let mut report = self.report().await?;
        for _ in 0..MAX_ORDER_SENDS {
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
            key == (order.epoch, *version) && since.elapsed() < COPY_TIMEOUT
        })
    }

    /// Returns the digest of the copied map; read once for each epoch and version.
    async fn digest_of(&self, epoch: u64, version: u64) -> Option<u64> {
        let known = *self.digest.lock();
        if let Some((key, digest)) = known
            && key == (epoch, version)
        {
            return Some(digest);
        }
        let reply = self.read(TargetRequest::Listings).await;
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

/// Returns whether a rank's report shows that an order is carried out or obsolete.
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
