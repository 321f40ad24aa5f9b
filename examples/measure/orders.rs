//! The `orders` measurement: group commit against a simulated log service, in virtual time.
//!
//! The log service writes 300 appends per second over all streams, serially and regardless of
//! their size. Half of its response time is spent on the request and half on the response. Reads
//! are free. Orders arrive at seeded random intervals, and the target answers after 20 ms.

use std::collections::{BTreeMap, VecDeque};

use argh::FromArgs;
use comfreyhead::prelude::*;
use comfreyhead::process::orders::{
    AttemptId, BatchDelay, BodyDigest, HolderAction, HolderEvent, HolderIdentity, KeyHistory,
    LogAction, LogEntry, LogEvent, LogPage, OrderAnswer, OrderHolder, OrderKey, OrderRequest,
    OrderSettings, OrderShard, ReadId, rank_agents,
};
use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use uuid::Builder;

/// The appends per second of the simulated log service.
const APPENDS_PER_SECOND: u64 = 300;

/// The service time of one append.
const APPEND_TIME: Duration = Duration::from_micros(1_000_000 / APPENDS_PER_SECOND);

/// The response time of the target.
const TARGET_TIME: Duration = Duration::from_millis(20);

/// How long a caller waits for its order.
const DEADLINE: Duration = Duration::from_secs(5);

/// The initial time whose orders and appends are not counted.
const WARM_UP: Duration = Duration::from_secs(2);

/// The time after the warm-up in which orders and appends are counted.
const SPAN: Duration = Duration::from_secs(5);

/// The peak requests per second of a full-size deployment.
const PEAK_REQUESTS: f64 = 9_100.0;

const START: Timestamp = Timestamp::from_millis(1_700_000_000_000);

/// appends a second and added latency of orders against rate and batch delay
#[derive(FromArgs)]
#[argh(subcommand, name = "orders")]
pub(crate) struct OrdersArgs {
    /// print one JSON object a line
    #[argh(switch)]
    json: bool,
}

/// Runs all cases and prints a line for each.
pub(crate) fn run(args: &OrdersArgs) {
    if !args.json {
        println!("p50, p95 = time from an order's arrival at the agent to its start");
        println!("told50, told95 = time from its arrival to the reply\n");
        println!("{}", OrderLine::HEADINGS);
    }
    for case in all_cases() {
        let line = measure(&case);
        if args.json {
            println!("{}", serde_json::to_string(&line).expect("a plain struct"));
        } else {
            println!("{line}");
        }
    }
}

/// One combination of order rate, log response time, batch delay and number of services.
struct OrderCase {
    rate: u64,
    answer: Duration,
    delay: BatchDelay,
    n_services: usize,
}

fn all_cases() -> Vec<OrderCase> {
    let spaced = BatchDelay::Spaced(Duration::from_millis(60));
    let delays = [
        BatchDelay::Fixed(Duration::ZERO),
        BatchDelay::Fixed(Duration::from_millis(10)),
        BatchDelay::Fixed(Duration::from_millis(50)),
        spaced,
    ];
    let mut cases = Vec::new();
    for answer in [5, 20, 100].map(Duration::from_millis) {
        for delay in delays {
            for rate in [10, 50, 100, 200, 500, 1_000, 2_000] {
                cases.push(OrderCase {
                    rate,
                    answer,
                    delay,
                    n_services: 1,
                });
            }
        }
    }
    // Orders as a share, in per mille, of the peak requests of a full-size deployment.
    for n_services in [1, 4] {
        for per_mille in [10, 16, 33, 100, 330, 1_000] {
            cases.push(OrderCase {
                rate: per_mille * PEAK_REQUESTS as u64 / 1_000,
                answer: Duration::from_millis(20),
                delay: spaced,
                n_services,
            });
        }
    }
    cases
}

/// The output row of one case.
#[derive(Serialize)]
struct OrderLine {
    services: usize,
    answer_ms: u64,
    delay: String,
    orders_per_s: u64,
    share_percent: f64,
    appends_per_s: f64,
    records_per_append: f64,
    log_kb_per_s: f64,
    added_p50_ms: f64,
    added_p95_ms: f64,
    told_p50_ms: f64,
    told_p95_ms: f64,
    not_started: u64,
}

