//! Following one shard, first for new keys and then for its whole window.

use crate::prelude::*;

use super::fold::{KeyState, ShardFold};
use super::key::OrderKey;
use super::log_event::LogPage;
use super::settings::OrderWindow;
use super::shard_reader::{PageEffect, ReadStep, ShardReader};

/// Follows one shard.
///
/// The first reader covers seconds of the stream, so that new keys are served soon. A second one
/// then reads the whole window and takes the place of the first when it is level.
#[derive(Clone, Debug)]
pub struct ShardTail {
    window: OrderWindow,
    narrow: ShardReader,
    wide: Option<ShardReader>,
    wide_turn: WideTurn,
    last_used: Timestamp,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WideTurn {
    No,
    Yes,
}

impl ShardTail {
    /// Creates a tail that first covers all records since a time.
    pub fn covering(window: OrderWindow, since: Timestamp, now: Timestamp) -> Self {
        Self {
            window,
            narrow: ShardReader::covering(window, since),
            wide: None,
            wide_turn: WideTurn::No,
            last_used: now,
        }
    }

    /// Notes that the shard is in use.
    pub fn touch(&mut self, now: Timestamp) {
        self.last_used = now;
    }

    /// Returns when the shard was last used.
    pub fn last_used(&self) -> Timestamp {
        self.last_used
    }

    /// Returns the fold, once it was level with the end of the stream.
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

    /// Returns the read that comes next.
    pub fn next_read(&self) -> ReadStep {
        match (&self.wide, self.wide_turn) {
            (Some(wide), WideTurn::Yes) => wide.next_read(),
            _ => self.narrow.next_read(),
        }
    }

    /// Takes in the page of the read that [`Self::next_read`] asked for.
    pub fn on_page(&mut self, now: Timestamp, page: &LogPage) -> PageEffect {
        match (&mut self.wide, self.wide_turn) {
            (Some(wide), WideTurn::Yes) => {
                let mut effect = wide.on_page(now, page);
                self.wide_turn = WideTurn::No;
                effect.became_level = self.widen();
                effect
            }
            _ => {
                let effect = self.narrow.on_page(now, page);
                if effect.became_level && self.wide.is_none() {
                    self.start_wide(now);
                }
                if self.wide.is_some() {
                    self.wide_turn = WideTurn::Yes;
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

    /// Puts the wide reader into the place of the narrow one, once it has read as far.
    fn widen(&mut self) -> bool {
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
