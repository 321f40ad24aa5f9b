//! When the state is written to the log again.

use crate::prelude::*;

/// The age of the last snapshot at which the next is due, as a divisor of the retention.
const DUE_DIVISOR: u32 = 4;
/// The spread between the readers, as a divisor of the retention.
const SPREAD_DIVISOR: u32 = 8;

/// What a reader of the log knows of snapshots.
#[derive(Clone, Copy, Debug)]
pub struct SnapshotClock {
    /// When this process began to read the log.
    pub reading_since: Timestamp,
    /// When the last snapshot that it read was written.
    pub last_written: Option<Timestamp>,
    /// How long the log service keeps records.
    pub retention: Duration,
    /// A random number from 0 up to 1, drawn once, that keeps the readers apart.
    pub share: f64,
}

/// Whether this reader should append a snapshot.
///
/// A reader that started from a peer's state may not have read the last snapshot; it waits a
/// while for one, so that a day with many restarts does not fill the log with snapshots.
pub fn snapshot_due(now: Timestamp, clock: &SnapshotClock) -> bool {
    let spread = (clock.retention / SPREAD_DIVISOR).mul_f64(clock.share);
    match clock.last_written {
        Some(written) => clock.retention / DUE_DIVISOR + spread <= now.since(written),
        None => spread <= now.since(clock.reading_since),
    }
}
