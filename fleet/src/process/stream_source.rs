//! The events of one stream, from the targets that run it.

use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;

use crate::forward::{RelayEnd, RelayStart, ResponseHead, StreamEvent, StreamRelay};
use crate::prelude::*;
use crate::request::{AttemptOutcome, DispatchNumber, NextStep, UnknownReason};

use super::open_dispatches::OpenDispatches;
use super::plain_run::{AttemptError, TargetAnswer, read_response, sleep_until_room};
use super::request_run::{CallContext, ChosenTarget, DispatchedCall};

/// The time without a first event after which a stream is also sent to another target, if other
/// streams of the group make progress.
const FIRST_EVENT_LIMIT: Duration = Duration::from_millis(1_000);

/// The number of the route's allowed pauses without an event after which a stream is also sent to
/// another target, if other streams of the group make progress.
const MAX_SILENT_PAUSES: u32 = 5;

/// The shortest time without an event after which a target counts as silent.
const MIN_SILENCE: Duration = Duration::from_millis(500);

/// The events of one stream, from the targets that run it.
///
/// A target that is silent is not given up: the stream is also sent to another one, and whichever
/// sends the next event goes on.
pub(super) struct StreamSource {
    call: Arc<CallContext>,
    dispatches: OpenDispatches,
    last_id: Option<u64>,
    /// Whether an event without an id was sent, so that no target can go on after it.
    has_unnumbered: bool,
    last_event_at: Option<Instant>,
    /// Whether an event was sent to the caller, so that a stated failure cannot be passed on.
    has_begun: bool,
    /// The run that sent the last event.
    current: Option<StreamRun>,
    /// The runs that have not sent an event.
    starting: FuturesUnordered<BoxFuture<'static, StartResult>>,
    /// When a further run may find room, where the limits of all targets have none.
    room_at: Option<Instant>,
    /// The last failure that a target stated, returned if no target sends an event.
    stated_failure: Option<TargetAnswer>,
}

/// A run of a stream at a target that has sent its first event.
struct StreamRun {
    number: DispatchNumber,
    dispatched: DispatchedCall,
    relay: StreamRelay,
}

type StartResult =
    Result<(StreamRun, Result<StreamEvent, RelayEnd>), (DispatchNumber, AttemptError)>;

/// How a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SourceEnd {
    /// The stream is complete.
    Complete,
    /// All targets failed, and the step that follows is no retry.
    Broken(NextStep),
}

impl StreamSource {
    /// Begins to run a stream at a target.
    pub(super) async fn new(call: Arc<CallContext>) -> Self {
        let mut source = Self {
            last_id: call.head.last_event_id,
            call,
            dispatches: OpenDispatches::default(),
            has_unnumbered: false,
            last_event_at: None,
            has_begun: false,
            current: None,
            starting: FuturesUnordered::new(),
            room_at: None,
            stated_failure: None,
        };
        source.begin().await;
        source
    }

    /// Returns the id of the last event, or of the last one that the caller had received before.
    pub(super) fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns the number of dispatches that may have run and ended or fallen silent.
    pub(super) fn possible_runs(&self) -> u32 {
        self.dispatches.possible_runs()
    }

    /// Returns the head of the response that the stream comes from.
    pub(super) fn head(&self) -> Option<ResponseHead> {
        let run = self.current.as_ref()?;
        Some(run.dispatched.response.head.clone())
    }

    /// Takes the last failure that a target stated.
    pub(super) fn take_failure(&mut self) -> Option<TargetAnswer> {
        self.stated_failure.take()
    }

    /// Records the answer of a complete stream, and keeps its connection for later requests.
    pub(super) fn complete(&mut self) {
        let Some(run) = self.current.take() else {
            return;
        };
        let DispatchedCall {
            pick,
            guard,
            response,
        } = run.dispatched;
        guard.end();
        let status = response.head.status;
        self.call
            .record_answer(&pick, status, response.is_delimited);
        response.keep_connection(&self.call.state.pool, &pick);
    }

