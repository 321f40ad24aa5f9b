//! The tasks that read the store.

use slog::{info, warn};

use crate::peers::{PeerRecord, ReaderChoice, ReaderInput, StoreTopic, choose_reader};
use crate::prelude::*;

use super::entry_run::EntryConfig;
use super::entry_state::EntryState;
use super::knowledge::Knowledge;
use super::store_access::{CallError, StoreReply, StoreRequest};

/// The time between two reads of the targets' records by a reader.
const TARGETS_PERIOD: Duration = Duration::from_millis(450);

/// The time for which a read of the configuration waits for news.
const OPERATOR_WAIT: Duration = Duration::from_millis(1_200);

/// The time between two checks of whether to read.
const CHECK_PERIOD: Duration = Duration::from_millis(100);

/// The first and the longest pause after a failed call.
const FAILURE_PAUSES: (Duration, Duration) =
    (Duration::from_millis(150), Duration::from_millis(1_000));

/// Keeps the copy of a topic fresh for as long as the process runs.
pub(super) async fn keep_topic<Call, Reply>(
    topic: StoreTopic,
    config: Arc<EntryConfig>,
    knowledge: Arc<Knowledge>,
    state: Arc<EntryState>,
    call: Call,
) where
    Call: Fn(StoreRequest) -> Reply,
    Reply: Future<Output = Result<StoreReply, CallError>>,
{
    let mut needs_newest = true;
    let mut pause = FAILURE_PAUSES.0;
    loop {
        let now = Instant::now();
        let input = ReaderInput {
            topic,
            own: config.own_hash(),
            own_read_at: knowledge.read_at(topic),
            jitter: state.random_fraction(),
        };
        let choice = knowledge.with_peers(|peers| choose_reader(&input, peers, now));
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
            false => StoreRequest::Read(topic, knowledge.next_offset(topic), wait),
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
                // A read that waited for news tells the state at its end.
                let asked_at = if wait.is_zero() {
                    now
                } else {
                    now.max(Instant::now() - LAG)
                };
                knowledge.read_from_store(topic, delta, asked_at);
                needs_newest = false;
                pause = FAILURE_PAUSES.0;
                if wait.is_zero() {
                    tokio::time::sleep(TARGETS_PERIOD).await;
                }
            }
            Ok(StoreReply::Expired) => {
                info!(state.log, "records expired"; "topic" => label,
                    "from" => knowledge.next_offset(topic));
                needs_newest = true;
            }
            Ok(StoreReply::Written) => {}
            Err(fault) => {
                warn!(state.log, "store call failed"; "topic" => label, "fault" => %fault);
                tokio::time::sleep(pause.mul_f64(0.75 + 0.5 * state.random_fraction())).await;
                pause = (pause * 2).min(FAILURE_PAUSES.1);
            }
        }
    }
}

/// The time by which the end of a waiting read may lag behind the store.
const LAG: Duration = Duration::from_millis(50);

/// Makes this process known in the store and learns of the others, until both have succeeded.
pub(super) async fn join_peers<Call, Reply>(
    config: Arc<EntryConfig>,
    knowledge: Arc<Knowledge>,
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
                knowledge.learn_peers(&delta, config.peer_address);
                let n_peers = knowledge.with_peers(|peers| peers.len());
                info!(state.log, "peers known"; "peers" => n_peers);
                return;
            }
            Ok(StoreReply::Expired) => {}
            Err(fault) => {
                warn!(state.log, "store call failed"; "topic" => "peers", "fault" => %fault);
                let pause = FAILURE_PAUSES.1.mul_f64(0.5 + state.random_fraction());
                tokio::time::sleep(pause).await;
            }
        }
    }
}
