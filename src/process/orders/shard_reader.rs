//! Reading one shard from a point in time to its end.

use crate::prelude::*;

use super::fold::{RecordEffect, ShardFold};
use super::key::OrderKey;
use super::log_event::LogPage;
use super::settings::OrderWindow;

/// Finds the place of a time in a shard's stream, then folds all records from there.
#[derive(Clone, Debug)]
pub struct ShardReader {
    window: OrderWindow,
    since: Timestamp,
    phase: ReadPhase,
}

#[derive(Clone, Debug)]
enum ReadPhase {
    /// The bounds of the stream are not known.
    Probe,
    /// The last record before the time lies in `low..high`.
    Search { low: LogOffset, high: LogOffset },
    /// Records are folded.
    Follow { fold: ShardFold, level: bool },
}

/// What a reader asks for next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadStep {
    /// The first offset.
    pub from: LogOffset,
    /// The size of the read.
    pub size: ReadSize,
}

/// The size of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadSize {
    /// One record, to look at its time.
    One,
    /// As many as allowed.
    Many,
    /// As many as allowed, after waiting for the first.
    Tail,
}

/// What a page did.
#[derive(Clone, Debug, Default)]
pub struct PageEffect {
    /// The keys whose state may have changed.
    pub touched: Vec<OrderKey>,
    /// Whether the reader was level with the end of the stream for the first time.
    pub became_level: bool,
}

impl ShardReader {
    /// Creates a reader that covers all records since a time.
    pub fn covering(window: OrderWindow, since: Timestamp) -> Self {
        Self {
            window,
            since,
            phase: ReadPhase::Probe,
        }
    }

    /// Returns the time since which all records are to be covered.
    pub fn since(&self) -> Timestamp {
        self.since
    }

    /// Returns the fold once it has been level with the end of the stream.
    pub fn fold(&self) -> Option<&ShardFold> {
        match &self.phase {
            ReadPhase::Follow { fold, level: true } => Some(fold),
            _ => None,
        }
    }

    /// Returns the read that comes next.
    pub fn next_read(&self) -> ReadStep {
        match &self.phase {
            ReadPhase::Probe => ReadStep::new(LogOffset(1), ReadSize::One),
            ReadPhase::Search { low, high } => ReadStep::new(middle(*low, *high), ReadSize::One),
            ReadPhase::Follow { fold, level: false } => {
                ReadStep::new(fold.next_offset(), ReadSize::Many)
            }
            ReadPhase::Follow { fold, level: true } => {
                ReadStep::new(fold.next_offset(), ReadSize::Tail)
            }
        }
    }

    /// Takes in the page of the read that [`Self::next_read`] asked for.
    pub fn on_page(&mut self, now: Timestamp, page: &LogPage) -> PageEffect {
        match &mut self.phase {
            ReadPhase::Probe => self.probe(now, page),
            ReadPhase::Search { .. } => self.search(page),
            ReadPhase::Follow { fold, level } => return follow(fold, level, page),
        }
        PageEffect::default()
    }

    fn probe(&mut self, now: Timestamp, page: &LogPage) {
        if page.oldest == page.tail {
            let fold = ShardFold::after_retention(self.window, page.tail, now);
            self.phase = ReadPhase::Follow { fold, level: false };
            return;
        }
        self.narrow(page.oldest, page.tail);
    }

    fn search(&mut self, page: &LogPage) {
        let ReadPhase::Search { low, high } = self.phase else {
            return;
        };
        let asked = middle(low, high);
        let before = page
            .records
            .first()
            .is_some_and(|entry| entry.at <= self.since);
        let (low, high) = if before { (asked, high) } else { (low, asked) };
        self.narrow(low.max(page.oldest).min(high), high);
    }

    fn narrow(&mut self, low: LogOffset, high: LogOffset) {
        self.phase = if high.0 <= low.0 + 1 {
            ReadPhase::Follow {
                fold: ShardFold::starting_at(self.window, low),
                level: false,
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

fn middle(low: LogOffset, high: LogOffset) -> LogOffset {
    LogOffset(low.0 + (high.0.saturating_sub(low.0)) / 2)
}

fn follow(fold: &mut ShardFold, level: &mut bool, page: &LogPage) -> PageEffect {
    let mut effect = PageEffect::default();
    for entry in &page.records {
        match fold.apply(entry.offset, entry.at, &entry.value) {
            RecordEffect::Repeated | RecordEffect::Unreadable => {}
            RecordEffect::Decided(key)
            | RecordEffect::Settled(key)
            | RecordEffect::Later(key)
            | RecordEffect::OutsideWindow(key) => effect.touched.push(key),
        }
    }
    if !*level && page.tail <= fold.next_offset() {
        *level = true;
        effect.became_level = true;
    }
    effect
}
