//! The state machine of a group's leader.

use std::cmp::Ordering;

use crate::prelude::*;
use crate::version::expert_map::{ExpertMap, MapId, MapNumber, RankId};

use super::leader_event::{LeaderAction, LeaderEvent};
use super::load_schedule::{LoadRate, LoadSchedule};
use super::rank_set::RankSet;
use super::step_message::{RefuseReason, StepMessage, incarnations_digest};
use super::window_map::{WindowMap, WindowNumber};

/// The actions that a leader takes on one event.
pub type LeaderActions = SmallVec<[LeaderAction; 4]>;

/// The settings of a leader's state machine.
#[derive(Clone, Debug)]
pub struct LeaderSettings {
    /// The number of ranks in the group.
    pub n_ranks: u16,
    /// The fencing number: the offset of the leader's leadership record in the log.
    pub fencing: FencingNumber,
    /// The size of one expert of one layer, in bytes.
    pub expert_bytes: u64,
    /// The group's share of the weight store's bandwidth, in bytes per second.
    pub bytes_per_second: u64,
    /// The delay after which an unanswered message is sent again.
    pub resend_after: Duration,
    /// The expected duration of a window.
    pub window_duration: Duration,
}

/// The state machine of a group's leader.
///
/// It first collects a promise from every rank, then grants a window only after every rank has
/// accepted it.
#[derive(Clone, Debug)]
pub struct GroupLeader {
    settings: LeaderSettings,
    phase: LeaderPhase,
    ranks: Vec<RankStatus>,
    /// The newest window that may have been granted to any rank.
    newest_window: Option<WindowMap>,
    /// The window that is being prepared. Its map never changes under one fencing number.
    proposed: Option<WindowMap>,
    prepared: RankSet,
    current_map: Option<Arc<ExpertMap>>,
    staged: Option<LoadSchedule>,
    resend_at: Timestamp,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LeaderPhase {
    Asking,
    Leading,
    SteppedDown,
}

/// The last known state of a rank.
#[derive(Clone, Debug, Default)]
struct RankStatus {
    answered: bool,
    incarnation: ProcessIncarnation,
    granted: Option<WindowMap>,
    running: Option<WindowNumber>,
    loaded: SmallVec<[MapId; 2]>,
    highest_map: MapNumber,
}

impl GroupLeader {
    /// Creates the state machine of a leader whose leadership record was read back from the log.
    pub fn new(settings: LeaderSettings) -> Self {
        let ranks = vec![RankStatus::default(); usize::from(settings.n_ranks)];
        Self {
            settings,
            phase: LeaderPhase::Asking,
            ranks,
            newest_window: None,
            proposed: None,
            prepared: RankSet::default(),
            current_map: None,
            staged: None,
            resend_at: Timestamp::default(),
        }
    }

    /// Handles an event and returns the resulting actions.
    pub fn on_event(&mut self, now: Timestamp, event: LeaderEvent) -> LeaderActions {
        let mut actions = LeaderActions::new();
        if self.phase == LeaderPhase::SteppedDown {
            return actions;
        }
        match event {
            LeaderEvent::Start => self.ask_unanswered(now, &mut actions),
            LeaderEvent::Message(message) => self.on_message(now, message, &mut actions),
            LeaderEvent::SwitchMap(map) => self.on_switch_map(now, map, &mut actions),
            LeaderEvent::MapFound(map) => self.on_map_found(now, map, &mut actions),
            LeaderEvent::StopLoad => self.on_stop_load(&mut actions),
            LeaderEvent::NewerLeader(fencing) => self.on_newer_leader(fencing, &mut actions),
            LeaderEvent::Tick => self.on_tick(now, &mut actions),
        }
        if self.phase == LeaderPhase::Leading {
            self.send_due_loads(now, &mut actions);
            self.propose_next(now, &mut actions);
        }
        actions
    }

    /// Returns whether all ranks have promised to follow this leader.
    pub fn is_leading(&self) -> bool {
        self.phase == LeaderPhase::Leading
    }

    /// Returns the fencing number of the leader.
    pub fn fencing(&self) -> FencingNumber {
        self.settings.fencing
    }

    /// Returns the newest granted window.
    pub fn newest_window(&self) -> Option<WindowMap> {
        self.newest_window
    }

