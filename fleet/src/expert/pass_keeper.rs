//! The pass that a group does not begin, as the agent beside the rank that holds it sees it.
//!
//! The leader has a pass held at another machine's rank. Before it arms any rank it asks the keeper,
//! the agent beside that rank. The keeper decides once: it allows arms for the pass, or, where the
//! leader has fallen silent before that, gives the attempt up and releases the pass. A leader that
//! stands still thus does not keep its group waiting. `spec/map_switch.pml` checks this.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

use super::map_order::{MapOrder, OrderKind};
use super::rank_report::RankReport;

/// The time without a query of the leader after which the keeper gives an attempt up: some
/// times that between two questions, and a few passes.
const PATIENCE: Duration = Duration::from_millis(250);

/// What the leader asks the keeper.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PassQuery {
    /// The life of the keeper's process that is asked; another life does not answer.
    pub life: u16,
    /// The formation of the group.
    pub epoch: u64,
    /// The version that ranks are to be armed with; all have copied it.
    pub version: u64,
    /// The pass that is to be held.
    pub step: u64,
}

/// What the keeper says of a pass.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeeperVerdict {
    /// The pass is not held yet, as far as the keeper sees.
    Open,
    /// Ranks may be armed for the pass; it is released only once all are.
    Allowed,
    /// No rank may be armed for the pass.
    GivenUp,
    /// The pass was held as the keeper's process started, so that an earlier life may have decided.
    Unknown,
}

/// The keeper of a held pass.
#[derive(Debug)]
pub struct PassKeeper {
    life: u16,
    start: Option<StartState>,
    kept: Option<KeptPass>,
}

#[derive(Clone, Copy, Debug)]
struct StartState {
    held: Option<(u64, u64)>,
    version: u64,
}

#[derive(Clone, Copy, Debug)]
struct KeptPass {
    epoch: u64,
    step: u64,
    verdict: KeeperVerdict,
    asked_at: Instant,
}

impl PassKeeper {
    /// Creates the keeper of a process's life.
    pub fn new(life: u16) -> Self {
        Self {
            life,
            start: None,
            kept: None,
        }
    }

    /// Takes in the first state of the rank that this life sees.
    pub fn start(&mut self, own: &RankReport) {
        self.start_state(own);
    }

    /// Answers a query of the leader.
    pub fn answer(&mut self, query: &PassQuery, own: &RankReport, now: Instant) -> KeeperVerdict {
        let start = self.start_state(own);
        let PassQuery { epoch, step, .. } = *query;
        if query.life != self.life || own.epoch != epoch {
            return KeeperVerdict::Open;
        }
        let mut verdict = match self.kept {
            Some(kept) if (kept.epoch, kept.step) == (epoch, step) => kept.verdict,
            Some(kept) if kept.is_being_released(own) => return KeeperVerdict::Open,
            _ if start.held == Some((epoch, step)) => KeeperVerdict::Unknown,
            _ => KeeperVerdict::Open,
        };
        let is_held = own.held == Some(step);
        let copied = own.prepared.map(|map| map.version);
        // A map copied since the start refuses the release of an earlier life, and its arms.
        let is_newer = copied == Some(query.version) && start.version < query.version;
        if is_held
            && (verdict == KeeperVerdict::Open || verdict == KeeperVerdict::Unknown && is_newer)
        {
            verdict = KeeperVerdict::Allowed;
        }
        self.kept = Some(KeptPass {
            epoch,
            step,
            verdict,
            asked_at: now,
        });
        verdict
    }

    /// Returns whether a pass may have to be given up.
    pub fn is_watching(&self, own: &RankReport) -> bool {
        self.kept.is_some_and(|kept| {
            let is_undecided = matches!(kept.verdict, KeeperVerdict::Open | KeeperVerdict::GivenUp);
            is_undecided && kept.epoch == own.epoch && own.step < kept.step
        })
    }

    /// Gives the pass up where the leader has fallen silent; returns the order that releases it.
    pub fn on_tick(&mut self, own: &RankReport, now: Instant) -> Option<MapOrder> {
        let kept = self.kept.as_mut()?;
        if own.epoch != kept.epoch || own.held != Some(kept.step) {
            return None;
        }
        if kept.verdict == KeeperVerdict::Open && kept.asked_at + PATIENCE <= now {
            kept.verdict = KeeperVerdict::GivenUp;
        }
        (kept.verdict == KeeperVerdict::GivenUp).then_some(MapOrder {
            epoch: kept.epoch,
            expected: Some(own.seq),
            kind: OrderKind::Release(kept.step),
        })
    }

    fn start_state(&mut self, own: &RankReport) -> StartState {
        *self.start.get_or_insert(StartState {
            held: own.held.map(|step| (own.epoch, step)),
            version: highest_version(own),
        })
    }
}

impl KeptPass {
    /// Returns whether the pass was given up and is still held: it is not to be forgotten.
    fn is_being_released(&self, own: &RankReport) -> bool {
        let is_held = self.epoch == own.epoch && own.held == Some(self.step);
        is_held && self.verdict == KeeperVerdict::GivenUp
    }
}

fn highest_version(report: &RankReport) -> u64 {
    let copied = report.prepared.map_or(0, |map| map.version);
    report.version.max(copied)
}
