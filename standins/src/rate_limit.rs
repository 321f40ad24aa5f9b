//! A limit of operations a second.

/// A limit of operations in each second of the clock; `None` is no limit.
#[derive(Debug, Default)]
pub(crate) struct RateLimit {
    /// The most operations in one second.
    pub(crate) per_second: Option<u64>,
    second: u64,
    used: u64,
}

impl RateLimit {
    /// Takes one operation at `now_ms`, or returns false when the second is used up.
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
