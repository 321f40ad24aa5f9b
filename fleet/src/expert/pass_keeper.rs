//! The keeper of a held pass: the agent of the rank that holds it.
//!
//! The leader of a map switch holds a pass at a rank on another machine. Before it arms any rank,
//! it queries the keeper, the agent of the holding rank. The keeper decides once per pass: it
//! either allows arming or, if the leader stops sending queries first, aborts the attempt and
//! releases the pass. A hung leader therefore doesn't block its group. The model
//! `spec/map_switch.pml` verifies this protocol.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

use super::map_order::{MapOrder, OrderKind};
use super::rank_report::RankReport;

/// How long the leader may send no query before the keeper aborts the attempt: several query
/// intervals and a few passes.
const LEADER_TIMEOUT: Duration = Duration::from_millis(250);

/// The leader's query whether ranks may be armed for a pass.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PassQuery {
    /// The incarnation of the keeper's process that is queried; other incarnations don't decide.
    pub life: u16,
    /// The epoch of the group.
    pub epoch: u64,
    /// The version to arm ranks with, which all of them have copied.
    pub version: u64,
    /// The pass to hold.
    pub step: u64,
}

/// The keeper's decision on a pass.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeeperVerdict {
    /// Undecided: the keeper doesn't see the pass held yet.
    Open,
    /// Ranks may be armed for the pass. It is released only once all ranks are armed.
    Allowed,
    /// The attempt was aborted; no rank may be armed for the pass.
    GivenUp,
    /// The pass was already held when the keeper's process started, so an earlier incarnation may
    /// have decided.
    Unknown,
}

/// The keeper of a held pass, which decides whether ranks may be armed for it.
#[derive(Debug)]
pub struct PassKeeper {
    life: u16,
    start: Option<StartState>,
    tracked: Option<TrackedPass>,
}

#[derive(Clone, Copy, Debug)]
struct StartState {
    held: Option<(u64, u64)>,
    version: u64,
}

#[derive(Clone, Copy, Debug)]
struct TrackedPass {
    epoch: u64,
    step: u64,
    verdict: KeeperVerdict,
    asked_at: Instant,
}

impl PassKeeper {
    /// Creates the keeper of one incarnation of a process.
    pub fn new(life: u16) -> Self {
        Self {
            life,
            start: None,
            tracked: None,
        }
    }

    /// Records the state of the rank that this incarnation sees first.
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
        let mut verdict = match self.tracked {
            Some(tracked) if (tracked.epoch, tracked.step) == (epoch, step) => tracked.verdict,
            Some(tracked) if tracked.is_being_released(own) => return KeeperVerdict::Open,
            _ if start.held == Some((epoch, step)) => KeeperVerdict::Unknown,
            _ => KeeperVerdict::Open,
        };
        let is_held = own.held == Some(step);
        let copied = own.prepared.map(|map| map.version);
        // If a newer map was copied since the start, the rank refuses releases and arms that an
        // earlier incarnation sent.
        let is_newer = copied == Some(query.version) && start.version < query.version;
        if is_held
            && (verdict == KeeperVerdict::Open || verdict == KeeperVerdict::Unknown && is_newer)
        {
            verdict = KeeperVerdict::Allowed;
        }
        self.tracked = Some(TrackedPass {
            epoch,
            step,
            verdict,
            asked_at: now,
        });
        verdict
    }

    /// Returns whether an attempt may still have to be aborted.
    pub fn is_watching(&self, own: &RankReport) -> bool {
        self.tracked.is_some_and(|tracked| {
            let is_unfinished = matches!(
                tracked.verdict,
                KeeperVerdict::Open | KeeperVerdict::GivenUp
            );
            is_unfinished && tracked.epoch == own.epoch && own.step < tracked.step
        })
    }

    /// Aborts the attempt if the leader has timed out; returns the order that releases the pass.
    pub fn on_tick(&mut self, own: &RankReport, now: Instant) -> Option<MapOrder> {
        let tracked = self.tracked.as_mut()?;
        if own.epoch != tracked.epoch || own.held != Some(tracked.step) {
            return None;
        }
        if tracked.verdict == KeeperVerdict::Open && tracked.asked_at + LEADER_TIMEOUT <= now {
            tracked.verdict = KeeperVerdict::GivenUp;
        }
        (tracked.verdict == KeeperVerdict::GivenUp).then_some(MapOrder {
            epoch: tracked.epoch,
            expected: Some(own.seq),
            kind: OrderKind::Release(tracked.step),
        })
    }

    fn start_state(&mut self, own: &RankReport) -> StartState {
        *self.start.get_or_insert(StartState {
            held: own.held.map(|step| (own.epoch, step)),
            version: highest_version(own),
        })
    }
}

impl TrackedPass {
    /// Returns whether the attempt was aborted and its pass is still held. The decision must be
    /// kept until the pass is released.
    fn is_being_released(&self, own: &RankReport) -> bool {
        let is_held = self.epoch == own.epoch && own.held == Some(self.step);
        is_held && self.verdict == KeeperVerdict::GivenUp
    }
}

fn highest_version(report: &RankReport) -> u64 {
    let copied = report.prepared.map_or(0, |map| map.version);
    report.version.max(copied)
}
