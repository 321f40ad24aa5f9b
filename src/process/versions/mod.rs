//! The configuration version in force, obtained from the log service and from peers.

mod log_reader;
mod service;

pub use service::{VersionService, VersionSettings};