impl OrderLine {
    const HEADINGS: &str = "services answer_ms       delay orders/s  share% appends/s rec/append \
                            log_kB/s p50_ms p95_ms told50 told95 not_started";
}

impl std::fmt::Display for OrderLine {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "{:8} {:9} {:>11} {:8} {:7.2} {:9.1} {:10.1} {:8.1} {:6.1} {:6.1} {:6.1} {:6.1} {:11}",
            self.services,
            self.answer_ms,
            self.delay,
            self.orders_per_s,
            self.share_percent,
            self.appends_per_s,
            self.records_per_append,
            self.log_kb_per_s,
            self.added_p50_ms,
            self.added_p95_ms,
            self.told_p50_ms,
            self.told_p95_ms,
            self.not_started,
        )
    }
}

/// A simulated event.
enum ModelEvent {
    Arrive,
    Wake(usize),
    LogRequest(usize, LogAction),
    LogWritten(usize, LogAction),
    LogAnswer(usize, LogEvent),
    TargetDone(usize, AttemptId),
}

/// A long-poll read that waits for new records.
struct WaitingRead {
    agent: usize,
    read: ReadId,
    from: LogOffset,
}

struct OrderModel {
    now: Timestamp,
    rng: ChaCha8Rng,
    answer: Duration,
    rate: u64,
    n_services: usize,
    events: BTreeMap<(Timestamp, u64), ModelEvent>,
    n_events: u64,
    names: Vec<AgentName>,
    agents: Vec<OrderHolder>,
    wakes: Vec<Option<Timestamp>>,
    streams: BTreeMap<OrderShard, Vec<LogEntry>>,
    waiting: BTreeMap<OrderShard, VecDeque<WaitingRead>>,
    busy_until: Timestamp,
    arrived: BTreeMap<AttemptId, Timestamp>,
    result: ModelResult,
}

struct ModelResult {
    added: Histogram<u64>,
    told: Histogram<u64>,
    n_appends: u64,
    n_records: u64,
    n_bytes: u64,
    n_orders: u64,
    n_started: u64,
}

const AGENTS_PER_SERVICE: usize = 3;

fn measure(case: &OrderCase) -> OrderLine {
    let mut model = OrderModel::new(case);
    model.schedule(START, ModelEvent::Arrive);
    let end = START + WARM_UP + SPAN + DEADLINE;
    while let Some(((time, _), event)) = model.events.pop_first() {
        if end < time {
            break;
        }
        model.now = time;
        model.on_event(event);
    }
    let result = &model.result;
    let seconds = SPAN.as_secs_f64();
    OrderLine {
        services: case.n_services,
        answer_ms: case.answer.as_millis() as u64,
        delay: match case.delay {
            BatchDelay::Fixed(delay) => format!("{} ms", delay.as_millis()),
            BatchDelay::Spaced(delay) => format!("spaced {}", delay.as_millis()),
        },
        orders_per_s: case.rate,
        share_percent: 100.0 * case.rate as f64 / PEAK_REQUESTS,
        appends_per_s: result.n_appends as f64 / seconds,
        records_per_append: result.n_records as f64 / result.n_appends as f64,
        log_kb_per_s: result.n_bytes as f64 / seconds / 1_000.0,
        added_p50_ms: result.added.value_at_quantile(0.50) as f64 / 1_000.0,
        added_p95_ms: result.added.value_at_quantile(0.95) as f64 / 1_000.0,
        told_p50_ms: result.told.value_at_quantile(0.50) as f64 / 1_000.0,
        told_p95_ms: result.told.value_at_quantile(0.95) as f64 / 1_000.0,
        not_started: result.n_orders - result.n_started,
    }
}

