//! The limit on the streams of this entry that wait for their first event at a group.

use crate::prelude::*;

/// The weight of a new sample in the moving averages.
const WAIT_WEIGHT: f64 = 0.2;

/// The fraction of the distance to the computed limit that one sample covers.
const LIMIT_GAIN: f64 = 0.25;

/// The age after which the last wait no longer reflects the group's speed.
const MAX_WAIT_AGE: Duration = Duration::from_secs(2);

/// The bounds of the time after which a refused caller retries.
const RETRY_BOUNDS: [Duration; 2] = [Duration::from_millis(500), Duration::from_millis(2_500)];

/// The limit on the streams of this entry that wait for their first event at a group.
///
/// Callers give up a stream that does not begin in time, so that what is sent beyond this limit only
/// keeps the group's ranks from reading other prompts. At least one stream may always wait.
#[derive(Debug, Default)]
pub struct StartLimit {
    n_waiting: u32,
    /// The average wait in seconds, and relative to the one that is allowed.
    wait: Option<(f64, f64)>,
    ended_at: Option<Instant>,
    limit: f64,
}

/// How the wait for a first event ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartEnd {
    /// The event arrived.
    Begun,
    /// The caller left, or its time was over.
    GivenUp,
    /// The targets failed.
    Failed,
}

impl StartLimit {
    /// Counts a stream that begins to wait.
    pub fn begin(&mut self) {
        self.n_waiting += 1;
    }

    /// Records the end of a wait, for streams that are to begin within an allowed time.
    pub fn end(&mut self, wait: Duration, allowed: Duration, end: StartEnd, now: Instant) {
        let n_waiting = f64::from(self.n_waiting);
        self.n_waiting = self.n_waiting.saturating_sub(1);
        let is_sample = match end {
            StartEnd::Begun => true,
            StartEnd::GivenUp => allowed <= wait,
            StartEnd::Failed => false,
        };
        if !is_sample {
            return;
        }
        let sample = (
            wait.as_secs_f64(),
            wait.as_secs_f64() / allowed.as_secs_f64(),
        );
        let (wait_s, ratio) = match self.fresh_wait(now) {
            Some(old) => (
                old.0 + WAIT_WEIGHT * (sample.0 - old.0),
                old.1 + WAIT_WEIGHT * (sample.1 - old.1),
            ),
            None => sample,
        };
        self.wait = Some((wait_s, ratio));
        self.ended_at = Some(now);
        let computed = n_waiting / ratio.max(f64::MIN_POSITIVE);
        self.limit = (self.limit + LIMIT_GAIN * (computed - self.limit)).max(1.0);
    }

    /// Returns the time after which a caller should retry, where a further stream would not begin in
    /// time.
    pub fn full_for(&self, now: Instant) -> Option<Duration> {
        let (wait_s, ratio) = self.fresh_wait(now)?;
        let [min, max] = RETRY_BOUNDS;
        let is_full = 1.0 < ratio && self.limit < f64::from(self.n_waiting) + 1.0;
        (is_full && 0 < self.n_waiting).then(|| Duration::from_secs_f64(wait_s).clamp(min, max))
    }

    fn fresh_wait(&self, now: Instant) -> Option<(f64, f64)> {
        let ended_at = self.ended_at?;
        self.wait.filter(|_| now < ended_at + MAX_WAIT_AGE)
    }
}
