//! Which entry reads the store for the others.

use crate::prelude::*;

use super::message::StoreTopic;
use super::peer_table::PeerTable;

/// The age of a copy at which an entry reads the store by itself, whoever is chosen. With the time
/// of a read it stays within the bound on work for leaving targets.
const STALE_TARGETS: Duration = Duration::from_millis(1_000);

/// The age of the configuration at which an entry reads it by itself.
const STALE_OPERATOR: Duration = Duration::from_millis(1_900);

/// The age beyond which an entry that claims to read the store is no reader.
const READER_AGE_MS: u32 = 2_500;

/// What the choice is made from.
#[derive(Clone, Copy, Debug)]
pub struct ReaderInput {
    /// The topic.
    pub topic: StoreTopic,
    /// The hash of this entry's name.
    pub own: u64,
    /// The last time at which this entry read the topic itself.
    pub own_read_at: Option<Instant>,
    /// A number from `0.0..1.0`, so that entries do not all read at once.
    pub jitter: f64,
}

/// Whether an entry reads the store now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReaderChoice {
    /// It reads for all that hear it.
    Reader,
    /// It is not the reader, but its copy is too old.
    Stale,
    /// Others keep its copy fresh.
    Skip,
}

/// Chooses whether an entry reads a topic: the lowest name does, of those that reach the store,
/// and everybody whose copy grows old, as behind a partition.
pub fn choose_reader(input: &ReaderInput, peers: &PeerTable, now: Instant) -> ReaderChoice {
    let own_age = input
        .own_read_at
        .map(|at| now.saturating_duration_since(at));
    let lower_reader = peers.heard(now).any(|(_, _, beat)| {
        let reads = beat
            .position(input.topic)
            .is_some_and(|at| at.age_ms < READER_AGE_MS);
        beat.sender < input.own && reads && !beat.draining
    });
    let reaches = own_age.is_some_and(|age| age < Duration::from_millis(u64::from(READER_AGE_MS)));
    if !lower_reader && reaches {
        return ReaderChoice::Reader;
    }
    let known_at = peers.confirmed_at(input.topic, now).max(input.own_read_at);
    let stale = match input.topic {
        StoreTopic::Targets => STALE_TARGETS,
        StoreTopic::Operator | StoreTopic::Peers => STALE_OPERATOR,
    };
    let limit = stale.mul_f64(1.0 + 0.3 * input.jitter);
    match known_at {
        Some(at) if now < at + limit => ReaderChoice::Skip,
        _ => ReaderChoice::Stale,
    }
}
