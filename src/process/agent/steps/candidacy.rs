//! How an agent of a group becomes its leader: by a record in the log service.

use rand::RngExt;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use slog::{info, warn};
use tokio::sync::mpsc;
use uuid::Uuid;
use xxhash_rust::xxh3::xxh3_64;

use crate::prelude::*;
use crate::process::platform::{AppendFailure, LogClient};

use super::super::agent_process::AgentProcess;
use super::leader_driver::{LeaderEnd, drive_leader};
use super::rank_driver::RankInput;
use super::step_router::GroupPlace;

/// How long a group is without a sign of its leader before the first candidate stands.
const LEADER_SILENCE: Duration = Duration::from_secs(2);
/// How much longer each further candidate waits.
const CANDIDATE_STEP: Duration = Duration::from_millis(700);
/// The pause between two looks at the group.
const LOOK_PAUSE: Duration = Duration::from_millis(200);
/// The most records of one read.
const MAX_READ: usize = 64;

/// The record by which an agent becomes the leader of its group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct LeadRecord {
    agent: AgentName,
    incarnation: ProcessIncarnation,
    nonce: Uuid,
}

/// Stands for leader whenever the group is without a sign of one.
pub(super) async fn stand_for_leader(
    process: Arc<AgentProcess>,
    place: GroupPlace,
    rank: mpsc::UnboundedSender<RankInput>,
) {
    let patience = LEADER_SILENCE + CANDIDATE_STEP * candidate_place(&place);
    let mut seen = None;
    let mut seen_at = Timestamp::now();
    while !process.stop.is_cancelled() && !rank.is_closed() {
        let pause = LOOK_PAUSE.mul_f64(rand::rng().random_range(0.8..1.2));
        tokio::time::sleep(pause).await;
        let running = process
            .engine
            .steps()
            .await
            .ok()
            .and_then(|steps| steps.running);
        let running = running.map(|running| running.window);
        if running != seen {
            seen = running;
            seen_at = Timestamp::now();
        }
        if Timestamp::now().since(seen_at) < patience {
            continue;
        }
        match append_lead(&process, &place).await {
            Some(fencing) => {
                info!(process.log, "leader starts"; "group" => %place.group,
                    "fencing" => fencing.0);
                let end = drive_leader(&process, &place, fencing).await;
                info!(process.log, "leader ends"; "group" => %place.group,
                    "fencing" => fencing.0, "later" => matches!(end, LeaderEnd::SteppedDown(_)));
            }
            None => warn!(process.log, "no lead record written"; "group" => %place.group),
        }
        seen_at = Timestamp::now();
    }
}

/// Returns the offset of the newest lead record of a group; 0 where there is none.
///
/// # Errors
/// The log service did not answer.
pub(super) async fn newest_lead(log: &LogClient, group: &GroupName) -> Result<FencingNumber> {
    let page = log
        .read(&lead_stream(group), LogOffset(1), 1, Duration::ZERO)
        .await?;
    Ok(FencingNumber(page.tail.0.saturating_sub(1)))
}

/// Appends a lead record and returns its offset once it was read back.
async fn append_lead(process: &AgentProcess, place: &GroupPlace) -> Option<FencingNumber> {
    let record = LeadRecord {
        agent: process.name.clone(),
        incarnation: process.incarnation,
        nonce: Uuid::new_v4(),
    };
    let stream = lead_stream(&place.group);
    let before = newest_lead(&process.log_client, &place.group).await.ok()?;
    let value = serde_json::to_value(&record).ok()?;
    match process.log_client.append(&stream, &[value]).await {
        Ok(_) | Err(AppendFailure::Unknown(_)) => {}
        Err(_) => return None,
    }
    find_lead(
        &process.log_client,
        &stream,
        LogOffset(before.0 + 1),
        &record,
    )
    .await
}

/// Looks for a record by its nonce, since the answer of an append may be lost.
async fn find_lead(
    log: &LogClient,
    stream: &str,
    from: LogOffset,
    record: &LeadRecord,
) -> Option<FencingNumber> {
    let page = log.read(stream, from, MAX_READ, LOOK_PAUSE).await.ok()?;
    let is_own = |value: &Value| {
        let read = serde_json::from_value::<LeadRecord>(value.clone());
        read.is_ok_and(|read| read == *record)
    };
    let own = page.records.iter().find(|entry| is_own(&entry.value))?;
    Some(FencingNumber(own.offset.0))
}

fn lead_stream(group: &GroupName) -> String {
    format!("lead-{group}")
}

/// Returns the place of this rank among the candidates of its group.
fn candidate_place(place: &GroupPlace) -> u32 {
    let weight = |rank: u16| xxh3_64(format!("{}/{rank}", place.group).as_bytes());
    let own = weight(place.rank);
    (0..place.shape.ranks)
        .filter(|&rank| weight(rank) < own)
        .count() as u32
}
