//! A stand-in for a service that records every call it ran and never deduplicates.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::net::ToSocketAddrs;

use crate::server::{
    ConnectionDropped, ResponseResult, ServerControl, ServerHandle, error_response, header_text,
    json_response, read_json, start_server,
};

/// The initial settings of a service.
#[derive(Clone, Debug, Default)]
pub struct ServiceOptions {
    /// The delay before each call runs.
    pub delay: Duration,
}

/// A call that ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RanCall {
    /// The name of the call.
    pub call: String,
    /// The idempotency key, as sent.
    pub key: Option<String>,
    /// The request id, as sent.
    pub request_id: Option<String>,
}

#[derive(Debug, Default)]
struct ServiceState {
    ran: Vec<RanCall>,
    delay: Duration,
    drop_next: u64,
    refusing: bool,
}

/// The handle of a running service, which also injects faults.
#[derive(Debug)]
pub struct ServiceStandIn {
    state: Arc<Mutex<ServiceState>>,
    control: Arc<ServerControl>,
    server: ServerHandle,
}

impl ServiceStandIn {
    /// Starts a service on `address`; port 0 selects a free port.
    pub async fn start(address: impl ToSocketAddrs, options: ServiceOptions) -> io::Result<Self> {
        let state = Arc::new(Mutex::new(ServiceState {
            delay: options.delay,
            ..ServiceState::default()
        }));
        let control = Arc::new(ServerControl::default());
        let handler_state = Arc::clone(&state);
        let handler = move |request| handle_request(Arc::clone(&handler_state), request);
        let server = start_server(address, Arc::clone(&control), handler).await?;
        Ok(Self {
            state,
            control,
            server,
        })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets the delay before each call runs.
    pub fn set_delay(&self, delay: Duration) {
        self.state.lock().delay = delay;
    }

    /// Drops the responses of the next `n` calls, after they ran.
    pub fn drop_next_answers(&self, n: u64) {
        self.state.lock().drop_next = n;
    }

    /// Sets whether every call is rejected with 422 and does not run.
    pub fn set_refusing(&self, refusing: bool) {
        self.state.lock().refusing = refusing;
    }

    /// Sets whether the service is unavailable: open and new connections are dropped.
    pub fn set_away(&self, away: bool) {
        self.control.set_away(away);
        if away {
            self.control.drop_connections();
        }
    }

    /// Returns the calls that ran, in order.
    pub fn ran(&self) -> Vec<RanCall> {
        self.state.lock().ran.clone()
    }
}

async fn handle_request(
    state: Arc<Mutex<ServiceState>>,
    request: Request<Incoming>,
) -> ResponseResult {
    let path = request.uri().path().to_owned();
    if request.method() == Method::GET && path == "/ran" {
        let ran = state.lock().ran.clone();
        return json_response(StatusCode::OK, &json!({"ran": ran}));
    }
    let call = path.strip_prefix("/calls/");
    match call {
        Some(call) if request.method() == Method::POST => run_call(state, call, request).await,
        _ => error_response(StatusCode::NOT_FOUND, "no such path"),
    }
}

async fn run_call(
    state: Arc<Mutex<ServiceState>>,
    call: &str,
    request: Request<Incoming>,
) -> ResponseResult {
    let ran_call = RanCall {
        call: call.to_owned(),
        key: header_text(&request, "idempotency-key"),
        request_id: header_text(&request, "x-request-id"),
    };
    if let Err(reason) = read_json::<Value>(request.into_body()).await {
        return error_response(StatusCode::BAD_REQUEST, &reason);
    }
    // The call runs to completion even after its client disconnects.
    let run = tokio::spawn(async move {
        let delay = state.lock().delay;
        tokio::time::sleep(delay).await;
        finish_call(&mut state.lock(), ran_call)
    });
    run.await.unwrap_or(Err(ConnectionDropped))
}

fn finish_call(state: &mut ServiceState, ran_call: RanCall) -> ResponseResult {
    if state.refusing {
        return error_response(StatusCode::UNPROCESSABLE_ENTITY, "the call is refused");
    }
    let call = ran_call.call.clone();
    state.ran.push(ran_call);
    if 0 < state.drop_next {
        state.drop_next -= 1;
        return Err(ConnectionDropped);
    }
    let number = state.ran.len();
    json_response(
        StatusCode::OK,
        &json!({"ok": true, "call": call, "number": number}),
    )
}
