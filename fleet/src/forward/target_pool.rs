//! The pool of connections to targets.

use std::collections::HashMap;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;

use comfreyhead::connection::{SharedStream, StreamInput};
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use parking_lot::Mutex;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::prelude::*;

use super::head_meter::{HeadMeter, bounded_handshake};
use super::target_check::TargetCheck;

/// The longest time for a connection to be established.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// The longest time for a check whether a target accepts connections. It delays a retry.
const CHECK_TIMEOUT: Duration = Duration::from_millis(100);

/// The time within which a target's address that only passes connections on, or is kept open for a
/// target that has ended, closes a new one.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(20);

/// The time for which an idle connection is kept where the target states no idle timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The time before a target's own idle timeout at which a connection is closed, so that no request
/// is sent while the target closes it.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// The longest time for which an idle connection is kept, whatever its target states.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(600);

/// The most idle connections that are kept to one target.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// Idle connections to targets, kept for later requests.
#[derive(Debug, Default)]
pub struct TargetPool {
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

/// A connection to a target, which is closed when dropped.
#[derive(Debug)]
pub struct PooledConnection {
    /// The handle that sends requests.
    pub sender: SendRequest<Full<Bytes>>,
    /// The limit on the head of the next response.
    pub meter: HeadMeter,
    /// Whether a request was sent on it before, so that a response to an earlier one may follow.
    pub is_used: bool,
    task: AbortHandle,
    stream: SharedStream,
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        // Closes at once, so that the target stops running a request that nobody waits for.
        self.task.abort();
    }
}

impl PooledConnection {
    /// Waits until the other side closes the connection, at most for a time; returns whether it did.
    async fn closes_within(&self, time: Duration) -> bool {
        // Bytes that belong to no request are no close.
        let _ = tokio::time::timeout(time, self.stream.get().readable()).await;
        self.sender.is_closed() || self.stream.input() == StreamInput::Ended
    }
}

#[derive(Debug)]
struct IdleConnection {
    connection: PooledConnection,
    expires_at: Instant,
}

impl TargetPool {
    /// Takes the most recently used idle connection to a target that is still usable.
    pub fn take_idle(&self, address: SocketAddr, now: Instant) -> Option<PooledConnection> {
        let mut all = self.idle.lock();
        let connections = all.get_mut(&address)?;
        while let Some(idle) = connections.pop() {
            let connection = idle.connection;
            // The task of the connection may not have seen yet that the target has closed it, or
            // has sent bytes that belong to no request.
            let is_quiet = connection.stream.input() == StreamInput::Nothing;
            if now < idle.expires_at && connection.sender.is_ready() && is_quiet {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection after a response; `idle_timeout` is the one that its head states, if any.
    pub fn keep(
        &self,
        address: SocketAddr,
        connection: PooledConnection,
        idle_timeout: Option<Duration>,
    ) {
        if connection.sender.is_closed() {
            return;
        }
        let idle_timeout = match idle_timeout {
            Some(timeout) => timeout.saturating_sub(IDLE_MARGIN).min(MAX_IDLE_TIMEOUT),
            None => DEFAULT_IDLE_TIMEOUT,
        };
        let now = Instant::now();
        let mut all = self.idle.lock();
        let connections = all.entry(address).or_default();
        connections.retain(|idle| now < idle.expires_at && !idle.connection.sender.is_closed());
        if connections.len() < MAX_IDLE_CONNECTIONS {
            let expires_at = now + idle_timeout;
            connections.push(IdleConnection {
                connection,
                expires_at,
            });
        }
    }

    /// Closes the idle connections that have expired.
    pub fn sweep(&self, now: Instant) {
        let mut all = self.idle.lock();
        for connections in all.values_mut() {
            connections.retain(|idle| now < idle.expires_at && !idle.connection.sender.is_closed());
        }
        all.retain(|_, connections| !connections.is_empty());
    }

    /// Checks whether a target accepts a connection, which is kept for a later request.
    pub async fn check(&self, address: SocketAddr) -> TargetCheck {
        match tokio::time::timeout(CHECK_TIMEOUT, open(address)).await {
            Ok(Ok(connection)) if connection.closes_within(CLOSE_TIMEOUT).await => {
                TargetCheck::Closes
            }
            Ok(Ok(connection)) => {
                self.keep(address, connection, None);
                TargetCheck::Accepts
            }
            Ok(Err(err)) if err.kind() == ErrorKind::ConnectionRefused => TargetCheck::Refuses,
            Ok(Err(_)) | Err(_) => TargetCheck::Unclear,
        }
    }

    /// Opens a connection; `None` where that fails or takes too long.
    pub async fn connect(
        &self,
        address: SocketAddr,
        time_left: Duration,
    ) -> Option<PooledConnection> {
        let limit = CONNECT_TIMEOUT.min(time_left);
        let opened = tokio::time::timeout(limit, open(address)).await;
        opened.ok()?.ok()
    }
}

async fn open(address: SocketAddr) -> io::Result<PooledConnection> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    // An abandoned request must not reach its target later: without a reset, bytes that a network
    // partition delays are still delivered after the connection was closed.
    socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
    let stream = SharedStream::new(stream);
    let client = bounded_handshake(stream.clone()).await;
    let (sender, driver, meter) = client.map_err(io::Error::other)?;
    let task = tokio::spawn(async move {
        // Requests in progress receive the error; for an idle connection it does not matter.
        let _ = driver.await;
    });
    Ok(PooledConnection {
        sender,
        meter,
        is_used: false,
        task: task.abort_handle(),
        stream,
    })
}
