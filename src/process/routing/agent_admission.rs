//! Admission control at an agent: what runs at its target, waits or is refused.

use std::collections::HashMap;

use crate::prelude::*;
use crate::request::work_id::WorkId;

use super::admission_decision::{AdmissionAction, AdmissionDecision, CancelAnswer};
use super::concurrency_limit::ConcurrencyLimit;
use super::fair_queue::{FairQueue, QueuePush, QueuedWork};
use super::load_report::LoadReport;
use super::route_decision::RefusalReason;
use super::service_time::ServiceTime;
use super::work_history::{WorkEnd, WorkHistory, WorkOrigin};
use super::work_offer::{WorkCancel, WorkOffer, WorkSharing};

/// The queue of an agent holds one request for each of this many slots of the target.
const SLOTS_PER_QUEUED: u32 = 4;
/// The same for a standing queue, which only adds latency.
const SLOTS_PER_QUEUED_STANDING: u32 = 8;
/// How long a queue must not have been empty to count as standing.
const STANDING_AFTER: Duration = Duration::from_secs(2);
/// The shortest retry delay given to a refused caller.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Admits work at an agent; the target receives work from its agent only.
#[derive(Debug)]
pub struct AgentAdmission {
    incarnation: ProcessIncarnation,
    slots: u32,
    limit: ConcurrencyLimit,
    drain_state: DrainState,
    running: HashMap<WorkId, RunningWork>,
    waiting: FairQueue<WorkOffer>,
    /// When the queue was last empty.
    empty_at: Timestamp,
    /// A crash suspect that waits until nothing else runs at the target.
    waiting_alone: Option<WaitingAlone>,
    history: WorkHistory,
    service_time: ServiceTime,
    report_sequence: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DrainState {
    Serving,
    Draining,
}

#[derive(Clone, Debug)]
struct RunningWork {
    started_at: Timestamp,
    origin: WorkOrigin,
    cost: u64,
    sharing: WorkSharing,
}

#[derive(Debug)]
struct WaitingAlone {
    offer: WorkOffer,
    deadline: Timestamp,
}

impl AgentAdmission {
    /// Creates the admission state for one incarnation of an agent.
    pub fn new(incarnation: ProcessIncarnation, slots: u32) -> Self {
        let slots = slots.max(1);
        Self {
            incarnation,
            slots,
            limit: ConcurrencyLimit::new(slots),
            drain_state: DrainState::Serving,
            running: HashMap::new(),
            waiting: FairQueue::new(slots.div_ceil(SLOTS_PER_QUEUED) as usize),
            empty_at: Timestamp::default(),
            waiting_alone: None,
            history: WorkHistory::default(),
            service_time: ServiceTime::default(),
            report_sequence: 0,
        }
    }

    /// Decides about offered work; work that it displaces from a full queue comes as actions.
    pub fn admit(
        &mut self,
        now: Timestamp,
        offer: WorkOffer,
    ) -> (AdmissionDecision, SmallVec<[AdmissionAction; 2]>) {
        if offer.incarnation != self.incarnation {
            let reason = RefusalReason::StaleIncarnation;
            return (AdmissionDecision::Unproved { reason }, SmallVec::new());
        }
        if let Some(decision) = self.decide_recorded(&offer.work) {
            return (decision, SmallVec::new());
        }
        if self.history.is_forgotten(&offer.origin()) {
            let reason = RefusalReason::Tombstone;
            return (AdmissionDecision::Unproved { reason }, SmallVec::new());
        }
        if let Some((reason, retry_after)) = self.reason_to_refuse(&offer) {
            return (
                self.refuse(now, &offer, reason, retry_after),
                SmallVec::new(),
            );
        }
        if offer.sharing == WorkSharing::Alone {
            return (self.admit_alone(now, offer), SmallVec::new());
        }
        if self.has_room() && self.waiting.is_empty() {
            self.start(now, &offer);
            return (AdmissionDecision::Start, SmallVec::new());
        }
        self.enqueue(now, offer)
    }

    /// Records the end of running work, and starts or refuses queued work.
    pub fn finished(&mut self, now: Timestamp, work: WorkId) -> SmallVec<[AdmissionAction; 2]> {
        let Some(ended) = self.running.remove(&work) else {
            return SmallVec::new();
        };
        self.service_time
            .observe(now.since(ended.started_at), ended.cost);
        self.end(now, work, ended.origin, WorkEnd::Finished);
        self.advance(now)
    }

    /// Cancels work; work that has not started never will, even if its offer arrives later.
    pub fn cancel(&mut self, now: Timestamp, cancel: &WorkCancel) -> CancelAnswer {
        if cancel.incarnation != self.incarnation {
            return CancelAnswer::Forgotten;
        }
        let work = cancel.work;
        if self.running.contains_key(&work) {
            return CancelAnswer::Running;
        }
        match self.history.find(&work) {
            Some(WorkEnd::Finished) => return CancelAnswer::Finished,
            Some(WorkEnd::NeverStarted) => return CancelAnswer::NeverStarted,
            None => {}
        }
        let origin = cancel.origin();
        if !self.take_waiting(work) && self.history.is_forgotten(&origin) {
            return CancelAnswer::Forgotten;
        }
        self.end(now, work, origin, WorkEnd::NeverStarted);
        CancelAnswer::NeverStarted
    }

