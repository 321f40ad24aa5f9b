//! Handles a caller's request, from its head to the response.

use http::{HeaderValue, Request, Response};
use hyper::body::Incoming;
use slog::{debug, info, warn};

use crate::catalog::{Account, RouteError};
use crate::forward::{ReadCut, RequestHead, ResponseHead, TargetCall, TargetResponse, call_target};
use crate::prelude::*;
use crate::request::{AttemptOutcome, CallProgress, DeniedReason, NextStep, UnknownReason};
use crate::request::{next_step, stop_step};
use crate::routing::{GROUP_RECOVERY_TIME, LimitNotice, SuspectKeys, TargetPick};

use super::call_suspects::suspect_keys;
use super::caller_body::CallerBody;
use super::end_check::check_end;
use super::entry_state::EntryState;
use super::leave_watch::LeaveWatch;
use super::request_body::{leave_body_unread, read_body};
use super::running_guard::RunningGuard;
use super::{plain_run, stream_run};

/// The `Retry-After` time while no configuration is known or confirmed, or a service has no target:
/// the time of a few reads of the store.
const RETRY_NOT_READY: Duration = Duration::from_millis(500);

/// The `Retry-After` time for a request that targets rejected as they were full.
const RETRY_REJECTED: Duration = Duration::from_millis(200);

/// The `Retry-After` time while this entry stops: the caller may retry at another one.
pub(super) const RETRY_STOPPING: Duration = Duration::from_millis(50);

/// The targets without room at which a request asks for a permit before it prefers those without a
/// limit.
const MAX_FULL_TARGETS: usize = 4;

/// The longest time for which a request asks for permits before it goes only to targets without a
/// limit.
const MAX_ASK_TIME: Duration = Duration::from_millis(60);

/// The time before the deadline at which a stated failure is passed on, as a fraction of the
/// request's time.
const FAILURE_MARGIN_FRACTION: f64 = 0.05;

/// The shortest time before the deadline at which a stated failure is passed on.
const MIN_FAILURE_MARGIN: Duration = Duration::from_millis(50);

/// A request that a route admits, with all that its attempts need.
pub(super) struct CallContext {
    pub(super) state: Arc<EntryState>,
    pub(super) head: RequestHead,
    pub(super) body: Bytes,
    pub(super) route: Arc<RouteSpec>,
    pub(super) account: Option<Account>,
    pub(super) service: Arc<str>,
    pub(super) keys: SuspectKeys,
    pub(super) received_at: Instant,
    /// The earlier of the caller's and the route's deadlines.
    pub(super) deadline: Instant,
}

/// A target chosen for a dispatch; the guard counts the request as running there.
pub(super) struct ChosenTarget {
    pub(super) pick: TargetPick,
    guard: RunningGuard,
}

/// A dispatch that a target answered; the guard counts the request as running there.
pub(super) struct DispatchedCall {
    pub(super) pick: TargetPick,
    pub(super) guard: RunningGuard,
    pub(super) response: TargetResponse,
}

/// Runs a caller's request and returns the response; `end_read` is called once it has been read.
pub(super) async fn run_request(
    state: Arc<EntryState>,
    request: Request<Incoming>,
    end_read: impl FnOnce(),
) -> Response<CallerBody> {
    let received_at = Instant::now();
    let (parts, body) = request.into_parts();
    let Some(head) = RequestHead::read(parts, &state.names) else {
        let answer = LocalResponse::Denied(DeniedReason::BadRequest);
        return leave_body_unread(local_response(&state, "", answer, "no host"));
    };
    let watch = LeaveWatch::new(&state, &head.attempt_id, received_at);
    let response = answer(state, head, body, received_at, end_read).await;
    watch.end();
    response
}

/// Reads a request's body, admits and runs the request.
async fn answer(
    state: Arc<EntryState>,
    head: RequestHead,
    body: Incoming,
    received_at: Instant,
    end_read: impl FnOnce(),
) -> Response<CallerBody> {
    let attempt_id = head.attempt_id.clone();
    let body = match read_body(&state, &head, body, received_at).await {
        Ok(body) => body,
        Err(refusal) => return refusal.response(&state, &attempt_id),
    };
    end_read();
    let call = match admit_call(&state, head, body, received_at) {
        Ok(call) => call,
        Err((answer, why)) => return local_response(&state, &attempt_id, answer, why),
    };
    if let Some(refusal) = call.refusal(call.check_suspect()) {
        return refusal;
    }
    match call.route.kind.is_stream() {
        true => stream_run::run(call).await,
        false => plain_run::run(call).await,
    }
}

