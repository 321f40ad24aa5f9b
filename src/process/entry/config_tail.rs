//! Reads the configuration stream of the log service, and appends to it.

use rand::RngExt;
use slog::{info, warn};

use crate::prelude::*;
use crate::process::operator::{PatchReport, PatchResult, VersionSource};
use crate::process::platform::{AppendFailure, LogPage, LogRecord};
use crate::version::config::{ConfigRecord, FoldOutcome, NonceOutcome, RecordNonce};

use super::entry_process::EntryProcess;

/// The stream of the configuration.
const CONFIG_STREAM: &str = "config";
/// The offset of the first record of a stream.
const FIRST_OFFSET: u64 = 1;
/// The most records of one read.
const MAX_READ: usize = 256;
/// How long a read waits for records.
const READ_WAIT: Duration = Duration::from_secs(5);
/// The mean pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// How long an operator waits for the verdict on a record.
const VERDICT_WAIT: Duration = Duration::from_secs(8);
/// The pause between two looks for a verdict.
const VERDICT_POLL: Duration = Duration::from_millis(10);

/// Reads the stream until the process stops.
pub(super) async fn tail_config(process: Arc<EntryProcess>) {
    let mut from = process.versions.with_fold(|fold| fold.rewind());
    while !process.stop.is_cancelled() {
        let page = tokio::select! {
            page = read_page(&process, from) => page,
            () = process.stop.cancelled() => return,
        };
        match page {
            Ok(page) => {
                process.log_answered(true);
                from = take_page(&process, from, &page);
                if page.tail <= from {
                    process.set_source(VersionSource::Log);
                }
            }
            Err(err) => {
                warn!(process.log, "read of the configuration failed"; "error" => %err);
                process.log_answered(false);
                let pause = RETRY_PAUSE.mul_f64(rand::rng().random_range(0.5..1.5));
                tokio::time::sleep(pause).await;
            }
        }
    }
}

/// Reads a page. The fold counts its offsets from 0, the log service from 1.
async fn read_page(process: &EntryProcess, from: LogOffset) -> Result<LogPage> {
    let wait = match process.source() {
        VersionSource::Log => READ_WAIT,
        // The end of the stream is to be known at once.
        VersionSource::Peers | VersionSource::None => Duration::ZERO,
    };
    let page = process
        .log_client
        .read(CONFIG_STREAM, from.next(), MAX_READ, wait)
        .await?;
    let before = |offset: LogOffset| LogOffset(offset.0.saturating_sub(FIRST_OFFSET));
    let records = page.records.into_iter().map(|record| LogRecord {
        offset: before(record.offset),
        ..record
    });
    let records = records.collect();
    Ok(LogPage {
        records,
        tail: before(page.tail),
        oldest: before(page.oldest),
    })
}

/// Folds a page and returns where the next read begins.
fn take_page(process: &EntryProcess, from: LogOffset, page: &LogPage) -> LogOffset {
    let mut next = from.max(page.oldest);
    for record in &page.records {
        let outcome = process
            .versions
            .with_fold(|fold| fold.apply(record.offset, &record.value));
        info!(process.log, "configuration record"; "offset" => record.offset.0,
            "outcome" => %outcome);
        next = match outcome {
            FoldOutcome::Loaded { resume_at } => return resume_at,
            FoldOutcome::Held { .. } => return record.offset,
            _ => record.offset.next(),
        };
    }
    next
}

/// Appends a record and waits for the verdict of the fold.
///
/// An append whose answer was lost is looked for by its nonce and never repeated.
pub(super) async fn submit(process: &Arc<EntryProcess>, record: &ConfigRecord) -> PatchReport {
    let nonce = record
        .nonce()
        .cloned()
        .unwrap_or_else(|| RecordNonce::from(""));
    let appended = process
        .log_client
        .append(CONFIG_STREAM, &[record.encode()])
        .await;
    let result = match &appended {
        Ok(_) => "written",
        Err(AppendFailure::Unknown(_)) => "unknown",
        Err(_) => "not-written",
    };
    process.metrics.appends.with_label_values(&[result]).inc();
    match appended {
        Ok(_) => {}
        Err(AppendFailure::Unknown(reason)) => {
            info!(process.log, "append answer lost"; "nonce" => %nonce, "reason" => %reason);
        }
        Err(err) => {
            let reason = format!("{err}; nothing was written, send it again");
            return report(process, PatchResult::NotWritten, &nonce, reason);
        }
    }
    let deadline = Timestamp::now() + VERDICT_WAIT;
    while Timestamp::now() < deadline {
        let outcome = process.versions.with_fold(|fold| fold.outcome_of(&nonce));
        match outcome {
            NonceOutcome::Accepted(version) => {
                let nonce = nonce.to_string();
                let result = PatchResult::Accepted;
                return PatchReport {
                    result,
                    version,
                    nonce,
                    reason: String::new(),
                };
            }
            NonceOutcome::Rejected(rejection) => {
                return report(
                    process,
                    PatchResult::Rejected,
                    &nonce,
                    rejection.to_string(),
                );
            }
            NonceOutcome::NotSeen => tokio::time::sleep(VERDICT_POLL).await,
        }
    }
    let reason = "the record was not read back in time; look for its nonce in the history \
                  before you send it again";
    report(process, PatchResult::Unknown, &nonce, reason.to_owned())
}

fn report(
    process: &EntryProcess,
    result: PatchResult,
    nonce: &RecordNonce,
    reason: String,
) -> PatchReport {
    let version = process.versions.mark().number;
    PatchReport {
        result,
        version,
        nonce: nonce.to_string(),
        reason,
    }
}
