//! The table of targets and the choice among them.

use std::collections::HashMap;
use std::num::NonZeroUsize;

use rand::{Rng, RngExt};

use crate::prelude::*;
use crate::request::work_id::WorkId;
use crate::version::config::TargetRole;

use super::cache_event::CacheEvent;
use super::dispatch_result::DispatchResult;
use super::load_report::LoadReport;
use super::prefix_hash::PrefixHash;
use super::prefix_index::{PrefixHolder, PrefixIndex};
use super::role_pool::RolePool;
use super::route_decision::{RefusalReason, RouteDecision, RouteReason, RouteRefusal};
use super::route_query::RouteQuery;
use super::target_state::{TargetEligibility, TargetState};

/// The targets sampled for a choice in the own data centre, and again in the others.
const SAMPLED_TARGETS: usize = 2;
/// The targets sampled before a request is refused for its deadline.
const SECOND_LOOK_TARGETS: usize = 16;
/// The load that a target in the own data centre may have over one elsewhere.
const FAR_PENALTY: f32 = 0.1;
/// The load that a target may have over the best sampled one, for each cached block.
const SLACK_PER_BLOCK: f32 = 0.025;
/// The most load that a target with a cached prefix may have over the best sampled one.
const MAX_SLACK: f32 = 0.25;
/// The most that runs or waits at a target, as a multiple of its limit.
const MAX_LOAD: f32 = 2.0;
/// The shortest time after which a refused caller may come back.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// The most prefixes remembered.
const PREFIX_CAPACITY: NonZeroUsize = NonZeroUsize::new(65_536).unwrap();

/// The targets, what is known of their load, and the choice among them.
///
/// Its place in the lock order is after the account limiter and before the retry budget.
#[derive(Debug)]
pub struct TargetTable {
    data_centre: DataCentreName,
    targets: Vec<TargetState>,
    by_name: HashMap<TargetName, u32>,
    /// Places of removed targets, for new ones once no own dispatch is left there.
    retired: Vec<u32>,
    pools: Vec<RolePool>,
    prefixes: PrefixIndex,
    flights: HashMap<WorkId, OwnDispatch>,
}

/// A dispatch of this process that has not ended.
#[derive(Clone, Copy, Debug)]
struct OwnDispatch {
    target_idx: u32,
    confirmation: DispatchConfirmation,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DispatchConfirmation {
    Awaited,
    Confirmed,
}

/// What one choice looks at.
#[derive(Clone, Copy, Debug)]
struct RouteView<'a> {
    now: Timestamp,
    pool: &'a RolePool,
    query: &'a RouteQuery<'a>,
}

/// A sampled target with its score; the lower score wins.
#[derive(Clone, Copy, Debug)]
struct RouteCandidate {
    target_idx: u32,
    score: f32,
}

impl TargetTable {
    /// Makes an empty table for an entry VM in `data_centre`.
    pub fn new(data_centre: DataCentreName) -> Self {
        Self {
            data_centre,
            targets: Vec::new(),
            by_name: HashMap::new(),
            retired: Vec::new(),
            pools: Vec::new(),
            prefixes: PrefixIndex::new(PREFIX_CAPACITY),
            flights: HashMap::new(),
        }
    }

    /// Adds a target, or changes what it serves; a new one counts as down until it is set eligible.
    pub fn set_target(
        &mut self,
        target: &TargetName,
        role: &TargetRole,
        slots: u32,
        data_centre: &DataCentreName,
    ) {
        let pool_idx = self.pool_idx(role);
        let is_near = *data_centre == self.data_centre;
        let Some(&target_idx) = self.by_name.get(target) else {
            let state = TargetState::new(target.clone(), pool_idx, slots, is_near);
            let target_idx = self.place(state);
            self.by_name.insert(target.clone(), target_idx);
            return;
        };
        let eligibility = self.targets[target_idx as usize].eligibility;
        self.set_eligibility(target_idx, TargetEligibility::Down);
        let state = &mut self.targets[target_idx as usize];
        state.pool_idx = pool_idx;
        state.slots = slots.max(1);
        state.is_near = is_near;
        self.set_eligibility(target_idx, eligibility);
    }

