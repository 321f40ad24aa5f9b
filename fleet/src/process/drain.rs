//! The drain state of a stopping entry.

use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::prelude::*;

/// How long a stopping entry still accepts requests: the balancer checks readiness once a second
/// and removes an entry after two failed checks.
const ACCEPT_TIME: Duration = Duration::from_millis(2_600);

/// How long before the end of the grace period the process exits by itself.
const EXIT_MARGIN: Duration = Duration::from_millis(300);

/// Whether an entry is stopping, and when it began to.
#[derive(Debug, Default)]
pub struct DrainState {
    began_at: Mutex<Option<Instant>>,
    begun: Notify,
}

impl DrainState {
    /// Begins to drain; later calls change nothing.
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
            .is_some_and(|at| at + ACCEPT_TIME <= now)
    }

    /// Waits until new requests are refused.
    pub async fn closed(&self) {
        loop {
            let begun = self.begun.notified();
            let began_at = *self.began_at.lock();
            match began_at {
                Some(at) => return tokio::time::sleep_until(at + ACCEPT_TIME).await,
                None => begun.await,
            }
        }
    }

    /// Returns the time at which the process exits even if requests are still in progress.
    pub fn end_of_grace(began_at: Instant, grace: Duration) -> Instant {
        began_at + grace.saturating_sub(EXIT_MARGIN)
    }
}
