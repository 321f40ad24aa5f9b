//! What a rank's requests chose since it was last told.

use crate::prelude::*;

/// The age of the last counts at which a window no longer tells what is liked now.
const LONGEST_WINDOW: Duration = Duration::from_millis(1_500);

/// The ranks of a group whose counts are gathered. The counts of 16 ranks with 144 experts in each
/// of 12 sets take some 40 KB a round; four rounds a second are a sixth of a link of 8 Mbit/s.
/// Sixteen ranks run some hundred requests at once, which tells what all of them choose.
const COUNTED_RANKS: u32 = 16;

/// The counts of a rank as they were last told, so that only the choices since are told next.
#[derive(Debug, Default)]
pub struct CountWindow {
    last: Option<(Instant, Vec<u32>)>,
}

impl CountWindow {
    /// Returns the choices since the last call, from the counts since the rank's start; none where
    /// the last call was too long ago, or the counts have started anew.
    pub fn advance(&mut self, counts: Vec<u32>, now: Instant) -> Vec<u32> {
        let window = match &self.last {
            Some((at, last)) if now < *at + LONGEST_WINDOW && last.len() == counts.len() => {
                let pairs = counts.iter().zip(last);
                pairs.map(|(now, last)| now.checked_sub(*last)).collect()
            }
            _ => None,
        };
        self.last = Some((now, counts));
        window.unwrap_or_default()
    }
}

/// Returns whether a rank's counts are gathered: those of some ranks, evenly spread over a large
/// group, and of all ranks of a small one.
pub fn is_counted(rank: u16, size: u16) -> bool {
    let (rank, size) = (u32::from(rank), u32::from(size.max(1)));
    let share = |rank: u32| rank * COUNTED_RANKS / size;
    size <= COUNTED_RANKS || rank == 0 || share(rank) != share(rank - 1)
}
