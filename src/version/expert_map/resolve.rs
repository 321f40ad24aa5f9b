//! A map from nothing but the loads.

use crate::prelude::*;

use super::expert_loads::ExpertLoads;
use super::map::ExpertMap;
use super::map_number::MapNumber;
use super::map_shape::{ExpertId, MapShape};

/// Places all experts anew, whatever map is in use: spare slots go to the experts with the most
/// load a replica, then the replicas go out longest processing time first.
///
/// It gives the first map of a group whose popularity is known, and a baseline for plans.
pub fn resolve(
    number: MapNumber,
    shape: MapShape,
    loads: &ExpertLoads,
    speeds: &[f64],
) -> Result<ExpertMap> {
    shape.validate()?;
    let mut slots = Vec::with_capacity(usize::from(shape.layers) * shape.slots_per_layer());
    for layer in 0..shape.layers {
        slots.extend(resolve_layer(shape, loads.layer(layer), speeds));
    }
    ExpertMap::from_slots(number, shape, slots)
}

/// Places the experts of one layer anew.
fn resolve_layer(shape: MapShape, rates: &[f32], speeds: &[f64]) -> Vec<ExpertId> {
    let replicas = share_out_replicas(shape, rates);
    let share = |expert: usize| f64::from(rates[expert]) / f64::from(replicas[expert]);
    let mut order: Vec<usize> = (0..rates.len()).collect();
    order.sort_by(|&a, &b| share(b).total_cmp(&share(a)).then(a.cmp(&b)));
    let mut ranks = vec![RankFill::default(); usize::from(shape.ranks)];
    // The first replicas of all experts must fit; extra replicas are placed where room is left.
    let mut reserved = rates.len();
    for &expert in &order {
        for n_placed in 0..replicas[expert] {
            let free: usize = ranks.iter().map(|fill| fill.free(shape)).sum();
            if 0 < n_placed && free < reserved {
                break;
            }
            let Some(rank) = lightest_rank(&ranks, expert as ExpertId, shape, speeds) else {
                break;
            };
            ranks[rank].experts.push(expert as ExpertId);
            ranks[rank].load += share(expert);
        }
        reserved -= 1;
    }
    ranks.iter().flat_map(|fill| fill.padded(shape)).collect()
}

/// What one rank holds so far.
#[derive(Clone, Debug, Default)]
struct RankFill {
    experts: SmallVec<[ExpertId; 16]>,
    load: f64,
}

impl RankFill {
    fn free(&self, shape: MapShape) -> usize {
        usize::from(shape.slots_per_rank) - self.experts.len()
    }

    fn padded(&self, shape: MapShape) -> SmallVec<[ExpertId; 16]> {
        let mut slots = self.experts.clone();
        slots.resize(usize::from(shape.slots_per_rank), ExpertMap::EMPTY_SLOT);
        slots
    }
}

fn lightest_rank(
    ranks: &[RankFill],
    expert: ExpertId,
    shape: MapShape,
    speeds: &[f64],
) -> Option<usize> {
    let time = |rank: usize| ranks[rank].load / speeds[rank];
    (0..ranks.len())
        .filter(|&rank| 0 < ranks[rank].free(shape) && !ranks[rank].experts.contains(&expert))
        .min_by(|&a, &b| time(a).total_cmp(&time(b)))
}

fn share_out_replicas(shape: MapShape, rates: &[f32]) -> Vec<u16> {
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
