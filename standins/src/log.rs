//! A stand-in for the platform's append-only log service.

use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use parking_lot::Mutex;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::net::ToSocketAddrs;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::rate_limit::RateLimit;
use crate::server::{
    ConnectionDropped, ResponseResult, ServerControl, ServerHandle, error_response, json_response,
    now_ms, query_number, rate_limited_response, read_json, start_server,
};

/// The initial settings of a log service.
#[derive(Clone, Debug, Default)]
pub struct LogOptions {
    /// The delay before each append and read.
    pub delay: Duration,
    /// The maximum number of appends per second; `None` means no limit.
    pub appends_per_second: Option<u64>,
    /// The seed for choosing the lost responses.
    pub seed: u64,
}

/// One record of a stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LogRecord {
    /// The offset in its stream, starting at 1.
    pub offset: u64,
    /// When it was written, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The content of the record.
    pub value: Value,
}

/// The response to a read.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LogPage {
    /// The records from the requested offset on.
    pub records: Vec<LogRecord>,
    /// The offset of the next record to be written.
    pub tail: u64,
    /// The oldest offset still stored; equal to the tail when no records are stored.
    pub oldest: u64,
}

#[derive(Debug, Default)]
struct RecordStream {
    records: VecDeque<LogRecord>,
    last_offset: u64,
}

#[derive(Debug)]
struct LogState {
    streams: HashMap<String, RecordStream>,
    delay: Duration,
    down: bool,
    lose_next: u64,
    lose_share: f64,
    limit: RateLimit,
    rng: ChaCha8Rng,
    n_appends: u64,
    n_reads: u64,
}

#[derive(Debug)]
struct LogShared {
    state: Mutex<LogState>,
    n_written: watch::Sender<u64>,
}

/// The handle of a running log service, which also injects faults.
#[derive(Debug)]
pub struct LogStandIn {
    shared: Arc<LogShared>,
    server: ServerHandle,
}

#[derive(Deserialize)]
struct AppendBody {
    records: Vec<Value>,
}

impl LogStandIn {
    /// Starts a log service on `address`; port 0 selects a free port.
    pub async fn start(address: impl ToSocketAddrs, options: LogOptions) -> io::Result<Self> {
        let state = LogState {
            streams: HashMap::new(),
            delay: options.delay,
            down: false,
            lose_next: 0,
            lose_share: 0.0,
            limit: RateLimit::default(),
            rng: ChaCha8Rng::seed_from_u64(options.seed),
            n_appends: 0,
            n_reads: 0,
        };
        let shared = Arc::new(LogShared {
            state: Mutex::new(state),
            n_written: watch::Sender::new(0),
        });
        shared.state.lock().limit.per_second = options.appends_per_second;
        let handler_state = Arc::clone(&shared);
        let handler = move |request| handle_request(Arc::clone(&handler_state), request);
        let server = start_server(address, Arc::new(ServerControl::default()), handler).await?;
        Ok(Self { shared, server })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets the delay before each append and read.
    pub fn set_delay(&self, delay: Duration) {
        self.shared.state.lock().delay = delay;
    }

    /// Sets whether the service is down: it responds with 503 and writes nothing.
    pub fn set_down(&self, down: bool) {
        self.shared.state.lock().down = down;
        self.shared.n_written.send_modify(|_| ());
    }

    /// Drops the responses of the next `n` appends, after the records are written.
    pub fn lose_next_answers(&self, n: u64) {
        self.shared.state.lock().lose_next = n;
    }

    /// Drops the responses of a fraction (0 to 1) of all appends, after the records are written.
    pub fn set_lost_answer_share(&self, share: f64) {
        self.shared.state.lock().lose_share = share;
    }

    /// Sets the maximum number of appends per second; `None` means no limit.
    pub fn set_appends_per_second(&self, limit: Option<u64>) {
        self.shared.state.lock().limit.per_second = limit;
    }

    /// Removes the records of `stream` with offsets below `oldest`, as when their retention expires.
    pub fn trim(&self, stream: &str, oldest: u64) {
        let mut state = self.shared.state.lock();
        if let Some(stream) = state.streams.get_mut(stream) {
            stream.records.retain(|record| oldest <= record.offset);
        }
    }

    /// Appends records directly, without HTTP, and returns the first offset.
    pub fn append(&self, stream: &str, values: Vec<Value>) -> u64 {
        self.shared.write(stream, values)
    }

    /// Reads records directly, without HTTP.
    pub fn read(&self, stream: &str, from: u64, max: usize) -> LogPage {
        self.shared.state.lock().page(stream, from, max)
    }

    /// Returns the number of completed appends.
    pub fn n_appends(&self) -> u64 {
        self.shared.state.lock().n_appends
    }

    /// Returns the number of reads received.
    pub fn n_reads(&self) -> u64 {
        self.shared.state.lock().n_reads
    }
}

impl LogState {
    fn page(&self, stream: &str, from: u64, max: usize) -> LogPage {
        let Some(stream) = self.streams.get(stream) else {
            return LogPage {
                records: Vec::new(),
                tail: 1,
                oldest: 1,
            };
        };
        let tail = stream.last_offset + 1;
        let oldest = stream.records.front().map_or(tail, |record| record.offset);
        let skipped = from.saturating_sub(oldest) as usize;
        let records = stream.records.iter().skip(skipped).take(max).cloned();
        LogPage {
            records: records.collect(),
            tail,
            oldest,
        }
    }

