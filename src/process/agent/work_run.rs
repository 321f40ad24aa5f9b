//! One attempt that runs at the target, and its answer.

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

/// The most bytes of one answer that are kept for a resume.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// One attempt that runs, or ran, at the target.
#[derive(Debug)]
pub(super) struct WorkRun {
    /// The attempt.
    pub(super) work: WorkId,
    /// The client account whose answer it is.
    pub(super) account: AccountName,
    /// The digest of the request, for the attribution of crashes.
    pub(super) digest: RequestDigest,
    /// Cancelled when the attempt is to stop.
    pub(super) cancel: CancellationToken,
    state: Mutex<RunState>,
    /// The readers of the answer, and a change for each event.
    changes: watch::Sender<u64>,
}

#[derive(Debug)]
struct RunState {
    buffer: AnswerBuffer,
    loss: Option<LossReason>,
}

/// A reader's place in an answer.
struct AnswerReader {
    run: Arc<WorkRun>,
    changes: watch::Receiver<u64>,
    point: ResumePoint,
    ready: VecDeque<WorkLine>,
    is_over: bool,
}

impl WorkRun {
    /// Makes a run whose answer goes on at `from`.
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

    /// Adds a part of the answer.
    pub(super) fn push(&self, payload: String) {
        self.change(|state| {
            state.buffer.push(payload);
        });
    }

    /// Ends a whole answer.
    pub(super) fn end(&self) {
        self.change(|state| {
            state.buffer.end();
        });
    }

    /// Ends an answer that the target failed.
    pub(super) fn fail(&self, failure: TargetFailure) {
        self.change(|state| {
            state.buffer.fail(failure);
        });
    }

    /// Ends an answer that cannot go on here.
    pub(super) fn lose(&self, reason: LossReason) {
        self.change(|state| state.loss = Some(reason));
    }

    /// Returns the number of those who read the answer at present.
    pub(super) fn n_readers(&self) -> usize {
        self.changes.receiver_count()
    }

    /// Returns whether the answer has ended, whole or not.
    pub(super) fn is_over(&self) -> bool {
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
    /// The events are not kept, or the reader holds another answer.
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
            is_over: false,
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
                self.pass(&line);
                return Some((line, self));
            }
            if self.is_over {
                return None;
            }
            self.changes.borrow_and_update();
            self.ready.extend(self.run.lines_since(self.point));
            if self.ready.is_empty() && self.changes.changed().await.is_err() {
                return None;
            }
        }
    }

    fn pass(&mut self, line: &WorkLine) {
        match line {
            WorkLine::Event(WorkEvent {
                body: EventBody::Payload(payload),
                ..
            }) => {
                self.point = self.point.extend(payload);
            }
            WorkLine::Load(_) => {}
            WorkLine::Event(_) | WorkLine::Lost(_) => self.is_over = true,
        }
    }
}
