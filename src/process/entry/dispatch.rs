//! Sends work to agents and converts their responses into tracker events.

use futures::StreamExt;
use http::header::AUTHORIZATION;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyDataStream, Full};
use hyper::body::Incoming;
use serde::Serialize;
use slog::debug;
use tokio::sync::mpsc::UnboundedSender;
use tokio_util::codec::{FramedRead, LinesCodec};
use tokio_util::io::StreamReader;

use crate::connection::{
    CANCEL_PATH, RESUME_PATH, ResumeFailure, SEQUENCE_HEADER, WITHDRAW_PATH, WORK_PATH, WorkLine,
    WorkRefusal, WorkRequest, WorkResume,
};
use crate::prelude::*;
use crate::process::membership::DispatchSignal;
use crate::process::platform::{AnswerLimit, HttpFailure, json_request};
use crate::process::routing::{CancelAnswer, DispatchResult, RefusalReason, WorkCancel};
use crate::request::{EventBody, TrackerEvent, WorkId};

use super::entry_process::EntryProcess;

/// The maximum length of a line in an agent's response, in bytes.
const MAX_LINE_BYTES: usize = 8 << 20;
/// The delay before a resume, and after one that failed.
const RESUME_DELAY: Duration = Duration::from_millis(50);
/// The timeout for the response to a resume or a cancellation.
const AGENT_REPLY_TIMEOUT: Duration = Duration::from_secs(2);
/// The maximum size of an agent's answer to an order or a cancellation, in bytes.
pub(super) const MAX_REPLY_BYTES: usize = 64 << 10;
/// The retry delay suggested to a caller when the chosen agent cannot be reached.
const UNREACHABLE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The target and agent that run an attempt.
#[derive(Clone, Debug)]
pub(super) struct AttemptLocation {
    /// The request and the attempt.
    pub(super) work: WorkId,
    /// The target that runs the attempt.
    pub(super) target: TargetName,
    /// The base URL of the target's agent.
    pub(super) agent_url: Arc<str>,
    /// The incarnation of the target's agent.
    pub(super) incarnation: ProcessIncarnation,
}

/// Sends work to an agent and forwards the resulting events to `events`.
pub(super) async fn send_work(
    process: Arc<EntryProcess>,
    location: AttemptLocation,
    request: WorkRequest,
    events: UnboundedSender<TrackerEvent>,
) {
    let timeout = Duration::from_millis(request.offer.remaining_ms);
    let sent_at = Timestamp::now();
    let answer = send(&process, &location, WORK_PATH, &request, timeout).await;
    let attempt = location.work.attempt;
    let event = match answer {
        Ok(response) => {
            let sequence = report_sequence(&response);
            process.targets.lock().admitted(location.work, sequence);
            record_signal(&process, &location, sent_at, DispatchSignal::Accepted);
            forward_lines(&process, &location, response, &events).await
        }
        Err(HttpFailure::NotSent(reason) | HttpFailure::NotListening(reason)) => {
            debug!(process.log, "agent unreachable"; "work" => %location.work, "reason" => reason);
            record_signal(&process, &location, sent_at, DispatchSignal::Unreachable);
            finish_attempt(&process, &location, DispatchResult::Unreachable);
            let reason = RefusalReason::NoTarget;
            Some(TrackerEvent::Refused {
                attempt,
                reason,
                retry_after: UNREACHABLE_RETRY_AFTER,
            })
        }
        Err(HttpFailure::Status(StatusCode::CONFLICT, body)) => {
            Some(on_refusal(&process, &location, &body))
        }
        Err(HttpFailure::Status(StatusCode::GONE, body)) => {
            Some(on_gone(&process, &location, &body))
        }
        Err(err) => {
            debug!(process.log, "connection to agent lost"; "work" => %location.work, "reason" => %err);
            Some(TrackerEvent::ConnectionLost { attempt })
        }
    };
    if let Some(event) = event {
        let _ = events.send(event);
    }
}

