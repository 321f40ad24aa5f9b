//! Follows one shard, first for new keys and then for its whole window.

use crate::prelude::*;

use super::fold::{KeyState, ShardFold};
use super::key::OrderKey;
use super::log_event::LogPage;
use super::settings::OrderWindow;
use super::shard_reader::{PageEffect, ReadStep, ShardReader};

/// Follows the end of one shard's stream.
///
/// The narrow reader covers only seconds of the stream, so that new keys are served soon. The wide
/// reader then reads the whole window and replaces the narrow one when it has caught up.
#[derive(Clone, Debug)]
pub struct ShardTail {
    window: OrderWindow,
    narrow: ShardReader,
    wide: Option<ShardReader>,
    next_reader: NextReader,
    last_used: Timestamp,
}

/// Which reader sends the next read while both exist.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NextReader {
    Narrow,
    Wide,
}

impl ShardTail {
    /// Creates a tail whose narrow reader covers all records since the given time.
    pub fn covering(window: OrderWindow, since: Timestamp, now: Timestamp) -> Self {
        Self {
            window,
            narrow: ShardReader::covering(window, since),
            wide: None,
            next_reader: NextReader::Narrow,
            last_used: now,
        }
    }

    /// Records that the shard is in use.
    pub fn touch(&mut self, now: Timestamp) {
        self.last_used = now;
    }

    /// Returns when the shard was last used.
    pub fn last_used(&self) -> Timestamp {
        self.last_used
    }

    /// Returns the fold once its reader has reached the end of the stream.
    pub fn fold(&self) -> Option<&ShardFold> {
        self.narrow.fold()
    }

    /// Returns the state of a key.
    pub fn state_of(&self, key: &OrderKey) -> KeyState {
        match self.fold() {
            Some(fold) => fold.state_of(key),
            None => KeyState::NotCovered,
        }
    }

    /// Returns the next read; the two readers alternate while both exist.
    pub fn next_read(&self) -> ReadStep {
        match (&self.wide, self.next_reader) {
            (Some(wide), NextReader::Wide) => wide.next_read(),
            _ => self.narrow.next_read(),
        }
    }

    /// Processes the page returned for the read that [`Self::next_read`] requested.
    pub fn on_page(&mut self, now: Timestamp, page: &LogPage) -> PageEffect {
        match (&mut self.wide, self.next_reader) {
            (Some(wide), NextReader::Wide) => {
                let mut effect = wide.on_page(now, page);
                self.next_reader = NextReader::Narrow;
                effect.reached_end = self.replace_narrow();
                effect
            }
            _ => {
                let effect = self.narrow.on_page(now, page);
                if effect.reached_end && self.wide.is_none() {
                    self.start_wide(now);
                }
                if self.wide.is_some() {
                    self.next_reader = NextReader::Wide;
                }
                effect
            }
        }
    }

    fn start_wide(&mut self, now: Timestamp) {
        let reach = self.window.validity + self.window.skew + self.window.regression * 2;
        let since = now - reach;
        if since < self.narrow.since() {
            self.wide = Some(ShardReader::covering(self.window, since));
        }
    }

    /// Replaces the narrow reader by the wide one if that has read at least as far; returns whether
    /// it did.
    fn replace_narrow(&mut self) -> bool {
        let narrow_next = self.fold().map(ShardFold::next_offset);
        let wide_next = self
            .wide
            .as_ref()
            .and_then(ShardReader::fold)
            .map(ShardFold::next_offset);
        if wide_next.is_none() || wide_next < narrow_next {
            return false;
        }
        if let Some(wide) = self.wide.take() {
            self.narrow = wide;
        }
        true
    }
}
