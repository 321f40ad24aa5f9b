//! Plans the next map of a group from the loads that its ranks report.

use slog::info;

use crate::connection::{ControlClient, PlanReport};
use crate::prelude::*;
use crate::version::config::PlacementConfig;
use crate::version::expert_map::{
    ExpertMap, LoadReport, MapNumber, PlacementPlan, PlanInput, PopularityTable, plan,
};

use super::super::agent_process::AgentProcess;
use super::leader_driver::EXPERT_BYTES;
use super::step_router::GroupPlace;

/// The time constant of the loads, as a share of the planning horizon.
const SMOOTHING_SHARE: u32 = 10;
/// The shortest time constant.
const MIN_SMOOTHING: Duration = Duration::from_secs(1);
/// The age of the oldest rank's report beyond which nothing is planned.
const MAX_STALENESS: Duration = Duration::from_secs(10);

/// What a leader knows of the loads of its group.
#[derive(Debug)]
pub(super) struct PlacementRound {
    table: PopularityTable,
}

impl PlacementRound {
    /// Makes the rounds of a leader that has just started.
    pub(super) fn new(place: &GroupPlace, weights: &PlacementConfig) -> Self {
        let horizon = Duration::from_secs(u64::from(weights.horizon_s));
        let smoothing = (horizon / SMOOTHING_SHARE).max(MIN_SMOOTHING);
        Self {
            table: PopularityTable::new(place.shape, smoothing),
        }
    }

    /// Takes in a rank's report.
    pub(super) fn observe(&mut self, report: &LoadReport) {
        self.table.on_report(report);
    }

    /// Plans the next map; none while a rank's loads are not known.
    pub(super) async fn plan(
        &self,
        current: Arc<ExpertMap>,
        weights: PlacementConfig,
    ) -> Option<PlacementPlan> {
        let staleness = self.table.staleness(Timestamp::now())?;
        if MAX_STALENESS < staleness {
            return None;
        }
        let (loads, speeds) = (self.table.loads(), self.table.speeds());
        let planned = tokio::task::spawn_blocking(move || {
            plan(&PlanInput {
                current: &current,
                loads: &loads,
                speeds: &speeds,
                expert_bytes: EXPERT_BYTES,
                weights: &weights,
                headroom: u16::MAX,
            })
        });
        planned.await.ok()
    }
}

/// Makes the report of a plan for operators.
pub(super) fn plan_report(group: &GroupName, plan: &PlacementPlan) -> PlanReport {
    PlanReport {
        group: group.clone(),
        map: plan.map.number().0,
        skew_before: plan.skew_before,
        skew_after: plan.skew_after,
        bytes: plan.bytes,
        reason: plan.reason.to_string(),
        moves: plan.moves.iter().map(ToString::to_string).collect(),
    }
}

/// Logs a plan and returns the map to switch to, if the plan changes any.
pub(super) fn map_of_plan(
    process: &AgentProcess,
    place: &GroupPlace,
    plan: &PlacementPlan,
    number: MapNumber,
) -> Option<Arc<ExpertMap>> {
    info!(process.log, "placement planned"; "group" => %place.group, "plan" => %plan);
    plan.changes_map()
        .then(|| Arc::new(plan.map.renumbered(number)))
}

/// Asks a rank for its loads.
pub(super) async fn ask_for_loads(
    process: &AgentProcess,
    place: &GroupPlace,
    rank: usize,
) -> Option<LoadReport> {
    let client = process.control.client(place.ranks[rank]).await.ok()?;
    client.expert_loads(place.group.clone()).await.ok()?
}

/// Reads the loads of the own target.
pub(super) async fn own_loads(process: &AgentProcess, place: &GroupPlace) -> Option<LoadReport> {
    let loads = process.engine.expert_loads().await.ok()?;
    Some(LoadReport {
        rank: place.rank,
        until: Timestamp::now(),
        interval_ms: loads.interval_ms,
        busy_ms: loads.busy_ms,
        samples: loads.samples,
    })
}
