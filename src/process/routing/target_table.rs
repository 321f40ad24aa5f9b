//! The table of targets and the selection of a target for a request.

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

/// The number of targets sampled in the own data centre, and again in the others.
const SAMPLED_TARGETS: usize = 2;
/// The number of targets sampled in each before a request is refused for deadline or load.
const RESAMPLED_TARGETS: usize = 16;
/// The score penalty of a target in another data centre, as a share of its limit.
const REMOTE_PENALTY: f32 = 0.1;
/// The excess over the best sampled score allowed to a target per cached block.
const SLACK_PER_BLOCK: f32 = 0.025;
/// The maximum excess over the best sampled score for a target with a cached prefix.
const MAX_CACHE_SLACK: f32 = 0.25;
/// The maximum number of requests running or waiting at a target, as a multiple of its limit.
const MAX_LOAD_RATIO: f32 = 2.0;
/// The shortest retry delay given to a refused caller.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// The maximum number of prefixes kept.
const PREFIX_CAPACITY: NonZeroUsize = NonZeroUsize::new(65_536).unwrap();

/// The targets with their estimated load, from which `choose` selects one for a request.
///
/// In the lock order it comes after the account limiter and before the retry budget.
#[derive(Debug)]
pub struct TargetTable {
    data_centre: DataCentreName,
    targets: Vec<TargetState>,
    by_name: HashMap<TargetName, u32>,
    /// Indices of removed targets, reused for new ones once no own dispatch is left there.
    retired: Vec<u32>,
    pools: Vec<RolePool>,
    prefixes: PrefixIndex,
    dispatches: HashMap<WorkId, OwnDispatch>,
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

/// The inputs of one selection.
#[derive(Clone, Copy, Debug)]
struct RouteContext<'a> {
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
    /// Creates an empty table for an entry VM in `data_centre`.
    pub fn new(data_centre: DataCentreName) -> Self {
        Self {
            data_centre,
            targets: Vec::new(),
            by_name: HashMap::new(),
            retired: Vec::new(),
            pools: Vec::new(),
            prefixes: PrefixIndex::new(PREFIX_CAPACITY),
            dispatches: HashMap::new(),
        }
    }

    /// Adds a target or updates it; a new one is down until its eligibility is set.
    pub fn set_target(
        &mut self,
        target: &TargetName,
        role: &TargetRole,
        slots: u32,
        data_centre: &DataCentreName,
    ) {
        let pool_idx = self.pool_idx(role);
        let is_local = *data_centre == self.data_centre;
        let Some(&target_idx) = self.by_name.get(target) else {
            let state = TargetState::new(target.clone(), pool_idx, slots, is_local);
            let target_idx = self.insert_target(state);
            self.by_name.insert(target.clone(), target_idx);
            return;
        };
        let eligibility = self.targets[target_idx as usize].eligibility;
        self.set_eligibility(target_idx, TargetEligibility::Down);
        let state = &mut self.targets[target_idx as usize];
        state.pool_idx = pool_idx;
        state.slots = slots.max(1);
        state.is_local = is_local;
        self.set_eligibility(target_idx, eligibility);
    }

    /// Removes a target from the configuration; own dispatches to it may still end.
    pub fn remove_target(&mut self, target: &TargetName) {
        if let Some(target_idx) = self.by_name.remove(target) {
            self.set_eligibility(target_idx, TargetEligibility::Down);
            self.retired.push(target_idx);
        }
    }

    /// Sets the eligibility of a target; an unknown target is ignored.
    pub fn set_eligible(&mut self, target: &TargetName, eligibility: TargetEligibility) {
        if let Some(&target_idx) = self.by_name.get(target) {
            self.set_eligibility(target_idx, eligibility);
        }
    }

    /// Returns the targets with their eligibility.
    pub fn targets(&self) -> impl Iterator<Item = (&TargetName, TargetEligibility)> {
        self.by_name
            .iter()
            .map(|(name, &target_idx)| (name, self.targets[target_idx as usize].eligibility))
    }

