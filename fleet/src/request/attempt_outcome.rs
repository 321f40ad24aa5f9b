//! What became of one dispatch to a target.

/// What became of one dispatch to a target that brought no answer to pass on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// No connection came about, so no byte of the request was sent.
    NotSent,
    /// The target states that it did not run the request.
    NotRun,
    /// The target answered that it failed.
    Failed,
    /// The request was sent, and what came back is no whole answer to it.
    Unknown,
    /// The request was sent, and no answer came in the time given to the target.
    Silent,
}

impl AttemptOutcome {
    /// Returns whether the target may have run the request.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Self::NotSent | Self::NotRun)
    }
}
