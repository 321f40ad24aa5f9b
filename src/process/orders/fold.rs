//! The fold of one shard's records into the state of its keys.

use std::collections::{BTreeSet, HashMap};

use serde::Deserialize;
use serde_json::Value;

use crate::prelude::*;

use super::digest::BodyDigest;
use super::key::OrderKey;
use super::record::{
    AttemptId, OrderChange, OrderClaim, OrderRecord, OrderSettlement, RECORD_FORMAT,
};
use super::reply::{OrderReply, ReplyReason};
use super::settings::OrderWindow;

/// Maximum number of open claims that are kept after their keys have left the window.
const MAX_EXPIRED_OPEN_CLAIMS: usize = 1_024;

/// The state of a shard's keys after all its records up to an offset.
///
/// Whether a record is valid depends only on the log service's timestamp of the record, never on
/// a local clock, so that all readers agree.
#[derive(Clone, Debug)]
pub struct ShardFold {
    window: OrderWindow,
    next: LogOffset,
    /// All records after this time were folded. Zero if the fold starts at the first offset; `None`
    /// while unknown.
    covered_since: Option<Timestamp>,
    log_time: Timestamp,
    entries: HashMap<OrderKey, KeyEntry>,
    by_time: BTreeSet<(Timestamp, OrderKey)>,
    /// The keys with open claims that have left the window.
    expired_open: BTreeSet<(Timestamp, OrderKey)>,
    n_unreadable: u64,
}

#[derive(Clone, Debug)]
struct KeyEntry {
    offset: LogOffset,
    at: Timestamp,
    attempt: AttemptId,
    decision: KeyDecision,
    settlement: Option<OrderSettlement>,
}

#[derive(Clone, Debug)]
enum KeyDecision {
    Claim(OrderClaim),
    Void,
    NewerFormat,
}

/// The state of a key.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyState {
    /// The coverage of the fold does not reach back far enough to know the state.
    NotCovered,
    /// The key has no valid record so far.
    Free,
    /// The window of the key has ended and the fold holds no record of it.
    Expired,
    /// The first valid record is a claim that isn't settled.
    Claimed(OpenClaim),
    /// The first valid record is a void.
    Voided,
    /// The first valid record is a claim that is settled.
    Settled {
        /// The digest of the claimed service, call and body.
        digest: BodyDigest,
        /// The recorded outcome.
        settlement: OrderSettlement,
    },
    /// The first valid record has a newer format.
    NewerFormat,
}

/// A claim whose outcome is unknown: it has no settlement, or one with an unknown outcome.
#[derive(Clone, Debug, PartialEq)]
pub struct OpenClaim {
    /// The key.
    pub key: OrderKey,
    /// The attempt that claimed it.
    pub attempt: AttemptId,
    /// The offset of the claim.
    pub offset: LogOffset,
    /// The log service's timestamp of the claim.
    pub at: Timestamp,
    /// The claim.
    pub claim: OrderClaim,
}

/// The effect of a record on the state of its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordEffect {
    /// The record is the first valid one and decided the key.
    Decided(OrderKey),
    /// The record settled the key's claim.
    Settled(OrderKey),
    /// The record has no effect: another one came first, or it settles no claim of its attempt, or
    /// a settlement of the same or a higher rank exists.
    Later(OrderKey),
    /// The timestamp of the record lies outside the key's window.
    OutsideWindow(OrderKey),
    /// The record was folded before.
    Repeated,
    /// The record is not an order record.
    Unreadable,
}

impl ShardFold {
    /// Creates a fold that starts at an offset of the stream; one from the first offset covers all
    /// keys.
    pub fn starting_at(window: OrderWindow, first: LogOffset) -> Self {
        let covered_since = (first <= LogOffset(1)).then_some(Timestamp(0));
        Self {
            window,
            next: first.max(LogOffset(1)),
            covered_since,
            log_time: Timestamp(0),
            entries: HashMap::new(),
            by_time: BTreeSet::new(),
            expired_open: BTreeSet::new(),
            n_unreadable: 0,
        }
    }

    /// Creates a fold at the end of a stream whose records were all dropped by retention.
    ///
    /// Half of the retention is the margin for the difference between the local clock and the log
    /// service's.
    pub fn after_retention(window: OrderWindow, tail: LogOffset, now: Timestamp) -> Self {
        let mut fold = Self::starting_at(window, tail);
        let dropped_before = now - window.retention / 2;
        fold.covered_since.get_or_insert(dropped_before);
        fold
    }

