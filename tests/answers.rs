//! Tests that a caller gets a complete answer or a correct outcome, in single cases and in
//! randomised simulations with lost, late and duplicated messages, crashes and pauses.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};

use comfreyhead::prelude::*;
use comfreyhead::process::routing::{
    AdmissionAction, AdmissionDecision, AgentAdmission, CancelAnswer, RefusalReason, RetryBudget,
    RouteRefusal, WorkCancel, WorkOffer, WorkRepetition, WorkSharing,
};
use comfreyhead::request::{
    AnswerAssembler, AnswerBuffer, AnswerEnd, AssemblyError, AssemblyStep, EventBody, RequestEnd,
    RequestTracker, ResumePoint, ResumeRefusal, ResumedRequest, TrackerAction, TrackerEvent,
    WorkEvent, WorkId,
};
use comfreyhead::version::config::RetryConfig;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use uuid::Uuid;

const N_AGENTS: usize = 4;
const N_REQUESTS: u64 = 24;
const SLOTS: u32 = 2;
const BUFFER_BYTES: usize = 1 << 16;

#[test]
fn duplicates_and_reordering_give_the_complete_answer_once() {
    let events = answer_events(1, ResumePoint::default(), &["a", "b", "c"]);
    let mut assembler = bound_assembler(1);

    let order = [2, 0, 0, 3, 2, 1, 3];
    let steps: Vec<_> = order
        .iter()
        .flat_map(|&event_idx: &usize| assembler.accept(events[event_idx].clone()))
        .collect();

    assert_eq!(payloads(&steps), ["a", "b", "c"]);
    assert!(matches!(
        steps.last(),
        Some(AssemblyStep::Complete(AnswerEnd { count: 3, .. }))
    ));
}

#[test]
fn a_gap_is_reported_again_only_after_a_resume() {
    let events = answer_events(1, ResumePoint::default(), &["a", "b", "c"]);
    let mut assembler = bound_assembler(1);

    let first = assembler.accept(events[1].clone());
    let second = assembler.accept(events[2].clone());
    assembler.clear_reported_gap();
    let third = assembler.accept(events[3].clone());

    let gap = AssemblyStep::Gap(ResumePoint::default());
    assert_eq!(first.as_slice(), std::slice::from_ref(&gap));
    assert!(second.is_empty());
    assert_eq!(third.as_slice(), [gap]);
}

#[test]
fn a_truncated_answer_is_never_complete() {
    let events = answer_events(1, ResumePoint::default(), &["a", "b", "c"]);
    let mut truncated_end = events[3].clone();
    truncated_end.index = 2;
    let mut assembler = bound_assembler(1);

    assembler.accept(events[0].clone());
    assembler.accept(events[1].clone());
    let steps = assembler.accept(truncated_end);

    assert_eq!(
        steps.as_slice(),
        [AssemblyStep::Invalid(AssemblyError::CountDiffers)]
    );
}

#[test]
fn a_mix_of_two_answers_is_never_complete() {
    let own = answer_events(1, ResumePoint::default(), &["a", "b", "c"]);
    let other = answer_events(1, ResumePoint::default(), &["x", "y", "z"]);
    let mut assembler = bound_assembler(1);

    assembler.accept(own[0].clone());
    let steps: Vec<_> = other[1..]
        .iter()
        .flat_map(|event| assembler.accept(event.clone()))
        .collect();

    assert_eq!(
        steps.last(),
        Some(&AssemblyStep::Invalid(AssemblyError::DigestDiffers))
    );
}

#[test]
fn another_attempt_continues_after_the_delivered_events() {
    let first = answer_events(1, ResumePoint::default(), &["a", "b", "c"]);
    let mut assembler = bound_assembler(1);
    assembler.accept(first[0].clone());
    let second = answer_events(2, assembler.resume_point(), &["b", "c"]);

    assembler.select_attempt(2);
    let late = assembler.accept(first[1].clone());
    let steps: Vec<_> = second
        .iter()
        .flat_map(|event| assembler.accept(event.clone()))
        .collect();

    assert!(late.is_empty());
    assert_eq!(payloads(&steps), ["b", "c"]);
    assert!(matches!(steps.last(), Some(AssemblyStep::Complete(end)) if end.count == 3));
}