    /// Removes a target that is configured no longer; its own dispatches may still end.
    pub fn remove_target(&mut self, target: &TargetName) {
        if let Some(target_idx) = self.by_name.remove(target) {
            self.set_eligibility(target_idx, TargetEligibility::Down);
            self.retired.push(target_idx);
        }
    }

    /// Sets whether a target may take new work; an unknown target is ignored.
    pub fn set_eligible(&mut self, target: &TargetName, eligibility: TargetEligibility) {
        if let Some(&target_idx) = self.by_name.get(target) {
            self.set_eligibility(target_idx, eligibility);
        }
    }

    /// Returns the targets of the table with their eligibility.
    pub fn targets(&self) -> impl Iterator<Item = (&TargetName, TargetEligibility)> {
        self.by_name
            .iter()
            .map(|(name, &target_idx)| (name, self.targets[target_idx as usize].eligibility))
    }

    /// Returns whether a target may take new work; none for an unknown one.
    pub fn eligibility(&self, target: &TargetName) -> Option<TargetEligibility> {
        let target_idx = *self.by_name.get(target)?;
        Some(self.targets[target_idx as usize].eligibility)
    }

    /// Returns the estimated load of a target: requests that run or wait there.
    pub fn estimated_load(&self, now: Timestamp, target: &TargetName) -> Option<u32> {
        let target_idx = *self.by_name.get(target)?;
        let state = &self.targets[target_idx as usize];
        let mean = &self.pools[state.pool_idx as usize].mean;
        Some(state.load(now, mean) as u32)
    }

    /// Returns whether a target is much slower than the median of those with its role.
    pub fn is_slow(&self, target: &TargetName) -> bool {
        self.by_name
            .get(target)
            .is_some_and(|&target_idx| self.targets[target_idx as usize].is_slow())
    }

    /// Returns the number of targets that the table has memory for.
    pub fn n_places(&self) -> usize {
        self.targets.len()
    }

    /// Returns the number of remembered prefixes.
    pub fn n_prefixes(&self) -> usize {
        self.prefixes.len()
    }

    /// Takes in a load report; one that is not newer than the last is ignored.
    pub fn observe_report(&mut self, now: Timestamp, target: &TargetName, report: &LoadReport) {
        let Some(&target_idx) = self.by_name.get(target) else {
            return;
        };
        if !self.targets[target_idx as usize].observe_report(report) {
            return;
        }
        let pool_idx = self.targets[target_idx as usize].pool_idx as usize;
        let pool = &mut self.pools[pool_idx];
        pool.refresh(now, &self.targets);
        self.targets[target_idx as usize].compare_step_time(pool.median_step_us);
    }

    /// Takes in a hint about a target's prefix cache.
    pub fn observe_cache_event(&mut self, target: &TargetName, event: &CacheEvent) {
        let Some(&target_idx) = self.by_name.get(target) else {
            return;
        };
        match event {
            CacheEvent::Stored(prefixes) => self.remember_prefixes(target_idx, prefixes),
            CacheEvent::Removed(prefixes) => {
                for &prefix in prefixes {
                    self.prefixes.remove(prefix, target_idx);
                }
            }
            CacheEvent::Cleared => self.targets[target_idx as usize].cache_epoch += 1,
        }
    }

    /// Chooses a target for a request.
    ///
    /// # Errors
    /// A refusal proves that the request was not dispatched.
    pub fn choose(
        &self,
        now: Timestamp,
        query: &RouteQuery<'_>,
        rng: &mut impl Rng,
    ) -> Result<RouteDecision, RouteRefusal> {
        let Some(pool) = self.pools.iter().find(|pool| pool.role == *query.role) else {
            return Err(refusal(RefusalReason::NoTarget, MIN_RETRY_AFTER, rng));
        };
        let view = RouteView { now, pool, query };
        let may_take = |target_idx| self.may_take(&view, target_idx);
        let mut candidates = self.sample(&view, SAMPLED_TARGETS, may_take, rng);
        if candidates.is_empty() {
            return self.last_resort(&view, rng);
        }
        if let Some(decision) = self.choose_cached(&view, &candidates) {
            return Ok(decision);
        }
        if self.reason_to_refuse(&view, &candidates[0]).is_some() {
            candidates = self.sample(&view, SECOND_LOOK_TARGETS, may_take, rng);
        }
        if let Some(reason) = self.reason_to_refuse(&view, &candidates[0]) {
            let delay = self.time_over(&view, &candidates[0]);
            return Err(refusal(reason, delay, rng));
        }
        let reason = match candidates.len() {
            1 => RouteReason::OnlyTarget,
            _ => RouteReason::LowerLoad,
        };
        Ok(self.decision(&view, &candidates, reason))
    }

