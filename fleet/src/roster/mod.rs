//! The targets known from the platform's records.

mod target_entry;
mod target_roster;

pub use target_entry::TargetEntry;
pub use target_roster::{RosterChange, TargetRoster};
