//! Accepts and serves the connections of callers.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use slog::{debug, info, warn};
use tokio::net::{TcpListener, TcpStream};

use crate::catalog::CallerLimits;
use crate::forward::set_user_timeout;
use crate::prelude::*;

use super::entry_state::EntryState;
use super::request_run::run_request;

/// The lower bound of the limit on a connection's read buffer, in bytes: hyper accepts no smaller
/// limit, and a larger one costs memory on small VMs.
const MIN_READ_BUFFER: usize = 8_192;

/// How often a connection is checked for the idle timeout.
const IDLE_CHECK_PERIOD: Duration = Duration::from_secs(2);

/// Accepts connections until new requests are refused; open ones then finish on their own tasks.
pub async fn serve_callers(
    listener: TcpListener,
    state: Arc<EntryState>,
    n_open: Arc<AtomicUsize>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = state.drain.closed() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let state = state.clone();
                let open = CountGuard::new(&n_open);
                tokio::spawn(async move {
                    serve_connection(stream, state).await;
                    drop(open);
                });
            }
            Err(err) => {
                // Probably out of file descriptors; some become free as connections end.
                warn!(state.log, "caller not accepted"; "error" => %err);
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

/// Counts one open connection or running request until dropped.
struct CountGuard(Arc<AtomicUsize>);

impl CountGuard {
    fn new(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count.clone())
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Serves a connection until it ends, is idle for too long, or new requests are refused.
async fn serve_connection(stream: TcpStream, state: Arc<EntryState>) {
    // Without this option, an event waits for the acknowledgement of earlier ones.
    let _ = stream.set_nodelay(true);
    set_user_timeout(&stream);
    let caller = stream.peer_addr().ok();
    let n_running = Arc::new(AtomicUsize::new(0));
    let n_served = Arc::new(AtomicU64::new(0));
    let service = {
        let (state, n_running, n_served) = (state.clone(), n_running.clone(), n_served.clone());
        service_fn(move |request| {
            let running = CountGuard::new(&n_running);
            n_served.fetch_add(1, Ordering::Relaxed);
            let state = state.clone();
            async move {
                let response = run_request(state, request).await;
                drop(running);
                Ok::<_, Infallible>(response)
            }
        })
    };
    let limits = caller_limits(&state);
    let connection = http1::Builder::new()
        .max_buf_size(limits.header_bytes.max(MIN_READ_BUFFER))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let mut idle = IdleTimer::default();
    let reason = loop {
        tokio::select! {
            ended = connection.as_mut() => {
                return record_end(&state, &n_served, caller, "caller", ended);
            }
            () = state.drain.closed() => break "stopping",
            () = tokio::time::sleep(IDLE_CHECK_PERIOD) => {
                let n_served = n_served.load(Ordering::Relaxed);
                let is_busy = 0 < n_running.load(Ordering::Relaxed);
                let timeout = caller_limits(&state).idle_timeout;
                if idle.is_over(n_served, is_busy, timeout) {
                    break "idle";
                }
            }
        }
    };
    connection.as_mut().graceful_shutdown();
    let ended = connection.await;
    record_end(&state, &n_served, caller, reason, ended);
}

/// Logs and counts the end of a connection: who ended it, or the error that did.
fn record_end(
    state: &EntryState,
    n_served: &AtomicU64,
    caller: Option<SocketAddr>,
    reason: &'static str,
    ended: hyper::Result<()>,
) {
    let n_served = n_served.load(Ordering::Relaxed);
    let caller = caller.map(|address| address.to_string());
    let reason = match ended {
        Ok(()) => {
            debug!(state.log, "caller connection ended"; "caller" => caller, "reason" => reason,
                "requests" => n_served);
            reason
        }
        Err(err) => {
            let cause = std::error::Error::source(&err).map(ToString::to_string);
            info!(state.log, "caller connection failed"; "caller" => caller, "error" => %err,
                "cause" => cause, "requests" => n_served);
            "failed"
        }
    };
    let ends = &state.metrics.connection_ends;
    ends.with_label_values(&[reason]).inc();
}

fn caller_limits(state: &EntryState) -> CallerLimits {
    state
        .catalog
        .load()
        .as_ref()
        .map_or_else(CallerLimits::default, |catalog| catalog.limits)
}

/// Detects a connection without requests for longer than the idle timeout.
#[derive(Debug, Default)]
struct IdleTimer {
    seen: Option<(u64, Instant)>,
}

impl IdleTimer {
    fn is_over(&mut self, n_served: u64, is_busy: bool, timeout: Duration) -> bool {
        let now = Instant::now();
        match self.seen {
            Some((seen, at)) if seen == n_served && !is_busy => at + timeout <= now,
            _ => {
                self.seen = Some((n_served, now));
                false
            }
        }
    }
}
