//! What is in progress on a caller's connection, and when the entry may close it.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll};

use comfreyhead::connection::SharedStream;
use parking_lot::Mutex;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, ReadBuf, Take};
use tokio::sync::Notify;

use crate::catalog::CallerLimits;
use crate::prelude::*;

use super::entry_state::EntryState;

/// The most bytes that are read at a time: with as many as its buffer holds, hyper would double it,
/// which costs memory on small VMs.
const MAX_READ_LEN: usize = 16_383;

/// The lower bound of the limit on heads, in bytes: a first read may bring as many at once.
const MIN_HEAD_LIMIT: usize = 8_192;

/// The time beyond the idle timeout for which a request that is on its way is awaited.
const IDLE_SLACK: Duration = Duration::from_secs(2);

/// The time until callers know of a shorter idle timeout after this process does.
const NOTICE_TIME: Duration = Duration::from_secs(10);

/// What is in progress on a caller's connection.
#[derive(Debug)]
pub(super) struct ConnectionActivity {
    progress: Mutex<ConnectionProgress>,
    /// Notified whenever a head begins to arrive, a request has been read or a response has ended.
    pub(super) changed: Notify,
}

#[derive(Debug)]
struct ConnectionProgress {
    n_requests: u64,
    n_running: usize,
    is_write_blocked: bool,
    /// Whether the running request has been read completely.
    is_read: bool,
    /// When the first byte of a head was read whose request has not begun.
    head_since: Option<Instant>,
    /// The bytes read since then.
    head_len: usize,
    is_head_too_long: bool,
    last_used_at: Instant,
    /// The idle timeout on which the caller may rely since the last use.
    idle_timeout: Duration,
    /// When callers know of a shorter timeout that is in force already.
    known_from: Option<Instant>,
    has_unread_body: bool,
}

/// What to do with a caller's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseStep {
    /// Nothing is in progress; close it.
    Close(&'static str),
    /// A head has taken too long to arrive.
    RefuseLateHead,
    /// A head is longer than the configuration in force allows.
    RefuseLongHead,
    /// Look again at this time, or when something changes.
    LookAt(Instant),
}

impl ConnectionActivity {
    /// Creates the state of a connection that has just been accepted.
    pub(super) fn new(limits: &CallerLimits) -> Self {
        let progress = ConnectionProgress {
            n_requests: 0,
            n_running: 0,
            is_write_blocked: false,
            is_read: false,
            head_since: None,
            head_len: 0,
            is_head_too_long: false,
            last_used_at: Instant::now(),
            idle_timeout: limits.idle_timeout,
            known_from: None,
            has_unread_body: false,
        };
        Self {
            progress: Mutex::new(progress),
            changed: Notify::new(),
        }
    }

    /// Records that a request has begun, until the guard is dropped.
    pub(super) fn begin_request(self: &Arc<Self>) -> ResponseGuard {
        let mut progress = self.progress.lock();
        progress.n_requests += 1;
        progress.n_running += 1;
        progress.is_read = false;
        progress.head_since = None;
        progress.head_len = 0;
        ResponseGuard(self.clone())
    }

    /// Records that the running request has been read completely.
    pub(super) fn end_read(&self) {
        self.progress.lock().is_read = true;
        self.changed.notify_one();
    }

    /// Returns whether a request has been read completely and its response has not been written.
    pub(super) fn owes_response(&self) -> bool {
        let progress = self.progress.lock();
        progress.is_read && 0 < progress.n_running
    }

    /// Records a use under the idle timeout in force; a shorter one than before holds only once
    /// callers know of it.
    pub(super) fn set_idle_timeout(&self, timeout: Duration, now: Instant) {
        let mut progress = self.progress.lock();
        if timeout < progress.idle_timeout {
            let known_from = *progress.known_from.get_or_insert(now + NOTICE_TIME);
            if now < known_from {
                return;
            }
        }
        progress.idle_timeout = timeout;
        progress.known_from = None;
    }

    /// Records that the rest of a request's body will not be read.
    pub(super) fn leave_body_unread(&self) {
        self.progress.lock().has_unread_body = true;
    }

    /// Returns whether the caller may still be sending a body that will not be read.
    pub(super) fn has_unread_body(&self) -> bool {
        self.progress.lock().has_unread_body
    }

    /// Returns the number of requests so far.
    pub(super) fn n_requests(&self) -> u64 {
        self.progress.lock().n_requests
    }

    /// Returns the number of requests whose responses have not been written.
    pub(super) fn n_running(&self) -> usize {
        self.progress.lock().n_running
    }

