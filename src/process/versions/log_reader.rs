//! Reads the configuration stream of the log service and appends snapshots to it.

use rand::RngExt;
use serde_json::Value;
use slog::{info, warn};
use tokio_util::sync::CancellationToken;

use crate::prelude::*;
use crate::process::distribution::{DistributionEvent, SnapshotClock, snapshot_due};
use crate::process::membership::reconnect_delay;
use crate::process::platform::{CONFIG_STREAM, ConfigLog, LogClient, LogPage};

use super::service::VersionService;

/// The most records in one read.
const MAX_READ: usize = 256;
/// How long a read at the tail of the stream waits for new records.
const READ_WAIT: Duration = Duration::from_millis(1_500);
/// The minimum time for which the log service keeps records.
const RETENTION: Duration = Duration::from_secs(24 * 3_600);

/// Reads the stream from `from` until `stop` is cancelled.
pub(super) async fn read_log(
    service: Arc<VersionService>,
    log_client: LogClient,
    from: LogOffset,
    stop: CancellationToken,
) {
    let config_log = ConfigLog::new(log_client);
    let mut clock = SnapshotClock {
        reading_since: Timestamp::now(),
        last_written: None,
        retention: RETENTION,
        jitter: rand::rng().random_range(0.0..1.0),
    };
    let mut next = from;
    let mut wait = Duration::ZERO;
    let mut n_failures = 0;
    while !stop.is_cancelled() {
        let page = tokio::select! {
            page = config_log.read(next, MAX_READ, wait) => page,
            () = stop.cancelled() => return,
        };
        match page {
            Ok(page) => {
                service.set_log_reachable(true);
                n_failures = 0;
                next = handle_page(&service, next, &page, &mut clock).await;
                wait = if page.tail <= next {
                    READ_WAIT
                } else {
                    Duration::ZERO
                };
                if page.tail <= next {
                    service.handle_event(DistributionEvent::LogTail);
                    append_due_snapshot(&service, &config_log, &mut clock).await;
                }
            }
            Err(err) => {
                warn!(service.log(), "reading the configuration stream failed"; "error" => %err);
                service.set_log_reachable(false);
                service.handle_event(DistributionEvent::LogUnreachable);
                let pause = reconnect_delay(n_failures, &mut rand::rng());
                n_failures += 1;
                tokio::time::sleep(pause).await;
            }
        }
    }
}

/// Applies the records of a page; returns the offset of the next read.
async fn handle_page(
    service: &Arc<VersionService>,
    from: LogOffset,
    page: &LogPage,
    clock: &mut SnapshotClock,
) -> LogOffset {
    for record in &page.records {
        if is_snapshot(&record.value) {
            clock.last_written = Some(Timestamp::from_millis(record.at_ms));
        }
        let (offset, value) = (record.offset, record.value.clone());
        service
            .handle_event_blocking(DistributionEvent::LogRecord { offset, value })
            .await;
    }
    let last = page.records.last().map(|record| record.offset.next());
    last.unwrap_or(from).max(page.oldest)
}

/// Appends a snapshot if one is due, so that the log holds one when older records expire.
async fn append_due_snapshot(
    service: &Arc<VersionService>,
    config_log: &ConfigLog,
    clock: &mut SnapshotClock,
) {
    let now = Timestamp::now();
    let fold = service.fold();
    if fold.current().number == VersionNumber(0) || !snapshot_due(now, clock) {
        return;
    }
    let Some(record) = fold.snapshot_record(now) else {
        return;
    };
    clock.last_written = Some(now);
    let appended = config_log.append(&record.encode()).await;
    info!(service.log(), "configuration snapshot append finished";
        "version" => fold.current().number.0, "stream" => CONFIG_STREAM,
        "written" => appended.is_ok());
}

fn is_snapshot(value: &Value) -> bool {
    value["kind"] == "snapshot"
}
