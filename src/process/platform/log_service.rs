//! The platform's append-only log service.

use http::StatusCode;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::prelude::*;

use super::http_client::{HttpClient, HttpFailure};

/// The longest time for one append.
const APPEND_TIMEOUT: Duration = Duration::from_secs(3);
/// The longest time for one read, beside the time it may wait for records.
const READ_TIMEOUT: Duration = Duration::from_secs(3);

/// A record of a stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Its place in the stream, from 1.
    pub offset: LogOffset,
    /// When the log service took it, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The content.
    pub value: Value,
}

/// A run of records of a stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LogPage {
    /// The records, in the order of their offsets.
    pub records: Vec<LogRecord>,
    /// The offset that the next record will get.
    pub tail: LogOffset,
    /// The oldest offset that is still kept.
    pub oldest: LogOffset,
}

quick_error! {
    /// Why an append has no offset.
    #[derive(Debug, Clone)]
    pub enum AppendFailure {
        /// The log service has not written the records and will not.
        NotWritten(reason: String) {
            display("not written: {}", reason)
        }
        /// The log service was not reached, so nothing was written.
        Unreachable(reason: String) {
            display("not reached: {}", reason)
        }
        /// The records may stand in the stream.
        Unknown(reason: String) {
            display("not known whether written: {}", reason)
        }
    }
}

/// A client of the log service.
#[derive(Clone, Debug)]
pub struct LogClient {
    client: HttpClient,
    base_url: Arc<str>,
}

#[derive(Serialize)]
struct AppendBody<'a> {
    records: &'a [Value],
}

#[derive(Deserialize)]
struct AppendAnswer {
    first_offset: LogOffset,
}

impl LogClient {
    /// Makes a client of the log service at `base_url`.
    pub fn new(base_url: &str) -> Self {
        Self {
            client: HttpClient::http1(),
            base_url: Arc::from(base_url.trim_end_matches('/')),
        }
    }

    /// Appends `records` to `stream` in one batch and returns the offset of the first.
    ///
    /// # Errors
    /// Says whether the records may have been written.
    pub async fn append(
        &self,
        stream: &str,
        records: &[Value],
    ) -> Result<LogOffset, AppendFailure> {
        let url = format!("{}/v1/streams/{stream}/records", self.base_url);
        let answer = self
            .client
            .post(&url, &AppendBody { records }, APPEND_TIMEOUT)
            .await;
        match answer {
            Ok(AppendAnswer { first_offset }) => Ok(first_offset),
            Err(err @ HttpFailure::NotSent(_)) => Err(AppendFailure::Unreachable(err.to_string())),
            Err(HttpFailure::Status(status, _)) if is_refusal(status) => Err(
                AppendFailure::NotWritten(format!("the log service answered {status}")),
            ),
            Err(err) => Err(AppendFailure::Unknown(err.to_string())),
        }
    }

    /// Reads at most `max` records of `stream` from `from` on, waiting up to `wait` for one.
    ///
    /// # Errors
    /// The log service did not answer with records.
    pub async fn read(
        &self,
        stream: &str,
        from: LogOffset,
        max: usize,
        wait: Duration,
    ) -> Result<LogPage> {
        let url = format!(
            "{}/v1/streams/{stream}/records?from={from}&max={max}&wait_ms={}",
            self.base_url,
            wait.as_millis()
        );
        let page = self.client.get(&url, READ_TIMEOUT + wait).await;
        page.map_err(|err| Error::Platform(format!("log service, read of {stream}: {err}")))
    }
}

/// Whether the status says that nothing was written.
fn is_refusal(status: StatusCode) -> bool {
    status == StatusCode::SERVICE_UNAVAILABLE
        || status == StatusCode::TOO_MANY_REQUESTS
        || status == StatusCode::BAD_REQUEST
}
