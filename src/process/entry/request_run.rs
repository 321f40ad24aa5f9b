//! Runs one request from its acceptance to its outcome.

use std::collections::HashMap;

use serde_json::Value;
use slog::{debug, info};
use tokio::sync::mpsc;

use crate::connection::{WorkKind, WorkRequest, WorkResume};
use crate::prelude::*;
use crate::process::routing::{
    PrefixHash, RefusalReason, RouteQuery, RouteRefusal, WorkCancel, WorkCost, WorkOffer,
    WorkRepetition, WorkSharing,
};
use crate::request::{
    EventBody, RequestEnd, RequestTracker, ResumePoint, TrackerAction, TrackerEvent, WorkEvent,
    WorkId,
};
use crate::version::config::TargetRole;

use super::answer_resume::ResumeToken;
use super::dispatch::{AttemptLocation, cancel_work, resume_work, send_work, withdraw_work};
use super::entry_process::EntryProcess;

/// The maximum number of answer parts buffered for a slow caller.
pub(super) const MAX_BUFFERED_PARTS: usize = 256;
/// How long before the deadline work that has sent no event is withdrawn, so that the agent can
/// still prove that it did not run.
const DEADLINE_MARGIN: Duration = Duration::from_millis(250);
/// The delay before a target is chosen again while one is silent.
pub(super) const SILENT_TARGET_DELAY: Duration = Duration::from_millis(100);
/// How long a stream can be resumed after its caller disconnected, before it is cancelled.
const RESUME_GRACE: Duration = Duration::from_secs(10);
/// How long cancellations may take after the caller disconnected.
const CANCEL_GRACE: Duration = Duration::from_secs(4);

/// An accepted request with its estimated cost and its deadline.
#[derive(Clone, Debug)]
pub(super) struct AcceptedRequest {
    /// The request id.
    pub(super) request: RequestId,
    /// The client account.
    pub(super) account: AccountName,
    /// The account's weight when accounts compete for capacity.
    pub(super) weight: u32,
    /// The scheduling lane.
    pub(super) lane: WorkLane,
    /// The model or service that a target must serve.
    pub(super) role: TargetRole,
    /// The API path or call that the target executes.
    pub(super) kind: WorkKind,
    /// The hashes of the prompt's prefixes, for prefix-aware routing.
    pub(super) prefixes: SmallVec<[PrefixHash; 8]>,
    /// The estimated cost, in tokens or calls.
    pub(super) cost: u64,
    /// Whether it may share a target with other work.
    pub(super) sharing: WorkSharing,
    /// The time of acceptance.
    pub(super) accepted_at: Timestamp,
    /// The time at which the answer is due.
    pub(super) deadline: Timestamp,
    /// The body sent to the target.
    pub(super) body: Value,
}

/// A part of an answer, as delivered to the caller.
#[derive(Clone, Debug)]
pub(super) enum AnswerPart {
    /// The next event, with the token to resume after it.
    Event(WorkEvent, ResumeToken),
    /// The end; no part follows.
    End(RequestEnd),
}

/// How an answer is delivered to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DeliveryMode {
    /// As a single response, which cannot be resumed after a disconnect.
    Whole,
    /// As a stream, which can be resumed after a disconnect.
    Stream,
}

struct RequestRun {
    process: Arc<EntryProcess>,
    request: AcceptedRequest,
    tracker: RequestTracker,
    locations: HashMap<u32, AttemptLocation>,
    events: mpsc::UnboundedSender<TrackerEvent>,
    parts: mpsc::Sender<AnswerPart>,
    mode: DeliveryMode,
    delivered: ResumePoint,
}

