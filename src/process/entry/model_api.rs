//! Model requests: complete, streamed and resumed answers.

use bytes::Bytes;
use futures::{Stream, StreamExt, stream};
use http::{HeaderMap, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde_json::{Value, json};
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use uuid::Uuid;

use crate::connection::{CallerError, ResponseBody, WorkKind, json_reply, stream_reply};
use crate::prelude::*;
use crate::process::routing::{RequestDigest, SuspectDecision, WorkSharing, prefix_hashes};
use crate::request::{EndReason, EventBody, RequestEnd};
use crate::version::config::{ModelConfig, TargetRole};

use super::answer_resume::{ResumeToken, start_resume};
use super::caller_api::{
    AuthenticatedCaller, admit, answer_timeout, crash_suspect_error, end_error, read_json_object,
    set_outcome_headers, set_request_header,
};
use super::entry_process::EntryProcess;
use super::request_run::{AcceptedRequest, AnswerPart, DeliveryMode, start_request};
use super::whole_answer::WholeAnswer;

/// The number of prompt bytes counted as one token.
const BYTES_PER_TOKEN: u64 = 4;
/// The content type of server-sent events.
const EVENT_STREAM_TYPE: &str = "text/event-stream";
/// The header by which a caller resumes a stream.
const LAST_EVENT_HEADER: &str = "last-event-id";

/// Handles a completion request.
pub(super) async fn complete(
    process: &Arc<EntryProcess>,
    caller: &AuthenticatedCaller,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, CallerError> {
    let (head, body) = request.into_parts();
    let (body, _) = read_json_object(process, &head, body).await?;
    let mode = match body["stream"] {
        Value::Bool(true) => DeliveryMode::Stream,
        _ => DeliveryMode::Whole,
    };
    let path = Arc::from(head.uri.path());
    let accepted = parse_request(process, caller, (path, body), &head.headers)?;
    admit(process, caller, accepted.cost)?;
    let request = accepted.request;
    let mut parts = start_request(process, accepted, mode);
    let first = parts.recv().await;
    match (first, mode) {
        (Some(AnswerPart::End(end)), _) if end.outcome != RequestOutcome::Answered => {
            Ok(set_request_header(end_error(&end).to_reply(), request))
        }
        (Some(first), DeliveryMode::Stream) => Ok(stream_answer(request, first, parts)),
        (Some(first), DeliveryMode::Whole) => collect_answer(request, first, parts).await,
        (None, _) => Err(CallerError::unknown(
            "internal",
            "the request was broken off",
        )),
    }
}

/// Resumes a streamed answer from the last event that the caller got.
pub(super) async fn resume(
    process: &Arc<EntryProcess>,
    caller: &AuthenticatedCaller,
    id: &str,
    headers: &HeaderMap,
) -> Result<Response<ResponseBody>, CallerError> {
    let invalid =
        |message: &str| CallerError::not_run(StatusCode::BAD_REQUEST, "invalid_resume", message);
    let request = Uuid::parse_str(id).map_err(|_| invalid("the request id is no UUID"))?;
    let token = headers
        .get(LAST_EVENT_HEADER)
        .and_then(|value| value.to_str().ok());
    let token = token.ok_or_else(|| invalid("the header Last-Event-ID is missing"))?;
    let token: ResumeToken = token
        .parse()
        .map_err(|_| invalid("the header Last-Event-ID is not an event id of this API"))?;
    let request = RequestId(request);
    let mut parts = start_resume(process, caller, request, token);
    match parts.recv().await {
        Some(AnswerPart::End(end)) if end.outcome != RequestOutcome::Answered => {
            Ok(set_request_header(end_error(&end).to_reply(), request))
        }
        Some(first) => Ok(stream_answer(request, first, parts)),
        None => Err(CallerError::unknown(
            "internal",
            "the resume was broken off",
        )),
    }
}

fn parse_request(
    process: &EntryProcess,
    caller: &AuthenticatedCaller,
    (path, mut body): (Arc<str>, Value),
    headers: &HeaderMap,
) -> Result<AcceptedRequest, CallerError> {
    let (name, model) = find_model(caller, &body)?;
    let max_tokens = max_answer_tokens(&body, model);
    let lane = match body["service_tier"].as_str() {
        Some("flex") => WorkLane::Batch,
        _ => WorkLane::Interactive,
    };
    body["max_tokens"] = json!(max_tokens);
    body["stream"] = json!(true);
    let prompt = prompt_bytes(&body);
    let digest = RequestDigest::new(&caller.account, body.to_string().as_bytes());
    let accepted_at = Timestamp::now();
    Ok(AcceptedRequest {
        request: RequestId(Uuid::now_v7()),
        account: caller.account.clone(),
        weight: caller.weight,
        lane,
        role: TargetRole::Model(name.clone()),
        kind: WorkKind::Model(path),
        prefixes: prefix_hashes(name.as_str(), &prompt),
        cost: prompt.len() as u64 / BYTES_PER_TOKEN + max_tokens,
        sharing: check_crash_suspect(process, accepted_at, &digest)?,
        accepted_at,
        deadline: accepted_at + answer_timeout(headers, model.timeout_ms),
        body,
    })
}

fn find_model<'a>(
    caller: &'a AuthenticatedCaller,
    body: &Value,
) -> Result<(&'a ModelName, &'a ModelConfig), CallerError> {
    let requested = body["model"].as_str().unwrap_or_default();
    let known = caller.index.version.content.models.get_key_value(requested);
    known.ok_or_else(|| {
        let message = format!("the model {requested:?} is not served here");
        CallerError::not_run(StatusCode::NOT_FOUND, "model_not_found", message)
    })
}

fn max_answer_tokens(body: &Value, model: &ModelConfig) -> u64 {
    let requested = body["max_completion_tokens"]
        .as_u64()
        .or_else(|| body["max_tokens"].as_u64());
    let max_tokens = u64::from(model.max_tokens);
    requested.unwrap_or(max_tokens).min(max_tokens)
}

/// Returns the prompt as bytes, such that a continued conversation starts with the bytes of the
/// earlier one.
fn prompt_bytes(body: &Value) -> Vec<u8> {
    match (&body["messages"], &body["prompt"]) {
        (Value::Array(messages), _) => messages
            .iter()
            .flat_map(|message| message.to_string().into_bytes())
            .collect(),
        (_, Value::String(prompt)) => prompt.clone().into_bytes(),
        (_, prompt) => prompt.to_string().into_bytes(),
    }
}

fn check_crash_suspect(
    process: &EntryProcess,
    now: Timestamp,
    digest: &RequestDigest,
) -> Result<WorkSharing, CallerError> {
    match process.suspects.lock().check(now, digest) {
        SuspectDecision::Clear => Ok(WorkSharing::Shared),
        SuspectDecision::RunAlone => Ok(WorkSharing::Alone),
        SuspectDecision::Refused { retry_after } => Err(crash_suspect_error(retry_after)),
    }
}

/// Collects the parts of an answer and returns it only if it is complete.
async fn collect_answer(
    request: RequestId,
    first: AnswerPart,
    mut parts: mpsc::Receiver<AnswerPart>,
) -> Result<Response<ResponseBody>, CallerError> {
    let mut answer = WholeAnswer::default();
    let mut next = Some(first);
    while let Some(part) = next {
        match part {
            AnswerPart::Event(event, _) => {
                if let EventBody::Payload(payload) = &event.body {
                    answer.add_chunk(payload);
                }
            }
            AnswerPart::End(end) if end.outcome == RequestOutcome::Answered => {
                let response = json_reply(StatusCode::OK, &answer.into_value());
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
        next = parts.recv().await;
    }
    Err(CallerError::unknown(
        "internal",
        "the request was broken off",
    ))
}

/// Streams the parts of an answer as server-sent events.
fn stream_answer(
    request: RequestId,
    first: AnswerPart,
    parts: mpsc::Receiver<AnswerPart>,
) -> Response<ResponseBody> {
    let parts = stream::iter([first]).chain(ReceiverStream::new(parts));
    set_request_header(
        stream_reply(EVENT_STREAM_TYPE, encode_parts(parts)),
        request,
    )
}

fn encode_parts(parts: impl Stream<Item = AnswerPart> + Send) -> impl Stream<Item = Bytes> + Send {
    parts.filter_map(|part| async move {
        match part {
            AnswerPart::Event(event, token) => match event.body {
                EventBody::Payload(payload) => {
                    Some(Bytes::from(format!("id: {token}\ndata: {payload}\n\n")))
                }
                EventBody::End(_) | EventBody::Failed(_) => None,
            },
            AnswerPart::End(end) => Some(Bytes::from(encode_end(&end))),
        }
    })
}

/// Encodes the end of a stream: a comment with the outcome, count and digest before `[DONE]`, or
/// an error.
fn encode_end(end: &RequestEnd) -> String {
    match &end.reason {
        EndReason::Complete(whole) => format!(
            ": outcome=answered count={} digest={}\n\ndata: [DONE]\n\n",
            whole.count, whole.digest
        ),
        _ => format!("data: {}\n\n", end_error(end).to_json()),
    }
}
