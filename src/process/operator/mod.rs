//! The operators' API: configuration versions, reports, metrics and health checks.

mod api;
mod context;
mod log_trail;
mod report;

pub use api::{openapi_document, start_operator_api};
pub use context::{HealthProbe, OperatorContext};
pub use log_trail::{LogTrail, TrailStep};
pub use report::{
    ConfigReport, DecisionReport, OpenOrder, OpenOrders, PatchOrder, PatchReport, PatchResult,
    PeerReport, RecallOrder, RequestReport, SettleOrder, SettleReport, StatusReport, TargetReport,
    VersionReport,
};
