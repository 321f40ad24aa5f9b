//! The configuration version in force, and what brings it here: log service and peers.

mod log_reader;
mod service;

pub use service::{VersionService, VersionSettings};