    /// Refuses queued work past its deadline, and starts queued work where slots are free.
    pub fn advance(&mut self, now: Timestamp) -> SmallVec<[AdmissionAction; 2]> {
        let mut actions = SmallVec::new();
        for expired in self.waiting.take_expired(now) {
            actions.push(self.refuse_waiting(now, &expired.item, RefusalReason::Deadline));
        }
        if let Some(alone) = &self.waiting_alone
            && alone.deadline <= now
        {
            let offer = alone.offer.clone();
            self.waiting_alone = None;
            actions.push(self.refuse_waiting(now, &offer, RefusalReason::Deadline));
        }
        if self.running.is_empty()
            && let Some(alone) = self.waiting_alone.take()
        {
            self.start(now, &alone.offer);
            actions.push(AdmissionAction::Start(alone.offer.work));
        }
        if self.waiting.is_empty() {
            self.empty_at = now;
        }
        while self.has_room() {
            let Some(next) = self.waiting.pop() else {
                break;
            };
            self.start(now, &next.item);
            actions.push(AdmissionAction::Start(next.item.work));
        }
        actions
    }

    /// Refuses new work from now on; running and queued work continues.
    pub fn drain(&mut self) {
        self.drain_state = DrainState::Draining;
    }

    /// Returns whether the agent is draining and holds no work, so that it may exit.
    pub fn is_drained(&self) -> bool {
        self.drain_state == DrainState::Draining
            && self.running.is_empty()
            && self.waiting.is_empty()
            && self.waiting_alone.is_none()
    }

    /// Adapts the concurrency limit to the target's step time against its goal.
    pub fn observe_step_time(&mut self, step_time: Duration, goal: Duration) {
        self.limit
            .observe(step_time, goal, self.running.len() as u32);
    }

    /// Creates the next load report.
    pub fn next_report(
        &mut self,
        now: Timestamp,
        tokens_per_second: u32,
        step_time: Duration,
    ) -> LoadReport {
        self.report_sequence += 1;
        let n_alone = usize::from(self.waiting_alone.is_some());
        LoadReport {
            incarnation: self.incarnation,
            sequence: self.report_sequence,
            made_at: now,
            running: self.running.len() as u32,
            waiting: (self.waiting.len() + n_alone) as u32,
            limit: self.limit.get(),
            tokens_per_second,
            step_time_us: step_time.as_micros() as u32,
            service_time: self.service_time,
        }
    }

    /// Returns the sequence number of the last load report, which answers to entries carry.
    pub fn report_sequence(&self) -> u64 {
        self.report_sequence
    }

    /// Returns the incarnation of the agent.
    pub fn incarnation(&self) -> ProcessIncarnation {
        self.incarnation
    }

    /// Returns the running work.
    pub fn running(&self) -> impl Iterator<Item = WorkId> {
        self.running.keys().copied()
    }

    /// Returns the number of queued requests, without a suspect that waits to run alone.
    pub fn n_waiting(&self) -> usize {
        self.waiting.len()
    }

    fn decide_recorded(&self, work: &WorkId) -> Option<AdmissionDecision> {
        let is_held = self.running.contains_key(work) || self.is_waiting(work);
        match self.history.find(work) {
            Some(WorkEnd::NeverStarted) => Some(refused(RefusalReason::Tombstone, Duration::ZERO)),
            Some(WorkEnd::Finished) => Some(AdmissionDecision::Duplicate),
            None if is_held => Some(AdmissionDecision::Duplicate),
            None => None,
        }
    }

    fn is_waiting(&self, work: &WorkId) -> bool {
        let is_alone = self
            .waiting_alone
            .as_ref()
            .is_some_and(|alone| alone.offer.work == *work);
        is_alone || self.waiting.iter().any(|queued| queued.item.work == *work)
    }

    /// Returns why an offer is refused, with the retry delay.
    ///
    /// A free slot is used whatever the estimated service time is: after a stall the estimate
    /// may exceed every deadline, and only finished work corrects it.
    fn reason_to_refuse(&self, offer: &WorkOffer) -> Option<(RefusalReason, Duration)> {
        if self.drain_state == DrainState::Draining {
            return Some((RefusalReason::Draining, Duration::ZERO));
        }
        let remaining = Duration::from_millis(offer.remaining_ms);
        if remaining.is_zero() {
            return Some((RefusalReason::Deadline, MIN_RETRY_AFTER));
        }
        let wait = self.expected_wait(offer.lane);
        if wait.is_zero() {
            return None;
        }
        let needed = wait + self.service_time.estimate_for_cost(offer.cost);
        if remaining < needed {
            let retry_after = (needed - remaining).max(MIN_RETRY_AFTER);
            return Some((RefusalReason::Deadline, retry_after));
        }
        None
    }