    /// Returns the next event of the stream.
    pub(super) async fn next(&mut self) -> Result<StreamEvent, SourceEnd> {
        if self.current.is_none() && self.starting.is_empty() {
            return Err(self.broken(AttemptOutcome::NotSent));
        }
        let mut silence = self.silence_limit();
        let mut silent_at = Instant::now() + silence;
        loop {
            let outcome = tokio::select! {
                biased;
                received = receive(&mut self.current) => match received {
                    Err(RelayEnd::Broken(outcome)) => self.end_current(outcome).await,
                    received => return self.accept(received),
                },
                Some(started) = self.starting.next() => match started {
                    // Without an event it does not show that the silent run has no more to send.
                    Ok((run, Err(_))) if self.current.is_some() => {
                        self.end_start(run.number, AttemptOutcome::Unknown.into())
                    }
                    Ok((run, received)) => {
                        self.current = Some(run);
                        return self.accept(received);
                    }
                    Err((number, err)) => self.end_start(number, err),
                },
                () = wait_silent(&self.call, silent_at, silence) => {
                    self.dispatches.record_silence(&self.call, silence);
                    AttemptOutcome::Silent
                }
                () = sleep_until_room(self.room_at) => AttemptOutcome::Silent,
                () = tokio::time::sleep_until(self.call.failure_due()),
                    if self.stated_failure.is_some() && !self.has_begun =>
                {
                    return Err(self.broken(AttemptOutcome::Failed));
                }
            };
            if self.dispatches.has_active_dispatch() {
                continue;
            }
            let may_retry = match self.room_at.take() {
                // Its targets may have ended under it meanwhile.
                Some(_) => !self.call.is_harmful(),
                None => self.next_step(outcome) == NextStep::Retry,
            };
            if may_retry {
                self.begin().await;
            }
            // A silent target may still go on.
            let is_open = self.current.is_some() || !self.starting.is_empty();
            if !is_open && self.room_at.is_none() {
                return Err(self.broken(outcome));
            }
            silence = self.silence_limit();
            silent_at = Instant::now() + silence;
        }
    }

    fn next_step(&self, outcome: AttemptOutcome) -> NextStep {
        match self.has_unnumbered {
            true => NextStep::GiveUp(UnknownReason::BadAnswer),
            false => self.dispatches.next_step(&self.call, outcome),
        }
    }

    fn broken(&self, outcome: AttemptOutcome) -> SourceEnd {
        SourceEnd::Broken(self.dispatches.stop_step(outcome))
    }

    /// Sends the stream to another target, if there is one, from the last event on.
    async fn begin(&mut self) {
        let Some((number, target)) = self.dispatches.begin(&self.call).await else {
            self.room_at = self.dispatches.room_at(&self.call);
            return;
        };
        let from = match self.last_id {
            Some(id) if self.has_begun => RelayStart::After(id),
            last_id => RelayStart::Own(last_id),
        };
        let starting = start(self.call.clone(), number, target, from);
        self.starting.push(Box::pin(starting));
    }

    /// Takes what the current run sent; the others end.
    fn accept(
        &mut self,
        received: Result<StreamEvent, RelayEnd>,
    ) -> Result<StreamEvent, SourceEnd> {
        self.starting.clear();
        if let Some(run) = &self.current {
            self.dispatches.keep_only(run.number);
        }
        let event = received.map_err(|_| SourceEnd::Complete)?;
        let now = Instant::now();
        let mut table = self.call.state.table.lock();
        table.group_mut(&self.call.service).record_progress(now);
        let pause = self.last_event_at.map(|at| now - at);
        // A silence tells nothing of the group's speed.
        if let Some(pause) = pause.filter(|pause| *pause < silent_pause(&self.call)) {
            let limit = table.limit_mut(&self.call.service);
            limit.observe_pause(pause, now);
        }
        drop(table);
        self.has_begun = true;
        self.last_id = event.id.or(self.last_id);
        self.has_unnumbered |= event.id.is_none() && event.has_data();
        self.last_event_at = Some(now);
        Ok(event)
    }

