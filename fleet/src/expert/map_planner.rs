//! Which map a group runs next, from what its requests chose.

use comfreyhead::error::Result;
use comfreyhead::version::config::PlacementConfig;
use comfreyhead::version::expert_map::{
    ExpertId, ExpertLoads, ExpertMap, MapNumber, MapShape, PlanInput, REFERENCE_HORIZON_S, plan,
};

use crate::catalog::EngineSpec;

use super::map_order::ExpertMapping;

/// The part of the older popularity that stays after one more window of counts.
const OLD_PART: f32 = 0.5;

/// The distance between the last window and the popularity, from 0 to 1, at which what is liked
/// has changed and the older windows tell nothing any more.
const CHANGE_DISTANCE: f32 = 0.18;

/// The lowering of the skew, as a mean over the sets, that a copied gigabyte must bring in a group
/// of one rank where passes take as long as they may: a copy is paid for, and slows passes down.
/// In a larger group a part of it is enough, as all its ranks gain.
const LEAST_GAIN_PER_GB: f64 = 0.1;

/// The least lowering of the skew that a switch is made for where passes take as long as they may:
/// holding a pass costs some time.
const LEAST_GAIN: f64 = 0.12;

/// The part of the allowed pause that a pass may take, so that single longer ones stay within it.
const PASS_PART: f64 = 0.6;

/// The bounds of how urgent shorter passes are, from a pass as long as it may be, at 1.
const URGENCY_BOUNDS: (f64, f64) = (0.12, 1.5);

/// The choices that a window must hold to be planned from; fewer are mostly chance.
const LEAST_CHOICES: f32 = 2_000.0;

/// The popularity of a group's experts, from the counts of its ranks.
#[derive(Debug, Default)]
pub struct MapPlanner {
    counts: Vec<Option<Vec<u32>>>,
    popularity: Vec<f32>,
    last_distance: f32,
}

/// What a map is planned from.
#[derive(Clone, Debug)]
pub struct PlannerInput<'a> {
    /// What the engines have in common.
    pub engine: &'a EngineSpec,
    /// The experts that each rank holds now, by rank and set.
    pub held: &'a [Vec<Vec<u16>>],
    /// The version of the planned map.
    pub version: u64,
    /// How many times as long as usual each rank takes.
    pub paces: &'a [f32],
    /// The time of a pass now, in seconds; `None` where no pass was seen.
    pub pass_s: Option<f64>,
}

/// A planned map.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedMap {
    /// The version.
    pub version: u64,
    /// The experts by set and rank.
    pub mapping: ExpertMapping,
    /// The load of the slowest rank over the mean, as a mean over the sets, with the present map.
    pub skew_before: f64,
    /// The same with the planned map.
    pub skew_after: f64,
    /// The experts that ranks copy.
    pub copies: usize,
}

impl MapPlanner {
    /// Forgets the counts, for a new formation of the group. What is liked outlasts it, so that
    /// the first map of a formation need not wait for new counts.
    pub fn restart_counts(&mut self) {
        self.counts.clear();
    }

    /// Takes in the counts of all ranks since their starts; `None` where a rank has not answered.
    pub fn observe(&mut self, counts: &[Option<Vec<u32>>]) {
        let mut window: Vec<f32> = Vec::new();
        self.counts.resize(counts.len(), None);
        for (before, now) in self.counts.iter_mut().zip(counts) {
            let Some(now) = now else { continue };
            window.resize(window.len().max(now.len()), 0.0);
            if let Some(before) = before.as_ref().filter(|before| before.len() == now.len()) {
                for (sum, (now, before)) in window.iter_mut().zip(now.iter().zip(before)) {
                    *sum += now.saturating_sub(*before) as f32;
                }
            }
            *before = Some(now.clone());
        }
        if window.iter().sum::<f32>() < LEAST_CHOICES {
            return;
        }
        self.popularity.resize(window.len(), 0.0);
        self.last_distance = distance(&self.popularity, &window);
        let old_part = match CHANGE_DISTANCE < self.last_distance {
            true => 0.0,
            false => OLD_PART,
        };
        for (old, new) in self.popularity.iter_mut().zip(window) {
            *old = old_part * *old + (1.0 - old_part) * new;
        }
    }

    /// Returns the distance between the last window and what was liked before, from 0 to 1.
    pub fn last_distance(&self) -> f32 {
        self.last_distance
    }