    /// Returns the map in use, if the leader has its contents.
    pub fn current_map(&self) -> Option<&Arc<ExpertMap>> {
        self.current_map.as_ref()
    }

    /// Returns the lowest number that a new map may have.
    pub fn next_map_number(&self) -> MapNumber {
        let rank_numbers = self.ranks.iter().map(|status| status.highest_map);
        let staged_number = self.staged.iter().map(|staged| staged.map.number());
        let current_number = self.current_map.iter().map(|map| map.number());
        let highest = rank_numbers
            .chain(staged_number)
            .chain(current_number)
            .max();
        highest.unwrap_or_default().next()
    }

    /// Returns the ranks that block the progress of the group.
    pub fn waiting_for(&self) -> RankSet {
        let all = RankSet::all(self.settings.n_ranks);
        if self.phase != LeaderPhase::Leading {
            return self.ranks_where(|status| !status.answered);
        }
        if self.proposed.is_some() {
            return all.without(self.prepared);
        }
        let ungranted = self.ranks_where(|status| status.granted != self.newest_window);
        if !ungranted.is_empty() {
            return ungranted;
        }
        self.ranks_where(|status| status.running < self.newest_window.map(|newest| newest.window))
    }

    fn ranks_where(&self, condition: impl Fn(&RankStatus) -> bool) -> RankSet {
        let mut set = RankSet::default();
        for (rank, status) in self.ranks.iter().enumerate() {
            if condition(status) {
                set.insert(rank as RankId);
            }
        }
        set
    }

    fn ask_unanswered(&mut self, now: Timestamp, actions: &mut LeaderActions) {
        let fencing = self.settings.fencing;
        for rank in self.ranks_where(|status| !status.answered).iter() {
            actions.push(LeaderAction::Send(rank, StepMessage::Ask { fencing }));
        }
        self.resend_at = now + self.settings.resend_after;
    }

    /// Asks all ranks again, because a restarted rank may have lost its promise.
    fn ask_again(&mut self, now: Timestamp, actions: &mut LeaderActions) {
        if self.phase == LeaderPhase::Asking {
            return;
        }
        self.phase = LeaderPhase::Asking;
        self.prepared = RankSet::default();
        for status in &mut self.ranks {
            status.answered = false;
        }
        self.ask_unanswered(now, actions);
    }

    fn on_message(&mut self, now: Timestamp, message: StepMessage, actions: &mut LeaderActions) {
        match message {
            StepMessage::Answer {
                fencing,
                rank,
                incarnation,
                granted,
                running,
                loaded,
                highest_map,
            } if self.is_from_own_rank(fencing, rank) => {
                let answered = true;
                let status = RankStatus {
                    answered,
                    incarnation,
                    granted,
                    running,
                    loaded,
                    highest_map,
                };
                self.on_answer(now, rank, status, actions);
            }
            StepMessage::Prepared {
                fencing,
                rank,
                incarnation,
                window,
            } if self.is_from_own_rank(fencing, rank) => {
                match incarnation.cmp(&self.ranks[usize::from(rank)].incarnation) {
                    Ordering::Less => {}
                    Ordering::Equal => self.on_prepared(now, rank, window, actions),
                    Ordering::Greater => self.ask_again(now, actions),
                }
            }
            StepMessage::Progress {
                fencing,
                rank,
                granted,
                running,
            } if self.is_from_own_rank(fencing, rank) => {
                self.on_progress(now, rank, granted, running);
            }
            StepMessage::Loaded { fencing, rank, map } if self.is_from_own_rank(fencing, rank) => {
                self.on_loaded(rank, map, actions);
            }
            StepMessage::Refused {
                fencing,
                rank,
                reason,
            } if self.is_from_own_rank(fencing, rank) => {
                self.on_refused(now, rank, reason, actions);
            }
            _ => {}
        }
    }

    fn is_from_own_rank(&self, fencing: FencingNumber, rank: RankId) -> bool {
        fencing == self.settings.fencing && rank < self.settings.n_ranks
    }

