//! What lives as long as a configuration version.

pub mod config;
pub mod expert_map;
pub mod names;
pub mod numbers;
