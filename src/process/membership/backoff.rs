//! Delays that keep many processes from acting at once.

use rand::{Rng, RngExt};

use crate::prelude::*;

/// The spread of the first delay.
const FIRST_SPREAD: Duration = Duration::from_secs(4);
/// The longest spread.
const MAX_SPREAD: Duration = Duration::from_secs(16);
/// The shortest delay.
const MIN_DELAY: Duration = Duration::from_millis(50);

/// Returns the delay before try `attempt` (from 0) at a connection to a peer or to the log.
///
/// The delay is uniform over a spread that doubles with each attempt. The first spread keeps
/// 540 processes that lose the log at once to some 135 tries a second.
pub fn reconnect_delay(attempt: u32, rng: &mut impl Rng) -> Duration {
    let spread = FIRST_SPREAD
        .saturating_mul(1 << attempt.min(8))
        .min(MAX_SPREAD);
    let micros = rng.random_range(MIN_DELAY.as_micros() as u64..=spread.as_micros() as u64);
    Duration::from_micros(micros)
}
