//! HTTP requests with JSON bodies and deadlines.

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use quick_error::quick_error;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::prelude::*;

/// The longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// The time between two keep-alive probes of an HTTP/2 connection.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// The longest time for the answer to a keep-alive probe.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(3);

quick_error! {
    /// Why an HTTP request has no usable answer.
    #[derive(Debug, Clone)]
    pub enum HttpFailure {
        /// No connection was made, so the other side has seen nothing.
        NotSent(reason: String) {
            display("not sent: {}", reason)
        }
        /// The connection was lost or the deadline passed; the other side may have acted.
        Lost(reason: String) {
            display("answer lost: {}", reason)
        }
        /// The other side answered with an error status.
        Status(status: StatusCode, body: Bytes) {
            display("status {}: {}", status, String::from_utf8_lossy(body))
        }
        /// The answer is not of the expected form.
        Decode(reason: String) {
            display("unexpected answer: {}", reason)
        }
    }
}

impl HttpFailure {
    /// Returns whether the other side answered and said no.
    pub fn is_refusal(&self) -> bool {
        matches!(self, Self::Status(status, _) if status.is_client_error())
    }
}

/// A pooled HTTP client.
#[derive(Clone, Debug)]
pub struct HttpClient {
    inner: Client<HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    /// Makes a client that speaks HTTP/1.1.
    pub fn http1() -> Self {
        let inner = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .retry_canceled_requests(false)
            .build(connector());
        Self { inner }
    }

    /// Makes a client that speaks HTTP/2 without TLS, one connection for each address.
    pub fn http2() -> Self {
        let inner = Client::builder(TokioExecutor::new())
            .timer(TokioTimer::new())
            .http2_only(true)
            .http2_keep_alive_interval(KEEP_ALIVE_INTERVAL)
            .http2_keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
            .http2_adaptive_window(true)
            .retry_canceled_requests(false)
            .build(connector());
        Self { inner }
    }

    /// Sends `request` and returns the head of a successful answer within `timeout`.
    ///
    /// # Errors
    /// `NotSent` when no connection was made, `Lost` when it broke or the timeout passed,
    /// `Status` for an answer outside 2xx.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Response<Incoming>, HttpFailure> {
        let answer = tokio::time::timeout(timeout, self.inner.request(request)).await;
        let response = match answer {
            Err(_) => return Err(HttpFailure::Lost(format!("no answer within {timeout:?}"))),
            Ok(Err(err)) if err.is_connect() => return Err(HttpFailure::NotSent(describe(&err))),
            Ok(Err(err)) => return Err(HttpFailure::Lost(describe(&err))),
            Ok(Ok(response)) => response,
        };
        let status = response.status();
        if status.is_success() {
            return Ok(response);
        }
        let body = tokio::time::timeout(timeout, response.into_body().collect()).await;
        let body = body
            .ok()
            .and_then(Result::ok)
            .map(|body| body.to_bytes())
            .unwrap_or_default();
        Err(HttpFailure::Status(status, body))
    }

    /// Sends `request` and decodes the whole answer as JSON within `timeout`.
    ///
    /// # Errors
    /// As [`HttpClient::send`], and `Decode` for another form of answer.
    pub async fn json<T: DeserializeOwned>(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<T, HttpFailure> {
        let response = self.send(request, timeout).await?;
        let body = tokio::time::timeout(timeout, response.into_body().collect())
            .await
            .map_err(|_| HttpFailure::Lost(format!("no whole answer within {timeout:?}")))?
            .map_err(|err| HttpFailure::Lost(err.to_string()))?;
        serde_json::from_slice(&body.to_bytes()).map_err(|err| HttpFailure::Decode(err.to_string()))
    }

    /// Gets `url` as JSON.
    ///
    /// # Errors
    /// As [`HttpClient::json`].
    pub async fn get<T: DeserializeOwned>(
        &self,
        url: &str,
        timeout: Duration,
    ) -> Result<T, HttpFailure> {
        let request = Request::get(url)
            .body(Full::default())
            .map_err(bad_request)?;
        self.json(request, timeout).await
    }

    /// Posts `body` as JSON to `url` and decodes the answer.
    ///
    /// # Errors
    /// As [`HttpClient::json`].
    pub async fn post<T: DeserializeOwned>(
        &self,
        url: &str,
        body: &impl Serialize,
        timeout: Duration,
    ) -> Result<T, HttpFailure> {
        self.json(json_request(url, body)?, timeout).await
    }
}

/// Makes a POST request with a JSON body.
///
/// # Errors
/// `Decode` when the URL or the body cannot be encoded.
pub fn json_request(url: &str, body: &impl Serialize) -> Result<Request<Full<Bytes>>, HttpFailure> {
    let bytes = serde_json::to_vec(body).map_err(bad_request)?;
    Request::builder()
        .method(Method::POST)
        .uri(url)
        .header(CONTENT_TYPE, "application/json")
        .body(Full::from(bytes))
        .map_err(bad_request)
}

/// Names what keeps a request from being made.
pub(super) fn bad_request(err: impl std::fmt::Display) -> HttpFailure {
    HttpFailure::Decode(format!("the request cannot be made: {err}"))
}

fn connector() -> HttpConnector {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    connector.set_nodelay(true);
    connector
}

fn describe(err: &hyper_util::client::legacy::Error) -> String {
    match std::error::Error::source(err) {
        Some(source) => format!("{err}: {source}"),
        None => err.to_string(),
    }
}
