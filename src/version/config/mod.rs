//! The configuration stream: records, the fold over them and its content.

mod content;

pub use content::{
    AccountConfig, CallConfig, CallKind, ConfigContent, GroupConfig, ModelConfig, PlacementConfig,
    RetryConfig, ServiceConfig, TargetConfig, TargetRole,
};
