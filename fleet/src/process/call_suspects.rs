//! What a request's run tells of requests that end their targets, and whether it may be sent.

use http::{Response, StatusCode};
use slog::info;

use crate::catalog::Account;
use crate::forward::{RequestHead, TargetCheck};
use crate::prelude::*;
use crate::request::CallDigest;
use crate::routing::{SuspectDecision, SuspectKeys, TargetPick};

use super::caller_body::CallerBody;
use super::end_check::{EndedRun, check_end};
use super::request_run::CallContext;

/// Returns what is suspect of a request if targets end while they run it.
pub(super) fn suspect_keys(
    head: &RequestHead,
    body: &[u8],
    account: Option<&Account>,
    service: &str,
) -> SuspectKeys {
    let uri = head.uri.path_and_query().map_or("", |uri| uri.as_str());
    let request = CallDigest::new(&[
        account.map_or("", |account| &account.name).as_bytes(),
        head.method.as_str().as_bytes(),
        head.host.as_bytes(),
        uri.as_bytes(),
        body,
    ]);
    let parts = head
        .prompt_parts
        .ids()
        .map(|id| CallDigest::new(&[service.as_bytes(), id.as_bytes()]))
        .collect();
    SuspectKeys { request, parts }
}

impl CallContext {
    /// Records that a target answered the request completely.
    ///
    /// An answer that only the end of its connection completes may be one that broke off with its
    /// target.
    pub(super) fn record_answer(&self, pick: &TargetPick, status: StatusCode, is_delimited: bool) {
        let mut keys = self.keys.clone();
        if !status.is_success() {
            // The target may have written nothing on the prompt.
            keys.parts.clear();
        }
        if is_delimited {
            let mut suspects = self.state.suspects.lock();
            suspects.record_answer(keys.iter(), Instant::now());
            return;
        }
        let (state, run) = (self.state.clone(), self.ended_run(pick));
        tokio::spawn(async move {
            if check_end(&state, &run).await == TargetCheck::Accepts {
                let mut suspects = state.suspects.lock();
                suspects.record_answer(keys.iter(), Instant::now());
            }
        });
    }

    /// Returns a run at a target whose connection has ended.
    pub(super) fn ended_run(&self, pick: &TargetPick) -> EndedRun {
        EndedRun {
            attempt_id: self.head.attempt_id.clone(),
            keys: self.keys.clone(),
            prompt_parts: self.head.prompt_parts.clone(),
            pick: pick.clone(),
        }
    }

    /// Decides whether the request ends its targets, as known now.
    pub(super) fn check_suspect(&self) -> SuspectDecision {
        let suspects = self.state.suspects.lock();
        suspects.check(&self.keys, Instant::now())
    }

    /// Returns whether the request is not to be sent as it ends its targets.
    pub(super) fn is_harmful(&self) -> bool {
        matches!(self.check_suspect(), SuspectDecision::Refused(_))
    }

    /// Decides the same for a request that is sent now; a probe counts as sent.
    pub(super) fn admit_suspect(&self) -> SuspectDecision {
        let decision = {
            let mut suspects = self.state.suspects.lock();
            suspects.admit(&self.keys, Instant::now())
        };
        if decision == SuspectDecision::Probe {
            info!(self.state.log, "probe"; "request" => &*self.head.attempt_id,
                "digest" => %self.keys.request, "parts" => %self.head.prompt_parts);
        }
        decision
    }

    /// Returns the refusal of a request that ends its targets.
    pub(super) fn refusal(&self, decision: SuspectDecision) -> Option<Response<CallerBody>> {
        let SuspectDecision::Refused(after) = decision else {
            return None;
        };
        let answer = LocalResponse::Refused(NotRunProof::never_sent(), after);
        Some(self.local_response(answer, "ends its targets"))
    }
}