/// Resolves a request's route and service, or returns the answer that refuses it, and why.
fn admit_call(
    state: &Arc<EntryState>,
    head: RequestHead,
    body: Bytes,
    received_at: Instant,
) -> Result<CallContext, (LocalResponse, &'static str)> {
    let refuse = |after| LocalResponse::Refused(NotRunProof::never_sent(), after);
    let Some(catalog) = state.catalog.load_full() else {
        return Err((refuse(RETRY_NOT_READY), "no configuration"));
    };
    if state.drain.is_closed(received_at) {
        return Err((refuse(RETRY_STOPPING), "stopping"));
    }
    let key = head.key.as_deref();
    let (route, account) = match catalog.resolve(&head.host, head.uri.path(), key) {
        Ok(resolved) => resolved,
        // An outdated configuration version may lack what a newer one allows.
        Err(_) if !state.is_confirmed(received_at) => {
            return Err((
                refuse(RETRY_NOT_READY),
                "not allowed by an unconfirmed version",
            ));
        }
        Err(RouteError::NoRoute) => {
            return Err((LocalResponse::Denied(DeniedReason::NoRoute), "no route"));
        }
        Err(RouteError::UnknownKey) => {
            return Err((
                LocalResponse::Denied(DeniedReason::UnknownKey),
                "unknown key",
            ));
        }
    };
    let Some(service) = route.pick_service(state.random_fraction()).cloned() else {
        return Err((refuse(RETRY_NOT_READY), "route without a service"));
    };
    let timeout = head
        .caller_timeout
        .unwrap_or(route.timeout)
        .min(route.timeout);
    let deadline = received_at + timeout;
    if !state
        .drain
        .may_pass_on(Instant::now(), deadline, state.grace())
    {
        // Its head came in time, its last byte did not.
        return Err((refuse(RETRY_STOPPING), "whole too late, stopping"));
    }
    state.count_request(&service, received_at);
    let keys = suspect_keys(&head, &body, account.as_ref(), &service);
    Ok(CallContext {
        state: state.clone(),
        head,
        body,
        route,
        account,
        service,
        keys,
        received_at,
        deadline,
    })
}

impl CallContext {
    /// Returns the time left until the deadline.
    pub(super) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Chooses a target other than the excluded ones, and excludes it from then on; `None` if there
    /// is no other, or its limit has no room.
    pub(super) async fn choose(
        &self,
        excluded: &mut SmallVec<[Arc<str>; 2]>,
    ) -> Option<ChosenTarget> {
        let ask_until = Instant::now() + MAX_ASK_TIME;
        let mut n_full = 0;
        let pick = loop {
            let now = Instant::now();
            let pick = self.state.with_table(|table, rng| {
                let unlimited = (MAX_FULL_TARGETS <= n_full || ask_until <= now)
                    .then(|| table.choose_unlimited(&self.service, excluded, now, rng))
                    .flatten();
                match unlimited {
                    None if now < ask_until => table.choose(&self.service, excluded, now, rng),
                    unlimited => unlimited,
                }
            })?;
            if self.take_permit(&pick).await {
                break pick;
            }
            n_full += 1;
        };
        excluded.push(pick.id.clone());
        debug!(self.state.log, "dispatch"; "request" => &*self.head.attempt_id,
            "target" => &*pick.id, "running" => pick.running, "score" => pick.score,
            "left_ms" => self.time_left().as_millis() as u64);
        let guard = RunningGuard::begin(&self.state, &pick.id, &self.head.attempt_id);
        Some(ChosenTarget { pick, guard })
    }

    /// Sends the request to a target; the caller records the outcome of a call that was answered.
    pub(super) async fn dispatch(
        &self,
        target: ChosenTarget,
        last_event_id: Option<u64>,
    ) -> Result<DispatchedCall, AttemptOutcome> {
        let state = &self.state;
        let ChosenTarget { pick, guard } = target;
        let call = TargetCall {
            head: &self.head,
            body: self.body.clone(),
            pick: &pick,
            account: self.account.as_ref().map(|account| &*account.name),
            last_event_id,
            time_left: self.time_left(),
        };
        match call_target(&call, &state.pool, &state.names).await {
            Ok(response) => {
                self.record_limit(&pick, response.limit);
                Ok(DispatchedCall {
                    pick,
                    guard,
                    response,
                })
            }
            Err(failure) => {
                guard.end();
                self.record_limit(&pick, failure.limit);
                if let (AttemptOutcome::NotRun, LimitNotice::Named(_)) =
                    (failure.outcome, failure.limit)
                {
                    // It rejects what is over its limit, and is sound.
                    self.log_outcome(&pick, Some(failure.outcome));
                    return Err(failure.outcome);
                }
                if let Some(cut) = failure.cut {
                    self.record_cut(&pick, cut);
                }
                self.record_failure(&pick, failure.outcome).await;
                Err(failure.outcome)
            }
        }
    }

