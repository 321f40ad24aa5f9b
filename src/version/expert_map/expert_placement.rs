//! Places experts by their loads, from scratch or close to the current placement.

use crate::prelude::*;

use super::expert_loads::ExpertLoads;
use super::map::ExpertMap;
use super::map_number::MapNumber;
use super::map_shape::{ExpertId, MapShape};

/// Places all experts from scratch, regardless of the current map.
///
/// Spare slots go to the experts with the most load per replica; the replicas are then assigned
/// by longest processing time first. The result is the first map of a group with known loads, and
/// a baseline for plans.
pub fn place_experts(
    number: MapNumber,
    shape: MapShape,
    loads: &ExpertLoads,
    speeds: &[f64],
) -> Result<ExpertMap> {
    shape.validate()?;
    let mut slots = Vec::with_capacity(usize::from(shape.layers) * shape.slots_per_layer());
    for layer in 0..shape.layers {
        slots.extend(place_layer(shape, loads.layer(layer), speeds));
    }
    ExpertMap::from_slots(number, shape, slots)
}

/// Places the experts of one layer from scratch.
fn place_layer(shape: MapShape, rates: &[f32], speeds: &[f64]) -> Vec<ExpertId> {
    let keeps = |_: usize, _: &Replica, _: f64| false;
    place_replicas(
        &LayerLoads {
            shape,
            rates,
            speeds,
        },
        keeps,
    )
}

/// The loads of one layer and the ranks that share them.
#[derive(Clone, Copy, Debug)]
pub(super) struct LayerLoads<'a> {
    pub(super) shape: MapShape,
    pub(super) rates: &'a [f32],
    pub(super) speeds: &'a [f64],
}

/// Places the experts of one layer from scratch, but keeps a replica on its rank while the rank's
/// time is at most `max_time`.
pub(super) fn place_layer_near(
    loads: &LayerLoads<'_>,
    current: &[ExpertId],
    max_time: f64,
) -> Vec<ExpertId> {
    let len = usize::from(loads.shape.slots_per_rank);
    let keeps = |rank: usize, replica: &Replica, time: f64| {
        time <= max_time && current[rank * len..(rank + 1) * len].contains(&replica.expert)
    };
    place_replicas(loads, keeps)
}

/// Places the replicas of one layer; prefers a rank for which `keeps` returns true, given the rank,
/// the replica and the resulting time.
fn place_replicas(
    loads: &LayerLoads<'_>,
    keeps: impl Fn(usize, &Replica, f64) -> bool,
) -> Vec<ExpertId> {
    let LayerLoads { shape, rates, .. } = *loads;
    let replicas = count_replicas(shape, rates);
    let share = |expert: usize| f64::from(rates[expert]) / f64::from(replicas[expert]);
    let mut order: Vec<usize> = (0..rates.len()).collect();
    order.sort_by(|&a, &b| share(b).total_cmp(&share(a)).then(a.cmp(&b)));
    let mut ranks = vec![RankFill::default(); usize::from(shape.ranks)];
    // The first replica of every expert must fit, so extra replicas use only slots beyond those
    // needed for it.
    let mut n_reserved = rates.len();
    for &expert in &order {
        let replica = Replica {
            expert: expert as ExpertId,
            load: share(expert),
        };
        for n_placed in 0..replicas[expert] {
            let n_free: usize = ranks.iter().map(|fill| fill.n_free(shape)).sum();
            if 0 < n_placed && n_free < n_reserved {
                break;
            }
            let Some(rank) = choose_rank(&ranks, &replica, loads, &keeps) else {
                break;
            };
            ranks[rank].experts.push(replica.expert);
            ranks[rank].load += replica.load;
        }
        n_reserved -= 1;
    }
    ranks.iter().flat_map(|fill| fill.padded(shape)).collect()
}

/// The experts placed on a rank so far and their load.
#[derive(Clone, Debug, Default)]
struct RankFill {
    experts: SmallVec<[ExpertId; 16]>,
    load: f64,
}

impl RankFill {
    fn n_free(&self, shape: MapShape) -> usize {
        usize::from(shape.slots_per_rank) - self.experts.len()
    }

    fn padded(&self, shape: MapShape) -> SmallVec<[ExpertId; 16]> {
        let mut slots = self.experts.clone();
        slots.resize(usize::from(shape.slots_per_rank), ExpertMap::EMPTY_SLOT);
        slots
    }
}

/// A replica to be placed.
pub(super) struct Replica {
    expert: ExpertId,
    load: f64,
}

/// Returns the rank with the shortest time including the replica, among those that have a free slot
/// and do not hold the expert yet; prefers the ranks for which `keeps` returns true.
fn choose_rank(
    ranks: &[RankFill],
    replica: &Replica,
    loads: &LayerLoads<'_>,
    keeps: &impl Fn(usize, &Replica, f64) -> bool,
) -> Option<usize> {
    let time = |rank: usize| (ranks[rank].load + replica.load) / loads.speeds[rank];
    let can_take = |rank: &usize| {
        let fill = &ranks[*rank];
        0 < fill.n_free(loads.shape) && !fill.experts.contains(&replica.expert)
    };
    let by_time = |a: &usize, b: &usize| time(*a).total_cmp(&time(*b));
    let kept = (0..ranks.len())
        .filter(can_take)
        .filter(|&rank| keeps(rank, replica, time(rank)))
        .min_by(by_time);
    kept.or_else(|| (0..ranks.len()).filter(can_take).min_by(by_time))
}

/// Returns the number of replicas of each expert; each spare slot goes to the expert with the most
/// load per replica.
fn count_replicas(shape: MapShape, rates: &[f32]) -> Vec<u16> {
    let mut replicas = vec![1_u16; rates.len()];
    for _ in rates.len()..shape.slots_per_layer() {
        let share = |expert: usize| rates[expert] / f32::from(replicas[expert]);
        let hottest = (0..rates.len())
            .filter(|&expert| replicas[expert] < shape.ranks)
            .max_by(|&a, &b| share(a).total_cmp(&share(b)));
        let Some(expert) = hottest else { break };
        replicas[expert] += 1;
    }
    replicas
}
