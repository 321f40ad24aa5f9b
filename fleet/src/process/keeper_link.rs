//! The agent beside a rank as the keeper of a held pass.

use std::net::SocketAddr;

use parking_lot::Mutex;
use slog::{Logger, info, warn};
use tokio::sync::Notify;

use crate::expert::{KeeperVerdict, PassKeeper, PassQuery, RankReport};
use crate::peers::{RankQuery, RankState};
use crate::prelude::*;

use super::rank_link::RankLink;
use super::store_access::{CallError, TargetReply, TargetRequest};

/// The time between two looks at the rank while a pass may have to be given up: a fraction of a
/// pass.
const WATCH_PERIOD: Duration = Duration::from_millis(30);

/// The time between two looks until the rank's first state is known.
const START_PERIOD: Duration = Duration::from_millis(100);

/// The agent beside a rank as the keeper of a held pass.
pub(super) struct KeeperLink<Call> {
    pub(super) link: Arc<RankLink<Call>>,
    life: u16,
    keeper: Mutex<PassKeeper>,
    /// Told at each question of the leader.
    asked: Notify,
    log: Logger,
}

impl<Call, Reply> KeeperLink<Call>
where
    Call: Fn(SocketAddr, TargetRequest) -> Reply,
    Reply: Future<Output = Result<TargetReply, CallError>>,
{
    /// Creates the keeper of a process's life.
    pub(super) fn new(link: Arc<RankLink<Call>>, life: u16, log: Logger) -> Self {
        Self {
            link,
            life,
            keeper: Mutex::new(PassKeeper::new(life)),
            asked: Notify::new(),
            log,
        }
    }

    /// Returns a state of the rank, for the leader.
    pub(super) fn word(&self, report: RankReport) -> RankState {
        RankState {
            report,
            life: self.life,
            verdict: None,
            details: None,
        }
    }

    /// Answers a question for the rank's state; `None` where it cannot be had.
    pub(super) async fn state(&self, question: RankQuery) -> Option<RankState> {
        let (report, details) = self.link.state(question).await?;
        Some(RankState {
            details: Some(details),
            ..self.word(report)
        })
    }

    /// Answers whether ranks may be armed for a pass; `None` where the rank's state cannot be had.
    pub(super) async fn may_arm(&self, question: PassQuery) -> Option<RankState> {
        let report = self.link.report().await?;
        let now = Instant::now();
        let verdict = self.keeper.lock().answer(&question, &report, now);
        self.asked.notify_one();
        if verdict != KeeperVerdict::Open {
            info!(self.log, "leader asks"; "version" => question.version,
                "step" => question.step, "verdict" => ?verdict);
        }
        Some(RankState {
            verdict: Some((question.step, verdict)),
            ..self.word(report)
        })
    }

    /// Gives up passes whose leader has fallen silent, for as long as the process runs.
    pub(super) async fn keep(self: Arc<Self>) {
        loop {
            if let Some(report) = self.link.report().await {
                self.keeper.lock().start(&report);
                break;
            }
            tokio::time::sleep(START_PERIOD).await;
        }
        loop {
            self.asked.notified().await;
            self.watch().await;
        }
    }

    async fn watch(&self) {
        loop {
            tokio::time::sleep(WATCH_PERIOD).await;
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
                // The next look reads the state that the order left.
                let _ = self.link.order(&order).await;
            }
        }
    }
}
