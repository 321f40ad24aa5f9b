//! Permits to send requests to targets with a limit, from the entries that share the limits out.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU32, Ordering};

use parking_lot::Mutex;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;

use crate::peers::{LimitHolder, LimitHolders, PeerMessage, PermitQuery, PermitReply};
use crate::prelude::*;
use crate::routing::{PermitDecision, RateBuckets};

/// The longest time for the reply to a query. It delays a dispatch.
const REPLY_TIMEOUT: Duration = Duration::from_millis(50);

/// How long a target gets no request of this entry after a query without a reply.
const UNANSWERED_PAUSE: Duration = Duration::from_millis(250);

/// Permits to send requests to targets with a limit, from the entries that share the limits out.
#[derive(Debug, Default)]
pub struct PermitTable {
    holders: Mutex<LimitHolders>,
    /// The limits that this entry shares out.
    buckets: Mutex<RateBuckets>,
    waiting: Mutex<HashMap<u32, oneshot::Sender<PermitDecision>>>,
    last_ticket: AtomicU32,
    socket: OnceLock<Arc<UdpSocket>>,
}

/// The answer to a query for a permit, and where it came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PermitAnswer {
    /// Whether the request may be sent.
    pub decision: PermitDecision,
    /// The source, for logs and metrics.
    pub source: PermitSource,
}

/// Where the answer to a query for a permit came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum PermitSource {
    /// This entry.
    #[display("own")]
    Own,
    /// Another entry.
    #[display("peer")]
    Peer,
    /// No reply came in time.
    #[display("no-reply")]
    NoReply,
}

impl PermitTable {
    /// Sets the socket for queries; without one, this entry shares out all limits itself.
    pub fn set_socket(&self, socket: Arc<UdpSocket>) {
        // A process has one socket, and sets it once.
        let _ = self.socket.set(socket);
    }

    /// Replaces the entries that share out the limits.
    pub fn set_holders(&self, holders: LimitHolders) {
        *self.holders.lock() = holders;
    }

    /// Asks for a permit to send one request to a target with a limit, in requests per second.
    pub async fn ask(&self, target: u32, rate: f32, time_left: Duration) -> PermitAnswer {
        let holder = self.holders.lock().holder_of(target);
        match (holder, self.socket.get()) {
            (LimitHolder::Peer(address), Some(socket)) => {
                let query = PermitQuery {
                    ticket: self.last_ticket.fetch_add(1, Ordering::Relaxed),
                    target,
                    rate,
                };
                let timeout = REPLY_TIMEOUT.min(time_left);
                self.ask_peer(socket, address, query, timeout).await
            }
            _ => PermitAnswer {
                decision: self.take(target, rate, Instant::now()),
                source: PermitSource::Own,
            },
        }
    }

    async fn ask_peer(
        &self,
        socket: &UdpSocket,
        address: SocketAddr,
        query: PermitQuery,
        timeout: Duration,
    ) -> PermitAnswer {
        let (sender, receiver) = oneshot::channel();
        self.waiting.lock().insert(query.ticket, sender);
        let _waiter = PermitWaiter {
            table: self,
            ticket: query.ticket,
        };
        // A query that cannot be sent is one without a reply.
        let _ = socket.try_send_to(&PeerMessage::AskPermit(query).encode(), address);
        match tokio::time::timeout(timeout, receiver).await {
            Ok(Ok(decision)) => PermitAnswer {
                decision,
                source: PermitSource::Peer,
            },
            Ok(Err(_)) | Err(_) => PermitAnswer {
                decision: PermitDecision::Full(UNANSWERED_PAUSE),
                source: PermitSource::NoReply,
            },
        }
    }

    /// Decides a query of another entry; `rate` is the target's limit in requests per second.
    pub fn decide(&self, query: &PermitQuery, rate: f32, now: Instant) -> PermitReply {
        let is_own = self.holders.lock().holder_of(query.target) == LimitHolder::Own;
        let decision = match is_own {
            true => self.take(query.target, rate, now),
            // The entries disagree for a moment on who shares this limit out.
            false => PermitDecision::Full(UNANSWERED_PAUSE),
        };
        PermitReply {
            ticket: query.ticket,
            decision,
        }
    }

    /// Passes a reply on to the request that waits for it.
    pub fn receive(&self, reply: &PermitReply) {
        if let Some(sender) = self.waiting.lock().remove(&reply.ticket) {
            // The request may have ended meanwhile.
            let _ = sender.send(reply.decision);
        }
    }

    fn take(&self, target: u32, rate: f32, now: Instant) -> PermitDecision {
        let share = self.holders.lock().share;
        let mut buckets = self.buckets.lock();
        buckets.take(target, rate.into(), share, now)
    }
}

/// A query that waits for its reply until dropped.
struct PermitWaiter<'a> {
    table: &'a PermitTable,
    ticket: u32,
}

impl Drop for PermitWaiter<'_> {
    fn drop(&mut self) {
        self.table.waiting.lock().remove(&self.ticket);
    }
}
