//! Kept connections to targets.

use std::collections::HashMap;
use std::net::SocketAddr;

use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::prelude::*;

/// The longest time for a connection to come about.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// The longest time that an idle connection is kept where the target states none.
const DEFAULT_IDLE: Duration = Duration::from_millis(1_500);

/// The time before a target's own idle timeout at which a connection is given up, so that a
/// request does not cross its close.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// The time without an acknowledgement after which the system gives up a connection.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The idle connections that are kept to one target.
const IDLE_CONNECTIONS: usize = 8;

/// Kept connections to targets.
#[derive(Debug, Default)]
pub struct TargetPool {
    idle: Mutex<HashMap<SocketAddr, Vec<IdleSender>>>,
}

/// A connection that takes requests; it closes where it is dropped.
#[derive(Debug)]
pub struct PooledSender {
    /// The sending half.
    pub sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
}

impl Drop for PooledSender {
    fn drop(&mut self) {
        // Closes at once, so that the target stops work on a request that nobody waits for.
        self.task.abort();
    }
}

#[derive(Debug)]
struct IdleSender {
    sender: PooledSender,
    expires_at: Instant,
}

impl TargetPool {
    /// Returns a kept connection to a target, the one used last first.
    pub fn take_idle(&self, address: SocketAddr, now: Instant) -> Option<PooledSender> {
        let mut idle = self.idle.lock();
        let senders = idle.get_mut(&address)?;
        while let Some(kept) = senders.pop() {
            if now < kept.expires_at && kept.sender.sender.is_ready() {
                return Some(kept.sender);
            }
        }
        None
    }

    /// Keeps a connection after an answer whose head named the target's idle timeout.
    pub fn keep(&self, address: SocketAddr, sender: PooledSender, idle: Option<Duration>) {
        if sender.sender.is_closed() {
            return;
        }
        let idle = match idle {
            Some(idle) => idle.saturating_sub(IDLE_MARGIN),
            None => DEFAULT_IDLE,
        };
        let now = Instant::now();
        let mut all = self.idle.lock();
        let senders = all.entry(address).or_default();
        senders.retain(|kept| now < kept.expires_at && !kept.sender.sender.is_closed());
        if senders.len() < IDLE_CONNECTIONS {
            let expires_at = now + idle;
            senders.push(IdleSender { sender, expires_at });
        }
    }

    /// Closes the idle connections whose time is over.
    pub fn sweep(&self, now: Instant) {
        let mut all = self.idle.lock();
        for senders in all.values_mut() {
            senders.retain(|kept| now < kept.expires_at && !kept.sender.sender.is_closed());
        }
        all.retain(|_, senders| !senders.is_empty());
    }

    /// Opens a connection.
    pub async fn connect(&self, address: SocketAddr, time_left: Duration) -> Option<PooledSender> {
        let limit = CONNECT_TIMEOUT.min(time_left);
        let connecting = async {
            let stream = TcpStream::connect(address).await.ok()?;
            stream.set_nodelay(true).ok()?;
            set_user_timeout(&stream);
            // A request that is given up must not reach its target later: without a reset, bytes
            // held up by a partition are sent on after the connection was closed.
            socket2::SockRef::from(&stream)
                .set_linger(Some(Duration::ZERO))
                .ok()?;
            http1::handshake(TokioIo::new(stream)).await.ok()
        };
        let (sender, connection) = tokio::time::timeout(limit, connecting).await.ok()??;
        let task = tokio::spawn(async move {
            // Requests in progress see the error; an idle connection may end as it likes.
            let _ = connection.await;
        });
        let task = task.abort_handle();
        Some(PooledSender { sender, task })
    }
}

/// Lets the system report a connection whose other side has fallen silent.
pub(crate) fn set_user_timeout(stream: &TcpStream) {
    let socket = socket2::SockRef::from(stream);
    // Without the option a silent peer is still found by the timeouts of the requests.
    let _ = socket.set_tcp_user_timeout(Some(SILENCE_TIMEOUT));
}
