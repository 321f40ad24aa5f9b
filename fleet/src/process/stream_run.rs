//! Calls answered by a stream of events.

use std::io;

use http::Response;
use slog::{debug, info};
use tokio::sync::mpsc;

use crate::forward::{RelayEnd, ResponseHead, StreamEvent, StreamRelay};
use crate::prelude::*;
use crate::request::{AttemptOutcome, CallProgress, NextStep, UnknownReason};
use crate::routing::{AdmitDecision, GROUP_RECOVERY_TIME};

use super::caller_body::CallerBody;
use super::plain_run::{AttemptError, read_response};
use super::request_run::{CallContext, DispatchedCall};

/// The number of events buffered for a slow caller.
const EVENT_QUEUE_LEN: usize = 4;

/// The fraction of the route's objective for which a stream waits for a free slot before it is
/// refused.
const ADMIT_WAIT_FRACTION: f64 = 0.125;

/// The time without a first event after which a stream is retried at another target, if other
/// streams of the group make progress.
const FIRST_EVENT_LIMIT: Duration = Duration::from_millis(1_000);

/// The number of the route's allowed pauses without an event after which a stream is resumed at
/// another target, if other streams of the group make progress.
const MAX_SILENT_PAUSES: u32 = 5;

/// The shortest time without an event after which a target counts as silent.
const MIN_SILENCE: Duration = Duration::from_millis(500);

/// A stream in progress.
struct StreamState {
    progress: CallProgress,
    excluded: SmallVec<[Arc<str>; 2]>,
    relay: StreamRelay,
    last_event_at: Option<Instant>,
    /// The last failure that a target stated, returned if no retry succeeds.
    stated_failure: Option<(ResponseHead, CallerBody)>,
}

/// Runs a call answered by a stream of events.
pub(super) async fn run(call: CallContext) -> Response<CallerBody> {
    if let Err(answer) = admit(&call).await {
        return call.local_response(answer, "no room in the group, or it does not serve");
    }
    let mut stream = StreamState {
        progress: CallProgress::default(),
        excluded: SmallVec::new(),
        relay: StreamRelay::new(call.head.last_event_id),
        last_event_at: None,
        stated_failure: None,
    };
    let starting = start(&call, &mut stream);
    let started = match tokio::time::timeout_at(call.deadline, starting).await {
        Ok(Ok(started)) => started,
        Ok(Err(step)) => {
            return match stream.stated_failure {
                Some((head, body)) => call.target_response(head, body),
                None => call.give_up(step),
            };
        }
        Err(_) => {
            let answer = LocalResponse::Unknown(UnknownReason::Timeout);
            return call.local_response(answer, "deadline before the first event");
        }
    };
    let (dispatched, first) = started;
    let (sender, receiver) = mpsc::channel(EVENT_QUEUE_LEN);
    let response = call.target_response(
        dispatched.response.head.clone(),
        CallerBody::Events(receiver),
    );
    tokio::spawn(forward_stream(call, stream, dispatched, first, sender));
    response
}

/// Waits a short time for a free slot in the group, or returns a refusal.
async fn admit(call: &CallContext) -> Result<(), LocalResponse> {
    let state = &call.state;
    let Some(catalog) = state.catalog.load_full() else {
        return Ok(());
    };
    let spec = catalog.services.get(&call.service);
    let Some(engine) = spec.and_then(|spec| spec.engine.as_ref()) else {
        return Ok(());
    };
    state
        .table
        .lock()
        .limit_mut(&call.service)
        .observe_arrival(call.received_at);
    let wait_until = call.received_at + call.route.objective.mul_f64(ADMIT_WAIT_FRACTION);
    loop {
        let slot_freed = state.slot_freed.notified();
        let now = Instant::now();
        let (decision, load) = state.table.lock().admit(&call.service, engine, now);
        debug!(state.log, "admit"; "request" => &*call.head.attempt_id, "decision" => ?decision,
            "running" => load.running, "own" => load.own, "slots" => load.slots,
            "peer_demand" => load.peer_demand);
        let (wait_until, retry_after) = match decision {
            AdmitDecision::Admit => return Ok(()),
            AdmitDecision::Full(retry_after) => (wait_until, retry_after),
            AdmitDecision::Forming(until) => (until.min(call.deadline), GROUP_RECOVERY_TIME),
            AdmitDecision::Broken(retry_after) => {
                return Err(LocalResponse::Refused(
                    NotRunProof::never_sent(),
                    retry_after,
                ));
            }
        };
        if tokio::time::timeout_at(wait_until, slot_freed)
            .await
            .is_err()
        {
            return Err(LocalResponse::Refused(
                NotRunProof::never_sent(),
                retry_after,
            ));
        }
    }
}

