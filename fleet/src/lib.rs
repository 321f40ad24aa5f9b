//! The entry and agent processes for fleets whose targets are called directly.
//!
//! Decisions (routing, admission, retries, membership, versions, expert maps) are made by functions
//! and tables that do no I/O; `forward`, `peers` and `process` do the I/O. The names of a platform's
//! headers, fields and calls are passed in by the crate that adapts it.

pub mod catalog;
pub mod expert;
pub mod forward;
pub mod mirror;
pub mod peers;
pub mod prelude;
pub mod process;
pub mod request;
pub mod roster;
pub mod routing;
