//! Membership: the state of targets, subsets of targets for entry VMs, and reconnect delays.

mod backoff;
mod event;
mod state;
mod subset;
mod table;

pub use backoff::reconnect_delay;
pub use event::{AgentReadiness, AgentReport, DispatchSignal, MembershipEvent, VmState};
pub use state::{StateReason, TargetState, TargetStatus};
pub use subset::{subset, subsets};
pub use table::{HEARTBEAT_INTERVAL, MembershipTable, REPORT_LEASE};
