//! The stop of an entry.

use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::prelude::*;

/// How long a stopping entry still takes requests: the balancer asks once a second and takes an
/// entry out after two misses.
const TAKE_IN_TIME: Duration = Duration::from_millis(2_600);

/// The time before the end of the grace period at which the process ends by itself.
const END_MARGIN: Duration = Duration::from_millis(300);

/// Whether an entry is stopping, and since when.
#[derive(Debug, Default)]
pub struct DrainState {
    began_at: Mutex<Option<Instant>>,
    begun: Notify,
}

impl DrainState {
    /// Begins the stop.
    pub fn begin(&self, now: Instant) {
        self.began_at.lock().get_or_insert(now);
        self.begun.notify_waiters();
    }

    /// Returns whether the entry is stopping.
    pub fn is_draining(&self) -> bool {
        self.began_at.lock().is_some()
    }

    /// Returns whether new requests are refused.
    pub fn is_closed(&self, now: Instant) -> bool {
        self.began_at
            .lock()
            .is_some_and(|at| at + TAKE_IN_TIME <= now)
    }

    /// Waits until new requests are refused.
    pub async fn closed(&self) {
        loop {
            let begun = self.begun.notified();
            let began_at = *self.began_at.lock();
            match began_at {
                Some(at) => return tokio::time::sleep_until(at + TAKE_IN_TIME).await,
                None => begun.await,
            }
        }
    }

    /// Returns the time at which the process ends whatever is left.
    pub fn end_of_grace(began_at: Instant, grace: Duration) -> Instant {
        began_at + grace.saturating_sub(END_MARGIN)
    }
}