    /// Records the outcome of a dispatch in metrics, logs and the target's health; `None` is a
    /// success.
    pub(super) fn record(&self, pick: &TargetPick, outcome: Option<AttemptOutcome>) {
        self.log_outcome(pick, outcome);
        let now = Instant::now();
        let mut table = self.state.table.lock();
        if outcome == Some(AttemptOutcome::NotRun) && self.route.kind.is_stream() {
            table.group_mut(&self.service).record_refusal(&pick.id, now);
        }
        let Some(health) = table.health_mut(&pick.id) else {
            return;
        };
        match outcome {
            None => health.record_success(now),
            Some(AttemptOutcome::Silent) => health.record_silence(now),
            Some(AttemptOutcome::NotSent) => health.record_unreachable(now),
            Some(_) => health.record_failure(now),
        }
    }

    /// Counts and logs the outcome of a dispatch.
    fn log_outcome(&self, pick: &TargetPick, outcome: Option<AttemptOutcome>) {
        let label = match outcome {
            None => "answered",
            Some(AttemptOutcome::NotSent) => "not-sent",
            Some(AttemptOutcome::NotRun) => "not-run",
            Some(AttemptOutcome::Failed) => "failed",
            Some(AttemptOutcome::Broken) => "broken",
            Some(AttemptOutcome::Unknown) => "unknown",
            Some(AttemptOutcome::Silent) => "silent",
        };
        self.state
            .metrics
            .dispatches
            .with_label_values(&[label])
            .inc();
        if outcome.is_some() {
            info!(self.state.log, "dispatch failed"; "request" => &*self.head.attempt_id,
                "target" => &*pick.id, "outcome" => label, "digest" => %self.keys.request);
        }
    }

    /// Records a dispatch that failed; where its connection broke, also checks whether the target is
    /// still there.
    pub(super) async fn record_failure(&self, pick: &TargetPick, outcome: AttemptOutcome) {
        self.record(pick, Some(outcome));
        if outcome == AttemptOutcome::Broken {
            let (state, run) = (self.state.clone(), self.ended_run(pick));
            // The check goes on if the caller leaves meanwhile; it fails only as the process ends.
            let _ = tokio::spawn(async move { check_end(&state, &run).await }).await;
        }
    }

    /// Logs and counts a read from a target that exceeded a limit.
    pub(super) fn record_cut(&self, pick: &TargetPick, cut: ReadCut) {
        warn!(self.state.log, "read cut"; "request" => &*self.head.attempt_id,
            "target" => &*pick.id, "bytes" => cut.n_read, "limit" => cut.limit,
            "scope" => %cut.scope);
        self.state.metrics.count_cut("target");
    }

    /// Logs and counts that a target has sent nothing for a time; it gets no new requests for a
    /// moment while others are there.
    pub(super) fn record_silence(&self, target: &str, silence: Duration) {
        info!(self.state.log, "target silent"; "request" => &*self.head.attempt_id,
            "target" => target, "silent_ms" => silence.as_millis() as u64,
            "left_ms" => self.time_left().as_millis() as u64);
        let dispatches = &self.state.metrics.dispatches;
        dispatches.with_label_values(&["silent"]).inc();
        if let Some(health) = self.state.table.lock().health_mut(target) {
            health.record_silence(Instant::now());
        }
    }

    /// Decides what to do after a dispatch that failed or is silent.
    pub(super) fn next_step(
        &self,
        progress: &CallProgress,
        outcome: AttemptOutcome,
        excluded: &[Arc<str>],
    ) -> NextStep {
        let now = Instant::now();
        let table = self.state.table.lock();
        let has_target = table.has_target(&self.service, excluded);
        let is_broken = table.is_group_broken(&self.service, now);
        drop(table);
        let budget = || !is_broken && self.state.draw_retry(&self.service, now);
        let is_harmful = self.is_harmful();
        let step = match has_target && !is_harmful {
            true => next_step(&self.route, progress, outcome, self.time_left(), budget),
            false => stop_step(progress, outcome),
        };
        info!(self.state.log, "after a failed dispatch"; "request" => &*self.head.attempt_id,
            "sends" => progress.sends, "runs" => progress.possible_runs,
            "connects" => progress.failed_connects, "harmful" => is_harmful, "step" => ?step);
        step
    }

    /// Returns whether the targets of the service are ranks of a group, which stall together.
    pub(super) fn is_to_group(&self) -> bool {
        let catalog = self.state.catalog.load();
        let services = catalog.as_ref().map(|catalog| &catalog.services);
        let spec = services.and_then(|services| services.get(&self.service));
        spec.is_some_and(|spec| spec.engine.is_some())
    }

