//! One dispatch of a request to a target.

use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderValue, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};

use crate::prelude::*;
use crate::request::AttemptOutcome;
use crate::routing::{LimitNotice, TargetPick};

use super::byte_budget::{BodyBuffer, ByteBudget, ReadCut, ReadError};
use super::header_names::HeaderNames;
use super::request_head::RequestHead;
use super::response_head::ResponseHead;
use super::target_pool::{PooledConnection, TargetPool};

/// One dispatch of a request to a target.
#[derive(Debug)]
pub struct TargetCall<'a> {
    /// The head of the caller's request.
    pub head: &'a RequestHead,
    /// The body of the caller's request.
    pub body: Bytes,
    /// The chosen target.
    pub pick: &'a TargetPick,
    /// The client account, where the caller's key resolves to one.
    pub account: Option<&'a str>,
    /// The id of the last event that the caller has received, also through this entry.
    pub last_event_id: Option<u64>,
    /// The time left for the target to run the request, and for the head of its response to arrive.
    pub time_left: Duration,
}

/// A target's response, with its head read and its body still to be read.
#[derive(Debug)]
pub struct TargetResponse {
    /// The head, as it is sent to the caller.
    pub head: ResponseHead,
    /// Whether the body is empty or ends by its length or its chunks, not with the connection.
    pub is_delimited: bool,
    /// What the head tells of the target's limit.
    pub limit: LimitNotice,
    body: Incoming,
    connection: PooledConnection,
    idle_timeout: Option<Duration>,
}

/// A chunk of a response's body, or how the body ended.
#[derive(Debug, PartialEq, Eq)]
pub enum BodyChunk {
    /// Bytes of the body.
    Data(Bytes),
    /// The body is complete.
    End,
    /// The connection failed before the end of the body.
    Broken,
}

/// Why a target returned no response that may be forwarded.
#[derive(Clone, Copy, Debug)]
pub struct CallFailure {
    /// Whether the target may have run the request.
    pub outcome: AttemptOutcome,
    /// The limit that the head exceeded, if it did.
    pub cut: Option<ReadCut>,
    /// What the head tells of the target's limit.
    pub limit: LimitNotice,
}

impl From<AttemptOutcome> for CallFailure {
    fn from(outcome: AttemptOutcome) -> Self {
        Self {
            outcome,
            cut: None,
            limit: LimitNotice::Unknown,
        }
    }
}

/// The limit on the body of one response, in bytes: twice the largest body that callers may send by
/// default.
const MAX_BODY_BYTES: usize = 8 << 20;

impl TargetResponse {
    /// Returns the next chunk of the body.
    pub async fn next_chunk(&mut self) -> BodyChunk {
        loop {
            self.connection.meter.begin_part();
            match self.body.frame().await {
                None => {
                    self.connection.meter.end();
                    return BodyChunk::End;
                }
                Some(Err(_)) => return BodyChunk::Broken,
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return BodyChunk::Data(data);
                    }
                }
            }
        }
    }

    /// Reads the rest of the body.
    pub async fn read_body(&mut self, budget: &Arc<ByteBudget>) -> Result<Bytes, ReadError> {
        let mut buffer = BodyBuffer::new(budget, MAX_BODY_BYTES);
        let meter = &self.connection.meter;
        let read = buffer.read_parts(&mut self.body, || meter.begin_part());
        read.await.map_err(|err| match meter.cut_body() {
            Some(cut) => ReadError::Cut(cut),
            None => err,
        })?;
        meter.end();
        Ok(buffer.finish())
    }

    /// Keeps the connection for later requests; the body must have been read completely.
    pub fn keep_connection(self, pool: &TargetPool, pick: &TargetPick) {
        pool.keep(pick.address, self.connection, self.idle_timeout);
    }
}

