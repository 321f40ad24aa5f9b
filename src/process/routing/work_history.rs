//! An agent's record of ended work.

use std::collections::{HashMap, VecDeque};

use crate::prelude::*;
use crate::request::work_id::WorkId;

/// The maximum number of records of ended work.
const MAX_ENDED: usize = 32_768;
/// How long a record is kept at least, unless `MAX_ENDED` is exceeded.
const ENDED_TTL: Duration = Duration::from_secs(600);

/// Records ended work, including tombstones of work that never started, for a bounded time
/// and up to a bounded number.
///
/// For dropped records it keeps the latest time of acceptance per entry VM, by that entry's
/// own clock: work accepted no later may have ended here.
#[derive(Debug, Default)]
pub(crate) struct WorkHistory {
    ended: HashMap<WorkId, WorkEnd>,
    /// The ended work in the order in which it is dropped.
    oldest_first: VecDeque<EndedWork>,
    dropped_until: HashMap<EntryName, Timestamp>,
}

/// How work ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WorkEnd {
    /// It never started; this tombstone keeps it from starting.
    NeverStarted,
    /// It ran to completion or was stopped.
    Finished,
}

/// The entry VM that accepted a request, and when by that entry's own clock.
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

impl WorkHistory {
    /// Returns how work ended, if that is on record.
    pub(crate) fn find(&self, work: &WorkId) -> Option<WorkEnd> {
        self.ended.get(work).copied()
    }

    /// Records how work ended, and drops the oldest records beyond the bounds.
    pub(crate) fn record(
        &mut self,
        now: Timestamp,
        work: WorkId,
        origin: WorkOrigin,
        end: WorkEnd,
    ) {
        let earlier = self.ended.insert(work, end);
        assert!(earlier.is_none(), "work ends only once");
        self.oldest_first.push_back(EndedWork {
            work,
            origin,
            ended_at: now,
        });
        while let Some(oldest) = self.oldest_first.front() {
            let is_expired = ENDED_TTL <= now.since(oldest.ended_at);
            if !is_expired && self.oldest_first.len() <= MAX_ENDED {
                break;
            }
            self.drop_oldest();
        }
    }

    /// Returns whether the record of work with this origin may have been dropped.
    pub(crate) fn is_forgotten(&self, origin: &WorkOrigin) -> bool {
        self.dropped_until
            .get(&origin.entry)
            .is_some_and(|&accepted_until| origin.accepted_at <= accepted_until)
    }

    fn drop_oldest(&mut self) {
        let Some(oldest) = self.oldest_first.pop_front() else {
            return;
        };
        self.ended.remove(&oldest.work);
        let accepted_until = self.dropped_until.entry(oldest.origin.entry).or_default();
        *accepted_until = oldest.origin.accepted_at.max(*accepted_until);
    }
}
