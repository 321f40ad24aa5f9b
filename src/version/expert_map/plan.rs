//! Plans the next expert map.

use crate::version::config::PlacementConfig;

use super::expert_loads::ExpertLoads;
use super::layer_search::{LayerInput, SearchPath};
use super::map::ExpertMap;
use super::placement_plan::{PlacementPlan, PlanReason};

/// The horizon, in seconds, at which equal skew and move weights compare one to one.
pub const REFERENCE_HORIZON_S: u32 = 600;

/// The input of a plan.
#[derive(Clone, Copy, Debug)]
pub struct PlanInput<'a> {
    /// The map in use.
    pub current: &'a ExpertMap,
    /// The smoothed load of each expert.
    pub loads: &'a ExpertLoads,
    /// The speed of each rank relative to the mean.
    pub speeds: &'a [f64],
    /// The size of one expert of one layer, in bytes.
    pub expert_bytes: u64,
    /// The placement settings, from the configuration.
    pub weights: &'a PlacementConfig,
    /// The maximum number of experts of a layer that a rank may newly load in one round.
    pub headroom: u16,
}

/// Plans the next map from the moves whose gain over the horizon covers their cost, in order of
/// gain per load.
///
/// The gain of a move is `skew_weight` x reduction of skew x horizon / 600 s. Its cost is
/// `move_weight` x loaded bytes / expert memory of a rank, as a mean over the ranks. Each layer is
/// searched separately; the layers then share the moves of the round.
pub fn plan(input: &PlanInput<'_>) -> PlacementPlan {
    let shape = input.current.shape();
    let skew_before = input.current.skew(input.loads, input.speeds);
    let paths: Vec<SearchPath> = (0..shape.layers)
        .map(|layer| SearchPath::search(&layer_input(input, layer)))
        .collect();
    let choice = choose_prefixes(input, &paths);
    let mut slots = Vec::with_capacity(usize::from(shape.layers) * shape.slots_per_layer());
    for (path, &n_changes) in paths.iter().zip(&choice.prefixes) {
        slots.extend(path.slots_after(n_changes));
    }
    let number = input.current.number().next();
    let planned = ExpertMap::from_slots(number, shape, slots);
    let map = planned.unwrap_or_else(|err| panic!("planned map is not valid: {err}"));
    let moves = map.moves_from(input.current);
    if moves.is_empty() {
        return unchanged_plan(input, skew_before, choice.reason);
    }
    PlacementPlan {
        skew_after: map.skew(input.loads, input.speeds),
        bytes: moves.len() as u64 * input.expert_bytes,
        map,
        moves,
        skew_before,
        reason: choice.reason,
    }
}

fn layer_input<'a>(input: &PlanInput<'a>, layer: u16) -> LayerInput<'a> {
    LayerInput {
        shape: input.current.shape(),
        slots: input.current.layer(layer),
        rates: input.loads.layer(layer),
        speeds: input.speeds,
        load_price: min_gain_per_load(input) * f64::from(input.current.shape().layers),
        headroom: usize::from(input.headroom),
    }
}

fn unchanged_plan(input: &PlanInput<'_>, skew: f64, reason: PlanReason) -> PlacementPlan {
    PlacementPlan {
        map: input.current.clone(),
        moves: Vec::new(),
        skew_before: skew,
        skew_after: skew,
        bytes: 0,
        reason,
    }
}

/// The number of changes taken from the start of each layer's search path.
struct PrefixChoice {
    prefixes: Vec<usize>,
    reason: PlanReason,
}

/// A part of a layer's search path that is taken as a whole or not at all.
struct PathSegment {
    layer_idx: usize,
    n_changes: usize,
    n_loads: usize,
    gain_per_load: f64,
}

/// Takes segments in order of gain per load until a load no longer pays or the moves run out.
fn choose_prefixes(input: &PlanInput<'_>, paths: &[SearchPath]) -> PrefixChoice {
    let total_ideal: f64 = paths.iter().map(|path| path.ideal_time).sum();
    let mut segments: Vec<PathSegment> = Vec::new();
    for (layer_idx, path) in paths.iter().enumerate() {
        let layer_share = path.ideal_time / total_ideal.max(f64::MIN_POSITIVE);
        segments.extend(envelope(layer_idx, path, layer_share));
    }
    segments.sort_by(|a, b| b.gain_per_load.total_cmp(&a.gain_per_load));
    let mut prefixes = vec![0; paths.len()];
    let mut reason = match segments.is_empty() {
        true => PlanReason::Balanced,
        false => PlanReason::GainBelowCost,
    };
    let min_gain = min_gain_per_load(input);
    let mut n_loads_left = input.weights.max_moves as usize;
    for segment in segments {
        if segment.gain_per_load < min_gain {
            break;
        }
        if n_loads_left < segment.n_loads {
            reason = PlanReason::MovesBounded;
            break;
        }
        n_loads_left -= segment.n_loads;
        prefixes[segment.layer_idx] = segment.n_changes;
        reason = PlanReason::GainPays;
    }
    PrefixChoice { prefixes, reason }
}

/// Returns the minimum reduction of skew per load that covers the cost of the load.
fn min_gain_per_load(input: &PlanInput<'_>) -> f64 {
    let weights = input.weights;
    let shape = input.current.shape();
    let group_slots = shape.slots_of_rank() * usize::from(shape.ranks);
    let load_cost = weights.move_weight / group_slots as f64;
    let horizon = f64::from(weights.horizon_s) / f64::from(REFERENCE_HORIZON_S);
    load_cost / (weights.skew_weight * horizon).max(f64::MIN_POSITIVE)
}

/// Returns the concave envelope of a search path's gain over its loads, as segments of
/// decreasing gain per load.
fn envelope(layer_idx: usize, path: &SearchPath, layer_share: f64) -> Vec<PathSegment> {
    let mut segments = Vec::new();
    let mut from = path.start();
    while let Some(best) = path.best_point_after(from) {
        segments.push(PathSegment {
            layer_idx,
            n_changes: best.n_changes,
            n_loads: best.n_loads.saturating_sub(from.n_loads),
            gain_per_load: from.gain_per_load_to(best) * layer_share,
        });
        from = best;
    }
    segments
}
