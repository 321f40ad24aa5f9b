//! The state machine of a rank's agent, the only process that orders step windows at the target.

use crate::prelude::*;
use crate::version::expert_map::{ExpertMap, MapId, MapNumber, RankId};

use super::rank_event::{RankAction, RankEvent, TargetState};
use super::rejoin::RejoinRound;
use super::step_message::{RefuseReason, RejoinPromise, StepMessage, incarnations_digest};
use super::window_map::{WindowMap, WindowNumber};

/// The actions that a rank takes on one event.
pub type RankActions = SmallVec<[RankAction; 4]>;

/// The settings of a rank's state machine.
#[derive(Clone, Debug)]
pub struct RankSettings {
    /// The index of the rank in its group.
    pub rank: RankId,
    /// The number of ranks in the group.
    pub n_ranks: u16,
    /// The incarnation of this agent, higher than any earlier one of the rank.
    pub incarnation: ProcessIncarnation,
    /// Whether the rank's target checks fencing numbers.
    pub target: TargetFencing,
}

/// Whether a target checks fencing numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetFencing {
    /// The target refuses an order with a lower number than it has seen.
    Checks,
    /// The target accepts every order, so that only the agent checks the number.
    Ignores,
}

/// The state machine of a rank's agent.
///
/// Invariant `one_map_per_window`: it never orders one window on two different maps.
#[derive(Clone, Debug)]
pub struct RankFollower {
    settings: RankSettings,
    phase: FollowerPhase,
    /// The lowest accepted fencing number.
    floor: FencingNumber,
    /// The leader that the rank has promised to follow.
    leader: Option<FencingNumber>,
    /// The highest known incarnation of each rank.
    known: Vec<ProcessIncarnation>,
    accepted: Option<WindowMap>,
    granted: Option<WindowMap>,
    running: Option<WindowNumber>,
    loaded: SmallVec<[MapId; 2]>,
    maps: SmallVec<[Arc<ExpertMap>; 2]>,
    highest_map: MapNumber,
}

#[derive(Clone, Debug)]
enum FollowerPhase {
    ReadingTarget,
    Rejoining(RejoinRound),
    Joined,
}

impl RankFollower {
    /// Creates the state machine of an agent that has just started.
    pub fn new(settings: RankSettings) -> Self {
        let mut known = vec![ProcessIncarnation::default(); usize::from(settings.n_ranks)];
        known[usize::from(settings.rank)] = settings.incarnation;
        Self {
            settings,
            phase: FollowerPhase::ReadingTarget,
            floor: FencingNumber::default(),
            leader: None,
            known,
            accepted: None,
            granted: None,
            running: None,
            loaded: SmallVec::new(),
            maps: SmallVec::new(),
            highest_map: MapNumber::default(),
        }
    }

    /// Handles an event and returns the resulting actions.
    pub fn on_event(&mut self, _now: Timestamp, event: RankEvent) -> RankActions {
        let mut actions = RankActions::new();
        match event {
            RankEvent::Start => actions.push(RankAction::ReadTarget),
            RankEvent::TargetRead(state) => self.on_target_read(&state, &mut actions),
            RankEvent::LogRead(newest) => self.on_log_read(newest, &mut actions),
            RankEvent::Message(message) => self.on_message(message, &mut actions),
            RankEvent::WindowStarted(window) => self.on_window_started(window, &mut actions),
            RankEvent::MapLoaded(map) => self.on_map_loaded(map, &mut actions),
            RankEvent::LoadFailed(map) => self.maps.retain(|known| known.id() != map),
            RankEvent::Tick => self.resend_pending(&mut actions),
        }
        actions
    }

    /// Returns the incarnation of the agent. It rises if another rank knows a higher one.
    pub fn incarnation(&self) -> ProcessIncarnation {
        self.settings.incarnation
    }

    /// Returns whether the agent has rejoined its group and answers leaders.
    pub fn is_joined(&self) -> bool {
        matches!(self.phase, FollowerPhase::Joined)
    }

    /// Returns the newest granted window.
    pub fn granted(&self) -> Option<WindowMap> {
        self.granted
    }

    /// Returns the contents of a map, for a leader that does not have it.
    pub fn map(&self, id: MapId) -> Option<&Arc<ExpertMap>> {
        self.maps.iter().find(|map| map.id() == id)
    }