    fn on_answer(
        &mut self,
        now: Timestamp,
        rank: RankId,
        status: RankStatus,
        actions: &mut LeaderActions,
    ) {
        let known = &mut self.ranks[usize::from(rank)];
        if status.incarnation < known.incarnation {
            return;
        }
        if status.incarnation == known.incarnation && status.running < known.running {
            // A delayed answer that a newer one has superseded.
            return;
        }
        let restarted = known.incarnation < status.incarnation && known.answered;
        *known = status;
        if restarted {
            return self.ask_again(now, actions);
        }
        let all_answered = self.ranks.iter().all(|status| status.answered);
        if self.phase == LeaderPhase::Asking && all_answered {
            self.start_leading(now, actions);
        }
    }

    fn start_leading(&mut self, now: Timestamp, actions: &mut LeaderActions) {
        self.phase = LeaderPhase::Leading;
        let granted = self.ranks.iter().filter_map(|status| status.granted);
        let reported = granted.max_by_key(|granted| granted.window);
        for granted in self.ranks.iter().filter_map(|status| status.granted) {
            for other in [reported, self.newest_window].into_iter().flatten() {
                assert!(
                    other.window != granted.window || other.map == granted.map,
                    "one_map_per_window: {granted}, but {other}"
                );
            }
        }
        let window_of = |window: Option<WindowMap>| window.map(|window| window.window);
        if window_of(self.newest_window) < window_of(reported) {
            self.newest_window = reported;
        }
        if self.contradicts_proposal(reported) {
            return self.step_down(self.settings.fencing, actions);
        }
        self.drop_granted_proposal();
        actions.push(LeaderAction::Leading(self.newest_window));
        self.recheck_loaded(now);
        if let (None, Some(newest)) = (&self.current_map, self.newest_window) {
            actions.push(LeaderAction::FindMap(newest.map));
        }
        if self.proposed.is_none() && self.newest_is_incomplete() {
            self.proposed = self.newest_window;
        }
        if let Some(window) = self.proposed {
            self.propose(now, window, actions);
        }
    }

    /// Returns whether a rank was not granted the newest window, which must then be granted again.
    fn newest_is_incomplete(&self) -> bool {
        self.newest_window.is_some()
            && self
                .ranks
                .iter()
                .any(|status| status.granted != self.newest_window)
    }

    /// Returns whether a rank was granted another map in the proposed window or a later window.
    /// Other ranks may have accepted the proposal, so only a leader with a new leadership record
    /// can propose the granted window again.
    fn contradicts_proposal(&self, reported: Option<WindowMap>) -> bool {
        let (Some(proposed), Some(reported)) = (self.proposed, reported) else {
            return false;
        };
        proposed.window <= reported.window && proposed != reported
    }

    fn drop_granted_proposal(&mut self) {
        let newest = self.newest_window.map(|newest| newest.window);
        self.proposed = self
            .proposed
            .filter(|proposed| newest < Some(proposed.window));
    }

    fn recheck_loaded(&mut self, now: Timestamp) {
        let Some(staged) = &mut self.staged else {
            return;
        };
        let id = staged.map.id();
        for (rank, status) in self.ranks.iter().enumerate() {
            if !status.loaded.contains(&id) {
                staged.resend_now(now, rank as RankId);
            }
        }
    }

    /// Prepares the next window once all ranks are running the newest one.
    fn propose_next(&mut self, now: Timestamp, actions: &mut LeaderActions) {
        let newest = self.newest_window.map(|newest| newest.window);
        let all_run = self.ranks.iter().all(|status| status.running == newest);
        if self.proposed.is_some() || !all_run {
            return;
        }
        let ready = self
            .staged
            .as_ref()
            .filter(|staged| self.is_loaded(staged.map.id()));
        let map = match (ready, self.newest_window) {
            (Some(staged), _) => staged.map.id(),
            (None, Some(newest)) => newest.map,
            (None, None) => return,
        };
        let window = newest.unwrap_or_default().next();
        self.propose(now, WindowMap { window, map }, actions);
    }

    fn is_loaded(&self, map: MapId) -> bool {
        self.ranks.iter().all(|status| status.loaded.contains(&map))
    }

    fn propose(&mut self, now: Timestamp, window: WindowMap, actions: &mut LeaderActions) {
        self.proposed = Some(window);
        self.prepared = RankSet::default();
        self.send_prepares(now, window, actions);
    }