#[test]
fn a_caller_resumes_from_a_parsed_resume_point() {
    let mut buffer = AnswerBuffer::new(1, ResumePoint::default(), BUFFER_BYTES);
    buffer.push("a".to_owned());
    buffer.push("b".to_owned());
    buffer.end();
    let point = ResumePoint::default().extend("a");

    let read: ResumePoint = point
        .to_string()
        .parse()
        .expect("a written resume point parses");
    let rest: Vec<_> = buffer.resume(&read).expect("kept").cloned().collect();

    assert_eq!(read, point);
    assert_eq!(rest.len(), 2);
    assert_eq!(rest[0].body, EventBody::Payload("b".to_owned()));
}

#[test]
fn a_resume_with_different_payloads_is_refused() {
    let mut buffer = AnswerBuffer::new(1, ResumePoint::default(), BUFFER_BYTES);
    buffer.push("a".to_owned());

    let diverged = buffer.resume(&ResumePoint::default().extend("x")).err();
    let ahead = buffer
        .resume(&ResumePoint::default().extend("a").extend("b"))
        .err();

    assert_eq!(diverged, Some(ResumeRefusal::Diverged));
    assert_eq!(ahead, Some(ResumeRefusal::Diverged));
}

#[test]
fn an_answer_over_the_size_limit_cannot_be_resumed() {
    let mut buffer = AnswerBuffer::new(1, ResumePoint::default(), 4);

    buffer.push("abc".to_owned());
    buffer.push("def".to_owned());
    let end = buffer.end();

    assert_eq!(buffer.bytes(), 0);
    assert_eq!(end.index, 2);
    assert_eq!(
        buffer.resume(&ResumePoint::default()).err(),
        Some(ResumeRefusal::NotKept)
    );
}

#[test]
fn a_refusal_ends_the_request_immediately_with_a_retry_delay() {
    let mut tracker = new_tracker(WorkRepetition::Repeatable);
    let refusal = RouteRefusal {
        reason: RefusalReason::Deadline,
        retry_after: Duration::from_secs(7),
    };

    let end = last_end(&mut tracker, TrackerEvent::RouteRefused(refusal));

    assert_eq!(end.outcome, RequestOutcome::NotRun);
    assert_eq!(end.retry_after, Duration::from_secs(7));
}

#[test]
fn an_order_whose_agent_is_lost_is_unknown_and_not_sent_again() {
    let mut tracker = new_tracker(WorkRepetition::AtMostOnce);
    step(&mut tracker, routed(0));

    let end = last_end(&mut tracker, TrackerEvent::TargetLost { attempt: 1 });

    assert_eq!(end.outcome, RequestOutcome::Unknown);
}

#[test]
fn a_hedged_lookup_takes_the_first_answer() {
    let mut tracker = new_tracker(WorkRepetition::Repeatable);
    step(&mut tracker, routed(0));
    let hedge = step(&mut tracker, TrackerEvent::HedgeDue);
    step(&mut tracker, routed(1));
    let events = answer_events(2, ResumePoint::default(), &["stock"]);

    let actions = step(&mut tracker, TrackerEvent::Received(events[0].clone()));
    let end = last_end(&mut tracker, TrackerEvent::Received(events[1].clone()));

    assert!(matches!(hedge[0], TrackerAction::Route { .. }));
    assert!(matches!(actions[0], TrackerAction::Cancel { work, .. } if work.attempt == 1));
    assert_eq!(end.outcome, RequestOutcome::Answered);
}

#[test]
fn a_request_ends_when_its_hedge_finds_no_target() {
    let mut tracker = new_tracker(WorkRepetition::Repeatable);
    step(&mut tracker, routed(0));
    step(&mut tracker, TrackerEvent::HedgeDue);
    step(&mut tracker, TrackerEvent::TargetLost { attempt: 1 });
    let refusal = RouteRefusal {
        reason: RefusalReason::AllTried,
        retry_after: Duration::from_secs(1),
    };

    let end = last_end(&mut tracker, TrackerEvent::RouteRefused(refusal));

    assert_eq!(end.outcome, RequestOutcome::Unknown);
}

#[test]
fn a_request_resumed_through_another_entry_is_complete_and_never_not_run() {
    let events = answer_events(2, ResumePoint::default(), &["a", "b"]);
    let from = ResumePoint::default().extend("a");
    let resumed = ResumedRequest {
        work: WorkId {
            request: request_id(1),
            attempt: 2,
        },
        target: target_name(0),
        repetition: WorkRepetition::Repeatable,
        deadline: Timestamp::from_millis(10_000),
        from,
    };

    let (mut tracker, actions) = RequestTracker::resume(&resumed);
    let delivered = step(&mut tracker, TrackerEvent::Received(events[1].clone()));
    let end = last_end(&mut tracker, TrackerEvent::Received(events[2].clone()));
    let (mut other, _) = RequestTracker::resume(&resumed);
    let late = last_end(&mut other, TrackerEvent::DeadlinePassed);

    assert!(matches!(&actions[0], TrackerAction::Resume { from: point, .. } if *point == from));
    assert_eq!(delivered, [TrackerAction::Deliver(events[1].clone())]);
    assert_eq!(end.outcome, RequestOutcome::Answered);
    assert_eq!(late.outcome, RequestOutcome::Unknown);
}

