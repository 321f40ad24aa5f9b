//! Planning of a group's next map from the expert choices of its requests.

use comfreyhead::error::Result;
use comfreyhead::version::config::PlacementConfig;
use comfreyhead::version::expert_map::{
    ExpertId, ExpertLoads, ExpertMap, MapNumber, MapShape, PlanInput, REFERENCE_HORIZON_S, plan,
};

use crate::catalog::EngineSpec;

use super::map_order::ExpertMapping;

/// The weight of the older popularity when a new window of counts is added.
const HISTORY_WEIGHT: f32 = 0.5;

/// The distance between the last window and the popularity, from 0 to 1, above which the popularity
/// has shifted and the older windows are discarded.
const MAX_POPULARITY_DISTANCE: f32 = 0.18;

/// The minimum reduction of the mean skew per copied gigabyte, for a group of one rank whose passes
/// take as long as allowed. Copies have a cost and slow passes down. The minimum is divided by the
/// number of ranks, as all of them gain.
const MIN_GAIN_PER_GB: f64 = 0.1;

/// The minimum reduction of the mean skew that justifies a switch, for a group whose passes take as
/// long as allowed. Holding a pass costs time.
const MIN_GAIN: f64 = 0.12;

/// The fraction of the allowed pause that a pass may take, so that single longer passes still stay
/// within the pause.
const TARGET_PASS_RATIO: f64 = 0.6;

/// The bounds of the urgency of shorter passes. It is 1 where a pass takes as long as allowed.
const URGENCY_BOUNDS: (f64, f64) = (0.12, 1.5);

/// The minimum number of choices in a window. Fewer are mostly noise.
const MIN_CHOICES: f32 = 2_000.0;

/// Plans maps from the popularity of a group's experts, which it derives from the ranks' counts.
#[derive(Debug, Default)]
pub struct MapPlanner {
    counts: Vec<Option<Vec<u32>>>,
    popularity: Vec<f32>,
    last_distance: f32,
}

/// The input of a plan besides the counts.
#[derive(Clone, Debug)]
pub struct PlannerInput<'a> {
    /// The properties shared by the group's engines.
    pub engine: &'a EngineSpec,
    /// The experts that each rank currently holds, by rank and layer set.
    pub held: &'a [Vec<Vec<u16>>],
    /// The version of the planned map.
    pub version: u64,
    /// The pass time of each rank relative to normal.
    pub paces: &'a [f32],
    /// The current time of a pass, in seconds; `None` if none was measured.
    pub pass_s: Option<f64>,
}

/// A planned map.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedMap {
    /// The version.
    pub version: u64,
    /// The experts by layer set and rank.
    pub mapping: ExpertMapping,
    /// The ratio of the slowest rank's load to the mean load, averaged over the layer sets, with
    /// the current map.
    pub skew_before: f64,
    /// The same ratio with the planned map.
    pub skew_after: f64,
    /// The number of experts that ranks copy.
    pub copies: usize,
}

impl MapPlanner {
    /// Resets the counts for a new epoch of the group. The popularity is kept, so that the first
    /// map of an epoch need not wait for new counts.
    pub fn restart_counts(&mut self) {
        self.counts.clear();
    }

    /// Adds the counts of all ranks since their starts; `None` for a rank that has not answered.
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
        if window.iter().sum::<f32>() < MIN_CHOICES {
            return;
        }
        self.popularity.resize(window.len(), 0.0);
        self.last_distance = distance(&self.popularity, &window);
        let history_weight = match MAX_POPULARITY_DISTANCE < self.last_distance {
            true => 0.0,
            false => HISTORY_WEIGHT,
        };
        for (old, new) in self.popularity.iter_mut().zip(window) {
            *old = history_weight * *old + (1.0 - history_weight) * new;
        }
    }

    /// Returns the distance between the last window and the popularity before it, from 0 to 1.
    pub fn last_distance(&self) -> f32 {
        self.last_distance
    }

    /// Plans the next map; returns `None` if no map is worth its copies or counts are too few.
    ///
    /// # Errors
    ///
    /// Returns an error if the group's size or the experts that its ranks hold don't make a valid
    /// map.
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
            move_weight: min_gain_per_copy(input) / urgency * n_slots as f64,
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
        if plan.skew_before - plan.skew_after < MIN_GAIN / urgency {
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

/// Returns the minimum reduction of the mean skew per copied expert.
fn min_gain_per_copy(input: &PlannerInput<'_>) -> f64 {
    let expert_gb = input.engine.expert_mb / 1_000.0;
    MIN_GAIN_PER_GB * expert_gb / input.held.len().max(1) as f64
}

/// Returns the urgency of shorter passes. It is low for short passes, as streams gain nothing from
/// shortening them further.
fn urgency(input: &PlannerInput<'_>) -> f64 {
    let target_s = TARGET_PASS_RATIO * input.engine.pause.as_secs_f64();
    let ratio = input.pass_s.map_or(1.0, |pass_s| pass_s / target_s);
    ratio.powi(3).clamp(URGENCY_BOUNDS.0, URGENCY_BOUNDS.1)
}

/// Returns the fraction of choices by which two count tables differ, from 0 to 1.
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
    /// Returns the current placement under a new version.
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
