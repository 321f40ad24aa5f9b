//! A single-threaded discrete-event simulation that calls the product's decision functions.

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

use super::engine::{Engine, EngineMilestone, FULL_STEP_US, SLOTS, STEPS_PER_BLOCK};
use super::policy::{
    EntryView, PolicyChoice, ReportedTarget, RoutePolicy, choose_by_product, choose_least_reported,
    choose_round_robin, target_name,
};
use super::workload::{Arrival, arrivals};

/// The number of entry VMs.
const N_ENTRIES: usize = 18;
/// The deadline for a complete answer, counted from the arrival.
const TIMEOUT: Duration = Duration::from_secs(30);
/// The maximum interval between two load reports, in seconds.
const REPORT_INTERVAL_S: f64 = 0.5;
/// The fraction of cache events that are lost.
const LOST_EVENT_SHARE: f64 = 0.1;
/// The delay until a crashed target is delisted.
const DELIST_LAG: Duration = Duration::from_secs(3);
/// The phases of a run, in seconds. Without fault phases: the lengths of the warm-up and of the
/// measurement. With them: when the fault starts, when its measurement starts, when both end,
/// when the measurement of the recovery starts, and when the run ends.
const WARM_UP_S: f64 = 30.0;
const MEASURED_S: f64 = 60.0;
const FAULT_START_S: f64 = 30.0;
const FAULT_MEASURED_S: f64 = 40.0;
const FAULT_END_S: f64 = 60.0;
const RECOVERY_MEASURED_S: f64 = 90.0;
const FAULT_RUN_S: f64 = 120.0;
/// The minimum retry delay for a client whose request failed on a crashed target.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// The first of the small accounts, which make 9% of the requests: 5%, 3% and 1%.
const FIRST_SMALL_ACCOUNT: u64 = 7;
/// How often a refused client sends its request again during a surge scenario.
const MAX_RESENDS: u32 = 3;
/// The factor on the step time while the targets stall.
const STALL_SLOWNESS: u32 = 10;
/// The mean answer tokens, after clamping, and the mean prompt blocks of a request; they convert
/// capacity to a request rate.
const MEAN_TOKENS: f64 = 184.0;
const MEAN_BLOCKS: f64 = 9.5;

/// The fault that a scenario injects.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum ScenarioFault {
    #[display("-")]
    None,
    /// A sixth of the targets crashes and recovers later.
    #[display("lost-sixth")]
    LostSixth,
    /// One target in nineteen has three times the normal step time.
    #[display("slow-target")]
    SlowTarget,
    /// The load is a quarter of the stated one except for 30 s; refused clients retry.
    #[display("surge")]
    Surge,
    /// All targets have ten times the normal step time for 30 s.
    #[display("stall")]
    Stall,
}

/// The parameters of one simulation run.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct ModelScenario {
    pub(crate) n_targets: usize,
    /// The offered work as a fraction of capacity, assuming that no prompt is cached.
    pub(crate) load: f64,
    pub(crate) report_lag_s: f64,
    pub(crate) fault: ScenarioFault,
    pub(crate) policy: RoutePolicy,
    pub(crate) seed: u64,
}

/// The results of one simulation run.
#[derive(Serialize)]
pub(crate) struct ModelResult {
    #[serde(flatten)]
    scenario: ModelScenario,
    wait_ms: [f64; 3],
    first_token_ms: [f64; 3],
    prefix_hit_percent: f64,
    /// Work answered in time, as a percentage of the capacity of all targets.
    goodput_percent: f64,
    /// The same during a fault, relative to the remaining capacity, and from 30 s after its end.
    goodput_lost_percent: f64,
    goodput_recovered_percent: f64,
    in_time_percent: f64,
    /// The same for the accounts that stay within their equal share even at twice the capacity.
    in_time_small_percent: f64,
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
            ScenarioFault::None | ScenarioFault::SlowTarget => {
                format!("{:.1}", self.goodput_percent)
            }
            _ => format!(
                "in fault {:.1}, after {:.1}",
                self.goodput_lost_percent, self.goodput_recovered_percent
            ),
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
            format!("{:.1}", self.in_time_small_percent),
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
    Crash,
    Delist,
    Restore,
    SetSpeed(u32),
}

struct ModelRequest {
    arrival: Arrival,
    deadline: Timestamp,
    tokens_left: u32,
    attempt: u32,
    tried: SmallVec<[usize; 4]>,
    n_resends: u32,
    /// The target where the current attempt waits or runs.
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
    /// The reports and cache events in transit to the entries.
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
    /// Work answered in time, in steps: without phases, during the fault, after recovery.
    useful: [f64; 3],
    n_in_time: u64,
    n_small: u64,
    n_small_in_time: u64,
    n_refused: u64,
    n_late: u64,
    n_tries: u64,
}

