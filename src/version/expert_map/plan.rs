//! Plans the next expert map.

use crate::version::config::PlacementConfig;

use super::expert_loads::ExpertLoads;
use super::layer_search::{LayerInput, LayerTrail};
use super::map::ExpertMap;
use super::placement_plan::{PlacementPlan, PlanReason};

/// The horizon at which a weight of 1.0 for skew and for moves compare one to one, in seconds.
pub const REFERENCE_HORIZON_S: u32 = 600;

/// What a plan is made from.
#[derive(Clone, Copy, Debug)]
pub struct PlanInput<'a> {
    /// The map in use.
    pub current: &'a ExpertMap,
    /// The smoothed loads.
    pub loads: &'a ExpertLoads,
    /// The speed of each rank relative to the mean.
    pub speeds: &'a [f64],
    /// The size of one expert of one layer, in bytes.
    pub expert_bytes: u64,
    /// The weights of the group's operators.
    pub weights: &'a PlacementConfig,
    /// The most experts of a layer that may be new to a rank in one round.
    pub headroom: u16,
}

/// Plans the next map: the moves whose gain over the horizon pays, best gain per load first.
///
/// The gain of a move is `skew_weight` x lowered skew x horizon / 600 s, its cost `move_weight` x
/// loaded bytes / expert memory of a rank, as a mean over the ranks. Each layer is searched on its own; the layers then
/// share the round's moves.
pub fn plan(input: &PlanInput<'_>) -> PlacementPlan {
    let shape = input.current.shape();
    let skew_before = input.current.skew(input.loads, input.speeds);
    let trails: Vec<LayerTrail> = (0..shape.layers)
        .map(|layer| LayerTrail::search(&layer_input(input, layer)))
        .collect();
    let choice = choose_prefixes(input, &trails);
    let mut slots = Vec::with_capacity(usize::from(shape.layers) * shape.slots_per_layer());
    for (trail, &n_changes) in trails.iter().zip(&choice.prefixes) {
        slots.extend(trail.slots_after(n_changes));
    }
    let number = input.current.number().next();
    let planned = ExpertMap::from_slots(number, shape, slots);
    let map = planned.unwrap_or_else(|err| panic!("planned_map_is_whole: {err}"));
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
        load_price: least_gain_per_load(input) * f64::from(input.current.shape().layers),
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

/// How many changes of each layer's trail are taken.
struct PrefixChoice {
    prefixes: Vec<usize>,
    reason: PlanReason,
}

/// A stretch of one layer's trail that is taken whole or not at all.
struct TrailSegment {
    layer_idx: usize,
    n_changes: usize,
    loads: usize,
    gain_per_load: f64,
}

fn choose_prefixes(input: &PlanInput<'_>, trails: &[LayerTrail]) -> PrefixChoice {
    let total_ideal: f64 = trails.iter().map(|trail| trail.ideal_time).sum();
    let mut segments: Vec<TrailSegment> = Vec::new();
    for (layer_idx, trail) in trails.iter().enumerate() {
        let layer_share = trail.ideal_time / total_ideal.max(f64::MIN_POSITIVE);
        segments.extend(envelope(layer_idx, trail, layer_share));
    }
    segments.sort_by(|a, b| b.gain_per_load.total_cmp(&a.gain_per_load));
    let mut prefixes = vec![0; trails.len()];
    let mut reason = match segments.is_empty() {
        true => PlanReason::Balanced,
        false => PlanReason::GainBelowCost,
    };
    let least_gain = least_gain_per_load(input);
    let mut loads_left = input.weights.max_moves as usize;
    for segment in segments {
        if segment.gain_per_load < least_gain {
            break;
        }
        if loads_left < segment.loads {
            reason = PlanReason::MovesBounded;
            break;
        }
        loads_left -= segment.loads;
        prefixes[segment.layer_idx] = segment.n_changes;
        reason = PlanReason::GainPays;
    }
    PrefixChoice { prefixes, reason }
}

/// Returns the least lowering of skew by which one load pays.
fn least_gain_per_load(input: &PlanInput<'_>) -> f64 {
    let weights = input.weights;
    let shape = input.current.shape();
    let group_slots = shape.slots_of_rank() * usize::from(shape.ranks);
    let load_cost = weights.move_weight / group_slots as f64;
    let horizon = f64::from(weights.horizon_s) / f64::from(REFERENCE_HORIZON_S);
    load_cost / (weights.skew_weight * horizon).max(f64::MIN_POSITIVE)
}

/// Returns the concave envelope of a trail's gain over its loads, as segments of falling gain.
fn envelope(layer_idx: usize, trail: &LayerTrail, layer_share: f64) -> Vec<TrailSegment> {
    let mut segments = Vec::new();
    let mut from = trail.start();
    while let Some(best) = trail.best_point_after(from) {
        segments.push(TrailSegment {
            layer_idx,
            n_changes: best.n_changes,
            loads: best.loads.saturating_sub(from.loads),
            gain_per_load: from.gain_per_load_to(best) * layer_share,
        });
        from = best;
    }
    segments
}
