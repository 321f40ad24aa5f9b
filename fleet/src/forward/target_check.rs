//! The result of a check whether a target accepts connections.

/// Whether a target accepts connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetCheck {
    /// It accepted one.
    Accepts,
    /// Its machine refused one: no process listens there any more.
    Refuses,
    /// Its address accepted one and closed it at once: the process behind it has ended.
    Closes,
    /// No result in time.
    Unclear,
}

impl TargetCheck {
    /// Returns whether the target has ended, where a request's connection broke before.
    pub fn is_end(self) -> bool {
        matches!(self, Self::Refuses | Self::Closes)
    }
}
