//! Resumes an answer for a caller that comes back through any entry VM.

use std::str::FromStr;

use tokio::sync::mpsc;

use crate::connection::WorkResume;
use crate::prelude::*;
use crate::request::{
    AnswerAssembler, AssemblyStep, EndReason, EventBody, RequestEnd, ResumePoint, TrackerEvent,
    WorkEvent, WorkId,
};

use super::caller_api::KnownCaller;
use super::dispatch::{AttemptPlace, resume_work};
use super::entry_process::EntryProcess;
use super::request_run::{CALLER_BUFFER, CallerPart};

/// The resumes in a row that may bring nothing.
const MAX_IDLE_RESUMES: u32 = 5;
/// When a caller may try again after a resume that failed.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Where an answer is to be had from, and from which point on.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
#[display("{attempt}/{target}/{incarnation}/{point}")]
pub(super) struct ResumeToken {
    /// The attempt.
    pub(super) attempt: u32,
    /// The target.
    pub(super) target: TargetName,
    /// The incarnation of its agent.
    pub(super) incarnation: ProcessIncarnation,
    /// The point after the last event.
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

/// A resume of one answer.
struct AnswerResume {
    process: Arc<EntryProcess>,
    place: AttemptPlace,
    account: AccountName,
    assembler: AnswerAssembler,
    events: mpsc::UnboundedSender<TrackerEvent>,
    parts: mpsc::Sender<CallerPart>,
    n_idle: u32,
}

/// Whether a resume goes on.
enum ResumeState {
    Open,
    Over,
}

/// Starts a resume; the parts of the answer come through the returned channel.
pub(super) fn start_resume(
    process: &Arc<EntryProcess>,
    caller: &KnownCaller,
    request: RequestId,
    token: ResumeToken,
) -> mpsc::Receiver<CallerPart> {
    let (parts, receiver) = mpsc::channel(CALLER_BUFFER);
    let (events, inputs) = mpsc::unbounded_channel();
    let address = process
        .agents
        .lock()
        .get(&token.target)
        .map(|agent| agent.work_address);
    let Some(address) = address else {
        let _ = parts.try_send(CallerPart::End(lost_end()));
        return receiver;
    };
    let place = AttemptPlace {
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
        place,
        account: caller.account.clone(),
        assembler,
        events,
        parts,
        n_idle: 0,
    };
    tokio::spawn(resume.drive(inputs));
    receiver
}

impl AnswerResume {
    async fn drive(mut self, mut inputs: mpsc::UnboundedReceiver<TrackerEvent>) {
        self.ask();
        loop {
            let event = tokio::select! {
                Some(event) = inputs.recv() => event,
                () = self.parts.closed() => return,
            };
            if matches!(self.take(event).await, ResumeState::Over) {
                return;
            }
        }
    }

    async fn take(&mut self, event: TrackerEvent) -> ResumeState {
        match event {
            TrackerEvent::Received(event) => {
                self.n_idle = 0;
                for step in self.assembler.accept(event) {
                    if matches!(self.pass(step).await, ResumeState::Over) {
                        return ResumeState::Over;
                    }
                }
                ResumeState::Open
            }
            TrackerEvent::ConnectionLost { .. } if self.n_idle < MAX_IDLE_RESUMES => {
                self.n_idle += 1;
                self.ask();
                ResumeState::Open
            }
            _ => self.end(lost_end()).await,
        }
    }

    async fn pass(&mut self, step: AssemblyStep) -> ResumeState {
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
                self.ask();
                ResumeState::Open
            }
            AssemblyStep::Invalid(_) => self.end(lost_end()).await,
        }
    }

    async fn deliver(&self, event: WorkEvent) -> ResumeState {
        debug_assert!(
            matches!(event.body, EventBody::Payload(_)),
            "only payloads are delivered"
        );
        let token = ResumeToken {
            attempt: event.attempt,
            target: self.place.target.clone(),
            incarnation: self.place.incarnation,
            point: self.assembler.resume_point(),
        };
        match self.parts.send(CallerPart::Event(event, token)).await {
            Ok(()) => ResumeState::Open,
            Err(_) => ResumeState::Over,
        }
    }

    async fn end(&self, end: RequestEnd) -> ResumeState {
        let _ = self.parts.send(CallerPart::End(end)).await;
        ResumeState::Over
    }

    fn ask(&self) {
        let resume = WorkResume {
            work: self.place.work,
            incarnation: self.place.incarnation,
            account: self.account.clone(),
            from: self.assembler.resume_point(),
        };
        let process = Arc::clone(&self.process);
        tokio::spawn(resume_work(
            process,
            self.place.clone(),
            resume,
            self.events.clone(),
        ));
    }
}

/// The end of an answer whose rest cannot be had any longer.
fn lost_end() -> RequestEnd {
    RequestEnd {
        outcome: RequestOutcome::Unknown,
        reason: EndReason::TargetLost,
        retry_after: RETRY_AFTER,
    }
}
