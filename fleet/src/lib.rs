//! The entry and agent processes for fleets whose targets are called directly.
//!
//! Decisions (routing, admission, retries, membership, versions, expert maps) are plain functions
//! and tables without input or output; `forward`, `peers` and `process` move the bytes. The names
//! of a platform's headers, fields and calls come in as values from its adapter.

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