    /// Returns the offset of the next record to fold.
    pub fn next_offset(&self) -> LogOffset {
        self.next
    }

    /// Returns the highest timestamp of the folded records.
    pub fn log_time(&self) -> Timestamp {
        self.log_time
    }

    /// Returns the number of keys in memory.
    pub fn n_keys(&self) -> usize {
        self.entries.len()
    }

    /// Returns the number of records that could not be read.
    pub fn n_unreadable(&self) -> u64 {
        self.n_unreadable
    }

    /// Folds the record at an offset. A gap before it ends the coverage of older keys.
    pub fn apply(&mut self, offset: LogOffset, at: Timestamp, value: &Value) -> RecordEffect {
        if offset < self.next {
            return RecordEffect::Repeated;
        }
        self.update_coverage(offset, at);
        self.next = offset.next();
        self.log_time = self.log_time.max(at);
        let effect = self.apply_value(offset, at, value);
        self.evict_expired();
        effect
    }

    fn update_coverage(&mut self, offset: LogOffset, at: Timestamp) {
        let gap = self.next < offset;
        if gap || self.covered_since.is_none() {
            // Timestamps may regress: an earlier record has one of at most `at + regression`.
            self.covered_since = Some(at + self.window.regression);
        }
    }

    fn apply_value(&mut self, offset: LogOffset, at: Timestamp, value: &Value) -> RecordEffect {
        let Ok(header) = RecordHeader::deserialize(value) else {
            self.n_unreadable += 1;
            return RecordEffect::Unreadable;
        };
        let Ok(record) = OrderRecord::deserialize(value) else {
            return self.apply_newer_format(offset, at, header);
        };
        if RECORD_FORMAT < record.format {
            return self.apply_newer_format(offset, at, header);
        }
        match record.change {
            OrderChange::Claim(claim) => {
                let entry = KeyEntry::new(offset, at, record.attempt, KeyDecision::Claim(claim));
                self.decide(record.key, entry)
            }
            OrderChange::Void(_) => {
                let entry = KeyEntry::new(offset, at, record.attempt, KeyDecision::Void);
                self.decide(record.key, entry)
            }
            OrderChange::Settle(settlement) => self.settle(record.key, record.attempt, settlement),
        }
    }

    /// Closes the key of a record in a newer format, because that record may be a claim.
    fn apply_newer_format(
        &mut self,
        offset: LogOffset,
        at: Timestamp,
        header: RecordHeader,
    ) -> RecordEffect {
        self.n_unreadable += 1;
        let entry = KeyEntry::new(offset, at, header.attempt, KeyDecision::NewerFormat);
        self.decide(header.key, entry)
    }

    fn decide(&mut self, key: OrderKey, entry: KeyEntry) -> RecordEffect {
        let time = key.time();
        let too_early = entry.at + self.window.skew < time;
        let too_late = time + self.window.validity < entry.at;
        if too_early || too_late {
            return RecordEffect::OutsideWindow(key);
        }
        if self.entries.contains_key(&key) {
            return RecordEffect::Later(key);
        }
        self.by_time.insert((time, key.clone()));
        self.entries.insert(key.clone(), entry);
        RecordEffect::Decided(key)
    }

    fn settle(
        &mut self,
        key: OrderKey,
        attempt: AttemptId,
        settlement: OrderSettlement,
    ) -> RecordEffect {
        let Some(entry) = self.entries.get_mut(&key) else {
            return RecordEffect::Later(key);
        };
        let claimed = matches!(entry.decision, KeyDecision::Claim(_)) && entry.attempt == attempt;
        let before = entry.settlement.as_ref().map(OrderSettlement::rank);
        if !claimed || before.is_some_and(|rank| settlement.rank() <= rank) {
            return RecordEffect::Later(key);
        }
        entry.settlement = Some(settlement);
        if !entry.is_open() {
            self.expired_open.remove(&(key.time(), key.clone()));
        }
        RecordEffect::Settled(key)
    }

