//! Recent routing decisions, for `comfrey explain`.

use std::num::NonZeroUsize;

use lru::LruCache;

use crate::prelude::*;
use crate::process::operator::{DecisionReport, RequestReport};

/// The maximum number of requests whose decisions are kept.
const MAX_REQUESTS: NonZeroUsize = NonZeroUsize::new(4_096).unwrap();
/// The maximum number of decisions kept per request.
const MAX_DECISIONS: usize = 32;

/// Recent routing decisions by request, with least recently added requests evicted first.
///
/// No other lock is taken while its lock is held.
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
    /// Adds a request.
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

    /// Adds a decision to a request.
    pub(super) fn add_decision(&mut self, now: Timestamp, request: RequestId, decision: String) {
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

    /// Sets the outcome of a request.
    pub(super) fn close(&mut self, request: RequestId, outcome: RequestOutcome) {
        if let Some(report) = self.requests.peek_mut(&request) {
            report.outcome = Some(outcome);
        }
    }

    /// Returns the decisions and the outcome of a request, if it is still kept.
    pub(super) fn explain(&self, request: RequestId) -> Option<RequestReport> {
        self.requests.peek(&request).cloned()
    }
}
