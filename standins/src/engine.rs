//! A stand-in for a model engine with continuous batching.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use tokio::net::ToSocketAddrs;
use tokio::sync::{Notify, watch};

use crate::cache_event::PrefixCache;
use crate::completion::{ResponseFields, expected_tokens, prompt_text};
use crate::engine_http::handle_request;
use crate::lagged_value::LaggedValue;
use crate::server::{ServerControl, ServerHandle, start_server};
use crate::step_runner::{ExpertMapOrder, StepRunner};

/// The maximum number of responses kept so that clients can resume their streams.
const MAX_RESPONSES: usize = 10_000;

/// The initial settings of an engine.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// The number of requests that run concurrently.
    pub slots: usize,
    /// The duration of one step; each step generates one token per running request.
    pub step_time: Duration,
    /// The duration of one step window.
    pub window_time: Duration,
    /// Whether an order with an old fencing number is rejected.
    pub checks_fencing: bool,
    /// The delay before a load report is visible.
    pub load_lag: Duration,
    /// The delay before cache events are visible.
    pub cache_lag: Duration,
    /// The fraction (0 to 1) of cache events that are lost.
    pub cache_lost_share: f64,
    /// The capacity of the prefix cache, in blocks.
    pub cache_blocks: usize,
    /// A request whose prompt contains this text crashes the engine when it starts to run.
    pub crash_marker: String,
    /// How long the engine is unavailable after a crash.
    pub crash_downtime: Duration,
    /// The seed for choosing the lost cache events.
    pub seed: u64,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            slots: 8,
            step_time: Duration::from_millis(5),
            window_time: Duration::from_millis(100),
            checks_fencing: true,
            load_lag: Duration::ZERO,
            cache_lag: Duration::ZERO,
            cache_lost_share: 0.0,
            cache_blocks: 1_024,
            crash_marker: "CRASH-ENGINE".to_owned(),
            crash_downtime: Duration::from_millis(300),
            seed: 0,
        }
    }
}

/// The load that an engine reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The sequence number of the report; it increases with every change.
    pub sequence: u64,
    /// The number of running requests.
    pub running: usize,
    /// The number of requests that wait for a slot.
    pub waiting: usize,
    /// The number of tokens generated in the last second.
    pub tokens_per_second: f64,
    /// The duration of one step, in milliseconds.
    pub step_ms: f64,
}

/// A request as received.
#[derive(Debug)]
pub(crate) struct Submission {
    /// The request id, if the client sent one.
    pub(crate) id: Option<String>,
    /// The priority; 0 is the most urgent.
    pub(crate) priority: u32,
    /// Whether this is a chat completion.
    pub(crate) is_chat: bool,
    /// The cache blocks of the prompt.
    pub(crate) blocks: Vec<String>,
}

/// The state of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ResponseState {
    Waiting,
    Running,
    Finished,
    Cancelled,
}

/// A response and its progress.
#[derive(Clone, Debug)]
pub(crate) struct EngineResponse {
    pub(crate) fields: ResponseFields,
    pub(crate) state: ResponseState,
    /// The number of tokens generated so far.
    pub(crate) n_tokens: usize,
    pub(crate) tokens: Arc<[String]>,
    crashes_engine: bool,
    blocks: Vec<String>,
}

#[derive(Debug)]
pub(crate) struct EngineState {
    pub(crate) options: EngineOptions,
    pub(crate) responses: HashMap<String, EngineResponse>,
    pub(crate) load: LaggedValue<LoadReport>,
    pub(crate) cache: PrefixCache,
    pub(crate) steps: StepRunner,
    waiting: BTreeMap<(u32, u64), String>,
    running: Vec<String>,
    request_order: VecDeque<String>,
    n_submitted: u64,
    started: Vec<String>,
    recent_steps: VecDeque<(Instant, usize)>,
    n_crashes: u64,
    /// Whether a stream goes on with an event without end after its first events.
    pub(crate) sends_endless_events: bool,
}

#[derive(Debug)]
pub(crate) struct EngineShared {
    pub(crate) state: Mutex<EngineState>,
    /// The number of state changes; response readers wait for it to change.
    pub(crate) steps: watch::Sender<u64>,
    has_work: Notify,
    control: Arc<ServerControl>,
}

/// The handle of a running model engine, which also injects faults.
#[derive(Debug)]
pub struct EngineStandIn {
    shared: Arc<EngineShared>,
    server: ServerHandle,
    step_task: tokio::task::JoinHandle<()>,
}