/// Dispatches the request, with retries, until a target sends its first event.
async fn start(
    call: &CallContext,
    stream: &mut StreamState,
) -> Result<(DispatchedCall, Result<StreamEvent, RelayEnd>), NextStep> {
    loop {
        let outcome = match attempt_start(call, stream).await {
            Ok(started) => return Ok(started),
            Err(outcome) => outcome,
        };
        stream.progress.record(outcome);
        match call.next_step(&stream.progress, outcome) {
            NextStep::Retry => stream.relay.restart(),
            step => return Err(step),
        }
    }
}

/// Dispatches the request once and waits for the first event.
async fn attempt_start(
    call: &CallContext,
    stream: &mut StreamState,
) -> Result<(DispatchedCall, Result<StreamEvent, RelayEnd>), AttemptOutcome> {
    let last_id = stream.relay.last_id();
    let dispatching = call.dispatch(&mut stream.excluded, last_id, call.time_left());
    let silence = silence_limit(call, FIRST_EVENT_LIMIT);
    let mut dispatched = tokio::select! {
        dispatched = dispatching => dispatched?,
        () = wait_silent(call, silence) => {
            log_silence(call, None, silence);
            return Err(AttemptOutcome::Silent);
        }
    };
    if !dispatched.response.head.status.is_success() {
        return match read_response(call, dispatched).await {
            Ok((head, body)) | Err(AttemptError::Failure(head, body)) => {
                stream.stated_failure = Some((head, body));
                Err(AttemptOutcome::Failed)
            }
            Err(AttemptError::Outcome(outcome)) => Err(outcome),
        };
    }
    let first = tokio::select! {
        first = stream.relay.next_event(&mut dispatched.response) => first,
        () = wait_silent(call, silence) => {
            log_silence(call, Some(&dispatched), silence);
            return Err(AttemptOutcome::Silent);
        }
    };
    if let Err(RelayEnd::Broken(outcome)) = first {
        call.record(&dispatched.pick, Some(outcome));
        return Err(outcome);
    }
    call.record(&dispatched.pick, None);
    Ok((dispatched, first))
}

/// Returns the time after which a target that sends nothing counts as silent; streams that cannot
/// be resumed wait until their deadline, as they may run only once.
fn silence_limit(call: &CallContext, limit: Duration) -> Duration {
    match call.route.kind {
        CallKind::ResumableStream => limit.max(MIN_SILENCE),
        _ => call.time_left(),
    }
}

/// Waits until a target counts as silent: the limit has passed and other streams of the group make
/// progress. If the whole group stalls, no single target is at fault.
async fn wait_silent(call: &CallContext, limit: Duration) {
    tokio::time::sleep(limit).await;
    loop {
        let now = Instant::now();
        let has_progress = call
            .state
            .table
            .lock()
            .limit_mut(&call.service)
            .pause_at(now)
            .is_some();
        if has_progress {
            return;
        }
        tokio::time::sleep(MIN_SILENCE / 2).await;
    }
}

