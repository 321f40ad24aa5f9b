//! The agent beside a rank as the keeper of a held pass.

use std::net::SocketAddr;

use parking_lot::Mutex;
use slog::{Logger, info, warn};
use tokio::sync::Notify;

use crate::expert::{KeeperVerdict, PassKeeper, PassQuestion};
use crate::peers::{RankQuestion, RankState};
use crate::prelude::*;

use super::rank_link::RankLink;
use super::store_access::{CallFault, TargetReply, TargetRequest};

/// The time between two looks at the rank while a pass may have to be given up: a fraction of a
/// pass.
const WATCH_PERIOD: Duration = Duration::from_millis(30);

/// The time between two looks until the rank's first state is known.
const START_PERIOD: Duration = Duration::from_millis(100);

/// The agent beside a rank as the keeper of a held pass.
pub(super) struct KeeperLink<Call> {
    pub(super) link: Arc<RankLink<Call>>,
    pub(super) life: u16,
    pub(super) keeper: Mutex<PassKeeper>,
    /// Told at each question of the leader.
    pub(super) asked: Notify,
    pub(super) log: Logger,
}

impl<Call, Reply> KeeperLink<Call>
where
    Call: Fn(SocketAddr, TargetRequest) -> Reply,
    Reply: Future<Output = Result<TargetReply, CallFault>>,
{
    /// Answers a question of the leader; `None` where the rank's state cannot be had.
    pub(super) async fn answer(&self, question: RankQuestion) -> Option<RankState> {
        let RankQuestion::MayArm(asked) = question else {
            let (report, details) = self.link.state(question).await?;
            return Some(RankState {
                report,
                life: self.life,
                verdict: None,
                details: Some(details),
            });
        };
        let report = self.link.report().await?;
        let verdict = self.keeper.lock().answer(&asked, &report, Instant::now());
        self.asked.notify_one();
        self.note(&asked, verdict);
        Some(RankState {
            report,
            life: self.life,
            verdict: Some((asked.step, verdict)),
            details: None,
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

    fn note(&self, asked: &PassQuestion, verdict: KeeperVerdict) {
        if verdict != KeeperVerdict::Open {
            info!(self.log, "leader asks"; "version" => asked.version, "step" => asked.step,
                "verdict" => ?verdict);
        }
    }
}