/// Starts an accepted request and returns the channel that delivers the parts of its answer.
pub(super) fn start_request(
    process: &Arc<EntryProcess>,
    request: AcceptedRequest,
    mode: DeliveryMode,
) -> mpsc::Receiver<AnswerPart> {
    let (parts, receiver) = mpsc::channel(MAX_BUFFERED_PARTS);
    let (events, inputs) = mpsc::unbounded_channel();
    let (tracker, actions) = RequestTracker::new(
        request.request,
        WorkRepetition::Repeatable,
        request.deadline,
    );
    process.budget.lock().first_try();
    process
        .journal
        .lock()
        .open(request.request, &request.account);
    process.metrics.in_flight.inc();
    let run = RequestRun {
        process: Arc::clone(process),
        request,
        tracker,
        locations: HashMap::new(),
        events,
        parts,
        mode,
        delivered: ResumePoint::default(),
    };
    tokio::spawn(run.run(actions.into_vec(), inputs));
    receiver
}

impl RequestRun {
    async fn run(
        mut self,
        actions: Vec<TrackerAction>,
        mut inputs: mpsc::UnboundedReceiver<TrackerEvent>,
    ) {
        self.execute(actions).await;
        self.schedule_hedge();
        while self.tracker.outcome().is_none() {
            let now = Timestamp::now();
            let cancel_at = self.request.deadline - DEADLINE_MARGIN;
            let (sleep, timer) = if now < cancel_at {
                (cancel_at.since(now), TrackerEvent::DeadlineNear)
            } else {
                (
                    self.request.deadline.since(now),
                    TrackerEvent::DeadlinePassed,
                )
            };
            let event = tokio::select! {
                biased;
                Some(event) = inputs.recv() => event,
                () = self.parts.closed() => self.on_caller_gone(&mut inputs).await,
                () = tokio::time::sleep(sleep) => timer,
            };
            self.handle_event(event).await;
        }
        self.finish();
    }

    async fn handle_event(&mut self, event: TrackerEvent) {
        let now = Timestamp::now();
        let actions = {
            let mut budget = self.process.budget.lock();
            self.tracker
                .on_event(now, event, &mut budget, &mut rand::rng())
        };
        self.execute(actions.into_vec()).await;
    }

    /// Handles a disconnect of the caller: a stream stays open for a resume for a while, then the
    /// work is cancelled. Returns the event that ends the request if it still has no outcome.
    async fn on_caller_gone(
        &mut self,
        inputs: &mut mpsc::UnboundedReceiver<TrackerEvent>,
    ) -> TrackerEvent {
        if self.mode == DeliveryMode::Stream {
            self.handle_events_for(RESUME_GRACE, inputs).await;
        }
        self.handle_event(TrackerEvent::CallerGone).await;
        self.handle_events_for(CANCEL_GRACE, inputs).await;
        TrackerEvent::DeadlinePassed
    }

    /// Handles events for the given time or until the outcome is known.
    async fn handle_events_for(
        &mut self,
        time: Duration,
        inputs: &mut mpsc::UnboundedReceiver<TrackerEvent>,
    ) {
        let deadline = Timestamp::now() + time;
        while self.tracker.outcome().is_none() {
            let left = deadline.since(Timestamp::now());
            match tokio::time::timeout(left, inputs.recv()).await {
                Ok(Some(event)) => self.handle_event(event).await,
                _ => break,
            }
        }
    }

    async fn execute(&mut self, actions: Vec<TrackerAction>) {
        let mut queue = std::collections::VecDeque::from(actions);
        while let Some(action) = queue.pop_front() {
            match action {
                TrackerAction::Route { tried } => {
                    let event = self.route(&tried);
                    let now = Timestamp::now();
                    let process = Arc::clone(&self.process);
                    let mut budget = process.budget.lock();
                    let more = self
                        .tracker
                        .on_event(now, event, &mut budget, &mut rand::rng());
                    queue.extend(more);
                }
                TrackerAction::Dispatch {
                    work,
                    target,
                    incarnation,
                    from,
                } => {
                    self.dispatch(work, target, incarnation, from);
                }
                TrackerAction::Resume { work, from, .. } => self.resume(work, from),
                TrackerAction::Withdraw { work, .. } => self.withdraw(work),
                TrackerAction::Cancel { work, .. } => self.cancel(work),
                TrackerAction::WaitForTarget => {
                    self.send_later(SILENT_TARGET_DELAY, TrackerEvent::RetryDue);
                }
                TrackerAction::RetryLater { delay } => {
                    self.process.metrics.retries.inc();
                    self.send_later(delay, TrackerEvent::RetryDue);
                }
                TrackerAction::Deliver(event) => self.deliver(event).await,
                TrackerAction::End(end) => {
                    let _ = self.parts.send(AnswerPart::End(end)).await;
                }
            }
        }
    }

