//! The types that most modules of this crate use.

pub use std::sync::Arc;
pub use std::time::Duration;

pub use bytes::Bytes;
pub use smallvec::SmallVec;
pub use tokio::time::Instant;

pub use crate::catalog::{CallKind, RouteCatalog, RouteSpec, ServiceSpec};
pub use crate::request::{LocalResponse, NotRunProof};
pub use crate::roster::TargetEntry;
