//! Executes the log service calls that the order state machines request.

use crate::prelude::*;

use super::orders::{
    AppendFault, LogAction, LogEntry, LogEvent, LogPage, OrderRecord, stream_name,
};
use super::platform::{AppendFailure, LogClient};

/// Executes a log service call of an order state machine and returns its result as an event.
pub async fn run_log_action(log: &LogClient, action: LogAction) -> LogEvent {
    match action {
        LogAction::Append {
            batch,
            shard,
            records,
        } => {
            let values: Vec<_> = records.iter().map(OrderRecord::to_value).collect();
            match log.append(&stream_name(shard), &values).await {
                Ok(first) => LogEvent::Appended { batch, first },
                Err(AppendFailure::NotWritten(_)) => LogEvent::AppendFailed {
                    batch,
                    fault: AppendFault::Refused,
                },
                Err(AppendFailure::Unreachable(_)) => LogEvent::AppendFailed {
                    batch,
                    fault: AppendFault::Unreachable,
                },
                Err(AppendFailure::Unknown(_)) => LogEvent::AppendFailed {
                    batch,
                    fault: AppendFault::Unknown,
                },
            }
        }
        LogAction::Read {
            read,
            shard,
            from,
            max,
            wait,
        } => match log.read(&stream_name(shard), from, max, wait).await {
            Ok(page) => LogEvent::ReadDone {
                read,
                page: order_page(page),
            },
            Err(_) => LogEvent::ReadFailed { read },
        },
    }
}

/// Converts a page of the log service into the type of the order state machines.
pub fn order_page(page: super::platform::LogPage) -> LogPage {
    let records = page.records.into_iter().map(|record| LogEntry {
        offset: record.offset,
        at: Timestamp::from_millis(record.at_ms),
        value: record.value,
    });
    LogPage {
        records: records.collect(),
        oldest: page.oldest,
        tail: page.tail,
    }
}
