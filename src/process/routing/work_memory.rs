//! What an agent remembers of work that ended.

use std::collections::{HashMap, VecDeque};

use crate::prelude::*;
use crate::request::work_id::WorkId;

/// The most ended work that an agent remembers.
const MAX_ENDED: usize = 32_768;
/// How long an agent remembers ended work at least, unless there is too much of it.
const ENDED_LIFE: Duration = Duration::from_secs(600);

/// Ended work, tombstones of work that never started among it, bounded in time and number.
///
/// For what is forgotten it keeps the latest time of acceptance for each entry VM, by that
/// entry's own clock: work that is not newer may have ended here.
#[derive(Debug, Default)]
pub(crate) struct WorkMemory {
    ended: HashMap<WorkId, WorkEnd>,
    /// The ended work in the order in which it is forgotten.
    order: VecDeque<EndedWork>,
    forgotten_until: HashMap<EntryName, Timestamp>,
}

/// How work ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WorkEnd {
    /// It never started; the tombstone keeps it from doing so.
    NeverStarted,
    /// It ran to its end, or was stopped.
    Finished,
}

/// Which entry VM took a request in, and when by its own clock.
#[derive(Clone, Debug)]
pub(crate) struct WorkOrigin {
    pub(crate) entry: EntryName,
    pub(crate) accepted_at: Timestamp,
}

#[derive(Clone, Debug)]
struct EndedWork {
    work: WorkId,
    origin: WorkOrigin,
    ended_at: Timestamp,
}

impl WorkMemory {
    /// Returns how work ended, where that is remembered.
    pub(crate) fn end_of(&self, work: &WorkId) -> Option<WorkEnd> {
        self.ended.get(work).copied()
    }

    /// Remembers how work ended, and forgets the oldest within the bounds.
    pub(crate) fn remember(
        &mut self,
        now: Timestamp,
        work: WorkId,
        origin: WorkOrigin,
        end: WorkEnd,
    ) {
        let earlier = self.ended.insert(work, end);
        assert!(earlier.is_none(), "work ends once");
        self.order.push_back(EndedWork {
            work,
            origin,
            ended_at: now,
        });
        while let Some(oldest) = self.order.front() {
            let is_old = ENDED_LIFE <= now.since(oldest.ended_at);
            if !is_old && self.order.len() <= MAX_ENDED {
                break;
            }
            self.forget_oldest();
        }
    }

    /// Returns whether what became of work of this age is not known any longer.
    pub(crate) fn is_forgotten(&self, origin: &WorkOrigin) -> bool {
        self.forgotten_until
            .get(&origin.entry)
            .is_some_and(|&until| origin.accepted_at <= until)
    }

    fn forget_oldest(&mut self) {
        let Some(oldest) = self.order.pop_front() else {
            return;
        };
        self.ended.remove(&oldest.work);
        let until = self.forgotten_until.entry(oldest.origin.entry).or_default();
        *until = oldest.origin.accepted_at.max(*until);
    }
}
