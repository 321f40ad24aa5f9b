//! A load balancer for expert-parallel model groups.
//!
//! Modules are grouped by the lifetime of the state they hold: a request, a connection, a
//! configuration version, or the process. Every decision is a pure function or a state
//! machine without I/O, clock or global randomness; the surrounding code only does I/O.

pub mod connection;
pub mod error;
pub mod prelude;
pub mod process;
pub mod request;
pub mod version;
