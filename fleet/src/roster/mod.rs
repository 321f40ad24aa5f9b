//! The targets, as the platform's records name them.

mod target_entry;
mod target_roster;

pub use target_entry::TargetEntry;
pub use target_roster::{RosterChange, TargetRoster};
