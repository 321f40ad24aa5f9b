//! Whether a call may run more than once.

/// Whether a call may run more than once, as its route declares.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// An idempotent call with a single response.
    Safe,
    /// A call with a single response that runs at most once.
    Unsafe,
    /// A stream of events that another target may continue after the last complete event.
    ResumableStream,
    /// A stream of events that runs at most once.
    SingleStream,
}

impl CallKind {
    /// Returns whether the call may run again after a run whose outcome is unknown.
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Safe | Self::ResumableStream)
    }

    /// Returns whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::ResumableStream | Self::SingleStream)
    }
}
