//! Fan-out of large messages through some of their receivers.

use crate::prelude::*;

/// The most processes that get a large message directly from its sender. Each forwards it to a
/// part of the others, so that a narrow link sends a map of 72 ranks in a few dozen milliseconds.
const MAX_DIRECT_RECEIVERS: usize = 16;

/// Divides receivers into batches; the first of each batch forwards the message to the rest.
pub fn relay_batches<T: Copy>(receivers: &[T]) -> SmallVec<[(T, Vec<T>); MAX_DIRECT_RECEIVERS]> {
    let len = receivers.len().div_ceil(MAX_DIRECT_RECEIVERS).max(1);
    receivers
        .chunks(len)
        .map(|batch| (batch[0], batch[1..].to_vec()))
        .collect()
}
