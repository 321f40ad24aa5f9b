//! Resumes an answer for a caller that reconnects through any entry VM.

use std::str::FromStr;

use tokio::sync::mpsc;

use crate::connection::WorkResume;
use crate::prelude::*;
use crate::request::{
    AnswerAssembler, AssemblyStep, EndReason, EventBody, RequestEnd, ResumePoint, TrackerEvent,
    WorkEvent, WorkId,
};

use super::caller_api::AuthenticatedCaller;
use super::dispatch::{AttemptLocation, resume_work};
use super::entry_process::EntryProcess;
use super::request_run::{AnswerPart, MAX_BUFFERED_PARTS};

/// The maximum number of consecutive resumes that deliver no event.
const MAX_IDLE_RESUMES: u32 = 5;
/// The retry delay suggested to a caller after a failed resume.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The target that holds an answer and the point to resume from.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
#[display("{attempt}/{target}/{incarnation}/{point}")]
pub(super) struct ResumeToken {
    /// The attempt whose answer is resumed.
    pub(super) attempt: u32,
    /// The target that runs the attempt.
    pub(super) target: TargetName,
    /// The incarnation of the target's agent.
    pub(super) incarnation: ProcessIncarnation,
    /// The position after the last delivered event.
    pub(super) point: ResumePoint,
}

impl FromStr for ResumeToken {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let invalid = || Error::Invalid(format!("no resume token: {text}"));
        let parts: SmallVec<[&str; 4]> = text.split('/').collect();
        let [attempt, target, incarnation, point] = parts.as_slice() else {
            return Err(invalid());
        };
        Ok(Self {
            attempt: attempt.parse().map_err(|_| invalid())?,
            target: TargetName::from(*target),
            incarnation: ProcessIncarnation(incarnation.parse().map_err(|_| invalid())?),
            point: point.parse()?,
        })
    }
}

/// The state of one resumed answer.
struct AnswerResume {
    process: Arc<EntryProcess>,
    location: AttemptLocation,
    account: AccountName,
    assembler: AnswerAssembler,
    events: mpsc::UnboundedSender<TrackerEvent>,
    parts: mpsc::Sender<AnswerPart>,
    n_idle_resumes: u32,
}

/// Whether a resume continues.
enum ResumeState {
    Open,
    Done,
}

/// Starts a resume and returns the channel that delivers the parts of the answer.
pub(super) fn start_resume(
    process: &Arc<EntryProcess>,
    caller: &AuthenticatedCaller,
    request: RequestId,
    token: ResumeToken,
) -> mpsc::Receiver<AnswerPart> {
    let (parts, receiver) = mpsc::channel(MAX_BUFFERED_PARTS);
    let (events, inputs) = mpsc::unbounded_channel();
    let address = process
        .agents
        .lock()
        .get(&token.target)
        .map(|agent| agent.work_address);
    let Some(address) = address else {
        let _ = parts.try_send(AnswerPart::End(target_lost_end()));
        return receiver;
    };
    let location = AttemptLocation {
        work: WorkId {
            request,
            attempt: token.attempt,
        },
        target: token.target,
        agent_url: Arc::from(format!("http://{address}")),
        incarnation: token.incarnation,
    };
    let mut assembler = AnswerAssembler::new(token.point);
    assembler.select_attempt(token.attempt);
    let resume = AnswerResume {
        process: Arc::clone(process),
        location,
        account: caller.account.clone(),
        assembler,
        events,
        parts,
        n_idle_resumes: 0,
    };
    tokio::spawn(resume.run(inputs));
    receiver
}

impl AnswerResume {
    async fn run(mut self, mut inputs: mpsc::UnboundedReceiver<TrackerEvent>) {
        self.request_rest();
        loop {
            let event = tokio::select! {
                Some(event) = inputs.recv() => event,
                () = self.parts.closed() => return,
            };
            if matches!(self.handle_event(event).await, ResumeState::Done) {
                return;
            }
        }
    }

    async fn handle_event(&mut self, event: TrackerEvent) -> ResumeState {
        match event {
            TrackerEvent::Received(event) => {
                self.n_idle_resumes = 0;
                for step in self.assembler.accept(event) {
                    if matches!(self.handle_step(step).await, ResumeState::Done) {
                        return ResumeState::Done;
                    }
                }
                ResumeState::Open
            }
            TrackerEvent::ConnectionLost { .. } if self.n_idle_resumes < MAX_IDLE_RESUMES => {
                self.n_idle_resumes += 1;
                self.request_rest();
                ResumeState::Open
            }
            _ => self.end(target_lost_end()).await,
        }
    }

    async fn handle_step(&mut self, step: AssemblyStep) -> ResumeState {
        match step {
            AssemblyStep::Deliver(event) => self.deliver(event).await,
            AssemblyStep::Complete(whole) => {
                let reason = EndReason::Complete(whole);
                let retry_after = Duration::ZERO;
                self.end(RequestEnd {
                    outcome: RequestOutcome::Answered,
                    reason,
                    retry_after,
                })
                .await
            }
            AssemblyStep::Failed(failure) => {
                let reason = EndReason::TargetFailed(failure);
                let retry_after = Duration::ZERO;
                self.end(RequestEnd {
                    outcome: RequestOutcome::Failed,
                    reason,
                    retry_after,
                })
                .await
            }
            AssemblyStep::Gap(_) => {
                self.assembler.clear_reported_gap();
                self.request_rest();
                ResumeState::Open
            }
            AssemblyStep::Invalid(_) => self.end(target_lost_end()).await,
        }
    }

    async fn deliver(&self, event: WorkEvent) -> ResumeState {
        debug_assert!(
            matches!(event.body, EventBody::Payload(_)),
            "only payloads are delivered"
        );
        let token = ResumeToken {
            attempt: event.attempt,
            target: self.location.target.clone(),
            incarnation: self.location.incarnation,
            point: self.assembler.resume_point(),
        };
        match self.parts.send(AnswerPart::Event(event, token)).await {
            Ok(()) => ResumeState::Open,
            Err(_) => ResumeState::Done,
        }
    }

    async fn end(&self, end: RequestEnd) -> ResumeState {
        let _ = self.parts.send(AnswerPart::End(end)).await;
        ResumeState::Done
    }

    fn request_rest(&self) {
        let resume = WorkResume {
            work: self.location.work,
            incarnation: self.location.incarnation,
            account: self.account.clone(),
            from: self.assembler.resume_point(),
        };
        let process = Arc::clone(&self.process);
        tokio::spawn(resume_work(
            process,
            self.location.clone(),
            resume,
            self.events.clone(),
        ));
    }
}

/// Returns the end of an answer whose remaining events are no longer available.
fn target_lost_end() -> RequestEnd {
    RequestEnd {
        outcome: RequestOutcome::Unknown,
        reason: EndReason::TargetLost,
        retry_after: RETRY_AFTER,
    }
}