/// Requests the rest of an answer from an agent and forwards the resulting events to `events`.
pub(super) async fn resume_work(
    process: Arc<EntryProcess>,
    location: AttemptLocation,
    resume: WorkResume,
    events: UnboundedSender<TrackerEvent>,
) {
    tokio::time::sleep(RESUME_DELAY).await;
    let attempt = location.work.attempt;
    let answer = send(
        &process,
        &location,
        RESUME_PATH,
        &resume,
        AGENT_REPLY_TIMEOUT,
    )
    .await;
    let event = match answer {
        Ok(response) => forward_lines(&process, &location, response, &events).await,
        Err(HttpFailure::Status(StatusCode::GONE, body)) => {
            Some(on_gone(&process, &location, &body))
        }
        Err(err) => {
            debug!(process.log, "resume failed"; "work" => %location.work, "reason" => %err);
            tokio::time::sleep(RESUME_DELAY).await;
            Some(TrackerEvent::ConnectionLost { attempt })
        }
    };
    if let Some(event) = event {
        let _ = events.send(event);
    }
}

/// Cancels an attempt and sends the agent's response to `events`.
pub(super) async fn cancel_work(
    process: Arc<EntryProcess>,
    location: AttemptLocation,
    cancel: WorkCancel,
    events: UnboundedSender<TrackerEvent>,
) {
    let attempt = location.work.attempt;
    let answer = ask_agent(&process, &location, CANCEL_PATH, &cancel).await;
    let answer = answer.unwrap_or(CancelAnswer::Forgotten);
    finish_attempt(
        &process,
        &location,
        DispatchResult::Cancelled { sequence: 0 },
    );
    let _ = events.send(TrackerEvent::CancelAnswered { attempt, answer });
}

/// Cancels an attempt if it has not started, and sends the proof of that to `events`.
///
/// Any other answer, or none, says nothing about the events that may still come.
pub(super) async fn withdraw_work(
    process: Arc<EntryProcess>,
    location: AttemptLocation,
    cancel: WorkCancel,
    events: UnboundedSender<TrackerEvent>,
) {
    let attempt = location.work.attempt;
    let answer = ask_agent(&process, &location, WITHDRAW_PATH, &cancel).await;
    if let Ok(answer @ CancelAnswer::NeverStarted) = answer {
        finish_attempt(
            &process,
            &location,
            DispatchResult::Cancelled { sequence: 0 },
        );
        let _ = events.send(TrackerEvent::CancelAnswered { attempt, answer });
    }
}

async fn ask_agent(
    process: &EntryProcess,
    location: &AttemptLocation,
    path: &str,
    cancel: &WorkCancel,
) -> Result<CancelAnswer, HttpFailure> {
    let limit = AnswerLimit {
        time: AGENT_REPLY_TIMEOUT,
        bytes: MAX_REPLY_BYTES,
    };
    let request = post(location, path, cancel, &process.settings.tokens.peer)?;
    process.work_client.json(request, limit).await
}

/// Records what a dispatch revealed about an agent's state.
fn record_signal(
    process: &EntryProcess,
    location: &AttemptLocation,
    sent_at: Timestamp,
    signal: DispatchSignal,
) {
    let mut agents = process.agents.lock();
    agents.record_dispatch(&location.target, location.incarnation, sent_at, signal);
}

/// Records the end of an attempt for the load estimate.
pub(super) fn finish_attempt(
    process: &EntryProcess,
    location: &AttemptLocation,
    result: DispatchResult,
) {
    process
        .targets
        .lock()
        .finished(Timestamp::now(), location.work, result);
}

