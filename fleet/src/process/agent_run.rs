//! The agent process beside a target.

use std::net::SocketAddr;

use parking_lot::Mutex;
use slog::{Logger, debug, info};
use tokio::net::UdpSocket;
use tokio::signal::unix::{SignalKind, signal};

use crate::expert::MapOrder;
use crate::peers::{PeerMessage, RankState, RelayedOrder, StoreTopic};
use crate::prelude::*;

use super::keeper_link::KeeperLink;
use super::knowledge::{Decoders, peer_records};
use super::leader_table::LeaderTable;
use super::leader_task::LeaderTask;
use super::order_sender::OrderSender;
use super::rank_link::RankLink;
use super::store_access::{CallError, StoreReply, StoreRequest, TargetReply, TargetRequest};

/// The largest datagram that is read, in bytes.
const LARGEST_DATAGRAM: usize = 60_000;

/// The time between two messages about a slow target.
const PACE_PERIOD: Duration = Duration::from_millis(700);

/// The pace at which a target counts as slow; smaller differences even out.
const SLOW_PACE: f32 = 1.2;

/// The age at which the list of entries is read again while a target is slow.
const ENTRIES_AGE: Duration = Duration::from_secs(10);

/// The pause after a datagram could not be read.
const READ_PAUSE: Duration = Duration::from_millis(50);

/// What an agent process is started with.
#[derive(Clone, Debug)]
pub struct AgentConfig {
    /// The address for messages between processes; agents have the same port everywhere.
    pub peer_address: SocketAddr,
    /// The address of the target on the same machine.
    pub target_address: SocketAddr,
    /// The service of that target.
    pub service: Arc<str>,
    /// Reads the platform's records.
    pub decoders: Decoders,
    /// A number that differs between the lives of the process beside one target.
    pub life: u16,
}

impl AgentConfig {
    /// Returns the address of the agent beside a target.
    pub(super) fn agent_of(&self, target: SocketAddr) -> SocketAddr {
        SocketAddr::new(target.ip(), self.peer_address.port())
    }
}

/// Runs an agent until it is told to stop.
///
/// `target_call` makes a call to a target's control interface, `store_call` one to the platform's
/// store. Returns an error where the address cannot be bound.
pub async fn run_agent<TargetCall, TargetFuture, StoreCall, StoreFuture>(
    config: AgentConfig,
    target_call: TargetCall,
    store_call: StoreCall,
    log: Logger,
) -> std::io::Result<()>
where
    TargetCall: Fn(SocketAddr, TargetRequest) -> TargetFuture + Clone + Send + Sync + 'static,
    TargetFuture: Future<Output = Result<TargetReply, CallError>> + Send + 'static,
    StoreCall: Fn(StoreRequest) -> StoreFuture + Clone + Send + Sync + 'static,
    StoreFuture: Future<Output = Result<StoreReply, CallError>> + Send + 'static,
{
    let config = Arc::new(config);
    let socket = Arc::new(UdpSocket::bind(config.peer_address).await?);
    let link = RankLink::new(config.target_address, target_call.clone(), log.clone());
    let link = Arc::new(link);
    let table = Arc::new(Mutex::new(LeaderTable::default()));
    info!(log, "started"; "role" => "agent", "target" => %config.target_address,
        "service" => &*config.service);
    let sender = Arc::new(OrderSender {
        own_address: config.peer_address,
        target_call,
        socket: socket.clone(),
        table: table.clone(),
        log: log.clone(),
    });
    let leader = LeaderTask {
        config: config.clone(),
        link: link.clone(),
        store_call: store_call.clone(),
        sender,
        log: log.clone(),
    };
    tokio::spawn(leader.run());
    let keeper = Arc::new(KeeperLink::new(link.clone(), config.life, log.clone()));
    tokio::spawn(keeper.clone().run());
    tokio::spawn(tell_pace(
        config,
        link.clone(),
        store_call,
        socket.clone(),
        log.clone(),
    ));
    let mut stop = signal(SignalKind::terminate())?;
    let mut buffer = vec![0; LARGEST_DATAGRAM];
    loop {
        let received = tokio::select! {
            received = socket.recv_from(&mut buffer) => received,
            _ = stop.recv() => break,
        };
        let Ok((len, from)) = received else {
            tokio::time::sleep(READ_PAUSE).await;
            continue;
        };
        match PeerMessage::decode(&buffer[..len]) {
            Some(PeerMessage::Ask(question)) => {
                let (keeper, socket) = (keeper.clone(), socket.clone());
                tokio::spawn(async move {
                    reply(&socket, from, keeper.state(question).await).await;
                });
            }
            Some(PeerMessage::MayArm(question)) => {
                let (keeper, socket) = (keeper.clone(), socket.clone());
                tokio::spawn(async move {
                    reply(&socket, from, keeper.may_arm(question).await).await;
                });
            }
            Some(PeerMessage::Order(order)) => {
                tokio::spawn(carry_out(keeper.clone(), socket.clone(), from, order));
            }
            Some(PeerMessage::Relayed(relayed)) => {
                pass_on(&socket, &relayed).await;
                let RelayedOrder { leader, order, .. } = relayed;
                tokio::spawn(carry_out(keeper.clone(), socket.clone(), leader, order));
            }
            Some(PeerMessage::State(state)) => {
                table.lock().record_state(from, *state, Instant::now());
            }
            Some(PeerMessage::Beat(_) | PeerMessage::Pace(..)) | None => {
                debug!(log, "unexpected datagram"; "from" => %from, "len" => len);
            }
        }
    }
    info!(log, "stopped");
    Ok(())
}

