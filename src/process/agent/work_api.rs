//! The HTTP API of an agent for the work of entry VMs.

use bytes::Bytes;
use futures::{Stream, StreamExt};
use http::{HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::de::DeserializeOwned;
use slog::info;
use tokio::sync::oneshot;

use crate::connection::{
    CANCEL_PATH, ORDER_PATH, OrderDispatch, RESUME_PATH, ResponseBody, ResumeFailure,
    SEQUENCE_HEADER, WITHDRAW_PATH, WORK_PATH, WorkLine, WorkRefusal, WorkRequest, WorkResume,
    bearer_token, empty_reply, json_reply, read_body, stream_reply,
};
use crate::prelude::*;
use crate::process::routing::{CancelAnswer, RefusalReason, WorkCancel};
use crate::request::{EventBody, ResumePoint, WorkEvent, WorkId};

use super::agent_process::AgentProcess;
use super::order_driver::OrderInput;
use super::serving_state::ServingState;
use super::work_run::WorkRun;
use super::work_table::OfferResult;

/// The maximum size of the envelope around the body of a request, in bytes.
const MAX_ENVELOPE_BYTES: usize = 64 << 10;

/// Handles one request of an entry VM.
pub(super) async fn handle(
    process: Arc<AgentProcess>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    if bearer_token(request.headers()) != Some(&*process.settings.tokens.peer) {
        return empty_reply(StatusCode::UNAUTHORIZED);
    }
    if request.method() != Method::POST {
        return empty_reply(StatusCode::METHOD_NOT_ALLOWED);
    }
    let path = request.uri().path().to_owned();
    let limit = process.settings.limits.max_body_bytes + MAX_ENVELOPE_BYTES;
    let body = match read_body(request.into_body(), limit).await {
        Ok(body) => body,
        Err(err) => return json_reply(StatusCode::BAD_REQUEST, &err.to_string()),
    };
    let Some(serving) = process.serving.get() else {
        return refusal(&process, RefusalReason::NoTarget, Duration::from_secs(1));
    };
    match path.as_str() {
        WORK_PATH => with_body(&body, |work| offer(&process, serving, work)).await,
        RESUME_PATH => with_body(&body, |resume| resume_work(&process, serving, resume)).await,
        CANCEL_PATH => with_body(&body, |cancel| cancel_work(serving, cancel)).await,
        WITHDRAW_PATH => with_body(&body, |cancel| withdraw_work(serving, cancel)).await,
        ORDER_PATH => with_body(&body, |order| dispatch_order(&process, serving, order)).await,
        _ => empty_reply(StatusCode::NOT_FOUND),
    }
}

async fn with_body<T, F>(body: &Bytes, handler: impl FnOnce(T) -> F) -> Response<ResponseBody>
where
    T: DeserializeOwned,
    F: Future<Output = Response<ResponseBody>>,
{
    match serde_json::from_slice(body) {
        Ok(message) => handler(message).await,
        Err(err) => json_reply(StatusCode::BAD_REQUEST, &err.to_string()),
    }
}

async fn offer(
    process: &Arc<AgentProcess>,
    serving: &ServingState,
    request: WorkRequest,
) -> Response<ResponseBody> {
    let work = request.offer.work;
    let from = request.from;
    let (result, started) = serving.table.lock().offer(Timestamp::now(), request);
    process.spawn_runs(started);
    let run = match result {
        OfferResult::Started(start) => {
            let run = Arc::clone(&start.run);
            process.spawn_runs(vec![start]);
            Ok(run)
        }
        OfferResult::Waiting(result) => result
            .await
            .unwrap_or(Err((RefusalReason::Tombstone, Duration::ZERO))),
        OfferResult::Refused(reason, retry_after) => Err((reason, retry_after)),
        OfferResult::Unproved(reason) => {
            info!(process.log, "work unknown"; "work" => %work, "reason" => %reason);
            return resume_failure(CancelAnswer::Forgotten);
        }
    };
    match run {
        Ok(run) => stream_run(process, serving, &run, from),
        Err((reason, retry_after)) => {
            info!(process.log, "work refused"; "work" => %work, "reason" => %reason);
            refusal(process, reason, retry_after)
        }
    }
}

async fn resume_work(
    process: &Arc<AgentProcess>,
    serving: &ServingState,
    resume: WorkResume,
) -> Response<ResponseBody> {
    if resume.incarnation != process.incarnation {
        return resume_failure(CancelAnswer::Forgotten);
    }
    let run = serving.table.lock().run(&resume.work);
    match run.filter(|run| run.account == resume.account) {
        Some(run) => stream_run(process, serving, &run, resume.from),
        None => resume_failure(CancelAnswer::Forgotten),
    }
}

async fn cancel_work(serving: &ServingState, cancel: WorkCancel) -> Response<ResponseBody> {
    let answer = serving.table.lock().cancel(Timestamp::now(), &cancel);
    json_reply(StatusCode::OK, &answer)
}

async fn withdraw_work(serving: &ServingState, cancel: WorkCancel) -> Response<ResponseBody> {
    let answer = serving.table.lock().withdraw(Timestamp::now(), &cancel);
    json_reply(StatusCode::OK, &answer)
}

async fn dispatch_order(
    process: &Arc<AgentProcess>,
    serving: &ServingState,
    order: OrderDispatch,
) -> Response<ResponseBody> {
    let attempt = order.attempt;
    let (sender, reply) = oneshot::channel();
    let sent = serving
        .orders
        .send(OrderInput::Dispatch(Box::new(order), sender));
    match reply.await {
        Ok(reply) if sent.is_ok() => {
            info!(process.log, "order replied"; "attempt" => %attempt,
                "outcome" => %reply.outcome, "reason" => %reply.reason);
            json_reply(StatusCode::OK, &reply)
        }
        _ => empty_reply(StatusCode::SERVICE_UNAVAILABLE),
    }
}

fn stream_run(
    process: &Arc<AgentProcess>,
    serving: &ServingState,
    run: &Arc<WorkRun>,
    from: ResumePoint,
) -> Response<ResponseBody> {
    let Ok(lines) = run.stream(from) else {
        return resume_failure(CancelAnswer::Finished);
    };
    let sequence = serving.table.lock().admission.report_sequence();
    let mut response = stream_reply(
        "application/x-ndjson",
        encode(Arc::clone(process), run.work, lines),
    );
    response
        .headers_mut()
        .insert(SEQUENCE_HEADER, HeaderValue::from(sequence));
    response
}

/// Encodes the lines of an answer and inserts the target's load before the last one.
fn encode(
    process: Arc<AgentProcess>,
    work: WorkId,
    lines: impl Stream<Item = WorkLine> + Send,
) -> impl Stream<Item = Bytes> + Send {
    lines.map(move |line| {
        let is_last = !matches!(
            &line,
            WorkLine::Event(WorkEvent {
                body: EventBody::Payload(_),
                ..
            })
        );
        match is_last.then(|| process.end_load(work)).flatten() {
            Some(load) => [WorkLine::Load(load).encode(), line.encode()]
                .concat()
                .into(),
            None => line.encode(),
        }
    })
}

fn refusal(
    process: &AgentProcess,
    reason: RefusalReason,
    retry_after: Duration,
) -> Response<ResponseBody> {
    process
        .metrics
        .refusals
        .with_label_values(&[reason.to_string().as_str()])
        .inc();
    let refusal = WorkRefusal {
        reason,
        retry_after_ms: retry_after.as_millis() as u64,
        incarnation: process.incarnation,
    };
    json_reply(StatusCode::CONFLICT, &refusal)
}

fn resume_failure(answer: CancelAnswer) -> Response<ResponseBody> {
    json_reply(StatusCode::GONE, &ResumeFailure { answer })
}
