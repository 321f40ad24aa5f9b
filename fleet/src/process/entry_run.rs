//! The entry process.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};

use slog::{Logger, info};
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

use crate::forward::HeaderNames;
use crate::peers::StoreTopic;
use crate::prelude::*;

use super::caller_server::serve_callers;
use super::drain::DrainState;
use super::entry_state::{EntryState, ProcessBounds};
use super::ready_server::{serve_metrics, serve_ready};
use super::record_decoders::Decoders;
use super::store_access::{StoreAnswer, StoreRequest};
use super::store_replica::StoreReplica;
use super::suspect_keeper::keep_suspects;
use super::{peer_tasks, store_tasks};

/// The configuration of an entry process.
#[derive(Clone, Debug)]
pub struct EntryConfig {
    /// The name of the process, unique in the deployment.
    pub name: Arc<str>,
    /// The data centre of the process.
    pub zone: Arc<str>,
    /// The address for callers.
    pub caller_address: SocketAddr,
    /// The address for the balancer's readiness checks.
    pub ready_address: SocketAddr,
    /// The path of the balancer's readiness checks.
    pub ready_path: Arc<str>,
    /// The address for other entries: UDP for datagrams, TCP for record pulls.
    pub peer_address: SocketAddr,
    /// The address for metrics.
    pub metrics_address: SocketAddr,
    /// The platform's header names.
    pub names: HeaderNames,
    /// The limits that may change while the process runs.
    pub bounds: watch::Receiver<ProcessBounds>,
    /// The decoders of the platform's records.
    pub decoders: Decoders,
}

impl EntryConfig {
    /// Returns the hash that identifies this process in messages.
    pub fn own_hash(&self) -> u64 {
        xxhash_rust::xxh3::xxh3_64(self.name.as_bytes())
    }
}

/// Runs an entry until SIGTERM, and then until its connections have ended or the grace period is
/// over.
///
/// `call` makes a call to the platform's store. Returns an error if an address cannot be bound or
/// the signal handler not installed.
pub async fn run_entry<Call, Reply>(
    config: EntryConfig,
    call: Call,
    log: Logger,
) -> std::io::Result<()>
where
    Call: Fn(StoreRequest) -> Reply + Clone + Send + Sync + 'static,
    Reply: Future<Output = StoreAnswer> + Send + 'static,
{
    let config = Arc::new(config);
    let callers = TcpListener::bind(config.caller_address).await?;
    let ready = TcpListener::bind(config.ready_address).await?;
    let metrics = TcpListener::bind(config.metrics_address).await?;
    let pulls = TcpListener::bind(config.peer_address).await?;
    let datagrams = Arc::new(UdpSocket::bind(config.peer_address).await?);
    let seed = config.own_hash();
    let state = Arc::new(EntryState::new(
        config.names.clone(),
        config.zone.clone(),
        config.bounds.clone(),
        seed,
        log.clone(),
    ));
    state.permits.set_socket(datagrams.clone());
    let replica = Arc::new(StoreReplica::new(state.clone(), config.decoders));
    info!(log, "started"; "role" => "entry", "zone" => &*config.zone,
        "callers" => %config.caller_address, "peers" => %config.peer_address);

    for topic in [StoreTopic::Operator, StoreTopic::Targets] {
        tokio::spawn(store_tasks::replicate_topic(
            topic,
            config.clone(),
            replica.clone(),
            state.clone(),
            call.clone(),
        ));
        tokio::spawn(peer_tasks::pull_topic(
            topic,
            replica.clone(),
            state.clone(),
        ));
    }
    tokio::spawn(keep_suspects(
        config.clone(),
        replica.clone(),
        state.clone(),
        call.clone(),
    ));
    tokio::spawn(store_tasks::join_peers(
        config.clone(),
        replica.clone(),
        state.clone(),
        call,
    ));
    tokio::spawn(peer_tasks::receive_heartbeats(
        config.clone(),
        replica.clone(),
        state.clone(),
        datagrams.clone(),
    ));
    tokio::spawn(peer_tasks::watch_groups(
        config.clone(),
        state.clone(),
        datagrams.clone(),
    ));
    tokio::spawn(peer_tasks::send_heartbeats(
        config.clone(),
        replica.clone(),
        state.clone(),
        datagrams,
    ));
    tokio::spawn(peer_tasks::serve_pulls(pulls, replica));
    tokio::spawn(serve_ready(ready, config.ready_path.clone(), state.clone()));
    tokio::spawn(serve_metrics(metrics, "/metrics".into(), state.clone()));
    let n_open = Arc::new(AtomicUsize::new(0));
    tokio::spawn(serve_callers(callers, state.clone(), n_open.clone()));

    signal(SignalKind::terminate())?.recv().await;
    drain_connections(&state, &n_open).await;
    info!(log, "stopped"; "open" => n_open.load(Ordering::Relaxed));
    Ok(())
}

/// The time between two checks of whether all connections have ended.
const DRAIN_CHECK_PERIOD: Duration = Duration::from_millis(20);

/// Drains the entry: waits until requests are refused, then for open connections.
async fn drain_connections(state: &EntryState, n_open: &AtomicUsize) {
    let began_at = Instant::now();
    state.drain.begin(began_at);
    info!(state.log, "stopping"; "open" => n_open.load(Ordering::Relaxed));
    let end_at = DrainState::end_of_grace(began_at, state.grace());
    state.drain.closed().await;
    while Instant::now() < end_at && 0 < n_open.load(Ordering::Relaxed) {
        tokio::time::sleep(DRAIN_CHECK_PERIOD).await;
    }
}