    fn send_prepares(&mut self, now: Timestamp, window: WindowMap, actions: &mut LeaderActions) {
        let fencing = self.settings.fencing;
        for rank in RankSet::all(self.settings.n_ranks)
            .without(self.prepared)
            .iter()
        {
            let message = StepMessage::Prepare { fencing, window };
            actions.push(LeaderAction::Send(rank, message));
        }
        self.resend_at = now + self.settings.resend_after;
    }

    fn on_prepared(
        &mut self,
        now: Timestamp,
        rank: RankId,
        window: WindowNumber,
        actions: &mut LeaderActions,
    ) {
        let Some(proposed) = self.proposed.filter(|proposed| proposed.window == window) else {
            return;
        };
        if self.phase != LeaderPhase::Leading {
            return;
        }
        self.prepared.insert(rank);
        if self.prepared == RankSet::all(self.settings.n_ranks) {
            self.grant(now, proposed, actions);
        }
    }

    fn on_progress(
        &mut self,
        now: Timestamp,
        rank: RankId,
        granted: WindowMap,
        running: Option<WindowNumber>,
    ) {
        let newest = self.newest_window;
        let status = &mut self.ranks[usize::from(rank)];
        status.running = status.running.max(running);
        if newest != Some(granted) || status.granted == newest {
            return;
        }
        status.granted = newest;
        if self.ranks.iter().all(|status| status.granted == newest) {
            // The window starts only after the previous one has ended.
            self.resend_at = now + self.settings.window_duration * 2;
        }
    }

    fn grant(&mut self, now: Timestamp, window: WindowMap, actions: &mut LeaderActions) {
        let switched = self
            .newest_window
            .is_none_or(|newest| newest.map != window.map);
        self.proposed = None;
        self.newest_window = Some(window);
        let all = RankSet::all(self.settings.n_ranks);
        self.send_grants(now, window, all, actions);
        actions.push(LeaderAction::Granted(window));
        let uses_map = |staged: &LoadSchedule| staged.map.id() == window.map;
        if self.staged.as_ref().is_some_and(uses_map) {
            self.current_map = self.staged.take().map(|staged| staged.map);
        }
        if switched {
            actions.push(LeaderAction::Switched(window));
        }
    }

    fn send_grants(
        &mut self,
        now: Timestamp,
        window: WindowMap,
        ranks: RankSet,
        actions: &mut LeaderActions,
    ) {
        let known: Vec<ProcessIncarnation> =
            self.ranks.iter().map(|status| status.incarnation).collect();
        let incarnations = incarnations_digest(&known);
        let fencing = self.settings.fencing;
        for rank in ranks.iter() {
            let message = StepMessage::Grant {
                fencing,
                window,
                incarnations,
            };
            actions.push(LeaderAction::Send(rank, message));
        }
        self.resend_at = now + self.settings.resend_after;
    }

    fn on_refused(
        &mut self,
        now: Timestamp,
        rank: RankId,
        reason: RefuseReason,
        actions: &mut LeaderActions,
    ) {
        actions.push(LeaderAction::RankRefused(rank, reason));
        match reason {
            RefuseReason::Fenced(floor) => self.on_newer_leader(floor, actions),
            RefuseReason::Rejoining
            | RefuseReason::NotAsked
            | RefuseReason::OtherIncarnations
            | RefuseReason::WindowMismatch => self.ask_again(now, actions),
            RefuseReason::MapMissing => self.on_map_missing(now, rank, actions),
        }
    }

    /// Makes a rank load the map of the proposed window again.
    fn on_map_missing(&mut self, now: Timestamp, rank: RankId, actions: &mut LeaderActions) {
        let Some(id) = self.proposed.map(|proposed| proposed.map) else {
            return;
        };
        let loaded = &mut self.ranks[usize::from(rank)].loaded;
        loaded.retain(|known| *known != id);
        if let Some(staged) = self.staged.as_mut().filter(|staged| staged.map.id() == id) {
            return staged.resend_now(now, rank);
        }
        match self.current_map.clone().filter(|map| map.id() == id) {
            Some(map) => self.send_load(now, rank, map, actions),
            None => actions.push(LeaderAction::FindMap(id)),
        }
    }

    fn send_load(
        &mut self,
        now: Timestamp,
        rank: RankId,
        map: Arc<ExpertMap>,
        actions: &mut LeaderActions,
    ) {
        let fencing = self.settings.fencing;
        let bytes_per_second = self.settings.bytes_per_second;
        let message = StepMessage::Load {
            fencing,
            map,
            bytes_per_second,
        };
        actions.push(LeaderAction::Send(rank, message));
        self.resend_at = now + self.settings.resend_after;
    }

