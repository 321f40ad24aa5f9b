//! Calls of plain services: idempotent lookups, and orders that run at most once.

use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde_json::Value;
use slog::info;
use tokio::sync::oneshot;
use uuid::Uuid;

use crate::connection::{
    CallerError, OUTCOME_HEADER, ResponseBody, WorkKind, json_reply, outcome_value,
};
use crate::prelude::*;
use crate::process::orders::{
    BodyDigest, FIRST_USE_HEADER, KeyHistory, KeyUse, OrderKey, OrderReply, ReplyReason, TryRequest,
};
use crate::process::routing::{LimitDecision, WorkCost, WorkSharing};
use crate::request::EventBody;
use crate::version::config::{CallConfig, CallKind, TargetRole};

use super::caller_api::{
    AuthenticatedCaller, admit, answer_timeout, end_error, read_json_object, set_outcome_headers,
    set_request_header,
};
use super::entry_process::EntryProcess;
use super::order_driver::EntryInput;
use super::request_run::{AcceptedRequest, AnswerPart, DeliveryMode, start_request};

/// The header that carries the idempotency key of an order.
const KEY_HEADER: &str = "idempotency-key";
/// The response header that says whether a caller may reuse the key.
const KEY_USE_HEADER: &str = "x-comfreyhead-key";
/// The cost of a call, in calls.
const CALL_COST: u64 = 1;

/// One call of a plain service.
struct ServiceCall<'a> {
    service: ServiceName,
    call: Arc<str>,
    config: &'a CallConfig,
    headers: HeaderMap,
    body: Value,
}

