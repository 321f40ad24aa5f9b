//! Searches one layer for changes that lower its slowest rank's time.

use crate::prelude::*;

use super::expert_placement::{LayerLoads, place_layer_near};
use super::map::ExpertMap;
use super::map_shape::{ExpertId, MapShape};

/// The power of the smooth stand-in for the maximum of the rank times.
const POTENTIAL_POWER: i32 = 12;

/// The least lowering of the potential that a change is made for.
const LEAST_DROP: f64 = 1e-4;

/// The slowest rank's time over the ideal at which a layer counts as balanced.
const BALANCED_RATIO: f64 = 1.005;

/// The changes in a row that may leave the slowest rank's time as it is.
const MOST_IDLE_CHANGES: usize = 4;

/// How far above the ideal a rank's time may be for its experts to stay in a new placement.
const REBUILD_SLACK: f64 = 0.02;

/// The least cost of a local search, above the ideal, at which a new placement is tried.
const REBUILD_COST: f64 = 0.03;

/// What one layer is searched from.
#[derive(Clone, Copy, Debug)]
pub(super) struct LayerInput<'a> {
    pub(super) shape: MapShape,
    pub(super) slots: &'a [ExpertId],
    pub(super) rates: &'a [f32],
    pub(super) speeds: &'a [f64],
    /// The lowering of the slowest rank's time over the ideal that one load must bring to pay.
    pub(super) load_price: f64,
    /// The most experts that may be new to a rank.
    pub(super) headroom: usize,
}

impl LayerInput<'_> {
    /// Returns the slowest rank's time over the ideal at which no further load can pay.
    fn stop_ratio(&self) -> f64 {
        BALANCED_RATIO.max(1.0 + self.load_price)
    }
}

/// The changes that a search makes, in order, and the layer's balance after each.
#[derive(Clone, Debug)]
pub(super) struct LayerTrail {
    /// The time of each rank if all loads were spread perfectly.
    pub(super) ideal_time: f64,
    initial: Vec<ExpertId>,
    changes: Vec<LayerChange>,
    points: Vec<TrailPoint>,
}

/// The balance of a layer after some changes.
#[derive(Clone, Copy, Debug)]
pub(super) struct TrailPoint {
    pub(super) n_changes: usize,
    /// The experts loaded so far.
    pub(super) loads: usize,
    /// The slowest rank's time over the ideal.
    pub(super) ratio: f64,
}

impl TrailPoint {
    /// Returns the lowering of the ratio per load on the way to a later point.
    pub(super) fn gain_per_load_to(&self, later: Self) -> f64 {
        (self.ratio - later.ratio) / later.loads.saturating_sub(self.loads).max(1) as f64
    }
}

impl LayerTrail {
    /// Searches from the layer as it is and from new placements near it; keeps the trail whose
    /// best point has the least time and loads together.
    pub(super) fn search(input: &LayerInput<'_>) -> Self {
        let state = LayerState::new(input);
        let mut best = Self::follow(input, None);
        if best.cost(input) <= 1.0 + REBUILD_COST {
            return best;
        }
        let loads = LayerLoads {
            shape: input.shape,
            rates: input.rates,
            speeds: input.speeds,
        };
        let most_time = state.ideal * (1.0 + REBUILD_SLACK);
        let rebuilt = place_layer_near(&loads, input.slots, most_time);
        let len = usize::from(input.shape.slots_per_rank);
        let mut ranks = rebuilt.chunks(len).zip(input.slots.chunks(len));
        if ranks.any(|(slots, before)| input.headroom < n_new(slots, before)) {
            return best;
        }
        let trail = Self::follow(input, Some(rebuilt));
        if trail.cost(input) < best.cost(input) {
            best = trail;
        }
        best
    }