impl EngineStandIn {
    /// Starts an engine on `address`; port 0 selects a free port.
    pub async fn start(address: impl ToSocketAddrs, options: EngineOptions) -> io::Result<Self> {
        let control = Arc::new(ServerControl::default());
        let shared = Arc::new(EngineShared {
            state: Mutex::new(EngineState::new(options)),
            steps: watch::Sender::new(0),
            has_work: Notify::new(),
            control: Arc::clone(&control),
        });
        let handler_state = Arc::clone(&shared);
        let handler = move |request| handle_request(Arc::clone(&handler_state), request);
        let server = start_server(address, control, handler).await?;
        let step_task = tokio::spawn(run_steps(Arc::clone(&shared)));
        Ok(Self {
            shared,
            server,
            step_task,
        })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets the duration of one step.
    pub fn set_step_time(&self, step_time: Duration) {
        self.shared.state.lock().options.step_time = step_time;
    }

    /// Sets the delay before a load report is visible.
    pub fn set_load_lag(&self, lag: Duration) {
        self.shared.state.lock().load.lag = lag;
    }

    /// Sets the delay before cache events are visible and the fraction (0 to 1) that is lost.
    pub fn set_cache_faults(&self, lag: Duration, lost_share: f64) {
        let mut state = self.shared.state.lock();
        state.cache.lag = lag;
        state.cache.lost_share = lost_share;
    }

    /// Sets whether the engine is unavailable: open and new connections are dropped.
    pub fn set_away(&self, away: bool) {
        self.shared.control.set_away(away);
        if away {
            self.shared.control.drop_connections();
        }
    }

    /// Sets whether new connections are accepted, or wait at the system.
    pub fn set_accepting(&self, accepting: bool) {
        self.shared.control.set_accepting(accepting);
    }

    /// Drops all open connections; running requests continue and their streams can be resumed.
    pub fn drop_connections(&self) {
        self.shared.control.drop_connections();
    }

    /// Crashes the engine as a request with the crash marker does: its requests, cache, step windows
    /// and loaded maps are lost.
    pub fn crash(&self) {
        self.shared.crash();
    }

    /// Sets whether each stream goes on with an event without end after its first events.
    pub fn set_endless_events(&self, endless: bool) {
        self.shared.state.lock().sends_endless_events = endless;
    }

    /// Returns the ids of the requests that started to run, in order, including repeats.
    pub fn started(&self) -> Vec<String> {
        self.shared.state.lock().started.clone()
    }

    /// Returns the number of requests that run or wait.
    pub fn n_open(&self) -> usize {
        let state = self.shared.state.lock();
        state.running.len() + state.waiting.len()
    }

    /// Returns the number of crashes.
    pub fn n_crashes(&self) -> u64 {
        self.shared.state.lock().n_crashes
    }

    /// Sets the tokens per second of each expert of each layer, summed over the group.
    pub fn set_expert_rates(&self, rates: Vec<Vec<f64>>) {
        self.shared.state.lock().steps.set_rates(rates);
    }

    /// Returns the orders of the step windows that the engine started, in order.
    pub fn started_windows(&self) -> Vec<ExpertMapOrder> {
        self.shared.state.lock().steps.started()
    }
}

impl Drop for EngineStandIn {
    fn drop(&mut self) {
        self.step_task.abort();
    }
}

impl EngineState {
    fn new(options: EngineOptions) -> Self {
        let mut cache = PrefixCache::new(options.cache_blocks, options.seed);
        cache.lag = options.cache_lag;
        cache.lost_share = options.cache_lost_share;
        let report = LoadReport {
            step_ms: options.step_time.as_secs_f64() * 1_000.0,
            ..LoadReport::default()
        };
        Self {
            load: LaggedValue::new(report, options.load_lag),
            steps: StepRunner::new(options.window_time),
            options,
            responses: HashMap::new(),
            cache,
            waiting: BTreeMap::new(),
            running: Vec::new(),
            request_order: VecDeque::new(),
            n_submitted: 0,
            started: Vec::new(),
            recent_steps: VecDeque::new(),
            n_crashes: 0,
            sends_endless_events: false,
        }
    }

    /// Runs one step; returns whether a request with the crash marker crashes the engine.
    fn run_step(&mut self) -> bool {
        while self.running.len() < self.options.slots {
            let Some((_, id)) = self.waiting.pop_first() else {
                break;
            };
            let Some(response) = self.responses.get_mut(&id) else {
                continue;
            };
            response.state = ResponseState::Running;
            self.started.push(id.clone());
            self.cache.store(std::mem::take(&mut response.blocks));
            if response.crashes_engine {
                return true;
            }
            self.running.push(id);
        }
        let n_generated = self.generate_tokens();
        self.report_load(n_generated);
        false
    }

