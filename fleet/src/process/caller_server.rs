//! Accepts and serves the connections of callers.

use std::convert::Infallible;
use std::io::ErrorKind;
use std::net::{Shutdown, SocketAddr};
use std::panic::AssertUnwindSafe;
use std::pin::pin;
use std::sync::atomic::{AtomicUsize, Ordering};

use comfreyhead::connection::{GuardedBody, SharedStream, StreamInput};
use futures::FutureExt;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use slog::{debug, info, warn};
use tokio::net::{TcpListener, TcpStream};

use crate::prelude::*;

use super::connection_activity::{CallerStream, CloseStep, ConnectionActivity, EntryPhase};
use super::entry_state::EntryState;
use super::request_body::BodyUnread;
use super::request_run::{panicked_response, run_request};

/// The longest head under any configuration, in bytes. The limit in force is checked as a head is
/// read, as it may change while a connection is open.
const MAX_HEAD_LEN: usize = 1 << 20;

/// The time after which a connection is looked at again that was due to be closed and has input.
const INPUT_PERIOD: Duration = Duration::from_millis(1);

/// Why a connection is closed whose head takes too long to arrive.
const HEADER_TIMEOUT_REASON: &str = "header timeout";

/// Why a connection is closed whose head is longer than allowed.
const LONG_HEAD_REASON: &str = "head too long";

/// The response to a head that is longer than allowed.
const LONG_HEAD_RESPONSE: &[u8] =
    b"HTTP/1.1 431 Request Header Fields Too Large\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// The response to a head that takes too long to arrive: the status promises that nothing ran.
const HEADER_TIMEOUT_RESPONSE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// The shortest time without an acknowledgement after which a caller's connection is given up.
const MIN_USER_TIMEOUT: Duration = Duration::from_secs(60);

/// The time beyond the longest timeout of any route after which a caller's connection is given up.
const USER_TIMEOUT_MARGIN: Duration = Duration::from_secs(10);

/// The longest time for which the input after a refusal is discarded.
const DISCARD_TIME: Duration = Duration::from_secs(1);

/// The number of bytes that are discarded at a time.
const DISCARD_LEN: usize = 4_096;

/// The time after which connections are accepted again where that has failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts connections until new requests are refused; open ones then finish on their own tasks.
pub async fn serve_callers(
    listener: TcpListener,
    state: Arc<EntryState>,
    n_open: Arc<AtomicUsize>,
) {
    // The process must not end before the last connections are taken over.
    let accepting = CountGuard::new(&n_open);
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = state.drain.closed() => break,
        };
        match accepted {
            Ok((stream, _)) => spawn_connection(stream, &state, &n_open),
            Err(err) => {
                // Probably out of file descriptors; some become free as connections end.
                warn!(state.log, "caller not accepted"; "error" => %err);
                tokio::time::sleep(ACCEPT_PAUSE).await;
                if state.drain.is_closed(Instant::now()) {
                    break;
                }
            }
        }
    }
    // Connections that were established before are answered, too.
    tokio::time::sleep(INPUT_PERIOD).await;
    while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
        spawn_connection(stream, &state, &n_open);
    }
    drop(accepting);
}

fn spawn_connection(stream: TcpStream, state: &Arc<EntryState>, n_open: &Arc<AtomicUsize>) {
    let state = state.clone();
    let open = CountGuard::new(n_open);
    tokio::spawn(async move {
        serve_connection(stream, state).await;
        drop(open);
    });
}

/// Counts one open connection until dropped.
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

/// Serves a connection until it ends, or until nothing is in progress on it and it is idle for too
/// long or new requests are refused.
async fn serve_connection(stream: TcpStream, state: Arc<EntryState>) {
    // Without this option, an event waits for the acknowledgement of earlier ones.
    let _ = stream.set_nodelay(true);
    let caller = stream.peer_addr().ok();
    let stream = SharedStream::new(stream);
    let activity = Arc::new(ConnectionActivity::new(&state.caller_limits()));
    let service = {
        let (state, activity) = (state.clone(), activity.clone());
        service_fn(move |request| {
            let guard = activity.begin_request();
            let (state, activity) = (state.clone(), activity.clone());
            async move {
                let end_read = || activity.end_read();
                let running = run_request(state.clone(), request, end_read);
                let running = AssertUnwindSafe(running);
                let response = match running.catch_unwind().await {
                    Ok(response) => response,
                    Err(_) => panicked_response(&state),
                };
                if response.extensions().get::<BodyUnread>().is_some() {
                    activity.leave_body_unread();
                }
                activity.set_idle_timeout(state.caller_limits().idle_timeout, Instant::now());
                Ok::<_, Infallible>(response.map(|body| GuardedBody::new(body, guard)))
            }
        })
    };
    let caller_stream = CallerStream::new(stream.clone(), activity.clone(), state.clone());
    let connection = http1::Builder::new()
        .max_buf_size(MAX_HEAD_LEN)
        .serve_connection(TokioIo::new(caller_stream), service);
    let mut connection = pin!(connection);
    let mut phase = EntryPhase::Serving;
    let mut look_at = Instant::now();
    let mut owed_by = None;
    let reason = loop {
        // What has arrived is read before anything else is decided.
        tokio::select! {
            biased;
            ended = connection.as_mut() => {
                let is_unread = activity.has_unread_body()
                    || ended.as_ref().is_err_and(hyper::Error::is_parse);
                record_end(&state, &activity, caller, &stream, ended);
                if is_unread {
                    discard_input(&stream).await;
                }
                return;
            }
            // The connection itself does not look at its input while bytes of it lie unread.
            () = stream.closed(), if activity.owes_response() => {
                record_leaving(&state, &activity, caller, &stream);
                return;
            }
            () = state.drain.closed(), if phase == EntryPhase::Serving => {
                phase = EntryPhase::Stopping;
            }
            () = activity.changed.notified() => {}
            () = tokio::time::sleep_until(look_at) => {}
        }
        let version = state.version();
        if owed_by != Some(version) {
            owed_by = Some(version);
            set_user_timeout(&stream, &state);
        }
        let now = Instant::now();
        let reason = match activity.close_step(now, &state.caller_limits(), phase) {
            CloseStep::LookAt(at) => {
                look_at = at;
                continue;
            }
            CloseStep::Close(reason) => reason,
            CloseStep::RefuseLateHead => HEADER_TIMEOUT_REASON,
            // What is left of it lies unread.
            CloseStep::RefuseLongHead => break LONG_HEAD_REASON,
        };
        if stream.input() != StreamInput::Bytes {
            break reason;
        }
        info!(state.log, "caller connection kept"; "caller" => caller.map(|at| at.to_string()),
            "why" => "input at its end", "reason" => reason);
        look_at = now + INPUT_PERIOD;
    };
    close_connection(&state, &activity, caller, &stream, reason).await;
}

