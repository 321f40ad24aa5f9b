//! Calls with one whole answer.

use http::{Response, StatusCode};

use crate::forward::ResponseHead;
use crate::prelude::*;
use crate::request::{AttemptOutcome, CallProgress, NextStep, UnknownReason};

use super::caller_body::CallerBody;
use super::request_run::{CallContext, Dispatched};

/// The part of the time left after which a repeatable call is sent to another target.
const SILENT_PART: f64 = 0.35;

/// Runs a call with one whole answer.
pub(super) async fn run(call: CallContext) -> Response<CallerBody> {
    match tokio::time::timeout_at(call.deadline, run_attempts(&call)).await {
        Ok(response) => response,
        Err(_) => call.own_answer(LocalResponse::Unknown(UnknownReason::Timeout), "deadline"),
    }
}

async fn run_attempts(call: &CallContext) -> Response<CallerBody> {
    let mut progress = CallProgress::default();
    let mut excluded = SmallVec::new();
    let mut last_failure = None;
    loop {
        let attempt = async {
            let dispatched = call.dispatch(&mut excluded, None, call.time_left()).await?;
            read_answer(call, dispatched).await
        };
        let outcome = match tokio::time::timeout(answer_limit(call, &progress), attempt).await {
            Ok(Ok((head, body))) => return call.target_answer(head, body),
            Ok(Err(PlainEnd::Outcome(outcome))) => outcome,
            Ok(Err(PlainEnd::Failure(head, body))) => {
                last_failure = Some((head, body));
                AttemptOutcome::Failed
            }
            Err(_) => AttemptOutcome::Silent,
        };
        progress.record(outcome);
        match call.next_step(&progress, outcome) {
            NextStep::Retry => {}
            step => {
                // A failure that a target stated is the truth; it goes before our own words.
                return match last_failure {
                    Some((head, body)) => call.target_answer(head, body),
                    None => call.give_up(step),
                };
            }
        }
    }
}

/// Why an attempt brought no answer to pass on.
enum PlainEnd {
    Outcome(AttemptOutcome),
    Failure(ResponseHead, CallerBody),
}

impl From<AttemptOutcome> for PlainEnd {
    fn from(outcome: AttemptOutcome) -> Self {
        Self::Outcome(outcome)
    }
}

/// Returns how long an attempt may take: a repeatable call leaves time for another one.
fn answer_limit(call: &CallContext, progress: &CallProgress) -> Duration {
    let left = call.time_left();
    let is_last = call.route.attempts <= progress.possible_runs + 1;
    if !call.route.kind.may_repeat() || is_last {
        return left;
    }
    left.mul_f64(SILENT_PART)
        .max(call.route.objective)
        .min(left)
}

async fn read_answer(
    call: &CallContext,
    dispatched: Dispatched,
) -> Result<(ResponseHead, CallerBody), PlainEnd> {
    let Dispatched {
        pick,
        guard,
        mut answer,
    } = dispatched;
    let Some(body) = answer.read_body().await else {
        call.record(&pick, Some(AttemptOutcome::Unknown));
        return Err(AttemptOutcome::Unknown.into());
    };
    drop(guard);
    let head = answer.head.clone();
    answer.keep_connection(&call.state.pool, &pick);
    if head.status == StatusCode::SERVICE_UNAVAILABLE
        || head.status == StatusCode::TOO_MANY_REQUESTS
        || head.status == StatusCode::REQUEST_TIMEOUT
    {
        // These statuses promise that the request did not run, which the target did not state.
        return Err(AttemptOutcome::Unknown.into());
    }
    let body = CallerBody::whole(body);
    if head.status.is_server_error() {
        return Err(PlainEnd::Failure(head, body));
    }
    Ok((head, body))
}
