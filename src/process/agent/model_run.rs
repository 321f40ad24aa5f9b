//! Runs a model request at the engine.

use futures::{Stream, StreamExt};
use slog::{debug, info};

use crate::connection::LossReason;
use crate::prelude::*;
use crate::process::platform::{EngineCall, EngineEvent, HttpFailure};
use crate::request::{ResumePoint, TargetFailure};

use super::agent_process::AgentProcess;
use super::work_run::WorkRun;
use super::work_table::StartedWork;

/// The resumes of one answer after its stream broke.
const MAX_RESUMES: u32 = 3;
/// The pause before a resume.
const RESUME_PAUSE: Duration = Duration::from_millis(20);

/// The part of an answer that another target gave already, checked and left out.
struct SkippedPrefix {
    wanted: ResumePoint,
    seen: ResumePoint,
}

/// Whether a payload belongs to the answer of this attempt.
enum PrefixStep {
    Skip,
    Keep,
    Diverged,
}

/// How one stream of the engine ended.
enum StreamEnd {
    /// The run has its last event or its loss.
    Over,
    /// The stream broke; the answer may be resumed.
    Broken,
}

/// Runs a request to its end, whole or lost.
pub(super) async fn run_model(process: &Arc<AgentProcess>, start: &StartedWork, path: &str) {
    let offer = &start.request.offer;
    let call = EngineCall {
        path,
        request: offer.work.request,
        priority: offer.lane as u32,
        body: &start.request.body,
        timeout: Duration::from_millis(offer.remaining_ms),
    };
    let run = &start.run;
    let mut prefix = SkippedPrefix::new(start.request.from);
    let end = tokio::select! {
        () = run.cancel.cancelled() => StreamEnd::Broken,
        stream = process.engine.start(&call) => match stream {
            Ok(stream) => {
                process.target_answers();
                copy_events(stream, run, &mut prefix).await
            }
            Err(failure) => on_refusal(process, run, failure),
        },
    };
    if matches!(end, StreamEnd::Broken) {
        resume_model(process, start, &mut prefix).await;
    }
    settle(process, start);
}

async fn resume_model(
    process: &Arc<AgentProcess>,
    start: &StartedWork,
    prefix: &mut SkippedPrefix,
) {
    let run = &start.run;
    let timeout = Duration::from_millis(start.request.offer.remaining_ms);
    for _ in 0..MAX_RESUMES {
        if run.cancel.is_cancelled() {
            break;
        }
        tokio::time::sleep(RESUME_PAUSE).await;
        let resumed = process
            .engine
            .resume(run.work.request, prefix.seen.index, timeout)
            .await;
        let end = match resumed {
            Ok(stream) => copy_events(stream, run, prefix).await,
            Err(HttpFailure::Status(..)) => {
                // The engine answers but no longer knows the request: it has restarted.
                process.target_crashed();
                run.lose(LossReason::Crashed);
                return;
            }
            Err(failure) => {
                debug!(process.log, "resume failed"; "work" => %run.work, "reason" => %failure);
                StreamEnd::Broken
            }
        };
        if matches!(end, StreamEnd::Over) {
            return;
        }
    }
    if run.cancel.is_cancelled() {
        let _ = process.engine.cancel(run.work.request).await;
        run.lose(LossReason::Cancelled);
        return;
    }
    process.target_crashed();
    run.lose(LossReason::Crashed);
}

async fn copy_events(
    stream: impl Stream<Item = EngineEvent>,
    run: &WorkRun,
    prefix: &mut SkippedPrefix,
) -> StreamEnd {
    let mut stream = std::pin::pin!(stream);
    loop {
        let event = tokio::select! {
            event = stream.next() => event,
            () = run.cancel.cancelled() => return StreamEnd::Broken,
        };
        match event {
            Some(EngineEvent::Chunk(payload)) => match prefix.pass(&payload) {
                PrefixStep::Skip => {}
                PrefixStep::Keep => run.push(payload),
                PrefixStep::Diverged => {
                    run.lose(LossReason::Diverged);
                    return StreamEnd::Over;
                }
            },
            Some(EngineEvent::End) if prefix.is_passed() => {
                run.end();
                return StreamEnd::Over;
            }
            Some(EngineEvent::End) => {
                run.lose(LossReason::Diverged);
                return StreamEnd::Over;
            }
            Some(EngineEvent::Broken(_)) | None => return StreamEnd::Broken,
        }
    }
}

fn on_refusal(process: &AgentProcess, run: &WorkRun, failure: HttpFailure) -> StreamEnd {
    match failure {
        HttpFailure::Status(status, body) if status.is_client_error() => {
            let message = String::from_utf8_lossy(&body).into_owned();
            run.fail(TargetFailure {
                status: status.as_u16(),
                message,
            });
            StreamEnd::Over
        }
        failure => {
            info!(process.log, "target did not take work"; "work" => %run.work, "reason" => %failure);
            StreamEnd::Broken
        }
    }
}

/// A request that ended without a crash is held against no longer.
fn settle(process: &AgentProcess, start: &StartedWork) {
    if !start.run.is_lost_to_crash() {
        process.suspects.lock().finished(&start.run.digest);
    }
}

impl SkippedPrefix {
    fn new(wanted: ResumePoint) -> Self {
        Self {
            wanted,
            seen: ResumePoint::default(),
        }
    }

    fn is_passed(&self) -> bool {
        self.wanted.index <= self.seen.index
    }

    fn pass(&mut self, payload: &str) -> PrefixStep {
        if self.is_passed() {
            self.seen = self.seen.extend(payload);
            return PrefixStep::Keep;
        }
        self.seen = self.seen.extend(payload);
        if self.seen.index < self.wanted.index || self.seen.digest == self.wanted.digest {
            return PrefixStep::Skip;
        }
        PrefixStep::Diverged
    }
}
