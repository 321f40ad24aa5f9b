//! Searches one layer for changes that reduce its slowest rank's time.

use crate::prelude::*;

use super::expert_placement::{LayerLoads, place_layer_near};
use super::map::ExpertMap;
use super::map_shape::{ExpertId, MapShape};

/// The exponent of the potential, a smooth approximation of the maximum rank time.
const POTENTIAL_POWER: i32 = 12;

/// The minimum reduction of the potential per load for a change to be made.
const MIN_DROP_PER_LOAD: f64 = 1e-4;

/// The ratio of the slowest rank's time to the ideal at which a layer counts as balanced.
const BALANCED_RATIO: f64 = 1.005;

/// The number of consecutive changes that may fail to reduce the slowest rank's time.
const MAX_IDLE_CHANGES: usize = 4;

/// How far a rank's time may exceed the ideal, as a share of it, for the rank to keep its experts
/// in a new placement.
const REBUILD_SLACK: f64 = 0.02;

/// How far the lowest cost of the search from the current placement must exceed 1.0, the ratio of
/// a perfectly balanced layer, for a new placement to be tried.
const REBUILD_COST: f64 = 0.03;

/// The input of the search of one layer.
#[derive(Clone, Copy, Debug)]
pub(super) struct LayerInput<'a> {
    pub(super) shape: MapShape,
    pub(super) slots: &'a [ExpertId],
    pub(super) rates: &'a [f32],
    pub(super) speeds: &'a [f64],
    /// The reduction of the slowest rank's time, relative to the ideal, at which one load pays off.
    pub(super) load_price: f64,
    /// The maximum number of experts that a rank may newly load.
    pub(super) headroom: usize,
}

impl LayerInput<'_> {
    /// Returns the ratio of the slowest rank's time to the ideal at which no further load pays.
    fn stop_ratio(&self) -> f64 {
        BALANCED_RATIO.max(1.0 + self.load_price)
    }
}

/// The changes made by a search, in order, and the layer's balance after each.
#[derive(Clone, Debug)]
pub(super) struct SearchPath {
    /// The time of each rank under a perfectly balanced load.
    pub(super) ideal_time: f64,
    initial: Vec<ExpertId>,
    changes: Vec<LayerChange>,
    points: Vec<PathPoint>,
}

/// The balance of a layer after the first `n_changes` changes.
#[derive(Clone, Copy, Debug)]
pub(super) struct PathPoint {
    pub(super) n_changes: usize,
    /// The number of experts loaded so far.
    pub(super) n_loads: usize,
    /// The ratio of the slowest rank's time to the ideal.
    pub(super) ratio: f64,
}

impl PathPoint {
    /// Returns the reduction of the ratio per load from here to a later point.
    pub(super) fn gain_per_load_to(&self, later: Self) -> f64 {
        (self.ratio - later.ratio) / later.n_loads.saturating_sub(self.n_loads).max(1) as f64
    }
}

impl SearchPath {
    /// Searches from the current placement and, if that leaves a high cost, from a new placement
    /// close to it; returns the search path with the lower cost.
    pub(super) fn search(input: &LayerInput<'_>) -> Self {
        let state = LayerState::new(input);
        let mut best = Self::search_greedily(input, None);
        if best.cost(input) <= 1.0 + REBUILD_COST {
            return best;
        }
        let loads = LayerLoads {
            shape: input.shape,
            rates: input.rates,
            speeds: input.speeds,
        };
        let max_time = state.ideal_time * (1.0 + REBUILD_SLACK);
        let rebuilt = place_layer_near(&loads, input.slots, max_time);
        let len = usize::from(input.shape.slots_per_rank);
        let mut ranks = rebuilt.chunks(len).zip(input.slots.chunks(len));
        if ranks.any(|(slots, before)| input.headroom < n_new(slots, before)) {
            return best;
        }
        let path = Self::search_greedily(input, Some(rebuilt));
        if path.cost(input) < best.cost(input) {
            best = path;
        }
        best
    }

    /// Makes the best change repeatedly until none helps, starting with the rebuild if given.
    fn search_greedily(input: &LayerInput<'_>, rebuilt: Option<Vec<ExpertId>>) -> Self {
        let mut state = LayerState::new(input);
        let mut path = Self {
            ideal_time: state.ideal_time,
            initial: input.slots.to_vec(),
            points: vec![state.point(0)],
            changes: Vec::new(),
        };
        let mut next = rebuilt.map(LayerChange::Rebuild);
        let mut best_ratio = f64::MAX;
        let mut n_idle = 0;
        while n_idle <= MAX_IDLE_CHANGES && path.changes.len() < input.slots.len() {
            let change = next.take().or_else(|| state.best_change());
            let Some(change) = change else { break };
            state.apply(&change);
            path.changes.push(change);
            path.points.push(state.point(path.changes.len()));
            if state.ratio() <= input.stop_ratio() {
                break;
            }
            n_idle = if state.ratio() < best_ratio {
                0
            } else {
                n_idle + 1
            };
            best_ratio = best_ratio.min(state.ratio());
        }
        path
    }

