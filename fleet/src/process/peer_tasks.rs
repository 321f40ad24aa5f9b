//! The tasks that exchange heartbeats and records with the other entries.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;

use http::{Request, Response, StatusCode};
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use slog::{debug, info, warn};
use tokio::net::{TcpListener, UdpSocket};

use crate::forward::ByteBudget;
use crate::mirror::{MAX_COPY_BYTES, StoreEra, StorePosition};
use crate::peers::{
    HeartbeatReceivers, PeerCopy, PeerHeartbeat, PeerMessage, PermitQuery, RankQuery, StoreTopic,
};
use crate::prelude::*;
use crate::routing::{PeerLoad, ROUND_PERIOD, RankStatus, SuspectReport};

use super::caller_body::CallerBody;
use super::entry_run::EntryConfig;
use super::entry_state::EntryState;
use super::limit_permits::log_change;
use super::peer_pull::{PULL_TIMEOUT, PullError, pull};
use super::store_replica::StoreReplica;

/// The mean time between two heartbeats. With load figures of this age, entries overshoot a limit
/// by only a few streams, and a change reaches all entries well within its bound.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(250);

/// The pause after a pull that sent too much or nothing that can be read: the same peer may send it
/// again.
const BAD_PULL_PAUSE: Duration = Duration::from_secs(1);

/// The limit on what all pulls of one topic read, in bytes: one copy, which holds no more than it
/// leaves.
const MAX_PULLED_BYTES: usize = 2 * MAX_COPY_BYTES;

/// The limit on the head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 8_192;

/// The size of the receive buffer for datagrams, in bytes.
const MAX_DATAGRAM_LEN: usize = 16_384;

/// Sends heartbeats to peers, and at each one updates the replica's state that depends on time,
/// closes idle connections to targets and counts the entries.
pub(super) async fn send_heartbeats(
    config: Arc<EntryConfig>,
    replica: Arc<StoreReplica>,
    state: Arc<EntryState>,
    socket: Arc<UdpSocket>,
) {
    let mut heartbeat_idx: u64 = 0;
    let mut last_contacts = Contacts::default();
    loop {
        let now = Instant::now();
        replica.tick(now);
        state.pool.sweep(now);
        let heartbeat = own_heartbeat(&config, &replica, &state, now);
        let (receivers, zone_heartbeat) = replica.with_peers(|peers| {
            let receivers = peers.heartbeat_receivers(heartbeat_idx, &heartbeat, now);
            let zone_heartbeat = (!receivers.zone_heartbeat.is_empty())
                .then(|| peers.zone_heartbeat(&heartbeat, now));
            state
                .permits
                .set_holders(peers.limit_holders(&heartbeat, now));
            (receivers, zone_heartbeat)
        });
        send_to_all(
            &socket,
            &PeerMessage::Beat(heartbeat),
            &receivers.own_heartbeat,
        )
        .await;
        if let Some(zone_heartbeat) = zone_heartbeat {
            let message = PeerMessage::Beat(zone_heartbeat);
            send_to_all(&socket, &message, &receivers.zone_heartbeat).await;
        }
        let contacts = Contacts {
            represents_zone: !receivers.zone_heartbeat.is_empty(),
            n_recent: replica.with_peers(|peers| peers.recent_heartbeats(now).count()),
        };
        if contacts.has_more_than(&last_contacts) {
            state.suspects.lock().report_again();
        }
        last_contacts = contacts;
        send_suspects(&state, &socket, &receivers).await;
        send_limits(&state, &socket, &receivers).await;
        let n_entries = replica.with_peers(|peers| peers.len()) + 1;
        state.n_entries.store(n_entries, Ordering::Relaxed);
        heartbeat_idx += 1;
        tokio::time::sleep(HEARTBEAT_PERIOD.mul_f64(0.9 + 0.2 * state.random_fraction())).await;
    }
}

/// The other entries that hear from this one.
#[derive(Default)]
struct Contacts {
    represents_zone: bool,
    n_recent: usize,
}

impl Contacts {
    fn has_more_than(&self, other: &Self) -> bool {
        (self.represents_zone && !other.represents_zone) || other.n_recent < self.n_recent
    }
}

