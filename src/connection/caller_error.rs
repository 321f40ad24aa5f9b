//! Error responses in the format of the OpenAI API.

use http::header::RETRY_AFTER;
use http::{HeaderValue, Response, StatusCode};
use serde::Serialize;

use crate::prelude::*;

use super::reply::{ResponseBody, json_reply};

/// The response header that carries the outcome of a request.
pub const OUTCOME_HEADER: &str = "x-comfreyhead-outcome";

/// A refusal or an error as reported to a caller.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerError {
    /// The HTTP status.
    pub status: StatusCode,
    /// The outcome of the request, as far as it is known.
    pub outcome: RequestOutcome,
    /// A machine-readable error code.
    pub code: &'static str,
    /// A human-readable message.
    pub message: String,
    /// The delay after which the caller may retry.
    pub retry_after: Option<Duration>,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

#[derive(Serialize)]
struct ErrorDetail<'a> {
    message: &'a str,
    r#type: &'static str,
    param: Option<()>,
    code: &'a str,
    outcome: RequestOutcome,
    retry_after_ms: Option<u64>,
}

impl CallerError {
    /// Creates an error for a request that was refused before any work started.
    pub fn not_run(status: StatusCode, code: &'static str, message: impl Into<String>) -> Self {
        let message = message.into();
        Self {
            status,
            outcome: RequestOutcome::NotRun,
            code,
            message,
            retry_after: None,
        }
    }

    /// Creates an error for a request that may have run.
    pub fn unknown(code: &'static str, message: impl Into<String>) -> Self {
        let outcome = RequestOutcome::Unknown;
        let status = StatusCode::BAD_GATEWAY;
        Self {
            status,
            outcome,
            code,
            message: message.into(),
            retry_after: None,
        }
    }

    /// Creates an error for a request that ran and failed.
    pub fn failed(status: StatusCode, message: impl Into<String>) -> Self {
        let outcome = RequestOutcome::Failed;
        Self {
            status,
            outcome,
            code: "target_refused",
            message: message.into(),
            retry_after: None,
        }
    }

    /// Sets the delay after which the caller may retry.
    pub fn with_retry_after(mut self, wait: Option<Duration>) -> Self {
        self.retry_after = wait;
        self
    }

    /// Renders the error as JSON.
    pub fn to_json(&self) -> String {
        serde_json::to_string(&self.body()).unwrap_or_default()
    }

    /// Renders the error as an HTTP response.
    pub fn to_reply(&self) -> Response<ResponseBody> {
        let mut response = json_reply(self.status, &self.body());
        let headers = response.headers_mut();
        headers.insert(OUTCOME_HEADER, outcome_value(self.outcome));
        if let Some(wait) = self.retry_after {
            headers.insert(RETRY_AFTER, HeaderValue::from(ceil_seconds(wait)));
        }
        response
    }

    fn body(&self) -> ErrorBody<'_> {
        let error = ErrorDetail {
            message: &self.message,
            r#type: error_type(self.status),
            param: None,
            code: self.code,
            outcome: self.outcome,
            retry_after_ms: self.retry_after.map(|wait| wait.as_millis() as u64),
        };
        ErrorBody { error }
    }
}

/// Returns the outcome as a header value.
pub fn outcome_value(outcome: RequestOutcome) -> HeaderValue {
    HeaderValue::from_static(match outcome {
        RequestOutcome::Answered => "answered",
        RequestOutcome::Failed => "failed",
        RequestOutcome::NotRun => "not-run",
        RequestOutcome::Unknown => "unknown",
    })
}

fn error_type(status: StatusCode) -> &'static str {
    match status {
        StatusCode::UNAUTHORIZED => "authentication_error",
        StatusCode::TOO_MANY_REQUESTS => "rate_limit_error",
        status if status.is_client_error() => "invalid_request_error",
        _ => "server_error",
    }
}

/// Rounds up, because a caller that retries early is refused again.
fn ceil_seconds(wait: Duration) -> u64 {
    wait.as_millis().div_ceil(1_000) as u64
}
