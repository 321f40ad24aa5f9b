//! The HTTP server that all stand-ins share.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode, header};
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpStream, ToSocketAddrs};
use tokio::sync::watch;

/// The body of a response.
pub(crate) type ResponseBody = BoxBody<Bytes, Infallible>;

/// A response, or an error that drops the connection without a response.
pub(crate) type ResponseResult = Result<Response<ResponseBody>, ConnectionDropped>;

/// An error that drops the connection without a response.
#[derive(Debug)]
pub(crate) struct ConnectionDropped;

impl std::fmt::Display for ConnectionDropped {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the connection is dropped without a response")
    }
}

impl std::error::Error for ConnectionDropped {}

/// Drops open connections, and new ones while the server is unavailable.
#[derive(Debug)]
pub(crate) struct ServerControl {
    away: AtomicBool,
    accepting: watch::Sender<bool>,
    /// Each change ends the connections opened before it.
    generation: watch::Sender<u64>,
}

impl Default for ServerControl {
    fn default() -> Self {
        Self {
            away: AtomicBool::new(false),
            accepting: watch::Sender::new(true),
            generation: watch::Sender::new(0),
        }
    }
}

impl ServerControl {
    /// Drops every open connection.
    pub(crate) fn drop_connections(&self) {
        self.generation.send_modify(|generation| *generation += 1);
    }

    /// Sets whether new connections are accepted, or wait at the system.
    pub(crate) fn set_accepting(&self, accepting: bool) {
        self.accepting.send_replace(accepting);
    }

    /// Sets whether new connections are dropped immediately.
    pub(crate) fn set_away(&self, away: bool) {
        self.away.store(away, Ordering::SeqCst);
    }
}

/// A running server; it stops when dropped.
#[derive(Debug)]
pub(crate) struct ServerHandle {
    address: SocketAddr,
    control: Arc<ServerControl>,
    accept_task: tokio::task::JoinHandle<()>,
}

impl ServerHandle {
    /// Returns the address that the server listens on.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for ServerHandle {
    fn drop(&mut self) {
        self.accept_task.abort();
        self.control.drop_connections();
    }
}

/// Listens on `address` and passes each request to `handler`.
pub(crate) async fn start_server<H, F>(
    address: impl ToSocketAddrs,
    control: Arc<ServerControl>,
    handler: H,
) -> io::Result<ServerHandle>
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = ResponseResult> + Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let accept_task = tokio::spawn(accept_connections(listener, Arc::clone(&control), handler));
    Ok(ServerHandle {
        address,
        control,
        accept_task,
    })
}

async fn accept_connections<H, F>(listener: TcpListener, control: Arc<ServerControl>, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = ResponseResult> + Send + 'static,
{
    let mut accepting = control.accepting.subscribe();
    loop {
        if accepting.wait_for(|accepting| *accepting).await.is_err() {
            return;
        }
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        if control.away.load(Ordering::SeqCst) {
            continue;
        }
        let generation = control.generation.subscribe();
        tokio::spawn(serve_connection(stream, generation, handler.clone()));
    }
}

async fn serve_connection<H, F>(stream: TcpStream, mut generation: watch::Receiver<u64>, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = ResponseResult> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let builder = auto::Builder::new(TokioExecutor::new());
    let connection = builder.serve_connection(TokioIo::new(stream), service_fn(handler));
    tokio::select! {
        _ = connection => {}
        _ = generation.changed() => {}
    }
}

/// Returns a response with a JSON body.
pub(crate) fn json_response(status: StatusCode, value: &impl Serialize) -> ResponseResult {
    let bytes = serde_json::to_vec(value).expect("a response serializes to JSON");
    let mut response = Response::new(full_body(bytes));
    *response.status_mut() = status;
    let json = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    Ok(response)
}

/// Returns an error response in the format of the OpenAI API.
pub(crate) fn error_response(status: StatusCode, message: &str) -> ResponseResult {
    let error = serde_json::json!({"error": {"message": message, "type": "stand_in"}});
    json_response(status, &error)
}

/// Returns the 429 response to a request over the rate limit.
pub(crate) fn rate_limited_response() -> ResponseResult {
    let mut response = error_response(StatusCode::TOO_MANY_REQUESTS, "over the rate limit")?;
    let seconds = header::HeaderValue::from_static("1");
    response.headers_mut().insert(header::RETRY_AFTER, seconds);
    Ok(response)
}

/// Returns a response body with all `bytes`.
pub(crate) fn full_body(bytes: impl Into<Bytes>) -> ResponseBody {
    Full::new(bytes.into()).boxed()
}

/// Reads and parses a JSON request body.
pub(crate) async fn read_json<T: DeserializeOwned>(body: Incoming) -> Result<T, String> {
    let bytes = body
        .collect()
        .await
        .map_err(|err| err.to_string())?
        .to_bytes();
    serde_json::from_slice(&bytes).map_err(|err| err.to_string())
}

/// Returns a numeric query parameter, or `default` when it is missing or invalid.
pub(crate) fn query_number(request: &Request<Incoming>, name: &str, default: u64) -> u64 {
    request
        .uri()
        .query()
        .unwrap_or_default()
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
        .unwrap_or(default)
}

/// Returns a header value, or `None` when it is missing or not visible ASCII.
pub(crate) fn header_text(request: &Request<Incoming>, name: &str) -> Option<String> {
    let value = request.headers().get(name)?;
    value.to_str().ok().map(str::to_owned)
}

/// Returns the milliseconds since the Unix epoch.
pub(crate) fn now_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}
