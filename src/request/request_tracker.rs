//! Tracks one request at its entry VM from acceptance to outcome.

use rand::{Rng, RngExt};

use crate::prelude::*;
use crate::process::routing::{
    CancelAnswer, RefusalReason, RetryBudget, RetryDecision, RetryQuery, RouteRefusal, TryFailure,
    WorkRepetition,
};

use super::answer_assembler::{AnswerAssembler, AssemblyStep};
use super::answer_digest::ResumePoint;
use super::tracker_event::{EndReason, RequestEnd, TrackerAction, TrackerEvent};
use super::work_event::WorkEvent;
use super::work_id::WorkId;

/// The maximum number of resumes of an attempt without an event in between.
const MAX_IDLE_RESUMES: u32 = 3;
/// The minimum delay before a caller may retry.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The actions that result from one event.
pub type TrackerActions = SmallVec<[TrackerAction; 4]>;

/// The state machine of one request at its entry VM.
///
/// A request ends in exactly one outcome, as soon as no further attempt is made. It ends as
/// `NotRun` only if every attempt is proven not to have started.
#[derive(Debug)]
pub struct RequestTracker {
    request: RequestId,
    repetition: WorkRepetition,
    deadline: Timestamp,
    attempts: SmallVec<[TrackedAttempt; 3]>,
    assembler: AnswerAssembler,
    phase: TrackerPhase,
    origin: RequestOrigin,
    outcome: Option<RequestOutcome>,
}

/// A request that another entry VM dispatched, as described by its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResumedRequest {
    /// The most recent attempt that answered.
    pub work: WorkId,
    /// The target of that attempt.
    pub target: TargetName,
    /// Whether the work may run more than once.
    pub repetition: WorkRepetition,
    /// The deadline of the answer.
    pub deadline: Timestamp,
    /// The point up to which the caller has the answer.
    pub from: ResumePoint,
}

/// Which entry VM first dispatched a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestOrigin {
    ThisEntry,
    AnotherEntry,
}

