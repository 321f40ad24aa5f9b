//! Runs a model request at an engine.

use futures::{Stream, StreamExt};
use slog::{debug, info, warn};

use crate::connection::LossReason;
use crate::prelude::*;
use crate::process::platform::{EngineCall, EngineEvent, HttpFailure};
use crate::request::{ResumePoint, TargetFailure};

use super::agent_process::AgentProcess;
use super::work_run::WorkRun;
use super::work_table::StartedWork;

/// The maximum number of connections that are tried to start one answer.
const MAX_STARTS: u32 = 3;
/// The maximum number of resumes of one answer after its stream broke.
const MAX_RESUMES: u32 = 3;
/// The delay before each resume.
const RESUME_DELAY: Duration = Duration::from_millis(20);

/// The part of an answer that another target has already sent. It is compared and skipped.
struct SkippedPrefix {
    wanted: ResumePoint,
    seen: ResumePoint,
}

/// The result of comparing a payload with the prefix to skip.
enum PrefixCheck {
    Skip,
    Keep,
    Diverged,
}

/// The way in which a stream of the engine ended.
enum StreamEnd {
    /// The run has ended with a final event or a loss.
    Finished,
    /// The stream broke or could not start, or the run was cancelled. Unless it was cancelled, the
    /// answer may be resumed.
    Broken,
    /// The engine sent an event longer than this limit, in bytes.
    TooLong(usize),
}

/// Runs a request until its answer is complete, fails or is lost.
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
        stream = start_stream(process, &call) => match stream {
            Ok(stream) => {
                process.mark_target_up();
                forward_events(stream, run, &mut prefix).await
            }
            Err(failure) => on_start_failure(process, run, failure),
        },
    };
    match end {
        StreamEnd::Finished => {}
        StreamEnd::Broken => resume_model(process, start, &mut prefix).await,
        StreamEnd::TooLong(limit) => break_off(process, run, limit).await,
    }
    clear_suspicion(process, start);
}

/// Starts the request at the engine, which has nothing to resume while no connection was made.
async fn start_stream(
    process: &AgentProcess,
    call: &EngineCall<'_>,
) -> Result<impl Stream<Item = EngineEvent> + Send + use<>, HttpFailure> {
    let mut n_starts = 1;
    loop {
        match process.engine.start(call).await {
            Err(HttpFailure::NotSent(reason)) if n_starts < MAX_STARTS => {
                info!(process.log, "no connection to target"; "request" => %call.request,
                    "reason" => reason);
                n_starts += 1;
            }
            result => return result,
        }
    }
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
        tokio::time::sleep(RESUME_DELAY).await;
        let resumed = process
            .engine
            .resume(run.work.request, prefix.seen.index, timeout)
            .await;
        let end = match resumed {
            Ok(stream) => forward_events(stream, run, prefix).await,
            Err(HttpFailure::Status(..)) => {
                // The engine answers but does not know the request any more, so it has restarted.
                process.mark_target_crashed();
                run.lose(LossReason::Crashed);
                return;
            }
            Err(failure) => {
                debug!(process.log, "resume failed"; "work" => %run.work, "reason" => %failure);
                StreamEnd::Broken
            }
        };
        match end {
            StreamEnd::Finished => return,
            StreamEnd::Broken => {}
            StreamEnd::TooLong(limit) => return break_off(process, run, limit).await,
        }
    }
    if run.cancel.is_cancelled() {
        let _ = process.engine.cancel(run.work.request).await;
        run.lose(LossReason::Cancelled);
        return;
    }
    process.mark_target_crashed();
    run.lose(LossReason::Crashed);
}

/// Gives up an answer with an event that is too long, which the engine would send again.
async fn break_off(process: &AgentProcess, run: &WorkRun, limit: usize) {
    warn!(process.log, "event of the target too long"; "work" => %run.work, "limit" => limit);
    let _ = process.engine.cancel(run.work.request).await;
    run.lose(LossReason::BrokenOff);
}

async fn forward_events(
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
            Some(EngineEvent::Chunk(payload)) => match prefix.check(&payload) {
                PrefixCheck::Skip => {}
                PrefixCheck::Keep => run.push(payload),
                PrefixCheck::Diverged => {
                    run.lose(LossReason::Diverged);
                    return StreamEnd::Finished;
                }
            },
            Some(EngineEvent::End) if prefix.is_complete() => {
                run.end();
                return StreamEnd::Finished;
            }
            Some(EngineEvent::End) => {
                run.lose(LossReason::Diverged);
                return StreamEnd::Finished;
            }
            Some(EngineEvent::TooLong(limit)) => return StreamEnd::TooLong(limit),
            Some(EngineEvent::Broken(_)) | None => return StreamEnd::Broken,
        }
    }
}

fn on_start_failure(process: &AgentProcess, run: &WorkRun, failure: HttpFailure) -> StreamEnd {
    match failure {
        HttpFailure::Status(status, body) if status.is_client_error() => {
            let message = String::from_utf8_lossy(&body).into_owned();
            run.fail(TargetFailure {
                status: status.as_u16(),
                message,
            });
            StreamEnd::Finished
        }
        failure => {
            info!(process.log, "target did not accept work"; "work" => %run.work,
                "reason" => %failure);
            StreamEnd::Broken
        }
    }
}

/// Clears the crash suspicion of a request that ended without a crash.
fn clear_suspicion(process: &AgentProcess, start: &StartedWork) {
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

    fn is_complete(&self) -> bool {
        self.wanted.index <= self.seen.index
    }

    fn check(&mut self, payload: &str) -> PrefixCheck {
        if self.is_complete() {
            self.seen = self.seen.extend(payload);
            return PrefixCheck::Keep;
        }
        self.seen = self.seen.extend(payload);
        if self.seen.index < self.wanted.index || self.seen.digest == self.wanted.digest {
            return PrefixCheck::Skip;
        }
        PrefixCheck::Diverged
    }
}
