//! What becomes of one request.

mod attempt_outcome;
mod local_response;
mod next_step;
mod not_run_proof;

pub use attempt_outcome::AttemptOutcome;
pub use local_response::{DeniedReason, LocalResponse, UnknownReason};
pub use next_step::{CallProgress, NextStep, next_step};
pub use not_run_proof::NotRunProof;
