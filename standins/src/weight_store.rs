//! A stand-in for the rate-limited store of expert weights.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use parking_lot::Mutex;
use tokio::net::ToSocketAddrs;

use crate::rate_limit::RateLimit;
use crate::server::{
    ResponseResult, ServerControl, ServerHandle, error_response, full_body, now_ms,
    rate_limited_response, start_server,
};

/// The initial settings of a weight store.
#[derive(Clone, Debug)]
pub struct WeightStoreOptions {
    /// The size of the weights of one expert in one layer, in bytes.
    pub expert_bytes: usize,
    /// The maximum number of reads per second; `None` means no limit.
    pub reads_per_second: Option<u64>,
    /// The delay before each response.
    pub delay: Duration,
}

impl Default for WeightStoreOptions {
    fn default() -> Self {
        Self {
            expert_bytes: 4_096,
            reads_per_second: None,
            delay: Duration::ZERO,
        }
    }
}

#[derive(Debug)]
struct WeightState {
    options: WeightStoreOptions,
    limit: RateLimit,
    down: bool,
    n_served: u64,
}

/// The handle of a running weight store, which also injects faults.
#[derive(Debug)]
pub struct WeightStoreStandIn {
    state: Arc<Mutex<WeightState>>,
    server: ServerHandle,
}

impl WeightStoreStandIn {
    /// Starts a weight store on `address`; port 0 selects a free port.
    pub async fn start(
        address: impl ToSocketAddrs,
        options: WeightStoreOptions,
    ) -> io::Result<Self> {
        let mut limit = RateLimit::default();
        limit.per_second = options.reads_per_second;
        let state = Arc::new(Mutex::new(WeightState {
            options,
            limit,
            down: false,
            n_served: 0,
        }));
        let handler_state = Arc::clone(&state);
        let handler = move |request| handle_request(Arc::clone(&handler_state), request);
        let server = start_server(address, Arc::new(ServerControl::default()), handler).await?;
        Ok(Self { state, server })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets the maximum number of reads per second; `None` means no limit.
    pub fn set_reads_per_second(&self, limit: Option<u64>) {
        self.state.lock().limit.per_second = limit;
    }

    /// Sets the delay before each response.
    pub fn set_delay(&self, delay: Duration) {
        self.state.lock().options.delay = delay;
    }

    /// Sets whether the store is down: it responds with 503.
    pub fn set_down(&self, down: bool) {
        self.state.lock().down = down;
    }

    /// Returns the number of successful reads.
    pub fn n_served(&self) -> u64 {
        self.state.lock().n_served
    }
}

async fn handle_request(
    state: Arc<Mutex<WeightState>>,
    request: Request<Incoming>,
) -> ResponseResult {
    let path = request.uri().path();
    let Some((layer, expert)) = parse_path(path) else {
        return error_response(StatusCode::NOT_FOUND, "no such weights");
    };
    let delay = state.lock().options.delay;
    tokio::time::sleep(delay).await;
    let mut state = state.lock();
    if state.down {
        return error_response(StatusCode::SERVICE_UNAVAILABLE, "the weight store is down");
    }
    if !state.limit.take(now_ms()) {
        return rate_limited_response();
    }
    state.n_served += 1;
    let fill = (layer.wrapping_mul(31).wrapping_add(expert)) as u8;
    let bytes = vec![fill; state.options.expert_bytes];
    Ok(Response::new(full_body(bytes)))
}

fn parse_path(path: &str) -> Option<(u32, u32)> {
    let mut parts = path.strip_prefix("/v1/weights/")?.split('/');
    let _model = parts.next().filter(|model| !model.is_empty())?;
    let layer = parts.next()?.parse().ok()?;
    let expert = parts.next()?.parse().ok()?;
    parts.next().is_none().then_some((layer, expert))
}