    fn route(&mut self, tried: &[TargetName]) -> TrackerEvent {
        let now = Timestamp::now();
        let query = self.query(tried);
        let choice = self
            .process
            .targets
            .lock()
            .choose(now, &query, &mut rand::rng());
        let request = self.request.request;
        let account = &self.request.account;
        match choice {
            Ok(decision) => {
                info!(self.process.log, "routed"; "request" => %request, "account" => %account,
                    "target" => %decision.target, "reason" => %decision.reason,
                    "runner_up" => decision.runner_up.as_ref().map(ToString::to_string),
                    "load" => decision.load, "lane" => %self.request.lane);
                self.process.record_decision(request, decision.to_string());
                let agents = self.process.agents.lock();
                let agent = agents.get(&decision.target);
                match agent.and_then(|agent| agent.incarnation) {
                    Some(incarnation) => TrackerEvent::Routed {
                        target: decision.target,
                        incarnation,
                    },
                    None => TrackerEvent::RouteRefused(no_target()),
                }
            }
            Err(refusal) if self.has_silent_target(&refusal, tried) => {
                debug!(self.process.log, "target silent"; "request" => %request);
                TrackerEvent::TargetSilent
            }
            Err(refusal) => {
                info!(self.process.log, "not routed"; "request" => %request,
                    "account" => %account, "reason" => %refusal.reason);
                self.process.record_decision(request, refusal.to_string());
                TrackerEvent::RouteRefused(refusal)
            }
        }
    }

    /// Returns whether a target is missing only because the reports of one are late.
    fn has_silent_target(&self, refusal: &RouteRefusal, tried: &[TargetName]) -> bool {
        let lacks_target = matches!(
            refusal.reason,
            RefusalReason::NoTarget | RefusalReason::AllTried
        );
        let now = Timestamp::now();
        let index = self.process.index.load();
        let agents = self.process.agents.lock();
        let mut targets = index.targets_of(&self.request.role);
        lacks_target
            && targets.any(|target| !tried.contains(target) && agents.is_silent(now, target))
    }

    fn dispatch(
        &mut self,
        work: WorkId,
        target: TargetName,
        incarnation: ProcessIncarnation,
        from: ResumePoint,
    ) {
        let now = Timestamp::now();
        let address = self
            .process
            .agents
            .lock()
            .get(&target)
            .map(|agent| agent.work_address);
        let Some(address) = address else {
            let attempt = work.attempt;
            let reason = RefusalReason::NoTarget;
            let retry_after = Duration::from_secs(1);
            let _ = self.events.send(TrackerEvent::Refused {
                attempt,
                reason,
                retry_after,
            });
            return;
        };
        self.process
            .targets
            .lock()
            .dispatched(&target, work, &self.request.prefixes);
        let agent_url = Arc::from(format!("http://{address}"));
        let location = AttemptLocation {
            work,
            target,
            agent_url,
            incarnation,
        };
        self.locations.insert(work.attempt, location.clone());
        let request = self.work_request(now, work, incarnation, from);
        let process = Arc::clone(&self.process);
        tokio::spawn(send_work(process, location, request, self.events.clone()));
    }

    fn work_request(
        &self,
        now: Timestamp,
        work: WorkId,
        incarnation: ProcessIncarnation,
        from: ResumePoint,
    ) -> WorkRequest {
        let request = &self.request;
        let offer = WorkOffer {
            work,
            incarnation,
            entry: self.process.name.clone(),
            accepted_at: request.accepted_at,
            remaining_ms: request.deadline.since(now).as_millis() as u64,
            account: request.account.clone(),
            weight: request.weight,
            lane: request.lane,
            cost: request.cost,
            sharing: request.sharing,
        };
        let kind = request.kind.clone();
        WorkRequest {
            offer,
            kind,
            from,
            body: request.body.clone(),
        }
    }

