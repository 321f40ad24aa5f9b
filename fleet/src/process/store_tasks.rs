//! The tasks that read the store and register this process in it.

use slog::{info, warn};

use crate::mirror::StoreEra;
use crate::peers::{
    PeerRecord, ReaderChoice, ReaderInput, StoreTopic, choose_reader, confirmed_until,
};
use crate::prelude::*;

use super::entry_run::EntryConfig;
use super::entry_state::EntryState;
use super::store_access::{CallError, StoreAnswer, StoreReply, StoreRequest};
use super::store_replica::StoreReplica;

/// The pause after a successful read that does not wait for new records, and the longest time
/// between two confirmations by one that does.
const READ_PERIOD: Duration = Duration::from_millis(450);

/// How often an entry that does not read checks whether it should.
const CHECK_PERIOD: Duration = Duration::from_millis(100);

/// The first and the longest backoff after failed calls.
const FAILURE_BACKOFF: (Duration, Duration) =
    (Duration::from_millis(150), Duration::from_millis(1_000));

/// Keeps the replica of a topic up to date; never returns.
pub(super) async fn replicate_topic<Call, Reply>(
    topic: StoreTopic,
    config: Arc<EntryConfig>,
    replica: Arc<StoreReplica>,
    state: Arc<EntryState>,
    call: Call,
) where
    Call: Fn(StoreRequest) -> Reply,
    Reply: Future<Output = StoreAnswer>,
{
    let mut needs_newest = true;
    let mut pause = FAILURE_BACKOFF.0;
    loop {
        let now = Instant::now();
        let position = replica.next_position(topic);
        needs_newest |= position.era < replica.era();
        let input = ReaderInput {
            topic,
            own: config.own_hash(),
            era: replica.era(),
            end: position,
            own_read_at: replica.read_at(topic),
            behind_since: replica.behind_since(topic),
            jitter: state.random_fraction(),
        };
        let choice = replica.with_peers(|peers| choose_reader(&input, peers, now));
        if choice == ReaderChoice::Skip {
            tokio::time::sleep(CHECK_PERIOD).await;
            continue;
        }
        let is_waiting = topic == StoreTopic::Operator && choice == ReaderChoice::Reader;
        // What is left until the next confirmation is due: a record may have ended the last wait.
        let wait = match input.own_read_at {
            Some(at) if is_waiting => (at + READ_PERIOD).saturating_duration_since(now),
            _ => Duration::ZERO,
        };
        let request = match needs_newest {
            true => StoreRequest::Newest(topic),
            false => StoreRequest::Read(topic, position.offset, wait),
        };
        let label = topic.label();
        let answer = call(request).await;
        count_call(&state, label, &answer);
        let StoreAnswer { era, result } = answer;
        if let Some(era) = era {
            replica.observe_era(era);
        }
        match result {
            Ok(StoreReply::Records(delta)) => {
                let n_records = delta.records.len();
                let confirmed_at = confirmed_until(now, wait, n_records, Instant::now());
                needs_newest = !replica.apply_from_store(topic, delta, confirmed_at);
                pause = FAILURE_BACKOFF.0;
                if !is_waiting {
                    tokio::time::sleep(READ_PERIOD).await;
                }
            }
            Ok(StoreReply::Expired) => {
                info!(state.log, "records expired"; "topic" => label, "from" => %position);
                needs_newest = true;
            }
            Ok(StoreReply::Written) => {}
            Err(err) => {
                record_failure(&state, label, err);
                replica.record_failed_read(topic, now, err);
                tokio::time::sleep(pause.mul_f64(0.75 + 0.5 * state.random_fraction())).await;
                pause = (pause * 2).min(FAILURE_BACKOFF.1);
            }
        }
    }
}

/// Counts a call to the store.
pub(super) fn count_call(state: &EntryState, topic: &str, answer: &StoreAnswer) {
    let outcome = match answer.result {
        Ok(_) => "ok",
        Err(_) => "failed",
    };
    let calls = &state.metrics.store_calls;
    calls.with_label_values(&[topic, outcome]).inc();
}

/// Logs a failed call, and counts a reply over a limit.
pub(super) fn record_failure(state: &EntryState, topic: &str, err: CallError) {
    warn!(state.log, "store call failed"; "topic" => topic, "fault" => %err);
    if matches!(err, CallError::TooLong(_)) {
        state.metrics.count_cut("store");
    }
}

/// The time over which entries spread the calls by which they register again after the store came
/// back from an older copy.
pub(super) const REGISTER_SPREAD: Duration = Duration::from_millis(2_000);

/// Registers this process in the store and reads the other entries' records, again each time that
/// the store comes back from an older copy; never returns.
pub(super) async fn join_peers<Call, Reply>(
    config: Arc<EntryConfig>,
    replica: Arc<StoreReplica>,
    state: Arc<EntryState>,
    call: Call,
) where
    Call: Fn(StoreRequest) -> Reply,
    Reply: Future<Output = StoreAnswer>,
{
    let record = PeerRecord {
        address: config.peer_address,
        zone: config.zone.to_string(),
    };
    let value = postcard::to_allocvec(&record).expect("records_have_a_byte_form");
    let announce = StoreRequest::Write(StoreTopic::Peers, config.name.to_string(), value);
    let read = StoreRequest::Newest(StoreTopic::Peers);
    let mut eras = replica.subscribe_era();
    loop {
        let (announced_era, _) = call_until_done(&announce, &replica, &state, &call).await;
        read_peers(&read, &config, &replica, &state, &call).await;
        if StoreEra::default() < announced_era {
            // The other entries may have lost their records too, and write them again meanwhile.
            tokio::time::sleep(REGISTER_SPREAD * 2).await;
            read_peers(&read, &config, &replica, &state, &call).await;
        }
        // The sender lives as long as the replica, so that waiting cannot fail.
        let _ = eras.wait_for(|era| announced_era < *era).await;
        tokio::time::sleep(REGISTER_SPREAD.mul_f64(state.random_fraction())).await;
    }
}

async fn read_peers<Call, Reply>(
    request: &StoreRequest,
    config: &EntryConfig,
    replica: &StoreReplica,
    state: &EntryState,
    call: &Call,
) where
    Call: Fn(StoreRequest) -> Reply,
    Reply: Future<Output = StoreAnswer>,
{
    if let (_, StoreReply::Records(delta)) = call_until_done(request, replica, state, call).await {
        replica.add_peers(&delta, config.peer_address);
        let n_peers = replica.with_peers(|peers| peers.len());
        info!(state.log, "peers known"; "peers" => n_peers);
    }
}

/// Repeats a call until the store has executed it; returns the era of the answer, and the reply.
pub(super) async fn call_until_done<Call, Reply>(
    request: &StoreRequest,
    replica: &StoreReplica,
    state: &EntryState,
    call: &Call,
) -> (StoreEra, StoreReply)
where
    Call: Fn(StoreRequest) -> Reply,
    Reply: Future<Output = StoreAnswer>,
{
    loop {
        let answer = call(request.clone()).await;
        count_call(state, request.topic().label(), &answer);
        let StoreAnswer { era, result } = answer;
        if let Some(era) = era {
            replica.observe_era(era);
        }
        match result {
            Ok(reply) => return (era.unwrap_or_default(), reply),
            Err(err) => {
                record_failure(state, request.topic().label(), err);
                let pause = FAILURE_BACKOFF.1.mul_f64(0.5 + state.random_fraction());
                tokio::time::sleep(pause).await;
            }
        }
    }
}