/// Simulates one scenario.
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
            let at_s = arrival.at.0 as f64 / 1e6;
            let is_outside_fault = !(FAULT_START_S..FAULT_END_S).contains(&at_s);
            let is_surge = self.scenario.fault == ScenarioFault::Surge;
            if !is_surge || !is_outside_fault || arrival.at.0 % 4 == 0 {
                self.add_request(arrival, 0);
            }
        }
        self.push(Timestamp(1), ModelEvent::Report);
        if self.scenario.fault == ScenarioFault::LostSixth {
            self.push(seconds(FAULT_START_S), ModelEvent::Crash);
            self.push(seconds(FAULT_START_S) + DELIST_LAG, ModelEvent::Delist);
            self.push(seconds(FAULT_END_S), ModelEvent::Restore);
        }
        if self.scenario.fault == ScenarioFault::Stall {
            self.push(seconds(FAULT_START_S), ModelEvent::SetSpeed(STALL_SLOWNESS));
            self.push(seconds(FAULT_END_S), ModelEvent::SetSpeed(1));
        }
    }

    fn add_request(&mut self, arrival: Arrival, n_resends: u32) {
        let request = self.requests.len();
        self.push(arrival.at, ModelEvent::Arrive(request));
        self.requests.push(ModelRequest {
            deadline: arrival.at + TIMEOUT,
            tokens_left: arrival.tokens,
            attempt: 0,
            tried: SmallVec::new(),
            n_resends,
            at: None,
            is_running: false,
            has_ended: false,
            arrival,
        });
    }

    /// The request steps per second that all targets do together with all slots in use.
    fn capacity(&self) -> f64 {
        self.scenario.n_targets as f64 * f64::from(SLOTS) * 1e6 / FULL_STEP_US
    }

    fn end_at(&self) -> Timestamp {
        match has_phases(&self.scenario) {
            true => seconds(FAULT_RUN_S),
            false => seconds(WARM_UP_S + MEASURED_S),
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
            ModelEvent::Deadline(request) => self.expire(request),
            ModelEvent::Report => self.report(),
            ModelEvent::ShowReports(batch) => self.show_reports(batch),
            ModelEvent::ShowCache(event) => self.show_cache(event),
            ModelEvent::Crash => self.crash(),
            ModelEvent::Delist => self.list_crashed(TargetEligibility::Down),
            ModelEvent::Restore => self.restore(),
            ModelEvent::SetSpeed(slowness) => self.set_speed(f64::from(slowness)),
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
            RoutePolicy::RoundRobin => choose_round_robin(view, &self.reported, &state.tried),
            RoutePolicy::LeastReported => {
                choose_least_reported(&self.reported, &state.tried, &mut self.rng)
            }
            RoutePolicy::Product => choose_by_product(view, now, &query, &mut self.rng),
        };
        match choice {
            PolicyChoice::Target(target) => self.dispatch(request, target),
            PolicyChoice::Refused(retry_after) => self.refuse(request, retry_after),
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
            self.retry(request, TryFailure::NotStarted, MIN_RETRY_AFTER);
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
            AdmissionDecision::Refused { retry_after, .. } => {
                table.finished(now, work, DispatchResult::Refused);
                self.retry(request, TryFailure::NotStarted, retry_after);
            }
            AdmissionDecision::Unproved { .. } | AdmissionDecision::Duplicate => {
                unreachable!("the simulation neither loses nor duplicates messages");
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
        if is_empty || !is_product || self.rng.random_bool(LOST_EVENT_SHARE) {
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
        for (milestone, request) in self.targets[target].engine.take_milestones(self.now) {
            let state = &self.requests[request];
            let is_here = state.at == Some(target) && state.is_running && !state.has_ended;
            if !is_here {
                continue;
            }
            match milestone {
                EngineMilestone::FirstToken if is_measured(&state.arrival) => {
                    let time_us = self.now.since(state.arrival.at).as_micros() as u64;
                    self.stats.first_tokens.saturating_record(time_us);
                }
                EngineMilestone::FirstToken => {}
                EngineMilestone::End => self.answer(request, target),
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
        let is_counted = is_measured(arrival) && is_small(arrival);
        self.stats.n_small += u64::from(is_counted);
        self.stats.n_small_in_time += u64::from(is_counted);
        if let Some(phase) = phase_of(&self.scenario, self.now) {
            self.stats.useful[phase] += steps;
        }
        self.leave(request, target);
    }

    fn expire(&mut self, request: usize) {
        let state = &mut self.requests[request];
        if state.has_ended {
            return;
        }
        state.has_ended = true;
        let arrival = &state.arrival;
        self.stats.n_late += u64::from(is_measured(arrival));
        self.stats.n_small += u64::from(is_measured(arrival) && is_small(arrival));
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

    /// Ends the current attempt of a running request at its target.
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
                AdmissionAction::Refuse {
                    work, retry_after, ..
                } => {
                    let request = request_of(work);
                    self.requests[request].at = None;
                    let entry = self.requests[request].arrival.entry;
                    let table = &mut self.entries[entry].table;
                    table.finished(self.now, work, DispatchResult::Refused);
                    self.retry(request, TryFailure::NotStarted, retry_after);
                }
            }
        }
    }

    fn retry(&mut self, request: usize, failure: TryFailure, retry_after: Duration) {
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
            _ => self.refuse(request, retry_after),
        }
    }

    fn refuse(&mut self, request: usize, retry_after: Duration) {
        let state = &mut self.requests[request];
        state.has_ended = true;
        let arrival = &state.arrival;
        self.stats.n_refused += u64::from(is_measured(arrival));
        self.stats.n_small += u64::from(is_measured(arrival) && is_small(arrival));
        let is_resent =
            self.scenario.fault == ScenarioFault::Surge && state.n_resends < MAX_RESENDS;
        if is_resent {
            let n_resends = state.n_resends + 1;
            let mut arrival = state.arrival.clone();
            arrival.at = self.now + retry_after.mul_f64(self.rng.random_range(1.0..1.5));
            self.add_request(arrival, n_resends);
        }
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

    fn crash(&mut self) {
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
            self.retry(request, TryFailure::MayHaveRun, MIN_RETRY_AFTER);
        }
    }

    fn list_crashed(&mut self, eligibility: TargetEligibility) {
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
        self.list_crashed(TargetEligibility::Eligible);
    }

    fn set_speed(&mut self, slowness: f64) {
        for target in 0..self.scenario.n_targets {
            self.targets[target].engine.set_slowness(self.now, slowness);
            self.schedule_wake(target);
        }
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
        let lost_capacity = match self.scenario.fault {
            ScenarioFault::LostSixth => capacity * 5.0 / 6.0,
            _ => capacity,
        };
        ModelResult {
            scenario: self.scenario,
            wait_ms: quantiles_ms(&stats.waits),
            first_token_ms: quantiles_ms(&stats.first_tokens),
            prefix_hit_percent: 100.0 * stats.blocks_cached as f64 / stats.blocks.max(1) as f64,
            goodput_percent: 100.0 * useful / (capacity * MEASURED_S),
            goodput_lost_percent: 100.0 * useful_lost
                / (lost_capacity * (FAULT_END_S - FAULT_MEASURED_S)),
            goodput_recovered_percent: 100.0 * useful_recovered
                / (capacity * (FAULT_RUN_S - RECOVERY_MEASURED_S)),
            in_time_percent: share(stats.n_in_time),
            in_time_small_percent: 100.0 * stats.n_small_in_time as f64
                / stats.n_small.max(1) as f64,
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
            n_small: 0,
            n_small_in_time: 0,
            n_refused: 0,
            n_late: 0,
            n_tries: 0,
        }
    }

    fn n_measured(&self) -> u64 {
        self.n_in_time + self.n_refused + self.n_late
    }
}

/// Whether a request counts in the results, as it arrived after the warm-up.
fn is_measured(arrival: &Arrival) -> bool {
    seconds(WARM_UP_S) <= arrival.at
}

/// Whether the account requests at most an equal share when the load is twice the capacity.
fn is_small(arrival: &Arrival) -> bool {
    FIRST_SMALL_ACCOUNT <= arrival.account
}

/// Whether a run has phases before, during and after a fault.
fn has_phases(scenario: &ModelScenario) -> bool {
    matches!(
        scenario.fault,
        ScenarioFault::LostSixth | ScenarioFault::Surge | ScenarioFault::Stall
    )
}

/// The index into `ModelStats::useful` for an answer at `now`; `None` outside the measurement.
fn phase_of(scenario: &ModelScenario, now: Timestamp) -> Option<usize> {
    let now_s = now.0 as f64 / 1e6;
    if !has_phases(scenario) {
        return (WARM_UP_S <= now_s).then_some(0);
    }
    if now_s < FAULT_MEASURED_S {
        return None;
    }
    if now_s < FAULT_END_S {
        return Some(1);
    }
    (RECOVERY_MEASURED_S <= now_s).then_some(2)
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
        account: format!("account-{}", state.arrival.account * 7 % 10).into(),
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
