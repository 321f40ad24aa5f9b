//! Components that live as long as the process.

pub mod agent;
pub mod distribution;
pub mod entry;
pub mod logger;
pub mod membership;
pub mod metrics;
pub mod operator;
pub mod order_io;
pub mod orders;
pub mod platform;
pub mod routing;
pub mod settings;
pub mod step_window;
pub mod timestamp;
pub mod versions;
