//! The set of live targets, with a grace period for records lost in an outage of the store.

use std::collections::{HashMap, HashSet};

use crate::prelude::*;

use super::departed_target::DepartedTarget;

/// How long a target whose record disappeared around an outage of the store stays in the roster
/// after the store is back. The platform restores the records of live targets within about two
/// seconds.
const LAPSE_GRACE_PERIOD: Duration = Duration::from_millis(2_000);

/// How long a departed target is remembered, so that an older copy of the store cannot bring it
/// back: many times the age of such a copy, which is some seconds.
const DEPARTED_MEMORY: Duration = Duration::from_secs(60);

/// The most departed targets that are remembered; the oldest are forgotten first.
pub const MAX_DEPARTED: usize = 4_096;

/// The live targets, from their records in the store.
#[derive(Debug, Default)]
pub struct TargetRoster {
    entries: HashMap<Arc<str>, TargetEntry>,
    lapsing: HashMap<Arc<str>, Instant>,
    /// The incarnations that were removed, and when.
    departed: HashMap<DepartedTarget, Instant>,
    /// The targets known only from an older copy of the store, which have not written since.
    restored: HashSet<Arc<str>>,
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
    /// Inserts or updates a target from a record that it has written in the present era of the
    /// store.
    pub fn insert(&mut self, entry: TargetEntry) -> RosterChange {
        self.restored.remove(&entry.id);
        self.departed.remove(&DepartedTarget::of(&entry));
        let lapsed = self.lapsing.remove(&entry.id).is_some();
        if !lapsed && self.entries.get(&entry.id) == Some(&entry) {
            return RosterChange::Same;
        }
        self.entries.insert(entry.id.clone(), entry.clone());
        RosterChange::Changed(entry)
    }

    /// Inserts or updates a target from a record of the copy that the store came back from. An
    /// incarnation that is known to be draining, gone or followed by a later one stays so.
    pub fn restore(&mut self, entry: TargetEntry) -> RosterChange {
        let is_outdated = self.entries.get(&entry.id).is_some_and(|known| {
            let is_same = known.started_ms == entry.started_ms;
            entry.started_ms < known.started_ms || (is_same && known.draining && !entry.draining)
        });
        let is_departed = self
            .departed
            .keys()
            .any(|gone| gone.id == entry.id && entry.started_ms <= gone.started_ms);
        if is_outdated || is_departed {
            return RosterChange::Same;
        }
        let id = entry.id.clone();
        let change = self.insert(entry);
        self.restored.insert(id);
        change
    }

    /// Removes a target that no longer has a usable record.
    pub fn remove(&mut self, id: &str, now: Instant) -> RosterChange {
        self.lapsing.remove(id);
        self.restored.remove(id);
        match self.entries.remove(id) {
            Some(entry) => {
                self.remember(DepartedTarget::of(&entry), now);
                RosterChange::Removed(entry.id)
            }
            None => RosterChange::Same,
        }
    }

    /// Applies a peer's knowledge that an incarnation is draining or gone, and remembers it. A
    /// target that has written its record since the store came back is not affected.
    pub fn depart(&mut self, departed: &DepartedTarget, now: Instant) -> RosterChange {
        let is_live = self
            .entries
            .get(&departed.id)
            .is_some_and(|entry| DepartedTarget::of(entry) == *departed);
        if !is_live {
            self.remember(departed.clone(), now);
            return RosterChange::Same;
        }
        if self.restored.contains(&departed.id) {
            return self.remove(&departed.id, now);
        }
        RosterChange::Same
    }

    /// Returns the incarnations that are draining or gone.
    pub fn departed(&self) -> Vec<DepartedTarget> {
        let draining = self.entries.values().filter(|entry| entry.draining);
        draining
            .map(DepartedTarget::of)
            .chain(self.departed.keys().cloned())
            .collect()
    }

    /// Removes the targets whose grace period ends because another target now has their address.
    pub fn release_address(&mut self, entry: &TargetEntry, now: Instant) -> RosterChange {
        let id = self
            .lapsing
            .keys()
            .find(|id| {
                let lapsing = self.entries.get(*id);
                **id != entry.id && lapsing.is_some_and(|old| old.address == entry.address)
            })
            .cloned();
        id.map_or(RosterChange::Same, |id| self.remove(&id, now))
    }

    /// Restarts the time for which departed targets are remembered, as the store has just come back
    /// from an older copy.
    pub fn renew_departed(&mut self, now: Instant) {
        for departed_at in self.departed.values_mut() {
            *departed_at = now;
        }
    }

    fn remember(&mut self, departed: DepartedTarget, now: Instant) {
        self.departed
            .retain(|_, departed_at| now < *departed_at + DEPARTED_MEMORY);
        if MAX_DEPARTED <= self.departed.len() {
            let oldest = self.departed.iter().min_by_key(|(_, at)| **at);
            if let Some(oldest) = oldest.map(|(oldest, _)| oldest.clone()) {
                self.departed.remove(&oldest);
            }
        }
        self.departed.insert(departed, now);
    }

    /// Applies a removal that the store made around an outage: the target stays for a grace period
    /// after the store is back, unless it is draining or another target has its address.
    pub fn remove_lapsed(
        &mut self,
        id: &str,
        store_back_at: Instant,
        now: Instant,
    ) -> RosterChange {
        let Some(entry) = self.entries.get(id) else {
            return RosterChange::Same;
        };
        let has_successor = self
            .entries
            .values()
            .any(|other| other.id != entry.id && other.address == entry.address);
        if entry.draining || has_successor {
            return self.remove(id, now);
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
            self.remove(id, now);
        }
        expired
    }

    /// Returns whether the roster holds a target as a record describes it.
    pub fn contains(&self, entry: &TargetEntry) -> bool {
        self.entries.get(&entry.id) == Some(entry)
    }

    /// Returns whether the roster holds no target.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
