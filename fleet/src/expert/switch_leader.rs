//! The leader's side of the protocol that switches all ranks of a group to one map.
//!
//! Orders may be lost, duplicated or executed seconds late. Each pass still runs on a single map:
//! 1. Every rank has copied the same version, with the planned content, before a pass is held.
//! 2. The pass is held, and the keeper (the agent of the holding rank) has allowed arming, before
//!    any rank is armed for the pass.
//! 3. The pass is released only after every rank reports that it is armed for it with that version.
//! 4. A version is used for a single attempt, as it contains the incarnation of the process that
//!    chose it. A rank refuses a late order for an earlier pass, as that pass has already begun.
//!
//! An attempt for which arming was allowed is never aborted. Only a new epoch of the group, which
//! discards all holds and maps, ends it early. The model `spec/map_switch.pml` verifies this
//! protocol.

use crate::prelude::*;

use super::map_order::{MapOrder, OrderKind, mapping_digest};
use super::map_planner::PlannedMap;
use super::pass_keeper::{KeeperVerdict, PassQuery};
use super::rank_report::{ArmedMap, PreparedMap, RankReport};

/// How many passes after the last known one the held pass is. This leaves time to arm all ranks and
/// release the pass before it is due, even if some orders are lost.
const HOLD_AHEAD_PASSES: u64 = 4;

/// The number of low bits of a version that hold the incarnation of the process that chose it.
const LIFE_BITS: u32 = 16;

/// How long all ranks may take to copy a map: several times the time to copy the experts that may
/// be new to a rank.
const PREPARE_TIMEOUT: Duration = Duration::from_secs(3);

/// The age after which a report no longer reflects a rank's state, while the leader is idle.
const MAX_REPORT_AGE: Duration = Duration::from_millis(400);

/// The last report of a rank, as known to the leader.
#[derive(Clone, Debug, PartialEq)]
pub struct RankView {
    /// When the report was requested.
    pub asked_at: Instant,
    /// The report.
    pub report: RankReport,
    /// The incarnation of the agent's process.
    pub life: u16,
    /// A pass and the agent's verdict on it, if the agent is the keeper.
    pub verdict: Option<(u64, KeeperVerdict)>,
}

/// The phase of a map switch.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum SwitchPhase {
    /// No switch is in progress.
    #[default]
    Idle,
    /// Ranks copy the map; holds the map and the start time.
    Preparing(Arc<PlannedMap>, Instant),
    /// The keeper's rank is ordered to hold a pass, and the keeper queried to allow arming; holds
    /// the version and the pass.
    Holding(u64, u64),
    /// Ranks are armed for the held pass; holds the version and the pass.
    Arming(u64, u64),
    /// The held pass is released; holds the pass.
    Releasing(u64),
}

/// An action for the caller to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaderAction {
    /// Send an order to a rank.
    Order(u16, MapOrder),
    /// Send a query to the keeper.
    Ask(PassQuery),
    /// Log a change of the phase.
    Note(&'static str),
}

/// The actions of one tick, in order.
pub type LeaderActions = SmallVec<[LeaderAction; 16]>;

/// The leader of a group: the agent of rank 0, so that each epoch has a single leader.
#[derive(Debug, Default)]
pub struct SwitchLeader {
    phase: SwitchPhase,
    epoch: u64,
    needs_map: bool,
    /// The version and the pass for which the keeper's verdict was `Unknown`.
    undecided: Option<(u64, u64)>,
    /// Whether the keeper was queried since the last hold order.
    has_asked: bool,
}

impl SwitchLeader {
    /// Returns the rank that holds passes in a group of `n_ranks`. It is not the leader's own rank
    /// where there is another, so that a hung machine does not both lead and hold.
    pub fn keeper_rank(n_ranks: usize) -> usize {
        1.min(n_ranks.saturating_sub(1))
    }

    /// Returns the current phase.
    pub fn phase(&self) -> &SwitchPhase {
        &self.phase
    }

    /// Returns whether no switch is in progress, so that a map may be planned.
    pub fn is_idle(&self) -> bool {
        self.phase == SwitchPhase::Idle
    }

    /// Returns whether a pass is held without a copied map to switch to. The group must then switch
    /// to some map, as a release without arming might be executed late, when only some ranks are
    /// armed.
    pub fn needs_map(&self) -> bool {
        self.needs_map
    }

    /// Returns a version higher than `highest`, the highest that ranks have had, which no other
    /// incarnation of the process chooses.
    pub fn next_version(highest: u64, life: u16) -> u64 {
        (((highest >> LIFE_BITS) + 1) << LIFE_BITS) | u64::from(life)
    }

