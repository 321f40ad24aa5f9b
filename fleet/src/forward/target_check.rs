//! The result of a check whether a target accepts connections.

/// Whether a target accepts connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetCheck {
    /// It accepted one.
    Accepts,
    /// Its machine refused one: no process listens there any more.
    Refuses,
    /// No result in time.
    Unclear,
}