    /// Returns the eligibility of a target; none if it is unknown.
    pub fn eligibility(&self, target: &TargetName) -> Option<TargetEligibility> {
        let target_idx = *self.by_name.get(target)?;
        Some(self.targets[target_idx as usize].eligibility)
    }

    /// Returns the estimated number of requests that run or wait at a target.
    pub fn estimated_load(&self, now: Timestamp, target: &TargetName) -> Option<u32> {
        let target_idx = *self.by_name.get(target)?;
        let state = &self.targets[target_idx as usize];
        let mean = &self.pools[state.pool_idx as usize].mean;
        Some(state.load(now, mean) as u32)
    }

    /// Returns whether a target is much slower than the median of its role.
    pub fn is_slow(&self, target: &TargetName) -> bool {
        self.by_name
            .get(target)
            .is_some_and(|&target_idx| self.targets[target_idx as usize].is_slow())
    }

    /// Returns the number of targets with allocated state, including removed ones.
    pub fn n_allocated(&self) -> usize {
        self.targets.len()
    }

    /// Returns the number of prefixes in the index.
    pub fn n_prefixes(&self) -> usize {
        self.prefixes.len()
    }

    /// Stores a load report; one that is not newer than the last is ignored.
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

    /// Applies a change of a target's prefix cache.
    pub fn observe_cache_event(&mut self, target: &TargetName, event: &CacheEvent) {
        let Some(&target_idx) = self.by_name.get(target) else {
            return;
        };
        match event {
            CacheEvent::Stored(prefixes) => self.index_prefixes(target_idx, prefixes),
            CacheEvent::Removed(prefixes) => {
                for &prefix in prefixes {
                    self.prefixes.remove(prefix, target_idx);
                }
            }
            CacheEvent::Cleared => self.targets[target_idx as usize].cache_epoch += 1,
        }
    }