    /// Starts a switch to a map. Its version must be higher than all versions that ranks reported.
    pub fn begin(&mut self, planned: Arc<PlannedMap>, now: Instant) {
        self.phase = SwitchPhase::Preparing(planned, now);
    }

    /// Advances the switch and returns the next actions. `ranks` holds the newest report of each
    /// rank of the group; the first is the leader's own.
    pub fn on_tick(&mut self, ranks: &[Option<RankView>], now: Instant) -> LeaderActions {
        let mut actions = LeaderActions::new();
        let Some(Some(own)) = ranks.first() else {
            return actions;
        };
        let own = &own.report;
        if own.epoch != self.epoch || !own.open {
            self.epoch = own.epoch;
            self.set_phase(SwitchPhase::Idle, "formation changed", &mut actions);
            return actions;
        }
        match self.phase.clone() {
            SwitchPhase::Idle => self.recover(ranks, now, &mut actions),
            SwitchPhase::Preparing(_, since) if since + PREPARE_TIMEOUT < now => {
                self.set_phase(SwitchPhase::Idle, "not prepared in time", &mut actions);
            }
            SwitchPhase::Preparing(planned, _) => self.prepare(&planned, ranks, &mut actions),
            SwitchPhase::Holding(version, step) if step <= own.step => {
                let step = own.step + HOLD_AHEAD_PASSES;
                self.set_phase(
                    SwitchPhase::Holding(version, step),
                    "pass begun",
                    &mut actions,
                );
            }
            SwitchPhase::Holding(version, step) => self.hold(version, step, ranks, &mut actions),
            SwitchPhase::Arming(version, step) => self.arm(version, step, ranks, &mut actions),
            SwitchPhase::Releasing(step) => match self.keeper(ranks).map(|view| view.report.held) {
                Some(held) if held == Some(step) => {
                    actions.push(self.order_keeper(ranks, OrderKind::Release(step)));
                }
                Some(_) => self.set_phase(SwitchPhase::Idle, "released", &mut actions),
                None => {}
            },
        }
        actions
    }

    /// Resumes a switch for a pass that is held although the leader is idle: an earlier incarnation
    /// of the leader left it held, or a hold order was executed late.
    fn recover(&mut self, ranks: &[Option<RankView>], now: Instant, actions: &mut LeaderActions) {
        self.needs_map = false;
        let Some((step, keeper)) = self
            .keeper(ranks)
            .and_then(|view| Some((view.report.held?, &view.report)))
        else {
            return;
        };
        let is_fresh = |view: &&RankView| now < view.asked_at + MAX_REPORT_AGE;
        let views: SmallVec<[&RankView; 32]> = ranks
            .iter()
            .flatten()
            .filter(is_fresh)
            .filter(|view| self.is_current(view))
            .collect();
        if views.len() < ranks.len() {
            return;
        }
        let armed = views
            .iter()
            .find_map(|view| view.report.armed.filter(|map| map.step == step));
        if let Some(map) = armed {
            let phase = SwitchPhase::Arming(map.version, step);
            return self.set_phase(phase, "continue armed", actions);
        }
        // Arm orders are sent only after every rank has copied the same version, so arm orders
        // still in flight can only be for a version that all ranks still report as copied.
        let first = keeper
            .prepared
            .map(|map| map.version)
            .filter(|version| *version != keeper.version)
            .filter(|version| self.undecided != Some((*version, step)));
        let common = first.filter(|version| {
            views
                .iter()
                .all(|view| view.report.prepared.map(|map| map.version) == Some(*version))
        });
        match common {
            Some(version) => {
                let phase = SwitchPhase::Holding(version, step);
                self.set_phase(phase, "continue prepared", actions);
            }
            None => self.needs_map = true,
        }
    }

    fn prepare(
        &mut self,
        planned: &PlannedMap,
        ranks: &[Option<RankView>],
        actions: &mut LeaderActions,
    ) {
        let has_copied = |rank: usize, report: &RankReport| {
            let expected = PreparedMap {
                version: planned.version,
                digest: Some(planned.digest_of(rank)),
            };
            report.prepared == Some(expected)
        };
        let kind = OrderKind::Prepare(planned.version, planned.mapping.clone());
        if !self.order_remaining(ranks, has_copied, &kind, actions) {
            return;
        }
        let held = self.keeper(ranks).and_then(|view| view.report.held);
        let step = held.unwrap_or_else(|| next_step(ranks));
        let phase = SwitchPhase::Holding(planned.version, step);
        self.set_phase(phase, "prepared", actions);
        self.hold(planned.version, step, ranks, actions);
    }

