//! Connects the keeper of a held pass to its rank: answers the leader's queries, and
//! releases the pass if the leader falls silent.

use std::net::SocketAddr;

use parking_lot::Mutex;
use slog::{Logger, info, warn};
use tokio::sync::Notify;

use crate::expert::{KeeperVerdict, PassKeeper, PassQuery, RankReport};
use crate::peers::{RankQuery, RankState};
use crate::prelude::*;

use super::rank_link::RankLink;
use super::store_access::{CallError, TargetReply, TargetRequest};

/// How often the rank is polled while a held pass may have to be released: a fraction of a
/// pass.
const WATCH_POLL_PERIOD: Duration = Duration::from_millis(30);

/// How often the rank is polled until its first report is read.
const START_POLL_PERIOD: Duration = Duration::from_millis(100);

/// Connects the keeper of a held pass to the rank that holds it.
pub(super) struct KeeperLink<Call> {
    pub(super) link: Arc<RankLink<Call>>,
    life: u16,
    keeper: Mutex<PassKeeper>,
    /// Notified at each query of the leader.
    asked: Notify,
    log: Logger,
}

impl<Call, Reply> KeeperLink<Call>
where
    Call: Fn(SocketAddr, TargetRequest) -> Reply,
    Reply: Future<Output = Result<TargetReply, CallError>>,
{
    /// Creates the keeper of one incarnation of the process, numbered `life`.
    pub(super) fn new(link: Arc<RankLink<Call>>, life: u16, log: Logger) -> Self {
        Self {
            link,
            life,
            keeper: Mutex::new(PassKeeper::new(life)),
            asked: Notify::new(),
            log,
        }
    }

    /// Wraps a report of the rank for the leader.
    pub(super) fn rank_state(&self, report: RankReport) -> RankState {
        RankState {
            report,
            life: self.life,
            verdict: None,
            details: None,
        }
    }

    /// Answers a query for the rank's state; `None` if it cannot be read.
    pub(super) async fn state(&self, query: RankQuery) -> Option<RankState> {
        if query == RankQuery::Report {
            return self
                .link
                .report()
                .await
                .map(|report| self.rank_state(report));
        }
        let (report, details) = self.link.state(query).await?;
        Some(RankState {
            details: Some(details),
            ..self.rank_state(report)
        })
    }

    /// Answers whether ranks may be armed for a pass; `None` if the rank's state cannot be read.
    pub(super) async fn may_arm(&self, query: PassQuery) -> Option<RankState> {
        let report = self.link.report().await?;
        let now = Instant::now();
        let verdict = self.keeper.lock().answer(&query, &report, now);
        self.asked.notify_one();
        if verdict != KeeperVerdict::Open {
            info!(self.log, "leader asks"; "version" => query.version,
                "step" => query.step, "verdict" => ?verdict);
        }
        Some(RankState {
            verdict: Some((query.step, verdict)),
            ..self.rank_state(report)
        })
    }

    /// Aborts attempts whose leader has fallen silent and releases their passes; never returns.
    pub(super) async fn run(self: Arc<Self>) {
        loop {
            if let Some(report) = self.link.report().await {
                self.keeper.lock().start(&report);
                break;
            }
            tokio::time::sleep(START_POLL_PERIOD).await;
        }
        loop {
            self.asked.notified().await;
            self.watch().await;
        }
    }

    /// Polls the rank until no held pass may have to be released by the keeper.
    async fn watch(&self) {
        loop {
            tokio::time::sleep(WATCH_POLL_PERIOD).await;
            let Some(report) = self.link.report().await else {
                continue;
            };
            if !self.keeper.lock().is_watching(&report) {
                return;
            }
            let order = self.keeper.lock().on_tick(&report, Instant::now());
            if let Some(order) = order {
                warn!(self.log, "leader silent, pass given up"; "epoch" => order.epoch,
                    "held" => report.held, "step" => report.step, "orders_begun" => report.seq);
                // The next poll reads the resulting state.
                let _ = self.link.order(&order).await;
            }
        }
    }
}
