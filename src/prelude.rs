//! Common imports: names, ids, version numbers, time and the error type.

pub use std::sync::Arc;
pub use std::time::Duration;

pub use smallvec::SmallVec;

pub use crate::error::{Error, Result};
pub use crate::process::timestamp::Timestamp;
pub use crate::request::outcome::RequestOutcome;
pub use crate::request::request_id::RequestId;
pub use crate::request::work_lane::WorkLane;
pub use crate::version::names::{
    AccountName, AgentName, DataCentreName, EntryName, GroupName, ModelName, ServiceName,
    TargetName,
};
pub use crate::version::numbers::{FencingNumber, LogOffset, ProcessIncarnation, VersionNumber};
