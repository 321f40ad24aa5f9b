//! Calls answered by one complete response.

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use http::{Response, StatusCode};

use crate::forward::{ReadError, ResponseHead};
use crate::prelude::*;
use crate::request::{AttemptOutcome, NextStep, UnknownReason};

use super::caller_body::CallerBody;
use super::open_dispatches::OpenDispatches;
use super::request_run::{CallContext, ChosenTarget, DispatchedCall};

/// The fraction of the remaining time without a response after which a repeatable call is also sent
/// to another target.
const SILENT_FRACTION: f64 = 0.35;

/// A complete response of a target.
pub(super) type TargetAnswer = (ResponseHead, CallerBody);

/// Runs a call answered by one complete response.
pub(super) async fn run(call: CallContext) -> Response<CallerBody> {
    if let Some(refusal) = call.refusal(call.admit_suspect()) {
        return refusal;
    }
    let mut last_failure = None;
    let step = tokio::select! {
        biased;
        ended = run_attempts(&call, &mut last_failure) => match ended {
            Ok((head, body)) => return call.target_response(head, body),
            Err(step) => Some(step),
        },
        () = call.answer_due() => None,
    };
    // A failure that a target states is authoritative; it takes precedence over a local response.
    match (last_failure, step) {
        (Some((head, body)), _) => call.target_response(head, body),
        (None, Some(step)) => call.give_up(step),
        (None, None) => {
            call.local_response(LocalResponse::Unknown(UnknownReason::Timeout), "deadline")
        }
    }
}

/// Dispatches the call until a target answers; a dispatch that is silent stays open beside the next.
async fn run_attempts(
    call: &CallContext,
    last_failure: &mut Option<TargetAnswer>,
) -> Result<TargetAnswer, NextStep> {
    let mut dispatches = OpenDispatches::default();
    let mut running = FuturesUnordered::new();
    let run = |(number, target)| async move { (number, attempt(call, target).await) };
    let first = dispatches.begin(call).await;
    let first = first.ok_or_else(|| dispatches.stop_step(AttemptOutcome::NotSent))?;
    running.push(run(first));
    let mut silence = silence_limit(call);
    let mut silent_at = Instant::now() + silence;
    let mut room_at: Option<Instant> = None;
    loop {
        let outcome = tokio::select! {
            biased;
            Some((number, ended)) = running.next() => {
                let outcome = match ended {
                    Ok(answer) => return Ok(answer),
                    Err(AttemptError::Outcome(outcome)) => outcome,
                    Err(AttemptError::Failure(answer)) => {
                        *last_failure = Some(answer);
                        AttemptOutcome::Failed
                    }
                };
                dispatches.end(number, outcome);
                if dispatches.has_active_dispatch() {
                    continue;
                }
                outcome
            }
            () = tokio::time::sleep_until(silent_at), if silent_at < call.deadline => {
                dispatches.record_silence(call, silence);
                AttemptOutcome::Silent
            }
            () = tokio::time::sleep_until(call.failure_due()), if last_failure.is_some() => {
                return Err(dispatches.stop_step(AttemptOutcome::Failed));
            }
            () = sleep_until_room(room_at) => AttemptOutcome::Silent,
        };
        let may_retry = match room_at.take() {
            // Its targets may have ended under it meanwhile.
            Some(_) => !call.is_harmful(),
            None => dispatches.next_step(call, outcome) == NextStep::Retry,
        };
        let next = match may_retry {
            true => dispatches.begin(call).await,
            false => None,
        };
        match next {
            Some(next) => {
                running.push(run(next));
                silence = silence_limit(call);
                silent_at = Instant::now() + silence;
            }
            None => {
                room_at = may_retry.then(|| dispatches.room_at(call)).flatten();
                if running.is_empty() && room_at.is_none() {
                    return Err(dispatches.stop_step(outcome));
                }
                // A silent target may still answer, until the deadline.
                silent_at = call.deadline;
            }
        }
    }
}

/// Waits until a target's limit may have room; forever where no dispatch waits for it.
pub(super) async fn sleep_until_room(room_at: Option<Instant>) {
    match room_at {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}

/// Dispatches the call once and reads the complete response.
async fn attempt(call: &CallContext, target: ChosenTarget) -> Result<TargetAnswer, AttemptError> {
    let dispatched = call.dispatch(target, None).await?;
    read_response(call, dispatched).await
}

/// Returns the time without a response after which a call is also sent to another target: a
/// repeatable call leaves time for that.
fn silence_limit(call: &CallContext) -> Duration {
    let left = call.time_left();
    if !call.route.kind.may_repeat() {
        return left;
    }
    left.mul_f64(SILENT_FRACTION)
        .max(call.route.objective)
        .min(left)
}

/// Why an attempt has no response that ends the call.
pub(super) enum AttemptError {
    /// No usable response.
    Outcome(AttemptOutcome),
    /// A server error, returned if no retry succeeds.
    Failure(TargetAnswer),
}

impl From<AttemptOutcome> for AttemptError {
    fn from(outcome: AttemptOutcome) -> Self {
        Self::Outcome(outcome)
    }
}

/// Reads the complete response of a dispatched call, and records its outcome.
pub(super) async fn read_response(
    call: &CallContext,
    dispatched: DispatchedCall,
) -> Result<TargetAnswer, AttemptError> {
    let DispatchedCall {
        pick,
        guard,
        mut response,
    } = dispatched;
    let body = match response.read_body(&call.state.buffers).await {
        Ok(body) => body,
        Err(err) => {
            let outcome = match err {
                ReadError::Cut(cut) => {
                    call.record_cut(&pick, cut);
                    AttemptOutcome::Unknown
                }
                ReadError::Broken(_) => AttemptOutcome::Broken,
            };
            guard.end();
            call.record_failure(&pick, outcome).await;
            return Err(outcome.into());
        }
    };
    guard.end();
    let head = response.head.clone();
    let is_delimited = response.is_delimited;
    response.keep_connection(&call.state.pool, &pick);
    if head.status == StatusCode::SERVICE_UNAVAILABLE
        || head.status == StatusCode::TOO_MANY_REQUESTS
        || head.status == StatusCode::REQUEST_TIMEOUT
    {
        // A caller takes these statuses as proof that the request did not run, which the target
        // did not state.
        call.record(&pick, Some(AttemptOutcome::Unknown));
        return Err(AttemptOutcome::Unknown.into());
    }
    let body = CallerBody::whole(body);
    if head.status.is_server_error() {
        call.record(&pick, Some(AttemptOutcome::Failed));
        return Err(AttemptError::Failure((head, body)));
    }
    call.record(&pick, None);
    call.record_answer(&pick, head.status, is_delimited);
    Ok((head, body))
}