    /// Returns the minimum, over the points, of the ratio plus the price of the loads.
    fn cost(&self, input: &LayerInput<'_>) -> f64 {
        let cost = |point: &PathPoint| point.ratio + point.n_loads as f64 * input.load_price;
        self.points.iter().map(cost).fold(f64::MAX, f64::min)
    }

    /// Returns the point before any change.
    pub(super) fn start(&self) -> PathPoint {
        self.points[0]
    }

    /// Returns the later point with the most gain per load, or `None` if no point has a gain.
    pub(super) fn best_point_after(&self, from: PathPoint) -> Option<PathPoint> {
        self.points[from.n_changes + 1..]
            .iter()
            .copied()
            .filter(|point| point.ratio < from.ratio)
            .max_by(|a, b| {
                from.gain_per_load_to(*a)
                    .total_cmp(&from.gain_per_load_to(*b))
            })
    }

    /// Returns the layer's slots after the first `n_changes` changes.
    pub(super) fn slots_after(&self, n_changes: usize) -> Vec<ExpertId> {
        let mut slots = self.initial.clone();
        for change in &self.changes[..n_changes] {
            change.apply_to(&mut slots);
        }
        slots
    }
}

/// One change of a layer's slots.
#[derive(Clone, Debug)]
enum LayerChange {
    /// Puts a replica of another expert into a slot.
    Replace { slot: usize, expert: ExpertId },
    /// Replaces the placement of the whole layer.
    Rebuild(Vec<ExpertId>),
    /// Exchanges the experts of two slots.
    Swap { slot: usize, other: usize },
}

impl LayerChange {
    fn apply_to(&self, slots: &mut [ExpertId]) {
        match self {
            Self::Replace { slot, expert } => slots[*slot] = *expert,
            Self::Rebuild(rebuilt) => slots.copy_from_slice(rebuilt),
            Self::Swap { slot, other } => slots.swap(*slot, *other),
        }
    }
}

/// A change of one or two slots, with a fixed number of loads.
#[derive(Clone, Copy)]
enum SlotChange {
    Replace { slot: usize, expert: ExpertId },
    Swap { slot: usize, other: usize },
}

impl SlotChange {
    fn n_loads(self) -> usize {
        match self {
            Self::Replace { .. } => 1,
            Self::Swap { .. } => 2,
        }
    }
}

impl From<SlotChange> for LayerChange {
    fn from(change: SlotChange) -> Self {
        match change {
            SlotChange::Replace { slot, expert } => Self::Replace { slot, expert },
            SlotChange::Swap { slot, other } => Self::Swap { slot, other },
        }
    }
}

/// The state of a layer during the search.
struct LayerState<'a> {
    input: &'a LayerInput<'a>,
    slots: Vec<ExpertId>,
    holders: Vec<SmallVec<[u16; 8]>>,
    times: Vec<f64>,
    ideal_time: f64,
}

/// A change and the reduction of the potential that it brings per load.
#[derive(Clone, Copy)]
struct RatedChange {
    change: SlotChange,
    drop_per_load: f64,
}

/// The change of load of each affected rank.
type LoadDeltas = SmallVec<[(usize, f64); 16]>;

impl<'a> LayerState<'a> {
    fn new(input: &'a LayerInput<'a>) -> Self {
        let total: f64 = input.rates.iter().copied().map(f64::from).sum();
        let speed: f64 = input.speeds.iter().sum();
        let mut state = Self {
            input,
            slots: input.slots.to_vec(),
            holders: Vec::new(),
            times: Vec::new(),
            ideal_time: (total / speed).max(f64::MIN_POSITIVE),
        };
        state.recompute();
        state
    }

    /// Recomputes the holders of each expert and the time of each rank.
    fn recompute(&mut self) {
        self.holders = vec![SmallVec::new(); self.input.rates.len()];
        for (slot, &expert) in self.slots.iter().enumerate() {
            if expert != ExpertMap::EMPTY_SLOT {
                let rank = self.rank_of(slot) as u16;
                self.holders[usize::from(expert)].push(rank);
            }
        }
        let mut times = vec![0.0; usize::from(self.input.shape.ranks)];
        for (slot, &expert) in self.slots.iter().enumerate() {
            let rank = self.rank_of(slot);
            times[rank] += self.share(expert, 0) / self.input.speeds[rank];
        }
        self.times = times;
    }