    /// Selects a target for a request.
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
        let context = RouteContext { now, pool, query };
        let is_available = |target_idx| self.is_available(&context, target_idx);
        let mut candidates = self.sample(&context, SAMPLED_TARGETS, is_available, rng);
        if candidates.is_empty() {
            return self.last_resort(&context, rng);
        }
        if let Some(decision) = self.choose_cached(&context, &candidates) {
            return Ok(decision);
        }
        if self.reason_to_refuse(&context, &candidates[0]).is_some() {
            candidates = self.sample(&context, RESAMPLED_TARGETS, is_available, rng);
        }
        if let Some(reason) = self.reason_to_refuse(&context, &candidates[0]) {
            let delay = self.deadline_overrun(&context, &candidates[0]);
            return Err(refusal(reason, delay, rng));
        }
        let reason = match candidates.len() {
            1 => RouteReason::OnlyTarget,
            _ => RouteReason::LowerLoad,
        };
        Ok(self.decision(&context, &candidates, reason))
    }

    /// Records that a request was sent to a target, which will cache its `prefixes`.
    pub fn dispatched(&mut self, target: &TargetName, work: WorkId, prefixes: &[PrefixHash]) {
        let Some(&target_idx) = self.by_name.get(target) else {
            return;
        };
        let dispatch = OwnDispatch {
            target_idx,
            confirmation: DispatchConfirmation::Awaited,
        };
        let earlier = self.dispatches.insert(work, dispatch);
        assert!(earlier.is_none(), "an attempt is dispatched once");
        self.targets[target_idx as usize].started();
        self.index_prefixes(target_idx, prefixes);
    }

    /// Records that the agent admitted the work; `sequence` is that of its last report before.
    ///
    /// Until then, the dispatch is added to the load of every report.
    pub fn admitted(&mut self, work: WorkId, sequence: u64) {
        let Some(dispatch) = self.dispatches.get_mut(&work) else {
            return;
        };
        if dispatch.confirmation == DispatchConfirmation::Confirmed {
            return;
        }
        dispatch.confirmation = DispatchConfirmation::Confirmed;
        self.targets[dispatch.target_idx as usize].confirmed(sequence);
    }

    /// Records the result of a dispatch; an unknown dispatch is ignored.
    pub fn finished(&mut self, now: Timestamp, work: WorkId, result: DispatchResult) {
        let Some(dispatch) = self.dispatches.remove(&work) else {
            return;
        };
        let state = &mut self.targets[dispatch.target_idx as usize];
        match (dispatch.confirmation, result) {
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

    /// Returns the work that this process has in flight at a target.
    pub fn in_flight(&self, target: &TargetName) -> SmallVec<[WorkId; 8]> {
        let Some(&target_idx) = self.by_name.get(target) else {
            return SmallVec::new();
        };
        self.dispatches
            .iter()
            .filter(|(_, dispatch)| dispatch.target_idx == target_idx)
            .map(|(&work, _)| work)
            .collect()
    }

    /// Stores a new target at the index of a removed one, or at the end. The cache epoch is
    /// continued, which invalidates prefix entries of the removed target.
    fn insert_target(&mut self, mut state: TargetState) -> u32 {
        let targets = &self.targets;
        let free_pos = self
            .retired
            .iter()
            .position(|&target_idx| targets[target_idx as usize].n_own == 0);
        let Some(free_pos) = free_pos else {
            self.targets.push(state);
            return self.targets.len() as u32 - 1;
        };
        let target_idx = self.retired.swap_remove(free_pos);
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
        let list = self.pools[state.pool_idx as usize].list_mut(state.is_local);
        if is_eligible {
            state.pool_list_idx = list.len() as u32;
            list.push(target_idx);
            return;
        }
        let list_idx = state.pool_list_idx as usize;
        list.swap_remove(list_idx);
        if let Some(&moved_idx) = list.get(list_idx) {
            self.targets[moved_idx as usize].pool_list_idx = list_idx as u32;
        }
    }

    fn index_prefixes(&mut self, target_idx: u32, prefixes: &[PrefixHash]) {
        let epoch = self.targets[target_idx as usize].cache_epoch;
        for &prefix in prefixes {
            self.prefixes
                .insert(prefix, PrefixHolder { target_idx, epoch });
        }
    }

    /// Samples up to `n_wanted` allowed targets in the own data centre and as many in the others,
    /// the best first.
    fn sample(
        &self,
        context: &RouteContext<'_>,
        n_wanted: usize,
        is_allowed: impl Fn(u32) -> bool,
        rng: &mut impl Rng,
    ) -> SmallVec<[RouteCandidate; 8]> {
        let local = sample_list(&context.pool.local, n_wanted, &is_allowed, rng);
        let remote = sample_list(&context.pool.remote, n_wanted, &is_allowed, rng);
        let mut candidates: SmallVec<[RouteCandidate; 8]> = local
            .iter()
            .chain(&remote)
            .map(|&target_idx| self.candidate(context, target_idx))
            .collect();
        candidates.sort_by(|a, b| a.score.total_cmp(&b.score));
        candidates
    }

    fn candidate(&self, context: &RouteContext<'_>, target_idx: u32) -> RouteCandidate {
        let state = &self.targets[target_idx as usize];
        let penalty = if state.is_local { 0.0 } else { REMOTE_PENALTY };
        RouteCandidate {
            target_idx,
            score: state.score(context.now, &context.pool.mean) + penalty,
        }
    }

    fn is_available(&self, context: &RouteContext<'_>, target_idx: u32) -> bool {
        let state = &self.targets[target_idx as usize];
        state.eligibility == TargetEligibility::Eligible
            && state.ejected_until <= context.now
            && !context.query.tried.contains(&state.name)
    }

    fn reason_to_refuse(
        &self,
        context: &RouteContext<'_>,
        candidate: &RouteCandidate,
    ) -> Option<RefusalReason> {
        let state = &self.targets[candidate.target_idx as usize];
        if !self.deadline_overrun(context, candidate).is_zero() {
            return Some(RefusalReason::Deadline);
        }
        if MAX_LOAD_RATIO < state.next_load(context.now, &context.pool.mean) {
            return Some(RefusalReason::Overloaded);
        }
        None
    }

    /// Returns how long after the deadline this request would probably end at a candidate.
    fn deadline_overrun(&self, context: &RouteContext<'_>, candidate: &RouteCandidate) -> Duration {
        let state = &self.targets[candidate.target_idx as usize];
        let needed = state.expected_time(context.now, &context.pool.mean, context.query.cost);
        needed.saturating_sub(context.query.deadline.since(context.now))
    }

    /// Selects the holder of the longest cached prefix whose score is within the bound.
    fn choose_cached(
        &self,
        context: &RouteContext<'_>,
        candidates: &[RouteCandidate],
    ) -> Option<RouteDecision> {
        for (block_idx, &prefix) in context.query.prefixes.iter().enumerate().rev() {
            let holder = self
                .prefixes
                .holders(prefix)
                .iter()
                .filter(|holder| self.is_cache_usable(context, holder))
                .map(|holder| self.candidate(context, holder.target_idx))
                .min_by(|a, b| a.score.total_cmp(&b.score));
            let blocks = block_idx + 1;
            let slack = (SLACK_PER_BLOCK * blocks as f32).min(MAX_CACHE_SLACK);
            let bound = candidates[0].score + slack;
            let Some(holder) = holder.filter(|holder| holder.score <= bound) else {
                continue;
            };
            let runner_up = candidates
                .iter()
                .find(|candidate| candidate.target_idx != holder.target_idx);
            let ranked: SmallVec<[RouteCandidate; 2]> =
                std::iter::once(holder).chain(runner_up.copied()).collect();
            return Some(self.decision(context, &ranked, RouteReason::CachedPrefix { blocks }));
        }
        None
    }

    /// Returns whether a request may be sent to this target for its cached prefix.
    ///
    /// While the pool is full on average it may not: a target then appears free only in an old
    /// report, and all entries that saw the report would send to it at once.
    fn is_cache_usable(&self, context: &RouteContext<'_>, holder: &PrefixHolder) -> bool {
        let state = &self.targets[holder.target_idx as usize];
        holder.epoch == state.cache_epoch
            && context.pool.mean.load + 1.0 <= state.limit()
            && state.next_load(context.now, &context.pool.mean) <= 1.0
            && self.is_available(context, holder.target_idx)
    }

    /// Selects among the untried targets although all of them are ejected.
    fn last_resort(
        &self,
        context: &RouteContext<'_>,
        rng: &mut impl Rng,
    ) -> Result<RouteDecision, RouteRefusal> {
        let tried = context.query.tried;
        let is_untried = |target_idx: u32| !tried.contains(&self.targets[target_idx as usize].name);
        let candidates = self.sample(context, SAMPLED_TARGETS, is_untried, rng);
        if candidates.is_empty() {
            let is_pool_empty = context.pool.local.is_empty() && context.pool.remote.is_empty();
            let reason = match is_pool_empty {
                true => RefusalReason::NoTarget,
                false => RefusalReason::AllTried,
            };
            return Err(refusal(reason, MIN_RETRY_AFTER, rng));
        }
        Ok(self.decision(context, &candidates, RouteReason::LastResort))
    }

    fn decision(
        &self,
        context: &RouteContext<'_>,
        ranked: &[RouteCandidate],
        reason: RouteReason,
    ) -> RouteDecision {
        let target_name =
            |candidate: &RouteCandidate| self.targets[candidate.target_idx as usize].name.clone();
        let best = &self.targets[ranked[0].target_idx as usize];
        assert!(
            best.eligibility == TargetEligibility::Eligible,
            "only an eligible target receives new work"
        );
        RouteDecision {
            target: best.name.clone(),
            runner_up: ranked.get(1).map(target_name),
            reason,
            load: best.next_load(context.now, &context.pool.mean),
        }
    }
}

/// Samples up to `n_wanted` distinct allowed targets; scans the list if random draws find too few.
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

/// Creates a refusal with a jittered retry delay, so that callers do not retry all at once.
fn refusal(reason: RefusalReason, delay: Duration, rng: &mut impl Rng) -> RouteRefusal {
    let spread = rng.random_range(1.0..1.5);
    RouteRefusal {
        reason,
        retry_after: delay.max(MIN_RETRY_AFTER).mul_f32(spread),
    }
}