    /// Plans the next map; `None` where none is worth its copies, or there are too few counts.
    ///
    /// Returns an error where the group's size or what its ranks hold makes no map.
    pub fn plan(&self, input: &PlannerInput<'_>) -> Result<Option<PlannedMap>> {
        let engine = input.engine;
        let shape = MapShape {
            ranks: u16::try_from(input.held.len()).unwrap_or(u16::MAX),
            experts: engine.experts,
            layers: engine.sets,
            slots_per_rank: engine.places,
        };
        let n_experts = usize::from(engine.sets) * usize::from(engine.experts);
        if self.popularity.len() != n_experts || n_experts == 0 {
            return Ok(None);
        }
        let slots = slots_of(input.held, engine);
        let current = ExpertMap::from_slots(MapNumber(0), shape, slots)?;
        let loads = ExpertLoads::new(engine.experts, self.popularity.clone());
        let speeds: Vec<f64> = input
            .paces
            .iter()
            .map(|pace| 1.0 / f64::from(*pace))
            .collect();
        if speeds.len() != input.held.len() {
            return Ok(None);
        }
        let n_slots = shape.slots_of_rank() * input.held.len();
        let urgency = urgency(input);
        let weights = PlacementConfig {
            skew_weight: 1.0,
            move_weight: least_gain_per_copy(input) / urgency * n_slots as f64,
            max_moves: u32::MAX,
            horizon_s: REFERENCE_HORIZON_S,
        };
        let plan = plan(&PlanInput {
            current: &current,
            loads: &loads,
            speeds: &speeds,
            expert_bytes: (engine.expert_mb * 1e6) as u64,
            weights: &weights,
            headroom: engine.headroom,
        });
        if plan.skew_before - plan.skew_after < LEAST_GAIN / urgency {
            return Ok(None);
        }
        let experts = |set, rank| plan.map.experts_of(set, rank).collect();
        let mapping: Vec<Vec<Vec<u16>>> = (0..engine.sets)
            .map(|set| (0..shape.ranks).map(|rank| experts(set, rank)).collect())
            .collect();
        Ok(Some(PlannedMap {
            version: input.version,
            mapping: mapping.into(),
            skew_before: plan.skew_before,
            skew_after: plan.skew_after,
            copies: plan.moves.len(),
        }))
    }
}

/// Returns the lowering of the mean skew that one copied expert must bring.
fn least_gain_per_copy(input: &PlannerInput<'_>) -> f64 {
    let expert_gb = input.engine.expert_mb / 1_000.0;
    LEAST_GAIN_PER_GB * expert_gb / input.held.len().max(1) as f64
}

/// Returns how urgent shorter passes are: streams gain nothing where passes are short already.
fn urgency(input: &PlannerInput<'_>) -> f64 {
    let longest = PASS_PART * input.engine.pause.as_secs_f64();
    let part = input.pass_s.map_or(1.0, |pass_s| pass_s / longest);
    part.powi(3).clamp(URGENCY_BOUNDS.0, URGENCY_BOUNDS.1)
}

/// Returns the part of the choices by which two tables of counts differ, from 0 to 1.
fn distance(a: &[f32], b: &[f32]) -> f32 {
    let (sum_a, sum_b) = (a.iter().sum::<f32>(), b.iter().sum::<f32>());
    if sum_a <= 0.0 || sum_b <= 0.0 {
        return 1.0;
    }
    a.iter()
        .zip(b)
        .map(|(a, b)| (a / sum_a - b / sum_b).abs())
        .sum::<f32>()
        / 2.0
}

impl PlannedMap {
    /// Returns the present placement under a new version.
    pub fn unchanged(input: &PlannerInput<'_>) -> Self {
        let experts = |set: usize, rank: &Vec<Vec<u16>>| rank.get(set).cloned().unwrap_or_default();
        let mapping: Vec<Vec<Vec<u16>>> = (0..usize::from(input.engine.sets))
            .map(|set| input.held.iter().map(|rank| experts(set, rank)).collect())
            .collect();
        Self {
            version: input.version,
            mapping: mapping.into(),
            skew_before: 1.0,
            skew_after: 1.0,
            copies: 0,
        }
    }
}

fn slots_of(held: &[Vec<Vec<u16>>], engine: &EngineSpec) -> Vec<ExpertId> {
    let places = usize::from(engine.places);
    let mut slots = Vec::new();
    for set in 0..usize::from(engine.sets) {
        for rank in held {
            let experts = rank.get(set).map_or(&[][..], Vec::as_slice);
            let empty = std::iter::repeat(ExpertMap::EMPTY_SLOT);
            slots.extend(experts.iter().copied().chain(empty).take(places));
        }
    }
    slots
}