/// Passes a relayed order on to its receivers.
async fn pass_on(socket: &UdpSocket, relayed: &RelayedOrder) {
    if relayed.receivers.is_empty() {
        return;
    }
    let rest = RelayedOrder {
        leader: relayed.leader,
        receivers: Vec::new(),
        order: relayed.order.clone(),
    };
    let bytes = PeerMessage::Relayed(rest).encode();
    for receiver in &relayed.receivers {
        // The leader sees who has not answered, and sends to them itself.
        let _ = socket.send_to(&bytes, receiver).await;
    }
}

/// Gives the rank an order, and tells the leader how things stand then and, where a copy began,
/// once it is complete.
async fn carry_out<Call, Reply>(
    keeper: Arc<KeeperLink<Call>>,
    socket: Arc<UdpSocket>,
    leader: SocketAddr,
    order: MapOrder,
) where
    Call: Fn(SocketAddr, TargetRequest) -> Reply,
    Reply: Future<Output = Result<TargetReply, CallError>>,
{
    let link = &keeper.link;
    let rank_state = |report| keeper.rank_state(report);
    reply(&socket, leader, link.order(&order).await.map(rank_state)).await;
    reply(
        &socket,
        leader,
        link.wait_copied(&order).await.map(rank_state),
    )
    .await;
}

/// Tells the entries for as long as the target beside this agent is slow.
async fn tell_pace<TargetCall, TargetFuture, StoreCall, StoreFuture>(
    config: Arc<AgentConfig>,
    link: Arc<RankLink<TargetCall>>,
    store_call: StoreCall,
    socket: Arc<UdpSocket>,
    log: Logger,
) where
    TargetCall: Fn(SocketAddr, TargetRequest) -> TargetFuture,
    TargetFuture: Future<Output = Result<TargetReply, CallError>>,
    StoreCall: Fn(StoreRequest) -> StoreFuture,
    StoreFuture: Future<Output = Result<StoreReply, CallError>>,
{
    let mut entries: Vec<SocketAddr> = Vec::new();
    let mut read_at: Option<Instant> = None;
    loop {
        tokio::time::sleep(PACE_PERIOD).await;
        let Some(report) = link
            .report()
            .await
            .filter(|report| SLOW_PACE <= report.pace)
        else {
            continue;
        };
        let now = Instant::now();
        if read_at.is_none_or(|at| at + ENTRIES_AGE <= now)
            && let Ok(StoreReply::Records(delta)) =
                store_call(StoreRequest::Newest(StoreTopic::Peers)).await
        {
            read_at = Some(now);
            let records = peer_records(&delta, &log);
            entries = records.iter().map(|record| record.address).collect();
            info!(log, "target slow"; "pace" => report.pace, "entries" => entries.len());
        }
        let bytes = PeerMessage::Pace(config.target_address, report.pace).encode();
        for entry in &entries {
            // A lost message is followed by the next one.
            let _ = socket.send_to(&bytes, entry).await;
        }
    }
}

async fn reply(socket: &UdpSocket, to: SocketAddr, state: Option<RankState>) {
    let Some(state) = state else { return };
    let bytes = PeerMessage::State(Box::new(state)).encode();
    // The asker asks again.
    let _ = socket.send_to(&bytes, to).await;
}
