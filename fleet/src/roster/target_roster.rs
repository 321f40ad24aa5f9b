//! The targets that may get work.

use std::collections::HashMap;

use crate::prelude::*;

/// How long a record that vanished around an outage of the store stays usable after the store's
/// return. The platform restores the records of live targets within about two seconds.
const LAPSE_GRACE: Duration = Duration::from_millis(2_000);

/// The targets that may get work, from the records as they were read.
#[derive(Debug, Default)]
pub struct TargetRoster {
    entries: HashMap<Arc<str>, TargetEntry>,
    lapsing: HashMap<Arc<str>, Instant>,
}

/// What a record changed.
#[derive(Clone, Debug, PartialEq)]
pub enum RosterChange {
    /// A target came or changed.
    Changed(TargetEntry),
    /// A target is gone.
    Removed(Arc<str>),
    /// A target's record lapsed around an outage; the target counts until the time given.
    Lapsing(Arc<str>, Instant),
    /// Nothing that matters to routing changed.
    Same,
}

impl TargetRoster {
    /// Takes in a target's record.
    pub fn insert(&mut self, entry: TargetEntry) -> RosterChange {
        let lapsed = self.lapsing.remove(&entry.id).is_some();
        if !lapsed && self.entries.get(&entry.id) == Some(&entry) {
            return RosterChange::Same;
        }
        self.entries.insert(entry.id.clone(), entry.clone());
        RosterChange::Changed(entry)
    }

    /// Takes in that a target has no usable record any more.
    pub fn remove(&mut self, id: &str) -> RosterChange {
        self.lapsing.remove(id);
        match self.entries.remove(id) {
            Some(entry) => RosterChange::Removed(entry.id),
            None => RosterChange::Same,
        }
    }

    /// Takes in a removal that the store made while it was unavailable: the target counts until
    /// `LAPSE_GRACE` after the store's return.
    pub fn remove_lapsed(&mut self, id: &str, store_back_at: Instant) -> RosterChange {
        let Some(entry) = self.entries.get(id) else {
            return RosterChange::Same;
        };
        if entry.draining {
            return self.remove(id);
        }
        let until = store_back_at + LAPSE_GRACE;
        self.lapsing.insert(entry.id.clone(), until);
        RosterChange::Lapsing(entry.id.clone(), until)
    }

    /// Removes the lapsed targets whose records have not come back in time.
    pub fn expire(&mut self, now: Instant) -> SmallVec<[Arc<str>; 4]> {
        let due = |until: &Instant| *until <= now;
        let gone: SmallVec<[Arc<str>; 4]> = self
            .lapsing
            .iter()
            .filter(|(_, until)| due(until))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &gone {
            self.lapsing.remove(id);
            self.entries.remove(id);
        }
        gone
    }

    /// Returns whether no target is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
