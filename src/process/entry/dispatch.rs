//! Sends work to agents and turns what they answer into events of the request.

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
    CANCEL_PATH, RESUME_PATH, ResumeFailure, SEQUENCE_HEADER, WORK_PATH, WorkLine, WorkRefusal,
    WorkRequest, WorkResume,
};
use crate::prelude::*;
use crate::process::membership::DispatchSignal;
use crate::process::platform::{HttpFailure, json_request};
use crate::process::routing::{CancelAnswer, DispatchResult, RefusalReason, WorkCancel};
use crate::request::{EventBody, TrackerEvent, WorkId};

use super::entry_process::EntryProcess;

/// The longest line of an agent's answer, in bytes.
const MAX_LINE_BYTES: usize = 8 << 20;
/// The pause before a resume, and after one that found nobody.
const RESUME_PAUSE: Duration = Duration::from_millis(50);
/// The longest time for the answer to a cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);
/// When a caller may come back after an agent was not reached.
const UNREACHED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Where an attempt runs.
#[derive(Clone, Debug)]
pub(super) struct AttemptPlace {
    /// The attempt.
    pub(super) work: WorkId,
    /// The target.
    pub(super) target: TargetName,
    /// The base URL of its agent.
    pub(super) agent_url: Arc<str>,
    /// The incarnation of its agent.
    pub(super) incarnation: ProcessIncarnation,
}

/// Sends work to an agent; all that comes of it goes to `events`.
pub(super) async fn send_work(
    process: Arc<EntryProcess>,
    place: AttemptPlace,
    request: WorkRequest,
    events: UnboundedSender<TrackerEvent>,
) {
    let timeout = Duration::from_millis(request.offer.remaining_ms);
    let sent_at = Timestamp::now();
    let answer = send(&process, &place, WORK_PATH, &request, timeout).await;
    let attempt = place.work.attempt;
    let event = match answer {
        Ok(response) => {
            let sequence = report_sequence(&response);
            process.targets.lock().admitted(place.work, sequence);
            note_signal(&process, &place, sent_at, DispatchSignal::Accepted);
            copy_lines(&process, &place, response, &events).await
        }
        Err(HttpFailure::NotSent(reason)) => {
            debug!(process.log, "agent not reached"; "work" => %place.work, "reason" => reason);
            note_signal(&process, &place, sent_at, DispatchSignal::Unreachable);
            finish(&process, &place, DispatchResult::Unreachable);
            let reason = RefusalReason::NoTarget;
            Some(TrackerEvent::Refused {
                attempt,
                reason,
                retry_after: UNREACHED_RETRY_AFTER,
            })
        }
        Err(HttpFailure::Status(StatusCode::CONFLICT, body)) => {
            Some(on_refusal(&process, &place, &body))
        }
        Err(HttpFailure::Status(StatusCode::GONE, body)) => Some(on_gone(&process, &place, &body)),
        Err(err) => {
            debug!(process.log, "work answer lost"; "work" => %place.work, "reason" => %err);
            Some(TrackerEvent::ConnectionLost { attempt })
        }
    };
    if let Some(event) = event {
        let _ = events.send(event);
    }
}

/// Asks an agent for the rest of an answer; all that comes of it goes to `events`.
pub(super) async fn resume_work(
    process: Arc<EntryProcess>,
    place: AttemptPlace,
    resume: WorkResume,
    events: UnboundedSender<TrackerEvent>,
) {
    tokio::time::sleep(RESUME_PAUSE).await;
    let attempt = place.work.attempt;
    let answer = send(&process, &place, RESUME_PATH, &resume, CANCEL_TIMEOUT).await;
    let event = match answer {
        Ok(response) => copy_lines(&process, &place, response, &events).await,
        Err(HttpFailure::Status(StatusCode::GONE, body)) => Some(on_gone(&process, &place, &body)),
        Err(err) => {
            debug!(process.log, "resume not answered"; "work" => %place.work, "reason" => %err);
            tokio::time::sleep(RESUME_PAUSE).await;
            Some(TrackerEvent::ConnectionLost { attempt })
        }
    };
    if let Some(event) = event {
        let _ = events.send(event);
    }
}

