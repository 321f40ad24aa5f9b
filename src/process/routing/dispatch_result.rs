//! How a dispatch to a target ended, as load estimation sees it.

use derive_more::Display;

/// How a dispatch ended.
///
/// `sequence` is the number of the agent's last report before the end, as the agent's
/// answer carries it; 0 where it is not known.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum DispatchResult {
    /// The target answered, with success or not.
    #[display("answered")]
    Answered {
        /// The agent's last report before the end.
        sequence: u64,
    },
    /// The agent or the caller cancelled it.
    #[display("cancelled")]
    Cancelled {
        /// The agent's last report before the end.
        sequence: u64,
    },
    /// The agent refused it before it started.
    #[display("refused")]
    Refused,
    /// The agent could not be reached or went away.
    #[display("unreachable")]
    Unreachable,
    /// The target crashed.
    #[display("crashed")]
    Crashed,
}
