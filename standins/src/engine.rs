//! A model engine with continuous batching.

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
use crate::completion::{AnswerShape, expected_tokens, prompt_text};
use crate::engine_http::handle_request;
use crate::lagged_value::LaggedValue;
use crate::server::{ServerControl, ServerHandle, start_server};
use crate::step_runner::{ExpertMapOrder, StepRunner};

/// The most answers kept for a resume.
const KEPT_ANSWERS: usize = 10_000;

/// How an engine starts.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// The requests that run at a time.
    pub slots: usize,
    /// The time of one step; each running request gains one token in it.
    pub step_time: Duration,
    /// The time of one step window.
    pub window_time: Duration,
    /// Whether an order with an old fencing number is refused.
    pub checks_fencing: bool,
    /// How far the load report is behind.
    pub load_lag: Duration,
    /// How late cache events are seen.
    pub cache_lag: Duration,
    /// The share (0 to 1) of cache events that are never seen.
    pub cache_lost_share: f64,
    /// The blocks that the prefix cache holds.
    pub cache_blocks: usize,
    /// A request whose prompt holds this text crashes the engine when it starts to run.
    pub crash_marker: String,
    /// How long the engine is away after a crash.
    pub crash_downtime: Duration,
    /// The seed for the choice of lost cache events.
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
    /// The number of the report; it grows with every change.
    pub sequence: u64,
    /// The requests that run.
    pub running: usize,
    /// The requests that wait for a slot.
    pub waiting: usize,
    /// The tokens generated in the last second.
    pub tokens_per_second: f64,
    /// The time of one step, in milliseconds.
    pub step_ms: f64,
}

/// A request as it comes in.
#[derive(Debug)]
pub(crate) struct Submission {
    /// The request id that the client gives.
    pub(crate) id: Option<String>,
    /// The priority; 0 is the most urgent.
    pub(crate) priority: u32,
    /// Whether this is a chat completion.
    pub(crate) is_chat: bool,
    /// The names of the prompt's cache blocks.
    pub(crate) blocks: Vec<String>,
}

/// How far an answer is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnswerState {
    Waiting,
    Running,
    Finished,
    Cancelled,
}

/// One answer and how far it is.
#[derive(Clone, Debug)]
pub(crate) struct EngineAnswer {
    pub(crate) shape: AnswerShape,
    pub(crate) state: AnswerState,
    /// The tokens generated so far.
    pub(crate) n_tokens: usize,
    pub(crate) tokens: Arc<[String]>,
    is_crash: bool,
    blocks: Vec<String>,
}

#[derive(Debug)]
pub(crate) struct EngineState {
    pub(crate) options: EngineOptions,
    pub(crate) answers: HashMap<String, EngineAnswer>,
    pub(crate) load: LaggedValue<LoadReport>,
    pub(crate) cache: PrefixCache,
    pub(crate) steps: StepRunner,
    waiting: BTreeMap<(u32, u64), String>,
    running: Vec<String>,
    known: VecDeque<String>,
    n_submitted: u64,
    started: Vec<String>,
    recent: VecDeque<(Instant, usize)>,
    n_crashes: u64,
}

#[derive(Debug)]
pub(crate) struct EngineShared {
    pub(crate) state: Mutex<EngineState>,
    /// Counts the steps; readers of streams wait for its change.
    pub(crate) steps: watch::Sender<u64>,
    has_work: Notify,
    control: Arc<ServerControl>,
}

/// A model engine: a handle with the switches of a running server.
#[derive(Debug)]
pub struct EngineStandIn {
    shared: Arc<EngineShared>,
    server: ServerHandle,
    step_task: tokio::task::JoinHandle<()>,
}