/// Forwards events until the stream is complete, the caller disconnects, the deadline passes, or no
/// target can resume the stream.
async fn forward_stream(
    call: CallContext,
    mut stream: StreamState,
    dispatched: DispatchedCall,
    first: Result<StreamEvent, RelayEnd>,
    sender: mpsc::Sender<Result<Bytes, io::Error>>,
) {
    let ended = tokio::select! {
        ended = forward_events(&call, &mut stream, dispatched, first, &sender) => ended,
        () = sender.closed() => StreamEnd::CallerLeft,
        () = tokio::time::sleep_until(call.deadline) => StreamEnd::Deadline,
    };
    info!(call.state.log, "stream ended"; "request" => &*call.head.attempt_id,
        "end" => ?ended, "last_event" => stream.relay.last_id(),
        "failed_runs" => stream.progress.possible_runs,
        "left_ms" => call.time_left().as_millis() as u64,
        "after_ms" => call.received_at.elapsed().as_millis() as u64);
    let is_cut = matches!(ended, StreamEnd::Broken(_) | StreamEnd::Deadline);
    if is_cut {
        // Fails only if the caller has disconnected, and then nobody needs the error.
        let _ = sender
            .send(Err(io::Error::from(io::ErrorKind::ConnectionAborted)))
            .await;
    }
}

/// How a stream ended.
#[derive(Debug)]
enum StreamEnd {
    Complete,
    CallerLeft,
    Deadline,
    Broken(#[expect(dead_code, reason = "shown in the log line")] AttemptOutcome),
}

async fn forward_events(
    call: &CallContext,
    stream: &mut StreamState,
    mut dispatched: DispatchedCall,
    first: Result<StreamEvent, RelayEnd>,
    sender: &mpsc::Sender<Result<Bytes, io::Error>>,
) -> StreamEnd {
    let mut next = first;
    loop {
        let outcome = match next {
            Ok(event) => {
                if sender.send(Ok(event.bytes)).await.is_err() {
                    return StreamEnd::CallerLeft;
                }
                observe_event(call, stream);
                next = next_event(call, stream, &mut dispatched).await;
                continue;
            }
            Err(RelayEnd::Complete) => {
                drop(dispatched.guard);
                dispatched
                    .response
                    .keep_connection(&call.state.pool, &dispatched.pick);
                return StreamEnd::Complete;
            }
            Err(RelayEnd::Broken(outcome)) => outcome,
        };
        call.record(&dispatched.pick, Some(outcome));
        drop(dispatched);
        stream.progress.record(outcome);
        let step = call.next_step(&stream.progress, outcome);
        if step != NextStep::Retry {
            return StreamEnd::Broken(outcome);
        }
        stream.relay.restart();
        stream.last_event_at = None;
        match start(call, stream).await {
            Ok((resumed, event)) => {
                dispatched = resumed;
                next = event;
            }
            Err(_) => return StreamEnd::Broken(outcome),
        }
    }
}

async fn next_event(
    call: &CallContext,
    stream: &mut StreamState,
    dispatched: &mut DispatchedCall,
) -> Result<StreamEvent, RelayEnd> {
    let pauses = call.route.pause.unwrap_or(MIN_SILENCE) * MAX_SILENT_PAUSES;
    let limit = silence_limit(call, pauses);
    tokio::select! {
        event = stream.relay.next_event(&mut dispatched.response) => event,
        () = wait_silent(call, limit) => {
            log_silence(call, Some(dispatched), limit);
            Err(RelayEnd::Broken(AttemptOutcome::Silent))
        }
    }
}

/// Logs that a target is taken for silent while its connection is still open.
fn log_silence(call: &CallContext, dispatched: Option<&DispatchedCall>, limit: Duration) {
    info!(call.state.log, "target silent"; "request" => &*call.head.attempt_id,
        "target" => dispatched.map(|dispatched| dispatched.pick.id.to_string()),
        "limit_ms" => limit.as_millis() as u64,
        "left_ms" => call.time_left().as_millis() as u64);
}

fn observe_event(call: &CallContext, stream: &mut StreamState) {
    let now = Instant::now();
    let mut table = call.state.table.lock();
    table.group_mut(&call.service).record_progress(now);
    if let Some(last_at) = stream.last_event_at {
        let pause = now.saturating_duration_since(last_at);
        table.limit_mut(&call.service).observe_pause(pause, now);
    }
    drop(table);
    stream.last_event_at = Some(now);
}