    fn drops_response(&mut self) -> bool {
        if 0 < self.lose_next {
            self.lose_next -= 1;
            return true;
        }
        0.0 < self.lose_share && self.rng.random_bool(self.lose_share.min(1.0))
    }
}

impl LogShared {
    fn write(&self, stream: &str, values: Vec<Value>) -> u64 {
        let at_ms = now_ms();
        let mut state = self.state.lock();
        state.n_appends += 1;
        let stream = state.streams.entry(stream.to_owned()).or_default();
        let first_offset = stream.last_offset + 1;
        for value in values {
            stream.last_offset += 1;
            stream.records.push_back(LogRecord {
                offset: stream.last_offset,
                at_ms,
                value,
            });
        }
        drop(state);
        self.n_written.send_modify(|n| *n += 1);
        first_offset
    }
}

async fn handle_request(shared: Arc<LogShared>, request: Request<Incoming>) -> ResponseResult {
    let path = request.uri().path().to_owned();
    let stream = path
        .strip_prefix("/v1/streams/")
        .and_then(|rest| rest.strip_suffix("/records"))
        .filter(|stream| !stream.is_empty() && !stream.contains('/'));
    let Some(stream) = stream else {
        return error_response(StatusCode::NOT_FOUND, "no such path");
    };
    match *request.method() {
        Method::POST => handle_append(shared, stream, request).await,
        Method::GET => handle_read(shared, stream, &request).await,
        _ => error_response(StatusCode::METHOD_NOT_ALLOWED, "GET or POST"),
    }
}

async fn handle_append(
    shared: Arc<LogShared>,
    stream: &str,
    request: Request<Incoming>,
) -> ResponseResult {
    let values = match read_json::<AppendBody>(request.into_body()).await {
        Ok(body) => body.records,
        Err(reason) => return error_response(StatusCode::BAD_REQUEST, &reason),
    };
    let stream = stream.to_owned();
    // The append continues after the client disconnects, so a client cannot conclude from a
    // broken connection that nothing was written.
    let append = tokio::spawn(async move { append_records(&shared, &stream, values).await });
    append.await.unwrap_or(Err(ConnectionDropped))
}

async fn append_records(shared: &LogShared, stream: &str, values: Vec<Value>) -> ResponseResult {
    let delay = shared.state.lock().delay;
    tokio::time::sleep(delay).await;
    if shared.state.lock().down {
        return error_response(StatusCode::SERVICE_UNAVAILABLE, "the log service is down");
    }
    if !shared.state.lock().limit.take(now_ms()) {
        return rate_limited_response();
    }
    let first_offset = shared.write(stream, values);
    if shared.state.lock().drops_response() {
        return Err(ConnectionDropped);
    }
    json_response(StatusCode::OK, &json!({"first_offset": first_offset}))
}

async fn handle_read(
    shared: Arc<LogShared>,
    stream: &str,
    request: &Request<Incoming>,
) -> ResponseResult {
    let from = query_number(request, "from", 1);
    let max = query_number(request, "max", 1_000) as usize;
    let wait = Duration::from_millis(query_number(request, "wait_ms", 0));
    let mut n_written = shared.n_written.subscribe();
    let delay = shared.state.lock().delay;
    tokio::time::sleep(delay).await;
    let deadline = Instant::now() + wait;
    shared.state.lock().n_reads += 1;
    loop {
        n_written.mark_unchanged();
        if shared.state.lock().down {
            return error_response(StatusCode::SERVICE_UNAVAILABLE, "the log service is down");
        }
        let page = shared.state.lock().page(stream, from, max);
        let is_due = deadline <= Instant::now();
        if is_due || !page.records.is_empty() {
            return json_response(StatusCode::OK, &page);
        }
        let _ = tokio::time::timeout_at(deadline, n_written.changed()).await;
    }
}
