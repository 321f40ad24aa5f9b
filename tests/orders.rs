//! Unit tests of the order state machines.

use comfreyhead::prelude::*;
use comfreyhead::process::orders::{
    AppendFault, AppendLimits, AppendQueue, AttemptId, BatchDelay, BatchId, BodyDigest,
    EntryAction, EntryEvent, EntryOrders, FindingOutcome, HolderAction, HolderActions, HolderEvent,
    HolderIdentity, KeyError, KeyHistory, KeyState, KeyUse, LogAction, LogEntry, LogEvent, LogPage,
    OperatorFinding, OrderAnswer, OrderChange, OrderClaim, OrderHolder, OrderKey, OrderRecord,
    OrderReply, OrderRequest, OrderSettings, OrderSettlement, OrderShard, OrderVoid, OrderWindow,
    ReadId, RecordEffect, ReplyReason, SettlementAuthor, ShardFold, ShardReader, TryId, TryRequest,
    VoidReason, rank_agents, stream_name,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use uuid::{Builder, Uuid};

const T0: Timestamp = Timestamp::from_millis(1_700_000_000_000);
const SECOND: Duration = Duration::from_secs(1);

fn key(n: u8) -> OrderKey {
    key_at(T0, n)
}

fn key_at(time: Timestamp, n: u8) -> OrderKey {
    let id = Builder::from_unix_timestamp_millis(time.as_millis(), &[n; 10]).into_uuid();
    OrderKey {
        account: AccountName::from("guild"),
        id,
    }
}

fn attempt(n: u128) -> AttemptId {
    AttemptId(Uuid::from_u128(n))
}

fn digest(body: &[u8]) -> BodyDigest {
    BodyDigest::of("ledger", "post", body)
}

fn claim_by(key: &OrderKey, n: u128, incarnation: u64) -> OrderRecord {
    let claim = OrderClaim {
        digest: digest(b"quills"),
        agent: AgentName::from("agent-1"),
        incarnation: ProcessIncarnation(incarnation),
        target: TargetName::from("ledger-1"),
        service: ServiceName::from("ledger"),
        call: "post".into(),
    };
    OrderRecord::new(key.clone(), attempt(n), OrderChange::Claim(claim))
}

fn claim(key: &OrderKey, n: u128) -> OrderRecord {
    claim_by(key, n, 1)
}

fn void(key: &OrderKey, n: u128) -> OrderRecord {
    let void = OrderVoid {
        reason: VoidReason::NoAgent,
        entry: EntryName::from("entry-1"),
    };
    OrderRecord::new(key.clone(), attempt(n), OrderChange::Void(void))
}

fn settle(key: &OrderKey, n: u128, outcome: RequestOutcome) -> OrderRecord {
    let settlement = OrderSettlement {
        outcome,
        answer: None,
        by: SettlementAuthor::Agent {
            agent: AgentName::from("agent-1"),
            incarnation: ProcessIncarnation(1),
        },
    };
    OrderRecord::new(key.clone(), attempt(n), OrderChange::Settle(settlement))
}

fn fold_of(records: &[OrderRecord]) -> ShardFold {
    let mut fold = ShardFold::starting_at(OrderWindow::default(), LogOffset(1));
    for (idx, record) in records.iter().enumerate() {
        fold.apply(LogOffset(idx as u64 + 1), T0, &record.to_value());
    }
    fold
}

fn entries(records: &[OrderRecord]) -> Vec<LogEntry> {
    let entry = |(idx, record): (usize, &OrderRecord)| LogEntry {
        offset: LogOffset(idx as u64 + 1),
        at: T0,
        value: record.to_value(),
    };
    records.iter().enumerate().map(entry).collect()
}

fn page(entries: &[LogEntry], from: LogOffset, max: usize) -> LogPage {
    let records = entries.iter().skip(from.0 as usize - 1).take(max);
    LogPage {
        records: records.cloned().collect(),
        oldest: LogOffset(1),
        tail: LogOffset(entries.len() as u64 + 1),
    }
}

fn holder() -> OrderHolder {
    let identity = HolderIdentity {
        agent: AgentName::from("agent-1"),
        incarnation: ProcessIncarnation(1),
        target: TargetName::from("ledger-1"),
    };
    OrderHolder::new(identity, OrderSettings::default())
}

fn request(key: &OrderKey, n: u128, key_history: KeyHistory) -> OrderRequest {
    OrderRequest {
        key: key.clone(),
        attempt: attempt(n),
        digest: digest(b"quills"),
        service: ServiceName::from("ledger"),
        call: "post".into(),
        deadline: T0 + SECOND * 10,
        key_history,
    }
}

fn reads_of(actions: &HolderActions) -> Vec<(ReadId, LogOffset, usize)> {
    let read = |action: &HolderAction| match action {
        HolderAction::Log(LogAction::Read {
            read, from, max, ..
        }) => Some((*read, *from, *max)),
        _ => None,
    };
    actions.iter().filter_map(read).collect()
}

fn replies_of(actions: &[HolderAction]) -> Vec<OrderReply> {
    let reply = |action: &HolderAction| match action {
        HolderAction::Reply { reply, .. } => Some(reply.clone()),
        _ => None,
    };
    actions.iter().filter_map(reply).collect()
}

fn n_runs(actions: &[HolderAction]) -> usize {
    let runs = actions
        .iter()
        .filter(|action| matches!(action, HolderAction::Run { .. }));
    runs.count()
}

/// A holder with an in-memory stream that answers its reads and appends.
struct HolderHarness {
    holder: OrderHolder,
    stream: Vec<LogEntry>,
    events: Vec<HolderEvent>,
    now: Timestamp,
}

fn harness(holder: OrderHolder) -> HolderHarness {
    HolderHarness {
        holder,
        stream: Vec::new(),
        events: Vec::new(),
        now: T0,
    }
}

impl HolderHarness {
    /// Delivers an event to the holder, answers its log requests and returns its other actions.
    fn serve(&mut self, event: HolderEvent) -> Vec<HolderAction> {
        self.serve_rounds(event, 10)
    }

    fn serve_rounds(&mut self, event: HolderEvent, n_rounds: u32) -> Vec<HolderAction> {
        let mut other_actions = Vec::new();
        self.events.push(event);
        for _ in 0..n_rounds {
            for event in std::mem::take(&mut self.events) {
                for action in self.holder.on_event(self.now, event) {
                    match action {
                        HolderAction::Log(action) => {
                            let event = serve_log(&mut self.stream, action);
                            self.events.push(HolderEvent::Log(event));
                        }
                        action => other_actions.push(action),
                    }
                }
            }
        }
        other_actions
    }
}

fn serve_log(stream: &mut Vec<LogEntry>, action: LogAction) -> LogEvent {
    match action {
        LogAction::Read {
            read, from, max, ..
        } => LogEvent::ReadDone {
            read,
            page: page(stream, from, max),
        },
        LogAction::Append { batch, records, .. } => {
            let first = LogOffset(stream.len() as u64 + 1);
            for record in records {
                stream.push(LogEntry {
                    offset: LogOffset(stream.len() as u64 + 1),
                    at: T0,
                    value: record.to_value(),
                });
            }
            LogEvent::Appended { batch, first }
        }
    }
}

#[test]
fn a_key_is_a_uuid_with_its_time() {
    let account = AccountName::from("guild");

    let quoted = OrderKey::parse(&account, "\"018bcfe5-6800-7101-8101-010101010101\"");
    let version4 = OrderKey::parse(&account, "d7a2ad16-6e3d-4b2b-b0a6-3d6c3b5f2c11");
    let text = OrderKey::parse(&account, "order 7");

    assert_eq!(quoted.map(|key| key.time()), Ok(T0));
    assert!(matches!(version4, Err(KeyError::NotVersion7(_))));
    assert_eq!(text, Err(KeyError::NotUuid("order 7".to_owned())));
}

#[test]
fn the_shard_of_a_key_is_stable() {
    let shards: Vec<_> = (0..6).map(|n| stream_name(key(n).shard())).collect();

    insta::assert_snapshot!(shards.join(" "), @"orders-16-00 orders-16-01 orders-16-05 orders-16-01 orders-16-14 orders-16-11");
}

#[test]
fn a_claim_is_serialized_in_the_stored_format() {
    let value = claim(&key(1), 2).to_value();

    insta::assert_snapshot!(value, @r#"{"agent":"agent-1","attempt":"00000000-0000-0000-0000-000000000002","call":"post","digest":"d83f7609625a8150fbc8260528ed2d683279ca728470c3840ed4f0fe8d2705a8","format":1,"incarnation":1,"key":{"account":"guild","id":"018bcfe5-6800-7101-8101-010101010101"},"service":"ledger","target":"ledger-1","type":"claim"}"#);
    assert_eq!(
        serde_json::from_value::<OrderRecord>(value).ok(),
        Some(claim(&key(1), 2))
    );
}

#[test]
fn the_first_claim_or_void_decides() {
    let (claimed, voided) = (key(1), key(2));

    let fold = fold_of(&[
        claim(&claimed, 1),
        void(&claimed, 2),
        claim(&claimed, 3),
        void(&voided, 4),
        claim(&voided, 5),
        settle(&voided, 5, RequestOutcome::Answered),
    ]);

    let state = fold.state_of(&claimed);
    assert!(matches!(state, KeyState::Claimed(open) if open.attempt == attempt(1)));
    assert_eq!(fold.state_of(&voided), KeyState::Voided);
    assert_eq!(fold.state_of(&key(3)), KeyState::Free);
}

#[test]
fn only_the_claims_own_attempt_settles_it() {
    let key = key(1);

    let fold = fold_of(&[claim(&key, 1), settle(&key, 2, RequestOutcome::NotRun)]);

    assert!(matches!(fold.state_of(&key), KeyState::Claimed(_)));
}

#[test]
fn the_holders_settlement_overrides_an_operators_finding() {
    let key = key(1);
    let mut fold = fold_of(&[claim(&key, 1), settle(&key, 1, RequestOutcome::Unknown)]);
    let open = fold.open_claims().remove(0);
    let finding = OperatorFinding {
        operator: "Ilse".into(),
        outcome: FindingOutcome::NotRun,
        note: "no posting in the ledger".into(),
    };

    let early = open.settle(T0 + SECOND, &finding);
    let record = open
        .settle(T0 + SECOND * 3_600, &finding)
        .expect("an old claim");
    fold.apply(LogOffset(3), T0, &record.to_value());
    let found = fold.state_of(&key);
    let late = settle(&key, 1, RequestOutcome::Answered);
    fold.apply(LogOffset(4), T0, &late.to_value());
    let final_state = fold.state_of(&key);

    assert!(early.is_err(), "the holder may still run a young claim");
    let outcome = |state| match state {
        KeyState::Settled { settlement, .. } => Some(settlement.outcome),
        _ => None,
    };
    assert_eq!(outcome(found), Some(RequestOutcome::NotRun));
    assert_eq!(outcome(final_state), Some(RequestOutcome::Answered));
    assert_eq!(fold.open_claims(), Vec::new());
}

#[test]
fn the_log_services_time_decides_whether_a_claim_is_valid() {
    let window = OrderWindow::default();
    let (early, late) = (key(1), key(2));
    let mut fold = ShardFold::starting_at(window, LogOffset(1));

    let too_early = T0 - window.skew - SECOND;
    let effect = fold.apply(LogOffset(1), too_early, &claim(&early, 1).to_value());
    let too_late = T0 + window.validity + SECOND;
    let late_effect = fold.apply(LogOffset(2), too_late, &claim(&late, 2).to_value());

    assert_eq!(effect, RecordEffect::OutsideWindow(early));
    assert_eq!(late_effect, RecordEffect::OutsideWindow(late.clone()));
    assert_eq!(fold.state_of(&late), KeyState::Expired);
}

#[test]
fn a_fold_that_starts_later_does_not_cover_older_keys() {
    let (old, new) = (key(1), key_at(T0 + SECOND * 100, 2));
    let mut fold = ShardFold::starting_at(OrderWindow::default(), LogOffset(50));

    fold.apply(LogOffset(50), T0 + SECOND, &claim(&old, 1).to_value());

    assert_eq!(fold.state_of(&old), KeyState::NotCovered);
    assert_eq!(fold.state_of(&new), KeyState::Free);
}

#[test]
fn a_gap_in_the_stream_ends_the_coverage() {
    let old = key(1);
    let mut fold = fold_of(&[claim(&old, 1)]);

    fold.apply(LogOffset(9), T0 + SECOND, &claim(&key(2), 2).to_value());

    assert_eq!(fold.state_of(&old), KeyState::NotCovered);
}

#[test]
fn a_record_in_a_newer_format_closes_its_key() {
    let key = key(1);
    let mut value = claim(&key, 1).to_value();
    value["format"] = 2.into();
    value["type"] = "lease".into();
    let mut fold = fold_of(&[]);

    fold.apply(LogOffset(1), T0, &value);

    assert_eq!(fold.state_of(&key), KeyState::NewerFormat);
}

#[test]
fn the_number_of_keys_is_bounded_by_the_window() {
    let mut fold = fold_of(&[]);

    for n in 0..4_000_u64 {
        let at = T0 + SECOND * 10 * n as u32;
        let key = key_at(at, n as u8);
        let records = [claim(&key, 1), settle(&key, 1, RequestOutcome::Answered)];
        for (idx, record) in records.iter().enumerate() {
            fold.apply(LogOffset(1 + 2 * n + idx as u64), at, &record.to_value());
        }
    }

    // Validity and regression make 3605 s, with one order every ten seconds.
    assert!(fold.n_keys() <= 362, "{} keys", fold.n_keys());
}

#[test]
fn a_new_reader_reads_only_the_end_of_a_long_stream() {
    let n_entries = 100_000_u64;
    let entry = |n: u64| LogEntry {
        offset: LogOffset(n),
        at: T0 + Duration::from_millis(100) * n as u32,
        value: serde_json::Value::Null,
    };
    let now = entry(n_entries).at;
    let mut reader = ShardReader::covering(OrderWindow::default(), now - SECOND * 70);
    let (mut n_reads, mut n_records) = (0, 0);

    while reader.fold().is_none() {
        let from = reader.next_read().from.0;
        let max = if n_reads < 18 { 1 } else { 1_024 };
        let last = n_entries.min(from + max - 1);
        let records: Vec<_> = (from..=last).map(entry).collect();
        n_reads += 1;
        n_records += records.len();
        let page = LogPage {
            records,
            oldest: LogOffset(1),
            tail: LogOffset(n_entries + 1),
        };
        reader.on_page(now, &page);
    }

    assert!(n_reads <= 24, "{n_reads} reads");
    assert!(
        n_records <= 800,
        "{n_records} records for 70 s at 10 records per second"
    );
}

#[test]
fn an_order_runs_after_its_claim_was_read_back() {
    let key = key(1);
    let mut harness = harness(holder());

    let arrived = HolderEvent::Arrived(request(&key, 1, KeyHistory::Repeat));
    let first = harness.serve(arrived.clone());
    let copy = harness.serve(arrived);

    assert_eq!(n_runs(&first), 1);
    assert_eq!(n_runs(&copy), 0);
    assert_eq!(harness.stream.len(), 1);
}

#[test]
fn a_prepared_shard_accepts_an_order_without_a_read() {
    let key = key(1);
    let mut harness = harness(holder());
    harness.serve(HolderEvent::Prepare(key.shard()));

    let arrived = HolderEvent::Arrived(request(&key, 1, KeyHistory::Repeat));
    let actions = harness.holder.on_event(T0, arrived);

    let appends =
        |action: &HolderAction| matches!(action, HolderAction::Log(LogAction::Append { .. }));
    assert!(actions.iter().any(appends));
}

#[test]
fn a_repeat_gets_the_settled_answer_and_another_body_is_refused() {
    let key = key(1);
    let mut harness = harness(holder());
    let arrived = HolderEvent::Arrived(request(&key, 1, KeyHistory::FirstUse));
    harness.serve(arrived);
    let answer = OrderAnswer::bounded(201, "text/plain", b"posted", 4_096);
    let answered = HolderEvent::TargetAnswered {
        attempt: attempt(1),
        answer: answer.clone(),
    };
    harness.now = T0 + SECOND;
    harness.serve(answered);

    let repeat = request(&key, 2, KeyHistory::Repeat);
    let other = OrderRequest {
        digest: digest(b"strings"),
        ..request(&key, 3, KeyHistory::Repeat)
    };
    let repeat = harness.serve(HolderEvent::Arrived(repeat));
    let other = harness.serve(HolderEvent::Arrived(other));

    assert_eq!(replies_of(&repeat)[0].answer, Some(answer));
    assert_eq!(replies_of(&other)[0].reason, ReplyReason::BodyMismatch);
    assert_eq!(n_runs(&repeat) + n_runs(&other), 0);
}

#[test]
fn a_claim_of_an_earlier_incarnation_is_never_used() {
    let key = key(1);
    let mut harness = harness(OrderHolder::new(
        HolderIdentity {
            agent: AgentName::from("agent-1"),
            incarnation: ProcessIncarnation(2),
            target: TargetName::from("ledger-1"),
        },
        OrderSettings::default(),
    ));
    harness.stream = entries(&[claim_by(&key, 1, 1)]);

    let arrived = HolderEvent::Arrived(request(&key, 1, KeyHistory::Repeat));
    let actions = harness.serve(arrived);

    assert_eq!(n_runs(&actions), 0);
    assert_eq!(harness.holder.open_claims().len(), 1);
}

#[test]
fn a_claim_read_back_after_the_deadline_is_settled_as_not_run() {
    let key = key(1);
    let mut harness = harness(holder());
    let arrived = HolderEvent::Arrived(request(&key, 1, KeyHistory::Repeat));
    harness.serve_rounds(arrived, 3);
    assert_eq!(
        harness.stream.len(),
        1,
        "the claim was written but not read back"
    );

    harness.now = T0 + SECOND * 11;
    let actions = harness.serve(HolderEvent::Tick);

    assert_eq!(replies_of(&actions)[0].outcome, RequestOutcome::Unknown);
    assert_eq!(n_runs(&actions), 0);
    let mut fold = fold_of(&[]);
    for entry in &harness.stream {
        fold.apply(entry.offset, entry.at, &entry.value);
    }
    let state = fold.state_of(&key);
    let settled = |settlement: &OrderSettlement| settlement.outcome == RequestOutcome::NotRun;
    assert!(matches!(state, KeyState::Settled { settlement, .. } if settled(&settlement)));
}

#[test]
fn an_order_is_refused_immediately_while_the_log_is_unreachable() {
    for (history, outcome, key_use) in [
        (
            KeyHistory::FirstUse,
            RequestOutcome::NotRun,
            KeyUse::Reusable,
        ),
        (
            KeyHistory::Repeat,
            RequestOutcome::Unknown,
            KeyUse::AskAgain,
        ),
    ] {
        let mut holder = holder();
        let arrived = HolderEvent::Arrived(request(&key(1), 1, history));
        let mut actions = holder.on_event(T0, arrived);

        for _ in 0..2 {
            let read = reads_of(&actions)[0].0;
            let failed = HolderEvent::Log(LogEvent::ReadFailed { read });
            actions = holder.on_event(T0, failed);
        }

        let reply = &replies_of(&actions)[0];
        assert_eq!((reply.outcome, reply.key_use), (outcome, key_use));
        assert_eq!(reply.reason, ReplyReason::LogAway);
        assert_eq!(reply.retry_after_ms, Some(1_000));
    }
}

#[test]
fn a_try_without_an_agent_closes_the_key() {
    let key = key(1);
    let rng = ChaCha8Rng::seed_from_u64(1);
    let mut orders = EntryOrders::new("entry-1".into(), OrderSettings::default(), rng);
    let mut stream = Vec::new();
    let request = TryRequest {
        key: key.clone(),
        digest: digest(b"quills"),
        service: ServiceName::from("ledger"),
        call: "post".into(),
        deadline: T0 + SECOND * 10,
        key_history: KeyHistory::Repeat,
    };
    let try_id = TryId(1);
    let mut events = vec![EntryEvent::Submitted { try_id, request }];
    let mut answers = Vec::new();

    for _ in 0..10 {
        for event in std::mem::take(&mut events) {
            for action in orders.on_event(T0, event) {
                match action {
                    EntryAction::Log(action) => {
                        events.push(EntryEvent::Log(serve_log(&mut stream, action)));
                    }
                    EntryAction::Dispatch { order, .. } => events.push(EntryEvent::NoAgent {
                        attempt: order.attempt,
                    }),
                    EntryAction::Answer { reply, .. } => answers.push(reply),
                }
            }
        }
    }

    assert_eq!(answers, vec![OrderReply::voided()]);
    let mut fold = fold_of(&[]);
    fold.apply(LogOffset(1), T0, &stream[0].value);
    assert_eq!(fold.state_of(&key), KeyState::Voided);
}

#[test]
fn a_batch_fills_while_the_appends_in_flight_are_at_their_limit() {
    let mut queue = AppendQueue::new(AppendLimits {
        max_batch: 256,
        max_in_flight: 1,
        batch_delay: BatchDelay::Fixed(Duration::ZERO),
    });
    queue.push(T0, claim(&key(1), 1));
    let sent = queue.send(T0, BatchId(1));

    queue.push(T0, claim(&key(2), 2));
    queue.push(T0, claim(&key(3), 3));
    let due = queue.due();
    queue.finish(BatchId(1));

    assert_eq!((sent.len(), due), (1, None));
    assert_eq!(queue.due(), Some(T0));
    assert_eq!(queue.send(T0, BatchId(2)).len(), 2);
}

#[test]
fn an_append_is_sent_at_once_after_an_idle_period_and_spaced_under_load() {
    let interval = Duration::from_millis(60);
    let delay = BatchDelay::Spaced(interval);

    assert_eq!(delay.due(T0 + SECOND, T0), T0 + SECOND);
    assert_eq!(delay.due(T0, T0), T0 + interval);
    assert_eq!(
        BatchDelay::Fixed(interval).due(T0 + SECOND, T0),
        T0 + SECOND + interval
    );
}

#[test]
fn a_refused_append_leaves_the_key_reusable() {
    let key = key(1);
    let mut holder = holder();
    let mut stream = Vec::new();
    let mut events = vec![HolderEvent::Arrived(request(&key, 1, KeyHistory::FirstUse))];
    let mut other_actions = Vec::new();

    for _ in 0..6 {
        for event in std::mem::take(&mut events) {
            for action in holder.on_event(T0 + SECOND, event) {
                match action {
                    HolderAction::Log(LogAction::Append { batch, .. }) => {
                        let fault = AppendFault::Unreachable;
                        let failed = LogEvent::AppendFailed { batch, fault };
                        events.push(HolderEvent::Log(failed));
                    }
                    HolderAction::Log(action) => {
                        events.push(HolderEvent::Log(serve_log(&mut stream, action)));
                    }
                    action => other_actions.push(action),
                }
            }
        }
    }

    let reply = &replies_of(&other_actions)[0];
    assert_eq!(reply.outcome, RequestOutcome::NotRun);
    assert_eq!(reply.key_use, KeyUse::Reusable);
}

#[test]
fn a_shards_orders_go_to_one_agent_of_many() {
    let agents: Vec<_> = (0..3).map(|n| AgentName::from(format!("a{n}"))).collect();

    let best = |agents: &[AgentName]| -> Vec<_> {
        OrderShard::all()
            .map(|shard| rank_agents(shard, agents)[0].clone())
            .collect()
    };
    let (before, after) = (best(&agents), best(&agents[..2]));

    for (before, after) in before.iter().zip(&after) {
        assert!(
            before == after || *before == agents[2],
            "only the lost agent's shards move"
        );
    }
}
