//! When callers are told the outcome of an order, beside what the log has acknowledged.

use comfreyhead::prelude::*;
use comfreyhead::process::orders::{
    AppendFault, AppendLimits, AppendQueue, AttemptId, BatchDelay, BatchId, BodyDigest,
    HolderAction, HolderEvent, HolderIdentity, KeyHistory, KeyUse, LogAction, LogEntry, LogEvent,
    LogPage, OrderAnswer, OrderChange, OrderHolder, OrderKey, OrderRecord, OrderReply,
    OrderRequest, OrderSettings, OrderVoid, ReadId, ReplyReason, VoidReason,
};
use uuid::{Builder, Uuid};

const T0: Timestamp = Timestamp::from_millis(1_700_000_000_000);
const SECOND: Duration = Duration::from_secs(1);
const DEADLINE: Timestamp = Timestamp::from_millis(1_700_000_010_000);

fn key(n: u8) -> OrderKey {
    let id = Builder::from_unix_timestamp_millis(T0.as_millis(), &[n; 10]).into_uuid();
    OrderKey {
        account: AccountName::from("guild"),
        id,
    }
}

fn attempt(n: u128) -> AttemptId {
    AttemptId(Uuid::from_u128(n))
}

fn arrived(n: u128, deadline: Timestamp) -> HolderEvent {
    HolderEvent::Arrived(OrderRequest {
        key: key(1),
        attempt: attempt(n),
        digest: BodyDigest::of("ledger", "post", b"quills"),
        service: ServiceName::from("ledger"),
        call: "post".into(),
        deadline,
        key_history: KeyHistory::Repeat,
    })
}

fn answer() -> OrderAnswer {
    OrderAnswer::bounded(201, "text/plain", b"posted", 4_096)
}

/// The ends of a run that close its key, and the outcomes that are told then.
fn closing_events() -> [(HolderEvent, RequestOutcome); 3] {
    let attempt = attempt(1);
    let answer = answer();
    let answered = HolderEvent::TargetAnswered {
        attempt,
        answer: answer.clone(),
    };
    [
        (answered, RequestOutcome::Answered),
        (
            HolderEvent::TargetFailed { attempt, answer },
            RequestOutcome::Failed,
        ),
        (
            HolderEvent::TargetUnreached { attempt },
            RequestOutcome::NotRun,
        ),
    ]
}

/// An agent and a stream whose appends take effect and are answered only when the test says so.
struct AgentBench {
    holder: OrderHolder,
    incarnation: u64,
    now: Timestamp,
    stream: Vec<LogEntry>,
    appends: Vec<(BatchId, Vec<OrderRecord>)>,
    waiting_read: Option<(ReadId, LogOffset)>,
    replies: Vec<OrderReply>,
    n_runs: usize,
}

fn holder(incarnation: u64) -> OrderHolder {
    let identity = HolderIdentity {
        agent: AgentName::from("agent-1"),
        incarnation: ProcessIncarnation(incarnation),
        target: TargetName::from("ledger-1"),
    };
    OrderHolder::new(identity, OrderSettings::default())
}

fn bench() -> AgentBench {
    AgentBench {
        holder: holder(1),
        incarnation: 1,
        now: T0,
        stream: Vec::new(),
        appends: Vec::new(),
        waiting_read: None,
        replies: Vec::new(),
        n_runs: 0,
    }
}

/// A bench whose target runs the order with attempt 1.
fn running_bench() -> AgentBench {
    let mut bench = bench();
    bench.send(arrived(1, DEADLINE));
    bench.write_appends();
    assert_eq!((bench.n_runs, bench.stream.len()), (1, 1));
    bench
}