/// Forwards the lines of a response; returns an event if the response ended prematurely.
async fn forward_lines(
    process: &EntryProcess,
    location: &AttemptLocation,
    response: Response<Incoming>,
    events: &UnboundedSender<TrackerEvent>,
) -> Option<TrackerEvent> {
    let attempt = location.work.attempt;
    let mut sequence = report_sequence(&response);
    let bytes =
        BodyDataStream::new(response.into_body()).map(|chunk| chunk.map_err(std::io::Error::other));
    let codec = LinesCodec::new_with_max_length(MAX_LINE_BYTES);
    let mut lines = FramedRead::new(StreamReader::new(bytes), codec);
    while let Some(line) = lines.next().await {
        let decoded = line.ok().and_then(|line| serde_json::from_str(&line).ok());
        match decoded {
            Some(WorkLine::Event(event)) => {
                let is_last = !matches!(event.body, EventBody::Payload(_));
                if is_last {
                    finish_attempt(process, location, DispatchResult::Answered { sequence });
                }
                let _ = events.send(TrackerEvent::Received(event));
                if is_last {
                    return None;
                }
            }
            Some(WorkLine::Load(load)) => {
                sequence = load.sequence;
                let mut targets = process.targets.lock();
                targets.observe_report(Timestamp::now(), &location.target, &load.report);
            }
            Some(WorkLine::Lost(reason)) => {
                debug!(process.log, "target lost"; "work" => %location.work, "reason" => %reason);
                finish_attempt(process, location, DispatchResult::Crashed);
                return Some(TrackerEvent::TargetLost { attempt });
            }
            None => break,
        }
    }
    Some(TrackerEvent::ConnectionLost { attempt })
}

fn on_refusal(process: &EntryProcess, location: &AttemptLocation, body: &[u8]) -> TrackerEvent {
    let attempt = location.work.attempt;
    let Ok(refusal) = serde_json::from_slice::<WorkRefusal>(body) else {
        return TrackerEvent::ConnectionLost { attempt };
    };
    if refusal.reason == RefusalReason::Duplicate {
        // The agent already has this attempt from an earlier message, so a resume can fetch its
        // events.
        return TrackerEvent::ConnectionLost { attempt };
    }
    if refusal.reason == RefusalReason::Draining {
        record_signal(
            process,
            location,
            Timestamp::now(),
            DispatchSignal::RefusedLeaving,
        );
    }
    finish_attempt(process, location, DispatchResult::Refused);
    let retry_after = Duration::from_millis(refusal.retry_after_ms);
    TrackerEvent::Refused {
        attempt,
        reason: refusal.reason,
        retry_after,
    }
}

/// Handles the response of an agent that does not have the work or no longer has it.
fn on_gone(process: &EntryProcess, location: &AttemptLocation, body: &[u8]) -> TrackerEvent {
    finish_attempt(process, location, DispatchResult::Unreachable);
    let failure = serde_json::from_slice::<ResumeFailure>(body);
    let answer = failure.map_or(CancelAnswer::Forgotten, |failure| failure.answer);
    TrackerEvent::CancelAnswered {
        attempt: location.work.attempt,
        answer,
    }
}

async fn send(
    process: &EntryProcess,
    location: &AttemptLocation,
    path: &str,
    message: &impl Serialize,
    timeout: Duration,
) -> Result<Response<Incoming>, HttpFailure> {
    let request = post(location, path, message, &process.settings.tokens.peer)?;
    process.work_client.send(request, timeout).await
}

fn post(
    location: &AttemptLocation,
    path: &str,
    message: &impl Serialize,
    token: &str,
) -> Result<Request<Full<bytes::Bytes>>, HttpFailure> {
    post_json(&format!("{}{path}", location.agent_url), message, token)
}

/// Builds a POST request with a JSON body and the peer token.
pub(super) fn post_json(
    url: &str,
    message: &impl Serialize,
    token: &str,
) -> Result<Request<Full<bytes::Bytes>>, HttpFailure> {
    let mut request = json_request(url, message)?;
    let bearer = HeaderValue::from_str(&format!("Bearer {token}"));
    let bearer = bearer.map_err(|err| HttpFailure::Decode(err.to_string()))?;
    request.headers_mut().insert(AUTHORIZATION, bearer);
    Ok(request)
}

fn report_sequence(response: &Response<Incoming>) -> u64 {
    let header = response.headers().get(SEQUENCE_HEADER);
    header
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok())
        .unwrap_or(0)
}
