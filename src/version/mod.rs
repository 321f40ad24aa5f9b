//! Versioned data: the configuration, expert maps, and their names and numbers.

pub mod config;
pub mod expert_map;
pub mod names;
pub mod numbers;