/// Sends a request to a target and returns its response with the head read.
///
/// The error tells whether the target may have run the request. One without an id goes out on a new
/// connection, as its response cannot be told from an earlier one.
pub async fn call_target(
    call: &TargetCall<'_>,
    pool: &TargetPool,
    names: &HeaderNames,
) -> Result<TargetResponse, CallFailure> {
    let mut idle_connection = match call.head.headers.contains_key(&names.attempt_id) {
        true => pool.take_idle(call.pick.address, Instant::now()),
        false => None,
    };
    let mut request = build_request(call, names);
    loop {
        let mut connection = match idle_connection.take() {
            Some(connection) => connection,
            None => pool
                .connect(call.pick.address, call.time_left)
                .await
                .ok_or(AttemptOutcome::NotSent)?,
        };
        let is_first = !std::mem::replace(&mut connection.is_used, true);
        connection.meter.begin();
        let sending = connection.sender.try_send_request(request);
        let response = match tokio::time::timeout(call.time_left, sending).await {
            Err(_) => return Err(AttemptOutcome::Silent.into()),
            Ok(Ok(response)) => response,
            Ok(Err(mut err)) => match err.take_message() {
                // The connection closed before any byte of the request was written.
                Some(unsent) => {
                    request = unsent;
                    continue;
                }
                None => {
                    let outcome = match err.error().is_parse() {
                        true => AttemptOutcome::Unknown,
                        false => AttemptOutcome::Broken,
                    };
                    return Err(CallFailure {
                        outcome,
                        cut: connection.meter.cut(err.error()),
                        limit: LimitNotice::Unknown,
                    });
                }
            },
        };
        connection.meter.end();
        if !answers_request(response.headers(), &call.head.headers, names, is_first) {
            return Err(AttemptOutcome::Unknown.into());
        }
        return read_head(response, connection, names);
    }
}

fn build_request(call: &TargetCall<'_>, names: &HeaderNames) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.head.method.clone();
    *request.uri_mut() = call.head.uri.clone();
    let headers = request.headers_mut();
    headers.clone_from(&call.head.headers);
    let mut set = |name: &http::HeaderName, text: &str| {
        if let Ok(value) = HeaderValue::from_str(text) {
            headers.insert(name, value);
        }
    };
    set(&names.deadline_ms, &call.time_left.as_millis().to_string());
    set(&names.expected_target, &call.pick.id);
    if let Some(account) = call.account {
        set(&names.account, account);
    }
    if let Some(id) = call.last_event_id {
        set(&names.last_event_id, &id.to_string());
    }
    request
}

/// Returns whether a response answers the request that waits, and not an earlier one: it bears the
/// id of the request, or it bears none and nothing else was sent on the connection.
fn answers_request(
    response: &HeaderMap,
    request: &HeaderMap,
    names: &HeaderNames,
    is_first: bool,
) -> bool {
    let sent = request.get(&names.attempt_id);
    let mut echoed = response.get_all(&names.attempt_id).iter().peekable();
    match echoed.peek() {
        Some(_) => echoed.all(|id| Some(id) == sent),
        None => is_first,
    }
}

fn read_head(
    response: http::Response<Incoming>,
    connection: PooledConnection,
    names: &HeaderNames,
) -> Result<TargetResponse, CallFailure> {
    let (parts, body) = response.into_parts();
    if !is_protocol_status(parts.status) {
        // Nothing else in such a head is evidence, not even a statement that the request did not run.
        return Err(AttemptOutcome::Unknown.into());
    }
    if parts.status == StatusCode::MISDIRECTED_REQUEST {
        return Err(AttemptOutcome::NotRun.into());
    }
    let limit = limit_notice(&parts.headers, names);
    if parts.headers.contains_key(&names.not_run) {
        // A rejection may come from before the target's own part, so that it ends no limit.
        let limit = match limit {
            LimitNotice::Absent => LimitNotice::Unknown,
            limit => limit,
        };
        return Err(CallFailure {
            limit,
            ..AttemptOutcome::NotRun.into()
        });
    }
    if !is_target_response(parts.status, &parts.headers, names) {
        return Err(AttemptOutcome::Unknown.into());
    }
    let idle_timeout = keep_alive_timeout(&parts.headers);
    let is_delimited = body.is_end_stream()
        || [CONTENT_LENGTH, TRANSFER_ENCODING]
            .iter()
            .any(|name| parts.headers.contains_key(name));
    Ok(TargetResponse {
        is_delimited,
        limit,
        head: ResponseHead::new(parts.status, parts.headers),
        body,
        connection,
        idle_timeout,
    })
}

/// Returns whether a status belongs to a class of HTTP; the parser takes any three digits from 100 on.
fn is_protocol_status(status: StatusCode) -> bool {
    status.as_u16() < 600
}

/// Returns whether a response comes from the target itself.
///
/// A target signs its successful responses, and encodes no bodies, as callers request no encoding.
fn is_target_response(status: StatusCode, headers: &HeaderMap, names: &HeaderNames) -> bool {
    let is_unencoded = !headers.contains_key(http::header::CONTENT_ENCODING);
    let is_signed = headers.contains_key(&names.signature);
    is_unencoded && (is_signed || !status.is_success()) && !status.is_informational()
}

fn limit_notice(headers: &HeaderMap, names: &HeaderNames) -> LimitNotice {
    let value = headers.get(&names.limit);
    value.map_or(LimitNotice::Absent, |value| {
        LimitNotice::parse(value.as_bytes())
    })
}

fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let timeout = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok().map(Duration::from_secs)
}
