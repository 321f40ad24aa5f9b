//! A single-threaded queue model around the product's decision functions.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use comfreyhead::prelude::*;
use comfreyhead::process::routing::{
    AdmissionAction, AdmissionDecision, AgentAdmission, CacheEvent, DispatchResult, LoadReport,
    RetryBudget, RetryDecision, RetryQuery, RouteQuery, TargetEligibility, TargetTable, TryFailure,
    WorkOffer, WorkRepetition, WorkSharing,
};
use comfreyhead::request::WorkId;
use comfreyhead::version::config::{RetryConfig, TargetRole};
use derive_more::Display;
use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use uuid::Uuid;

use super::engine::{Engine, EngineMark, FULL_STEP_US, SLOTS, STEPS_PER_BLOCK};
use super::policy::{
    EntryView, PolicyChoice, ReportedTarget, RoutePolicy, choose_by_product, choose_in_turn,
    choose_least_reported, target_name,
};
use super::workload::{Arrival, arrivals};

/// The entry VMs.
const N_ENTRIES: usize = 18;
/// The time for a whole answer.
const TIMEOUT: Duration = Duration::from_secs(30);
/// The longest time between two load reports.
const REPORT_INTERVAL_S: f64 = 0.5;
/// The share of cache events that are lost.
const LOST_EVENTS: f64 = 0.1;
/// How long after a loss the lists of targets show it.
const LIST_LAG: Duration = Duration::from_secs(3);
/// The phases of a run, in seconds: warm-up, measured, and (with a loss) lost and recovered.
const WARM_UP_S: f64 = 30.0;
const MEASURED_S: f64 = 60.0;
const LOST_AT_S: f64 = 30.0;
const BACK_AT_S: f64 = 60.0;
const RECOVERED_AT_S: f64 = 90.0;
const LOSS_RUN_S: f64 = 120.0;
/// The mean cost of a request in steps, prompt included, for the stated capacity.
const MEAN_TOKENS: f64 = 184.0;
const MEAN_BLOCKS: f64 = 9.5;

/// What goes wrong in a scenario.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum ScenarioFault {
    #[display("-")]
    None,
    /// A sixth of the targets dies and comes back later.
    #[display("lost-sixth")]
    LostSixth,
    /// One target in nineteen takes three times as long for a step.
    #[display("slow-target")]
    SlowTarget,
}

/// One run.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct ModelScenario {
    pub(crate) n_targets: usize,
    /// Offered work as a share of capacity, with no prompt cached.
    pub(crate) load: f64,
    pub(crate) report_lag_s: f64,
    pub(crate) fault: ScenarioFault,
    pub(crate) policy: RoutePolicy,
    pub(crate) seed: u64,
}

/// What one run gave.
#[derive(Serialize)]
pub(crate) struct ModelResult {
    #[serde(flatten)]
    scenario: ModelScenario,
    wait_ms: [f64; 3],
    first_token_ms: [f64; 3],
    prefix_hit_percent: f64,
    /// Work answered in time, as a share of the capacity of all targets.
    goodput_percent: f64,
    /// The same while a sixth is lost, of what is left, and after it came back.
    goodput_lost_percent: f64,
    goodput_recovered_percent: f64,
    in_time_percent: f64,
    refused_percent: f64,
    late_percent: f64,
    tries_per_request: f64,
}

