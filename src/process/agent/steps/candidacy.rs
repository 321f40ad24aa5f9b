//! Leader election: an agent becomes the leader of its group by a record in the log service.

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
use super::step_router::GroupMembership;

/// The time without a new window after which the first candidate tries to become leader.
const LEADER_TIMEOUT: Duration = Duration::from_secs(2);
/// The additional delay of each further candidate.
const CANDIDATE_DELAY: Duration = Duration::from_millis(700);
/// The mean delay between two reads of the running window, and the longest wait for an append
/// to become readable.
const POLL_PERIOD: Duration = Duration::from_millis(200);
/// The maximum number of records in one read.
const MAX_READ: usize = 64;

/// The log record by which an agent becomes the leader of its group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct LeadershipRecord {
    agent: AgentName,
    incarnation: ProcessIncarnation,
    nonce: Uuid,
}

/// Tries to become the leader whenever the group starts no new window for a while.
pub(super) async fn run_candidacy(
    process: Arc<AgentProcess>,
    membership: GroupMembership,
    rank: mpsc::UnboundedSender<RankInput>,
) {
    let timeout = LEADER_TIMEOUT + CANDIDATE_DELAY * candidate_position(&membership);
    let mut last_window = None;
    let mut last_change = Timestamp::now();
    while !process.stop.is_cancelled() && !rank.is_closed() {
        let pause = POLL_PERIOD.mul_f64(rand::rng().random_range(0.8..1.2));
        tokio::time::sleep(pause).await;
        let running = process
            .engine
            .steps()
            .await
            .ok()
            .and_then(|steps| steps.running);
        let running = running.map(|running| running.window);
        if running != last_window {
            last_window = running;
            last_change = Timestamp::now();
        }
        if Timestamp::now().since(last_change) < timeout {
            continue;
        }
        match append_leadership(&process, &membership).await {
            Some(fencing) => {
                info!(process.log, "leader starts"; "group" => %membership.group,
                    "fencing" => fencing.0);
                let end = drive_leader(&process, &membership, fencing).await;
                info!(process.log, "leader ends"; "group" => %membership.group,
                    "fencing" => fencing.0, "later" => matches!(end, LeaderEnd::SteppedDown(_)));
            }
            None => {
                warn!(process.log, "leadership record not written"; "group" => %membership.group)
            }
        }
        last_change = Timestamp::now();
    }
}

/// Returns the offset of the newest leadership record of a group, or 0 if there is none.
///
/// # Errors
/// The log service did not answer.
pub(super) async fn newest_leadership(log: &LogClient, group: &GroupName) -> Result<FencingNumber> {
    let page = log
        .read(&leadership_stream(group), LogOffset(1), 1, Duration::ZERO)
        .await?;
    Ok(FencingNumber(page.tail.0.saturating_sub(1)))
}

/// Appends a leadership record and returns its offset after reading it back.
async fn append_leadership(
    process: &AgentProcess,
    membership: &GroupMembership,
) -> Option<FencingNumber> {
    let record = LeadershipRecord {
        agent: process.name.clone(),
        incarnation: process.incarnation,
        nonce: Uuid::new_v4(),
    };
    let stream = leadership_stream(&membership.group);
    let before = newest_leadership(&process.log_client, &membership.group)
        .await
        .ok()?;
    let value = serde_json::to_value(&record).ok()?;
    match process.log_client.append(&stream, &[value]).await {
        Ok(_) | Err(AppendFailure::Unknown(_)) => {}
        Err(_) => return None,
    }
    find_leadership(
        &process.log_client,
        &stream,
        LogOffset(before.0 + 1),
        &record,
    )
    .await
}

/// Finds an appended record by its nonce, because the response to the append may be lost.
async fn find_leadership(
    log: &LogClient,
    stream: &str,
    from: LogOffset,
    record: &LeadershipRecord,
) -> Option<FencingNumber> {
    let page = log.read(stream, from, MAX_READ, POLL_PERIOD).await.ok()?;
    let is_own = |value: &Value| {
        let read = serde_json::from_value::<LeadershipRecord>(value.clone());
        read.is_ok_and(|read| read == *record)
    };
    let own = page.records.iter().find(|entry| is_own(&entry.value))?;
    Some(FencingNumber(own.offset.0))
}

fn leadership_stream(group: &GroupName) -> String {
    format!("lead-{group}")
}

/// Returns the position of this rank in the order of its group's candidates.
fn candidate_position(membership: &GroupMembership) -> u32 {
    let weight = |rank: u16| xxh3_64(format!("{}/{rank}", membership.group).as_bytes());
    let own = weight(membership.rank);
    (0..membership.shape.ranks)
        .filter(|&rank| weight(rank) < own)
        .count() as u32
}