/// Ends a connection for a reason of the entry's own, and answers a head that is not complete.
async fn close_connection(
    state: &EntryState,
    activity: &ConnectionActivity,
    caller: Option<SocketAddr>,
    stream: &SharedStream,
    reason: &str,
) {
    let refusal = match reason {
        HEADER_TIMEOUT_REASON => Some(("408", HEADER_TIMEOUT_RESPONSE)),
        LONG_HEAD_REASON => Some(("431", LONG_HEAD_RESPONSE)),
        _ => None,
    };
    let input = refusal.map_or("none", |_| "part of a head");
    info!(state.log, "caller connection closed"; "caller" => caller.map(|at| at.to_string()),
        "reason" => reason, "input" => input, "requests" => activity.n_requests(),
        "idle_ms" => activity.idle_time().as_millis() as u64);
    count_end(state, reason);
    if let Some((status, response)) = refusal {
        let requests = &state.metrics.requests;
        requests.with_label_values(&["own", status]).inc();
        // Fails only where the caller has gone.
        let _ = stream.get().try_write(response);
        discard_input(stream).await;
    }
}

/// Ends the response and discards what the caller still sends: a close with unread input resets the
/// connection, and the caller may lose the response.
async fn discard_input(stream: &SharedStream) {
    let stream = stream.get();
    let _ = socket2::SockRef::from(stream).shutdown(Shutdown::Write);
    let discarding = async {
        let mut bytes = vec![0; DISCARD_LEN];
        while stream.readable().await.is_ok() {
            // Neither wait yields while input is there, and other connections have to be served.
            tokio::task::consume_budget().await;
            match stream.try_read(&mut bytes) {
                Ok(0) => return,
                Err(err) if err.kind() != ErrorKind::WouldBlock => return,
                _ => {}
            }
        }
    };
    // A caller that sends for longer does not read the response, either.
    let _ = tokio::time::timeout(DISCARD_TIME, discarding).await;
}

/// Logs and counts the end of a connection that the caller or an error ended.
fn record_end(
    state: &EntryState,
    activity: &ConnectionActivity,
    caller: Option<SocketAddr>,
    stream: &SharedStream,
    ended: hyper::Result<()>,
) {
    let n_requests = activity.n_requests();
    let caller = caller.map(|address| address.to_string());
    match ended {
        Ok(()) => {
            debug!(state.log, "caller connection ended"; "caller" => caller,
                "requests" => n_requests);
            count_end(state, "caller");
        }
        Err(err) => {
            let cause = std::error::Error::source(&err).map(ToString::to_string);
            info!(state.log, "caller connection failed"; "caller" => caller, "error" => %err,
                "cause" => cause, "requests" => n_requests, "running" => activity.n_running(),
                "input" => ?stream.input());
            count_end(state, "failed");
        }
    }
}

/// Logs and counts the end of a connection whose caller has left before its response.
fn record_leaving(
    state: &EntryState,
    activity: &ConnectionActivity,
    caller: Option<SocketAddr>,
    stream: &SharedStream,
) {
    info!(state.log, "caller connection failed"; "caller" => caller.map(|at| at.to_string()),
        "error" => "closed by the caller", "requests" => activity.n_requests(),
        "running" => activity.n_running(), "input" => ?stream.input());
    count_end(state, "left");
}

fn count_end(state: &EntryState, reason: &str) {
    let ends = &state.metrics.connection_ends;
    ends.with_label_values(&[reason]).inc();
}

/// Sets the time without an acknowledgement, or without room in the caller's buffer, after which the
/// operating system gives up a connection: none of its answers can be owed any more.
fn set_user_timeout(stream: &SharedStream, state: &EntryState) {
    let catalog = state.catalog.load();
    let longest = catalog
        .as_ref()
        .and_then(|catalog| catalog.longest_timeout());
    let timeout = longest.unwrap_or(MIN_USER_TIMEOUT) + USER_TIMEOUT_MARGIN;
    let socket = socket2::SockRef::from(stream.get());
    // Without the option, the connection is kept for longer.
    let _ = socket.set_tcp_user_timeout(Some(timeout.max(MIN_USER_TIMEOUT)));
}