#[derive(Debug)]
struct TrackedAttempt {
    target: TargetName,
    state: AttemptState,
    n_idle_resumes: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptState {
    /// The attempt was sent and may be running.
    InFlight,
    /// The attempt is proven not to have started, and never will.
    NotStarted,
    /// The attempt may have run; no further events are expected from it.
    Lost,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TrackerPhase {
    Routing,
    /// The delay before a retry or another choice of a target has not elapsed yet.
    Waiting,
    InFlight,
    /// A second target is being chosen while the first attempt is still running.
    RoutingHedge,
    /// The caller disconnected; the answers to the cancellations are pending.
    Cancelling,
    Ended,
}

impl RequestTracker {
    /// Starts a request; its first action is to choose a target.
    pub fn new(
        request: RequestId,
        repetition: WorkRepetition,
        deadline: Timestamp,
    ) -> (Self, TrackerActions) {
        let tracker = Self {
            request,
            repetition,
            deadline,
            attempts: SmallVec::new(),
            assembler: AnswerAssembler::new(ResumePoint::default()),
            phase: TrackerPhase::Routing,
            origin: RequestOrigin::ThisEntry,
            outcome: None,
        };
        let actions = SmallVec::from_iter([tracker.route()]);
        (tracker, actions)
    }

    /// Resumes the answer of a request whose caller reconnected through this entry VM. The fate
    /// of earlier attempts is unknown here, so the request never ends as `NotRun`.
    pub fn resume(resumed: &ResumedRequest) -> (Self, TrackerActions) {
        let attempt = resumed.work.attempt.max(1);
        let attempts = (1..=attempt)
            .map(|number| TrackedAttempt {
                target: resumed.target.clone(),
                state: match number == attempt {
                    true => AttemptState::InFlight,
                    false => AttemptState::Lost,
                },
                n_idle_resumes: 0,
            })
            .collect();
        let mut assembler = AnswerAssembler::new(resumed.from);
        assembler.select_attempt(attempt);
        let tracker = Self {
            request: resumed.work.request,
            repetition: resumed.repetition,
            deadline: resumed.deadline,
            attempts,
            assembler,
            phase: TrackerPhase::InFlight,
            origin: RequestOrigin::AnotherEntry,
            outcome: None,
        };
        let action = TrackerAction::Resume {
            work: tracker.work(attempt),
            target: resumed.target.clone(),
            from: resumed.from,
        };
        (tracker, SmallVec::from_iter([action]))
    }

    /// Returns the outcome, or `None` while the request is in progress.
    pub fn outcome(&self) -> Option<RequestOutcome> {
        self.outcome
    }

    /// Returns the point up to which the answer was delivered.
    pub fn resume_point(&self) -> ResumePoint {
        self.assembler.resume_point()
    }

    /// Returns the id of the request.
    pub fn request(&self) -> RequestId {
        self.request
    }

    /// Handles an event and returns the resulting actions; none once the request has ended.
    pub fn on_event(
        &mut self,
        now: Timestamp,
        event: TrackerEvent,
        budget: &mut RetryBudget,
        rng: &mut impl Rng,
    ) -> TrackerActions {
        let mut actions = TrackerActions::new();
        if self.phase == TrackerPhase::Ended {
            return actions;
        }
        let failure = self.apply(event, budget, &mut actions);
        if let Some(failure) = failure
            && self.check_idle(&mut actions)
        {
            let query = RetryQuery {
                n_tries: self.attempts.len() as u32,
                failure: failure.try_failure(),
                repetition: self.repetition,
                deadline: self.deadline,
            };
            let decision = budget.decide(now, &query, rng);
            self.retry_or_end(failure.with_jitter(rng), decision, &mut actions);
        }
        actions
    }

    fn apply(
        &mut self,
        event: TrackerEvent,
        budget: &mut RetryBudget,
        actions: &mut TrackerActions,
    ) -> Option<AttemptFailure> {
        match event {
            TrackerEvent::Routed {
                target,
                incarnation,
            } => self.on_routed(target, incarnation, actions),
            TrackerEvent::RouteRefused(refusal) => self.on_route_refused(&refusal, actions),
            TrackerEvent::TargetSilent => self.on_target_silent(actions),
            TrackerEvent::Refused {
                attempt,
                reason,
                retry_after,
            } => {
                let refusal = RouteRefusal {
                    reason,
                    retry_after,
                };
                let is_new = self.finish_attempt(attempt, AttemptState::NotStarted);
                return is_new.then_some(AttemptFailure::NotStarted(refusal));
            }
            TrackerEvent::Received(event) => return self.on_received(event, actions),
            TrackerEvent::ConnectionLost { attempt } => {
                return self.on_connection_lost(attempt, actions);
            }
            TrackerEvent::TargetLost { attempt } => {
                let is_new = self.finish_attempt(attempt, AttemptState::Lost);
                return is_new.then_some(AttemptFailure::Lost);
            }
            TrackerEvent::CancelAnswered { attempt, answer } => {
                return self.on_cancel_answered(attempt, answer);
            }
            TrackerEvent::RetryDue => self.on_retry_due(actions),
            TrackerEvent::HedgeDue => self.on_hedge_due(budget, actions),
            TrackerEvent::DeadlineNear => self.on_deadline_near(actions),
            TrackerEvent::DeadlinePassed => self.on_deadline_passed(actions),
            TrackerEvent::CallerGone => self.on_caller_gone(actions),
        }
        None
    }

    fn on_routed(
        &mut self,
        target: TargetName,
        incarnation: ProcessIncarnation,
        actions: &mut TrackerActions,
    ) {
        let is_routing = matches!(
            self.phase,
            TrackerPhase::Routing | TrackerPhase::RoutingHedge
        );
        if !is_routing {
            return;
        }
        assert!(
            self.repetition == WorkRepetition::Repeatable || self.is_proven_not_run(),
            "at-most-once work must have at most one attempt that may run"
        );
        self.attempts.push(TrackedAttempt {
            target: target.clone(),
            state: AttemptState::InFlight,
            n_idle_resumes: 0,
        });
        self.phase = TrackerPhase::InFlight;
        actions.push(TrackerAction::Dispatch {
            work: self.work(self.attempts.len() as u32),
            target,
            incarnation,
            from: self.assembler.resume_point(),
        });
    }

    fn on_route_refused(&mut self, refusal: &RouteRefusal, actions: &mut TrackerActions) {
        match self.phase {
            TrackerPhase::RoutingHedge if 0 < self.n_in_flight() => {
                self.phase = TrackerPhase::InFlight;
            }
            TrackerPhase::Routing | TrackerPhase::RoutingHedge => {
                let reason = EndReason::Refused(refusal.reason);
                self.end_unanswered(reason, refusal.retry_after, actions);
            }
            _ => {}
        }
    }

    fn on_target_silent(&mut self, actions: &mut TrackerActions) {
        match self.phase {
            TrackerPhase::RoutingHedge if 0 < self.n_in_flight() => {
                self.phase = TrackerPhase::InFlight;
            }
            TrackerPhase::Routing | TrackerPhase::RoutingHedge => {
                self.phase = TrackerPhase::Waiting;
                actions.push(TrackerAction::WaitForTarget);
            }
            _ => {}
        }
    }

    fn on_received(
        &mut self,
        event: WorkEvent,
        actions: &mut TrackerActions,
    ) -> Option<AttemptFailure> {
        let attempt = event.attempt;
        if !self.is_in_flight(attempt) {
            return None;
        }
        self.attempts[attempt as usize - 1].n_idle_resumes = 0;
        self.cancel_others(attempt, actions);
        self.assembler.select_attempt(attempt);
        for step in self.assembler.accept(event) {
            match step {
                AssemblyStep::Deliver(event) => actions.push(TrackerAction::Deliver(event)),
                AssemblyStep::Complete(end) => {
                    let reason = EndReason::Complete(end);
                    self.end(RequestOutcome::Answered, reason, Duration::ZERO, actions);
                }
                AssemblyStep::Failed(failure) => {
                    let reason = EndReason::TargetFailed(failure);
                    self.end(RequestOutcome::Failed, reason, Duration::ZERO, actions);
                }
                AssemblyStep::Gap(_) => {
                    return self.on_connection_lost(attempt, actions);
                }
                AssemblyStep::Invalid(err) => {
                    self.finish_attempt(attempt, AttemptState::Lost);
                    let reason = EndReason::InvalidAnswer(err);
                    self.end_unanswered(reason, MIN_RETRY_AFTER, actions);
                }
            }
        }
        None
    }

    /// Resumes an attempt, or marks it as lost after too many resumes without an event.
    fn on_connection_lost(
        &mut self,
        attempt: u32,
        actions: &mut TrackerActions,
    ) -> Option<AttemptFailure> {
        if !self.is_in_flight(attempt) {
            return None;
        }
        let tracked = &mut self.attempts[attempt as usize - 1];
        if MAX_IDLE_RESUMES <= tracked.n_idle_resumes {
            tracked.state = AttemptState::Lost;
            return Some(AttemptFailure::Lost);
        }
        tracked.n_idle_resumes += 1;
        let target = tracked.target.clone();
        self.assembler.clear_reported_gap();
        actions.push(TrackerAction::Resume {
            work: self.work(attempt),
            target,
            from: self.assembler.resume_point(),
        });
        None
    }

    fn on_cancel_answered(&mut self, attempt: u32, answer: CancelAnswer) -> Option<AttemptFailure> {
        let state = match answer {
            CancelAnswer::NeverStarted => AttemptState::NotStarted,
            CancelAnswer::Finished | CancelAnswer::Forgotten => AttemptState::Lost,
            CancelAnswer::Running if self.phase == TrackerPhase::Cancelling => AttemptState::Lost,
            CancelAnswer::Running => return None,
        };
        if !self.finish_attempt(attempt, state) {
            return None;
        }
        if state == AttemptState::Lost {
            return Some(AttemptFailure::Lost);
        }
        Some(AttemptFailure::NotStarted(RouteRefusal {
            reason: RefusalReason::Tombstone,
            retry_after: MIN_RETRY_AFTER,
        }))
    }

    fn on_retry_due(&mut self, actions: &mut TrackerActions) {
        if self.phase == TrackerPhase::Waiting {
            self.phase = TrackerPhase::Routing;
            actions.push(self.route());
        }
    }

    fn on_hedge_due(&mut self, budget: &mut RetryBudget, actions: &mut TrackerActions) {
        let may_hedge = self.phase == TrackerPhase::InFlight
            && self.repetition == WorkRepetition::Repeatable
            && self.n_in_flight() == 1
            && self.assembler.resume_point().index == 0;
        if may_hedge && budget.take_hedge() {
            self.phase = TrackerPhase::RoutingHedge;
            actions.push(self.route());
        }
    }

    fn on_deadline_near(&mut self, actions: &mut TrackerActions) {
        let is_unanswered = self.assembler.resume_point().index == 0;
        if self.phase == TrackerPhase::InFlight && is_unanswered {
            for attempt in self.in_flight() {
                let TrackedAttempt { target, .. } = &self.attempts[attempt as usize - 1];
                actions.push(TrackerAction::Withdraw {
                    work: self.work(attempt),
                    target: target.clone(),
                });
            }
        }
    }

    fn on_deadline_passed(&mut self, actions: &mut TrackerActions) {
        self.cancel_all(actions);
        self.end_unanswered(EndReason::DeadlinePassed, MIN_RETRY_AFTER, actions);
    }

    /// Cancels the attempts of a disconnected caller, but lets at-most-once work in flight finish.
    fn on_caller_gone(&mut self, actions: &mut TrackerActions) {
        if self.repetition == WorkRepetition::AtMostOnce && 0 < self.n_in_flight() {
            return;
        }
        if self.n_in_flight() == 0 {
            self.end_unanswered(EndReason::CallerGone, Duration::ZERO, actions);
            return;
        }
        if self.phase != TrackerPhase::Cancelling {
            self.phase = TrackerPhase::Cancelling;
            self.cancel_all(actions);
        }
    }

    /// Returns whether a retry may be considered: no attempt is in flight and no hedge is being
    /// routed. Ends the request instead if its caller disconnected.
    fn check_idle(&mut self, actions: &mut TrackerActions) -> bool {
        let is_pending = self.phase == TrackerPhase::Ended
            || self.phase == TrackerPhase::RoutingHedge
            || 0 < self.n_in_flight();
        if is_pending {
            return false;
        }
        if self.phase == TrackerPhase::Cancelling {
            self.end_unanswered(EndReason::CallerGone, Duration::ZERO, actions);
            return false;
        }
        true
    }

    /// Schedules a retry or ends the request, as the retry budget decided.
    fn retry_or_end(
        &mut self,
        failure: AttemptFailure,
        decision: RetryDecision,
        actions: &mut TrackerActions,
    ) {
        match decision {
            RetryDecision::Retry { delay } => {
                self.phase = TrackerPhase::Waiting;
                actions.push(TrackerAction::RetryLater { delay });
            }
            RetryDecision::GiveUp { .. } | RetryDecision::MayHaveRun => {
                let (reason, retry_after) = failure.end();
                self.end_unanswered(reason, retry_after, actions);
            }
        }
    }

    /// Ends the request without an answer: `NotRun` if that is proven, otherwise `Unknown`.
    fn end_unanswered(
        &mut self,
        reason: EndReason,
        retry_after: Duration,
        actions: &mut TrackerActions,
    ) {
        let outcome = match self.is_proven_not_run() {
            true => RequestOutcome::NotRun,
            false => RequestOutcome::Unknown,
        };
        self.end(outcome, reason, retry_after, actions);
    }

    fn end(
        &mut self,
        outcome: RequestOutcome,
        reason: EndReason,
        retry_after: Duration,
        actions: &mut TrackerActions,
    ) {
        assert!(
            self.outcome.is_none(),
            "a request must end in exactly one outcome"
        );
        assert!(
            outcome != RequestOutcome::NotRun || self.is_proven_not_run(),
            "a request may end as not-run only if no attempt can have started"
        );
        self.outcome = Some(outcome);
        self.phase = TrackerPhase::Ended;
        actions.push(TrackerAction::End(RequestEnd {
            outcome,
            reason,
            retry_after,
        }));
    }

    fn is_proven_not_run(&self) -> bool {
        self.origin == RequestOrigin::ThisEntry
            && self
                .attempts
                .iter()
                .all(|attempt| attempt.state == AttemptState::NotStarted)
    }

    fn is_in_flight(&self, attempt: u32) -> bool {
        self.state_of(attempt) == Some(AttemptState::InFlight)
    }

    fn state_of(&self, attempt: u32) -> Option<AttemptState> {
        let attempt_idx = (attempt as usize).checked_sub(1)?;
        self.attempts.get(attempt_idx).map(|attempt| attempt.state)
    }

    fn n_in_flight(&self) -> usize {
        self.attempts
            .iter()
            .filter(|attempt| attempt.state == AttemptState::InFlight)
            .count()
    }

    /// Sets the final state of an in-flight attempt; returns false if it is not in flight.
    fn finish_attempt(&mut self, attempt: u32, state: AttemptState) -> bool {
        if !self.is_in_flight(attempt) {
            return false;
        }
        self.attempts[attempt as usize - 1].state = state;
        true
    }

    /// Cancels the attempts in flight other than the one that answered first.
    fn cancel_others(&mut self, winner: u32, actions: &mut TrackerActions) {
        for attempt in 1..=self.attempts.len() as u32 {
            if attempt != winner && self.is_in_flight(attempt) {
                actions.push(self.cancel(attempt));
                self.finish_attempt(attempt, AttemptState::Lost);
            }
        }
        if self.phase == TrackerPhase::RoutingHedge {
            self.phase = TrackerPhase::InFlight;
        }
    }

    fn cancel_all(&self, actions: &mut TrackerActions) {
        for attempt in self.in_flight() {
            actions.push(self.cancel(attempt));
        }
    }

    fn in_flight(&self) -> impl Iterator<Item = u32> {
        (1..=self.attempts.len() as u32).filter(|&attempt| self.is_in_flight(attempt))
    }

    fn cancel(&self, attempt: u32) -> TrackerAction {
        TrackerAction::Cancel {
            work: self.work(attempt),
            target: self.attempts[attempt as usize - 1].target.clone(),
        }
    }

    fn route(&self) -> TrackerAction {
        TrackerAction::Route {
            tried: self
                .attempts
                .iter()
                .map(|attempt| attempt.target.clone())
                .collect(),
        }
    }

    fn work(&self, attempt: u32) -> WorkId {
        WorkId {
            request: self.request,
            attempt,
        }
    }
}

/// How an attempt failed.
enum AttemptFailure {
    NotStarted(RouteRefusal),
    Lost,
}

impl AttemptFailure {
    fn try_failure(&self) -> TryFailure {
        match self {
            Self::NotStarted(_) => TryFailure::NotStarted,
            Self::Lost => TryFailure::MayHaveRun,
        }
    }

    /// Adds jitter to the retry delay, so that callers refused together do not retry together.
    fn with_jitter(self, rng: &mut impl Rng) -> Self {
        match self {
            Self::NotStarted(refusal) => Self::NotStarted(RouteRefusal {
                reason: refusal.reason,
                retry_after: refusal
                    .retry_after
                    .max(MIN_RETRY_AFTER)
                    .mul_f64(rng.random_range(1.0..1.5)),
            }),
            Self::Lost => Self::Lost,
        }
    }

    fn end(self) -> (EndReason, Duration) {
        match self {
            Self::NotStarted(refusal) => (EndReason::Refused(refusal.reason), refusal.retry_after),
            Self::Lost => (EndReason::TargetLost, MIN_RETRY_AFTER),
        }
    }
}
