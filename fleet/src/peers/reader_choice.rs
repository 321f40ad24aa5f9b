//! The choice of the entry that reads the store for the others.

use crate::mirror::{StoreEra, StorePosition};
use crate::prelude::*;

use super::message::{PeerHeartbeat, StoreTopic};
use super::peer_table::PeerTable;

/// The age of a copy at which an entry reads the store itself, whichever entry is chosen. With the
/// spread, the check and the read it stays within the bounds on configurations and on targets that
/// leave; without them it is longer than a confirmation takes through two data centres.
const MAX_COPY_AGE: Duration = Duration::from_millis(1_100);

/// The random part of that age, as a fraction: entries that find their copies old do not all read.
const AGE_SPREAD: f64 = 0.2;

/// How long a copy may be behind a peer's that is not pulled: longer than one pull takes at most.
const MAX_LAG: Duration = Duration::from_millis(700);

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
    /// Since when peers have been ahead of this entry's copy while nothing new came.
    pub behind_since: Option<Instant>,
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
/// The reader is the entry with the lowest name hash of those that reach the store. Where it says
/// that it fails, the next one takes over at once. Any other entry reads as well once its copy is too
/// old, for example behind a network partition, or known to be behind and not pulled in time.
pub fn choose_reader(input: &ReaderInput, peers: &PeerTable, now: Instant) -> ReaderChoice {
    let (failing, sound): (Vec<&PeerHeartbeat>, Vec<&PeerHeartbeat>) = peers
        .recent_heartbeats(now)
        .map(|(_, _, heartbeat)| heartbeat)
        .filter(|heartbeat| heartbeat.sender < input.own && !heartbeat.draining)
        .partition(|heartbeat| heartbeat.fails(input.topic));
    let has_lower_reader = sound.iter().any(|heartbeat| {
        let reads = heartbeat
            .position(input.topic)
            .is_some_and(|at| at.age_ms < READER_TIMEOUT_MS && input.era <= at.changed_end.era);
        reads && heartbeat.covers(input.topic, input.end)
    });
    let own_age = input
        .own_read_at
        .map(|at| now.saturating_duration_since(at));
    let reaches_store =
        own_age.is_some_and(|age| age < Duration::from_millis(u64::from(READER_TIMEOUT_MS)));
    let takes_over = !failing.is_empty() && sound.is_empty();
    if takes_over || (!has_lower_reader && reaches_store) {
        return ReaderChoice::Reader;
    }
    if input
        .behind_since
        .is_some_and(|since| since + MAX_LAG <= now)
    {
        return ReaderChoice::Stale;
    }
    let confirmed_at = peers
        .confirmed_copy_at(input.topic, input.era, input.end, now)
        .max(input.own_read_at);
    let limit = MAX_COPY_AGE.mul_f64(1.0 + AGE_SPREAD * input.jitter);
    match confirmed_at {
        Some(at) if now < at + limit => ReaderChoice::Skip,
        _ => ReaderChoice::Stale,
    }
}

/// Returns the time up to which a read shows all that was written, by when it was sent, how long it
/// waits for records, how many it found, and when its answer was handled.
///
/// Only a read that has waited in vain shows more than what was there when it was sent. When its
/// answer was handled says nothing: the process may have stood still in between.
pub fn confirmed_until(
    asked_at: Instant,
    wait: Duration,
    n_records: usize,
    answered_at: Instant,
) -> Instant {
    let waited_until = asked_at + wait;
    match n_records == 0 && waited_until <= answered_at {
        true => waited_until,
        false => asked_at,
    }
}