    /// Returns the expected time until a new request of `lane` starts.
    fn expected_wait(&self, lane: WorkLane) -> Duration {
        if self.has_room() && self.waiting.is_empty() {
            return Duration::ZERO;
        }
        let n_ahead = self.waiting.n_ahead(lane) as f32 + 1.0;
        self.service_time
            .expected_wait(n_ahead, self.limit.get() as f32)
    }

    fn has_room(&self) -> bool {
        let n_running = self.running.len() as u32;
        self.waiting_alone.is_none() && n_running < self.limit.get() && !self.runs_alone()
    }

    fn runs_alone(&self) -> bool {
        self.running
            .values()
            .any(|running| running.sharing == WorkSharing::Alone)
    }

    fn admit_alone(&mut self, now: Timestamp, offer: WorkOffer) -> AdmissionDecision {
        if self.waiting_alone.is_some() {
            return self.refuse(now, &offer, RefusalReason::Overloaded, MIN_RETRY_AFTER);
        }
        if self.running.is_empty() {
            self.start(now, &offer);
            return AdmissionDecision::Start;
        }
        let deadline = now + Duration::from_millis(offer.remaining_ms);
        self.waiting_alone = Some(WaitingAlone { offer, deadline });
        AdmissionDecision::Wait
    }

    fn enqueue(
        &mut self,
        now: Timestamp,
        offer: WorkOffer,
    ) -> (AdmissionDecision, SmallVec<[AdmissionAction; 2]>) {
        self.limit_waiting(now);
        let queued = QueuedWork {
            account: offer.account.clone(),
            lane: offer.lane,
            weight: offer.weight,
            cost: offer.cost,
            deadline: now + Duration::from_millis(offer.remaining_ms),
            item: offer,
        };
        match self.waiting.push(queued) {
            QueuePush::Queued => (AdmissionDecision::Wait, SmallVec::new()),
            QueuePush::Displaced(displaced) => {
                let action = self.refuse_waiting(now, &displaced.item, RefusalReason::Overloaded);
                (AdmissionDecision::Wait, SmallVec::from_iter([action]))
            }
            QueuePush::Refused(queued) => {
                let retry_after = self.expected_wait(queued.lane).max(MIN_RETRY_AFTER);
                let reason = RefusalReason::Overloaded;
                let decision = self.refuse(now, &queued.item, reason, retry_after);
                (decision, SmallVec::new())
            }
        }
    }

    /// Sets the queue's limit, so that it absorbs a burst but not a lasting overload.
    fn limit_waiting(&mut self, now: Timestamp) {
        if self.waiting.is_empty() {
            self.empty_at = now;
        }
        let is_standing = STANDING_AFTER <= now.since(self.empty_at);
        let slots_per_queued = match is_standing {
            true => SLOTS_PER_QUEUED_STANDING,
            false => SLOTS_PER_QUEUED,
        };
        let limit = self.slots.div_ceil(slots_per_queued);
        self.waiting.set_limit(limit as usize);
    }

    fn take_waiting(&mut self, work: WorkId) -> bool {
        let is_alone = self
            .waiting_alone
            .as_ref()
            .is_some_and(|alone| alone.offer.work == work);
        if is_alone {
            self.waiting_alone = None;
            return true;
        }
        let taken = self.waiting.take_if(|queued| queued.item.work == work);
        !taken.is_empty()
    }

    fn start(&mut self, now: Timestamp, offer: &WorkOffer) {
        assert!(
            self.history.find(&offer.work).is_none(),
            "work that was refused, cancelled or finished is not started again"
        );
        let running = RunningWork {
            started_at: now,
            origin: offer.origin(),
            cost: offer.cost,
            sharing: offer.sharing,
        };
        let earlier = self.running.insert(offer.work, running);
        assert!(earlier.is_none(), "work starts at most once");
        assert!(
            self.running.len() as u32 <= self.slots,
            "no more work runs than the target has slots"
        );
        assert!(
            self.running.len() == 1 || !self.runs_alone(),
            "a crash suspect runs alone"
        );
    }

    fn refuse(
        &mut self,
        now: Timestamp,
        offer: &WorkOffer,
        reason: RefusalReason,
        retry_after: Duration,
    ) -> AdmissionDecision {
        self.end(now, offer.work, offer.origin(), WorkEnd::NeverStarted);
        refused(reason, retry_after)
    }

    fn refuse_waiting(
        &mut self,
        now: Timestamp,
        offer: &WorkOffer,
        reason: RefusalReason,
    ) -> AdmissionAction {
        self.end(now, offer.work, offer.origin(), WorkEnd::NeverStarted);
        AdmissionAction::Refuse {
            work: offer.work,
            reason,
            retry_after: self.expected_wait(offer.lane).max(MIN_RETRY_AFTER),
        }
    }

    fn end(&mut self, now: Timestamp, work: WorkId, origin: WorkOrigin, end: WorkEnd) {
        assert!(
            !self.running.contains_key(&work),
            "running work is not recorded as ended"
        );
        self.history.record(now, work, origin, end);
    }
}

fn refused(reason: RefusalReason, retry_after: Duration) -> AdmissionDecision {
    AdmissionDecision::Refused {
        reason,
        retry_after,
    }
}
