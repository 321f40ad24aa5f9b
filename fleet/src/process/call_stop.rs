//! What becomes of a request while this process stops.

use http::Response;
use slog::info;

use crate::prelude::*;

use super::caller_body::CallerBody;
use super::request_run::{CallContext, RETRY_STOPPING};

impl CallContext {
    /// Returns whether the request may still be sent to a target while this process stops: one that may
    /// run only once is not if it could be cut.
    pub(super) fn may_be_sent(&self) -> bool {
        let drain = &self.state.drain;
        let may_be_sent = self.route.kind.may_repeat()
            || drain.may_pass_on(Instant::now(), self.deadline, self.state.grace());
        if !may_be_sent {
            info!(self.state.log, "not sent, stopping"; "request" => &*self.head.attempt_id,
                "left_ms" => self.time_left().as_millis() as u64);
        }
        may_be_sent
    }

    /// Returns the refusal of a request that has waited for too long while this process stops.
    pub(super) fn stopping_refusal(&self) -> Response<CallerBody> {
        let answer = LocalResponse::Refused(NotRunProof::never_sent(), RETRY_STOPPING);
        self.local_response(answer, "waited, stopping")
    }
}
