//! The routes, services, limits and client accounts of one configuration version.

mod call_kind;
mod route_catalog;
mod route_spec;
mod service_spec;

pub use call_kind::CallKind;
pub use route_catalog::{Account, CallerLimits, RouteCatalog, RouteError};
pub use route_spec::{Backend, RouteSpec};
pub use service_spec::{EngineSpec, ServiceSpec};
