//! The result of a dispatch to a target, for load estimation and outlier ejection.

use derive_more::Display;

/// The result of a dispatch.
///
/// `sequence` is the number of the agent's last load report before the end, taken from the
/// agent's answer, or 0 if unknown.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum DispatchResult {
    /// The target answered with a success or an error.
    #[display("answered")]
    Answered {
        /// The number of the agent's last load report before the end.
        sequence: u64,
    },
    /// The agent or the caller cancelled the work.
    #[display("cancelled")]
    Cancelled {
        /// The number of the agent's last load report before the end.
        sequence: u64,
    },
    /// The agent refused the work before it started.
    #[display("refused")]
    Refused,
    /// The agent could not be reached, or the connection to it was lost.
    #[display("unreachable")]
    Unreachable,
    /// The target crashed.
    #[display("crashed")]
    Crashed,
}
