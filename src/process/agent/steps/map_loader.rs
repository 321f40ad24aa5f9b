//! Loads the experts of a map from the weight store onto a target.

use slog::{info, warn};

use crate::prelude::*;
use crate::process::platform::WeightFailure;
use crate::process::step_window::RankEvent;
use crate::version::expert_map::ExpertMap;

use super::super::agent_process::AgentProcess;
use super::step_router::GroupMembership;

/// The maximum number of retries of a failed expert load. Rate-limited loads do not count.
const MAX_RETRIES: u32 = 3;

/// Loads the experts of a map that the target lacks, then tells the target that it holds the map.
pub(super) async fn load_map(
    process: &AgentProcess,
    membership: &GroupMembership,
    map: Arc<ExpertMap>,
    bytes_per_second: u64,
) -> RankEvent {
    let id = map.id();
    let held = process
        .engine
        .steps()
        .await
        .map(|steps| steps.loaded)
        .unwrap_or_default();
    let mut n_bytes = 0;
    for layer in 0..map.shape().layers {
        for expert in map.experts_of(layer, membership.rank) {
            let is_held = |known: &ExpertMap| {
                known.shape() == map.shape()
                    && known
                        .experts_of(layer, membership.rank)
                        .any(|held| held == expert)
            };
            if held.iter().any(is_held) {
                continue;
            }
            match load_expert(process, membership, (layer, expert)).await {
                Ok(loaded) => {
                    n_bytes += loaded;
                    let time = loaded as f64 / bytes_per_second.max(1) as f64;
                    tokio::time::sleep(Duration::from_secs_f64(time)).await;
                }
                Err(err) => {
                    warn!(process.log, "loading a map failed"; "map" => %id, "reason" => %err);
                    return RankEvent::LoadFailed(id);
                }
            }
        }
    }
    match process.engine.load_map(membership.rank, &map).await {
        Ok(()) => {
            info!(process.log, "map loaded"; "group" => %membership.group, "map" => %id,
                "bytes" => n_bytes);
            RankEvent::MapLoaded(id)
        }
        Err(err) => {
            warn!(process.log, "target did not load a map"; "map" => %id, "reason" => %err);
            RankEvent::LoadFailed(id)
        }
    }
}

/// Loads one expert and returns its size in bytes.
async fn load_expert(
    process: &AgentProcess,
    membership: &GroupMembership,
    (layer, expert): (u16, u16),
) -> Result<usize, WeightFailure> {
    let mut n_retries = 0;
    loop {
        let loaded = process
            .weights
            .load(&membership.model, u32::from(layer), u32::from(expert))
            .await;
        match loaded {
            Ok(bytes) => return Ok(bytes),
            Err(WeightFailure::Limited(wait)) => tokio::time::sleep(wait).await,
            Err(err) if MAX_RETRIES <= n_retries => return Err(err),
            Err(_) => n_retries += 1,
        }
    }
}