impl ModelResult {
    pub(crate) fn row(&self) -> Vec<String> {
        let triple = |values: &[f64; 3]| {
            let [p50, p95, p99] = values;
            format!("{p50:.0}/{p95:.0}/{p99:.0}")
        };
        let goodput = match self.scenario.fault {
            ScenarioFault::LostSixth => format!(
                "{:.1} lost {:.1} back {:.1}",
                self.goodput_percent, self.goodput_lost_percent, self.goodput_recovered_percent
            ),
            _ => format!("{:.1}", self.goodput_percent),
        };
        vec![
            self.scenario.n_targets.to_string(),
            self.scenario.load.to_string(),
            self.scenario.report_lag_s.to_string(),
            self.scenario.fault.to_string(),
            self.scenario.policy.to_string(),
            triple(&self.wait_ms),
            triple(&self.first_token_ms),
            format!("{:.0}", self.prefix_hit_percent),
            goodput,
            format!("{:.1}", self.in_time_percent),
            format!("{:.1}", self.refused_percent),
            format!("{:.1}", self.late_percent),
            format!("{:.2}", self.tries_per_request),
        ]
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ModelEvent {
    Arrive(usize),
    Retry(usize),
    Wake(usize, u32),
    Deadline(usize),
    Report,
    ShowReports(usize),
    ShowCache(usize),
    Lose,
    Delist,
    Restore,
}

struct ModelRequest {
    arrival: Arrival,
    deadline: Timestamp,
    tokens_left: u32,
    attempt: u32,
    tried: SmallVec<[usize; 4]>,
    /// Where the present attempt waits or runs.
    at: Option<usize>,
    is_running: bool,
    has_ended: bool,
}

struct ModelTarget {
    engine: Engine,
    admission: AgentAdmission,
}

struct Model {
    scenario: ModelScenario,
    now: Timestamp,
    rng: ChaCha8Rng,
    queue: BinaryHeap<Reverse<(Timestamp, u64, ModelEvent)>>,
    n_events: u64,
    role: TargetRole,
    targets: Vec<ModelTarget>,
    entries: Vec<EntryView>,
    reported: Vec<ReportedTarget>,
    /// Reports and cache events on their way to the entries.
    reports: Vec<Vec<LoadReport>>,
    cache_events: Vec<(usize, CacheEvent)>,
    requests: Vec<ModelRequest>,
    budget: RetryBudget,
    stats: ModelStats,
}

struct ModelStats {
    waits: Histogram<u64>,
    first_tokens: Histogram<u64>,
    blocks: u64,
    blocks_cached: u64,
    /// Work answered in time, in steps: measured, while lost, after recovery.
    useful: [f64; 3],
    n_in_time: u64,
    n_refused: u64,
    n_late: u64,
    n_tries: u64,
}

/// Runs one scenario.
pub(crate) fn run(scenario: &ModelScenario) -> ModelResult {
    let mut model = Model::new(*scenario);
    while let Some(Reverse((at, _, event))) = model.queue.pop() {
        model.now = at;
        model.handle(event);
        if model.end_at() < at {
            break;
        }
    }
    model.result()
}

impl Model {
    fn new(scenario: ModelScenario) -> Self {
        let role = TargetRole::Model("model".into());
        let targets = (0..scenario.n_targets)
            .map(|target| ModelTarget {
                engine: Engine::new(slowness_of(&scenario, target)),
                admission: AgentAdmission::new(ProcessIncarnation(1), SLOTS),
            })
            .collect();
        let mut model = Self {
            scenario,
            now: Timestamp::default(),
            rng: ChaCha8Rng::seed_from_u64(scenario.seed + 1_000),
            queue: BinaryHeap::new(),
            n_events: 0,
            entries: Vec::new(),
            role,
            targets,
            reported: vec![
                ReportedTarget {
                    load: 0,
                    is_listed: true
                };
                scenario.n_targets
            ],
            reports: Vec::new(),
            cache_events: Vec::new(),
            requests: Vec::new(),
            budget: RetryBudget::new(&RetryConfig::default()),
            stats: ModelStats::new(),
        };
        model.entries = (0..N_ENTRIES)
            .map(|entry| model.entry_view(entry))
            .collect();
        model.schedule_all();
        model
    }

    fn entry_view(&self, entry: usize) -> EntryView {
        let mut table = TargetTable::new("dc-1".into());
        for target in 0..self.scenario.n_targets {
            let name = target_name(target);
            table.set_target(&name, &self.role, SLOTS, &"dc-1".into());
            table.set_eligible(&name, TargetEligibility::Eligible);
        }
        EntryView {
            table,
            next_target: entry * 7,
        }
    }

    fn schedule_all(&mut self) {
        let per_second = self.scenario.load * self.capacity() / mean_cost();
        let duration_s = self.end_at().0 as f64 / 1e6;
        let sizes = (self.scenario.n_targets, N_ENTRIES);
        for arrival in arrivals(per_second, duration_s, sizes, self.scenario.seed) {
            let request = self.requests.len();
            self.push(arrival.at, ModelEvent::Arrive(request));
            self.requests.push(ModelRequest {
                deadline: arrival.at + TIMEOUT,
                tokens_left: arrival.tokens,
                attempt: 0,
                tried: SmallVec::new(),
                at: None,
                is_running: false,
                has_ended: false,
                arrival,
            });
        }
        self.push(Timestamp(1), ModelEvent::Report);
        if self.scenario.fault == ScenarioFault::LostSixth {
            self.push(seconds(LOST_AT_S), ModelEvent::Lose);
            self.push(seconds(LOST_AT_S) + LIST_LAG, ModelEvent::Delist);
            self.push(seconds(BACK_AT_S), ModelEvent::Restore);
        }
    }

    /// The steps of requests that all targets do in a second.
    fn capacity(&self) -> f64 {
        self.scenario.n_targets as f64 * f64::from(SLOTS) * 1e6 / FULL_STEP_US
    }

    fn end_at(&self) -> Timestamp {
        match self.scenario.fault {
            ScenarioFault::LostSixth => seconds(LOSS_RUN_S),
            _ => seconds(WARM_UP_S + MEASURED_S),
        }
    }

    fn handle(&mut self, event: ModelEvent) {
        match event {
            ModelEvent::Arrive(request) => {
                self.budget.first_try();
                let deadline = self.requests[request].deadline;
                self.push(deadline, ModelEvent::Deadline(request));
                self.route(request);
            }
            ModelEvent::Retry(request) => self.route(request),
            ModelEvent::Wake(target, version) => self.wake(target, version),
            ModelEvent::Deadline(request) => self.pass_deadline(request),
            ModelEvent::Report => self.report(),
            ModelEvent::ShowReports(batch) => self.show_reports(batch),
            ModelEvent::ShowCache(event) => self.show_cache(event),
            ModelEvent::Lose => self.lose(),
            ModelEvent::Delist => self.list_lost(TargetEligibility::Down),
            ModelEvent::Restore => self.restore(),
        }
    }

    fn route(&mut self, request: usize) {
        let now = self.now;
        let state = &mut self.requests[request];
        if state.has_ended {
            return;
        }
        let view = &mut self.entries[state.arrival.entry];
        let tried: SmallVec<[TargetName; 4]> = state
            .tried
            .iter()
            .map(|&target| target_name(target))
            .collect();
        let query = RouteQuery {
            role: &self.role,
            prefixes: &state.arrival.prefixes,
            cost: MEAN_TOKENS as u64,
            tried: &tried,
            deadline: state.deadline,
        };
        let choice = match self.scenario.policy {
            RoutePolicy::RoundRobin => choose_in_turn(view, &self.reported, &state.tried),
            RoutePolicy::LeastReported => {
                choose_least_reported(&self.reported, &state.tried, &mut self.rng)
            }
            RoutePolicy::Product => choose_by_product(view, now, &query, &mut self.rng),
        };
        match choice {
            PolicyChoice::Target(target) => self.dispatch(request, target),
            PolicyChoice::Refused => self.refuse(request),
        }
    }

    fn dispatch(&mut self, request: usize, target: usize) {
        let now = self.now;
        let state = &mut self.requests[request];
        state.attempt += 1;
        state.tried.push(target);
        self.stats.n_tries += u64::from(is_measured(&state.arrival));
        let work = work_id(request, state.attempt);
        let table = &mut self.entries[state.arrival.entry].table;
        table.dispatched(&target_name(target), work, &state.arrival.prefixes);
        if !self.targets[target].engine.is_alive {
            table.finished(now, work, DispatchResult::Unreachable);
            self.retry(request, TryFailure::NotStarted);
            return;
        }
        let admission = &mut self.targets[target].admission;
        let offer = offer_of(now, work, admission.incarnation(), state);
        let (decision, actions) = admission.admit(now, offer);
        let sequence = admission.report_sequence();
        match decision {
            AdmissionDecision::Start => {
                table.admitted(work, sequence);
                state.at = Some(target);
                self.start(request, target);
            }
            AdmissionDecision::Wait => {
                table.admitted(work, sequence);
                state.at = Some(target);
            }
            _ => {
                table.finished(now, work, DispatchResult::Refused);
                self.retry(request, TryFailure::NotStarted);
            }
        }
        self.act(target, &actions);
    }

    fn start(&mut self, request: usize, target: usize) {
        let state = &mut self.requests[request];
        state.is_running = true;
        let prefixes = &state.arrival.prefixes;
        let engine = &mut self.targets[target].engine;
        let (n_cached, evicted) = engine.start(self.now, request, state.tokens_left, prefixes);
        let stored = prefixes[n_cached..].to_vec();
        if is_measured(&state.arrival) {
            let wait_us = self.now.since(state.arrival.at).as_micros() as u64;
            self.stats.waits.saturating_record(wait_us.max(1));
            self.stats.blocks += prefixes.len() as u64;
            self.stats.blocks_cached += n_cached as u64;
        }
        self.publish(target, CacheEvent::Stored(stored));
        self.publish(target, CacheEvent::Removed(evicted));
        self.schedule_wake(target);
    }

    fn publish(&mut self, target: usize, event: CacheEvent) {
        let is_empty = match &event {
            CacheEvent::Stored(prefixes) | CacheEvent::Removed(prefixes) => prefixes.is_empty(),
            CacheEvent::Cleared => false,
        };
        let is_product = self.scenario.policy == RoutePolicy::Product;
        if is_empty || !is_product || self.rng.random_bool(LOST_EVENTS) {
            return;
        }
        self.cache_events.push((target, event));
        let shown_at = self.now + Duration::from_secs_f64(self.scenario.report_lag_s);
        self.push(shown_at, ModelEvent::ShowCache(self.cache_events.len() - 1));
    }

    fn wake(&mut self, target: usize, version: u32) {
        if self.targets[target].engine.version != version {
            return;
        }
        for (mark, request) in self.targets[target].engine.take_marks(self.now) {
            let state = &self.requests[request];
            let is_here = state.at == Some(target) && state.is_running && !state.has_ended;
            if !is_here {
                continue;
            }
            match mark {
                EngineMark::FirstToken if is_measured(&state.arrival) => {
                    let time_us = self.now.since(state.arrival.at).as_micros() as u64;
                    self.stats.first_tokens.saturating_record(time_us);
                }
                EngineMark::FirstToken => {}
                EngineMark::End => self.answer(request, target),
            }
        }
        self.schedule_wake(target);
    }

    fn answer(&mut self, request: usize, target: usize) {
        let state = &mut self.requests[request];
        state.has_ended = true;
        let arrival = &state.arrival;
        let steps = f64::from(arrival.tokens) + arrival.prefixes.len() as f64 * STEPS_PER_BLOCK;
        self.stats.n_in_time += u64::from(is_measured(arrival));
        if let Some(phase) = phase_of(&self.scenario, self.now) {
            self.stats.useful[phase] += steps;
        }
        self.leave(request, target);
    }

    fn pass_deadline(&mut self, request: usize) {
        let state = &mut self.requests[request];
        if state.has_ended {
            return;
        }
        state.has_ended = true;
        self.stats.n_late += u64::from(is_measured(&state.arrival));
        let Some(target) = state.at else {
            return;
        };
        if state.is_running {
            self.leave(request, target);
        } else {
            let actions = self.targets[target].admission.advance(self.now);
            self.act(target, &actions);
        }
    }

    /// Ends the present attempt of a running request at its target.
    fn leave(&mut self, request: usize, target: usize) {
        let state = &mut self.requests[request];
        state.at = None;
        state.is_running = false;
        let work = work_id(request, state.attempt);
        let ModelTarget { engine, admission } = &mut self.targets[target];
        engine.release(self.now);
        let sequence = admission.report_sequence();
        let actions = admission.finished(self.now, work);
        let table = &mut self.entries[state.arrival.entry].table;
        table.finished(self.now, work, DispatchResult::Answered { sequence });
        self.act(target, &actions);
        self.schedule_wake(target);
    }

    fn act(&mut self, target: usize, actions: &[AdmissionAction]) {
        for &action in actions {
            match action {
                AdmissionAction::Start(work) => self.start(request_of(work), target),
                AdmissionAction::Refuse { work, .. } => {
                    let request = request_of(work);
                    self.requests[request].at = None;
                    let entry = self.requests[request].arrival.entry;
                    let table = &mut self.entries[entry].table;
                    table.finished(self.now, work, DispatchResult::Refused);
                    self.retry(request, TryFailure::NotStarted);
                }
            }
        }
    }

    fn retry(&mut self, request: usize, failure: TryFailure) {
        let state = &self.requests[request];
        if state.has_ended {
            return;
        }
        let query = RetryQuery {
            n_tries: state.attempt,
            failure,
            repetition: WorkRepetition::Repeatable,
            deadline: state.deadline,
        };
        match self.budget.decide(self.now, &query, &mut self.rng) {
            RetryDecision::Retry { delay } => {
                self.push(self.now + delay, ModelEvent::Retry(request));
            }
            _ => self.refuse(request),
        }
    }

    fn refuse(&mut self, request: usize) {
        let state = &mut self.requests[request];
        state.has_ended = true;
        self.stats.n_refused += u64::from(is_measured(&state.arrival));
    }

    fn report(&mut self) {
        let now = self.now;
        let reports = self
            .targets
            .iter_mut()
            .map(|target| {
                let step_time = Duration::from_micros(target.engine.step_time_us() as u64);
                target.admission.next_report(now, 0, step_time)
            })
            .collect();
        self.reports.push(reports);
        let lag = Duration::from_secs_f64(self.scenario.report_lag_s);
        let batch = self.reports.len() - 1;
        self.push(self.now + lag, ModelEvent::ShowReports(batch));
        let interval_s = self.scenario.report_lag_s.min(REPORT_INTERVAL_S);
        self.push(
            self.now + Duration::from_secs_f64(interval_s),
            ModelEvent::Report,
        );
    }

    fn show_reports(&mut self, batch: usize) {
        let reports = std::mem::take(&mut self.reports[batch]);
        for (target, report) in reports.iter().enumerate() {
            self.reported[target].load = report.running + report.waiting;
            if self.scenario.policy != RoutePolicy::Product {
                continue;
            }
            let name = target_name(target);
            for entry in &mut self.entries {
                entry.table.observe_report(self.now, &name, report);
            }
        }
    }

    fn show_cache(&mut self, event: usize) {
        let (target, event) = &self.cache_events[event];
        let name = target_name(*target);
        for entry in &mut self.entries {
            entry.table.observe_cache_event(&name, event);
        }
    }

    fn lose(&mut self) {
        for target in 0..self.scenario.n_targets / 6 {
            self.targets[target].engine.crash(self.now);
            let next = self.targets[target].admission.incarnation().next();
            self.targets[target].admission = AgentAdmission::new(next, SLOTS);
        }
        for request in 0..self.requests.len() {
            let state = &mut self.requests[request];
            let is_lost = state
                .at
                .is_some_and(|target| target < self.scenario.n_targets / 6);
            if !is_lost || state.has_ended {
                continue;
            }
            state.at = None;
            state.is_running = false;
            let work = work_id(request, state.attempt);
            let table = &mut self.entries[state.arrival.entry].table;
            table.finished(self.now, work, DispatchResult::Unreachable);
            self.retry(request, TryFailure::MayHaveRun);
        }
    }

    fn list_lost(&mut self, eligibility: TargetEligibility) {
        for target in 0..self.scenario.n_targets / 6 {
            self.reported[target].is_listed = eligibility == TargetEligibility::Eligible;
            for entry in &mut self.entries {
                entry.table.set_eligible(&target_name(target), eligibility);
            }
        }
    }

    fn restore(&mut self) {
        for target in 0..self.scenario.n_targets / 6 {
            self.targets[target].engine.is_alive = true;
        }
        self.list_lost(TargetEligibility::Eligible);
    }

    fn schedule_wake(&mut self, target: usize) {
        let engine = &self.targets[target].engine;
        if let Some(wake_at) = engine.next_wake() {
            let version = engine.version;
            let wake_at = wake_at.max(self.now + Duration::from_micros(1));
            self.push(wake_at, ModelEvent::Wake(target, version));
        }
    }

    fn push(&mut self, at: Timestamp, event: ModelEvent) {
        self.n_events += 1;
        self.queue.push(Reverse((at, self.n_events, event)));
    }

    fn result(&self) -> ModelResult {
        let stats = &self.stats;
        let share = |part: u64| 100.0 * part as f64 / stats.n_measured().max(1) as f64;
        let [useful, useful_lost, useful_recovered] = stats.useful;
        let capacity = self.capacity();
        let lost_capacity = capacity * 5.0 / 6.0;
        ModelResult {
            scenario: self.scenario,
            wait_ms: quantiles_ms(&stats.waits),
            first_token_ms: quantiles_ms(&stats.first_tokens),
            prefix_hit_percent: 100.0 * stats.blocks_cached as f64 / stats.blocks.max(1) as f64,
            goodput_percent: 100.0 * useful / (capacity * MEASURED_S),
            goodput_lost_percent: 100.0 * useful_lost / (lost_capacity * (BACK_AT_S - LOST_AT_S)),
            goodput_recovered_percent: 100.0 * useful_recovered
                / (capacity * (LOSS_RUN_S - RECOVERED_AT_S)),
            in_time_percent: share(stats.n_in_time),
            refused_percent: share(stats.n_refused),
            late_percent: share(stats.n_late),
            tries_per_request: stats.n_tries as f64 / stats.n_measured().max(1) as f64,
        }
    }
}

impl ModelStats {
    fn new() -> Self {
        let histogram = || Histogram::new_with_bounds(1, 120_000_000, 3).expect("constant bounds");
        Self {
            waits: histogram(),
            first_tokens: histogram(),
            blocks: 0,
            blocks_cached: 0,
            useful: [0.0; 3],
            n_in_time: 0,
            n_refused: 0,
            n_late: 0,
            n_tries: 0,
        }
    }

    fn n_measured(&self) -> u64 {
        self.n_in_time + self.n_refused + self.n_late
    }
}

/// Whether a request counts: it arrived after the warm-up.
fn is_measured(arrival: &Arrival) -> bool {
    seconds(WARM_UP_S) <= arrival.at
}

/// The place in the record of useful work for an answer at `now`.
fn phase_of(scenario: &ModelScenario, now: Timestamp) -> Option<usize> {
    let now_s = now.0 as f64 / 1e6;
    if scenario.fault != ScenarioFault::LostSixth {
        return (WARM_UP_S <= now_s).then_some(0);
    }
    if now_s < LOST_AT_S {
        return None;
    }
    if now_s < BACK_AT_S {
        return Some(1);
    }
    (RECOVERED_AT_S <= now_s).then_some(2)
}

fn slowness_of(scenario: &ModelScenario, target: usize) -> f64 {
    let is_slow = scenario.fault == ScenarioFault::SlowTarget && target % 19 == 3;
    if is_slow { 3.0 } else { 1.0 }
}

fn offer_of(
    now: Timestamp,
    work: WorkId,
    incarnation: ProcessIncarnation,
    state: &ModelRequest,
) -> WorkOffer {
    WorkOffer {
        work,
        incarnation,
        entry: format!("entry-{}", state.arrival.entry).into(),
        accepted_at: state.arrival.at,
        remaining_ms: state.deadline.since(now).as_millis() as u64,
        account: format!("account-{}", state.arrival.account).into(),
        weight: 1,
        lane: WorkLane::Interactive,
        cost: MEAN_TOKENS as u64,
        sharing: WorkSharing::Shared,
    }
}

fn mean_cost() -> f64 {
    MEAN_TOKENS + MEAN_BLOCKS * STEPS_PER_BLOCK
}

fn work_id(request: usize, attempt: u32) -> WorkId {
    WorkId {
        request: RequestId(Uuid::from_u128(request as u128)),
        attempt,
    }
}

fn request_of(work: WorkId) -> usize {
    work.request.0.as_u128() as usize
}

fn seconds(seconds: f64) -> Timestamp {
    Timestamp((seconds * 1e6) as u64)
}

fn quantiles_ms(histogram: &Histogram<u64>) -> [f64; 3] {
    [0.5, 0.95, 0.99].map(|quantile| histogram.value_at_quantile(quantile) as f64 / 1e3)
}