    fn on_target_read(&mut self, state: &TargetState, actions: &mut RankActions) {
        if !matches!(self.phase, FollowerPhase::ReadingTarget) {
            return;
        }
        self.granted = state.queued.or(state.running);
        self.running = state.running.map(|running| running.window);
        self.maps = state.loaded.clone();
        self.loaded = self.maps.iter().map(|map| map.id()).collect();
        let ids = self
            .loaded
            .iter()
            .chain(self.granted.iter().map(|granted| &granted.map));
        self.highest_map = ids.map(|id| id.number).max().unwrap_or_default();
        self.start_rejoin(actions);
    }

    fn start_rejoin(&mut self, actions: &mut RankActions) {
        let round = RejoinRound::new(self.settings.rank, self.settings.n_ranks);
        self.phase = FollowerPhase::Rejoining(round);
        self.resend_pending(actions);
    }

    /// Repeats the requests whose answers this agent waits for.
    fn resend_pending(&self, actions: &mut RankActions) {
        let round = match &self.phase {
            FollowerPhase::ReadingTarget => return actions.push(RankAction::ReadTarget),
            FollowerPhase::Rejoining(round) => round,
            FollowerPhase::Joined => return,
        };
        if round.must_read_log() {
            actions.push(RankAction::ReadLog);
        }
        let (rank, incarnation) = (self.settings.rank, self.settings.incarnation);
        for other in round.missing.iter() {
            let message = StepMessage::Rejoin { rank, incarnation };
            actions.push(RankAction::SendRank(other, message));
        }
    }

    fn on_log_read(&mut self, newest: FencingNumber, actions: &mut RankActions) {
        let floor = match &self.phase {
            FollowerPhase::Rejoining(round) if round.must_read_log() => round.floor_above(newest),
            _ => return,
        };
        self.join(floor, actions);
    }

    fn join(&mut self, floor: FencingNumber, actions: &mut RankActions) {
        self.floor = floor;
        self.phase = FollowerPhase::Joined;
        self.fence_target(actions);
    }

    fn fence_target(&self, actions: &mut RankActions) {
        if self.settings.target == TargetFencing::Checks {
            actions.push(RankAction::FenceTarget(self.floor));
        }
    }

    fn on_message(&mut self, message: StepMessage, actions: &mut RankActions) {
        match message {
            StepMessage::Rejoin { rank, incarnation } => {
                self.on_rejoin(rank, incarnation, actions);
            }
            StepMessage::RejoinAnswer {
                rank,
                incarnation,
                asker,
                promise,
            } => {
                self.learn_incarnation(rank, incarnation);
                self.on_rejoin_answer(rank, asker, promise, actions);
            }
            StepMessage::Ask { fencing } => self.on_ask(fencing, actions),
            StepMessage::Prepare { fencing, window } => self.on_prepare(fencing, window, actions),
            StepMessage::Grant {
                fencing,
                window,
                incarnations,
            } => {
                self.on_grant(fencing, window, incarnations, actions);
            }
            StepMessage::Load {
                fencing,
                map,
                bytes_per_second,
            } => {
                self.on_load(fencing, map, bytes_per_second, actions);
            }
            StepMessage::Abandon { fencing, map } => self.on_abandon(fencing, map, actions),
            StepMessage::Answer { .. }
            | StepMessage::Prepared { .. }
            | StepMessage::Progress { .. }
            | StepMessage::Loaded { .. }
            | StepMessage::Refused { .. } => {}
        }
    }

    fn on_rejoin(
        &mut self,
        asker: RankId,
        incarnation: ProcessIncarnation,
        actions: &mut RankActions,
    ) {
        self.learn_incarnation(asker, incarnation);
        let Some(&known) = self.known.get(usize::from(asker)) else {
            return;
        };
        let promise = match self.phase {
            FollowerPhase::Joined => RejoinPromise::Floor(self.floor),
            _ => RejoinPromise::Rejoining,
        };
        actions.push(RankAction::Reply(StepMessage::RejoinAnswer {
            rank: self.settings.rank,
            incarnation: self.settings.incarnation,
            asker: known,
            promise,
        }));
    }

    fn learn_incarnation(&mut self, rank: RankId, incarnation: ProcessIncarnation) {
        if rank == self.settings.rank {
            return;
        }
        if let Some(known) = self.known.get_mut(usize::from(rank)) {
            *known = incarnation.max(*known);
        }
    }

