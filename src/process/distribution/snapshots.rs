//! Schedule of the snapshots that log readers append to the log.

use crate::prelude::*;

/// The next snapshot is due when the last one is older than the retention divided by this.
const AGE_DIVISOR: u32 = 4;
/// The largest random delay of a reader is the retention divided by this.
const JITTER_DIVISOR: u32 = 8;

/// The inputs from which a log reader decides when a snapshot is due.
#[derive(Clone, Copy, Debug)]
pub struct SnapshotClock {
    /// When this process started to read the log.
    pub reading_since: Timestamp,
    /// When the last snapshot that it read or appended was written.
    pub last_written: Option<Timestamp>,
    /// How long the log service keeps records.
    pub retention: Duration,
    /// A random factor in [0, 1), drawn once per reader, so that readers append at different times.
    pub jitter: f64,
}

/// Whether this reader should append a snapshot.
///
/// A reader that started from a peer's state may not have read the last snapshot. It waits for
/// its random delay first, so that many restarts in a day do not fill the log with snapshots.
pub fn snapshot_due(now: Timestamp, clock: &SnapshotClock) -> bool {
    let delay = (clock.retention / JITTER_DIVISOR).mul_f64(clock.jitter);
    match clock.last_written {
        Some(written) => clock.retention / AGE_DIVISOR + delay <= now.since(written),
        None => delay <= now.since(clock.reading_since),
    }
}
