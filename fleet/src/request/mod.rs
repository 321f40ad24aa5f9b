//! What becomes of one request.

mod attempt_outcome;
mod caller_answer;
mod next_step;
mod not_run_proof;

pub use attempt_outcome::AttemptOutcome;
pub use caller_answer::{CallerAnswer, DeniedReason, UnknownReason};
pub use next_step::{CallProgress, NextStep, next_step};
pub use not_run_proof::NotRunProof;
