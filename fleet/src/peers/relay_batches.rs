//! Large messages to many processes, passed on by some of them.

use crate::prelude::*;

/// The processes that get a large message from its sender itself. Each passes it on to its part of
/// the others, so that a narrow link sends a map of 72 ranks in a few dozen milliseconds.
const RELAY_FAN: usize = 16;

/// Divides processes into batches: the first of each batch passes a message on to its others.
pub fn relay_batches<T: Copy>(receivers: &[T]) -> SmallVec<[(T, Vec<T>); RELAY_FAN]> {
    let len = receivers.len().div_ceil(RELAY_FAN).max(1);
    receivers
        .chunks(len)
        .map(|batch| (batch[0], batch[1..].to_vec()))
        .collect()
}
