//! The agent process beside a target.

use std::net::SocketAddr;

use parking_lot::Mutex;
use slog::{Logger, debug, info, warn};
use tokio::net::UdpSocket;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::Semaphore;

use crate::expert::MapOrder;
use crate::peers::{PeerMessage, RankState, RelayedOrder, StoreTopic};
use crate::prelude::*;

use super::keeper_link::KeeperLink;
use super::leader_table::LeaderTable;
use super::leader_task::LeaderTask;
use super::order_sender::OrderSender;
use super::rank_link::RankLink;
use super::record_decoders::{Decoders, peer_records};
use super::store_access::{
    CallError, StoreAnswer, StoreReply, StoreRequest, TargetReply, TargetRequest,
};

/// The size of the receive buffer for datagrams, in bytes.
const MAX_DATAGRAM_LEN: usize = 60_000;

/// The most queries that are answered at the same time.
const MAX_QUERIES: usize = 32;

/// The most orders that are carried out at the same time; a decoded one may hold many times the
/// length of its datagram.
const MAX_ORDERS: usize = 16;

/// How often the pace of the local target is checked, and reported while the target is slow.
const PACE_REPORT_PERIOD: Duration = Duration::from_millis(700);

/// The pace from which a target counts as slow; smaller differences average out.
const SLOW_PACE: f32 = 1.2;

/// The age from which the list of entries is read again while a target is slow.
const MAX_ENTRIES_AGE: Duration = Duration::from_secs(10);

/// The pause after a failed read of the socket.
const READ_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The configuration of an agent process.
#[derive(Clone, Debug)]
pub struct AgentConfig {
    /// The address for messages between processes; all agents use the same port.
    pub peer_address: SocketAddr,
    /// The address of the target on the same machine.
    pub target_address: SocketAddr,
    /// The service of that target.
    pub service: Arc<str>,
    /// The decoders of the platform's records.
    pub decoders: Decoders,
    /// The incarnation of this process; differs at each start of the agent beside a target.
    pub life: u16,
}

impl AgentConfig {
    /// Returns the address of the agent beside a target.
    pub(super) fn agent_of(&self, target: SocketAddr) -> SocketAddr {
        SocketAddr::new(target.ip(), self.peer_address.port())
    }
}

/// Runs an agent until SIGTERM.
///
/// `target_call` makes a call to a target's control interface, `store_call` one to the platform's
/// store. Returns an error if the address cannot be bound or the signal handler not installed.
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
    StoreFuture: Future<Output = StoreAnswer> + Send + 'static,
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
    tokio::spawn(report_pace(
        config,
        link.clone(),
        store_call,
        socket.clone(),
        log.clone(),
    ));
    let mut stop = signal(SignalKind::terminate())?;
    let mut buffer = vec![0; MAX_DATAGRAM_LEN];
    let queries = Arc::new(Semaphore::new(MAX_QUERIES));
    let orders = Arc::new(Semaphore::new(MAX_ORDERS));
    loop {
        let received = tokio::select! {
            received = socket.recv_from(&mut buffer) => received,
            _ = stop.recv() => break,
        };
        let Ok((len, from)) = received else {
            tokio::time::sleep(READ_RETRY_DELAY).await;
            continue;
        };
        let (keeper, socket) = (keeper.clone(), socket.clone());
        match PeerMessage::decode(&buffer[..len]) {
            Some(PeerMessage::Ask(query)) => spawn_within(&queries, &log, from, async move {
                reply(&socket, from, keeper.state(query).await).await;
            }),
            Some(PeerMessage::MayArm(query)) => spawn_within(&queries, &log, from, async move {
                reply(&socket, from, keeper.may_arm(query).await).await;
            }),
            Some(PeerMessage::Order(order)) => {
                let execution = execute_order(keeper, socket, from, order);
                spawn_within(&orders, &log, from, execution);
            }
            Some(PeerMessage::Relayed(relayed)) => {
                forward_order(&socket, &relayed).await;
                let RelayedOrder { leader, order, .. } = relayed;
                let execution = execute_order(keeper, socket, leader, order);
                spawn_within(&orders, &log, from, execution);
            }
            Some(PeerMessage::State(state)) => {
                table.lock().record_state(from, *state, Instant::now());
            }
            Some(_) | None => {
                debug!(log, "unexpected datagram"; "from" => %from, "len" => len);
            }
        }
    }
    info!(log, "stopped");
    Ok(())
}

/// Spawns the answer to a datagram; drops the datagram while too many are answered, as a lost one
/// is sent again.
fn spawn_within(
    limit: &Arc<Semaphore>,
    log: &Logger,
    from: SocketAddr,
    answer: impl Future<Output = ()> + Send + 'static,
) {
    let Ok(permit) = limit.clone().try_acquire_owned() else {
        warn!(log, "datagram dropped"; "from" => %from, "reason" => "too many at once");
        return;
    };
    tokio::spawn(async move {
        answer.await;
        drop(permit);
    });
}

/// Forwards a relayed order to its receivers.
async fn forward_order(socket: &UdpSocket, relayed: &RelayedOrder) {
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
        // The leader resends the order to agents that do not answer.
        let _ = socket.send_to(&bytes, receiver).await;
    }
}

/// Sends an order to the rank and the resulting report to the leader; if the order starts a copy,
/// sends another report once it is complete.
async fn execute_order<Call, Reply>(
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

/// Reports the local target's pace to all entries while it is slow.
async fn report_pace<TargetCall, TargetFuture, StoreCall, StoreFuture>(
    config: Arc<AgentConfig>,
    link: Arc<RankLink<TargetCall>>,
    store_call: StoreCall,
    socket: Arc<UdpSocket>,
    log: Logger,
) where
    TargetCall: Fn(SocketAddr, TargetRequest) -> TargetFuture,
    TargetFuture: Future<Output = Result<TargetReply, CallError>>,
    StoreCall: Fn(StoreRequest) -> StoreFuture,
    StoreFuture: Future<Output = StoreAnswer>,
{
    let mut entries: Vec<SocketAddr> = Vec::new();
    let mut read_at: Option<Instant> = None;
    loop {
        tokio::time::sleep(PACE_REPORT_PERIOD).await;
        let Some(report) = link
            .report()
            .await
            .filter(|report| SLOW_PACE <= report.pace)
        else {
            continue;
        };
        let now = Instant::now();
        if read_at.is_none_or(|at| at + MAX_ENTRIES_AGE <= now) {
            let answer = store_call(StoreRequest::Newest(StoreTopic::Peers)).await;
            match answer.result {
                Ok(StoreReply::Records(delta)) => {
                    read_at = Some(now);
                    let records = peer_records(&delta, &log);
                    entries = records.iter().map(|record| record.address).collect();
                    info!(log, "target slow"; "pace" => report.pace, "entries" => entries.len());
                }
                Ok(_) => {}
                Err(err) => warn!(log, "store call failed"; "topic" => "peers", "fault" => %err),
            }
        }
        let bytes = PeerMessage::Pace(config.target_address, report.pace).encode();
        for entry in &entries {
            // A lost message is superseded by the next one.
            let _ = socket.send_to(&bytes, entry).await;
        }
    }
}

async fn reply(socket: &UdpSocket, to: SocketAddr, state: Option<RankState>) {
    let Some(state) = state else { return };
    let bytes = PeerMessage::State(Box::new(state)).encode();
    // The leader repeats a query that stays unanswered.
    let _ = socket.send_to(&bytes, to).await;
}