    /// Notes that a request was sent to a target, with the prefixes that it leaves in the cache.
    pub fn dispatched(&mut self, target: &TargetName, work: WorkId, prefixes: &[PrefixHash]) {
        let Some(&target_idx) = self.by_name.get(target) else {
            return;
        };
        let flight = OwnDispatch {
            target_idx,
            confirmation: DispatchConfirmation::Awaited,
        };
        let earlier = self.flights.insert(work, flight);
        assert!(earlier.is_none(), "an attempt is dispatched once");
        self.targets[target_idx as usize].started();
        self.remember_prefixes(target_idx, prefixes);
    }

    /// Notes that the agent took the work; `sequence` is its last report before that.
    ///
    /// Until this is called the dispatch counts on top of every report.
    pub fn admitted(&mut self, work: WorkId, sequence: u64) {
        let Some(flight) = self.flights.get_mut(&work) else {
            return;
        };
        if flight.confirmation == DispatchConfirmation::Confirmed {
            return;
        }
        flight.confirmation = DispatchConfirmation::Confirmed;
        self.targets[flight.target_idx as usize].confirmed(sequence);
    }

    /// Notes how a dispatch ended; one that is not known is ignored.
    pub fn finished(&mut self, now: Timestamp, work: WorkId, result: DispatchResult) {
        let Some(flight) = self.flights.remove(&work) else {
            return;
        };
        let state = &mut self.targets[flight.target_idx as usize];
        match (flight.confirmation, result) {
            (DispatchConfirmation::Awaited, _) => state.ended_unconfirmed(),
            (
                DispatchConfirmation::Confirmed,
                DispatchResult::Answered { sequence } | DispatchResult::Cancelled { sequence },
            ) => state.ended_confirmed(sequence),
            (DispatchConfirmation::Confirmed, _) => {
                let sequence = state.report.map_or(0, |report| report.sequence);
                state.ended_confirmed(sequence);
            }
        }
        match result {
            DispatchResult::Answered { .. } => state.succeeded(),
            DispatchResult::Cancelled { .. } | DispatchResult::Refused => {}
            DispatchResult::Unreachable | DispatchResult::Crashed => state.failed(now),
        }
    }

    /// Returns the work of this process in flight at a target.
    pub fn in_flight(&self, target: &TargetName) -> SmallVec<[WorkId; 8]> {
        let Some(&target_idx) = self.by_name.get(target) else {
            return SmallVec::new();
        };
        self.flights
            .iter()
            .filter(|(_, flight)| flight.target_idx == target_idx)
            .map(|(&work, _)| work)
            .collect()
    }

    /// Puts a new target in the place of a removed one, or at the end. The cache epoch goes
    /// on, so that hints about the removed target's cache are void.
    fn place(&mut self, mut state: TargetState) -> u32 {
        let targets = &self.targets;
        let free = self
            .retired
            .iter()
            .position(|&target_idx| targets[target_idx as usize].n_own == 0);
        let Some(free) = free else {
            self.targets.push(state);
            return self.targets.len() as u32 - 1;
        };
        let target_idx = self.retired.swap_remove(free);
        state.cache_epoch = self.targets[target_idx as usize].cache_epoch + 1;
        self.targets[target_idx as usize] = state;
        target_idx
    }

    fn pool_idx(&mut self, role: &TargetRole) -> u32 {
        if let Some(pool_idx) = self.pools.iter().position(|pool| pool.role == *role) {
            return pool_idx as u32;
        }
        self.pools.push(RolePool::new(role.clone()));
        self.pools.len() as u32 - 1
    }

