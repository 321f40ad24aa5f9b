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
pub(crate) type AnswerBody = BoxBody<Bytes, Infallible>;

/// A response, or a connection that is dropped without one.
pub(crate) type AnswerResult = Result<Response<AnswerBody>, DroppedAnswer>;

/// Drops the connection without an answer.
#[derive(Debug)]
pub(crate) struct DroppedAnswer;

impl std::fmt::Display for DroppedAnswer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the answer is dropped")
    }
}

impl std::error::Error for DroppedAnswer {}

/// Drops all connections, and any new one while the server is away.
#[derive(Debug)]
pub(crate) struct ServerControl {
    away: AtomicBool,
    generation: watch::Sender<u64>,
}

impl Default for ServerControl {
    fn default() -> Self {
        Self {
            away: AtomicBool::new(false),
            generation: watch::Sender::new(0),
        }
    }
}

impl ServerControl {
    /// Drops every open connection.
    pub(crate) fn drop_connections(&self) {
        self.generation.send_modify(|generation| *generation += 1);
    }

    /// Sets whether new connections are dropped at once.
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

/// Listens on `address` and answers each request by `handler`.
pub(crate) async fn start_server<H, F>(
    address: impl ToSocketAddrs,
    control: Arc<ServerControl>,
    handler: H,
) -> io::Result<ServerHandle>
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = AnswerResult> + Send + 'static,
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
    F: Future<Output = AnswerResult> + Send + 'static,
{
    loop {
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
    F: Future<Output = AnswerResult> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let builder = auto::Builder::new(TokioExecutor::new());
    let connection = builder.serve_connection(TokioIo::new(stream), service_fn(handler));
    tokio::select! {
        _ = connection => {}
        _ = generation.changed() => {}
    }
}

/// Answers with a JSON value.
pub(crate) fn json_answer(status: StatusCode, value: &impl Serialize) -> AnswerResult {
    let bytes = serde_json::to_vec(value).expect("a stand-in's answer is valid JSON");
    let mut response = Response::new(full_body(bytes));
    *response.status_mut() = status;
    let json = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    Ok(response)
}

/// Answers with an error in the shape of the OpenAI API.
pub(crate) fn error_answer(status: StatusCode, message: &str) -> AnswerResult {
    let error = serde_json::json!({"error": {"message": message, "type": "stand_in"}});
    json_answer(status, &error)
}

/// Refuses a request that is over a rate limit.
pub(crate) fn limited_answer() -> AnswerResult {
    let mut response = error_answer(StatusCode::TOO_MANY_REQUESTS, "over the rate limit")?;
    let seconds = header::HeaderValue::from_static("1");
    response.headers_mut().insert(header::RETRY_AFTER, seconds);
    Ok(response)
}

/// Wraps bytes as a body.
pub(crate) fn full_body(bytes: impl Into<Bytes>) -> AnswerBody {
    Full::new(bytes.into()).boxed()
}

/// Reads a whole JSON body.
pub(crate) async fn read_json<T: DeserializeOwned>(body: Incoming) -> Result<T, String> {
    let bytes = body
        .collect()
        .await
        .map_err(|err| err.to_string())?
        .to_bytes();
    serde_json::from_slice(&bytes).map_err(|err| err.to_string())
}

/// Returns the value of a query parameter, or a default.
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

/// Returns the value of a header.
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
