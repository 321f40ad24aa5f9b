//! A client of the configuration stream in the log service.

use serde_json::Value;

use crate::prelude::*;

use super::log_service::{AppendFailure, LogClient, LogPage, LogRecord};

/// The name of the configuration stream.
pub const CONFIG_STREAM: &str = "config";
/// The offset that the log service assigns to the first record of a stream.
const FIRST_OFFSET: u64 = 1;

/// The configuration stream, with offsets that start at 0 as in the configuration fold.
#[derive(Clone, Debug)]
pub struct ConfigLog {
    client: LogClient,
}

impl ConfigLog {
    /// Creates a client of the configuration stream.
    pub fn new(client: LogClient) -> Self {
        Self { client }
    }

    /// Appends a record.
    ///
    /// # Errors
    /// The variant tells whether the record may have been written.
    pub async fn append(&self, record: &Value) -> Result<(), AppendFailure> {
        let appended = self
            .client
            .append(CONFIG_STREAM, std::slice::from_ref(record))
            .await;
        appended.map(|_| ())
    }

    /// Reads up to `max` records starting at `from`, waiting up to `wait` for the first one.
    ///
    /// # Errors
    /// The log service did not respond, or not with a page of records.
    pub async fn read(&self, from: LogOffset, max: usize, wait: Duration) -> Result<LogPage> {
        let from = LogOffset(from.0 + FIRST_OFFSET);
        let page = self.client.read(CONFIG_STREAM, from, max, wait).await?;
        let zero_based = |offset: LogOffset| LogOffset(offset.0.saturating_sub(FIRST_OFFSET));
        let records = page.records.into_iter().map(|record| LogRecord {
            offset: zero_based(record.offset),
            ..record
        });
        let records = records.collect();
        Ok(LogPage {
            records,
            tail: zero_based(page.tail),
            oldest: zero_based(page.oldest),
        })
    }
}
