//! The targets known from the platform's records.

mod departed_target;
mod target_entry;
mod target_roster;

pub use departed_target::DepartedTarget;
pub use target_entry::TargetEntry;
pub use target_roster::{MAX_DEPARTED, RosterChange, TargetRoster};
