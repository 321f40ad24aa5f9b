//! Plans the next map of a group from the expert loads that its ranks report.

use slog::info;

use crate::connection::{ControlClient, PlanReport};
use crate::prelude::*;
use crate::version::config::PlacementConfig;
use crate::version::expert_map::{
    ExpertMap, LoadReport, MapNumber, PlacementPlan, PlanInput, PopularityTable, plan,
};

use super::super::agent_process::AgentProcess;
use super::leader_driver::EXPERT_BYTES;
use super::step_router::GroupMembership;

/// The planning horizon divided by the time constant that smooths the loads.
const SMOOTHING_DIVISOR: u32 = 10;
/// The minimum time constant.
const MIN_SMOOTHING: Duration = Duration::from_secs(1);
/// The maximum age of the oldest rank report from which a map is planned.
const MAX_STALENESS: Duration = Duration::from_secs(10);

/// Plans maps from the loads of a group that its leader has observed.
#[derive(Debug)]
pub(super) struct PlacementPlanner {
    table: PopularityTable,
}

impl PlacementPlanner {
    /// Creates the planner of a leader that has just started.
    pub(super) fn new(membership: &GroupMembership, placement: &PlacementConfig) -> Self {
        let horizon = Duration::from_secs(u64::from(placement.horizon_s));
        let smoothing = (horizon / SMOOTHING_DIVISOR).max(MIN_SMOOTHING);
        Self {
            table: PopularityTable::new(membership.shape, smoothing),
        }
    }

    /// Records the load report of a rank.
    pub(super) fn observe(&mut self, report: &LoadReport) {
        self.table.on_report(report);
    }

    /// Plans the next map. Returns `None` if the loads of a rank are unknown or too old.
    pub(super) async fn plan(
        &self,
        current: Arc<ExpertMap>,
        placement: PlacementConfig,
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
                weights: &placement,
                headroom: u16::MAX,
            })
        });
        planned.await.ok()
    }
}

/// Creates the report of a plan for operators.
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

/// Logs a plan and returns the map to switch to, if the plan changes the map.
pub(super) fn map_of_plan(
    process: &AgentProcess,
    membership: &GroupMembership,
    plan: &PlacementPlan,
    number: MapNumber,
) -> Option<Arc<ExpertMap>> {
    info!(process.log, "placement planned"; "group" => %membership.group, "plan" => %plan);
    plan.changes_map()
        .then(|| Arc::new(plan.map.renumbered(number)))
}

/// Fetches the loads of a rank from its agent.
pub(super) async fn fetch_loads(
    process: &AgentProcess,
    membership: &GroupMembership,
    rank: usize,
) -> Option<LoadReport> {
    let client = process
        .control
        .client(membership.rank_addresses[rank])
        .await
        .ok()?;
    client.expert_loads(membership.group.clone()).await.ok()?
}

/// Reads the loads of this agent's target.
pub(super) async fn own_loads(
    process: &AgentProcess,
    membership: &GroupMembership,
) -> Option<LoadReport> {
    let loads = process.engine.expert_loads().await.ok()?;
    Some(LoadReport {
        rank: membership.rank,
        until: Timestamp::now(),
        interval_ms: loads.interval_ms,
        busy_ms: loads.busy_ms,
        samples: loads.samples,
    })
}
