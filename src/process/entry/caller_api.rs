//! The API for callers: routing of calls, authentication and error responses.

use http::request::Parts;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde_json::{Value, json};
use slog::info;

use crate::connection::{
    BodyError, CallerError, OUTCOME_HEADER, OwedResponse, ResponseBody, bearer_token, json_reply,
    outcome_value, read_body,
};
use crate::prelude::*;
use crate::process::routing::{LimitDecision, RefusalReason, WorkCost};
use crate::request::{EndReason, RequestEnd};

use super::entry_process::EntryProcess;
use super::version_index::VersionIndex;
use super::{model_api, service_api};

/// The response header that carries the request id.
const REQUEST_HEADER: &str = "x-request-id";
/// The header by which a caller shortens the answer timeout, in milliseconds.
const TIMEOUT_HEADER: &str = "x-request-timeout-ms";

/// How long a caller may take for the body of a request, in milliseconds.
const MAX_BODY_MS: u64 = 60_000;

/// An authenticated caller, with the index of the configuration version that lists its token.
#[derive(Debug)]
pub(super) struct AuthenticatedCaller {
    /// The index of the configuration version.
    pub(super) index: Arc<VersionIndex>,
    /// The client account.
    pub(super) account: AccountName,
    /// The account's weight when accounts compete for capacity.
    pub(super) weight: u32,
}

/// Handles one request of a caller.
pub(super) async fn handle(
    process: Arc<EntryProcess>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    match route(&process, request).await {
        Ok(response) => response,
        Err(err) => {
            process
                .metrics
                .refusals
                .with_label_values(&[err.code])
                .inc();
            err.to_reply()
        }
    }
}

async fn route(
    process: &Arc<EntryProcess>,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, CallerError> {
    let caller = authenticate(process, &request)?;
    let path = request.uri().path().to_owned();
    let segments: SmallVec<[&str; 6]> = path.split('/').skip(1).collect();
    match (request.method(), segments.as_slice()) {
        (&Method::GET, ["v1", "models"]) => Ok(list_models(&caller)),
        (&Method::POST, ["v1", "chat", "completions"] | ["v1", "completions"]) => {
            model_api::complete(process, &caller, request).await
        }
        (&Method::GET, ["v1", "requests", id, "events"]) => {
            model_api::resume(process, &caller, id, request.headers()).await
        }
        (&Method::POST, ["v1", "services", service, call]) => {
            service_api::call_service(process, &caller, (service, call), request).await
        }
        _ => {
            let message = format!("no such call: {} {path}", request.method());
            Err(CallerError::not_run(
                StatusCode::NOT_FOUND,
                "no_such_call",
                message,
            ))
        }
    }
}

fn authenticate(
    process: &EntryProcess,
    request: &Request<Incoming>,
) -> Result<AuthenticatedCaller, CallerError> {
    if !process.is_ready() {
        let message = "this entry VM has no configuration version yet, or is leaving";
        let err = CallerError::not_run(StatusCode::SERVICE_UNAVAILABLE, "not_ready", message);
        return Err(err.with_retry_after(Some(Duration::from_secs(1))));
    }
    let index = process.index.load_full();
    let known = bearer_token(request.headers()).and_then(|token| index.account(token));
    let Some((account, config)) = known else {
        let message = "the bearer token is missing or not of a client account";
        return Err(CallerError::not_run(
            StatusCode::UNAUTHORIZED,
            "invalid_token",
            message,
        ));
    };
    let (account, weight) = (account.clone(), config.weight);
    Ok(AuthenticatedCaller {
        index,
        account,
        weight,
    })
}

/// Reads the body of a request as a JSON object, for no longer than the caller waits.
pub(super) async fn read_json_object(
    process: &EntryProcess,
    head: &Parts,
    body: Incoming,
) -> Result<(Value, bytes::Bytes), CallerError> {
    let limit = process.settings.limits.max_body_bytes;
    let time = answer_timeout(&head.headers, MAX_BODY_MS);
    let read = tokio::time::timeout(time, read_body(body, limit)).await;
    let refuse = |status, code, message: String| {
        info!(process.log, "body refused"; "code" => code, "reason" => &message);
        CallerError::not_run(status, code, message)
    };
    let bytes = match read {
        Ok(Ok(bytes)) => bytes,
        Ok(Err(err @ BodyError::TooLarge(_))) => {
            let status = StatusCode::PAYLOAD_TOO_LARGE;
            return Err(refuse(status, "body_too_large", err.to_string()));
        }
        Ok(Err(err @ BodyError::CutShort(_))) => {
            let status = StatusCode::BAD_REQUEST;
            return Err(refuse(status, "body_cut_short", err.to_string()));
        }
        Err(_) => {
            let message = format!("the body did not end within {time:?}");
            let status = StatusCode::REQUEST_TIMEOUT;
            return Err(refuse(status, "body_too_slow", message));
        }
    };
    if let Some(owed) = head.extensions.get::<OwedResponse>() {
        owed.end_read();
    }
    let invalid =
        |message: String| CallerError::not_run(StatusCode::BAD_REQUEST, "invalid_json", message);
    let value: Value = serde_json::from_slice(&bytes)
        .map_err(|err| invalid(format!("the body is not JSON: {err}")))?;
    if value.is_object() {
        return Ok((value, bytes));
    }
    Err(invalid("the body is not a JSON object".to_owned()))
}

/// Checks a request against the limits of its account and charges its cost.
pub(super) fn admit(
    process: &EntryProcess,
    caller: &AuthenticatedCaller,
    cost: u64,
) -> Result<(), CallerError> {
    let cost = WorkCost { tokens: cost };
    let decision = process
        .limiter
        .lock()
        .admit(Timestamp::now(), &caller.account, &cost);
    match decision {
        LimitDecision::Admitted => Ok(()),
        LimitDecision::Refused {
            reason,
            retry_after,
        } => Err(refused_error(reason, retry_after, RequestOutcome::NotRun)),
    }
}

/// Returns the answer timeout: the caller's value, capped at `max_ms` and defaulting to it.
pub(super) fn answer_timeout(headers: &HeaderMap, max_ms: u64) -> Duration {
    let header = headers.get(TIMEOUT_HEADER);
    let requested = header
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok());
    Duration::from_millis(requested.unwrap_or(max_ms).min(max_ms))
}

