//! The work of an agent: waiting work, runs, and finished answers that are kept for a resume.

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

/// The time for which a finished answer is kept for a resume.
const FINISHED_RETENTION: Duration = Duration::from_secs(60);
/// The maximum number of finished answers that are kept.
const MAX_FINISHED: usize = 1_024;

/// The work of an agent. A single lock guards all of it, so that no start is missed.
#[derive(Debug)]
pub(super) struct WorkTable {
    /// Decides which work starts, waits or is refused.
    pub(super) admission: AgentAdmission,
    waiting: HashMap<WorkId, WaitingWork>,
    runs: HashMap<WorkId, Arc<WorkRun>>,
    finished: VecDeque<(Timestamp, WorkId)>,
}

/// The result of offering work.
pub(super) enum OfferResult {
    /// The work starts.
    Started(StartedWork),
    /// The work waits. The receiver gets the result.
    Waiting(oneshot::Receiver<WaitResult>),
    /// The work does not start, but an earlier copy of the message may have run.
    Unproved(RefusalReason),
    /// The work is refused.
    Refused(RefusalReason, Duration),
}

/// Work that must be sent to the target.
pub(super) struct StartedWork {
    /// The work.
    pub(super) request: WorkRequest,
    /// Its run.
    pub(super) run: Arc<WorkRun>,
}

/// The result of waiting work.
pub(super) type WaitResult = Result<Arc<WorkRun>, (RefusalReason, Duration)>;

#[derive(Debug)]
struct WaitingWork {
    request: WorkRequest,
    result: oneshot::Sender<WaitResult>,
}

impl WorkTable {
    /// Creates the table of one incarnation of an agent.
    pub(super) fn new(incarnation: ProcessIncarnation, slots: u32) -> Self {
        Self {
            admission: AgentAdmission::new(incarnation, slots),
            waiting: HashMap::new(),
            runs: HashMap::new(),
            finished: VecDeque::new(),
        }
    }

    /// Offers work. Returns the result and the other work that starts.
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
        (result, self.execute(actions))
    }

    /// Records the end of a run and returns the work that starts in its place.
    pub(super) fn finish(&mut self, now: Timestamp, work: WorkId) -> Vec<StartedWork> {
        self.finished.push_back((now, work));
        while let Some(&(at, oldest)) = self.finished.front() {
            if now.since(at) < FINISHED_RETENTION && self.finished.len() <= MAX_FINISHED {
                break;
            }
            self.finished.pop_front();
            self.runs.remove(&oldest);
        }
        let actions = self.admission.finished(now, work);
        self.execute(actions)
    }

    /// Refuses work that has waited too long and returns the work that starts.
    pub(super) fn advance(&mut self, now: Timestamp) -> Vec<StartedWork> {
        let actions = self.admission.advance(now);
        self.execute(actions)
    }

    /// Cancels work.
    pub(super) fn cancel(&mut self, now: Timestamp, cancel: &WorkCancel) -> CancelAnswer {
        let answer = self.withdraw(now, cancel);
        if answer == CancelAnswer::Running {
            // A second reader means that the caller has resumed through another entry VM.
            let run = self
                .runs
                .get(&cancel.work)
                .filter(|run| run.n_readers() < 2);
            if let Some(run) = run {
                run.cancel.cancel();
            }
        }
        answer
    }

    /// Cancels work that has not started; running work goes on.
    pub(super) fn withdraw(&mut self, now: Timestamp, cancel: &WorkCancel) -> CancelAnswer {
        let answer = self.admission.cancel(now, cancel);
        if answer == CancelAnswer::NeverStarted {
            self.waiting.remove(&cancel.work);
        }
        answer
    }

    /// Returns a run that is in progress, or that has finished and is still kept.
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

    fn execute(&mut self, actions: SmallVec<[AdmissionAction; 2]>) -> Vec<StartedWork> {
        let mut started = Vec::new();
        for action in actions {
            match action {
                AdmissionAction::Start(work) => {
                    let Some(waiting) = self.waiting.remove(&work) else {
                        continue;
                    };
                    let start = self.start(waiting.request);
                    // If the entry VM has disconnected, it or the caller can still resume the run.
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
