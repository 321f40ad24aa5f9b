//! The choice of a target, limits, and what is known of load and failures.

mod account_limiter;
mod agent_admission;
mod cache_event;
mod concurrency_limit;
mod crash_suspects;
mod demand_report;
mod dispatch_result;
mod fair_queue;
mod hedge_timer;
mod limit_decision;
mod load_report;
mod prefix_hash;
mod prefix_index;
mod retry_budget;
mod role_pool;
mod route_decision;
mod route_query;
mod service_time;
mod target_state;
mod target_table;

pub use account_limiter::AccountLimiter;
pub use agent_admission::{
    AdmissionAction, AdmissionDecision, AgentAdmission, CancelAnswer, WorkCancel, WorkOffer,
    WorkSharing,
};
pub use cache_event::CacheEvent;
pub use concurrency_limit::ConcurrencyLimit;
pub use crash_suspects::{
    CrashSuspects, RequestDigest, SuspectDecision, SuspectReport, TargetCrash,
};
pub use demand_report::{AccountDemand, DemandReport};
pub use dispatch_result::DispatchResult;
pub use fair_queue::{FairQueue, QueuePush, QueuedWork};
pub use hedge_timer::HedgeTimer;
pub use limit_decision::{LimitDecision, WorkCost};
pub use load_report::LoadReport;
pub use prefix_hash::{MAX_PREFIX_BLOCKS, PREFIX_BLOCK_BYTES, PrefixHash, prefix_hashes};
pub use retry_budget::{RetryBudget, RetryDecision, RetryQuery, TryFailure, WorkRepetition};
pub use route_decision::{RefusalReason, RouteDecision, RouteReason, RouteRefusal};
pub use route_query::RouteQuery;
pub use service_time::ServiceTime;
pub use target_state::TargetEligibility;
pub use target_table::TargetTable;