impl AgentBench {
    fn send(&mut self, event: HolderEvent) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for action in self.holder.on_event(self.now, event) {
                match action {
                    HolderAction::Log(LogAction::Append { batch, records, .. }) => {
                        self.appends.push((batch, records));
                    }
                    HolderAction::Log(LogAction::Read {
                        read, from, wait, ..
                    }) => {
                        let is_at_end = self.stream.len() < from.0 as usize;
                        if is_at_end && !wait.is_zero() {
                            self.waiting_read = Some((read, from));
                        } else {
                            events.push(self.page(read, from));
                        }
                    }
                    HolderAction::Reply { reply, .. } => self.replies.push(reply),
                    HolderAction::Run { .. } => self.n_runs += 1,
                }
            }
        }
    }

    fn page(&self, read: ReadId, from: LogOffset) -> HolderEvent {
        let records = self.stream.iter().skip(from.0 as usize - 1);
        let page = LogPage {
            records: records.cloned().collect(),
            oldest: LogOffset(1),
            tail: LogOffset(self.stream.len() as u64 + 1),
        };
        HolderEvent::Log(LogEvent::ReadDone { read, page })
    }

    /// Lets the appends in flight take effect and returns their ids; nothing is answered.
    fn write_unanswered(&mut self) -> Vec<BatchId> {
        let appends = std::mem::take(&mut self.appends);
        for record in appends.iter().flat_map(|(_, records)| records) {
            self.stream.push(LogEntry {
                offset: LogOffset(self.stream.len() as u64 + 1),
                at: self.now,
                value: record.to_value(),
            });
        }
        appends.into_iter().map(|(batch, _)| batch).collect()
    }

    /// Lets the appends in flight take effect and acknowledges them.
    fn acknowledge_appends(&mut self) {
        let first = LogOffset(self.stream.len() as u64 + 1);
        for batch in self.write_unanswered() {
            self.send(HolderEvent::Log(LogEvent::Appended { batch, first }));
        }
    }

    /// Answers the read that waits at the end of the stream.
    fn read_end(&mut self) {
        if let Some((read, from)) = self.waiting_read.take() {
            let page = self.page(read, from);
            self.send(page);
        }
    }

    fn write_appends(&mut self) {
        self.acknowledge_appends();
        self.read_end();
    }

    fn advance_to(&mut self, time: Timestamp) {
        self.now = time;
        self.send(HolderEvent::Tick);
    }

    /// Loses the agent with what it had not written, and starts a new incarnation.
    fn lose_power(&mut self) {
        self.incarnation += 1;
        self.holder = holder(self.incarnation);
        self.appends.clear();
        self.waiting_read = None;
    }

    /// Asks with the same key and body, and returns the reply.
    fn ask_again(&mut self, n: u128) -> OrderReply {
        let n_before = self.replies.len();
        let deadline = self.now + SECOND * 10;
        self.send(arrived(n, deadline));
        self.write_appends();
        if self.replies.len() == n_before {
            self.advance_to(deadline);
        }
        assert_eq!(self.replies.len(), n_before + 1, "one reply for one ask");
        self.replies[n_before].clone()
    }
}

/// Guards against an outcome that was told and then lost with the agent's power.
#[test]
fn no_outcome_is_told_before_the_log_has_acknowledged_its_settlement() {
    for (event, outcome) in closing_events() {
        let mut bench = running_bench();
        bench.now = T0 + SECOND;

        bench.send(event);

        assert_eq!(bench.replies, Vec::new(), "{outcome}");
        bench.acknowledge_appends();
        let told: Vec<_> = bench.replies.iter().map(|reply| reply.outcome).collect();
        assert_eq!(told, vec![outcome]);
        bench.read_end();
        let told = bench.replies[0].clone();
        bench.lose_power();
        assert_eq!(bench.ask_again(2), told);
    }
}

/// Guards against a later ask that contradicts what was told before a loss of power.
#[test]
fn an_agent_that_loses_power_before_the_settlement_has_told_nothing() {
    for (event, outcome) in closing_events() {
        let mut bench = running_bench();
        bench.now = T0 + SECOND;
        bench.send(event);

        bench.lose_power();
        let told = std::mem::take(&mut bench.replies);
        let later = bench.ask_again(2);

        assert_eq!(told, Vec::new(), "{outcome}");
        let told_later = (later.outcome, later.key_use, later.reason);
        let open = (
            RequestOutcome::Unknown,
            KeyUse::AskAgain,
            ReplyReason::ClaimOpen,
        );
        assert_eq!(told_later, open);
        assert_eq!(bench.n_runs, 1);
    }
}

/// Guards against a caller that waits for ever, or is told too early, when an answer is lost.
#[test]
fn a_settlement_whose_acknowledgement_is_lost_is_told_once_it_is_read() {
    let mut bench = running_bench();
    bench.now = T0 + SECOND;
    bench.send(HolderEvent::TargetAnswered {
        attempt: attempt(1),
        answer: answer(),
    });
    for batch in bench.write_unanswered() {
        let fault = AppendFault::Unknown;
        let failed = LogEvent::AppendFailed { batch, fault };
        bench.send(HolderEvent::Log(failed));
    }
    assert_eq!(bench.replies, Vec::new());

    bench.read_end();
    bench.advance_to(T0 + SECOND * 2);

    assert_eq!(bench.replies.len(), 1);
    assert_eq!(bench.replies[0].answer, Some(answer()));
    assert_eq!(bench.replies[0].key_use, KeyUse::Closed);
    assert!(bench.appends.is_empty(), "what was read is not sent again");
    assert!(bench.holder.is_drained());
}

