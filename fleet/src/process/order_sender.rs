//! Sends orders to ranks: through the agents beside them, or directly if these are silent.

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

/// The resend interval of an order to one agent.
const ORDER_RESEND_INTERVAL: Duration = Duration::from_millis(40);

/// The resend interval of the order to copy a map while many ranks have not copied it: the time
/// that a rank takes to copy its new experts, after which its agent reports again.
const MAP_RESEND_INTERVAL: Duration = Duration::from_millis(250);

/// The largest number of ranks without the map at which it is resent as often as other orders.
const FAST_RESEND_MAX_RANKS: usize = 8;

/// The leader sends an order directly to the target at each multiple of this number of orders that
/// the agent left unanswered.
const DIRECT_ORDER_INTERVAL: u32 = 4;

/// Sends orders to ranks, and records reports read from targets directly.
pub(super) struct OrderSender<TargetCall> {
    /// The address to which agents reply.
    pub(super) own_address: SocketAddr,
    pub(super) target_call: TargetCall,
    pub(super) socket: Arc<UdpSocket>,
    /// The last known state of the other ranks.
    pub(super) table: Arc<Mutex<LeaderTable>>,
    pub(super) log: Logger,
}

impl<TargetCall, TargetFuture> OrderSender<TargetCall>
where
    TargetCall: Fn(SocketAddr, TargetRequest) -> TargetFuture + Clone + Send + Sync + 'static,
    TargetFuture: Future<Output = Result<TargetReply, CallError>> + Send + 'static,
{
    /// Sends a message once; callers that wait for an answer resend it.
    pub(super) async fn send(&self, agent: SocketAddr, message: &PeerMessage) {
        let _ = self.socket.send_to(&message.encode(), agent).await;
    }

    /// Creates a link to a target on another machine.
    pub(super) fn link_to(&self, target: SocketAddr) -> RankLink<TargetCall> {
        RankLink::new(target, self.target_call.clone(), self.log.clone())
    }

    /// Sends an order to the agent beside a rank, and directly to the rank if the agent is silent.
    pub(super) async fn send_order(
        &self,
        agent: SocketAddr,
        target: SocketAddr,
        order: MapOrder,
        now: Instant,
    ) {
        let Some(n_unanswered) = self
            .table
            .lock()
            .count_order(agent, ORDER_RESEND_INTERVAL, now)
        else {
            return;
        };
        // A lost order is resent at a later tick.
        self.send(agent, &PeerMessage::Order(order.clone())).await;
        self.order_directly(agent, target, order, n_unanswered);
    }

    /// Sends the order to copy a map to the agents of all ranks that have not copied it.
    pub(super) async fn send_copies(
        &self,
        copies: Vec<(SocketAddr, SocketAddr, MapOrder)>,
        now: Instant,
    ) {
        let interval = match copies.len() <= FAST_RESEND_MAX_RANKS {
            true => ORDER_RESEND_INTERVAL,
            false => MAP_RESEND_INTERVAL,
        };
        let Some((_, _, order)) = copies.first().cloned() else {
            return;
        };
        let mut agents = Vec::with_capacity(copies.len());
        for (agent, target, order) in copies {
            let Some(n_unanswered) = self.table.lock().count_order(agent, interval, now) else {
                continue;
            };
            agents.push(agent);
            self.order_directly(agent, target, order, n_unanswered);
        }
        for (agent, receivers) in relay_batches(&agents) {
            let relayed = RelayedOrder {
                leader: self.own_address,
                receivers,
                order: order.clone(),
            };
            // A lost order is resent after the interval.
            self.send(agent, &PeerMessage::Relayed(relayed)).await;
        }
    }

    /// Sends an order directly to a target whose agent has left several orders unanswered.
    fn order_directly(
        &self,
        agent: SocketAddr,
        target: SocketAddr,
        order: MapOrder,
        n_unanswered: u32,
    ) {
        if n_unanswered < DIRECT_ORDER_INTERVAL
            || !n_unanswered.is_multiple_of(DIRECT_ORDER_INTERVAL)
        {
            return;
        }
        warn!(self.log, "agent silent"; "agent" => %agent, "messages" => n_unanswered,
            "order" => order.kind.label());
        let link = self.link_to(target);
        let table = self.table.clone();
        tokio::spawn(async move {
            if let Some(report) = link.order(&order).await {
                table.lock().record_report(agent, report, Instant::now());
            }
        });
    }
}
