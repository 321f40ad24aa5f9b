//! The events of one stream, from the targets that run it.

use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;

use crate::forward::{RelayEnd, ResponseHead, StreamEvent, StreamRelay};
use crate::prelude::*;
use crate::request::{AttemptOutcome, DispatchNumber, NextStep, UnknownReason};

use super::open_dispatches::OpenDispatches;
use super::plain_run::{AttemptError, TargetAnswer, read_response};
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
    /// The run that sent the last event.
    current: Option<StreamRun>,
    /// The runs that have not sent an event.
    starting: FuturesUnordered<BoxFuture<'static, StartResult>>,
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
    pub(super) fn new(call: Arc<CallContext>) -> Self {
        let mut source = Self {
            last_id: call.head.last_event_id,
            call,
            dispatches: OpenDispatches::default(),
            has_unnumbered: false,
            last_event_at: None,
            current: None,
            starting: FuturesUnordered::new(),
            stated_failure: None,
        };
        source.begin();
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

    /// Keeps the connection of a complete stream for later requests.
    pub(super) fn keep_connection(&mut self) {
        let Some(run) = self.current.take() else {
            return;
        };
        let DispatchedCall {
            pick,
            guard,
            response,
        } = run.dispatched;
        drop(guard);
        response.keep_connection(&self.call.state.pool, &pick);
    }

    /// Returns the next event of the stream.
    pub(super) async fn next(&mut self) -> Result<StreamEvent, SourceEnd> {
        let mut silence = self.silence_limit();
        let mut silent_at = Instant::now() + silence;
        loop {
            let outcome = tokio::select! {
                biased;
                received = receive(&mut self.current) => match received {
                    Err(RelayEnd::Broken(outcome)) => self.end_current(outcome),
                    received => return self.accept(received),
                },
                Some(started) = self.starting.next() => match started {
                    Ok((run, received)) => {
                        self.current = Some(run);
                        return self.accept(received);
                    }
                    Err((number, err)) => self.end_start(number, err),
                },
                () = wait_silent(&self.call, silent_at) => {
                    self.dispatches.record_silence(&self.call, silence);
                    AttemptOutcome::Silent
                }
            };
            if self.dispatches.has_sound_dispatch() {
                continue;
            }
            let is_open = self.current.is_some() || !self.starting.is_empty();
            match self.next_step(outcome) {
                NextStep::Retry => self.begin(),
                // A silent target may still go on.
                _ if is_open => {}
                step => return Err(SourceEnd::Broken(step)),
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

    /// Sends the stream to a target, from the last event on.
    fn begin(&mut self) {
        let (number, target) = self.dispatches.begin(&self.call);
        let starting = start(self.call.clone(), number, target, self.last_id);
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
        if let Some(last_at) = self.last_event_at {
            let pause = now.saturating_duration_since(last_at);
            let limit = table.limit_mut(&self.call.service);
            limit.observe_pause(pause, now);
        }
        drop(table);
        self.last_id = event.id.or(self.last_id);
        self.has_unnumbered |= event.id.is_none();
        self.last_event_at = Some(now);
        Ok(event)
    }

    fn end_current(&mut self, outcome: AttemptOutcome) -> AttemptOutcome {
        if let Some(run) = self.current.take() {
            self.call.record(&run.dispatched.pick, Some(outcome));
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
            Some(_) => call.route.pause.unwrap_or(MIN_SILENCE) * MAX_SILENT_PAUSES,
            None => FIRST_EVENT_LIMIT,
        }
        .max(MIN_SILENCE)
    }
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
    target: Option<ChosenTarget>,
    last_id: Option<u64>,
) -> StartResult {
    match attempt_start(&call, target, last_id).await {
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
    target: Option<ChosenTarget>,
    last_id: Option<u64>,
) -> Result<(DispatchedCall, StreamRelay, Result<StreamEvent, RelayEnd>), AttemptError> {
    let target = target.ok_or(AttemptOutcome::NotSent)?;
    let mut dispatched = call.dispatch(target, last_id).await?;
    if !dispatched.response.head.status.is_success() {
        // An answer outside 2xx has no events, so that it is complete as it is.
        let answer = read_response(call, dispatched).await?;
        return Err(AttemptError::Failure(answer));
    }
    let mut relay = StreamRelay::new(last_id);
    let first = relay.next_event(&mut dispatched.response).await;
    if let Err(RelayEnd::Broken(outcome)) = first {
        call.record(&dispatched.pick, Some(outcome));
        return Err(outcome.into());
    }
    call.record(&dispatched.pick, None);
    Ok((dispatched, relay, first))
}

/// Waits until the open runs count as silent: the time has come and other streams of the group make
/// progress. If the whole group stalls, no single target is at fault.
async fn wait_silent(call: &CallContext, silent_at: Instant) {
    tokio::time::sleep_until(silent_at).await;
    loop {
        let now = Instant::now();
        let has_progress = call
            .state
            .table
            .lock()
            .limit_mut(&call.service)
            .pause_at(now)
            .is_some();
        if has_progress && !call.time_left().is_zero() {
            return;
        }
        tokio::time::sleep(MIN_SILENCE / 2).await;
    }
}