#[test]
fn a_caller_disconnect_cancels_its_work() {
    let mut tracker = new_tracker(WorkRepetition::Repeatable);
    step(&mut tracker, routed(0));

    let actions = step(&mut tracker, TrackerEvent::CallerGone);
    let answered = TrackerEvent::CancelAnswered {
        attempt: 1,
        answer: CancelAnswer::NeverStarted,
    };
    let end = last_end(&mut tracker, answered);

    assert!(matches!(actions[0], TrackerAction::Cancel { .. }));
    assert_eq!(end.outcome, RequestOutcome::NotRun);
}

#[test]
fn running_work_is_not_cancelled_before_its_deadline() {
    let mut tracker = new_tracker(WorkRepetition::Repeatable);
    step(&mut tracker, routed(0));
    let events = answer_events(1, ResumePoint::default(), &["late"]);

    let near = step(&mut tracker, TrackerEvent::DeadlineNear);
    step(&mut tracker, TrackerEvent::Received(events[0].clone()));
    let end = last_end(&mut tracker, TrackerEvent::Received(events[1].clone()));

    assert!(
        matches!(near[0], TrackerAction::Withdraw { .. }),
        "{near:?}"
    );
    assert_eq!(end.outcome, RequestOutcome::Answered);
}

#[test]
fn every_request_ends_in_one_correct_outcome_under_faults() {
    let mut runner = fixed_runner(200);
    let faults = (any::<u64>(), 0..30_u32, 0..30_u32, 0..6_u32, 0..4_u32);

    runner
        .run(&faults, |(seed, drops, duplicates, crashes, pauses)| {
            let rates = FaultRates {
                drop_percent: drops,
                duplicate_percent: duplicates,
                n_crashes: crashes,
                n_pauses: pauses,
            };
            let report = Simulation::new(seed, rates).run();
            prop_assert_eq!(report.n_ended, N_REQUESTS);
            Ok(())
        })
        .expect("a simulation violated an invariant");
}

#[test]
fn without_faults_most_requests_are_answered() {
    let report = Simulation::new(1, FaultRates::default()).run();

    assert_eq!(report.n_ended, N_REQUESTS);
    assert!(N_REQUESTS / 2 < report.n_answered);
}

#[test]
fn a_copy_of_a_refused_offer_does_not_start() {
    let mut admission = AgentAdmission::new(ProcessIncarnation(1), 1);
    let now = Timestamp::from_millis(1_000);
    admission.admit(now, offer_of(1, 500));
    let (refused, _) = admission.admit(now, offer_of(2, 0));
    admission.finished(now, offer_of(1, 500).work);

    let (copy, _) = admission.admit(now, offer_of(2, 500));

    assert!(matches!(refused, AdmissionDecision::Refused { .. }));
    assert!(matches!(
        copy,
        AdmissionDecision::Refused {
            reason: RefusalReason::Tombstone,
            ..
        }
    ));
}

#[test]
fn an_offer_to_an_earlier_incarnation_is_refused_as_unproved() {
    let mut admission = AgentAdmission::new(ProcessIncarnation(2), 1);

    let (decision, _) = admission.admit(Timestamp::from_millis(1), offer_of(1, 500));

    assert_eq!(
        decision,
        AdmissionDecision::Unproved {
            reason: RefusalReason::StaleIncarnation
        }
    );
}

#[test]
fn forgotten_work_neither_starts_again_nor_counts_as_never_started() {
    let mut admission = AgentAdmission::new(ProcessIncarnation(1), 1);
    let start = Timestamp::from_millis(1_000);
    let later = start + Duration::from_secs(3_600);
    admission.admit(start, offer_of(1, 500));
    admission.finished(start, offer_of(1, 500).work);
    let mut other = offer_of(2, 500);
    other.accepted_at = later;
    admission.admit(later, other.clone());
    admission.finished(later, other.work);

    let (copy, _) = admission.admit(later, offer_of(1, 500));
    let offer = offer_of(1, 500);
    let cancel = WorkCancel {
        work: offer.work,
        incarnation: offer.incarnation,
        entry: offer.entry,
        accepted_at: offer.accepted_at,
    };
    let answer = admission.cancel(later, &cancel);

    assert_eq!(
        copy,
        AdmissionDecision::Unproved {
            reason: RefusalReason::Tombstone
        }
    );
    assert_eq!(answer, CancelAnswer::Forgotten);
}