    /// Returns the time since the connection was last used.
    pub(super) fn idle_time(&self) -> Duration {
        self.progress.lock().last_used_at.elapsed()
    }

    /// Decides whether a connection that has no unread input may be closed.
    pub(super) fn close_step(
        &self,
        now: Instant,
        limits: &CallerLimits,
        entry: EntryPhase,
    ) -> CloseStep {
        let progress = self.progress.lock();
        let idle_timeout = progress.idle_timeout.max(limits.idle_timeout);
        let idle_end = progress.last_used_at + idle_timeout + IDLE_SLACK;
        let is_busy = 0 < progress.n_running || progress.is_write_blocked;
        if is_busy {
            return CloseStep::LookAt(now + IDLE_SLACK);
        }
        if progress.is_head_too_long {
            return CloseStep::RefuseLongHead;
        }
        if let Some(since) = progress.head_since {
            let head_end = since + limits.header_timeout;
            return match now < head_end {
                true => CloseStep::LookAt(head_end),
                false => CloseStep::RefuseLateHead,
            };
        }
        match entry {
            EntryPhase::Stopping => CloseStep::Close("stopping"),
            EntryPhase::Serving if now < idle_end => CloseStep::LookAt(idle_end),
            EntryPhase::Serving => CloseStep::Close("idle"),
        }
    }

    /// Returns how many bytes may be read next, under a limit on heads: none once a head that is not
    /// complete has reached it.
    fn read_len(&self, head_limit: usize) -> usize {
        let mut progress = self.progress.lock();
        if 0 < progress.n_running {
            return MAX_READ_LEN;
        }
        let left = head_limit.saturating_sub(progress.head_len);
        if left == 0 && !progress.is_head_too_long {
            progress.is_head_too_long = true;
            drop(progress);
            self.changed.notify_one();
        }
        left.min(MAX_READ_LEN)
    }

    fn record_read(&self, bytes: &[u8]) {
        let mut progress = self.progress.lock();
        let now = Instant::now();
        progress.last_used_at = now;
        if progress.n_running == 0 {
            progress.head_len += bytes.len();
        }
        // Some callers end a body with a line break that belongs to no request.
        let has_text = bytes.iter().any(|byte| !matches!(byte, b'\r' | b'\n'));
        if progress.n_running == 0 && progress.head_since.is_none() && has_text {
            progress.head_since = Some(now);
            drop(progress);
            self.changed.notify_one();
        }
    }

    fn record_write(&self, is_blocked: bool) {
        let mut progress = self.progress.lock();
        progress.is_write_blocked = is_blocked;
        if !is_blocked {
            progress.last_used_at = Instant::now();
        }
    }
}

/// Whether the entry accepts requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EntryPhase {
    Serving,
    Stopping,
}

/// Counts a request as running until its response has been written.
#[derive(Debug)]
pub(super) struct ResponseGuard(Arc<ConnectionActivity>);

impl Drop for ResponseGuard {
    fn drop(&mut self) {
        let mut progress = self.0.progress.lock();
        progress.n_running -= 1;
        progress.last_used_at = Instant::now();
        drop(progress);
        self.0.changed.notify_one();
    }
}

/// A caller's stream, whose reads and writes are recorded, and whose heads are read up to the limit
/// in force.
#[derive(Debug)]
pub(super) struct CallerStream {
    stream: Take<SharedStream>,
    activity: Arc<ConnectionActivity>,
    state: Arc<EntryState>,
}

impl CallerStream {
    pub(super) fn new(
        stream: SharedStream,
        activity: Arc<ConnectionActivity>,
        state: Arc<EntryState>,
    ) -> Self {
        Self {
            stream: stream.take(0),
            activity,
            state,
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let limit = self.state.caller_limits().header_bytes;
        let len = self.activity.read_len(limit.max(MIN_HEAD_LIMIT));
        if len == 0 {
            // The connection is closed as the activity has changed.
            return Poll::Pending;
        }
        self.stream.set_limit(len as u64);
        let n_before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buf);
        let read = &buf.filled()[n_before..];
        if !read.is_empty() {
            self.activity.record_read(read);
        }
        polled
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(context, &[IoSlice::new(bytes)])
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let stream = self.stream.get_mut();
        let polled = Pin::new(stream).poll_write_vectored(context, slices);
        self.activity.record_write(polled.is_pending());
        polled
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(self.stream.get_mut()).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(self.stream.get_mut()).poll_shutdown(context)
    }
}
