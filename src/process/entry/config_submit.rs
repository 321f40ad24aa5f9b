//! Appends records to the configuration stream and waits until they are accepted or rejected.

use slog::info;

use crate::prelude::*;
use crate::process::operator::{PatchReport, PatchResult};
use crate::process::platform::{AppendFailure, ConfigLog};
use crate::version::config::{AppendStatus, ConfigFold, ConfigRecord, FoldOutcome, RecordNonce};

use super::entry_process::EntryProcess;

/// How long an operator waits until a record is accepted or rejected.
const APPEND_STATUS_TIMEOUT: Duration = Duration::from_secs(8);
/// The maximum number of records per read.
const MAX_RECORDS_PER_READ: usize = 256;
/// How long a read waits for new records.
const READ_POLL_TIMEOUT: Duration = Duration::from_millis(500);
/// The delay before a failed read is retried.
const READ_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Appends a record and reads the stream until the fold has accepted or rejected it.
///
/// If the response to the append was lost, the record is looked up by its nonce; the append is
/// never repeated.
pub(super) async fn submit(process: &Arc<EntryProcess>, record: &ConfigRecord) -> PatchReport {
    let nonce = record
        .nonce()
        .cloned()
        .unwrap_or_else(|| RecordNonce::from(""));
    let config_log = ConfigLog::new(process.log_client.clone());
    // Copied before the append, so that the status is seen even if later records follow it.
    let fold = process.versions.fold();
    let appended = config_log.append(&record.encode()).await;
    count_append(process, &appended);
    match appended {
        Ok(()) => {}
        Err(AppendFailure::Unknown(reason)) => {
            info!(process.log, "response to append lost"; "nonce" => %nonce, "reason" => %reason);
        }
        Err(err) => {
            let reason = format!("{err}; nothing was written, send it again");
            let current = process.versions.current().number;
            return patch_report(PatchResult::NotWritten, current, &nonce, reason);
        }
    }
    let base = record.base().unwrap_or_default();
    let judging = await_append_status(&config_log, fold, (&nonce, base));
    match tokio::time::timeout(APPEND_STATUS_TIMEOUT, judging).await {
        Ok((AppendStatus::Accepted(version), _)) => {
            patch_report(PatchResult::Accepted, version, &nonce, String::new())
        }
        Ok((AppendStatus::Rejected(rejection), current)) => {
            let reason = rejection.to_string();
            patch_report(PatchResult::Rejected, current, &nonce, reason)
        }
        Ok((AppendStatus::Superseded(version), current)) => {
            let reason = format!(
                "overtaken: version {version} is current, so this record can no longer be \
                 accepted; send it again against {version}"
            );
            patch_report(PatchResult::Rejected, current, &nonce, reason)
        }
        Ok((AppendStatus::Pending(_) | AppendStatus::Unknown, _)) | Err(_) => {
            let reason = "the record was not read back in time; look for it in the history \
                          before you send it again";
            let current = process.versions.current().number;
            patch_report(PatchResult::Unknown, current, &nonce, reason.to_owned())
        }
    }
}

/// Folds the stream until the record with `nonce` on `base` is accepted, rejected or
/// superseded; returns the status and the version that is current in the fold that decided it.
///
/// The version in force in this process may still be an earlier one.
/// While the base is current, a record whose append response was lost may still appear.
async fn await_append_status(
    config_log: &ConfigLog,
    mut fold: ConfigFold,
    (nonce, base): (&RecordNonce, VersionNumber),
) -> (AppendStatus, VersionNumber) {
    let mut next = fold.rewind();
    loop {
        let Ok(page) = config_log
            .read(next, MAX_RECORDS_PER_READ, READ_POLL_TIMEOUT)
            .await
        else {
            tokio::time::sleep(READ_RETRY_DELAY).await;
            continue;
        };
        next = next.max(page.oldest);
        for record in &page.records {
            next = match fold.apply(record.offset, &record.value) {
                FoldOutcome::Loaded { resume_at } => resume_at,
                _ => record.offset.next(),
            };
            if next <= record.offset {
                break;
            }
        }
        if page.tail <= next {
            match fold.append_status(nonce, base) {
                AppendStatus::Pending(_) | AppendStatus::Unknown => {}
                status => return (status, fold.current().number),
            }
        }
    }
}

fn count_append(process: &EntryProcess, appended: &Result<(), AppendFailure>) {
    let result = match appended {
        Ok(()) => "written",
        Err(AppendFailure::Unknown(_)) => "unknown",
        Err(_) => "not-written",
    };
    process.metrics.appends.with_label_values(&[result]).inc();
}

fn patch_report(
    result: PatchResult,
    version: VersionNumber,
    nonce: &RecordNonce,
    reason: String,
) -> PatchReport {
    PatchReport {
        result,
        version,
        nonce: nonce.to_string(),
        reason,
    }
}