    /// Waits until the request has to get an answer: at its deadline, or before this process exits.
    pub(super) async fn answer_due(&self) {
        tokio::select! {
            () = tokio::time::sleep_until(self.deadline) => {}
            () = self.state.drain.answers_due(self.state.grace()) => {}
        }
    }

    /// Returns when a failure that a target stated is passed on though other targets may still
    /// answer: early enough to reach the caller before its deadline.
    pub(super) fn failure_due(&self) -> Instant {
        let time = self.deadline.saturating_duration_since(self.received_at);
        let margin = time
            .mul_f64(FAILURE_MARGIN_FRACTION)
            .max(MIN_FAILURE_MARGIN);
        self.received_at + time.saturating_sub(margin)
    }

    /// Returns the response to a request that no target answered.
    pub(super) fn give_up(&self, step: NextStep) -> Response<CallerBody> {
        let answer = match step {
            NextStep::Refuse(proof) => LocalResponse::Refused(proof, self.retry_after(proof)),
            NextStep::GiveUp(reason) => LocalResponse::Unknown(reason),
            NextStep::Retry => LocalResponse::Unknown(UnknownReason::BadAnswer),
        };
        self.local_response(answer, "no target answered")
    }

    /// Returns the `Retry-After` time for a request that did not run.
    fn retry_after(&self, proof: NotRunProof) -> Duration {
        let now = Instant::now();
        let table = self.state.table.lock();
        let limited_for = table.limited_for(&self.service, &[], now);
        match limited_for.filter(|time| !time.is_zero()) {
            Some(time) => time,
            None if proof == NotRunProof::never_sent() => RETRY_NOT_READY,
            None if table.is_group_broken(&self.service, now) => GROUP_RECOVERY_TIME,
            None => RETRY_REJECTED,
        }
    }

    /// Returns a response that this process makes itself.
    pub(super) fn local_response(&self, answer: LocalResponse, why: &str) -> Response<CallerBody> {
        local_response(&self.state, &self.head.attempt_id, answer, why)
    }

    /// Returns a target's response with a body.
    pub(super) fn target_response(
        &self,
        head: ResponseHead,
        body: CallerBody,
    ) -> Response<CallerBody> {
        let kind = kind_label(self.route.kind);
        let elapsed = self.received_at.elapsed();
        let metrics = &self.state.metrics;
        metrics
            .requests
            .with_label_values(&[kind, head.status.as_str()])
            .inc();
        metrics
            .latency
            .with_label_values(&[kind])
            .observe(elapsed.as_secs_f64());
        info!(self.state.log, "answered"; "request" => &*self.head.attempt_id,
            "route" => &*self.route.name, "status" => head.status.as_u16(),
            "after_ms" => elapsed.as_millis() as u64, "digest" => %self.keys.request);
        let mut response = Response::new(body);
        *response.status_mut() = head.status;
        *response.headers_mut() = head.headers;
        close_if_stopping(&self.state, &mut response);
        response
    }
}

/// Returns the metrics label of a kind of call.
pub(super) fn kind_label(kind: CallKind) -> &'static str {
    match kind {
        CallKind::Safe => "safe",
        CallKind::Unsafe => "unsafe",
        CallKind::ResumableStream | CallKind::SingleStream => "stream",
    }
}

/// Returns a response that this process makes itself, and logs and counts it.
pub(super) fn local_response(
    state: &EntryState,
    attempt_id: &str,
    answer: LocalResponse,
    why: &str,
) -> Response<CallerBody> {
    info!(state.log, "own answer"; "request" => attempt_id, "answer" => ?answer, "why" => why);
    let status = answer.status();
    state
        .metrics
        .requests
        .with_label_values(&["own", status.as_str()])
        .inc();
    let mut response = Response::new(CallerBody::whole(Bytes::new()));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    if let Ok(id) = HeaderValue::from_str(attempt_id) {
        headers.insert(state.names.attempt_id.clone(), id);
    }
    if let LocalResponse::Refused(_, after) = answer {
        let seconds = format!("{:.3}", after.as_secs_f64());
        let value = HeaderValue::from_str(&seconds).expect("digits_make_a_header_value");
        headers.insert(state.names.retry_after.clone(), value);
    }
    close_if_stopping(state, &mut response);
    response
}

/// Returns the response to a request whose handling panicked, which may have run.
pub(super) fn panicked_response(state: &EntryState) -> Response<CallerBody> {
    let answer = LocalResponse::Unknown(UnknownReason::BadAnswer);
    local_response(state, "", answer, "panic")
}

/// Tells the caller to close its connection if this entry is stopping.
fn close_if_stopping(state: &EntryState, response: &mut Response<CallerBody>) {
    if state.drain.is_draining() {
        let close = HeaderValue::from_static("close");
        response
            .headers_mut()
            .insert(http::header::CONNECTION, close);
    }
}
