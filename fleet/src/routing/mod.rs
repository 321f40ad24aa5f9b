//! Target selection, admission control, retry budgets and requests that end targets.

mod crash_suspect;
mod crash_suspects;
mod group_health;
mod group_limit;
mod load_view;
mod rank_watch;
mod rate_buckets;
mod retry_budget;
mod routing_table;
mod start_limit;
mod suspect_key;
mod suspect_record;
mod suspect_report;
mod target_health;
mod target_limit;

pub use crash_suspects::{CrashSuspects, RecordWriter, SuspectDecision};
pub use group_health::{GROUP_RECOVERY_TIME, GroupHealth, GroupState};
pub use group_limit::{AdmitDecision, GroupLimit, GroupLoad};
pub use load_view::{LoadView, MAX_SENDERS, PeerLoad, name_hash};
pub use rank_watch::{ROUND_PERIOD, RankStatus, RankWatch};
pub use rate_buckets::{PermitDecision, RateBuckets};
pub use retry_budget::{BudgetSettings, RetryBudget};
pub use routing_table::{RoutingTable, TargetPick};
pub use start_limit::{StartEnd, StartLimit};
pub use suspect_key::{SuspectKey, SuspectKeys};
pub use suspect_record::{RecordError, SuspectRecord};
pub use suspect_report::{EndReport, SuspectReport};
pub use target_health::{ResultCounts, TargetHealth};
pub use target_limit::{LimitChange, LimitNotice, LimitReport};
