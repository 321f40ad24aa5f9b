//! An HTTP client for JSON bodies, with timeouts.

use std::io::ErrorKind;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use quick_error::quick_error;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::connection::{BodyError, read_body};
use crate::prelude::*;

/// The timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long an idle connection stays in the pool.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// The interval between keep-alive pings on an HTTP/2 connection.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// The timeout for the acknowledgement of a keep-alive ping.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(3);
/// The maximum size of the head of an HTTP/1 response, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// The maximum size of the body of a response outside 2xx, in bytes.
const MAX_ERROR_BYTES: usize = 64 << 10;

quick_error! {
    /// Why an HTTP request has no usable response.
    #[derive(Debug, Clone)]
    pub enum HttpFailure {
        /// No connection was established, so the server has not received the request.
        NotSent(reason: String) {
            display("not sent: {}", reason)
        }
        /// The server's machine refused the connection, so nothing listens there.
        NotListening(reason: String) {
            display("not sent: {}", reason)
        }
        /// The connection was lost or the timeout passed; the server may have processed the request.
        Lost(reason: String) {
            display("answer lost: {}", reason)
        }
        /// The server responded with a status outside 2xx.
        Status(status: StatusCode, body: Bytes) {
            display("status {}: {}", status, String::from_utf8_lossy(body))
        }
        /// The response has more bytes than its limit; the server may have processed the request.
        TooLong(limit: usize) {
            display("the answer is longer than {} bytes", limit)
        }
        /// The request cannot be encoded or the response cannot be decoded.
        Decode(reason: String) {
            display("unexpected answer: {}", reason)
        }
    }
}

impl HttpFailure {
    /// Returns whether the server rejected the request with a 4xx status.
    pub fn is_refusal(&self) -> bool {
        matches!(self, Self::Status(status, _) if status.is_client_error())
    }
}

/// How much of a response is read, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerLimit {
    /// The timeout for the head of the response, and again for its body.
    pub time: Duration,
    /// The maximum size of the body, in bytes.
    pub bytes: usize,
}

/// A pooled HTTP client.
#[derive(Clone, Debug)]
pub struct HttpClient {
    inner: Client<HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    /// Creates a client that speaks HTTP/1.1.
    pub fn http1() -> Self {
        let inner = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .http1_max_buf_size(MAX_HEAD_BYTES)
            .retry_canceled_requests(false)
            .build(connector());
        Self { inner }
    }

    /// Creates a client that speaks HTTP/2 without TLS over one connection per address.
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

    /// Sends `request` and returns a successful response once its head has arrived.
    ///
    /// `timeout` applies to the head, and again to the body of a response outside 2xx.
    ///
    /// # Errors
    /// `NotListening` or `NotSent` if no connection was established, `Lost` if it broke or the timeout passed,
    /// `Status` for a response outside 2xx.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Response<Incoming>, HttpFailure> {
        let result = tokio::time::timeout(timeout, self.inner.request(request)).await;
        let response = match result {
            Err(_) => return Err(HttpFailure::Lost(format!("no answer within {timeout:?}"))),
            Ok(Err(err)) if err.is_connect() && is_refused(&err) => {
                return Err(HttpFailure::NotListening(describe(&err)));
            }
            Ok(Err(err)) if err.is_connect() => return Err(HttpFailure::NotSent(describe(&err))),
            Ok(Err(err)) => return Err(HttpFailure::Lost(describe(&err))),
            Ok(Ok(response)) => response,
        };
        let status = response.status();
        if status.is_success() {
            return Ok(response);
        }
        let body = read_body(response.into_body(), MAX_ERROR_BYTES);
        let body = match tokio::time::timeout(timeout, body).await {
            Ok(Ok(body)) => body,
            Ok(Err(err)) => Bytes::from(err.to_string()),
            Err(_) => Bytes::default(),
        };
        Err(HttpFailure::Status(status, body))
    }

    /// Sends `request` and decodes the response body as JSON.
    ///
    /// # Errors
    /// As [`HttpClient::send`], `TooLong` if the body exceeds its limit, and `Decode` if it is not
    /// a JSON value of type `T`.
    pub async fn json<T: DeserializeOwned>(
        &self,
        request: Request<Full<Bytes>>,
        limit: AnswerLimit,
    ) -> Result<T, HttpFailure> {
        let AnswerLimit { time, bytes } = limit;
        let response = self.send(request, time).await?;
        let body = tokio::time::timeout(time, read_body(response.into_body(), bytes))
            .await
            .map_err(|_| HttpFailure::Lost(format!("no whole answer within {time:?}")))?
            .map_err(|err| match err {
                BodyError::TooLarge(limit) => HttpFailure::TooLong(limit),
                BodyError::CutShort(reason) => HttpFailure::Lost(reason),
            })?;
        serde_json::from_slice(&body).map_err(|err| HttpFailure::Decode(err.to_string()))
    }

    /// Sends a GET request to `url` and decodes the response body as JSON.
    ///
    /// # Errors
    /// As [`HttpClient::json`].
    pub async fn get<T: DeserializeOwned>(
        &self,
        url: &str,
        limit: AnswerLimit,
    ) -> Result<T, HttpFailure> {
        let request = Request::get(url)
            .body(Full::default())
            .map_err(bad_request)?;
        self.json(request, limit).await
    }

    /// Sends `body` as JSON in a POST request to `url` and decodes the response body as JSON.
    ///
    /// # Errors
    /// As [`HttpClient::json`].
    pub async fn post<T: DeserializeOwned>(
        &self,
        url: &str,
        body: &impl Serialize,
        limit: AnswerLimit,
    ) -> Result<T, HttpFailure> {
        self.json(json_request(url, body)?, limit).await
    }
}

/// Builds a POST request with a JSON body.
///
/// # Errors
/// `Decode` if the URL is invalid or the body cannot be encoded.
pub fn json_request(url: &str, body: &impl Serialize) -> Result<Request<Full<Bytes>>, HttpFailure> {
    let bytes = serde_json::to_vec(body).map_err(bad_request)?;
    Request::builder()
        .method(Method::POST)
        .uri(url)
        .header(CONTENT_TYPE, "application/json")
        .body(Full::from(bytes))
        .map_err(bad_request)
}

/// Converts an error in building a request.
pub(super) fn bad_request(err: impl std::fmt::Display) -> HttpFailure {
    HttpFailure::Decode(format!("the request cannot be made: {err}"))
}

fn connector() -> HttpConnector {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    connector.set_nodelay(true);
    connector
}

fn is_refused(err: &hyper_util::client::legacy::Error) -> bool {
    let mut source = std::error::Error::source(err);
    while let Some(err) = source {
        let io_err = err.downcast_ref::<std::io::Error>();
        if io_err.is_some_and(|err| err.kind() == ErrorKind::ConnectionRefused) {
            return true;
        }
        source = err.source();
    }
    false
}

fn describe(err: &hyper_util::client::legacy::Error) -> String {
    match std::error::Error::source(err) {
        Some(source) => format!("{err}: {source}"),
        None => err.to_string(),
    }
}
