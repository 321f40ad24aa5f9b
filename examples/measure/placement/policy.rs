//! The placement policies that are compared.

use comfreyhead::version::config::PlacementConfig;
use comfreyhead::version::expert_map::{ExpertLoads, ExpertMap, PlanInput, place_experts, plan};

/// The skew above which the threshold policy places all experts again.
const THRESHOLD_SKEW: f64 = 1.10;

/// A placement policy.
#[derive(Clone, Debug)]
pub(super) enum PolicyKind {
    /// Keeps the first map.
    None,
    /// Places all experts again in each round.
    FullResolve,
    /// Places all experts again if the skew is above a threshold.
    Threshold,
    /// Uses the load balancer's own planner with the given weights; the name labels the results.
    Product(&'static str, PlacementConfig),
}

impl PolicyKind {
    pub(super) fn all() -> Vec<Self> {
        vec![
            Self::None,
            Self::FullResolve,
            Self::Threshold,
            Self::Product("guild", guild_weights()),
            Self::Product("frontenac", frontenac_weights()),
        ]
    }

    /// Parses the weights of an additional product policy from the command line.
    pub(super) fn from_weights(text: &str) -> Self {
        let values: Vec<f64> = text
            .split(',')
            .filter_map(|value| value.parse().ok())
            .collect();
        let [skew_weight, move_weight, max_moves, horizon_s] = values[..] else {
            eprintln!("measure: --weights takes four numbers, not {text:?}");
            std::process::exit(2);
        };
        let (max_moves, horizon_s) = (max_moves as u32, horizon_s as u32);
        Self::Product(
            "trial",
            PlacementConfig {
                skew_weight,
                move_weight,
                max_moves,
                horizon_s,
            },
        )
    }

    pub(super) fn name(&self) -> &'static str {
        match self {
            Self::None => "none",
            Self::FullResolve => "full-resolve",
            Self::Threshold => "threshold",
            Self::Product(name, _) => name,
        }
    }

    /// Returns the next map, or `None` if the current one stays.
    pub(super) fn next_map(
        &self,
        current: &ExpertMap,
        loads: &ExpertLoads,
        speeds: &[f64],
        expert_bytes: u64,
    ) -> Option<ExpertMap> {
        let replace_all = || {
            let number = current.number().next();
            place_experts(number, current.shape(), loads, speeds).expect("the shape is valid")
        };
        match self {
            Self::None => None,
            Self::FullResolve => Some(replace_all()),
            Self::Threshold if THRESHOLD_SKEW < current.skew(loads, speeds) => Some(replace_all()),
            Self::Threshold => None,
            Self::Product(_, weights) => {
                let input = PlanInput {
                    current,
                    loads,
                    speeds,
                    expert_bytes,
                    weights,
                    headroom: u16::MAX,
                };
                let plan = plan(&input);
                plan.changes_map().then_some(plan.map)
            }
        }
    }
}

/// Returns the weights suggested for the Guild.
fn guild_weights() -> PlacementConfig {
    PlacementConfig {
        skew_weight: 1.0,
        move_weight: 2.4,
        max_moves: 128,
        horizon_s: 600,
    }
}

/// Returns the weights suggested for Frontenac.
fn frontenac_weights() -> PlacementConfig {
    PlacementConfig {
        skew_weight: 1.0,
        move_weight: 0.08,
        max_moves: 2_000,
        horizon_s: 600,
    }
}