    fn on_rejoin_answer(
        &mut self,
        rank: RankId,
        asker: ProcessIncarnation,
        promise: RejoinPromise,
        actions: &mut RankActions,
    ) {
        let FollowerPhase::Rejoining(round) = &mut self.phase else {
            return;
        };
        if self.settings.incarnation < asker {
            self.settings.incarnation = asker.next();
            self.known[usize::from(self.settings.rank)] = self.settings.incarnation;
            return self.start_rejoin(actions);
        }
        if asker < self.settings.incarnation {
            return;
        }
        round.on_answer(rank, promise);
        if let Some(floor) = round.floor() {
            return self.join(floor, actions);
        }
        if round.must_read_log() {
            actions.push(RankAction::ReadLog);
        }
    }

    fn on_ask(&mut self, fencing: FencingNumber, actions: &mut RankActions) {
        if !self.is_joined() {
            return self.refuse(fencing, RefuseReason::Rejoining, actions);
        }
        if fencing < self.floor {
            return self.refuse(fencing, RefuseReason::Fenced(self.floor), actions);
        }
        if self.leader != Some(fencing) {
            self.accepted = None;
            self.leader = Some(fencing);
            self.floor = fencing;
            self.fence_target(actions);
        }
        actions.push(RankAction::Reply(StepMessage::Answer {
            fencing,
            rank: self.settings.rank,
            incarnation: self.settings.incarnation,
            granted: self.granted,
            running: self.running,
            loaded: self.loaded.clone(),
            highest_map: self.highest_map,
        }));
    }

    /// Returns the reason to refuse a leader's message, if there is one.
    fn check_leader(&self, fencing: FencingNumber) -> Option<RefuseReason> {
        if !self.is_joined() {
            return Some(RefuseReason::Rejoining);
        }
        if fencing < self.floor {
            return Some(RefuseReason::Fenced(self.floor));
        }
        (self.leader != Some(fencing)).then_some(RefuseReason::NotAsked)
    }

    fn refuse(&self, fencing: FencingNumber, reason: RefuseReason, actions: &mut RankActions) {
        let rank = self.settings.rank;
        let message = StepMessage::Refused {
            fencing,
            rank,
            reason,
        };
        actions.push(RankAction::Reply(message));
    }

    fn on_prepare(&mut self, fencing: FencingNumber, window: WindowMap, actions: &mut RankActions) {
        let granted = self.granted.map(|granted| granted.window);
        if self.leader == Some(fencing) && Some(window.window) < granted {
            // A delayed duplicate for a window that every rank has already started.
            return;
        }
        let refusal = self
            .check_leader(fencing)
            .or_else(|| self.check_window(window));
        if let Some(reason) = refusal {
            return self.refuse(fencing, reason, actions);
        }
        if self.granted != Some(window) {
            self.accepted = Some(window);
        }
        actions.push(RankAction::Reply(StepMessage::Prepared {
            fencing,
            rank: self.settings.rank,
            incarnation: self.settings.incarnation,
            window: window.window,
        }));
    }

    /// Returns the reason to refuse a window, if there is one.
    fn check_window(&self, window: WindowMap) -> Option<RefuseReason> {
        if self.granted == Some(window) {
            return None;
        }
        let follows = self.granted.is_none_or(|granted| {
            granted.window.next() == window.window
                && self.running == Some(granted.window)
                && (granted.map.number < window.map.number || granted.map == window.map)
        });
        let has_other_map = self
            .accepted
            .is_some_and(|accepted| accepted.window == window.window && accepted.map != window.map);
        if !follows || has_other_map {
            return Some(RefuseReason::WindowMismatch);
        }
        (!self.loaded.contains(&window.map)).then_some(RefuseReason::MapMissing)
    }

    fn on_grant(
        &mut self,
        fencing: FencingNumber,
        window: WindowMap,
        incarnations: u64,
        actions: &mut RankActions,
    ) {
        if let Some(reason) = self.check_leader(fencing) {
            return self.refuse(fencing, reason, actions);
        }
        if incarnations != incarnations_digest(&self.known) {
            return self.refuse(fencing, RefuseReason::OtherIncarnations, actions);
        }
        if let Some(granted) = self
            .granted
            .filter(|granted| window.window <= granted.window)
        {
            assert!(
                window.window < granted.window || window.map == granted.map,
                "one_map_per_window: {granted}, then {window}"
            );
            return self.report_progress(actions);
        }
        if self.accepted != Some(window) {
            return self.refuse(fencing, RefuseReason::WindowMismatch, actions);
        }
        let is_same_map = self
            .granted
            .is_some_and(|granted| granted.map == window.map);
        self.accepted = None;
        self.granted = Some(window);
        actions.push(RankAction::RunWindow(fencing, window));
        self.report_progress(actions);
        if is_same_map {
            self.drop_older_maps(window.map, actions);
        }
    }