impl EngineStandIn {
    /// Starts an engine on `address`; port 0 takes a free port.
    pub async fn start(address: impl ToSocketAddrs, options: EngineOptions) -> io::Result<Self> {
        let control = Arc::new(ServerControl::default());
        let shared = Arc::new(EngineShared {
            state: Mutex::new(EngineState::new(options)),
            steps: watch::Sender::new(0),
            has_work: Notify::new(),
            control: Arc::clone(&control),
        });
        let served = Arc::clone(&shared);
        let handler = move |request| handle_request(Arc::clone(&served), request);
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

    /// Sets the time of one step.
    pub fn set_step_time(&self, step_time: Duration) {
        self.shared.state.lock().options.step_time = step_time;
    }

    /// Sets how far the load report is behind.
    pub fn set_load_lag(&self, lag: Duration) {
        self.shared.state.lock().load.lag = lag;
    }

    /// Sets how late cache events are seen, and the share (0 to 1) that is never seen.
    pub fn set_cache_faults(&self, lag: Duration, lost_share: f64) {
        let mut state = self.shared.state.lock();
        state.cache.lag = lag;
        state.cache.lost_share = lost_share;
    }

    /// Sets whether the engine is away: all connections are dropped, and each new one.
    pub fn set_away(&self, away: bool) {
        self.shared.control.set_away(away);
        if away {
            self.shared.control.drop_connections();
        }
    }

    /// Drops all connections once; what runs goes on and can be resumed.
    pub fn drop_connections(&self) {
        self.shared.control.drop_connections();
    }

    /// Crashes the engine as a marked request does: all that it held is lost.
    pub fn crash(&self) {
        self.shared.crash();
    }

    /// Returns the ids of the requests that started to run, in their order, repeats included.
    pub fn started(&self) -> Vec<String> {
        self.shared.state.lock().started.clone()
    }

    /// Returns how often the engine crashed.
    pub fn n_crashes(&self) -> u64 {
        self.shared.state.lock().n_crashes
    }

    /// Sets the tokens a second of each expert of each layer, over the whole group.
    pub fn set_expert_rates(&self, rates: Vec<Vec<f64>>) {
        self.shared.state.lock().steps.set_rates(rates);
    }

    /// Returns the step windows that the engine started, in their order.
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
            answers: HashMap::new(),
            cache,
            waiting: BTreeMap::new(),
            running: Vec::new(),
            known: VecDeque::new(),
            n_submitted: 0,
            started: Vec::new(),
            recent: VecDeque::new(),
            n_crashes: 0,
        }
    }

    /// Runs one step; returns whether a marked request crashes the engine.
    fn run_step(&mut self) -> bool {
        while self.running.len() < self.options.slots {
            let Some((_, id)) = self.waiting.pop_first() else {
                break;
            };
            let Some(answer) = self.answers.get_mut(&id) else {
                continue;
            };
            answer.state = AnswerState::Running;
            self.started.push(id.clone());
            self.cache.store(std::mem::take(&mut answer.blocks));
            if answer.is_crash {
                return true;
            }
            self.running.push(id);
        }
        let n_generated = self.generate_tokens();
        self.report_load(n_generated);
        false
    }

    fn generate_tokens(&mut self) -> usize {
        let answers = &mut self.answers;
        let mut n_generated = 0;
        self.running.retain(|id| {
            let Some(answer) = answers.get_mut(id) else {
                return false;
            };
            if answer.state != AnswerState::Running {
                return false;
            }
            if answer.n_tokens < answer.tokens.len() {
                answer.n_tokens += 1;
                n_generated += 1;
            }
            if answer.n_tokens == answer.tokens.len() {
                answer.state = AnswerState::Finished;
            }
            answer.state == AnswerState::Running
        });
        n_generated
    }

    fn report_load(&mut self, n_generated: usize) {
        let now = Instant::now();
        self.recent.push_back((now, n_generated));
        while 1 <= now.duration_since(self.recent[0].0).as_secs() {
            self.recent.pop_front();
        }
        let tokens: usize = self.recent.iter().map(|(_, n)| n).sum();
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
    /// Takes a request in and returns its id.
    pub(crate) fn submit(&self, submission: Submission, body: &Value) -> String {
        let mut state = self.state.lock();
        state.n_submitted += 1;
        let number = state.n_submitted;
        let id = submission.id.unwrap_or_else(|| format!("engine-{number}"));
        let is_crash = prompt_text(body).contains(&state.options.crash_marker);
        let answer = EngineAnswer {
            shape: AnswerShape::new(id.clone(), submission.is_chat, body),
            state: AnswerState::Waiting,
            n_tokens: 0,
            tokens: expected_tokens(body).into(),
            is_crash,
            blocks: submission.blocks,
        };
        state.waiting.retain(|_, waiting| *waiting != id);
        state.running.retain(|running| *running != id);
        state.answers.insert(id.clone(), answer);
        let place = (submission.priority, number);
        state.waiting.insert(place, id.clone());
        state.known.push_back(id.clone());
        if KEPT_ANSWERS < state.known.len() {
            let oldest = state.known.pop_front().unwrap_or_default();
            state.answers.remove(&oldest);
        }
        state.report_load(0);
        drop(state);
        self.has_work.notify_one();
        id
    }

    /// Cancels a request and returns its state before, or none when it is not known.
    pub(crate) fn cancel(&self, id: &str) -> Option<AnswerState> {
        let mut state = self.state.lock();
        let answer = state.answers.get_mut(id)?;
        let before = answer.state;
        if before != AnswerState::Finished {
            answer.state = AnswerState::Cancelled;
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
        state.answers.clear();
        state.waiting.clear();
        state.running.clear();
        state.known.clear();
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
        let is_crash = shared.state.lock().run_step();
        if is_crash {
            shared.crash();
        }
        shared.steps.send_modify(|n| *n += 1);
    }
}
