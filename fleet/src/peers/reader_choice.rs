//! The choice of the entry that reads the store for the others.

use crate::mirror::{StoreEra, StorePosition};
use crate::prelude::*;

use super::message::StoreTopic;
use super::peer_table::PeerTable;

/// The age of the targets' records at which an entry reads the store itself, whichever entry is
/// chosen. Together with the time of a read it stays within the bound on how long a leaving target
/// is still sent requests.
const MAX_TARGETS_AGE: Duration = Duration::from_millis(1_000);

/// The age of the configuration at which an entry reads the store itself.
const MAX_OPERATOR_AGE: Duration = Duration::from_millis(1_900);

/// The age of the last confirmed read, in milliseconds, at which an entry no longer counts as a
/// reader.
const READER_TIMEOUT_MS: u32 = 2_500;

/// The state that the choice depends on.
#[derive(Clone, Copy, Debug)]
pub struct ReaderInput {
    /// The topic to read.
    pub topic: StoreTopic,
    /// The hash of this entry's name.
    pub own: u64,
    /// The newest era of the store that this entry knows of; peers that still hold copies of an
    /// older one do not reach the store.
    pub era: StoreEra,
    /// The end of this entry's copy.
    pub end: StorePosition,
    /// The last time at which this entry read the topic itself.
    pub own_read_at: Option<Instant>,
    /// A random number from `0.0..1.0` that spreads the reads of entries with stale copies.
    pub jitter: f64,
}

/// Whether an entry reads the store now, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReaderChoice {
    /// The entry is the reader for all entries that receive its heartbeats.
    Reader,
    /// The entry is not the reader, but its copy is too old.
    Stale,
    /// The entry need not read: another entry reads, and its copy is fresh enough.
    Skip,
}

/// Chooses whether an entry reads a topic.
///
/// The reader is the entry with the lowest name hash of those that reach the store. Any other entry
/// reads as well once its copy is too old, for example behind a network partition.
pub fn choose_reader(input: &ReaderInput, peers: &PeerTable, now: Instant) -> ReaderChoice {
    let own_age = input
        .own_read_at
        .map(|at| now.saturating_duration_since(at));
    let has_lower_reader = peers.recent_heartbeats(now).any(|(_, _, heartbeat)| {
        let reads = heartbeat
            .position(input.topic)
            .is_some_and(|at| at.age_ms < READER_TIMEOUT_MS && input.era <= at.changed_end.era);
        let covers = heartbeat.covers(input.topic, input.end);
        heartbeat.sender < input.own && reads && covers && !heartbeat.draining
    });
    let reaches_store =
        own_age.is_some_and(|age| age < Duration::from_millis(u64::from(READER_TIMEOUT_MS)));
    if !has_lower_reader && reaches_store {
        return ReaderChoice::Reader;
    }
    let confirmed_at = peers
        .confirmed_copy_at(input.topic, input.era, input.end, now)
        .max(input.own_read_at);
    let max_age = match input.topic {
        StoreTopic::Targets => MAX_TARGETS_AGE,
        StoreTopic::Operator | StoreTopic::Peers => MAX_OPERATOR_AGE,
    };
    let limit = max_age.mul_f64(1.0 + 0.3 * input.jitter);
    match confirmed_at {
        Some(at) if now < at + limit => ReaderChoice::Skip,
        _ => ReaderChoice::Stale,
    }
}
