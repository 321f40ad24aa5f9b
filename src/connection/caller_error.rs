//! Refusals and errors in the shape of the OpenAI-style API.

use http::header::RETRY_AFTER;
use http::{HeaderValue, Response, StatusCode};
use serde::Serialize;

use crate::prelude::*;

use super::reply::{ResponseBody, json_reply};

/// The header that names the outcome of a request.
pub const OUTCOME_HEADER: &str = "x-comfreyhead-outcome";

/// A refusal or an error, as a caller sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerError {
    /// The HTTP status.
    pub status: StatusCode,
    /// What is known of the request.
    pub outcome: RequestOutcome,
    /// A word for programs.
    pub code: &'static str,
    /// A sentence for people.
    pub message: String,
    /// When to come back.
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
    /// Makes an error for a request that was refused before anything ran.
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

    /// Makes an error for a request that may have run.
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

    /// Makes an error for a request that ran and failed.
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

    /// Tells the caller when to come back.
    pub fn with_retry_after(mut self, wait: Option<Duration>) -> Self {
        self.retry_after = wait;
        self
    }

    /// Renders the error as JSON.
    pub fn to_json(&self) -> String {
        serde_json::to_string(&self.body()).unwrap_or_default()
    }

    /// Renders the error as a reply.
    pub fn to_reply(&self) -> Response<ResponseBody> {
        let mut response = json_reply(self.status, &self.body());
        let headers = response.headers_mut();
        headers.insert(OUTCOME_HEADER, outcome_value(self.outcome));
        if let Some(wait) = self.retry_after {
            headers.insert(RETRY_AFTER, HeaderValue::from(whole_seconds(wait)));
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

/// Rounds up, since a caller that comes back early is refused again.
fn whole_seconds(wait: Duration) -> u64 {
    wait.as_millis().div_ceil(1_000) as u64
}