impl OrderModel {
    fn new(case: &OrderCase) -> Self {
        let n_agents = AGENTS_PER_SERVICE * case.n_services;
        let names: Vec<_> = (0..n_agents)
            .map(|agent| AgentName::from(format!("agent-{agent}")))
            .collect();
        let settings = OrderSettings {
            batch_delay: case.delay,
            max_held: usize::MAX,
            ..OrderSettings::default()
        };
        let holder = |name: &AgentName| {
            let identity = HolderIdentity {
                agent: name.clone(),
                incarnation: ProcessIncarnation(1),
                target: TargetName::from(format!("target-of-{name}")),
            };
            OrderHolder::new(identity, settings.clone())
        };
        Self {
            now: START,
            rng: ChaCha8Rng::seed_from_u64(7),
            answer: case.answer,
            rate: case.rate,
            n_services: case.n_services,
            events: BTreeMap::new(),
            n_events: 0,
            agents: names.iter().map(holder).collect(),
            names,
            wakes: vec![None; n_agents],
            streams: BTreeMap::new(),
            waiting: BTreeMap::new(),
            busy_until: START,
            arrived: BTreeMap::new(),
            result: ModelResult {
                added: Histogram::new(3).expect("a valid precision"),
                told: Histogram::new(3).expect("a valid precision"),
                n_appends: 0,
                n_records: 0,
                n_bytes: 0,
                n_orders: 0,
                n_started: 0,
            },
        }
    }

    fn schedule(&mut self, time: Timestamp, event: ModelEvent) {
        self.n_events += 1;
        self.events.insert((time, self.n_events), event);
    }

    fn is_counted(time: Timestamp) -> bool {
        START + WARM_UP <= time && time < START + WARM_UP + SPAN
    }

    fn on_event(&mut self, event: ModelEvent) {
        match event {
            ModelEvent::Arrive => self.arrive(),
            ModelEvent::Wake(agent) => {
                if self.wakes[agent] == Some(self.now) {
                    self.wakes[agent] = None;
                    self.agent_event(agent, HolderEvent::Tick);
                }
            }
            ModelEvent::LogRequest(agent, action) => self.log_request(agent, action),
            ModelEvent::LogWritten(agent, action) => self.log_written(agent, action),
            ModelEvent::LogAnswer(agent, event) => self.agent_event(agent, HolderEvent::Log(event)),
            ModelEvent::TargetDone(agent, attempt) => {
                let body = br#"{"order":"0123456789","state":"posted","items":2}"#;
                let answer = OrderAnswer::bounded(200, "application/json", body, 4_096);
                self.agent_event(agent, HolderEvent::TargetAnswered { attempt, answer });
            }
        }
    }

    fn arrive(&mut self) {
        let end = START + WARM_UP + SPAN;
        if end <= self.now {
            return;
        }
        let uniform: f64 = self.rng.random();
        let gap = -(1.0 - uniform).ln() / self.rate as f64;
        let next = self.now + Duration::from_secs_f64(gap);
        self.schedule(next, ModelEvent::Arrive);
        let random: [u8; 10] = self.rng.random();
        let id = Builder::from_unix_timestamp_millis(self.now.as_millis(), &random).into_uuid();
        let key = OrderKey {
            account: AccountName::from("guild"),
            id,
        };
        let service = self.rng.random_range(0..self.n_services);
        let agent = self.agent_for(service, key.shard());
        let attempt = AttemptId::random(&mut self.rng);
        self.arrived.insert(attempt, self.now);
        if Self::is_counted(self.now) {
            self.result.n_orders += 1;
        }
        let request = OrderRequest {
            key,
            attempt,
            digest: BodyDigest::of("ledger", "post", &random),
            service: ServiceName::from(format!("service-{service}")),
            call: "post-order".into(),
            deadline: self.now + DEADLINE,
            key_history: KeyHistory::FirstUse,
        };
        self.agent_event(agent, HolderEvent::Arrived(request));
    }

    fn agent_for(&self, service: usize, shard: OrderShard) -> usize {
        let first = service * AGENTS_PER_SERVICE;
        let names = &self.names[first..first + AGENTS_PER_SERVICE];
        let best = &rank_agents(shard, names)[0];
        let idx = names.iter().position(|name| name == best);
        first + idx.expect("a ranked name")
    }

