//! The tasks that read the store and register this process in it.

use slog::{info, warn};

use crate::peers::{PeerRecord, ReaderChoice, ReaderInput, StoreTopic, choose_reader};
use crate::prelude::*;

use super::entry_run::EntryConfig;
use super::entry_state::EntryState;
use super::store_access::{CallError, StoreReply, StoreRequest};
use super::store_replica::StoreReplica;

/// The pause after a successful read that does not wait for new records.
const TARGETS_READ_PERIOD: Duration = Duration::from_millis(450);

/// How long a read of the configuration waits for a new record.
const OPERATOR_WAIT: Duration = Duration::from_millis(1_200);

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
    Reply: Future<Output = Result<StoreReply, CallError>>,
{
    let mut needs_newest = true;
    let mut pause = FAILURE_BACKOFF.0;
    loop {
        let now = Instant::now();
        let input = ReaderInput {
            topic,
            own: config.own_hash(),
            own_read_at: replica.read_at(topic),
            jitter: state.random_fraction(),
        };
        let choice = replica.with_peers(|peers| choose_reader(&input, peers, now));
        if choice == ReaderChoice::Skip {
            tokio::time::sleep(CHECK_PERIOD).await;
            continue;
        }
        let wait = match topic {
            StoreTopic::Operator if choice == ReaderChoice::Reader => OPERATOR_WAIT,
            _ => Duration::ZERO,
        };
        let request = match needs_newest {
            true => StoreRequest::Newest(topic),
            false => StoreRequest::Read(topic, replica.next_offset(topic), wait),
        };
        let label = topic.label();
        let result = call(request).await;
        let outcome = if result.is_ok() { "ok" } else { "failed" };
        state
            .metrics
            .store_calls
            .with_label_values(&[label, outcome])
            .inc();
        match result {
            Ok(StoreReply::Records(delta)) => {
                // A read that waited for records confirms the state at its end, not its start.
                let asked_at = if wait.is_zero() {
                    now
                } else {
                    now.max(Instant::now() - MAX_READ_LAG)
                };
                replica.apply_from_store(topic, delta, asked_at);
                needs_newest = false;
                pause = FAILURE_BACKOFF.0;
                if wait.is_zero() {
                    tokio::time::sleep(TARGETS_READ_PERIOD).await;
                }
            }
            Ok(StoreReply::Expired) => {
                info!(state.log, "records expired"; "topic" => label,
                    "from" => replica.next_offset(topic));
                needs_newest = true;
            }
            Ok(StoreReply::Written) => {}
            Err(err) => {
                warn!(state.log, "store call failed"; "topic" => label, "fault" => %err);
                tokio::time::sleep(pause.mul_f64(0.75 + 0.5 * state.random_fraction())).await;
                pause = (pause * 2).min(FAILURE_BACKOFF.1);
            }
        }
    }
}

/// How far the end of a waiting read may lag behind the store.
const MAX_READ_LAG: Duration = Duration::from_millis(50);

/// Registers this process in the store and reads the other entries' records; retries until both
/// have succeeded.
pub(super) async fn join_peers<Call, Reply>(
    config: Arc<EntryConfig>,
    replica: Arc<StoreReplica>,
    state: Arc<EntryState>,
    call: Call,
) where
    Call: Fn(StoreRequest) -> Reply,
    Reply: Future<Output = Result<StoreReply, CallError>>,
{
    let record = PeerRecord {
        address: config.peer_address,
        zone: config.zone.to_string(),
    };
    let value = postcard::to_allocvec(&record).expect("records_have_a_byte_form");
    let mut announced = false;
    loop {
        let request = match announced {
            false => StoreRequest::Announce(config.name.to_string(), value.clone()),
            true => StoreRequest::Newest(StoreTopic::Peers),
        };
        match call(request).await {
            Ok(StoreReply::Written) => announced = true,
            Ok(StoreReply::Records(delta)) => {
                replica.add_peers(&delta, config.peer_address);
                let n_peers = replica.with_peers(|peers| peers.len());
                info!(state.log, "peers known"; "peers" => n_peers);
                return;
            }
            Ok(StoreReply::Expired) => {}
            Err(err) => {
                warn!(state.log, "store call failed"; "topic" => "peers", "fault" => %err);
                let pause = FAILURE_BACKOFF.1.mul_f64(0.5 + state.random_fraction());
                tokio::time::sleep(pause).await;
            }
        }
    }
}
