//! Model requests: whole, streamed and resumed.

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
    KnownCaller, admit, end_error, name_outcome, name_request, read_object, suspect_error, timeout,
};
use super::entry_process::EntryProcess;
use super::request_run::{AcceptedRequest, CallerForm, CallerPart, start_request};
use super::whole_answer::WholeAnswer;

/// The bytes of a prompt that count as a token.
const BYTES_PER_TOKEN: u64 = 4;
/// The content type of server-sent events.
const EVENT_STREAM: &str = "text/event-stream";
/// The header by which a caller resumes a stream.
const LAST_EVENT_HEADER: &str = "last-event-id";

/// Answers a completion.
pub(super) async fn complete(
    process: &Arc<EntryProcess>,
    caller: &KnownCaller,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, CallerError> {
    let (head, body) = request.into_parts();
    let (body, _) = read_object(process, body).await?;
    let form = match body["stream"] {
        Value::Bool(true) => CallerForm::Stream,
        _ => CallerForm::Whole,
    };
    let path = Arc::from(head.uri.path());
    let accepted = accept(process, caller, (path, body), &head.headers)?;
    admit(process, caller, accepted.cost)?;
    let request = accepted.request;
    let mut parts = start_request(process, accepted, form);
    let first = parts.recv().await;
    match (first, form) {
        (Some(CallerPart::End(end)), _) if end.outcome != RequestOutcome::Answered => {
            Ok(name_request(end_error(&end).to_reply(), request))
        }
        (Some(first), CallerForm::Stream) => Ok(streamed(request, first, parts)),
        (Some(first), CallerForm::Whole) => whole(request, first, parts).await,
        (None, _) => Err(CallerError::unknown(
            "internal",
            "the request was broken off",
        )),
    }
}

/// Resumes a streamed answer from the last event that the caller got.
pub(super) async fn resume(
    process: &Arc<EntryProcess>,
    caller: &KnownCaller,
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
        Some(CallerPart::End(end)) if end.outcome != RequestOutcome::Answered => {
            Ok(name_request(end_error(&end).to_reply(), request))
        }
        Some(first) => Ok(streamed(request, first, parts)),
        None => Err(CallerError::unknown(
            "internal",
            "the resume was broken off",
        )),
    }
}

fn accept(
    process: &EntryProcess,
    caller: &KnownCaller,
    (path, mut body): (Arc<str>, Value),
    headers: &HeaderMap,
) -> Result<AcceptedRequest, CallerError> {
    let (name, model) = find_model(caller, &body)?;
    let max_tokens = answer_tokens(&body, model);
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
        sharing: check_suspect(process, accepted_at, &digest)?,
        accepted_at,
        deadline: accepted_at + timeout(headers, model.timeout_ms),
        body,
    })
}

fn find_model<'a>(
    caller: &'a KnownCaller,
    body: &Value,
) -> Result<(&'a ModelName, &'a ModelConfig), CallerError> {
    let wanted = body["model"].as_str().unwrap_or_default();
    let known = caller.index.version.content.models.get_key_value(wanted);
    known.ok_or_else(|| {
        let message = format!("the model {wanted:?} is not served here");
        CallerError::not_run(StatusCode::NOT_FOUND, "model_not_found", message)
    })
}

fn answer_tokens(body: &Value, model: &ModelConfig) -> u64 {
    let wanted = body["max_completion_tokens"]
        .as_u64()
        .or_else(|| body["max_tokens"].as_u64());
    let longest = u64::from(model.max_tokens);
    wanted.unwrap_or(longest).min(longest)
}

/// Returns the prompt in a form in which a longer conversation begins with the shorter one.
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

fn check_suspect(
    process: &EntryProcess,
    now: Timestamp,
    digest: &RequestDigest,
) -> Result<WorkSharing, CallerError> {
    match process.suspects.lock().check(now, digest) {
        SuspectDecision::Clear => Ok(WorkSharing::Shared),
        SuspectDecision::RunAlone => Ok(WorkSharing::Alone),
        SuspectDecision::Refused { retry_after } => Err(suspect_error(retry_after)),
    }
}

/// Collects the parts of an answer; only a whole one is passed on.
async fn whole(
    request: RequestId,
    first: CallerPart,
    mut parts: mpsc::Receiver<CallerPart>,
) -> Result<Response<ResponseBody>, CallerError> {
    let mut answer = WholeAnswer::default();
    let mut next = Some(first);
    while let Some(part) = next {
        match part {
            CallerPart::Event(event, _) => {
                if let EventBody::Payload(payload) = &event.body {
                    answer.add(payload);
                }
            }
            CallerPart::End(end) if end.outcome == RequestOutcome::Answered => {
                let response = json_reply(StatusCode::OK, &answer.into_value());
                return Ok(name_outcome(response, request, RequestOutcome::Answered));
            }
            CallerPart::End(end) => return Ok(name_request(end_error(&end).to_reply(), request)),
        }
        next = parts.recv().await;
    }
    Err(CallerError::unknown(
        "internal",
        "the request was broken off",
    ))
}

/// Streams the parts of an answer as server-sent events.
fn streamed(
    request: RequestId,
    first: CallerPart,
    parts: mpsc::Receiver<CallerPart>,
) -> Response<ResponseBody> {
    let parts = stream::iter([first]).chain(ReceiverStream::new(parts));
    name_request(stream_reply(EVENT_STREAM, encode(parts)), request)
}

fn encode(parts: impl Stream<Item = CallerPart> + Send) -> impl Stream<Item = Bytes> + Send {
    parts.filter_map(|part| async move {
        match part {
            CallerPart::Event(event, token) => match event.body {
                EventBody::Payload(payload) => {
                    Some(Bytes::from(format!("id: {token}\ndata: {payload}\n\n")))
                }
                EventBody::End(_) | EventBody::Failed(_) => None,
            },
            CallerPart::End(end) => Some(Bytes::from(last_event(&end))),
        }
    })
}

/// The end marker of a stream: a comment with count and digest, or an error in its place.
fn last_event(end: &RequestEnd) -> String {
    match &end.reason {
        EndReason::Complete(whole) => format!(
            ": outcome=answered count={} digest={}\n\ndata: [DONE]\n\n",
            whole.count, whole.digest
        ),
        _ => format!("data: {}\n\n", end_error(end).to_json()),
    }
}
