//! The agent's client of a plain service, a target that is not a model engine.

use http::Request;
use http_body_util::Full;
use quick_error::quick_error;
use serde_json::Value;
use tokio::net::TcpStream;

use crate::prelude::*;

use super::http_client::{AnswerLimit, HttpClient, HttpFailure, json_request};

/// The maximum size of an answer, in bytes; an agent keeps no longer one for its entry VM.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// The timeout for a connection that only tells whether the service is there.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_500);

quick_error! {
    /// Why a call has no result.
    #[derive(Debug, Clone)]
    pub enum CallFailure {
        /// The service has not received the call.
        NotSent(reason: String) {
            display("{}", reason)
        }
        /// The service has not received the call, and nothing listens at its address.
        NotListening(reason: String) {
            display("{}", reason)
        }
        /// The service rejected the call with a 4xx status.
        Refused(status: u16, body: Value) {
            display("the service answered {}: {}", status, body)
        }
        /// The service may have executed the call.
        Unknown(reason: String) {
            display("{}", reason)
        }
    }
}

/// A client of one plain service.
#[derive(Clone, Debug)]
pub struct ServiceClient {
    client: HttpClient,
    base_url: Arc<str>,
}

/// A call to a plain service.
#[derive(Clone, Debug)]
pub struct ServiceCall<'a> {
    /// The name of the call.
    pub call: &'a str,
    /// The request id.
    pub request: RequestId,
    /// The idempotency key; empty if the caller sent none.
    pub key: &'a str,
    /// The request body.
    pub body: &'a Value,
    /// The timeout for the head of the response, and again for its body.
    pub timeout: Duration,
}

impl ServiceClient {
    /// Creates a client of the service at `base_url`.
    pub fn new(base_url: &str) -> Self {
        Self {
            client: HttpClient::http1(),
            base_url: Arc::from(base_url.trim_end_matches('/')),
        }
    }

    /// Executes the call, without retries.
    ///
    /// # Errors
    /// The variant tells whether the service may have executed the call.
    pub async fn run(&self, call: &ServiceCall<'_>) -> Result<Value, CallFailure> {
        let request = self
            .request(call)
            .map_err(|err| CallFailure::NotSent(err.to_string()))?;
        let limit = AnswerLimit {
            time: call.timeout,
            bytes: MAX_ANSWER_BYTES,
        };
        match self.client.json(request, limit).await {
            Ok(body) => Ok(body),
            Err(HttpFailure::NotSent(reason)) => Err(CallFailure::NotSent(reason)),
            Err(HttpFailure::NotListening(reason)) => Err(CallFailure::NotListening(reason)),
            Err(HttpFailure::Status(status, body)) if status.is_client_error() => {
                let text = || Value::String(String::from_utf8_lossy(&body).into_owned());
                let body = serde_json::from_slice(&body).unwrap_or_else(|_| text());
                Err(CallFailure::Refused(status.as_u16(), body))
            }
            Err(err) => Err(CallFailure::Unknown(err.to_string())),
        }
    }

    /// Returns whether the service accepts a connection.
    pub async fn is_reachable(&self) -> bool {
        let address = self.base_url.trim_start_matches("http://");
        let connected = tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await;
        matches!(connected, Ok(Ok(_)))
    }

    fn request(&self, call: &ServiceCall<'_>) -> Result<Request<Full<bytes::Bytes>>, HttpFailure> {
        let url = format!("{}/calls/{}", self.base_url, call.call);
        let mut request = json_request(&url, call.body)?;
        let headers = request.headers_mut();
        headers.insert(
            "x-request-id",
            super::header_value(&call.request.to_string())?,
        );
        if !call.key.is_empty() {
            headers.insert("idempotency-key", super::header_value(call.key)?);
        }
        Ok(request)
    }
}