/// Returns a runner with deterministic cases; `COMFREYHEAD_CASES` overrides their number.
fn fixed_runner(n_cases: u32) -> TestRunner {
    let cases = std::env::var("COMFREYHEAD_CASES")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(n_cases);
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

fn answer_events(attempt: u32, base: ResumePoint, parts: &[&str]) -> Vec<WorkEvent> {
    let mut buffer = AnswerBuffer::new(attempt, base, BUFFER_BYTES);
    let mut events: Vec<_> = parts
        .iter()
        .map(|part| buffer.push((*part).to_owned()))
        .collect();
    events.push(buffer.end());
    events
}

fn bound_assembler(attempt: u32) -> AnswerAssembler {
    let mut assembler = AnswerAssembler::new(ResumePoint::default());
    assembler.select_attempt(attempt);
    assembler
}

fn payloads(steps: &[AssemblyStep]) -> Vec<&str> {
    steps
        .iter()
        .filter_map(|step| match step {
            AssemblyStep::Deliver(event) => match &event.body {
                EventBody::Payload(payload) => Some(payload.as_str()),
                _ => None,
            },
            _ => None,
        })
        .collect()
}

fn new_tracker(repetition: WorkRepetition) -> RequestTracker {
    let deadline = Timestamp::from_millis(10_000);
    RequestTracker::new(request_id(1), repetition, deadline).0
}

fn routed(agent: usize) -> TrackerEvent {
    TrackerEvent::Routed {
        target: target_name(agent),
        incarnation: ProcessIncarnation(1),
    }
}

fn step(tracker: &mut RequestTracker, event: TrackerEvent) -> Vec<TrackerAction> {
    let mut budget = RetryBudget::new(&RetryConfig::default());
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    tracker
        .on_event(Timestamp::from_millis(1), event, &mut budget, &mut rng)
        .into_vec()
}

fn last_end(tracker: &mut RequestTracker, event: TrackerEvent) -> RequestEnd {
    match step(tracker, event).pop() {
        Some(TrackerAction::End(end)) => end,
        other => panic!("the request did not end: {other:?}"),
    }
}

fn target_name(agent: usize) -> TargetName {
    format!("target-{agent}").into()
}

fn request_id(request: u64) -> RequestId {
    RequestId(Uuid::from_u128(u128::from(request)))
}

fn offer_of(request: u64, remaining_ms: u64) -> WorkOffer {
    WorkOffer {
        work: WorkId {
            request: request_id(request),
            attempt: 1,
        },
        incarnation: ProcessIncarnation(1),
        entry: "entry-1".into(),
        accepted_at: Timestamp::from_millis(900),
        remaining_ms,
        account: "guild".into(),
        weight: 1,
        lane: WorkLane::Interactive,
        cost: 1,
        sharing: WorkSharing::Shared,
    }
}

fn number_of(work: WorkId) -> u64 {
    work.request.0.as_u128() as u64
}

fn n_parts(request: u64) -> usize {
    2 + request as usize % 7
}

/// Returns a payload that is unique to the attempt and to the index from which it started.
fn answer_part(work: WorkId, base: usize, part: usize) -> String {
    format!("{} {part} {} {base}", number_of(work), work.attempt)
}

/// Returns whether `parts` are all payloads of the request in order, with each attempt
/// continuing where the previous one stopped.
fn is_complete_answer(request: u64, parts: &[String]) -> bool {
    let mut attempt = String::new();
    let mut base = String::new();
    for (part_idx, part) in parts.iter().enumerate() {
        let words: Vec<_> = part.split(' ').collect();
        if words[0] != request.to_string() || words[1] != part_idx.to_string() {
            return false;
        }
        if words[2] != attempt {
            attempt = words[2].to_owned();
            base = part_idx.to_string();
        }
        if words[3] != base {
            return false;
        }
    }
    parts.len() == n_parts(request)
}

#[derive(Clone, Copy, Debug, Default)]
struct FaultRates {
    drop_percent: u32,
    duplicate_percent: u32,
    n_crashes: u32,
    n_pauses: u32,
}

#[derive(Debug, Default)]
struct RunReport {
    n_ended: u64,
    n_answered: u64,
}

#[derive(Clone, Debug)]
enum SimulationEvent {
    ToAgent(usize, AgentMessage),
    ToEntry(u64, TrackerEvent),
    Arrive(u64),
    Produce(usize, ProcessIncarnation, WorkId),
    Advance(usize),
    Crash(usize),
    TargetCrash(usize),
    Pause(usize),
}

#[derive(Clone, Debug)]
enum AgentMessage {
    Offer(WorkOffer, ResumePoint),
    Withdraw(WorkCancel),
    Cancel(WorkCancel),
    Resume(WorkCancel, ResumePoint),
}

struct FakeAgent {
    admission: AgentAdmission,
    buffers: HashMap<WorkId, AnswerBuffer>,
    paused_until: Timestamp,
}

struct Caller {
    tracker: RequestTracker,
    repetition: WorkRepetition,
    received: Vec<String>,
    accepted_at: Timestamp,
    incarnations: HashMap<u32, ProcessIncarnation>,
    n_ends: u32,
}

/// A simulation of callers, one entry VM and several agents, where messages are delayed, lost
/// and duplicated.
struct Simulation {
    now: Timestamp,
    queue: BinaryHeap<Reverse<(Timestamp, u64)>>,
    events: HashMap<u64, SimulationEvent>,
    n_events: u64,
    rng: ChaCha8Rng,
    rates: FaultRates,
    budget: RetryBudget,
    agents: Vec<FakeAgent>,
    callers: HashMap<u64, Caller>,
    /// The number of times each request started at a target, whatever the result.
    starts: HashMap<RequestId, u32>,
    not_run: HashSet<RequestId>,
    report: RunReport,
}

impl Simulation {
    fn new(seed: u64, rates: FaultRates) -> Self {
        let mut simulation = Self {
            now: Timestamp::from_millis(1_000),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            n_events: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            rates,
            budget: RetryBudget::new(&RetryConfig::default()),
            agents: (0..N_AGENTS).map(|_| fake_agent(1)).collect(),
            callers: HashMap::new(),
            starts: HashMap::new(),
            not_run: HashSet::new(),
            report: RunReport::default(),
        };
        for request in 0..N_REQUESTS {
            simulation.at_random(400, |_| SimulationEvent::Arrive(request));
        }
        for crash in 0..rates.n_crashes {
            simulation.at_random(900, |agent| match crash % 2 {
                0 => SimulationEvent::Crash(agent),
                _ => SimulationEvent::TargetCrash(agent),
            });
        }
        for _ in 0..rates.n_pauses {
            simulation.at_random(900, SimulationEvent::Pause);
        }
        simulation
    }

    fn run(mut self) -> RunReport {
        while let Some(Reverse((at, number))) = self.queue.pop() {
            assert!(
                self.n_events < 1_000_000,
                "the simulation does not terminate"
            );
            self.now = at;
            let event = self
                .events
                .remove(&number)
                .expect("every queued event is stored");
            self.handle(event);
        }
        for (&request, caller) in &self.callers {
            assert_eq!(caller.n_ends, 1, "request {request} must end exactly once");
            let n_starts = self.starts.get(&request_id(request)).copied();
            if caller.repetition == WorkRepetition::AtMostOnce {
                assert!(
                    n_starts.unwrap_or(0) <= 1,
                    "at-most-once work ran more than once"
                );
            }
        }
        for request in &self.not_run {
            assert!(
                !self.starts.contains_key(request),
                "a request that ended as not-run has started"
            );
        }
        self.report
    }

    fn handle(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::Arrive(request) => self.arrive(request),
            SimulationEvent::ToEntry(request, event) => self.receive_at_entry(request, event),
            SimulationEvent::ToAgent(agent, message) => self.receive_at_agent(agent, message),
            SimulationEvent::Produce(agent, incarnation, work) => {
                self.produce(agent, incarnation, work);
            }
            SimulationEvent::Advance(agent) => {
                let actions = self.agents[agent].admission.advance(self.now);
                self.act_at_agent(agent, &actions);
            }
            SimulationEvent::Crash(agent) => self.crash(agent),
            SimulationEvent::TargetCrash(agent) => self.crash_target(agent),
            SimulationEvent::Pause(agent) => {
                let until = self.now + Duration::from_millis(300);
                self.agents[agent].paused_until = until;
            }
        }
    }

    fn arrive(&mut self, request: u64) {
        let repetition = match request % 3 {
            0 => WorkRepetition::AtMostOnce,
            _ => WorkRepetition::Repeatable,
        };
        let deadline = self.now + Duration::from_millis(500);
        let (tracker, actions) = RequestTracker::new(request_id(request), repetition, deadline);
        let caller = Caller {
            tracker,
            repetition,
            received: Vec::new(),
            accepted_at: self.now,
            incarnations: HashMap::new(),
            n_ends: 0,
        };
        self.callers.insert(request, caller);
        self.budget.first_try();
        self.event_after(450, request, TrackerEvent::DeadlineNear);
        self.event_after(500, request, TrackerEvent::DeadlinePassed);
        if request % 5 == 1 {
            self.event_after(20, request, TrackerEvent::HedgeDue);
        }
        if request % 7 == 2 {
            self.event_after(60, request, TrackerEvent::CallerGone);
        }
        self.act_at_entry(request, actions.into_vec());
    }

    fn receive_at_entry(&mut self, request: u64, event: TrackerEvent) {
        let caller = self.callers.get_mut(&request).expect("known");
        let actions = caller
            .tracker
            .on_event(self.now, event, &mut self.budget, &mut self.rng);
        self.act_at_entry(request, actions.into_vec());
    }

    fn act_at_entry(&mut self, request: u64, actions: Vec<TrackerAction>) {
        for action in actions {
            match action {
                TrackerAction::Route { tried } => self.route(request, &tried),
                TrackerAction::Dispatch {
                    work,
                    target,
                    incarnation,
                    from,
                } => self.dispatch(work, &target, incarnation, from),
                TrackerAction::Resume { work, target, from } => {
                    let message = AgentMessage::Resume(self.cancel_of(work), from);
                    self.send_to_agent(&target, work, message);
                }
                TrackerAction::Withdraw { work, target } => {
                    let message = AgentMessage::Withdraw(self.cancel_of(work));
                    self.send_to_agent(&target, work, message);
                }
                TrackerAction::Cancel { work, target } => {
                    let message = AgentMessage::Cancel(self.cancel_of(work));
                    self.send_to_agent(&target, work, message);
                }
                TrackerAction::WaitForTarget => {
                    self.event_after(100, request, TrackerEvent::RetryDue);
                }
                TrackerAction::RetryLater { delay } => {
                    let delay_ms = delay.as_millis() as u64;
                    self.event_after(delay_ms, request, TrackerEvent::RetryDue);
                }
                TrackerAction::Deliver(event) => {
                    let EventBody::Payload(payload) = event.body else {
                        panic!("only payloads are delivered");
                    };
                    let caller = self.callers.get_mut(&request).expect("known");
                    caller.received.push(payload);
                }
                TrackerAction::End(end) => self.end(request, &end),
            }
        }
    }

    fn route(&mut self, request: u64, tried: &[TargetName]) {
        let untried: Vec<_> = (0..N_AGENTS)
            .filter(|&agent| !tried.contains(&target_name(agent)))
            .collect();
        if untried.is_empty() {
            let refusal = RouteRefusal {
                reason: RefusalReason::AllTried,
                retry_after: Duration::from_secs(1),
            };
            self.receive_at_entry(request, TrackerEvent::RouteRefused(refusal));
            return;
        }
        let agent = untried[self.rng.random_range(0..untried.len())];
        let event = TrackerEvent::Routed {
            target: target_name(agent),
            incarnation: self.agents[agent].admission.incarnation(),
        };
        self.receive_at_entry(request, event);
    }

    fn dispatch(
        &mut self,
        work: WorkId,
        target: &TargetName,
        incarnation: ProcessIncarnation,
        from: ResumePoint,
    ) {
        let caller = self.callers.get_mut(&number_of(work)).expect("known");
        caller.incarnations.insert(work.attempt, incarnation);
        let accepted_at = caller.accepted_at;
        let remaining = Duration::from_millis(500).saturating_sub(self.now.since(accepted_at));
        let mut offer = offer_of(number_of(work), remaining.as_millis() as u64);
        offer.work = work;
        offer.incarnation = incarnation;
        offer.accepted_at = accepted_at;
        if number_of(work) % 11 == 10 {
            offer.sharing = WorkSharing::Alone;
        }
        self.send_to_agent(target, work, AgentMessage::Offer(offer, from));
    }

    fn end(&mut self, request: u64, end: &RequestEnd) {
        let caller = self.callers.get_mut(&request).expect("known");
        caller.n_ends += 1;
        self.report.n_ended += 1;
        match end.outcome {
            RequestOutcome::Answered => {
                let is_complete = is_complete_answer(request, &caller.received);
                assert!(
                    is_complete,
                    "the answer is incomplete or mixed: {:?}",
                    caller.received
                );
                self.report.n_answered += 1;
            }
            RequestOutcome::NotRun => {
                self.not_run.insert(request_id(request));
            }
            RequestOutcome::Unknown => {}
            RequestOutcome::Failed => panic!("no target fails requests in this simulation"),
        }
    }

    fn receive_at_agent(&mut self, agent: usize, message: AgentMessage) {
        match message {
            AgentMessage::Offer(offer, from) => self.offer(agent, offer, from),
            AgentMessage::Withdraw(cancel) => self.withdraw(agent, &cancel),
            AgentMessage::Cancel(cancel) => self.cancel(agent, &cancel),
            AgentMessage::Resume(cancel, from) => self.resume(agent, &cancel, &from),
        }
    }

    fn offer(&mut self, agent: usize, offer: WorkOffer, from: ResumePoint) {
        let work = offer.work;
        let remaining_ms = offer.remaining_ms;
        let (decision, actions) = self.agents[agent].admission.admit(self.now, offer);
        match decision {
            AdmissionDecision::Start => self.start(agent, work, from),
            AdmissionDecision::Wait => {
                let buffer = AnswerBuffer::new(work.attempt, from, BUFFER_BYTES);
                self.agents[agent].buffers.insert(work, buffer);
                self.after(remaining_ms + 1, SimulationEvent::Advance(agent));
            }
            AdmissionDecision::Refused {
                reason,
                retry_after,
            } => self.send_refusal(work, reason, retry_after),
            AdmissionDecision::Unproved { .. } => {
                let attempt = work.attempt;
                self.send_to_entry(work, TrackerEvent::TargetLost { attempt });
            }
            AdmissionDecision::Duplicate => {}
        }
        self.act_at_agent(agent, &actions);
    }

    fn withdraw(&mut self, agent: usize, cancel: &WorkCancel) {
        let fake = &mut self.agents[agent];
        let answer = fake.admission.cancel(self.now, cancel);
        if answer == CancelAnswer::NeverStarted {
            fake.buffers.remove(&cancel.work);
            let attempt = cancel.work.attempt;
            let event = TrackerEvent::CancelAnswered { attempt, answer };
            self.send_to_entry(cancel.work, event);
        }
    }

    fn cancel(&mut self, agent: usize, cancel: &WorkCancel) {
        let fake = &mut self.agents[agent];
        let answer = fake.admission.cancel(self.now, cancel);
        if answer == CancelAnswer::NeverStarted {
            fake.buffers.remove(&cancel.work);
        }
        let event = TrackerEvent::CancelAnswered {
            attempt: cancel.work.attempt,
            answer,
        };
        self.send_to_entry(cancel.work, event);
    }

    fn resume(&mut self, agent: usize, cancel: &WorkCancel, from: &ResumePoint) {
        let fake = &mut self.agents[agent];
        let is_current = cancel.incarnation == fake.admission.incarnation();
        let Some(buffer) = fake.buffers.get(&cancel.work).filter(|_| is_current) else {
            self.cancel(agent, cancel);
            return;
        };
        let attempt = cancel.work.attempt;
        let replies: Vec<_> = match buffer.resume(from) {
            Ok(events) => events.cloned().map(TrackerEvent::Received).collect(),
            Err(_) => vec![TrackerEvent::TargetLost { attempt }],
        };
        for reply in replies {
            self.send_to_entry(cancel.work, reply);
        }
    }

    fn start(&mut self, agent: usize, work: WorkId, from: ResumePoint) {
        *self.starts.entry(work.request).or_default() += 1;
        let fake = &mut self.agents[agent];
        fake.buffers
            .entry(work)
            .or_insert_with(|| AnswerBuffer::new(work.attempt, from, BUFFER_BYTES));
        let incarnation = fake.admission.incarnation();
        self.after(2, SimulationEvent::Produce(agent, incarnation, work));
    }

    fn produce(&mut self, agent: usize, incarnation: ProcessIncarnation, work: WorkId) {
        let fake = &mut self.agents[agent];
        let is_running = fake.admission.running().any(|running| running == work);
        if fake.admission.incarnation() != incarnation || !is_running {
            return;
        }
        let buffer = fake
            .buffers
            .get_mut(&work)
            .expect("running work has a buffer");
        let n_sent = buffer.resume_point().index as usize;
        if n_sent < n_parts(number_of(work)) {
            let base = buffer.base().index as usize;
            let event = buffer.push(answer_part(work, base, n_sent));
            self.send_to_entry(work, TrackerEvent::Received(event));
            let delay = self.rng.random_range(1..20);
            self.after(delay, SimulationEvent::Produce(agent, incarnation, work));
            return;
        }
        let event = buffer.end();
        self.send_to_entry(work, TrackerEvent::Received(event));
        let actions = self.agents[agent].admission.finished(self.now, work);
        self.act_at_agent(agent, &actions);
    }

    fn act_at_agent(&mut self, agent: usize, actions: &[AdmissionAction]) {
        for &action in actions {
            match action {
                AdmissionAction::Start(work) => self.start(agent, work, ResumePoint::default()),
                AdmissionAction::Refuse {
                    work,
                    reason,
                    retry_after,
                } => {
                    self.agents[agent].buffers.remove(&work);
                    self.send_refusal(work, reason, retry_after);
                }
            }
        }
    }

    /// Restarts the agent without its state and with the next incarnation.
    fn crash(&mut self, agent: usize) {
        let next = self.agents[agent].admission.incarnation().next();
        self.agents[agent] = fake_agent(next.0);
    }

    /// Crashes the target of a running agent, which reports the lost work to the entry VM.
    fn crash_target(&mut self, agent: usize) {
        let lost: Vec<_> = self.agents[agent].admission.running().collect();
        for work in lost {
            let attempt = work.attempt;
            self.agents[agent].buffers.remove(&work);
            self.send_to_entry(work, TrackerEvent::TargetLost { attempt });
            let actions = self.agents[agent].admission.finished(self.now, work);
            self.act_at_agent(agent, &actions);
        }
    }

    fn send_refusal(&mut self, work: WorkId, reason: RefusalReason, retry_after: Duration) {
        let event = TrackerEvent::Refused {
            attempt: work.attempt,
            reason,
            retry_after,
        };
        self.send_to_entry(work, event);
    }

    fn send_to_agent(&mut self, target: &TargetName, work: WorkId, message: AgentMessage) {
        let agent = (0..N_AGENTS)
            .find(|&agent| target_name(agent) == *target)
            .expect("known");
        let pause = self.agents[agent].paused_until.since(self.now);
        let event = SimulationEvent::ToAgent(agent, message);
        self.send(pause.as_millis() as u64, work, event);
    }

    fn send_to_entry(&mut self, work: WorkId, event: TrackerEvent) {
        self.send(0, work, SimulationEvent::ToEntry(number_of(work), event));
    }

    /// Delivers an event late, twice or not at all; a lost one appears as a lost connection.
    fn send(&mut self, pause_ms: u64, work: WorkId, event: SimulationEvent) {
        let copies = 1 + u32::from(self.chance(self.rates.duplicate_percent));
        for _ in 0..copies {
            let delay_ms = pause_ms + self.rng.random_range(0..15);
            if self.chance(self.rates.drop_percent) {
                let attempt = work.attempt;
                let lost = TrackerEvent::ConnectionLost { attempt };
                self.event_after(delay_ms, number_of(work), lost);
            } else {
                self.after(delay_ms, event.clone());
            }
        }
        if self.chance(self.rates.duplicate_percent) {
            self.after(pause_ms + 2_000, event);
        }
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    fn cancel_of(&self, work: WorkId) -> WorkCancel {
        let caller = &self.callers[&number_of(work)];
        WorkCancel {
            work,
            incarnation: caller.incarnations[&work.attempt],
            entry: "entry-1".into(),
            accepted_at: caller.accepted_at,
        }
    }

    fn at_random(&mut self, within_ms: u64, event_of: impl Fn(usize) -> SimulationEvent) {
        let delay_ms = self.rng.random_range(0..within_ms);
        let agent = self.rng.random_range(0..N_AGENTS);
        self.after(delay_ms, event_of(agent));
    }

    fn event_after(&mut self, delay_ms: u64, request: u64, event: TrackerEvent) {
        self.after(delay_ms, SimulationEvent::ToEntry(request, event));
    }

    fn after(&mut self, delay_ms: u64, event: SimulationEvent) {
        let at = self.now + Duration::from_millis(delay_ms);
        self.n_events += 1;
        self.events.insert(self.n_events, event);
        self.queue.push(Reverse((at, self.n_events)));
    }
}

fn fake_agent(incarnation: u64) -> FakeAgent {
    FakeAgent {
        admission: AgentAdmission::new(ProcessIncarnation(incarnation), SLOTS),
        buffers: HashMap::new(),
        paused_until: Timestamp::default(),
    }
}
