//! The set of live targets, with a grace period for records lost in an outage of the store.

use std::collections::HashMap;

use crate::prelude::*;

/// How long a target whose record disappeared around an outage of the store stays in the roster
/// after the store is back. The platform restores the records of live targets within about two
/// seconds.
const LAPSE_GRACE_PERIOD: Duration = Duration::from_millis(2_000);

/// The live targets, from their records in the store.
#[derive(Debug, Default)]
pub struct TargetRoster {
    entries: HashMap<Arc<str>, TargetEntry>,
    lapsing: HashMap<Arc<str>, Instant>,
}

/// The effect of a record on the roster.
#[derive(Clone, Debug, PartialEq)]
pub enum RosterChange {
    /// A target was added or changed.
    Changed(TargetEntry),
    /// A target was removed.
    Removed(Arc<str>),
    /// A target's record disappeared around an outage; the target stays until the given time.
    Lapsing(Arc<str>, Instant),
    /// Nothing relevant to routing changed.
    Same,
}

impl TargetRoster {
    /// Inserts or updates a target from its record.
    pub fn insert(&mut self, entry: TargetEntry) -> RosterChange {
        let lapsed = self.lapsing.remove(&entry.id).is_some();
        if !lapsed && self.entries.get(&entry.id) == Some(&entry) {
            return RosterChange::Same;
        }
        self.entries.insert(entry.id.clone(), entry.clone());
        RosterChange::Changed(entry)
    }

    /// Removes a target that no longer has a usable record.
    pub fn remove(&mut self, id: &str) -> RosterChange {
        self.lapsing.remove(id);
        match self.entries.remove(id) {
            Some(entry) => RosterChange::Removed(entry.id),
            None => RosterChange::Same,
        }
    }

    /// Applies a removal that the store made around an outage: the target stays for a grace period
    /// after the store is back, unless it is draining.
    pub fn remove_lapsed(&mut self, id: &str, store_back_at: Instant) -> RosterChange {
        let Some(entry) = self.entries.get(id) else {
            return RosterChange::Same;
        };
        if entry.draining {
            return self.remove(id);
        }
        let until = store_back_at + LAPSE_GRACE_PERIOD;
        self.lapsing.insert(entry.id.clone(), until);
        RosterChange::Lapsing(entry.id.clone(), until)
    }

    /// Removes the targets whose grace period has ended, and returns them.
    pub fn expire(&mut self, now: Instant) -> SmallVec<[Arc<str>; 4]> {
        let due = |until: &Instant| *until <= now;
        let expired: SmallVec<[Arc<str>; 4]> = self
            .lapsing
            .iter()
            .filter(|(_, until)| due(until))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &expired {
            self.lapsing.remove(id);
            self.entries.remove(id);
        }
        expired
    }

    /// Returns whether the roster holds no target.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