    async fn end_current(&mut self, outcome: AttemptOutcome) -> AttemptOutcome {
        if let Some(run) = self.current.take() {
            if let Some(cut) = run.relay.cut() {
                self.call.record_cut(&run.dispatched.pick, cut);
            }
            let DispatchedCall { pick, guard, .. } = run.dispatched;
            guard.end();
            self.call.record_failure(&pick, outcome).await;
            self.dispatches.end(run.number, outcome);
        }
        // The pause until another target goes on says nothing of the group's speed.
        self.last_event_at = None;
        outcome
    }

    fn end_start(&mut self, number: DispatchNumber, err: AttemptError) -> AttemptOutcome {
        let outcome = match err {
            AttemptError::Outcome(outcome) => outcome,
            AttemptError::Failure(answer) => {
                self.stated_failure = Some(answer);
                AttemptOutcome::Failed
            }
        };
        self.dispatches.end(number, outcome);
        outcome
    }

    /// Returns the time without an event after which the open runs count as silent; a stream that
    /// cannot be resumed goes to one target only.
    fn silence_limit(&self) -> Duration {
        let call = &self.call;
        if call.route.kind != CallKind::ResumableStream {
            return call.time_left();
        }
        match self.current {
            Some(_) => silent_pause(call),
            None => FIRST_EVENT_LIMIT,
        }
    }
}

/// Returns the pause between two events from which a target counts as silent.
fn silent_pause(call: &CallContext) -> Duration {
    let pause = call.route.pause.unwrap_or(MIN_SILENCE);
    MIN_SILENCE.max(pause * MAX_SILENT_PAUSES)
}

/// Returns the next event of a run; waits forever where there is none.
async fn receive(run: &mut Option<StreamRun>) -> Result<StreamEvent, RelayEnd> {
    match run {
        Some(run) => run.relay.next_event(&mut run.dispatched.response).await,
        None => std::future::pending().await,
    }
}

/// Dispatches a stream and waits for the first event.
async fn start(
    call: Arc<CallContext>,
    number: DispatchNumber,
    target: ChosenTarget,
    from: RelayStart,
) -> StartResult {
    match attempt_start(&call, target, from).await {
        Ok((dispatched, relay, first)) => Ok((
            StreamRun {
                number,
                dispatched,
                relay,
            },
            first,
        )),
        Err(err) => Err((number, err)),
    }
}

async fn attempt_start(
    call: &CallContext,
    target: ChosenTarget,
    from: RelayStart,
) -> Result<(DispatchedCall, StreamRelay, Result<StreamEvent, RelayEnd>), AttemptError> {
    let mut dispatched = call.dispatch(target, from.last_id()).await?;
    if !dispatched.response.head.status.is_success() {
        // An answer outside 2xx has no events, so that it is complete as it is.
        let answer = read_response(call, dispatched).await?;
        return Err(AttemptError::Failure(answer));
    }
    let mut relay = StreamRelay::new(from, &call.state.buffers);
    let first = relay.next_event(&mut dispatched.response).await;
    if let Err(RelayEnd::Broken(outcome)) = first {
        if let Some(cut) = relay.cut() {
            call.record_cut(&dispatched.pick, cut);
        }
        let DispatchedCall { pick, guard, .. } = dispatched;
        guard.end();
        call.record_failure(&pick, outcome).await;
        return Err(outcome.into());
    }
    call.record(&dispatched.pick, None);
    Ok((dispatched, relay, first))
}

/// Waits until the open runs count as silent: the time has come, and other streams of a group have had
/// an event in the second half of the silence. If the whole group stalls, no single rank is at fault.
async fn wait_silent(call: &CallContext, silent_at: Instant, silence: Duration) {
    tokio::time::sleep_until(silent_at).await;
    let is_group = call.is_to_group();
    loop {
        let now = Instant::now();
        let is_suspect = !is_group
            || call
                .state
                .table
                .lock()
                .group_mut(&call.service)
                .has_progressed(silence / 2, now);
        if is_suspect && !call.time_left().is_zero() {
            return;
        }
        tokio::time::sleep(MIN_SILENCE / 2).await;
    }
}