    fn point(&self, n_changes: usize) -> PathPoint {
        PathPoint {
            n_changes,
            n_loads: self.n_loads(),
            ratio: self.ratio(),
        }
    }

    /// Returns the number of experts on ranks that did not hold them at the start.
    fn n_loads(&self) -> usize {
        let len = usize::from(self.input.shape.slots_per_rank);
        let ranks = self.slots.chunks(len).zip(self.input.slots.chunks(len));
        ranks.map(|(now, before)| n_new(now, before)).sum()
    }

    fn ratio(&self) -> f64 {
        self.times.iter().copied().fold(0.0, f64::max) / self.ideal_time
    }

    fn apply(&mut self, change: &LayerChange) {
        change.apply_to(&mut self.slots);
        self.recompute();
    }

    fn rank_of(&self, slot: usize) -> usize {
        slot / usize::from(self.input.shape.slots_per_rank)
    }

    fn slots_of(&self, rank: usize) -> std::ops::Range<usize> {
        let len = usize::from(self.input.shape.slots_per_rank);
        rank * len..(rank + 1) * len
    }

    /// Returns the load per replica of an expert with `added` more replicas.
    fn share(&self, expert: ExpertId, added: isize) -> f64 {
        if expert == ExpertMap::EMPTY_SLOT {
            return 0.0;
        }
        let expert = usize::from(expert);
        let replicas = self.holders[expert].len().saturating_add_signed(added);
        f64::from(self.input.rates[expert]) / replicas as f64
    }

    fn holds(&self, rank: usize, expert: ExpertId) -> bool {
        self.slots[self.slots_of(rank)].contains(&expert)
    }

    /// Returns whether a slot is empty or its expert has another replica.
    fn is_spare(&self, slot: usize) -> bool {
        let expert = self.slots[slot];
        expert == ExpertMap::EMPTY_SLOT || 1 < self.holders[usize::from(expert)].len()
    }

    fn best_change(&self) -> Option<LayerChange> {
        let slowest =
            (0..self.times.len()).max_by(|&a, &b| self.times[a].total_cmp(&self.times[b]))?;
        let mut best: Option<RatedChange> = None;
        let mut consider = |change: SlotChange| {
            let drop_per_load = self.drop_of(change) / change.n_loads() as f64;
            let is_better = best.is_none_or(|b| b.drop_per_load < drop_per_load);
            if MIN_DROP_PER_LOAD < drop_per_load && is_better && self.fits_headroom(change) {
                best = Some(RatedChange {
                    change,
                    drop_per_load,
                });
            }
        };
        self.replicas_elsewhere(slowest, &mut consider);
        self.replacements_at(slowest, &mut consider);
        self.swaps_with(slowest, &mut consider);
        best.map(|rated| rated.change.into())
    }

    /// Considers another replica of each of the slowest rank's experts, in any spare slot of
    /// another rank.
    fn replicas_elsewhere(&self, slowest: usize, consider: &mut impl FnMut(SlotChange)) {
        for slot in (0..self.slots.len()).filter(|&slot| self.is_spare(slot)) {
            let rank = self.rank_of(slot);
            if rank == slowest {
                continue;
            }
            let margin = self.load_margin(slowest, rank) + self.share(self.slots[slot], 0);
            for expert in self.experts_at(slowest) {
                if self.share(expert, 1) < margin && !self.holds(rank, expert) {
                    consider(SlotChange::Replace { slot, expert });
                }
            }
        }
    }

    /// Considers replacing each spare replica on the slowest rank by another expert.
    fn replacements_at(&self, slowest: usize, consider: &mut impl FnMut(SlotChange)) {
        for slot in self.slots_of(slowest).filter(|&slot| self.is_spare(slot)) {
            let old_share = self.share(self.slots[slot], 0);
            for expert in 0..self.input.shape.experts {
                if self.share(expert, 1) < old_share && !self.holds(slowest, expert) {
                    consider(SlotChange::Replace { slot, expert });
                }
            }
        }
    }

    /// Considers swapping each of the slowest rank's experts with each expert on another rank.
    fn swaps_with(&self, slowest: usize, consider: &mut impl FnMut(SlotChange)) {
        for slot in self.slots_of(slowest) {
            let share = self.share(self.slots[slot], 0);
            for other in 0..self.slots.len() {
                let other_share = self.share(self.slots[other], 0);
                let margin = self.load_margin(slowest, self.rank_of(other));
                if other_share < share && share - other_share < margin && self.may_swap(slot, other)
                {
                    consider(SlotChange::Swap { slot, other });
                }
            }
        }
    }

