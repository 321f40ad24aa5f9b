//! Expert choices of a rank's requests between two reports.

use crate::prelude::*;

/// The longest window whose choices still reflect the current popularity of experts.
const MAX_WINDOW: Duration = Duration::from_millis(1_500);

/// The maximum number of ranks of a group whose counts are collected. The counts of 16 ranks with
/// 144 experts in each of 12 layer sets take about 40 KB per round; four rounds per second use a
/// sixth of an 8 Mbit/s link. Sixteen ranks run about a hundred requests at once, which is a
/// representative sample of the group's choices.
const MAX_COUNTED_RANKS: u32 = 16;

/// The last reported counts of a rank, so that each report holds only the choices made since.
#[derive(Debug, Default)]
pub struct CountWindow {
    last: Option<(Instant, Vec<u32>)>,
}

impl CountWindow {
    /// Returns the choices since the last call, given the counts since the rank's start. The result
    /// is empty if the last call was too long ago or the counts were reset.
    pub fn advance(&mut self, counts: Vec<u32>, now: Instant) -> Vec<u32> {
        let window = match &self.last {
            Some((at, last)) if now < *at + MAX_WINDOW && last.len() == counts.len() => {
                let pairs = counts.iter().zip(last);
                pairs.map(|(now, last)| now.checked_sub(*last)).collect()
            }
            _ => None,
        };
        self.last = Some((now, counts));
        window.unwrap_or_default()
    }
}

/// Returns whether a rank's counts are collected: those of all ranks in a small group, and of an
/// evenly spread sample in a large one.
pub fn is_counted(rank: u16, size: u16) -> bool {
    let (rank, size) = (u32::from(rank), u32::from(size.max(1)));
    let sample_idx = |rank: u32| rank * MAX_COUNTED_RANKS / size;
    size <= MAX_COUNTED_RANKS || rank == 0 || sample_idx(rank) != sample_idx(rank - 1)
}