    fn agent_event(&mut self, agent: usize, event: HolderEvent) {
        let half = self.answer / 2;
        for action in self.agents[agent].on_event(self.now, event) {
            match action {
                HolderAction::Log(action) => {
                    self.schedule(self.now + half, ModelEvent::LogRequest(agent, action));
                }
                HolderAction::Run { attempt, .. } => self.start(agent, attempt),
                HolderAction::Reply { attempt, .. } => self.tell(attempt),
            }
        }
        let wake = self.agents[agent].next_wake();
        let wake = wake.map(|wake| wake.max(self.now + Duration::from_micros(1)));
        if let Some(wake) = wake.filter(|_| wake != self.wakes[agent]) {
            self.wakes[agent] = Some(wake);
            self.schedule(wake, ModelEvent::Wake(agent));
        }
    }

    fn start(&mut self, agent: usize, attempt: AttemptId) {
        let arrived = self.arrived[&attempt];
        if Self::is_counted(arrived) {
            self.result.n_started += 1;
            let added = self.now.since(arrived).as_micros() as u64;
            self.result.added.record(added).expect("within the range");
        }
        let done = self.now + TARGET_TIME;
        self.schedule(done, ModelEvent::TargetDone(agent, attempt));
    }

    fn tell(&mut self, attempt: AttemptId) {
        let arrived = self.arrived[&attempt];
        if Self::is_counted(arrived) {
            let told = self.now.since(arrived).as_micros() as u64;
            self.result.told.record(told).expect("within the range");
        }
    }

    fn log_request(&mut self, agent: usize, action: LogAction) {
        match &action {
            LogAction::Append { .. } => {
                self.busy_until = self.busy_until.max(self.now) + APPEND_TIME;
                let written = self.busy_until;
                self.schedule(written, ModelEvent::LogWritten(agent, action));
            }
            LogAction::Read {
                read,
                shard,
                from,
                wait,
                ..
            } => {
                let waiting = WaitingRead {
                    agent,
                    read: *read,
                    from: *from,
                };
                let n_records = self.streams.entry(*shard).or_default().len() as u64;
                if wait.is_zero() || from.0 <= n_records {
                    self.answer_read(*shard, &waiting);
                } else {
                    self.waiting.entry(*shard).or_default().push_back(waiting);
                }
            }
        }
    }

    fn log_written(&mut self, agent: usize, action: LogAction) {
        let LogAction::Append {
            batch,
            shard,
            records,
        } = action
        else {
            return;
        };
        let stream = self.streams.entry(shard).or_default();
        let first = LogOffset(stream.len() as u64 + 1);
        if Self::is_counted(self.now) {
            self.result.n_appends += 1;
            self.result.n_records += records.len() as u64;
        }
        for record in records {
            let value = record.to_value();
            if Self::is_counted(self.now) {
                self.result.n_bytes += value.to_string().len() as u64;
            }
            stream.push(LogEntry {
                offset: LogOffset(stream.len() as u64 + 1),
                at: self.now,
                value,
            });
        }
        let answered = self.now + self.answer / 2;
        let event = LogEvent::Appended { batch, first };
        self.schedule(answered, ModelEvent::LogAnswer(agent, event));
        for waiting in self.waiting.remove(&shard).unwrap_or_default() {
            self.answer_read(shard, &waiting);
        }
    }

    fn answer_read(&mut self, shard: OrderShard, waiting: &WaitingRead) {
        let stream = self.streams.entry(shard).or_default();
        let records = stream.iter().skip(waiting.from.0 as usize - 1);
        let page = LogPage {
            records: records.take(1_024).cloned().collect(),
            oldest: LogOffset(1),
            tail: LogOffset(stream.len() as u64 + 1),
        };
        let event = LogEvent::ReadDone {
            read: waiting.read,
            page,
        };
        let answered = self.now + self.answer / 2;
        self.schedule(answered, ModelEvent::LogAnswer(waiting.agent, event));
    }
}
