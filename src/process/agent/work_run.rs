//! An attempt that runs at the target, and its answer.

use std::collections::VecDeque;

use futures::{Stream, stream};
use parking_lot::Mutex;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::connection::{LossReason, WorkLine};
use crate::prelude::*;
use crate::process::routing::RequestDigest;
use crate::request::{
    AnswerBuffer, EventBody, ResumePoint, ResumeRefusal, TargetFailure, WorkEvent, WorkId,
};

/// The maximum size of one answer that is kept for a resume, in bytes.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// An attempt that runs or ran at the target.
#[derive(Debug)]
pub(super) struct WorkRun {
    /// The attempt.
    pub(super) work: WorkId,
    /// The client account that receives the answer.
    pub(super) account: AccountName,
    /// The digest of the request, by which crashes are attributed to it.
    pub(super) digest: RequestDigest,
    /// Cancelled when the attempt must stop.
    pub(super) cancel: CancellationToken,
    state: Mutex<RunState>,
    /// Wakes the readers of the answer on each event. Each reader holds a receiver.
    changes: watch::Sender<u64>,
}

#[derive(Debug)]
struct RunState {
    buffer: AnswerBuffer,
    loss: Option<LossReason>,
}

/// A reader of an answer and its position.
struct AnswerReader {
    run: Arc<WorkRun>,
    changes: watch::Receiver<u64>,
    point: ResumePoint,
    ready: VecDeque<WorkLine>,
    is_finished: bool,
}

impl WorkRun {
    /// Creates a run whose answer continues at `from`.
    pub(super) fn new(
        work: WorkId,
        account: AccountName,
        digest: RequestDigest,
        from: ResumePoint,
    ) -> Self {
        let buffer = AnswerBuffer::new(work.attempt, from, MAX_ANSWER_BYTES);
        Self {
            work,
            account,
            digest,
            cancel: CancellationToken::new(),
            state: Mutex::new(RunState { buffer, loss: None }),
            changes: watch::Sender::new(0),
        }
    }

    /// Appends a payload to the answer.
    pub(super) fn push(&self, payload: String) {
        self.change(|state| {
            state.buffer.push(payload);
        });
    }

    /// Ends a complete answer.
    pub(super) fn end(&self) {
        self.change(|state| {
            state.buffer.end();
        });
    }

    /// Ends an answer with a failure that the target reported.
    pub(super) fn fail(&self, failure: TargetFailure) {
        self.change(|state| {
            state.buffer.fail(failure);
        });
    }

    /// Ends an answer that cannot be continued at this target.
    pub(super) fn lose(&self, reason: LossReason) {
        self.change(|state| state.loss = Some(reason));
    }

    /// Returns the current number of readers of the answer.
    pub(super) fn n_readers(&self) -> usize {
        self.changes.receiver_count()
    }

    /// Returns whether the answer has ended, complete or not.
    pub(super) fn is_finished(&self) -> bool {
        let state = self.state.lock();
        state.loss.is_some() || state.buffer.is_closed()
    }

    /// Returns whether the answer was lost in a crash of the target.
    pub(super) fn is_lost_to_crash(&self) -> bool {
        self.state.lock().loss == Some(LossReason::Crashed)
    }

    /// Streams the answer from `point` on, to its end.
    ///
    /// # Errors
    /// The events from `point` on are not kept, or the reader holds the prefix of another answer.
    pub(super) fn stream(
        self: &Arc<Self>,
        point: ResumePoint,
    ) -> Result<impl Stream<Item = WorkLine> + Send + use<>, ResumeRefusal> {
        self.state.lock().buffer.resume(&point).map(drop)?;
        let reader = AnswerReader {
            run: Arc::clone(self),
            changes: self.changes.subscribe(),
            point,
            ready: VecDeque::new(),
            is_finished: false,
        };
        Ok(stream::unfold(reader, AnswerReader::next))
    }

    fn change(&self, change: impl FnOnce(&mut RunState)) {
        change(&mut self.state.lock());
        self.changes.send_modify(|count| *count += 1);
    }

    /// Returns the lines from `point` on.
    fn lines_since(&self, point: ResumePoint) -> Vec<WorkLine> {
        let state = self.state.lock();
        let mut lines = match state.buffer.resume(&point) {
            Ok(events) => events.cloned().map(WorkLine::Event).collect(),
            Err(_) => vec![WorkLine::Lost(LossReason::BrokenOff)],
        };
        if let Some(loss) = state.loss {
            lines.push(WorkLine::Lost(loss));
        }
        lines
    }
}

impl AnswerReader {
    async fn next(mut self) -> Option<(WorkLine, Self)> {
        loop {
            if let Some(line) = self.ready.pop_front() {
                self.advance(&line);
                return Some((line, self));
            }
            if self.is_finished {
                return None;
            }
            self.changes.borrow_and_update();
            self.ready.extend(self.run.lines_since(self.point));
            if self.ready.is_empty() && self.changes.changed().await.is_err() {
                return None;
            }
        }
    }

    fn advance(&mut self, line: &WorkLine) {
        match line {
            WorkLine::Event(WorkEvent {
                body: EventBody::Payload(payload),
                ..
            }) => {
                self.point = self.point.extend(payload);
            }
            WorkLine::Load(_) => {}
            WorkLine::Event(_) | WorkLine::Lost(_) => self.is_finished = true,
        }
    }
}
