//! A client of the platform's append-only log service.

use http::StatusCode;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::connection::MAX_CONTROL_BYTES;
use crate::prelude::*;

use super::http_client::{AnswerLimit, HttpClient, HttpFailure};

/// The limit of the answer to one append, an offset.
const APPEND_LIMIT: AnswerLimit = AnswerLimit {
    time: Duration::from_secs(3),
    bytes: 64 << 10,
};
/// The timeout for one read, added to the time that the read may wait for records.
const READ_TIMEOUT: Duration = Duration::from_secs(3);
/// The maximum size of one page, in bytes; a record as long as a control message fits.
const MAX_PAGE_BYTES: usize = MAX_CONTROL_BYTES as usize;

/// A record of a stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LogRecord {
    /// The offset in the stream: from 1 in the log service, from 0 in `ConfigLog`.
    pub offset: LogOffset,
    /// When the log service wrote the record, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The content.
    pub value: Value,
}

/// Consecutive records of a stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LogPage {
    /// The records in ascending order of offset.
    pub records: Vec<LogRecord>,
    /// The offset of the next record to be appended.
    pub tail: LogOffset,
    /// The lowest offset that is still stored.
    pub oldest: LogOffset,
}

quick_error! {
    /// Why an append returned no offset.
    #[derive(Debug, Clone)]
    pub enum AppendFailure {
        /// The log service rejected the append and wrote nothing.
        NotWritten(reason: String) {
            display("not written: {}", reason)
        }
        /// No connection to the log service was established, so nothing was written.
        Unreachable(reason: String) {
            display("not reached: {}", reason)
        }
        /// The records may have been written.
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
struct AppendResponse {
    first_offset: LogOffset,
}

impl LogClient {
    /// Creates a client of the log service at `base_url`.
    pub fn new(base_url: &str) -> Self {
        Self {
            client: HttpClient::http1(),
            base_url: Arc::from(base_url.trim_end_matches('/')),
        }
    }

    /// Appends `records` to `stream` as one batch and returns the offset of the first record.
    ///
    /// # Errors
    /// The variant tells whether the records may have been written.
    pub async fn append(
        &self,
        stream: &str,
        records: &[Value],
    ) -> Result<LogOffset, AppendFailure> {
        let url = format!("{}/v1/streams/{stream}/records", self.base_url);
        let result = self
            .client
            .post(&url, &AppendBody { records }, APPEND_LIMIT)
            .await;
        match result {
            Ok(AppendResponse { first_offset }) => Ok(first_offset),
            Err(err @ (HttpFailure::NotSent(_) | HttpFailure::NotListening(_))) => {
                Err(AppendFailure::Unreachable(err.to_string()))
            }
            Err(HttpFailure::Status(status, _)) if is_rejection(status) => Err(
                AppendFailure::NotWritten(format!("the log service answered {status}")),
            ),
            Err(err) => Err(AppendFailure::Unknown(err.to_string())),
        }
    }

    /// Reads up to `max` records of `stream` starting at `from`, waiting up to `wait` for the
    /// first one. Reads fewer where they would be too long for one page.
    ///
    /// # Errors
    /// The log service did not respond, or not with a page of records.
    pub async fn read(
        &self,
        stream: &str,
        from: LogOffset,
        max: usize,
        wait: Duration,
    ) -> Result<LogPage> {
        let limit = AnswerLimit {
            time: READ_TIMEOUT + wait,
            bytes: MAX_PAGE_BYTES,
        };
        let mut max = max;
        let page = loop {
            let url = format!(
                "{}/v1/streams/{stream}/records?from={from}&max={max}&wait_ms={}",
                self.base_url,
                wait.as_millis()
            );
            match self.client.get(&url, limit).await {
                Err(HttpFailure::TooLong(_)) if 1 < max => max /= 2,
                page => break page,
            }
        };
        page.map_err(|err| Error::Platform(format!("log service, read of {stream}: {err}")))
    }
}

/// Returns whether the status guarantees that nothing was written.
fn is_rejection(status: StatusCode) -> bool {
    status == StatusCode::SERVICE_UNAVAILABLE
        || status == StatusCode::TOO_MANY_REQUESTS
        || status == StatusCode::BAD_REQUEST
}
