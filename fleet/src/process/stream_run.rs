//! Calls answered by a stream of events.

use http::Response;
use slog::{debug, info};
use tokio::sync::mpsc;

use crate::forward::StreamEvent;
use crate::prelude::*;
use crate::request::{NextStep, UnknownReason};
use crate::routing::{AdmitDecision, GROUP_RECOVERY_TIME, StartEnd};

use super::caller_body::{CallerBody, StreamPart};
use super::request_run::CallContext;
use super::start_guard::StartGuard;
use super::stream_source::{SourceEnd, StreamSource};

/// The number of events buffered for a slow caller.
const EVENT_QUEUE_LEN: usize = 4;

/// The fraction of the route's objective for which a stream waits for a free slot before it is
/// refused.
const ADMIT_WAIT_FRACTION: f64 = 0.125;

/// Why a stream is refused that gets no slot.
const FULL_REASON: &str = "no room in the group, or it does not serve";

/// Why a stream is refused that would begin too late.
const SLOW_REASON: &str = "streams wait too long for their first event";

/// Runs a call answered by a stream of events.
pub(super) async fn run(call: CallContext) -> Response<CallerBody> {
    let admitted = tokio::select! {
        biased;
        admitted = admit(&call) => admitted,
        () = call.state.drain.answers_due(call.state.grace()) => return call.stopping_refusal(),
    };
    if let Err((after, why)) = admitted {
        let answer = LocalResponse::Refused(NotRunProof::never_sent(), after);
        return call.local_response(answer, why);
    }
    // Targets may have ended under the request while this attempt waited.
    if let Some(refusal) = call.refusal(call.admit_suspect()) {
        return refusal;
    }
    let call = Arc::new(call);
    let start = StartGuard::begin(&call);
    let mut source = StreamSource::new(call.clone()).await;
    let first = tokio::select! {
        biased;
        first = source.next() => Some(first),
        () = call.answer_due() => None,
    };
    start.end(match &first {
        Some(Ok(_) | Err(SourceEnd::Complete)) => StartEnd::Begun,
        Some(Err(SourceEnd::Broken(_))) => StartEnd::Failed,
        None => StartEnd::GivenUp,
    });
    let first = match (first, source.take_failure()) {
        (Some(Err(SourceEnd::Broken(_))) | None, Some((head, body))) => {
            return call.target_response(head, body);
        }
        (Some(Err(SourceEnd::Broken(step))), None) => return call.give_up(step),
        (None, None) => {
            let answer = LocalResponse::Unknown(UnknownReason::Timeout);
            return call.local_response(answer, "deadline before the first event");
        }
        (Some(first), _) => first,
    };
    let Some(head) = source.head() else {
        return call.give_up(NextStep::GiveUp(UnknownReason::BadAnswer));
    };
    let (sender, receiver) = mpsc::channel(EVENT_QUEUE_LEN);
    let response = call.target_response(head, CallerBody::Events(receiver));
    tokio::spawn(forward_stream(call, source, first, sender));
    response
}

/// Waits a short time for a free slot in the group, or returns when a refused caller should retry, and
/// why it is refused.
async fn admit(call: &CallContext) -> Result<(), (Duration, &'static str)> {
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
            AdmitDecision::Slow(retry_after) => return Err((retry_after, SLOW_REASON)),
            AdmitDecision::Broken(retry_after) => return Err((retry_after, FULL_REASON)),
        };
        if tokio::time::timeout_at(wait_until, slot_freed)
            .await
            .is_err()
        {
            return Err((retry_after, FULL_REASON));
        }
    }
}

/// Forwards events until the stream is complete, the caller disconnects, the deadline passes, or no
/// target can go on with the stream.
async fn forward_stream(
    call: Arc<CallContext>,
    mut source: StreamSource,
    first: Result<StreamEvent, SourceEnd>,
    sender: mpsc::Sender<StreamPart>,
) {
    let ended = tokio::select! {
        ended = forward_events(&mut source, first, &sender) => ended,
        () = sender.closed() => StreamEnd::CallerLeft,
        () = tokio::time::sleep_until(call.deadline) => StreamEnd::Deadline,
    };
    info!(call.state.log, "stream ended"; "request" => &*call.head.attempt_id,
        "end" => ?ended, "last_event" => source.last_id(),
        "possible_runs" => source.possible_runs(),
        "left_ms" => call.time_left().as_millis() as u64,
        "after_ms" => call.received_at.elapsed().as_millis() as u64);
    drop(source);
    if matches!(ended, StreamEnd::Complete) {
        // Fails only if the caller has disconnected, and then nobody needs the end.
        let _ = sender.send(StreamPart::End).await;
    }
}

/// How a stream ended.
#[derive(Debug)]
enum StreamEnd {
    Complete,
    CallerLeft,
    Deadline,
    Broken(#[expect(dead_code, reason = "shown in the log line")] NextStep),
}

async fn forward_events(
    source: &mut StreamSource,
    first: Result<StreamEvent, SourceEnd>,
    sender: &mpsc::Sender<StreamPart>,
) -> StreamEnd {
    let mut next = first;
    loop {
        match next {
            Ok(event) => {
                if sender.send(StreamPart::Event(event.bytes)).await.is_err() {
                    return StreamEnd::CallerLeft;
                }
            }
            Err(SourceEnd::Complete) => {
                source.complete();
                return StreamEnd::Complete;
            }
            Err(SourceEnd::Broken(step)) => return StreamEnd::Broken(step),
        }
        next = source.next().await;
    }
}
