//! Orders on their way to ranks: through the agents beside them, or directly where these are silent.

use std::net::SocketAddr;

use parking_lot::Mutex;
use slog::{Logger, warn};
use tokio::net::UdpSocket;

use crate::expert::MapOrder;
use crate::peers::{PeerMessage, RelayedOrder, relay_batches};
use crate::prelude::*;

use super::leader_table::LeaderTable;
use super::rank_link::RankLink;
use super::store_access::{CallError, TargetReply, TargetRequest};

/// The time between two messages to one agent about the same order.
const ORDER_GAP: Duration = Duration::from_millis(40);

/// The time between two messages to one agent about the same map while many have not copied it:
/// that of the copy of the experts that may be new to a rank, after which agents answer again.
const MAP_GAP: Duration = Duration::from_millis(250);

/// The ranks that have not copied a map up to which the gap is that of other orders.
const FEW_RANKS: usize = 8;

/// The unanswered messages to an agent after which the leader orders its target directly.
const DIRECT_AFTER: u32 = 4;

/// Sends orders to ranks, and keeps what their agents tell.
pub(super) struct OrderSender<TargetCall> {
    /// The address to which agents answer.
    pub(super) own_address: SocketAddr,
    pub(super) target_call: TargetCall,
    pub(super) socket: Arc<UdpSocket>,
    /// What the agents tell.
    pub(super) table: Arc<Mutex<LeaderTable>>,
    pub(super) log: Logger,
}

impl<TargetCall, TargetFuture> OrderSender<TargetCall>
where
    TargetCall: Fn(SocketAddr, TargetRequest) -> TargetFuture + Clone + Send + Sync + 'static,
    TargetFuture: Future<Output = Result<TargetReply, CallError>> + Send + 'static,
{
    /// Sends a message once; what is lost is sent again by who waits for an answer.
    pub(super) async fn send(&self, agent: SocketAddr, message: &PeerMessage) {
        let _ = self.socket.send_to(&message.encode(), agent).await;
    }

    /// Returns the link to a target on another machine.
    pub(super) fn link_to(&self, target: SocketAddr) -> RankLink<TargetCall> {
        RankLink::new(target, self.target_call.clone(), self.log.clone())
    }

    /// Passes an order on to the agent beside a rank, or gives it directly where that is silent.
    pub(super) async fn send_order(
        &self,
        agent: SocketAddr,
        target: SocketAddr,
        order: MapOrder,
        now: Instant,
    ) {
        let Some(unanswered) = self.table.lock().note_sent(agent, ORDER_GAP, now) else {
            return;
        };
        // A lost order is sent again at the next look.
        self.send(agent, &PeerMessage::Order(order.clone())).await;
        self.order_directly(agent, target, order, unanswered);
    }

    /// Passes the order to copy a map on to the agents of all ranks that have not copied it.
    pub(super) async fn send_copies(
        &self,
        copies: Vec<(SocketAddr, SocketAddr, MapOrder)>,
        now: Instant,
    ) {
        let gap = match copies.len() <= FEW_RANKS {
            true => ORDER_GAP,
            false => MAP_GAP,
        };
        let Some((_, _, order)) = copies.first().cloned() else {
            return;
        };
        let mut agents = Vec::with_capacity(copies.len());
        for (agent, target, order) in copies {
            let Some(unanswered) = self.table.lock().note_sent(agent, gap, now) else {
                continue;
            };
            agents.push(agent);
            self.order_directly(agent, target, order, unanswered);
        }
        for (agent, receivers) in relay_batches(&agents) {
            let relayed = RelayedOrder {
                leader: self.own_address,
                receivers,
                order: order.clone(),
            };
            // A lost order is sent again after the gap.
            self.send(agent, &PeerMessage::Relayed(relayed)).await;
        }
    }

    /// Gives an order to a target whose agent has left some messages unanswered.
    fn order_directly(
        &self,
        agent: SocketAddr,
        target: SocketAddr,
        order: MapOrder,
        unanswered: u32,
    ) {
        if unanswered < DIRECT_AFTER || !unanswered.is_multiple_of(DIRECT_AFTER) {
            return;
        }
        warn!(self.log, "agent silent"; "agent" => %agent, "messages" => unanswered,
            "order" => order.kind.label());
        let link = self.link_to(target);
        let table = self.table.clone();
        tokio::spawn(async move {
            if let Some(report) = link.order(&order).await {
                table.lock().read(agent, report, Instant::now());
            }
        });
    }
}