/// Handles a call of a plain service.
pub(super) async fn call_service(
    process: &Arc<EntryProcess>,
    caller: &AuthenticatedCaller,
    (service, call): (&str, &str),
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, CallerError> {
    let known = caller.index.version.content.services.get(service);
    let config = known
        .and_then(|service| service.calls.get(call))
        .ok_or_else(|| {
            let message = format!("the call {service}/{call} is not served here");
            CallerError::not_run(StatusCode::NOT_FOUND, "no_such_call", message)
        })?;
    let (head, body) = request.into_parts();
    let (body, _) = read_json_object(process, &head, body).await?;
    let (service, call) = (ServiceName::from(service), Arc::from(call));
    let service_call = ServiceCall {
        service,
        call,
        config,
        headers: head.headers,
        body,
    };
    match config.kind {
        CallKind::Lookup => run_lookup(process, caller, service_call).await,
        CallKind::Order => run_order(process, caller, service_call).await,
    }
}

async fn run_lookup(
    process: &Arc<EntryProcess>,
    caller: &AuthenticatedCaller,
    call: ServiceCall<'_>,
) -> Result<Response<ResponseBody>, CallerError> {
    admit(process, caller, CALL_COST)?;
    let accepted_at = Timestamp::now();
    let request = RequestId(Uuid::now_v7());
    let accepted = AcceptedRequest {
        request,
        account: caller.account.clone(),
        weight: caller.weight,
        lane: WorkLane::Lookup,
        role: TargetRole::Service(call.service.clone()),
        kind: WorkKind::Lookup(Arc::clone(&call.call)),
        prefixes: SmallVec::new(),
        cost: CALL_COST,
        sharing: WorkSharing::Shared,
        accepted_at,
        deadline: accepted_at + answer_timeout(&call.headers, call.config.timeout_ms),
        body: call.body,
    };
    let mut parts = start_request(process, accepted, DeliveryMode::Whole);
    let mut answer = Value::Null;
    while let Some(part) = parts.recv().await {
        match part {
            AnswerPart::Event(event, _) => {
                if let EventBody::Payload(payload) = &event.body {
                    answer = serde_json::from_str(payload).unwrap_or(Value::Null);
                }
            }
            AnswerPart::End(end) if end.outcome == RequestOutcome::Answered => {
                let response = json_reply(StatusCode::OK, &answer);
                return Ok(set_outcome_headers(
                    response,
                    request,
                    RequestOutcome::Answered,
                ));
            }
            AnswerPart::End(end) => {
                return Ok(set_request_header(end_error(&end).to_reply(), request));
            }
        }
    }
    Err(CallerError::unknown("internal", "the call was broken off"))
}

async fn run_order(
    process: &Arc<EntryProcess>,
    caller: &AuthenticatedCaller,
    call: ServiceCall<'_>,
) -> Result<Response<ResponseBody>, CallerError> {
    let key = order_key(caller, &call.headers)?;
    let first_use = call
        .headers
        .get(FIRST_USE_HEADER)
        .and_then(|value| value.to_str().ok());
    let key_history = KeyHistory::from_header(first_use);
    let cost = WorkCost { tokens: CALL_COST };
    let now = Timestamp::now();
    let decision = process.limiter.lock().admit(now, &caller.account, &cost);
    if let LimitDecision::Refused { retry_after, .. } = decision {
        let reason = ReplyReason::TooManyOrders;
        return Ok(order_response(&OrderReply::refused(
            key_history,
            reason,
            retry_after,
        )));
    }
    let request = TryRequest {
        digest: BodyDigest::of(
            call.service.as_str(),
            &call.call,
            call.body.to_string().as_bytes(),
        ),
        service: call.service,
        call: call.call,
        deadline: now + answer_timeout(&call.headers, call.config.timeout_ms),
        key,
        key_history,
    };
    let reply = submit_order(process, request, call.body).await;
    process
        .limiter
        .lock()
        .finished(&caller.account, &cost, &cost);
    let reply = reply?;
    process.metrics.count_outcome(reply.outcome);
    Ok(order_response(&reply))
}

async fn submit_order(
    process: &Arc<EntryProcess>,
    request: TryRequest,
    body: Value,
) -> Result<OrderReply, CallerError> {
    let key = request.key.clone();
    let (reply, receiver) = oneshot::channel();
    let interrupted = || CallerError::unknown("internal", "the order was broken off");
    let input = EntryInput::Submit {
        request: Box::new(request),
        body,
        reply,
    };
    process.orders.send(input).map_err(|_| interrupted())?;
    let reply = receiver.await.map_err(|_| interrupted())?;
    info!(process.log, "order ended"; "key" => %key, "outcome" => %reply.outcome,
        "reason" => %reply.reason, "key_use" => %reply.key_use);
    Ok(reply)
}

fn order_key(caller: &AuthenticatedCaller, headers: &HeaderMap) -> Result<OrderKey, CallerError> {
    let invalid = |message: String| {
        CallerError::not_run(StatusCode::BAD_REQUEST, "invalid_idempotency_key", message)
    };
    let header = headers
        .get(KEY_HEADER)
        .and_then(|value| value.to_str().ok());
    let header = header.ok_or_else(|| {
        invalid("this call runs at most once and needs an Idempotency-Key, a UUIDv7".to_owned())
    })?;
    OrderKey::parse(&caller.account, header).map_err(|err| invalid(err.to_string()))
}

/// Builds the response that states how an order ended and whether its key may be reused.
fn order_response(reply: &OrderReply) -> Response<ResponseBody> {
    let mut response = match reply.outcome {
        RequestOutcome::Answered => answered(reply),
        RequestOutcome::Failed => order_error(reply, failed_status(reply)).to_reply(),
        RequestOutcome::NotRun if reply.key_use == KeyUse::Reusable => {
            order_error(reply, StatusCode::SERVICE_UNAVAILABLE).to_reply()
        }
        RequestOutcome::NotRun => order_error(reply, StatusCode::CONFLICT).to_reply(),
        RequestOutcome::Unknown if reply.reason == ReplyReason::BodyMismatch => {
            order_error(reply, StatusCode::UNPROCESSABLE_ENTITY).to_reply()
        }
        RequestOutcome::Unknown => order_error(reply, StatusCode::BAD_GATEWAY).to_reply(),
    };
    let key_use = HeaderValue::from_str(&reply.key_use.to_string());
    if let Ok(key_use) = key_use {
        response.headers_mut().insert(KEY_USE_HEADER, key_use);
    }
    response
}

fn answered(reply: &OrderReply) -> Response<ResponseBody> {
    let text = reply
        .answer
        .as_ref()
        .and_then(|answer| answer.body.as_deref());
    let body = text
        .and_then(|text| serde_json::from_str(text).ok())
        .unwrap_or(Value::Null);
    let mut response = json_reply(StatusCode::OK, &body);
    response
        .headers_mut()
        .insert(OUTCOME_HEADER, outcome_value(RequestOutcome::Answered));
    response
}

fn failed_status(reply: &OrderReply) -> StatusCode {
    let status = reply.answer.as_ref().map(|answer| answer.status);
    status
        .and_then(|status| StatusCode::from_u16(status).ok())
        .unwrap_or(StatusCode::BAD_GATEWAY)
}

fn order_error(reply: &OrderReply, status: StatusCode) -> CallerError {
    let next = match reply.key_use {
        KeyUse::Closed => "the key is closed; a new order needs a new key",
        KeyUse::Reusable => "the key may be used again, no longer as its first use",
        KeyUse::AskAgain => "send the same key again to learn how it ended",
    };
    let what = match reply.outcome {
        RequestOutcome::Answered => "the order ran",
        RequestOutcome::Failed => "the order ran and the service said no",
        RequestOutcome::NotRun => "the order did not run and will not",
        RequestOutcome::Unknown => "the order may have run",
    };
    let answer = reply
        .answer
        .as_ref()
        .and_then(|answer| answer.body.as_deref())
        .unwrap_or("");
    let message = format!("{what} ({}); {next}. {answer}", reply.reason)
        .trim_end()
        .to_owned();
    CallerError {
        status,
        outcome: reply.outcome,
        code: "order",
        message,
        retry_after: reply.retry_after_ms.map(Duration::from_millis),
    }
}
