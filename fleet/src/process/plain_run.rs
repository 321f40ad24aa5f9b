//! Calls answered by one complete response.

use http::{Response, StatusCode};
use slog::info;

use crate::forward::ResponseHead;
use crate::prelude::*;
use crate::request::{AttemptOutcome, CallProgress, NextStep, UnknownReason};

use super::caller_body::CallerBody;
use super::request_run::{CallContext, DispatchedCall};

/// The fraction of the remaining time after which a repeatable call is retried at another target.
const SILENT_FRACTION: f64 = 0.35;

/// Runs a call answered by one complete response.
pub(super) async fn run(call: CallContext) -> Response<CallerBody> {
    match tokio::time::timeout_at(call.deadline, run_attempts(&call)).await {
        Ok(response) => response,
        Err(_) => call.local_response(LocalResponse::Unknown(UnknownReason::Timeout), "deadline"),
    }
}

async fn run_attempts(call: &CallContext) -> Response<CallerBody> {
    let mut progress = CallProgress::default();
    let mut excluded = SmallVec::new();
    let mut last_failure = None;
    loop {
        let attempt = async {
            let dispatched = call.dispatch(&mut excluded, None, call.time_left()).await?;
            read_response(call, dispatched).await
        };
        let limit = attempt_timeout(call, &progress);
        let outcome = match tokio::time::timeout(limit, attempt).await {
            Ok(Ok((head, body))) => return call.target_response(head, body),
            Ok(Err(AttemptError::Outcome(outcome))) => outcome,
            Ok(Err(AttemptError::Failure(head, body))) => {
                last_failure = Some((head, body));
                AttemptOutcome::Failed
            }
            Err(_) => {
                info!(call.state.log, "target silent"; "request" => &*call.head.attempt_id,
                    "target" => excluded.last().map(|id: &Arc<str>| id.to_string()),
                    "limit_ms" => limit.as_millis() as u64,
                    "left_ms" => call.time_left().as_millis() as u64);
                AttemptOutcome::Silent
            }
        };
        progress.record(outcome);
        match call.next_step(&progress, outcome) {
            NextStep::Retry => {}
            step => {
                // A failure that a target states is authoritative; it takes precedence over a local
                // response.
                return match last_failure {
                    Some((head, body)) => call.target_response(head, body),
                    None => call.give_up(step),
                };
            }
        }
    }
}

/// Why an attempt has no response that ends the call.
pub(super) enum AttemptError {
    /// No usable response.
    Outcome(AttemptOutcome),
    /// A server error, returned if no retry succeeds.
    Failure(ResponseHead, CallerBody),
}

impl From<AttemptOutcome> for AttemptError {
    fn from(outcome: AttemptOutcome) -> Self {
        Self::Outcome(outcome)
    }
}

/// Returns the timeout of the next attempt: a repeatable call leaves time for another attempt.
fn attempt_timeout(call: &CallContext, progress: &CallProgress) -> Duration {
    let left = call.time_left();
    let is_last = call.route.attempts <= progress.possible_runs + 1;
    if !call.route.kind.may_repeat() || is_last {
        return left;
    }
    left.mul_f64(SILENT_FRACTION)
        .max(call.route.objective)
        .min(left)
}

/// Reads the complete response of a dispatched call, and records its outcome.
pub(super) async fn read_response(
    call: &CallContext,
    dispatched: DispatchedCall,
) -> Result<(ResponseHead, CallerBody), AttemptError> {
    let DispatchedCall {
        pick,
        guard,
        mut response,
    } = dispatched;
    let Some(body) = response.read_body().await else {
        call.record(&pick, Some(AttemptOutcome::Unknown));
        return Err(AttemptOutcome::Unknown.into());
    };
    drop(guard);
    let head = response.head.clone();
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
        return Err(AttemptError::Failure(head, body));
    }
    call.record(&pick, None);
    Ok((head, body))
}
