//! The tasks that talk to the other entries.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;

use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Empty};
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use slog::{debug, warn};
use tokio::net::{TcpListener, TcpStream, UdpSocket};

use crate::mirror::MirrorDelta;
use crate::peers::{PeerHeartbeat, PeerMessage, StoreTopic};
use crate::prelude::*;

use super::caller_body::CallerBody;
use super::entry_run::EntryConfig;
use super::entry_state::EntryState;
use super::knowledge::Knowledge;

/// The time between two beats. Load that is this old lets entries overshoot a limit by few
/// streams, and a change reaches all entries well within its bound.
const BEAT_PERIOD: Duration = Duration::from_millis(250);

/// The longest time for a pull of records from a peer.
const PULL_TIMEOUT: Duration = Duration::from_millis(600);

/// The largest datagram that is read, in bytes.
const LARGEST_DATAGRAM: usize = 16_384;

/// Sends beats to all peers, pulls records from those that know more, and ages what is known.
pub(super) async fn send_beats(
    config: Arc<EntryConfig>,
    knowledge: Arc<Knowledge>,
    state: Arc<EntryState>,
    socket: Arc<UdpSocket>,
) {
    let mut n_beat: u64 = 0;
    loop {
        let now = Instant::now();
        knowledge.tick(now);
        state.pool.sweep(now);
        let beat = own_beat(&config, &knowledge, &state, now);
        let (receivers, zone_heartbeat) = knowledge.with_peers(|peers| {
            let receivers = peers.heartbeat_receivers(n_beat, &beat, now);
            let zone_heartbeat =
                (!receivers.zone_heartbeat.is_empty()).then(|| peers.zone_heartbeat(&beat, now));
            (receivers, zone_heartbeat)
        });
        send_to_all(&socket, beat, &receivers.own_heartbeat).await;
        if let Some(zone_heartbeat) = zone_heartbeat {
            send_to_all(&socket, zone_heartbeat, &receivers.zone_heartbeat).await;
        }
        let n_entries = knowledge.with_peers(|peers| peers.len()) + 1;
        state.n_entries.store(n_entries, Ordering::Relaxed);
        n_beat += 1;
        tokio::time::sleep(BEAT_PERIOD.mul_f64(0.9 + 0.2 * state.random_fraction())).await;
    }
}

async fn send_to_all(socket: &UdpSocket, beat: PeerHeartbeat, receivers: &[SocketAddr]) {
    let bytes = PeerMessage::Beat(beat).encode();
    for receiver in receivers {
        // A datagram that cannot be sent is as good as lost; the next beat follows.
        let _ = socket.send_to(&bytes, receiver).await;
    }
}

fn own_beat(
    config: &EntryConfig,
    knowledge: &Knowledge,
    state: &EntryState,
    now: Instant,
) -> PeerHeartbeat {
    let table = state.table.lock();
    let running = table.own_running();
    let demand = table.own_demand(now);
    drop(table);
    PeerHeartbeat {
        sender: config.own_hash(),
        zone: config.zone.to_string(),
        draining: state.drain.is_draining(),
        for_zone: false,
        operator: knowledge.position(StoreTopic::Operator, now),
        targets: knowledge.position(StoreTopic::Targets, now),
        running,
        demand,
    }
}

/// Takes in the beats of peers.
pub(super) async fn hear_beats(
    config: Arc<EntryConfig>,
    knowledge: Arc<Knowledge>,
    state: Arc<EntryState>,
    socket: Arc<UdpSocket>,
) {
    let mut buffer = vec![0; LARGEST_DATAGRAM];
    loop {
        let Ok((len, address)) = socket.recv_from(&mut buffer).await else {
            tokio::time::sleep(BEAT_PERIOD).await;
            continue;
        };
        let now = Instant::now();
        match PeerMessage::decode(&buffer[..len]) {
            Some(PeerMessage::Beat(beat)) => {
                // Of other data centres only the sums count, whoever speaks for them.
                let load_of = match (beat.for_zone, *beat.zone == *config.zone) {
                    (true, false) => Some(xxhash_rust::xxh3::xxh3_64(beat.zone.as_bytes())),
                    (false, true) => Some(beat.sender),
                    _ => None,
                };
                if let Some(key) = load_of {
                    let (running, demand) = (beat.running.clone(), beat.demand.clone());
                    state.table.lock().view.update(key, running, demand, now);
                }
                knowledge.with_peers(|peers| peers.record_heartbeat(address, beat, now));
            }
            Some(PeerMessage::Pace(target, pace)) => {
                state.table.lock().observe_pace(target, pace, now);
            }
            Some(_) | None => {
                debug!(state.log, "unexpected datagram"; "from" => %address, "len" => len)
            }
        }
    }
}

/// Pulls a topic's records from peers that know more.
pub(super) async fn pull_topic(
    topic: StoreTopic,
    knowledge: Arc<Knowledge>,
    state: Arc<EntryState>,
) {
    loop {
        tokio::time::sleep(BEAT_PERIOD / 3).await;
        let now = Instant::now();
        let end = knowledge.position(topic, now).changed_end;
        let Some((address, _)) = knowledge.with_peers(|peers| peers.ahead_of(topic, end, now))
        else {
            continue;
        };
        let from = knowledge.next_offset(topic).min(end);
        match tokio::time::timeout(PULL_TIMEOUT, pull(address, topic, from)).await {
            Ok(Some(delta)) => knowledge.read_from_peer(topic, delta),
            _ => warn!(state.log, "pull failed"; "topic" => topic.label(), "peer" => %address),
        }
    }
}

async fn pull(address: SocketAddr, topic: StoreTopic, from: u64) -> Option<MirrorDelta> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .ok()?;
    let driver = tokio::spawn(connection);
    let request = Request::get(format!("/mirror/{}/{from}", topic.label()))
        .header(http::header::HOST, address.to_string())
        .body(Empty::<Bytes>::new())
        .ok()?;
    let response = sender.send_request(request).await.ok()?;
    let body = response.into_body().collect().await.ok()?.to_bytes();
    driver.abort();
    postcard::from_bytes(&body).ok()
}

/// Answers the pulls of peers.
pub(super) async fn serve_pulls(listener: TcpListener, knowledge: Arc<Knowledge>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(BEAT_PERIOD).await;
            continue;
        };
        let knowledge = knowledge.clone();
        let service = service_fn(move |request: Request<hyper::body::Incoming>| {
            let response = answer_pull(request.uri().path(), &knowledge);
            async move { Ok::<_, Infallible>(response) }
        });
        tokio::spawn(async move {
            let serving = hyper::server::conn::http1::Builder::new()
                .keep_alive(false)
                .serve_connection(TokioIo::new(stream), service);
            // The peer sees the error of its own connection.
            let _ = tokio::time::timeout(PULL_TIMEOUT * 4, serving).await;
        });
    }
}

fn answer_pull(path: &str, knowledge: &Knowledge) -> Response<CallerBody> {
    let topics = [StoreTopic::Operator, StoreTopic::Targets];
    let asked = topics.into_iter().find_map(|topic| {
        let from = path.strip_prefix("/mirror/")?.strip_prefix(topic.label())?;
        Some((topic, from.strip_prefix('/')?.parse().ok()?))
    });
    let Some((topic, from)) = asked else {
        let mut response = Response::new(CallerBody::whole(Bytes::new()));
        *response.status_mut() = StatusCode::NOT_FOUND;
        return response;
    };
    let delta = knowledge.since(topic, from);
    let bytes = postcard::to_allocvec(&delta).expect("records_have_a_byte_form");
    Response::new(CallerBody::whole(bytes.into()))
}