    /// Drops the maps with lower numbers than the one in use. This is safe from the second window
    /// on a map on, since that is granted only after all ranks were granted the first.
    fn drop_older_maps(&mut self, map: MapId, actions: &mut RankActions) {
        let older = self
            .loaded
            .iter()
            .copied()
            .filter(|known| known.number < map.number);
        let dropped: SmallVec<[MapId; 2]> = older.collect();
        for id in dropped {
            self.forget_map(id);
            actions.push(RankAction::DropMap(id));
        }
    }

    /// Drops maps that were loaded for a switch which the newer map `next` replaces.
    fn drop_superseded_maps(&mut self, next: MapId, actions: &mut RankActions) {
        let in_use = |id: MapId| {
            let accepted = self.accepted.is_some_and(|accepted| accepted.map == id);
            accepted
                || self
                    .granted
                    .is_none_or(|granted| id.number <= granted.map.number)
        };
        let ids = self
            .loaded
            .iter()
            .copied()
            .chain(self.maps.iter().map(|map| map.id()));
        let mut dropped: SmallVec<[MapId; 4]> = ids
            .filter(|&id| id.number < next.number && !in_use(id))
            .collect();
        dropped.dedup();
        for id in dropped {
            self.forget_map(id);
            actions.push(RankAction::DropMap(id));
        }
    }

    fn forget_map(&mut self, id: MapId) {
        self.loaded.retain(|known| *known != id);
        self.maps.retain(|known| known.id() != id);
    }

    fn on_window_started(&mut self, window: WindowNumber, actions: &mut RankActions) {
        self.running = self.running.max(Some(window));
        self.report_progress(actions);
    }

    fn report_progress(&self, actions: &mut RankActions) {
        if let (Some(fencing), Some(granted)) = (self.leader, self.granted) {
            let message = StepMessage::Progress {
                fencing,
                rank: self.settings.rank,
                granted,
                running: self.running,
            };
            actions.push(RankAction::SendLeader(message));
        }
    }

    fn on_load(
        &mut self,
        fencing: FencingNumber,
        map: Arc<ExpertMap>,
        bytes_per_second: u64,
        actions: &mut RankActions,
    ) {
        if let Some(reason) = self.check_leader(fencing) {
            return self.refuse(fencing, reason, actions);
        }
        let id = map.id();
        self.highest_map = self.highest_map.max(id.number);
        let known = self.map(id).is_some();
        if !known {
            self.maps.push(map.clone());
        }
        if self.loaded.contains(&id) {
            return self.report_loaded(id, actions);
        }
        if !known {
            self.drop_superseded_maps(id, actions);
            actions.push(RankAction::LoadMap(map, bytes_per_second));
        }
    }

    fn on_map_loaded(&mut self, id: MapId, actions: &mut RankActions) {
        // The load was abandoned while it was running.
        if self.map(id).is_none() {
            return actions.push(RankAction::DropMap(id));
        }
        if !self.loaded.contains(&id) {
            self.loaded.push(id);
        }
        self.report_loaded(id, actions);
    }

    fn report_loaded(&self, map: MapId, actions: &mut RankActions) {
        if let Some(fencing) = self.leader {
            let rank = self.settings.rank;
            let message = StepMessage::Loaded { fencing, rank, map };
            actions.push(RankAction::SendLeader(message));
        }
    }

    fn on_abandon(&mut self, fencing: FencingNumber, map: MapId, actions: &mut RankActions) {
        if let Some(reason) = self.check_leader(fencing) {
            return self.refuse(fencing, reason, actions);
        }
        let in_use = self.granted.is_some_and(|granted| granted.map == map)
            || self.accepted.is_some_and(|accepted| accepted.map == map);
        if !in_use {
            self.forget_map(map);
            actions.push(RankAction::DropMap(map));
        }
    }
}