    fn on_switch_map(&mut self, now: Timestamp, map: Arc<ExpertMap>, actions: &mut LeaderActions) {
        let fits = map.shape().ranks == self.settings.n_ranks && map.validate().is_ok();
        let conflicts = self.staged.is_some() || map.number() < self.next_map_number();
        if self.phase != LeaderPhase::Leading || !fits || conflicts {
            return actions.push(LeaderAction::MapRefused(map.id()));
        }
        let rate = LoadRate {
            expert_bytes: self.settings.expert_bytes,
            bytes_per_second: self.settings.bytes_per_second,
            resend_after: self.settings.resend_after,
        };
        self.staged = Some(LoadSchedule::new(
            now,
            map,
            self.current_map.as_deref(),
            rate,
        ));
    }

    fn on_map_found(&mut self, now: Timestamp, map: Arc<ExpertMap>, actions: &mut LeaderActions) {
        let wanted = self
            .newest_window
            .or(self.proposed)
            .map(|window| window.map);
        if wanted != Some(map.id()) {
            return;
        }
        for rank in self
            .ranks_where(|status| !status.loaded.contains(&map.id()))
            .iter()
        {
            self.send_load(now, rank, map.clone(), actions);
        }
        self.current_map = Some(map);
    }

    fn send_due_loads(&mut self, now: Timestamp, actions: &mut LeaderActions) {
        let Some(id) = self.staged.as_ref().map(|staged| staged.map.id()) else {
            return;
        };
        let missing = self.ranks_where(|status| !status.loaded.contains(&id));
        let Some(staged) = &mut self.staged else {
            return;
        };
        let due = staged.due(now, missing);
        let map = staged.map.clone();
        for rank in due.iter() {
            self.send_load(now, rank, map.clone(), actions);
        }
    }

    fn on_loaded(&mut self, rank: RankId, map: MapId, actions: &mut LeaderActions) {
        let loaded = &mut self.ranks[usize::from(rank)].loaded;
        if loaded.contains(&map) {
            return;
        }
        loaded.push(map);
        let is_staged = self
            .staged
            .as_ref()
            .is_some_and(|staged| staged.map.id() == map);
        if is_staged && self.is_loaded(map) {
            actions.push(LeaderAction::MapReady(map));
        }
    }

    /// Stops loading the next map, unless a window on it is already being prepared.
    fn on_stop_load(&mut self, actions: &mut LeaderActions) {
        let Some(id) = self.staged.as_ref().map(|staged| staged.map.id()) else {
            return;
        };
        if self.proposed.is_some_and(|proposed| proposed.map == id) {
            return;
        }
        let fencing = self.settings.fencing;
        for rank in RankSet::all(self.settings.n_ranks).iter() {
            let message = StepMessage::Abandon { fencing, map: id };
            actions.push(LeaderAction::Send(rank, message));
        }
        for status in &mut self.ranks {
            status.loaded.retain(|known| *known != id);
            status.highest_map = status.highest_map.max(id.number);
        }
        self.staged = None;
    }

    fn on_newer_leader(&mut self, fencing: FencingNumber, actions: &mut LeaderActions) {
        if self.settings.fencing < fencing {
            self.step_down(fencing, actions);
        }
    }

    fn step_down(&mut self, fencing: FencingNumber, actions: &mut LeaderActions) {
        self.phase = LeaderPhase::SteppedDown;
        actions.push(LeaderAction::StepDown(fencing));
    }

    fn on_tick(&mut self, now: Timestamp, actions: &mut LeaderActions) {
        if now < self.resend_at {
            return;
        }
        let waiting = self.waiting_for();
        if waiting.is_empty() {
            return;
        }
        actions.push(LeaderAction::Waiting(waiting));
        match (self.phase, self.proposed, self.newest_window) {
            (LeaderPhase::Asking, _, _) => self.ask_unanswered(now, actions),
            (_, Some(window), _) => self.send_prepares(now, window, actions),
            (_, None, Some(window)) => self.send_grants(now, window, waiting, actions),
            _ => {}
        }
    }
}
