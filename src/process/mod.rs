//! What lives as long as the process.

pub mod distribution;
pub mod logger;
pub mod membership;
pub mod metrics;
pub mod orders;
pub mod platform;
pub mod routing;
pub mod settings;
pub mod step_window;
pub mod timestamp;