    /// Returns whether all records that can be valid for a key have been folded, up to the present
    /// offset.
    pub fn covers(&self, key: &OrderKey) -> bool {
        let first_valid = key.time() - self.window.skew;
        self.covered_since
            .is_some_and(|since| since == Timestamp(0) || since < first_valid)
    }

    /// Returns the state of a key.
    pub fn state_of(&self, key: &OrderKey) -> KeyState {
        if !self.covers(key) {
            return KeyState::NotCovered;
        }
        let Some(entry) = self.entries.get(key) else {
            let expires = key.time() + self.window.validity;
            return if expires < self.log_time {
                KeyState::Expired
            } else {
                KeyState::Free
            };
        };
        match (&entry.decision, &entry.settlement) {
            (KeyDecision::Void, _) => KeyState::Voided,
            (KeyDecision::NewerFormat, _) => KeyState::NewerFormat,
            (KeyDecision::Claim(claim), Some(settlement)) => KeyState::Settled {
                digest: claim.digest,
                settlement: settlement.clone(),
            },
            (KeyDecision::Claim(claim), None) => KeyState::Claimed(entry.open_claim(key, claim)),
        }
    }

    /// Returns the claims with an unknown outcome, ordered by offset.
    pub fn open_claims(&self) -> Vec<OpenClaim> {
        let mut claims: Vec<_> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.is_open())
            .filter_map(|(key, entry)| match &entry.decision {
                KeyDecision::Claim(claim) => Some(entry.open_claim(key, claim)),
                KeyDecision::Void | KeyDecision::NewerFormat => None,
            })
            .collect();
        claims.sort_by_key(|claim| claim.offset);
        claims
    }

    /// Evicts the keys whose time lies before `time`, except a bounded number of open claims.
    pub fn evict_before(&mut self, time: Timestamp) {
        while let Some((key_time, _)) = self.by_time.first() {
            if time <= *key_time {
                break;
            }
            let Some((key_time, key)) = self.by_time.pop_first() else {
                break;
            };
            if self.entries.get(&key).is_some_and(KeyEntry::is_open) {
                self.expired_open.insert((key_time, key));
            } else {
                self.entries.remove(&key);
            }
        }
        while MAX_EXPIRED_OPEN_CLAIMS < self.expired_open.len() {
            if let Some((_, key)) = self.expired_open.pop_first() {
                self.entries.remove(&key);
            }
        }
    }

    fn evict_expired(&mut self) {
        let kept = self.window.validity + self.window.regression;
        self.evict_before(self.log_time - kept);
    }
}

impl KeyState {
    /// Returns the reply to a try with the digest `tried`; `None` while the outcome is undecided.
    pub fn reply_to(&self, tried: BodyDigest, retry_after: Duration) -> Option<OrderReply> {
        match self {
            Self::NotCovered | Self::Free => None,
            Self::Expired => Some(OrderReply::unknown(ReplyReason::KeyExpired, retry_after)),
            Self::NewerFormat => Some(OrderReply::unknown(ReplyReason::NewerFormat, retry_after)),
            Self::Voided => Some(OrderReply::voided()),
            Self::Claimed(open) if open.claim.digest != tried => Some(OrderReply::mismatch()),
            Self::Claimed(_) => None,
            // Also after a not-run, as readers that lag behind it tell the mismatch.
            Self::Settled { digest, .. } if *digest != tried => Some(OrderReply::mismatch()),
            Self::Settled { settlement, .. } => Some(OrderReply::settled(settlement)),
        }
    }
}

impl KeyEntry {
    fn new(offset: LogOffset, at: Timestamp, attempt: AttemptId, decision: KeyDecision) -> Self {
        Self {
            offset,
            at,
            attempt,
            decision,
            settlement: None,
        }
    }

    fn is_open(&self) -> bool {
        let claimed = matches!(self.decision, KeyDecision::Claim(_));
        let rank = self.settlement.as_ref().map(|settlement| settlement.rank());
        claimed && rank.is_none_or(|rank| rank == 0)
    }

    fn open_claim(&self, key: &OrderKey, claim: &OrderClaim) -> OpenClaim {
        OpenClaim {
            key: key.clone(),
            attempt: self.attempt,
            offset: self.offset,
            at: self.at,
            claim: claim.clone(),
        }
    }
}

/// The fields that records of every format have.
#[derive(Deserialize)]
struct RecordHeader {
    key: OrderKey,
    attempt: AttemptId,
}