    fn resume(&self, work: WorkId, from: ResumePoint) {
        let Some(location) = self.locations.get(&work.attempt).cloned() else {
            return;
        };
        let account = self.request.account.clone();
        let resume = WorkResume {
            work,
            incarnation: location.incarnation,
            account,
            from,
        };
        let process = Arc::clone(&self.process);
        tokio::spawn(resume_work(process, location, resume, self.events.clone()));
    }

    fn withdraw(&self, work: WorkId) {
        if let Some((location, cancel)) = self.cancellation(work) {
            let process = Arc::clone(&self.process);
            tokio::spawn(withdraw_work(
                process,
                location,
                cancel,
                self.events.clone(),
            ));
        }
    }

    fn cancel(&self, work: WorkId) {
        if let Some((location, cancel)) = self.cancellation(work) {
            let process = Arc::clone(&self.process);
            tokio::spawn(cancel_work(process, location, cancel, self.events.clone()));
        }
    }

    fn cancellation(&self, work: WorkId) -> Option<(AttemptLocation, WorkCancel)> {
        let location = self.locations.get(&work.attempt)?.clone();
        let cancel = WorkCancel {
            work,
            incarnation: location.incarnation,
            entry: self.process.name.clone(),
            accepted_at: self.request.accepted_at,
        };
        Some((location, cancel))
    }

    async fn deliver(&mut self, event: WorkEvent) {
        let Some(location) = self.locations.get(&event.attempt) else {
            return;
        };
        if let EventBody::Payload(payload) = &event.body {
            if self.delivered.index == 0 {
                let waited = Timestamp::now().since(self.request.accepted_at);
                self.process
                    .metrics
                    .first_event_s
                    .observe(waited.as_secs_f64());
            }
            self.delivered = self.delivered.extend(payload);
        }
        let token = ResumeToken {
            attempt: event.attempt,
            target: location.target.clone(),
            incarnation: location.incarnation,
            point: self.delivered,
        };
        let _ = self.parts.send(AnswerPart::Event(event, token)).await;
    }

    fn schedule_hedge(&self) {
        if self.request.lane != WorkLane::Lookup {
            return;
        }
        if let Some(delay) = self.process.hedges.lock().delay() {
            self.send_later(delay, TrackerEvent::HedgeDue);
        }
    }

    fn send_later(&self, delay: Duration, event: TrackerEvent) {
        let events = self.events.clone();
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            let _ = events.send(event);
        });
    }

    /// Records the outcome of a request in metrics, limiter and decision journal.
    fn finish(self) {
        let Some(outcome) = self.tracker.outcome() else {
            return;
        };
        let took = Timestamp::now().since(self.request.accepted_at);
        let process = &self.process;
        let request = &self.request;
        process.metrics.in_flight.dec();
        process.metrics.count_outcome(outcome);
        if outcome == RequestOutcome::Answered {
            process.metrics.whole_answer_s.observe(took.as_secs_f64());
            if request.lane == WorkLane::Lookup {
                process.hedges.lock().observe(took);
            }
        }
        let used = match outcome {
            RequestOutcome::NotRun => WorkCost { tokens: 0 },
            _ => WorkCost {
                tokens: request.cost,
            },
        };
        let estimated = WorkCost {
            tokens: request.cost,
        };
        process
            .limiter
            .lock()
            .finished(&request.account, &estimated, &used);
        process.journal.lock().close(request.request, outcome);
        info!(process.log, "request ended"; "request" => %request.request,
            "account" => %request.account, "outcome" => %outcome,
            "took_ms" => took.as_millis() as u64);
    }

    fn query<'a>(&'a self, tried: &'a [TargetName]) -> RouteQuery<'a> {
        RouteQuery {
            role: &self.request.role,
            prefixes: &self.request.prefixes,
            cost: self.request.cost,
            tried,
            deadline: self.request.deadline,
        }
    }
}

fn no_target() -> RouteRefusal {
    RouteRefusal {
        reason: RefusalReason::NoTarget,
        retry_after: Duration::from_secs(1),
    }
}