    fn hold(
        &mut self,
        version: u64,
        step: u64,
        ranks: &[Option<RankView>],
        actions: &mut LeaderActions,
    ) {
        let Some(keeper) = self.keeper(ranks) else {
            return;
        };
        // A rank holds one pass at a time and can't hold another one before that pass has begun.
        if let Some(held) = keeper.report.held.filter(|held| *held != step) {
            let phase = SwitchPhase::Holding(version, held);
            return self.set_phase(phase, "another pass is held", actions);
        }
        let verdict = keeper.verdict.filter(|(asked, _)| *asked == step);
        match verdict.map(|(_, verdict)| verdict) {
            Some(KeeperVerdict::Allowed) => {
                return self.set_phase(SwitchPhase::Arming(version, step), "allowed", actions);
            }
            Some(KeeperVerdict::Unknown) => {
                self.undecided = Some((version, step));
                return self.set_phase(SwitchPhase::Idle, "undecided", actions);
            }
            // The keeper releases the pass. The attempt continues with a later pass.
            Some(KeeperVerdict::GivenUp) => return,
            // The keeper is alive and knows of the pass, so the pass may be held. The next query is
            // sent in the next tick, so that a leader that hangs after this order sends none and
            // the keeper times it out.
            Some(KeeperVerdict::Open) if keeper.report.held.is_none() && self.has_asked => {
                self.has_asked = false;
                return actions.push(self.order_keeper(ranks, OrderKind::Hold(step)));
            }
            Some(KeeperVerdict::Open) | None => {}
        }
        let query = PassQuery {
            life: keeper.life,
            epoch: self.epoch,
            version,
            step,
        };
        self.has_asked = true;
        actions.push(LeaderAction::Ask(query));
    }

    /// Returns the state of the rank that holds passes, if it is of the current epoch.
    fn keeper<'a>(&self, ranks: &'a [Option<RankView>]) -> Option<&'a RankView> {
        let view = ranks.get(Self::keeper_rank(ranks.len()))?.as_ref()?;
        self.is_current(view).then_some(view)
    }

    fn arm(
        &mut self,
        version: u64,
        step: u64,
        ranks: &[Option<RankView>],
        actions: &mut LeaderActions,
    ) {
        let expected = Some(ArmedMap { version, step });
        let is_armed = |_, report: &RankReport| report.armed == expected;
        if self.order_remaining(ranks, is_armed, &OrderKind::Arm(version, step), actions) {
            self.set_phase(SwitchPhase::Releasing(step), "armed", actions);
            actions.push(self.order_keeper(ranks, OrderKind::Release(step)));
        }
    }

    /// Sends an order to each rank that does not report it as done; returns whether all ranks
    /// report it as done.
    fn order_remaining(
        &self,
        ranks: &[Option<RankView>],
        is_done: impl Fn(usize, &RankReport) -> bool,
        kind: &OrderKind,
        actions: &mut LeaderActions,
    ) -> bool {
        let mut all_done = true;
        for (rank, view) in ranks.iter().enumerate() {
            let current = view.as_ref().filter(|view| self.is_current(view));
            if !current.is_some_and(|view| is_done(rank, &view.report)) {
                all_done = false;
                actions.push(self.order(rank, kind.clone()));
            }
        }
        all_done
    }

    fn is_current(&self, view: &RankView) -> bool {
        view.report.epoch == self.epoch && view.report.open
    }

    fn order_keeper(&self, ranks: &[Option<RankView>], kind: OrderKind) -> LeaderAction {
        self.order(Self::keeper_rank(ranks.len()), kind)
    }

    fn order(&self, rank: usize, kind: OrderKind) -> LeaderAction {
        let order = MapOrder {
            epoch: self.epoch,
            expected: None,
            kind,
        };
        LeaderAction::Order(rank as u16, order)
    }

    fn set_phase(&mut self, phase: SwitchPhase, note: &'static str, actions: &mut LeaderActions) {
        if self.phase != phase {
            self.phase = phase;
            actions.push(LeaderAction::Note(note));
        }
    }
}

fn next_step(ranks: &[Option<RankView>]) -> u64 {
    let last = ranks.iter().flatten().map(|view| view.report.step).max();
    last.unwrap_or(0) + HOLD_AHEAD_PASSES
}

impl PlannedMap {
    /// Returns the digest of the experts that a rank holds in this map.
    pub fn digest_of(&self, rank: usize) -> u64 {
        mapping_digest(self.mapping.iter().map(|set| set[rank].as_slice()))
    }
}