    fn set_eligibility(&mut self, target_idx: u32, eligibility: TargetEligibility) {
        let state = &mut self.targets[target_idx as usize];
        let was_eligible = state.eligibility == TargetEligibility::Eligible;
        let is_eligible = eligibility == TargetEligibility::Eligible;
        state.eligibility = eligibility;
        if was_eligible == is_eligible {
            return;
        }
        let list = self.pools[state.pool_idx as usize].list_mut(state.is_near);
        if is_eligible {
            state.pool_pos = list.len() as u32;
            list.push(target_idx);
            return;
        }
        let pos = state.pool_pos as usize;
        list.swap_remove(pos);
        if let Some(&moved_idx) = list.get(pos) {
            self.targets[moved_idx as usize].pool_pos = pos as u32;
        }
    }

    fn remember_prefixes(&mut self, target_idx: u32, prefixes: &[PrefixHash]) {
        let epoch = self.targets[target_idx as usize].cache_epoch;
        for &prefix in prefixes {
            self.prefixes
                .insert(prefix, PrefixHolder { target_idx, epoch });
        }
    }

    /// Samples targets in the own data centre and in the others, the best first.
    fn sample(
        &self,
        view: &RouteView<'_>,
        n_wanted: usize,
        is_allowed: impl Fn(u32) -> bool,
        rng: &mut impl Rng,
    ) -> SmallVec<[RouteCandidate; 8]> {
        let near = sample_list(&view.pool.near, n_wanted, &is_allowed, rng);
        let far = sample_list(&view.pool.far, n_wanted, &is_allowed, rng);
        let mut candidates: SmallVec<[RouteCandidate; 8]> = near
            .iter()
            .chain(&far)
            .map(|&target_idx| self.candidate(view, target_idx))
            .collect();
        candidates.sort_by(|a, b| a.score.total_cmp(&b.score));
        candidates
    }

    fn candidate(&self, view: &RouteView<'_>, target_idx: u32) -> RouteCandidate {
        let state = &self.targets[target_idx as usize];
        let penalty = if state.is_near { 0.0 } else { FAR_PENALTY };
        RouteCandidate {
            target_idx,
            score: state.score(view.now, &view.pool.mean) + penalty,
        }
    }

    fn may_take(&self, view: &RouteView<'_>, target_idx: u32) -> bool {
        let state = &self.targets[target_idx as usize];
        state.eligibility == TargetEligibility::Eligible
            && state.ejected_until <= view.now
            && !view.query.tried.contains(&state.name)
    }

    fn reason_to_refuse(
        &self,
        view: &RouteView<'_>,
        candidate: &RouteCandidate,
    ) -> Option<RefusalReason> {
        let state = &self.targets[candidate.target_idx as usize];
        if !self.time_over(view, candidate).is_zero() {
            return Some(RefusalReason::Deadline);
        }
        if MAX_LOAD < state.next_load(view.now, &view.pool.mean) {
            return Some(RefusalReason::Overloaded);
        }
        None
    }

    /// How long after the deadline most requests like this one would end at a target.
    fn time_over(&self, view: &RouteView<'_>, candidate: &RouteCandidate) -> Duration {
        let state = &self.targets[candidate.target_idx as usize];
        let needed = state.expected_time(view.now, &view.pool.mean, view.query.cost);
        needed.saturating_sub(view.query.deadline.since(view.now))
    }