/// Cancels an attempt; the answer goes to `events`.
pub(super) async fn cancel_work(
    process: Arc<EntryProcess>,
    place: AttemptPlace,
    cancel: WorkCancel,
    events: UnboundedSender<TrackerEvent>,
) {
    let attempt = place.work.attempt;
    let answer = match post(&place, CANCEL_PATH, &cancel, &process.settings.tokens.peer) {
        Ok(request) => process.work_client.json(request, CANCEL_TIMEOUT).await,
        Err(err) => Err(err),
    };
    let answer = answer.unwrap_or(CancelAnswer::Forgotten);
    finish(&process, &place, DispatchResult::Cancelled { sequence: 0 });
    let _ = events.send(TrackerEvent::CancelAnswered { attempt, answer });
}

/// Notes what a dispatch showed of an agent.
fn note_signal(
    process: &EntryProcess,
    place: &AttemptPlace,
    sent_at: Timestamp,
    signal: DispatchSignal,
) {
    let mut agents = process.agents.lock();
    agents.note_dispatch(&place.target, place.incarnation, sent_at, signal);
}

/// Notes the end of an attempt for the load estimate.
pub(super) fn finish(process: &EntryProcess, place: &AttemptPlace, result: DispatchResult) {
    process
        .targets
        .lock()
        .finished(Timestamp::now(), place.work, result);
}

/// Copies the lines of an answer; returns the event for an answer that ended too early.
async fn copy_lines(
    process: &EntryProcess,
    place: &AttemptPlace,
    response: Response<Incoming>,
    events: &UnboundedSender<TrackerEvent>,
) -> Option<TrackerEvent> {
    let attempt = place.work.attempt;
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
                    finish(process, place, DispatchResult::Answered { sequence });
                }
                let _ = events.send(TrackerEvent::Received(event));
                if is_last {
                    return None;
                }
            }
            Some(WorkLine::Load(load)) => {
                sequence = load.sequence;
                let mut targets = process.targets.lock();
                targets.observe_report(Timestamp::now(), &place.target, &load.report);
            }
            Some(WorkLine::Lost(reason)) => {
                debug!(process.log, "target lost"; "work" => %place.work, "reason" => %reason);
                finish(process, place, DispatchResult::Crashed);
                return Some(TrackerEvent::TargetLost { attempt });
            }
            None => break,
        }
    }
    Some(TrackerEvent::ConnectionLost { attempt })
}

fn on_refusal(process: &EntryProcess, place: &AttemptPlace, body: &[u8]) -> TrackerEvent {
    let attempt = place.work.attempt;
    let Ok(refusal) = serde_json::from_slice::<WorkRefusal>(body) else {
        return TrackerEvent::ConnectionLost { attempt };
    };
    if refusal.reason == RefusalReason::Duplicate {
        // The agent has this attempt from an earlier message; its events are to be had.
        return TrackerEvent::ConnectionLost { attempt };
    }
    if refusal.reason == RefusalReason::Draining {
        note_signal(
            process,
            place,
            Timestamp::now(),
            DispatchSignal::RefusedLeaving,
        );
    }
    finish(process, place, DispatchResult::Refused);
    let retry_after = Duration::from_millis(refusal.retry_after_ms);
    TrackerEvent::Refused {
        attempt,
        reason: refusal.reason,
        retry_after,
    }
}

/// The agent does not have the work, or not any longer.
fn on_gone(process: &EntryProcess, place: &AttemptPlace, body: &[u8]) -> TrackerEvent {
    finish(process, place, DispatchResult::Unreachable);
    let failure = serde_json::from_slice::<ResumeFailure>(body);
    let answer = failure.map_or(CancelAnswer::Forgotten, |failure| failure.answer);
    TrackerEvent::CancelAnswered {
        attempt: place.work.attempt,
        answer,
    }
}

async fn send(
    process: &EntryProcess,
    place: &AttemptPlace,
    path: &str,
    message: &impl Serialize,
    timeout: Duration,
) -> Result<Response<Incoming>, HttpFailure> {
    let request = post(place, path, message, &process.settings.tokens.peer)?;
    process.work_client.send(request, timeout).await
}

fn post(
    place: &AttemptPlace,
    path: &str,
    message: &impl Serialize,
    token: &str,
) -> Result<Request<Full<bytes::Bytes>>, HttpFailure> {
    post_json(&format!("{}{path}", place.agent_url), message, token)
}

/// Makes a POST request with a JSON body and the peer token.
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
