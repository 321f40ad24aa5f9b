//! Randomised reconnect delays, so that many processes do not reconnect at the same time.

use rand::{Rng, RngExt};

use crate::prelude::*;

/// The upper bound of the first delay.
const FIRST_MAX_DELAY: Duration = Duration::from_secs(4);
/// The upper bound of every delay.
const MAX_DELAY: Duration = Duration::from_secs(16);
/// The lower bound of every delay.
const MIN_DELAY: Duration = Duration::from_millis(50);

/// Returns the delay before connection attempt `attempt` (from 0) to a peer or to the log.
///
/// The delay is uniformly distributed, and its upper bound doubles with each attempt. With the
/// first bound, 540 processes that lose the log together make about 135 attempts per second.
pub fn reconnect_delay(attempt: u32, rng: &mut impl Rng) -> Duration {
    let max_delay = FIRST_MAX_DELAY
        .saturating_mul(1 << attempt.min(8))
        .min(MAX_DELAY);
    let micros = rng.random_range(MIN_DELAY.as_micros() as u64..=max_delay.as_micros() as u64);
    Duration::from_micros(micros)
}
