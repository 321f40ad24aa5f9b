//! A reader of one shard's stream from a point in time to its end.

use crate::prelude::*;

use super::fold::{RecordEffect, ShardFold};
use super::key::OrderKey;
use super::log_event::LogPage;
use super::settings::OrderWindow;

/// Finds the offset of a time in a shard's stream by binary search, then folds all records from
/// there.
#[derive(Clone, Debug)]
pub struct ShardReader {
    window: OrderWindow,
    since: Timestamp,
    phase: ReadPhase,
}

#[derive(Clone, Debug)]
enum ReadPhase {
    /// The bounds of the stream are unknown.
    Probe,
    /// The last record that is not after `since` lies in `low..high`, if there is one.
    Search { low: LogOffset, high: LogOffset },
    /// Records are folded; `caught_up` is set once the end of the stream was reached.
    Follow { fold: ShardFold, caught_up: bool },
}

/// The next read of a reader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadStep {
    /// The offset of the first record to read.
    pub from: LogOffset,
    /// The size of the read.
    pub size: ReadSize,
}

/// The size of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadSize {
    /// One record, to check its timestamp.
    One,
    /// As many records as allowed.
    Many,
    /// As many records as allowed, waiting for the first one.
    Tail,
}

/// The effect of a page on the fold.
#[derive(Clone, Debug, Default)]
pub struct PageEffect {
    /// The keys whose state may have changed.
    pub changed_keys: Vec<OrderKey>,
    /// Whether a fold has newly reached the end of the stream, so that the state of every key may
    /// have changed.
    pub reached_end: bool,
}

impl ShardReader {
    /// Creates a reader that covers all records since the given time.
    pub fn covering(window: OrderWindow, since: Timestamp) -> Self {
        Self {
            window,
            since,
            phase: ReadPhase::Probe,
        }
    }

    /// Returns the time since which the reader covers all records.
    pub fn since(&self) -> Timestamp {
        self.since
    }

    /// Returns the fold once the reader has reached the end of the stream.
    pub fn fold(&self) -> Option<&ShardFold> {
        match &self.phase {
            ReadPhase::Follow {
                fold,
                caught_up: true,
            } => Some(fold),
            _ => None,
        }
    }

    /// Returns the next read.
    pub fn next_read(&self) -> ReadStep {
        match &self.phase {
            ReadPhase::Probe => ReadStep::new(LogOffset(1), ReadSize::One),
            ReadPhase::Search { low, high } => ReadStep::new(midpoint(*low, *high), ReadSize::One),
            ReadPhase::Follow {
                fold,
                caught_up: false,
            } => ReadStep::new(fold.next_offset(), ReadSize::Many),
            ReadPhase::Follow {
                fold,
                caught_up: true,
            } => ReadStep::new(fold.next_offset(), ReadSize::Tail),
        }
    }

    /// Processes the page returned for the read that [`Self::next_read`] requested.
    pub fn on_page(&mut self, now: Timestamp, page: &LogPage) -> PageEffect {
        match &mut self.phase {
            ReadPhase::Probe => self.probe(now, page),
            ReadPhase::Search { .. } => self.search(page),
            ReadPhase::Follow { fold, caught_up } => return follow(fold, caught_up, page),
        }
        PageEffect::default()
    }

    fn probe(&mut self, now: Timestamp, page: &LogPage) {
        if page.oldest == page.tail {
            let fold = ShardFold::after_retention(self.window, page.tail, now);
            self.phase = ReadPhase::Follow {
                fold,
                caught_up: false,
            };
            return;
        }
        self.narrow_bounds(page.oldest, page.tail);
    }

    fn search(&mut self, page: &LogPage) {
        let ReadPhase::Search { low, high } = self.phase else {
            return;
        };
        let probed = midpoint(low, high);
        let before = page
            .records
            .first()
            .is_some_and(|entry| entry.at <= self.since);
        let (low, high) = if before {
            (probed, high)
        } else {
            (low, probed)
        };
        self.narrow_bounds(low.max(page.oldest).min(high), high);
    }

    fn narrow_bounds(&mut self, low: LogOffset, high: LogOffset) {
        self.phase = if high.0 <= low.0 + 1 {
            ReadPhase::Follow {
                fold: ShardFold::starting_at(self.window, low),
                caught_up: false,
            }
        } else {
            ReadPhase::Search { low, high }
        };
    }
}

impl ReadStep {
    fn new(from: LogOffset, size: ReadSize) -> Self {
        Self { from, size }
    }
}

fn midpoint(low: LogOffset, high: LogOffset) -> LogOffset {
    LogOffset(low.0 + (high.0.saturating_sub(low.0)) / 2)
}

fn follow(fold: &mut ShardFold, caught_up: &mut bool, page: &LogPage) -> PageEffect {
    let mut effect = PageEffect::default();
    for entry in &page.records {
        match fold.apply(entry.offset, entry.at, &entry.value) {
            RecordEffect::Repeated | RecordEffect::Unreadable => {}
            RecordEffect::Decided(key)
            | RecordEffect::Settled(key)
            | RecordEffect::Later(key)
            | RecordEffect::OutsideWindow(key) => effect.changed_keys.push(key),
        }
    }
    if !*caught_up && page.tail <= fold.next_offset() {
        *caught_up = true;
        effect.reached_end = true;
    }
    effect
}