/// Guards against a settlement that is given up after an append that wrote nothing.
#[test]
fn a_settlement_that_was_not_written_is_sent_again_before_it_is_told() {
    for fault in [AppendFault::Refused, AppendFault::Unreachable] {
        let mut bench = running_bench();
        bench.now = T0 + SECOND;
        bench.send(HolderEvent::TargetAnswered {
            attempt: attempt(1),
            answer: answer(),
        });
        for (batch, _) in std::mem::take(&mut bench.appends) {
            bench.send(HolderEvent::Log(LogEvent::AppendFailed { batch, fault }));
        }

        bench.advance_to(T0 + SECOND * 2);
        assert_eq!(bench.replies, Vec::new(), "{fault}");
        bench.acknowledge_appends();

        assert_eq!(bench.replies.len(), 1, "{fault}");
        assert_eq!(bench.replies[0].outcome, RequestOutcome::Answered);
    }
}

/// Guards against an untrue answer, or none, at a deadline before the acknowledgement.
#[test]
fn a_deadline_before_the_acknowledgement_leaves_the_outcome_to_a_later_ask() {
    for (event, outcome) in closing_events() {
        let mut bench = running_bench();
        bench.now = T0 + SECOND;
        bench.send(event);

        bench.advance_to(DEADLINE);
        let at_deadline = std::mem::take(&mut bench.replies);
        bench.write_appends();
        let late = std::mem::take(&mut bench.replies);
        let later = bench.ask_again(2);

        assert_eq!(at_deadline.len(), 1, "{outcome}");
        assert_eq!(at_deadline[0].outcome, RequestOutcome::Unknown);
        assert_eq!(at_deadline[0].key_use, KeyUse::AskAgain);
        assert_eq!(at_deadline[0].reason, ReplyReason::ClaimOpen);
        assert_eq!(at_deadline[0].retry_after_ms, Some(1_000));
        assert_eq!(late, Vec::new(), "a try has one reply");
        assert_eq!((later.outcome, later.key_use), (outcome, KeyUse::Closed));
    }
}

/// Guards against a not-run that is told before it is settled, when a claim is read back too late.
#[test]
fn a_claim_read_back_at_the_deadline_is_told_as_not_run_only_by_a_later_ask() {
    let mut bench = bench();
    bench.send(arrived(1, DEADLINE));
    bench.acknowledge_appends();

    bench.now = DEADLINE;
    bench.read_end();
    let at_deadline = std::mem::take(&mut bench.replies);
    bench.write_appends();
    bench.advance_to(DEADLINE + SECOND);
    bench.write_appends();
    let later = bench.ask_again(2);

    assert_eq!(at_deadline.len(), 1);
    assert_eq!(at_deadline[0].outcome, RequestOutcome::Unknown);
    assert_eq!(at_deadline[0].key_use, KeyUse::AskAgain);
    let told_later = (later.outcome, later.key_use);
    assert_eq!(told_later, (RequestOutcome::NotRun, KeyUse::Closed));
    assert_eq!(bench.n_runs, 0);
}

fn void(n: u8) -> OrderRecord {
    let void = OrderVoid {
        reason: VoidReason::NoAgent,
        entry: EntryName::from("entry-1"),
    };
    OrderRecord::new(key(n), attempt(n.into()), OrderChange::Void(void))
}

fn spaced_queue() -> AppendQueue {
    AppendQueue::new(AppendLimits {
        max_batch: 256,
        max_in_flight: 1,
        batch_delay: BatchDelay::Spaced(Duration::from_millis(60)),
    })
}

fn after(millis: u64) -> Timestamp {
    T0 + Duration::from_millis(millis)
}

/// Guards against a caller that waits for the rest of an interval in which nothing is sent.
#[test]
fn a_settlement_that_a_caller_waits_for_does_not_wait_for_the_spacing() {
    let mut queue = spaced_queue();
    queue.push(T0, void(1));
    queue.send(T0, BatchId(1));
    queue.finish(BatchId(1));

    queue.push_awaited(after(30), void(1));
    let awaited_due = queue.due();
    queue.send(after(30), BatchId(2));
    queue.finish(BatchId(2));
    queue.push(after(40), void(2));

    assert_eq!(awaited_due, Some(after(30)));
    assert_eq!(
        queue.due(),
        Some(after(60)),
        "the next claim is not delayed"
    );
}

/// Guards against more appends than the log takes, when callers wait for all settlements.
#[test]
fn appends_that_callers_wait_for_keep_the_average_rate() {
    for awaited_every in 1..=4 {
        let mut queue = spaced_queue();
        let mut n_sent = 0;
        for millis in 0..6_000 {
            if millis % awaited_every == 0 {
                queue.push_awaited(after(millis), void(1));
            } else {
                queue.push(after(millis), void(2));
            }
            if queue.due().is_some_and(|due| due <= after(millis)) {
                n_sent += 1;
                queue.send(after(millis), BatchId(n_sent));
                queue.finish(BatchId(n_sent));
            }
        }

        // One in 60 ms, and one ahead of it.
        assert!(n_sent <= 6_000 / 60 + 1, "{n_sent} appends in 6 s");
        assert!(6_000 / 60 <= n_sent, "{n_sent} appends in 6 s");
    }
}
