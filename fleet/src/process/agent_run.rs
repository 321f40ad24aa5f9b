//! The agent process beside a target.

use std::net::SocketAddr;

use parking_lot::Mutex;
use slog::{Logger, debug, info};
use tokio::net::UdpSocket;
use tokio::signal::unix::{SignalKind, signal};

use crate::peers::{PeerMessage, RankState};
use crate::prelude::*;

use super::knowledge::Decoders;
use super::leader_table::LeaderTable;
use super::leader_task::Leader;
use super::rank_link::RankLink;
use super::store_access::{CallFault, StoreReply, StoreRequest, TargetReply, TargetRequest};

/// The largest datagram that is read, in bytes.
const LARGEST_DATAGRAM: usize = 60_000;

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
    TargetFuture: Future<Output = Result<TargetReply, CallFault>> + Send + 'static,
    StoreCall: Fn(StoreRequest) -> StoreFuture + Send + Sync + 'static,
    StoreFuture: Future<Output = Result<StoreReply, CallFault>> + Send + 'static,
{
    let config = Arc::new(config);
    let socket = Arc::new(UdpSocket::bind(config.peer_address).await?);
    let link = RankLink::new(config.target_address, target_call.clone(), log.clone());
    let link = Arc::new(link);
    let table = Arc::new(Mutex::new(LeaderTable::default()));
    info!(log, "started"; "role" => "agent", "target" => %config.target_address,
        "service" => &*config.service);
    let leader = Leader {
        config,
        link: link.clone(),
        target_call,
        store_call,
        socket: socket.clone(),
        table: table.clone(),
        log: log.clone(),
    };
    tokio::spawn(leader.run());
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
            Some(PeerMessage::Ask) => {
                let (link, socket) = (link.clone(), socket.clone());
                tokio::spawn(async move {
                    reply(&socket, from, link.state().await).await;
                });
            }
            Some(PeerMessage::Order(order)) => {
                let (link, socket) = (link.clone(), socket.clone());
                tokio::spawn(async move {
                    let report = link.order(&order).await;
                    let state = report.map(|report| RankState {
                        report,
                        details: None,
                    });
                    reply(&socket, from, state).await;
                });
            }
            Some(PeerMessage::State(state)) => {
                table.lock().hear(from, *state, Instant::now());
            }
            Some(PeerMessage::Beat(_)) | None => {
                debug!(log, "unexpected datagram"; "from" => %from, "len" => len);
            }
        }
    }
    info!(log, "stopped");
    Ok(())
}

async fn reply(socket: &UdpSocket, to: SocketAddr, state: Option<RankState>) {
    let Some(state) = state else { return };
    let bytes = PeerMessage::State(Box::new(state)).encode();
    // The asker asks again.
    let _ = socket.send_to(&bytes, to).await;
}
