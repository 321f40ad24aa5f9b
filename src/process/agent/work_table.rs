//! The work of an agent: what waits, what runs, and finished answers kept for a resume.

use std::collections::{HashMap, VecDeque};

use tokio::sync::oneshot;

use crate::connection::WorkRequest;
use crate::prelude::*;
use crate::process::routing::{
    AdmissionAction, AdmissionDecision, AgentAdmission, CancelAnswer, RefusalReason, RequestDigest,
    WorkCancel,
};
use crate::request::WorkId;

use super::work_run::WorkRun;

/// How long a finished answer is kept for a resume.
const KEEP_FINISHED: Duration = Duration::from_secs(60);
/// The most finished answers that are kept.
const MAX_FINISHED: usize = 1_024;

/// The work of an agent. One lock holds all of it, so that no start is missed.
#[derive(Debug)]
pub(super) struct WorkTable {
    /// The admission.
    pub(super) admission: AgentAdmission,
    waiting: HashMap<WorkId, WaitingWork>,
    runs: HashMap<WorkId, Arc<WorkRun>>,
    finished: VecDeque<(Timestamp, WorkId)>,
}

/// What became of offered work.
pub(super) enum OfferResult {
    /// It starts.
    Started(StartedWork),
    /// It waits; the receiver tells whether it starts.
    Waiting(oneshot::Receiver<WaitResult>),
    /// It does not start now, but a copy of the message may have run.
    Unproved(RefusalReason),
    /// It was refused.
    Refused(RefusalReason, Duration),
}

/// Work that is to be given to the target.
pub(super) struct StartedWork {
    /// The work.
    pub(super) request: WorkRequest,
    /// Its run.
    pub(super) run: Arc<WorkRun>,
}

/// What became of work that waited.
pub(super) type WaitResult = Result<Arc<WorkRun>, (RefusalReason, Duration)>;

#[derive(Debug)]
struct WaitingWork {
    request: WorkRequest,
    result: oneshot::Sender<WaitResult>,
}

impl WorkTable {
    /// Makes the table of one life of an agent.
    pub(super) fn new(incarnation: ProcessIncarnation, slots: u32) -> Self {
        Self {
            admission: AgentAdmission::new(incarnation, slots),
            waiting: HashMap::new(),
            runs: HashMap::new(),
            finished: VecDeque::new(),
        }
    }

    /// Takes in offered work; returns what became of it and what else starts.
    pub(super) fn offer(
        &mut self,
        now: Timestamp,
        request: WorkRequest,
    ) -> (OfferResult, Vec<StartedWork>) {
        let work = request.offer.work;
        let (decision, actions) = self.admission.admit(now, request.offer.clone());
        let result = match decision {
            AdmissionDecision::Start => OfferResult::Started(self.start(request)),
            AdmissionDecision::Wait => {
                let (result, receiver) = oneshot::channel();
                self.waiting.insert(work, WaitingWork { request, result });
                OfferResult::Waiting(receiver)
            }
            AdmissionDecision::Refused {
                reason,
                retry_after,
            } => OfferResult::Refused(reason, retry_after),
            AdmissionDecision::Unproved { reason } => OfferResult::Unproved(reason),
            AdmissionDecision::Duplicate => {
                OfferResult::Refused(RefusalReason::Duplicate, Duration::ZERO)
            }
        };
        (result, self.carry_out(actions))
    }

    /// Notes the end of a run; returns what starts in its place.
    pub(super) fn finish(&mut self, now: Timestamp, work: WorkId) -> Vec<StartedWork> {
        self.finished.push_back((now, work));
        while let Some(&(at, oldest)) = self.finished.front() {
            if now.since(at) < KEEP_FINISHED && self.finished.len() <= MAX_FINISHED {
                break;
            }
            self.finished.pop_front();
            self.runs.remove(&oldest);
        }
        let actions = self.admission.finished(now, work);
        self.carry_out(actions)
    }

    /// Refuses what waited too long; returns what starts.
    pub(super) fn advance(&mut self, now: Timestamp) -> Vec<StartedWork> {
        let actions = self.admission.advance(now);
        self.carry_out(actions)
    }

    /// Cancels work.
    pub(super) fn cancel(&mut self, now: Timestamp, cancel: &WorkCancel) -> CancelAnswer {
        let answer = self.admission.cancel(now, cancel);
        match answer {
            CancelAnswer::Running => {
                // A second reader is the caller, which came back through another entry VM.
                let run = self
                    .runs
                    .get(&cancel.work)
                    .filter(|run| run.n_readers() < 2);
                if let Some(run) = run {
                    run.cancel.cancel();
                }
            }
            CancelAnswer::NeverStarted => {
                self.waiting.remove(&cancel.work);
            }
            CancelAnswer::Finished | CancelAnswer::Forgotten => {}
        }
        answer
    }

    /// Returns a run that is in progress or kept.
    pub(super) fn run(&self, work: &WorkId) -> Option<Arc<WorkRun>> {
        self.runs.get(work).cloned()
    }

    /// Returns the runs that have not ended.
    pub(super) fn in_progress(&self) -> Vec<Arc<WorkRun>> {
        self.admission
            .running()
            .filter_map(|work| self.runs.get(&work).cloned())
            .collect()
    }

    fn start(&mut self, request: WorkRequest) -> StartedWork {
        let offer = &request.offer;
        let body = request.body.to_string();
        let digest = RequestDigest::new(&offer.account, body.as_bytes());
        let run = Arc::new(WorkRun::new(
            offer.work,
            offer.account.clone(),
            digest,
            request.from,
        ));
        self.runs.insert(offer.work, Arc::clone(&run));
        StartedWork { request, run }
    }

    fn carry_out(&mut self, actions: SmallVec<[AdmissionAction; 2]>) -> Vec<StartedWork> {
        let mut started = Vec::new();
        for action in actions {
            match action {
                AdmissionAction::Start(work) => {
                    let Some(waiting) = self.waiting.remove(&work) else {
                        continue;
                    };
                    let start = self.start(waiting.request);
                    // The entry VM may be gone; it, or the caller, can still resume.
                    let _ = waiting.result.send(Ok(Arc::clone(&start.run)));
                    started.push(start);
                }
                AdmissionAction::Refuse {
                    work,
                    reason,
                    retry_after,
                } => {
                    if let Some(waiting) = self.waiting.remove(&work) {
                        let _ = waiting.result.send(Err((reason, retry_after)));
                    }
                }
            }
        }
        started
    }
}