    /// Returns the load that a rank can take before it is as slow as the slowest one.
    fn load_margin(&self, slowest: usize, rank: usize) -> f64 {
        (self.times[slowest] - self.times[rank]) * self.input.speeds[rank]
    }

    fn may_swap(&self, slot: usize, other: usize) -> bool {
        let (expert, other_expert) = (self.slots[slot], self.slots[other]);
        let (rank, other_rank) = (self.rank_of(slot), self.rank_of(other));
        expert != ExpertMap::EMPTY_SLOT
            && other_expert != ExpertMap::EMPTY_SLOT
            && rank != other_rank
            && !self.holds(other_rank, expert)
            && !self.holds(rank, other_expert)
    }

    /// Returns whether the affected ranks stay within the headroom for newly loaded experts.
    fn fits_headroom(&self, change: SlotChange) -> bool {
        let mut slots = self.slots.clone();
        LayerChange::from(change).apply_to(&mut slots);
        let affected: SmallVec<[usize; 2]> = match change {
            SlotChange::Replace { slot, .. } => SmallVec::from_slice(&[slot]),
            SlotChange::Swap { slot, other } => SmallVec::from_slice(&[slot, other]),
        };
        affected.into_iter().all(|slot| {
            let range = self.slots_of(self.rank_of(slot));
            n_new(&slots[range.clone()], &self.input.slots[range]) <= self.input.headroom
        })
    }

    fn experts_at(&self, rank: usize) -> impl Iterator<Item = ExpertId> + '_ {
        let slots = &self.slots[self.slots_of(rank)];
        slots
            .iter()
            .copied()
            .filter(|&expert| expert != ExpertMap::EMPTY_SLOT)
    }

    /// Returns the reduction of the potential by a change.
    fn drop_of(&self, change: SlotChange) -> f64 {
        let deltas = match change {
            SlotChange::Replace { slot, expert } => self.replace_deltas(slot, expert),
            SlotChange::Swap { slot, other } => self.swap_deltas(slot, other),
        };
        deltas
            .iter()
            .map(|&(rank, delta)| self.potential_drop(rank, delta))
            .sum()
    }

    /// Returns the reduction of a rank's potential when its load changes by `delta`.
    fn potential_drop(&self, rank: usize, delta: f64) -> f64 {
        let before = self.times[rank] / self.ideal_time;
        let after = before + delta / self.input.speeds[rank] / self.ideal_time;
        before.powi(POTENTIAL_POWER) - after.powi(POTENTIAL_POWER)
    }

    fn replace_deltas(&self, slot: usize, expert: ExpertId) -> LoadDeltas {
        let rank = self.rank_of(slot);
        let old = self.slots[slot];
        let mut deltas = LoadDeltas::new();
        add_delta(
            &mut deltas,
            rank,
            self.share(expert, 1) - self.share(old, 0),
        );
        let lighter = self.share(expert, 1) - self.share(expert, 0);
        for &holder in &self.holders[usize::from(expert)] {
            add_delta(&mut deltas, usize::from(holder), lighter);
        }
        if old == ExpertMap::EMPTY_SLOT {
            return deltas;
        }
        let heavier = self.share(old, -1) - self.share(old, 0);
        for &holder in self.holders[usize::from(old)]
            .iter()
            .filter(|&&h| usize::from(h) != rank)
        {
            add_delta(&mut deltas, usize::from(holder), heavier);
        }
        deltas
    }

    fn swap_deltas(&self, slot: usize, other: usize) -> LoadDeltas {
        let delta = self.share(self.slots[other], 0) - self.share(self.slots[slot], 0);
        let mut deltas = LoadDeltas::new();
        add_delta(&mut deltas, self.rank_of(slot), delta);
        add_delta(&mut deltas, self.rank_of(other), -delta);
        deltas
    }
}

/// Returns the number of experts in a rank's slots that it did not hold before.
fn n_new(slots: &[ExpertId], before: &[ExpertId]) -> usize {
    let is_new = |expert: &&ExpertId| **expert != ExpertMap::EMPTY_SLOT && !before.contains(expert);
    slots.iter().filter(is_new).count()
}

fn add_delta(deltas: &mut LoadDeltas, rank: usize, delta: f64) {
    match deltas.iter_mut().find(|(known, _)| *known == rank) {
        Some((_, sum)) => *sum += delta,
        None => deltas.push((rank, delta)),
    }
}
