//! The configuration stream: its records, the fold over them, and the resulting versions.

mod change;
mod content;
mod diff;
mod digest;
mod fold;
mod history;
mod labels;
mod outcome;
mod path;
mod record;
mod rejection;
mod snapshot;
mod validation;
mod version;

pub use change::ConfigChange;
pub use content::{
    AccountConfig, CallConfig, CallKind, ConfigContent, GroupConfig, ModelConfig, PlacementConfig,
    RetryConfig, ServiceConfig, TargetConfig, TargetRole,
};
pub use diff::{ContentDifference, DifferenceKind, diff};
pub use digest::VersionDigest;
pub use fold::ConfigFold;
pub use history::{
    AcceptedRecord, EntryStanding, HistoryEntry, MAX_HISTORY_VERSIONS, VersionHistory,
};
pub use labels::{AuthorName, BatchName, RecordNonce};
pub use outcome::{AppendStatus, FoldOutcome, NonceOutcome, SkipReason};
pub use path::ConfigPath;
pub use record::{ConfigRecord, FIRST_FORMAT, NEWEST_FORMAT, RecordError};
pub use rejection::{ChangeSummary, ConfigRejection};
pub use snapshot::ConfigSnapshot;
pub use validation::{ValidationError, validate};
pub use version::ConfigVersion;