/// Sends what is due of the requests that may have ended targets.
async fn send_suspects(state: &EntryState, socket: &UdpSocket, receivers: &HeartbeatReceivers) {
    let reports = {
        let mut suspects = state.suspects.lock();
        state.metrics.crash_suspects.set(suspects.len() as i64);
        suspects.take_reports(Instant::now())
    };
    if reports.is_empty() {
        return;
    }
    let (restored, seen): (Vec<_>, Vec<_>) =
        reports.into_iter().partition(|report| report.is_restored);
    let messages = [
        (seen.is_empty(), PeerMessage::Suspects(seen)),
        (restored.is_empty(), PeerMessage::Restored(restored)),
    ];
    for (_, message) in messages.iter().filter(|(is_empty, _)| !is_empty) {
        send_to_all(socket, message, &receivers.own_heartbeat).await;
        send_to_all(socket, message, &receivers.zone_heartbeat).await;
    }
}

/// Sends what is due of the limits that targets name.
async fn send_limits(state: &EntryState, socket: &UdpSocket, receivers: &HeartbeatReceivers) {
    let reports = {
        let mut table = state.table.lock();
        state.metrics.limited_targets.set(table.n_limited() as i64);
        table.take_limit_reports(Instant::now())
    };
    if reports.is_empty() {
        return;
    }
    let message = PeerMessage::Limits(reports);
    send_to_all(socket, &message, &receivers.own_heartbeat).await;
    send_to_all(socket, &message, &receivers.zone_heartbeat).await;
}

/// Replies to another entry's query for a permit.
async fn answer_query(
    state: &EntryState,
    socket: &UdpSocket,
    query: &PermitQuery,
    sender: SocketAddr,
) {
    let own_rate = state.table.lock().limit_of(query.target);
    let rate = own_rate.unwrap_or(query.rate);
    let reply = state.permits.decide(query, rate, Instant::now());
    debug!(state.log, "permit decided"; "for" => %sender, "target" => query.target,
        "limit" => rate, "decision" => ?reply.decision);
    // A reply that cannot be sent counts as lost; its receiver does not send the request then.
    let _ = socket
        .send_to(&PeerMessage::Permit(reply).encode(), sender)
        .await;
}

async fn send_to_all(socket: &UdpSocket, message: &PeerMessage, receivers: &[SocketAddr]) {
    let bytes = message.encode();
    for receiver in receivers {
        // A datagram that cannot be sent counts as lost; a later one replaces it.
        let _ = socket.send_to(&bytes, receiver).await;
    }
}

fn own_heartbeat(
    config: &EntryConfig,
    replica: &StoreReplica,
    state: &EntryState,
    now: Instant,
) -> PeerHeartbeat {
    let table = state.table.lock();
    let running = table.own_running();
    let demand = table.own_demand(now);
    let results = table.own_results(now);
    drop(table);
    PeerHeartbeat {
        sender: config.own_hash(),
        zone: config.zone.to_string(),
        draining: state.drain.is_draining(),
        for_zone: false,
        version: state.version(),
        operator: replica.position(StoreTopic::Operator, now),
        targets: replica.position(StoreTopic::Targets, now),
        running,
        demand,
        results,
        spans: Some(replica.spans(now)),
    }
}

