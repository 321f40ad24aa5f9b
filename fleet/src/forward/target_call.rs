//! One dispatch of a request to a target.

use http::{HeaderValue, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;

use crate::prelude::*;
use crate::request::AttemptOutcome;
use crate::routing::TargetPick;

use super::header_names::HeaderNames;
use super::request_head::RequestHead;
use super::response_head::ResponseHead;
use super::target_pool::{PooledSender, TargetPool};

/// One dispatch of a request to a target.
#[derive(Debug)]
pub struct TargetCall<'a> {
    /// The caller's head.
    pub head: &'a RequestHead,
    /// The caller's body.
    pub body: Bytes,
    /// The target.
    pub pick: &'a TargetPick,
    /// The client account, where the route has one.
    pub account: Option<&'a str>,
    /// The last event that the caller has or that was passed on to it.
    pub last_event_id: Option<u64>,
    /// The time in which the target may work.
    pub time_left: Duration,
    /// The time in which the head of the answer must come.
    pub head_timeout: Duration,
}

/// The start of a target's answer.
#[derive(Debug)]
pub struct TargetResponse {
    /// The head, as it goes to the caller.
    pub head: ResponseHead,
    body: Incoming,
    connection: PooledSender,
    idle: Option<Duration>,
}

/// What a piece of an answer's body is.
#[derive(Debug, PartialEq, Eq)]
pub enum BodyPiece {
    /// Bytes.
    Data(Bytes),
    /// The body is whole.
    End,
    /// The connection broke before the body's end.
    Broken,
}

impl TargetResponse {
    /// Returns the next piece of the body.
    pub async fn next_piece(&mut self) -> BodyPiece {
        loop {
            match self.body.frame().await {
                None => return BodyPiece::End,
                Some(Err(_)) => return BodyPiece::Broken,
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return BodyPiece::Data(data);
                    }
                }
            }
        }
    }

    /// Returns the whole body, or `None` where it broke off.
    pub async fn read_body(&mut self) -> Option<Bytes> {
        let mut parts: SmallVec<[Bytes; 4]> = SmallVec::new();
        loop {
            match self.next_piece().await {
                BodyPiece::Data(data) => parts.push(data),
                BodyPiece::End => break,
                BodyPiece::Broken => return None,
            }
        }
        if parts.len() == 1 {
            return parts.pop();
        }
        Some(parts.concat().into())
    }

    /// Keeps the connection for later requests after a whole body.
    pub fn keep_connection(self, pool: &TargetPool, pick: &TargetPick) {
        pool.keep(pick.address, self.connection, self.idle);
    }
}

/// Sends a request to a target and returns the start of its answer.
///
/// The outcome otherwise tells whether the target may have run the request.
pub async fn call_target(
    call: &TargetCall<'_>,
    pool: &TargetPool,
    names: &HeaderNames,
) -> Result<TargetResponse, AttemptOutcome> {
    let mut connection = pool.take_idle(call.pick.address, Instant::now());
    let mut request = build_request(call, names);
    loop {
        let mut kept = match connection.take() {
            Some(kept) => kept,
            None => pool
                .connect(call.pick.address, call.time_left)
                .await
                .ok_or(AttemptOutcome::NotSent)?,
        };
        let sending = kept.sender.try_send_request(request);
        let response = match tokio::time::timeout(call.head_timeout, sending).await {
            Err(_) => return Err(AttemptOutcome::Silent),
            Ok(Ok(response)) => response,
            Ok(Err(mut err)) => match err.take_message() {
                // The connection closed before any byte of the request was written.
                Some(unsent) => {
                    request = unsent;
                    continue;
                }
                None => return Err(AttemptOutcome::Unknown),
            },
        };
        return read_head(response, kept, call, names);
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

fn read_head(
    response: http::Response<Incoming>,
    connection: PooledSender,
    call: &TargetCall<'_>,
    names: &HeaderNames,
) -> Result<TargetResponse, AttemptOutcome> {
    let (parts, body) = response.into_parts();
    let echoed = parts
        .headers
        .get(&names.attempt_id)
        .and_then(|value| value.to_str().ok());
    let is_foreign = echoed.is_some_and(|id| id != &*call.head.attempt_id);
    if is_foreign {
        return Err(AttemptOutcome::Unknown);
    }
    let disclaims = parts.status == StatusCode::MISDIRECTED_REQUEST
        || parts.headers.contains_key(&names.not_run);
    if disclaims {
        return Err(AttemptOutcome::NotRun);
    }
    if !is_own_answer(parts.status, &parts.headers, names) {
        return Err(AttemptOutcome::Unknown);
    }
    let idle = keep_alive_timeout(&parts.headers);
    Ok(TargetResponse {
        head: ResponseHead::new(parts.status, parts.headers),
        body,
        connection,
        idle,
    })
}

/// Returns whether a head is that of an answer of the target's own: a success bears its signature,
/// and bodies are not encoded, as callers ask for no encoding.
fn is_own_answer(status: StatusCode, headers: &http::HeaderMap, names: &HeaderNames) -> bool {
    let whole = !headers.contains_key(http::header::CONTENT_ENCODING);
    let signed = headers.contains_key(&names.signature);
    whole && (signed || !status.is_success()) && !status.is_informational()
}

fn keep_alive_timeout(headers: &http::HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let timeout = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok().map(Duration::from_secs)
}
