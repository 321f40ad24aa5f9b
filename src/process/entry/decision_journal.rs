//! The last routing decisions, for `comfrey explain`.

use std::num::NonZeroUsize;

use lru::LruCache;

use crate::prelude::*;
use crate::process::operator::{DecisionReport, RequestReport};

/// The most requests whose decisions are kept.
const MAX_REQUESTS: NonZeroUsize = NonZeroUsize::new(4_096).unwrap();
/// The most decisions that are kept of one request.
const MAX_DECISIONS: usize = 32;

/// The last routing decisions by request. Its lock is a leaf of the lock order.
#[derive(Debug)]
pub(super) struct DecisionJournal {
    requests: LruCache<RequestId, RequestReport>,
}

impl Default for DecisionJournal {
    fn default() -> Self {
        Self {
            requests: LruCache::new(MAX_REQUESTS),
        }
    }
}

impl DecisionJournal {
    /// Notes a request.
    pub(super) fn open(&mut self, request: RequestId, account: &AccountName) {
        let account = account.clone();
        let report = RequestReport {
            request,
            account,
            decisions: Vec::new(),
            outcome: None,
        };
        self.requests.put(request, report);
    }

    /// Notes a decision.
    pub(super) fn decide(&mut self, now: Timestamp, request: RequestId, decision: String) {
        let Some(report) = self.requests.peek_mut(&request) else {
            return;
        };
        if report.decisions.len() < MAX_DECISIONS {
            report.decisions.push(DecisionReport {
                at_ms: now.as_millis(),
                decision,
            });
        }
    }

    /// Notes the outcome.
    pub(super) fn close(&mut self, request: RequestId, outcome: RequestOutcome) {
        if let Some(report) = self.requests.peek_mut(&request) {
            report.outcome = Some(outcome);
        }
    }

    /// Returns what is known of a request.
    pub(super) fn explain(&self, request: RequestId) -> Option<RequestReport> {
        self.requests.peek(&request).cloned()
    }
}
