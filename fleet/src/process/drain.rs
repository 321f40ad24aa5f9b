//! The drain state of a stopping entry.

use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::prelude::*;

/// How long a stopping entry still accepts requests: the balancer checks readiness once a second
/// and removes an entry after two failed checks.
const ACCEPT_TIME: Duration = Duration::from_millis(2_600);

/// How long before the end of the grace period the process exits by itself.
const EXIT_MARGIN: Duration = Duration::from_millis(300);

/// How long before the exit the last answers are given.
const ANSWER_MARGIN: Duration = Duration::from_millis(200);

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

    /// Returns whether a request that ends at its deadline at the latest may be passed on: once new
    /// ones are refused, only if that lies before the last answers are given.
    pub fn may_pass_on(&self, now: Instant, deadline: Instant, grace: Duration) -> bool {
        self.began_at.lock().is_none_or(|began_at| {
            now < began_at + ACCEPT_TIME || deadline <= Self::last_answers_at(began_at, grace)
        })
    }

    /// Waits until new requests are refused.
    pub async fn closed(&self) {
        let began_at = self.begun().await;
        tokio::time::sleep_until(began_at + ACCEPT_TIME).await;
    }

    /// Waits until requests without an answer have to get one, as the process will exit.
    pub async fn answers_due(&self, grace: Duration) {
        let began_at = self.begun().await;
        tokio::time::sleep_until(Self::last_answers_at(began_at, grace)).await;
    }

    fn last_answers_at(began_at: Instant, grace: Duration) -> Instant {
        Self::end_of_grace(began_at, grace.saturating_sub(ANSWER_MARGIN))
    }

    async fn begun(&self) -> Instant {
        loop {
            let begun = self.begun.notified();
            let began_at = *self.began_at.lock();
            match began_at {
                Some(at) => return at,
                None => begun.await,
            }
        }
    }

    /// Returns the time at which the process exits even if requests are still in progress.
    pub fn end_of_grace(began_at: Instant, grace: Duration) -> Instant {
        began_at + grace.saturating_sub(EXIT_MARGIN)
    }
}