/// Returns the error response for a request that ended without a complete answer.
pub(super) fn end_error(end: &RequestEnd) -> CallerError {
    match &end.reason {
        EndReason::Refused(reason) => refused_error(*reason, end.retry_after, end.outcome),
        EndReason::TargetFailed(failure) => {
            let status = StatusCode::from_u16(failure.status).unwrap_or(StatusCode::BAD_GATEWAY);
            CallerError::failed(status, failure.message.clone())
        }
        EndReason::DeadlinePassed => incomplete_error(end, StatusCode::GATEWAY_TIMEOUT, "deadline"),
        _ => incomplete_error(end, StatusCode::BAD_GATEWAY, "answer_lost"),
    }
}

/// Sets the response headers for the outcome and the request id.
pub(super) fn set_outcome_headers(
    mut response: Response<ResponseBody>,
    request: RequestId,
    outcome: RequestOutcome,
) -> Response<ResponseBody> {
    response
        .headers_mut()
        .insert(OUTCOME_HEADER, outcome_value(outcome));
    set_request_header(response, request)
}

/// Sets the response header for the request id.
pub(super) fn set_request_header(
    mut response: Response<ResponseBody>,
    request: RequestId,
) -> Response<ResponseBody> {
    if let Ok(value) = request.to_string().parse() {
        response.headers_mut().insert(REQUEST_HEADER, value);
    }
    response
}

fn incomplete_error(end: &RequestEnd, status: StatusCode, code: &'static str) -> CallerError {
    let message = match end.outcome {
        RequestOutcome::NotRun => format!("the request did not run: {}", end.reason),
        _ => format!(
            "the request may have run, its answer is not whole: {}",
            end.reason
        ),
    };
    let retry_after = Some(end.retry_after).filter(|wait| !wait.is_zero());
    CallerError {
        status,
        outcome: end.outcome,
        code,
        message,
        retry_after,
    }
}

fn refused_error(
    reason: RefusalReason,
    retry_after: Duration,
    outcome: RequestOutcome,
) -> CallerError {
    let (status, code) = match reason {
        RefusalReason::TokenLimit => (StatusCode::TOO_MANY_REQUESTS, "token_limit"),
        RefusalReason::InFlightLimit => (StatusCode::TOO_MANY_REQUESTS, "in_flight_limit"),
        RefusalReason::UnknownAccount => (StatusCode::UNAUTHORIZED, "unknown_account"),
        RefusalReason::CrashSuspect => (StatusCode::UNPROCESSABLE_ENTITY, "crash_suspect"),
        RefusalReason::Deadline => (StatusCode::SERVICE_UNAVAILABLE, "deadline"),
        RefusalReason::NoTarget => (StatusCode::SERVICE_UNAVAILABLE, "no_target"),
        _ => (StatusCode::SERVICE_UNAVAILABLE, "overloaded"),
    };
    let message = match outcome {
        RequestOutcome::NotRun => format!("refused, the request did not run: {reason}"),
        _ => format!("refused, an earlier try may have run: {reason}"),
    };
    let retry_after = Some(retry_after).filter(|wait| !wait.is_zero());
    CallerError {
        status,
        outcome,
        code,
        message,
        retry_after,
    }
}

/// Returns the error response for a request suspected of crashing targets.
pub(super) fn crash_suspect_error(retry_after: Duration) -> CallerError {
    refused_error(
        RefusalReason::CrashSuspect,
        retry_after,
        RequestOutcome::NotRun,
    )
}

fn list_models(caller: &AuthenticatedCaller) -> Response<ResponseBody> {
    let models = caller.index.version.content.models.keys();
    let data: Vec<Value> = models
        .map(|model| {
            json!({ "id": model, "object": "model", "created": 0, "owned_by": "comfreyhead" })
        })
        .collect();
    json_reply(StatusCode::OK, &json!({ "object": "list", "data": data }))
}
