//! Keeps what may have ended targets in the store, for entries that start with no peer alive.

use std::time::SystemTime;

use slog::{info, warn};

use crate::mirror::{MirrorDelta, StoreEra};
use crate::peers::StoreTopic;
use crate::prelude::*;
use crate::routing::{RecordWriter, SuspectRecord};

use super::entry_run::EntryConfig;
use super::entry_state::EntryState;
use super::store_access::{CallError, StoreAnswer, StoreReply, StoreRequest};
use super::store_replica::StoreReplica;
use super::store_tasks::{REGISTER_SPREAD, call_until_done, count_call, record_failure};

/// How often an entry checks whether its record is to change, where no target has ended.
const CHECK_PERIOD: Duration = Duration::from_secs(1);

/// The pause after a write, so that many ends take few of the store's calls.
const WRITE_PAUSE: Duration = Duration::from_millis(500);

/// The pause after a failed write.
const FAILURE_PAUSE: Duration = Duration::from_millis(1_000);

/// The most records of entries that are gone which one entry removes as it starts.
const MAX_REMOVED: usize = 8;

/// Reads what entries kept of the requests that may have ended targets, and keeps this entry's part of
/// it in the store; never returns.
///
/// Each entry writes one record, under its own name.
pub(super) async fn keep_suspects<Call, Reply>(
    config: Arc<EntryConfig>,
    replica: Arc<StoreReplica>,
    state: Arc<EntryState>,
    call: Call,
) where
    Call: Fn(StoreRequest) -> Reply,
    Reply: Future<Output = StoreAnswer>,
{
    let newest = StoreRequest::Newest(StoreTopic::Suspects);
    let (mut era, reply) = call_until_done(&newest, &replica, &state, &call).await;
    let mut stored = None;
    if let StoreReply::Records(delta) = reply {
        let lapsed = restore(&delta, &config, &state, &mut stored);
        remove(lapsed, delta.end, &state, &call).await;
    }
    let mut has_written = stored.is_some();
    let mut eras = replica.subscribe_era();
    loop {
        if era < *eras.borrow_and_update() {
            // An older copy may lack the last record, or hold one that was removed.
            tokio::time::sleep(REGISTER_SPREAD.mul_f64(state.random_fraction())).await;
            stored = has_written.then(SuspectRecord::default);
            era = replica.era();
        }
        let wanted = Some(state.suspects.lock().record(Instant::now())).filter(|r| !r.is_empty());
        if wanted == stored {
            tokio::select! {
                () = state.target_ended.notified() => {}
                () = tokio::time::sleep(CHECK_PERIOD) => {}
            }
            continue;
        }
        match write(wanted.as_ref(), &config, &replica, &state, &call).await {
            Ok(()) => {
                stored = wanted;
                has_written = true;
                tokio::time::sleep(WRITE_PAUSE).await;
            }
            Err(err) => {
                record_failure(&state, StoreTopic::Suspects.label(), err);
                let pause = FAILURE_PAUSE.mul_f64(0.5 + state.random_fraction());
                tokio::time::sleep(pause).await;
            }
        }
    }
}

/// Adds the records of all entries; returns the keys of those that hold nothing any more, and sets
/// what is stored for this entry.
fn restore(
    delta: &MirrorDelta,
    config: &EntryConfig,
    state: &EntryState,
    stored: &mut Option<SuspectRecord>,
) -> Vec<String> {
    let (now, unix_ms) = (Instant::now(), unix_ms());
    let mut suspects = state.suspects.lock();
    let mut lapsed = Vec::new();
    for record in &delta.records {
        let Some(bytes) = &record.value else {
            continue;
        };
        let writer = match record.key == *config.name {
            true => RecordWriter::This,
            false => RecordWriter::Other,
        };
        let n_restored = match SuspectRecord::decode(bytes) {
            Ok(kept) => suspects.restore(kept, writer, unix_ms, now),
            Err(err) => {
                warn!(state.log, "unreadable record"; "topic" => StoreTopic::Suspects.label(),
                    "key" => &record.key, "offset" => record.offset, "reason" => %err);
                continue;
            }
        };
        if writer == RecordWriter::This {
            *stored = Some(suspects.record(now));
        } else if n_restored == 0 {
            lapsed.push(record.key.clone());
        }
        info!(state.log, "suspects restored"; "from" => &record.key, "suspects" => n_restored);
    }
    lapsed
}

/// Removes records that hold nothing any more, unless another record is written meanwhile.
async fn remove<Call, Reply>(lapsed: Vec<String>, end: u64, state: &EntryState, call: &Call)
where
    Call: Fn(StoreRequest) -> Reply,
    Reply: Future<Output = StoreAnswer>,
{
    for (end, key) in (end..).zip(lapsed.into_iter().take(MAX_REMOVED)) {
        let topic = StoreTopic::Suspects;
        let answer = call(StoreRequest::Remove(topic, key.clone(), end)).await;
        count_call(state, topic.label(), &answer);
        match answer.result {
            Ok(_) => info!(state.log, "suspects removed"; "of" => &key),
            Err(err) => {
                // An entry that starts later removes it.
                info!(state.log, "suspects not removed"; "of" => &key, "fault" => %err);
                return;
            }
        }
    }
}

async fn write<Call, Reply>(
    record: Option<&SuspectRecord>,
    config: &EntryConfig,
    replica: &StoreReplica,
    state: &EntryState,
    call: &Call,
) -> Result<(), CallError>
where
    Call: Fn(StoreRequest) -> Reply,
    Reply: Future<Output = StoreAnswer>,
{
    let topic = StoreTopic::Suspects;
    let offset = {
        let suspects = state.suspects.lock();
        suspects.unix_offset(unix_ms(), Instant::now())
    };
    // An empty value removes the record.
    let value = record.map_or_else(Vec::new, |record| record.encode(offset));
    let n_suspects = record.map_or(0, SuspectRecord::len);
    let n_bytes = value.len();
    let answer = call(StoreRequest::Write(topic, config.name.to_string(), value)).await;
    count_call(state, topic.label(), &answer);
    replica.observe_era(answer.era.unwrap_or(StoreEra::default()));
    answer.result?;
    info!(state.log, "suspects kept"; "suspects" => n_suspects, "bytes" => n_bytes);
    state.metrics.kept_suspects.set(n_suspects as i64);
    Ok(())
}

/// Returns the time of day, in milliseconds.
fn unix_ms() -> i64 {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    now.map_or(0, |time| time.as_millis() as i64)
}
