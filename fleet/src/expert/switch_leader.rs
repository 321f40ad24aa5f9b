//! The switch of all ranks of a group to one map, as the group's leader carries it out.
//!
//! Orders may be lost, repeated, and carried out seconds late. A pass runs on one map because:
//! 1. every rank has copied one version with the planned content before any pass is held;
//! 2. a pass is held, and the keeper beside the holding rank has allowed arms for it, before any
//!    rank is armed for it;
//! 3. the pass is released only when every rank reports to be armed for it with that version;
//! 4. a version is used for one attempt only, as it bears the life of the process that chose it,
//!    and a late order for an earlier pass is refused by the rank since that pass has begun.
//!
//! An attempt for which arms are allowed is never given up but carried to its end; only a new
//! formation of the group, which forgets all holds and maps, ends it. `spec/map_switch.pml` checks
//! this.

use crate::prelude::*;

use super::map_order::{MapOrder, OrderKind, mapping_digest};
use super::map_planner::PlannedMap;
use super::pass_keeper::{KeeperVerdict, PassQuery};
use super::rank_report::{ArmedMap, PreparedMap, RankReport};

/// The passes between the last one known and the one that is held: far enough ahead that all
/// ranks are armed and the pass is released before it is due, also where some orders are lost.
const HOLD_AHEAD: u64 = 4;

/// The low bits of a version, which bear the life of the process that chose it.
const LIFE_BITS: u32 = 16;

/// The longest time for all ranks to copy a map: some times the copy of the experts that may be
/// new to a rank.
const PREPARE_TIME: Duration = Duration::from_secs(3);

/// The age at which a report no longer tells a rank's state while nothing is held.
const REPORT_AGE: Duration = Duration::from_millis(400);

/// A rank's last report and the time at which it was asked for.
#[derive(Clone, Debug, PartialEq)]
pub struct RankView {
    /// When the report was asked for.
    pub asked_at: Instant,
    /// The report.
    pub report: RankReport,
    /// The life of the agent's process.
    pub life: u16,
    /// What the agent, as a keeper, says of a pass.
    pub verdict: Option<(u64, KeeperVerdict)>,
}

/// Where a switch stands.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum SwitchPhase {
    /// Nothing is in progress.
    #[default]
    Idle,
    /// Ranks copy a map.
    Preparing(Arc<PlannedMap>, Instant),
    /// The keeper's rank is to hold a pass, and the keeper to allow arms for it.
    Holding(u64, u64),
    /// Ranks are to be armed with a version for a held pass.
    Arming(u64, u64),
    /// The held pass is to begin.
    Releasing(u64),
}

/// What the leader is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaderAction {
    /// Send an order to a rank.
    Order(u16, MapOrder),
    /// Ask the keeper.
    Ask(PassQuery),
    /// Note a change of the phase.
    Note(&'static str),
}

/// What the leader is to do, in order.
pub type LeaderActions = SmallVec<[LeaderAction; 16]>;

/// The leader of a group: the process beside rank 0, so that there is one in each formation.
#[derive(Debug, Default)]
pub struct SwitchLeader {
    phase: SwitchPhase,
    epoch: u64,
    needs_map: bool,
    /// The version and the pass that a keeper cannot decide on.
    undecided: Option<(u64, u64)>,
    /// Whether the last look asked the keeper.
    has_asked: bool,
}

impl SwitchLeader {
    /// Returns the rank that holds passes in a group of some ranks: not the leader's own, so that a
    /// machine that stands still does not both lead and hold.
    pub fn keeper_rank(n_ranks: usize) -> usize {
        1.min(n_ranks.saturating_sub(1))
    }

    /// Returns where the switch stands.
    pub fn phase(&self) -> &SwitchPhase {
        &self.phase
    }

    /// Returns whether a map may be planned.
    pub fn is_idle(&self) -> bool {
        self.phase == SwitchPhase::Idle
    }

    /// Returns whether a pass is held for which no map is copied: any map is to be switched to,
    /// as a release without arms might be carried out late, when only some ranks are armed.
    pub fn needs_map(&self) -> bool {
        self.needs_map
    }

    /// Returns a version that is higher than all that ranks have had, and that no other life of
    /// the process chooses.
    pub fn next_version(highest: u64, life: u16) -> u64 {
        (((highest >> LIFE_BITS) + 1) << LIFE_BITS) | u64::from(life)
    }

    /// Begins a switch to a map whose version is higher than all that ranks have reported.
    pub fn begin(&mut self, planned: Arc<PlannedMap>, now: Instant) {
        self.phase = SwitchPhase::Preparing(planned, now);
    }

    /// Decides what to do next. `ranks` holds the newest report of each rank of the group; the
    /// first is the leader's own.
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
            SwitchPhase::Preparing(_, since) if since + PREPARE_TIME < now => {
                self.set_phase(SwitchPhase::Idle, "not prepared in time", &mut actions);
            }
            SwitchPhase::Preparing(planned, _) => self.prepare(&planned, ranks, &mut actions),
            SwitchPhase::Holding(version, step) if step <= own.step => {
                let step = own.step + HOLD_AHEAD;
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

    /// Finishes what an earlier process beside this rank, or a hold that came late, left held.
    fn recover(&mut self, ranks: &[Option<RankView>], now: Instant, actions: &mut LeaderActions) {
        self.needs_map = false;
        let Some((step, keeper)) = self
            .keeper(ranks)
            .and_then(|view| Some((view.report.held?, &view.report)))
        else {
            return;
        };
        let fresh = |view: &&RankView| now < view.asked_at + REPORT_AGE;
        let views: SmallVec<[&RankView; 32]> = ranks
            .iter()
            .flatten()
            .filter(fresh)
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
        // Arms are sent only once every rank has copied one version, so unanswered arms can only
        // be for a version that all ranks still report.
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
        if !self.order_rest(ranks, has_copied, &kind, actions) {
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
        // A rank holds one pass at a time; the next one cannot be held before it has begun.
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
            // The keeper releases the pass; the next one is tried then.
            Some(KeeperVerdict::GivenUp) => return,
            // The keeper lives and knows of the pass, so that it may be held. The next query waits
            // for the next look: a leader that stands still after the order has not asked.
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

    /// Returns the present state of the rank that holds passes.
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
        if self.order_rest(ranks, is_armed, &OrderKind::Arm(version, step), actions) {
            self.set_phase(SwitchPhase::Releasing(step), "armed", actions);
            actions.push(self.order_keeper(ranks, OrderKind::Release(step)));
        }
    }

    /// Gives an order to each rank that does not report to have carried it out; returns whether
    /// there is none.
    fn order_rest(
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
    last.unwrap_or(0) + HOLD_AHEAD
}

impl PlannedMap {
    /// Returns the digest of the experts that a rank holds.
    pub fn digest_of(&self, rank: usize) -> u64 {
        mapping_digest(self.mapping.iter().map(|set| set[rank].as_slice()))
    }
}