    /// Chooses the holder of the longest cached prefix, unless its load is over the bound.
    fn choose_cached(
        &self,
        view: &RouteView<'_>,
        candidates: &[RouteCandidate],
    ) -> Option<RouteDecision> {
        for (block_idx, &prefix) in view.query.prefixes.iter().enumerate().rev() {
            let holder = self
                .prefixes
                .holders(prefix)
                .iter()
                .filter(|holder| self.is_usable(view, holder))
                .map(|holder| self.candidate(view, holder.target_idx))
                .min_by(|a, b| a.score.total_cmp(&b.score));
            let blocks = block_idx + 1;
            let slack = (SLACK_PER_BLOCK * blocks as f32).min(MAX_SLACK);
            let bound = candidates[0].score + slack;
            let Some(holder) = holder.filter(|holder| holder.score <= bound) else {
                continue;
            };
            let runner_up = candidates
                .iter()
                .find(|candidate| candidate.target_idx != holder.target_idx);
            let ranked: SmallVec<[RouteCandidate; 2]> =
                std::iter::once(holder).chain(runner_up.copied()).collect();
            return Some(self.decision(view, &ranked, RouteReason::CachedPrefix { blocks }));
        }
        None
    }

    /// Whether a request may follow a cached prefix to this target. None does while the pool
    /// is full: then a target only seems free to those that saw an old report, and they crowd.
    fn is_usable(&self, view: &RouteView<'_>, holder: &PrefixHolder) -> bool {
        let state = &self.targets[holder.target_idx as usize];
        holder.epoch == state.cache_epoch
            && view.pool.mean.load + 1.0 <= state.limit()
            && state.next_load(view.now, &view.pool.mean) <= 1.0
            && self.may_take(view, holder.target_idx)
    }

    /// Takes any untried target where every one of them failed of late.
    fn last_resort(
        &self,
        view: &RouteView<'_>,
        rng: &mut impl Rng,
    ) -> Result<RouteDecision, RouteRefusal> {
        let tried = view.query.tried;
        let is_untried = |target_idx: u32| !tried.contains(&self.targets[target_idx as usize].name);
        let candidates = self.sample(view, SAMPLED_TARGETS, is_untried, rng);
        if candidates.is_empty() {
            let is_pool_empty = view.pool.near.is_empty() && view.pool.far.is_empty();
            let reason = match is_pool_empty {
                true => RefusalReason::NoTarget,
                false => RefusalReason::AllTried,
            };
            return Err(refusal(reason, MIN_RETRY_AFTER, rng));
        }
        Ok(self.decision(view, &candidates, RouteReason::LastResort))
    }

    fn decision(
        &self,
        view: &RouteView<'_>,
        ranked: &[RouteCandidate],
        reason: RouteReason,
    ) -> RouteDecision {
        let name_of =
            |candidate: &RouteCandidate| self.targets[candidate.target_idx as usize].name.clone();
        let best = &self.targets[ranked[0].target_idx as usize];
        assert!(
            best.eligibility == TargetEligibility::Eligible,
            "a target that is leaving or down receives no new work"
        );
        RouteDecision {
            target: best.name.clone(),
            runner_up: ranked.get(1).map(name_of),
            reason,
            load: best.next_load(view.now, &view.pool.mean),
        }
    }
}

/// Draws up to `n_wanted` different allowed targets; looks at all where few are allowed.
fn sample_list(
    list: &[u32],
    n_wanted: usize,
    is_allowed: &impl Fn(u32) -> bool,
    rng: &mut impl Rng,
) -> SmallVec<[u32; 8]> {
    let mut sampled = SmallVec::new();
    if list.is_empty() {
        return sampled;
    }
    for _ in 0..n_wanted * 2 {
        let target_idx = list[rng.random_range(0..list.len())];
        if is_allowed(target_idx) && !sampled.contains(&target_idx) {
            sampled.push(target_idx);
        }
        if sampled.len() == n_wanted {
            return sampled;
        }
    }
    let offset = rng.random_range(0..list.len());
    let (head, tail) = list.split_at(offset);
    for &target_idx in tail.iter().chain(head) {
        if n_wanted <= sampled.len() {
            break;
        }
        if is_allowed(target_idx) && !sampled.contains(&target_idx) {
            sampled.push(target_idx);
        }
    }
    sampled
}

/// Makes a refusal whose time to come back is spread, so that callers do not return at once.
fn refusal(reason: RefusalReason, delay: Duration, rng: &mut impl Rng) -> RouteRefusal {
    let spread = rng.random_range(1.0..1.5);
    RouteRefusal {
        reason,
        retry_after: delay.max(MIN_RETRY_AFTER).mul_f32(spread),
    }
}
