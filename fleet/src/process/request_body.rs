//! Reads the body of a caller's request.

use http::{HeaderValue, Response};
use hyper::body::{Body, Incoming};
use slog::warn;

use crate::forward::{BodyBuffer, CutScope, ReadCut, ReadError, RequestHead};
use crate::prelude::*;
use crate::request::DeniedReason;

use super::caller_body::CallerBody;
use super::entry_state::EntryState;
use super::request_run::{RETRY_STOPPING, local_response};

/// The longest time for a body to arrive while no route is known.
const DEFAULT_BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// The `Retry-After` time while the bodies of all requests together are too large: the caller may
/// retry at another entry.
const RETRY_NO_MEMORY: Duration = Duration::from_millis(200);

/// Why a body was not read to its end.
#[derive(Clone, Copy, Debug)]
pub(super) enum BodyRefusal {
    /// It exceeds a limit.
    Cut(ReadCut),
    /// It did not arrive in time.
    Late,
    /// It did not arrive before this process stops.
    Stopping,
    /// The caller disconnected, or its chunks are malformed.
    Broken,
}

/// Marks a response whose caller may still be sending the body of its request.
#[derive(Clone, Copy, Debug)]
pub(super) struct BodyUnread;

/// Reads the body of a request.
pub(super) async fn read_body(
    state: &EntryState,
    head: &RequestHead,
    mut body: Incoming,
    received_at: Instant,
) -> Result<Bytes, BodyRefusal> {
    let limits = state.catalog.load().as_ref().map(|catalog| catalog.limits);
    let limit = limits.unwrap_or_default().body_bytes;
    let body_end = match body.is_end_stream() {
        true => received_at,
        false => body_end(state, head, received_at),
    };
    let mut buffer = BodyBuffer::new(&state.buffers, limit);
    let reading = tokio::time::timeout_at(body_end, buffer.read(&mut body));
    let read = tokio::select! {
        biased;
        read = reading => read,
        () = state.drain.answers_due(state.grace()) => return Err(BodyRefusal::Stopping),
    };
    match read {
        Ok(Ok(())) => Ok(buffer.finish()),
        Ok(Err(ReadError::Cut(cut))) => Err(BodyRefusal::Cut(cut)),
        Ok(Err(ReadError::Broken(_))) => Err(BodyRefusal::Broken),
        Err(_) => Err(BodyRefusal::Late),
    }
}

/// Returns the time until which the body may arrive: the caller's deadline, or the end of the
/// longest timeout of any route, as the route may change until the body is there.
fn body_end(state: &EntryState, head: &RequestHead, received_at: Instant) -> Instant {
    let catalog = state.catalog.load();
    let longest = catalog
        .as_ref()
        .and_then(|catalog| catalog.longest_timeout());
    let longest = longest.unwrap_or(DEFAULT_BODY_TIMEOUT);
    let timeout = head.caller_timeout.unwrap_or(longest);
    received_at + timeout.min(longest)
}

impl BodyRefusal {
    /// Returns the response to the request; logs and counts it.
    pub(super) fn response(self, state: &EntryState, attempt_id: &str) -> Response<CallerBody> {
        let (answer, why) = match self {
            Self::Broken => {
                let answer = LocalResponse::Denied(DeniedReason::BadRequest);
                (answer, "body incomplete")
            }
            Self::Late => {
                let answer = LocalResponse::Incomplete(NotRunProof::never_sent());
                (answer, "body too late")
            }
            Self::Stopping => {
                let answer = LocalResponse::Refused(NotRunProof::never_sent(), RETRY_STOPPING);
                (answer, "body incomplete, stopping")
            }
            Self::Cut(cut) => {
                warn!(state.log, "read cut"; "request" => attempt_id, "bytes" => cut.n_read,
                    "limit" => cut.limit, "scope" => %cut.scope);
                state.metrics.count_cut("caller");
                refuse_cut(cut)
            }
        };
        leave_body_unread(local_response(state, attempt_id, answer, why))
    }
}

/// Marks a response to a request whose body is not read.
pub(super) fn leave_body_unread(mut response: Response<CallerBody>) -> Response<CallerBody> {
    let close = HeaderValue::from_static("close");
    let headers = response.headers_mut();
    headers.insert(http::header::CONNECTION, close);
    response.extensions_mut().insert(BodyUnread);
    response
}

fn refuse_cut(cut: ReadCut) -> (LocalResponse, &'static str) {
    match cut.scope {
        CutScope::Sum => {
            let refused = LocalResponse::Refused(NotRunProof::never_sent(), RETRY_NO_MEMORY);
            (refused, "bodies of all requests too large")
        }
        CutScope::Head | CutScope::Body | CutScope::Framing | CutScope::Event => {
            let answer = LocalResponse::Denied(DeniedReason::BodyTooLarge);
            (answer, "body limit")
        }
    }
}
