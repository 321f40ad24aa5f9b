//! The configuration stream of the log service.

use serde_json::Value;

use crate::prelude::*;

use super::log_service::{AppendFailure, LogClient, LogPage, LogRecord};

/// The stream of the configuration.
pub const CONFIG_STREAM: &str = "config";
/// The offset that the log service gives to the first record of a stream.
const FIRST_OFFSET: u64 = 1;

/// The configuration stream; its offsets count from 0, as the fold counts them.
#[derive(Clone, Debug)]
pub struct ConfigLog {
    client: LogClient,
}

impl ConfigLog {
    /// Makes an adapter over the log service.
    pub fn new(client: LogClient) -> Self {
        Self { client }
    }

    /// Appends a record.
    ///
    /// # Errors
    /// Says whether the record may have been written.
    pub async fn append(&self, record: &Value) -> Result<(), AppendFailure> {
        let appended = self
            .client
            .append(CONFIG_STREAM, std::slice::from_ref(record))
            .await;
        appended.map(|_| ())
    }

    /// Reads at most `max` records from `from` on, waiting up to `wait` for one.
    ///
    /// # Errors
    /// The log service did not answer with records.
    pub async fn read(&self, from: LogOffset, max: usize, wait: Duration) -> Result<LogPage> {
        let from = LogOffset(from.0 + FIRST_OFFSET);
        let page = self.client.read(CONFIG_STREAM, from, max, wait).await?;
        let counted = |offset: LogOffset| LogOffset(offset.0.saturating_sub(FIRST_OFFSET));
        let records = page.records.into_iter().map(|record| LogRecord {
            offset: counted(record.offset),
            ..record
        });
        let records = records.collect();
        Ok(LogPage {
            records,
            tail: counted(page.tail),
            oldest: counted(page.oldest),
        })
    }
}