/// Receives the heartbeats of peers, and the pace of slow targets from agents.
pub(super) async fn receive_heartbeats(
    config: Arc<EntryConfig>,
    replica: Arc<StoreReplica>,
    state: Arc<EntryState>,
    socket: Arc<UdpSocket>,
) {
    let mut buffer = vec![0; MAX_DATAGRAM_LEN];
    loop {
        let Ok((len, address)) = socket.recv_from(&mut buffer).await else {
            tokio::time::sleep(HEARTBEAT_PERIOD).await;
            continue;
        };
        let now = Instant::now();
        match PeerMessage::decode(&buffer[..len]) {
            Some(PeerMessage::Beat(heartbeat)) => {
                // The load of another data centre counts only as a sum, whichever entry sends it.
                let load_of = match (heartbeat.for_zone, *heartbeat.zone == *config.zone) {
                    (true, false) => Some(xxhash_rust::xxh3::xxh3_64(heartbeat.zone.as_bytes())),
                    (false, true) => Some(heartbeat.sender),
                    _ => None,
                };
                if let Some(key) = load_of {
                    let load = PeerLoad {
                        running: heartbeat.running.clone(),
                        demand: heartbeat.demand.clone(),
                        results: heartbeat.results.clone(),
                    };
                    state.table.lock().view.update(key, load, now);
                }
                replica.with_peers(|peers| peers.record_heartbeat(address, heartbeat, now));
            }
            Some(PeerMessage::Suspects(reports)) => observe_reports(&state, &reports, address),
            Some(PeerMessage::Restored(mut reports)) => {
                reports
                    .iter_mut()
                    .for_each(|report| report.is_restored = true);
                observe_reports(&state, &reports, address);
            }
            Some(PeerMessage::Limits(reports)) => {
                for report in &reports {
                    let change = state.table.lock().merge_limit(report, now);
                    if let Some((target, change)) = change {
                        log_change(&state.log, &target, change, &address.to_string());
                    }
                }
            }
            Some(PeerMessage::AskPermit(query)) => {
                answer_query(&state, &socket, &query, address).await;
            }
            Some(PeerMessage::Permit(reply)) => state.permits.receive(&reply),
            Some(PeerMessage::Pace(target, pace)) => {
                state.table.lock().observe_pace(target, pace, now);
            }
            Some(PeerMessage::State(rank)) => {
                let status = RankStatus {
                    open: rank.report.open,
                    epoch: rank.report.epoch,
                    size: rank.report.size,
                };
                let mut table = state.table.lock();
                if table.record_report(address.ip(), status, now) {
                    info!(state.log, "group formed again"; "rank" => %address.ip(),
                        "epoch" => status.epoch);
                    state.slot_freed.notify_waiters();
                }
            }
            Some(_) | None => {
                debug!(state.log, "unexpected datagram"; "from" => %address, "len" => len)
            }
        }
    }
}

/// Merges reports of another entry.
fn observe_reports(state: &EntryState, reports: &[SuspectReport], from: SocketAddr) {
    let now = Instant::now();
    let mut suspects = state.suspects.lock();
    for report in reports {
        if suspects.observe_report(report, now) {
            warn!(state.log, "suspect reported"; "from" => %from, "suspect" => %report.key,
                "ends" => report.ends.len(), "restored" => report.is_restored);
        }
    }
}

/// Asks the agents beside ranks of groups that do not serve for the ranks' reports.
pub(super) async fn watch_groups(
    config: Arc<EntryConfig>,
    state: Arc<EntryState>,
    socket: Arc<UdpSocket>,
) {
    let query = PeerMessage::Ask(RankQuery::Report).encode();
    loop {
        tokio::time::sleep(ROUND_PERIOD).await;
        let asked = state.table.lock().next_asked(Instant::now());
        for rank in asked {
            let agent = SocketAddr::new(rank, config.peer_address.port());
            // A query that is lost is repeated in a later round.
            let _ = socket.send_to(&query, agent).await;
        }
    }
}

/// Pulls a topic's records from peers whose copy is ahead, and the configuration from peers that
/// have a newer one in force.
pub(super) async fn pull_topic(
    topic: StoreTopic,
    replica: Arc<StoreReplica>,
    state: Arc<EntryState>,
) {
    // Which targets have departed shows in no copy of the store, so a process that starts after the
    // store came back from an older one asks a peer.
    let mut asked_era = StoreEra::default();
    let budget = Arc::new(ByteBudget::unmetered(MAX_PULLED_BYTES));
    loop {
        tokio::time::sleep(HEARTBEAT_PERIOD / 3).await;
        let now = Instant::now();
        let end = replica.position(topic, now).changed_end;
        let needs_departures = topic == StoreTopic::Targets && asked_era < end.era;
        let (ahead, newer, peer) = replica.with_peers(|peers| {
            let ahead = peers.ahead_of(topic, end, now).map(|(address, _)| address);
            let newer = peers.newer_version(state.version(), now);
            (ahead, newer, peers.recent_peer(end.era, now))
        });
        if let Some(address) = ahead.or(peer.filter(|_| needs_departures)) {
            let from = replica.next_position(topic).min(end);
            let path = format!("/mirror/{}/{}/{}", topic.label(), from.era, from.offset);
            match pull_copy(address, &path, &budget).await {
                Ok(copy) => {
                    asked_era = copy.delta.era;
                    replica.apply_from_peer(topic, copy);
                }
                Err(err) => record_failure(&state, topic.label(), address, &err).await,
            }
        } else if let Some(address) = newer.filter(|_| topic == StoreTopic::Operator) {
            match pull(address, CATALOG_PATH, &budget).await {
                // The same peer would send it again at once.
                Ok(bytes) if !replica.apply_peer_catalog(bytes.to_vec()) => {
                    tokio::time::sleep(BAD_PULL_PAUSE).await;
                }
                Ok(_) => {}
                Err(err) => record_failure(&state, "catalog", address, &err).await,
            }
        }
    }
}

