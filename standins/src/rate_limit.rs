//! A limit on operations per second.

/// A limit on operations per calendar second (a fixed window).
#[derive(Debug, Default)]
pub(crate) struct RateLimit {
    /// The maximum number of operations in one second; `None` means no limit.
    pub(crate) per_second: Option<u64>,
    second: u64,
    used: u64,
}

impl RateLimit {
    /// Counts one operation at `now_ms`, or returns false when the limit for that second is reached.
    pub(crate) fn take(&mut self, now_ms: u64) -> bool {
        let Some(per_second) = self.per_second else {
            return true;
        };
        let second = now_ms / 1_000;
        if self.second != second {
            self.second = second;
            self.used = 0;
        }
        if per_second <= self.used {
            return false;
        }
        self.used += 1;
        true
    }
}
