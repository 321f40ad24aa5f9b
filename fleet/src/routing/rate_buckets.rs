//! Token buckets for the limits of targets that this entry shares out.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// The lowest rate of all entries together, in requests per second: a request now and then tells
/// whether a target with a limit of 0 still has it.
const MIN_RATE: f64 = 0.6;

/// The time in which the tokens beyond the first one are collected.
const BURST_TIME_S: f64 = 0.5;

/// The fewest tokens that a bucket holds, so that the part of the limit between two requests is not
/// lost where it is small.
const MIN_BURST: f64 = 2.0;

/// The shortest time to wait, which bounds the queries for a large limit.
const MIN_WAIT_S: f64 = 0.1;

/// The number of waiting entries from which further ones wait for longer than until the next token.
const MANY_WAITING: f64 = 8.0;

/// The longest time to wait beyond the next token.
const MAX_QUEUE_S: f64 = 1.0;

/// The most buckets that are kept.
const MAX_BUCKETS: usize = 4_096;

/// The age from which an unused bucket may be dropped.
const BUCKET_TTL: Duration = Duration::from_secs(10);

/// Whether a request may be sent to a target with a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitDecision {
    /// It may.
    Granted,
    /// It may not; holds the time after which there may be room.
    Full(Duration),
}

/// Token buckets for the limits of targets that this entry shares out.
#[derive(Debug, Default)]
pub struct RateBuckets {
    buckets: HashMap<u32, RateBucket>,
}

#[derive(Debug)]
struct RateBucket {
    tokens: f64,
    /// The askers that were told to wait and may come back.
    n_waiting: f64,
    updated_at: Instant,
}

impl RateBuckets {
    /// Takes a token for a target, of whose limit, in requests per second, a share is shared out here.
    pub fn take(&mut self, target: u32, limit: f64, share: f64, now: Instant) -> PermitDecision {
        let rate = share * limit.max(MIN_RATE);
        if !self.buckets.contains_key(&target) && !self.has_room(now) {
            return PermitDecision::Full(BUCKET_TTL);
        }
        // Empty at first: another entry may have granted the last tokens a moment ago.
        let bucket = self.buckets.entry(target).or_insert(RateBucket {
            tokens: 0.0,
            n_waiting: 0.0,
            updated_at: now,
        });
        bucket.take(rate, now)
    }

    fn has_room(&mut self, now: Instant) -> bool {
        if MAX_BUCKETS <= self.buckets.len() {
            self.buckets
                .retain(|_, bucket| now < bucket.updated_at + BUCKET_TTL);
        }
        self.buckets.len() < MAX_BUCKETS
    }
}

impl RateBucket {
    fn take(&mut self, rate: f64, now: Instant) -> PermitDecision {
        let elapsed = now.saturating_duration_since(self.updated_at);
        let new_tokens = rate * elapsed.as_secs_f64();
        self.updated_at = now;
        let burst = MIN_BURST.max(1.0 + BURST_TIME_S * rate);
        self.tokens = (self.tokens + new_tokens).min(burst);
        self.n_waiting = (self.n_waiting - new_tokens).max(0.0);
        if 1.0 <= self.tokens {
            self.tokens -= 1.0;
            return PermitDecision::Granted;
        }
        let n_before = (self.n_waiting - MANY_WAITING).max(0.0);
        self.n_waiting += 1.0;
        let token_s = ((1.0 - self.tokens) / rate).max(MIN_WAIT_S);
        let queue_s = (n_before / rate).min(MAX_QUEUE_S);
        PermitDecision::Full(Duration::from_secs_f64(token_s + queue_s))
    }
}