async fn pull_copy(
    address: SocketAddr,
    path: &str,
    budget: &Arc<ByteBudget>,
) -> Result<PeerCopy, PullError> {
    let bytes = pull(address, path, budget).await?;
    postcard::from_bytes(&bytes).map_err(|_| PullError::Malformed)
}

/// Logs a failed pull, counts one over a limit, and pauses after what the peer may repeat.
async fn record_failure(
    state: &EntryState,
    topic: &'static str,
    peer: SocketAddr,
    err: &PullError,
) {
    warn!(state.log, "pull failed"; "topic" => topic, "peer" => %peer, "fault" => %err);
    match err {
        PullError::Unreachable | PullError::Silent | PullError::Refused(_) => {}
        PullError::Malformed => tokio::time::sleep(BAD_PULL_PAUSE).await,
        PullError::Cut(_) => {
            state.metrics.count_cut("peer");
            tokio::time::sleep(BAD_PULL_PAUSE).await;
        }
    }
}

/// The path of the configuration in force, which may be newer than the store's.
const CATALOG_PATH: &str = "/catalog";

/// Answers the pulls of peers.
pub(super) async fn serve_pulls(listener: TcpListener, replica: Arc<StoreReplica>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(HEARTBEAT_PERIOD).await;
            continue;
        };
        let replica = replica.clone();
        let service = service_fn(move |request: Request<hyper::body::Incoming>| {
            let response = answer_pull(request.uri().path(), &replica);
            async move { Ok::<_, Infallible>(response) }
        });
        tokio::spawn(async move {
            let serving = hyper::server::conn::http1::Builder::new()
                .keep_alive(false)
                .max_buf_size(MAX_HEAD_BYTES)
                .serve_connection(TokioIo::new(stream), service);
            // An error concerns this connection only; the peer sees it.
            let _ = tokio::time::timeout(PULL_TIMEOUT * 4, serving).await;
        });
    }
}

/// Returns the records that a pull requests by its path, `/mirror/{topic}/{era}/{offset}`, or the
/// configuration in force.
fn answer_pull(path: &str, replica: &StoreReplica) -> Response<CallerBody> {
    let bytes = match requested_position(path) {
        Some((topic, from)) => {
            let copy = replica.since(topic, from);
            Some(postcard::to_allocvec(&copy).expect("records_have_a_byte_form"))
        }
        None if path == CATALOG_PATH => replica.catalog_bytes(),
        None => None,
    };
    let is_found = bytes.is_some();
    let mut response = Response::new(CallerBody::whole(bytes.unwrap_or_default().into()));
    if !is_found {
        *response.status_mut() = StatusCode::NOT_FOUND;
    }
    response
}

fn requested_position(path: &str) -> Option<(StoreTopic, StorePosition)> {
    let mut parts = path.strip_prefix("/mirror/")?.split('/');
    let label = parts.next()?;
    let topic = [StoreTopic::Operator, StoreTopic::Targets]
        .into_iter()
        .find(|topic| topic.label() == label)?;
    let era = StoreEra(parts.next()?.parse().ok()?);
    let offset = parts.next()?.parse().ok()?;
    Some((topic, StorePosition { era, offset }))
}