    /// Searches greedily until no change helps, after a rebuild if there is one.
    fn follow(input: &LayerInput<'_>, rebuilt: Option<Vec<ExpertId>>) -> Self {
        let mut state = LayerState::new(input);
        let mut trail = Self {
            ideal_time: state.ideal,
            initial: input.slots.to_vec(),
            points: vec![state.point(0)],
            changes: Vec::new(),
        };
        let mut next = rebuilt.map(LayerChange::Rebuild);
        let mut best_ratio = f64::MAX;
        let mut n_idle = 0;
        while n_idle <= MOST_IDLE_CHANGES && trail.changes.len() < input.slots.len() {
            let change = next.take().or_else(|| state.best_change());
            let Some(change) = change else { break };
            state.apply(&change);
            trail.changes.push(change);
            trail.points.push(state.point(trail.changes.len()));
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
        trail
    }

    /// Returns the least sum of the ratio and the price of the loads on the trail.
    fn cost(&self, input: &LayerInput<'_>) -> f64 {
        let cost = |point: &TrailPoint| point.ratio + point.loads as f64 * input.load_price;
        self.points.iter().map(cost).fold(f64::MAX, f64::min)
    }

    /// Returns the point before any change.
    pub(super) fn start(&self) -> TrailPoint {
        self.points[0]
    }

    /// Returns the later point with the most gain per load, if any gains.
    pub(super) fn best_point_after(&self, from: TrailPoint) -> Option<TrailPoint> {
        self.points[from.n_changes + 1..]
            .iter()
            .copied()
            .filter(|point| point.ratio < from.ratio)
            .max_by(|a, b| {
                from.gain_per_load_to(*a)
                    .total_cmp(&from.gain_per_load_to(*b))
            })
    }

    /// Returns the layer's slots after the first changes.
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
    /// A slot takes a replica of another expert.
    Replace { slot: usize, expert: ExpertId },
    /// The layer is placed anew.
    Rebuild(Vec<ExpertId>),
    /// Two slots exchange their experts.
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

/// A change within one layer that costs a known number of loads.
#[derive(Clone, Copy)]
enum SmallChange {
    Replace { slot: usize, expert: ExpertId },
    Swap { slot: usize, other: usize },
}

impl SmallChange {
    fn loads(self) -> usize {
        match self {
            Self::Replace { .. } => 1,
            Self::Swap { .. } => 2,
        }
    }
}

impl From<SmallChange> for LayerChange {
    fn from(change: SmallChange) -> Self {
        match change {
            SmallChange::Replace { slot, expert } => Self::Replace { slot, expert },
            SmallChange::Swap { slot, other } => Self::Swap { slot, other },
        }
    }
}

/// A layer while it is searched.
struct LayerState<'a> {
    input: &'a LayerInput<'a>,
    slots: Vec<ExpertId>,
    holders: Vec<SmallVec<[u16; 8]>>,
    times: Vec<f64>,
    ideal: f64,
}

/// The lowering of the potential by a change, per load.
#[derive(Clone, Copy)]
struct RatedChange {
    change: SmallChange,
    drop_per_load: f64,
}

/// The changed load of a few ranks.
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
            ideal: (total / speed).max(f64::MIN_POSITIVE),
        };
        state.recount();
        state
    }

    fn recount(&mut self) {
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

    fn point(&self, n_changes: usize) -> TrailPoint {
        TrailPoint {
            n_changes,
            loads: self.loads(),
            ratio: self.ratio(),
        }
    }

    /// Returns the experts that ranks hold now and did not at the start.
    fn loads(&self) -> usize {
        let len = usize::from(self.input.shape.slots_per_rank);
        let ranks = self.slots.chunks(len).zip(self.input.slots.chunks(len));
        ranks.map(|(now, before)| n_new(now, before)).sum()
    }

    fn ratio(&self) -> f64 {
        self.times.iter().copied().fold(0.0, f64::max) / self.ideal
    }

    fn apply(&mut self, change: &LayerChange) {
        change.apply_to(&mut self.slots);
        self.recount();
    }

    fn rank_of(&self, slot: usize) -> usize {
        slot / usize::from(self.input.shape.slots_per_rank)
    }

    fn slots_of(&self, rank: usize) -> std::ops::Range<usize> {
        let len = usize::from(self.input.shape.slots_per_rank);
        rank * len..(rank + 1) * len
    }

    /// Returns the load of each replica of an expert after `added` more replicas.
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

    /// Returns whether a slot can be given away without losing its expert.
    fn spare(&self, slot: usize) -> bool {
        let expert = self.slots[slot];
        expert == ExpertMap::EMPTY_SLOT || 1 < self.holders[usize::from(expert)].len()
    }

    fn best_change(&self) -> Option<LayerChange> {
        let hottest =
            (0..self.times.len()).max_by(|&a, &b| self.times[a].total_cmp(&self.times[b]))?;
        let mut best: Option<RatedChange> = None;
        let mut consider = |change: SmallChange| {
            let drop_per_load = self.drop_of(change) / change.loads() as f64;
            let is_better = best.is_none_or(|b| b.drop_per_load < drop_per_load);
            if LEAST_DROP < drop_per_load && is_better && self.fits_headroom(change) {
                best = Some(RatedChange {
                    change,
                    drop_per_load,
                });
            }
        };
        self.replicas_elsewhere(hottest, &mut consider);
        self.replacements_at(hottest, &mut consider);
        self.swaps_with(hottest, &mut consider);
        best.map(|rated| rated.change.into())
    }

    /// Considers one more replica of each of a rank's experts, in any spare slot elsewhere.
    fn replicas_elsewhere(&self, hottest: usize, consider: &mut impl FnMut(SmallChange)) {
        for slot in (0..self.slots.len()).filter(|&slot| self.spare(slot)) {
            let rank = self.rank_of(slot);
            if rank == hottest {
                continue;
            }
            let room = self.room_below(hottest, rank) + self.share(self.slots[slot], 0);
            for expert in self.experts_at(hottest) {
                if self.share(expert, 1) < room && !self.holds(rank, expert) {
                    consider(SmallChange::Replace { slot, expert });
                }
            }
        }
    }

    /// Considers another expert in place of each spare replica on a rank.
    fn replacements_at(&self, hottest: usize, consider: &mut impl FnMut(SmallChange)) {
        for slot in self.slots_of(hottest).filter(|&slot| self.spare(slot)) {
            let old_share = self.share(self.slots[slot], 0);
            for expert in 0..self.input.shape.experts {
                if self.share(expert, 1) < old_share && !self.holds(hottest, expert) {
                    consider(SmallChange::Replace { slot, expert });
                }
            }
        }
    }

    /// Considers an exchange of each of a rank's experts with each expert elsewhere.
    fn swaps_with(&self, hottest: usize, consider: &mut impl FnMut(SmallChange)) {
        for slot in self.slots_of(hottest) {
            let share = self.share(self.slots[slot], 0);
            for other in 0..self.slots.len() {
                let other_share = self.share(self.slots[other], 0);
                let room = self.room_below(hottest, self.rank_of(other));
                if other_share < share && share - other_share < room && self.may_swap(slot, other) {
                    consider(SmallChange::Swap { slot, other });
                }
            }
        }
    }

    /// Returns the load that a rank can take before it is as slow as the hottest one.
    fn room_below(&self, hottest: usize, rank: usize) -> f64 {
        (self.times[hottest] - self.times[rank]) * self.input.speeds[rank]
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

    /// Returns whether the ranks that a change concerns may load what is new to them then.
    fn fits_headroom(&self, change: SmallChange) -> bool {
        let mut slots = self.slots.clone();
        LayerChange::from(change).apply_to(&mut slots);
        let concerned: SmallVec<[usize; 2]> = match change {
            SmallChange::Replace { slot, .. } => SmallVec::from_slice(&[slot]),
            SmallChange::Swap { slot, other } => SmallVec::from_slice(&[slot, other]),
        };
        concerned.into_iter().all(|slot| {
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

    fn drop_of(&self, change: SmallChange) -> f64 {
        let deltas = match change {
            SmallChange::Replace { slot, expert } => self.replace_deltas(slot, expert),
            SmallChange::Swap { slot, other } => self.swap_deltas(slot, other),
        };
        deltas
            .iter()
            .map(|&(rank, delta)| self.potential_drop(rank, delta))
            .sum()
    }

    fn potential_drop(&self, rank: usize, delta: f64) -> f64 {
        let before = self.times[rank] / self.ideal;
        let after = before + delta / self.input.speeds[rank] / self.ideal;
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