    fn generate_tokens(&mut self) -> usize {
        let responses = &mut self.responses;
        let mut n_generated = 0;
        self.running.retain(|id| {
            let Some(response) = responses.get_mut(id) else {
                return false;
            };
            if response.state != ResponseState::Running {
                return false;
            }
            if response.n_tokens < response.tokens.len() {
                response.n_tokens += 1;
                n_generated += 1;
            }
            if response.n_tokens == response.tokens.len() {
                response.state = ResponseState::Finished;
            }
            response.state == ResponseState::Running
        });
        n_generated
    }

    fn report_load(&mut self, n_generated: usize) {
        let now = Instant::now();
        self.recent_steps.push_back((now, n_generated));
        while 1 <= now.duration_since(self.recent_steps[0].0).as_secs() {
            self.recent_steps.pop_front();
        }
        let tokens: usize = self.recent_steps.iter().map(|(_, n)| n).sum();
        let report = LoadReport {
            sequence: self.load.latest().sequence + 1,
            running: self.running.len(),
            waiting: self.waiting.len(),
            tokens_per_second: tokens as f64,
            step_ms: self.options.step_time.as_secs_f64() * 1_000.0,
        };
        self.load.set(report);
    }
}

impl EngineShared {
    /// Queues a request and returns its id.
    pub(crate) fn submit(&self, submission: Submission, body: &Value) -> String {
        let mut state = self.state.lock();
        state.n_submitted += 1;
        let number = state.n_submitted;
        let id = submission.id.unwrap_or_else(|| format!("engine-{number}"));
        let crashes_engine = prompt_text(body).contains(&state.options.crash_marker);
        let response = EngineResponse {
            fields: ResponseFields::new(id.clone(), submission.is_chat, body),
            state: ResponseState::Waiting,
            n_tokens: 0,
            tokens: expected_tokens(body).into(),
            crashes_engine,
            blocks: submission.blocks,
        };
        state.waiting.retain(|_, waiting| *waiting != id);
        state.running.retain(|running| *running != id);
        state.responses.insert(id.clone(), response);
        let queue_key = (submission.priority, number);
        state.waiting.insert(queue_key, id.clone());
        state.request_order.push_back(id.clone());
        if MAX_RESPONSES < state.request_order.len() {
            let oldest = state.request_order.pop_front().unwrap_or_default();
            state.responses.remove(&oldest);
        }
        state.report_load(0);
        drop(state);
        self.has_work.notify_one();
        id
    }

    /// Cancels a request and returns its previous state, or `None` when the id is unknown.
    pub(crate) fn cancel(&self, id: &str) -> Option<ResponseState> {
        let mut state = self.state.lock();
        let response = state.responses.get_mut(id)?;
        let before = response.state;
        if before != ResponseState::Finished {
            response.state = ResponseState::Cancelled;
        }
        state.waiting.retain(|_, waiting| waiting != id);
        state.running.retain(|running| running != id);
        drop(state);
        self.steps.send_modify(|n| *n += 1);
        Some(before)
    }

    fn crash(&self) -> Duration {
        self.control.set_away(true);
        self.control.drop_connections();
        let mut state = self.state.lock();
        state.n_crashes += 1;
        state.responses.clear();
        state.waiting.clear();
        state.running.clear();
        state.request_order.clear();
        state.cache.clear();
        state.steps.crash();
        state.report_load(0);
        let downtime = state.options.crash_downtime;
        drop(state);
        self.steps.send_modify(|n| *n += 1);
        self.has_work.notify_one();
        downtime
    }

    fn is_idle(&self) -> bool {
        let state = self.state.lock();
        state.waiting.is_empty() && state.running.is_empty()
    }
}

async fn run_steps(shared: Arc<EngineShared>) {
    let mut n_crashes = 0;
    loop {
        let crashes = shared.state.lock().n_crashes;
        if n_crashes < crashes {
            n_crashes = crashes;
            let downtime = shared.state.lock().options.crash_downtime;
            tokio::time::sleep(downtime).await;
            shared.control.set_away(false);
            continue;
        }
        if shared.is_idle() {
            shared.has_work.notified().await;
            continue;
        }
        let step_time = shared.state.lock().options.step_time;
        tokio::time::sleep(step_time).await;
        let crashes_engine = shared.state.lock().run_step();
        if crashes_engine {
            shared.crash();
        }
        shared.steps.send_modify(|n| *n += 1);
    }
}
