//! A load balancer for expert-parallel model groups.
//!
//! The modules follow the life span of what they hold: a request, a connection, a
//! configuration version, or the process. Every decision is a plain function or a state
//! machine without I/O, clock or global randomness; the code around it only moves bytes.

pub mod connection;
pub mod error;
pub mod prelude;
pub mod process;
pub mod request;
pub mod version;
