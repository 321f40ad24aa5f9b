//! Randomised tests of the order state machines under faults of the network, processes and log.
//!
//! Each case is a schedule of deliveries, losses, pauses, crashes and outages. The state machines
//! assert at-most-once execution themselves; the simulated target checks it independently.
//! What is told about a closed key must be what the stream alone gives at that time, and what every
//! later ask gives, also where all agents have lost their power in between.
//! `COMFREYHEAD_CASES` sets the number of cases per profile for a longer run.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};

use comfreyhead::prelude::*;
use comfreyhead::process::orders::{
    AppendFault, AttemptId, BodyDigest, EntryAction, EntryEvent, EntryOrders, HolderAction,
    HolderEvent, HolderIdentity, KeyHistory, KeyUse, LogAction, LogEntry, LogEvent, LogPage,
    OrderAnswer, OrderHolder, OrderKey, OrderReply, OrderRequest, OrderSettings, OrderShard,
    OrderWindow, ReplyReason, ShardFold, TryId, TryRequest,
};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use uuid::Builder;

const N_AGENTS: usize = 2;
const N_ENTRIES: usize = 2;
const CASES_PER_PROFILE: u32 = 2_500;
/// The totals of asks that gave again what was told.
const CONFIRMED: &str = "confirmed";
const CONFIRMED_AFTER_LOSS: &str = "confirmed after a loss of power";
const START: Timestamp = Timestamp::from_millis(1_700_000_000_000);

#[derive(Clone, Debug)]
enum SimulationStep {
    Submit { entry: usize, pick: usize, body: u8 },
    Deliver(usize),
    Lose(usize),
    LoseAnswer(usize),
    ReadStale(usize),
    Advance(u64),
    CrashAgent(usize),
    CrashEntry(usize),
    Pause(usize),
    Resume(usize),
    LogDown,
    LogUp,
}

/// How a schedule ends before all faults end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ScheduleEnd {
    Orderly,
    /// All agents lose their power, with the appends that were on their way.
    PowerLost,
}

/// The weight added to each kind of fault, and the longest advance of the clock.
#[derive(Clone, Copy)]
struct FaultProfile {
    losses: u32,
    crashes: u32,
    pauses: u32,
    outages: u32,
    max_advance_ms: u64,
}

const FEW_FAULTS: FaultProfile = FaultProfile {
    losses: 0,
    crashes: 0,
    pauses: 0,
    outages: 0,
    max_advance_ms: 1_000,
};

fn any_step(profile: FaultProfile) -> impl Strategy<Value = SimulationStep> {
    let submit = (0..N_ENTRIES, any::<usize>(), 0..8_u8);
    let submit = submit.prop_map(|(entry, pick, body)| SimulationStep::Submit {
        entry,
        pick,
        body: body / 7,
    });
    prop_oneof![
        12 => submit,
        100 => any::<usize>().prop_map(SimulationStep::Deliver),
        1 + profile.losses => any::<usize>().prop_map(SimulationStep::Lose),
        1 + profile.losses => any::<usize>().prop_map(SimulationStep::LoseAnswer),
        1 + profile.losses => any::<usize>().prop_map(SimulationStep::ReadStale),
        20 => (0..=100_u64).prop_map(SimulationStep::Advance),
        2 => (0..=profile.max_advance_ms).prop_map(SimulationStep::Advance),
        1 + profile.crashes => (0..N_AGENTS).prop_map(SimulationStep::CrashAgent),
        1 + profile.crashes => (0..N_ENTRIES).prop_map(SimulationStep::CrashEntry),
        1 + profile.pauses => (0..N_AGENTS).prop_map(SimulationStep::Pause),
        1 + profile.pauses => (0..N_AGENTS).prop_map(SimulationStep::Resume),
        1 + profile.outages => Just(SimulationStep::LogDown),
        3 + 2 * profile.outages => Just(SimulationStep::LogUp),
    ]
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Sender {
    Agent(usize, u64),
    Entry(usize, u64),
}

/// A message in flight.
#[derive(Clone, Debug)]
enum Message {
    Dispatch(Sender, Sender, OrderRequest),
    Reply(AttemptId, OrderReply),
    Append(Sender, LogAction, Report),
    Read(Sender, LogAction),
    LogAnswer(Sender, LogEvent),
    Run(Sender, AttemptId, Report),
    TargetAnswer(Sender, AttemptId),
}

/// Whether the sender still waits for the result of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Report {
    Awaited,
    Abandoned,
}

#[derive(Default)]
struct FakeLog {
    streams: BTreeMap<OrderShard, Vec<LogEntry>>,
    is_down: bool,
}

struct Caller {
    key: OrderKey,
    body: u8,
    history: KeyHistory,
    entry: Sender,
    attempts: Vec<AttemptId>,
    reply: Option<OrderReply>,
}

struct Dispatched {
    order: OrderRequest,
    entry: Sender,
    agent: Sender,
}

struct Simulation {
    now: Timestamp,
    agents: Vec<OrderHolder>,
    entries: Vec<EntryOrders>,
    agent_incarnations: [u64; N_AGENTS],
    entry_incarnations: [u64; N_ENTRIES],
    paused: [bool; N_AGENTS],
    log: FakeLog,
    messages: Vec<Message>,
    dispatched: BTreeMap<AttemptId, Dispatched>,
    callers: BTreeMap<TryId, Caller>,
    keys: Vec<OrderKey>,
    ran_by: BTreeMap<OrderKey, AttemptId>,
    never_runs: BTreeSet<OrderKey>,
    /// What callers were told about closed keys, by the body that they sent.
    told: BTreeMap<(OrderKey, u8), OrderReply>,
    outcomes: BTreeMap<String, u64>,
}

fn entry_orders(entry: usize, incarnation: u64) -> EntryOrders {
    let rng = ChaCha8Rng::seed_from_u64(incarnation * 100 + entry as u64);
    let name = EntryName::from(format!("entry-{entry}"));
    EntryOrders::new(name, OrderSettings::default(), rng)
}

fn order_holder(agent: usize, incarnation: u64) -> OrderHolder {
    let identity = HolderIdentity {
        agent: AgentName::from(format!("agent-{agent}")),
        incarnation: ProcessIncarnation(incarnation),
        target: TargetName::from(format!("ledger-{agent}")),
    };
    OrderHolder::new(identity, OrderSettings::default())
}

fn digest_of(body: u8) -> BodyDigest {
    BodyDigest::of("ledger", "post", &[body])
}

impl Simulation {
    fn new() -> Self {
        Self {
            now: START,
            agents: (0..N_AGENTS).map(|agent| order_holder(agent, 1)).collect(),
            entries: (0..N_ENTRIES).map(|entry| entry_orders(entry, 1)).collect(),
            agent_incarnations: [1; N_AGENTS],
            entry_incarnations: [1; N_ENTRIES],
            paused: [false; N_AGENTS],
            log: FakeLog::default(),
            messages: Vec::new(),
            dispatched: BTreeMap::new(),
            callers: BTreeMap::new(),
            keys: Vec::new(),
            ran_by: BTreeMap::new(),
            never_runs: BTreeSet::new(),
            told: BTreeMap::new(),
            outcomes: BTreeMap::new(),
        }
    }

    /// The clock of a process: one agent's runs ahead, the others' behind, within the allowed skew.
    fn clock(&self, sender: Sender) -> Timestamp {
        match sender {
            Sender::Agent(0, _) => self.now + Duration::from_secs(12),
            Sender::Agent(..) => self.now - Duration::from_secs(12),
            Sender::Entry(..) => self.now,
        }
    }

    fn is_alive(&self, sender: Sender) -> bool {
        match sender {
            Sender::Agent(agent, incarnation) => self.agent_incarnations[agent] == incarnation,
            Sender::Entry(entry, incarnation) => self.entry_incarnations[entry] == incarnation,
        }
    }

    fn step(&mut self, step: &SimulationStep) {
        match *step {
            SimulationStep::Submit { entry, pick, body } => self.submit(entry, pick, body),
            SimulationStep::Deliver(pick) => self.with_message(pick, Self::deliver),
            SimulationStep::Lose(pick) => self.with_message(pick, Self::lose),
            SimulationStep::LoseAnswer(pick) => self.with_message(pick, Self::lose_answer),
            SimulationStep::ReadStale(pick) => self.with_message(pick, |simulation, message| {
                simulation.deliver_lagging(message, 1);
            }),
            SimulationStep::Advance(millis) => self.advance(Duration::from_millis(millis)),
            SimulationStep::CrashAgent(agent) => {
                self.crash_agent(agent);
            }
            SimulationStep::CrashEntry(entry) => {
                self.entry_incarnations[entry] += 1;
                self.entries[entry] = entry_orders(entry, self.entry_incarnations[entry]);
            }
            SimulationStep::Pause(agent) => self.paused[agent] = true,
            SimulationStep::Resume(agent) => self.paused[agent] = false,
            SimulationStep::LogDown => self.log.is_down = true,
            SimulationStep::LogUp => self.log.is_down = false,
        }
    }

    /// Restarts an agent; for about half of its attempts the entry notices the lost connection at
    /// once.
    fn crash_agent(&mut self, agent: usize) {
        let crashed = Sender::Agent(agent, self.agent_incarnations[agent]);
        self.agent_incarnations[agent] += 1;
        self.agents[agent] = order_holder(agent, self.agent_incarnations[agent]);
        self.paused[agent] = false;
        let noticed = |(attempt, sent): (&AttemptId, &Dispatched)| {
            let notices = sent.agent == crashed && attempt.0.as_bytes()[0] % 2 == 0;
            notices.then_some((sent.entry, *attempt))
        };
        let lost: Vec<_> = self.dispatched.iter().filter_map(noticed).collect();
        for (entry, attempt) in lost {
            self.entry_event(entry, EntryEvent::AgentLost { attempt });
        }
    }

    /// Picks mostly one of the four oldest messages, so that orders make progress.
    fn with_message(&mut self, pick: usize, act: fn(&mut Self, Message)) {
        if self.messages.is_empty() {
            return;
        }
        let near = pick % self.messages.len().min(4);
        let any = pick / 8 % self.messages.len();
        let idx = if (pick / 4).is_multiple_of(8) {
            any
        } else {
            near
        };
        let message = self.messages.remove(idx);
        act(self, message);
    }

    /// Submits an order. No key is submitted again while the caller that marked its first use waits
    /// for the reply, as the protocol demands of callers.
    fn submit(&mut self, entry: usize, pick: usize, body: u8) {
        let is_new = self.keys.is_empty() || pick.is_multiple_of(3);
        if is_new {
            self.keys.push(self.new_key());
        }
        let idx = if is_new {
            self.keys.len() - 1
        } else {
            pick / 3 % self.keys.len()
        };
        let key = self.keys[idx].clone();
        let is_waiting = |caller: &Caller| {
            caller.key == key && caller.history == KeyHistory::FirstUse && caller.reply.is_none()
        };
        if self.callers.values().any(is_waiting) {
            return;
        }
        let marks_first_use = is_new && (pick / 3).is_multiple_of(2);
        let history = if marks_first_use {
            KeyHistory::FirstUse
        } else {
            KeyHistory::Repeat
        };
        self.submit_order(entry, key, body, history);
    }

    fn submit_order(
        &mut self,
        entry: usize,
        key: OrderKey,
        body: u8,
        history: KeyHistory,
    ) -> TryId {
        let try_id = TryId(self.callers.len() as u64 + 1);
        let request = TryRequest {
            key: key.clone(),
            digest: digest_of(body),
            service: ServiceName::from("ledger"),
            call: "post".into(),
            deadline: self.now + Duration::from_secs(20),
            key_history: history,
        };
        let entry = Sender::Entry(entry, self.entry_incarnations[entry]);
        let caller = Caller {
            key,
            body,
            history,
            entry,
            attempts: Vec::new(),
            reply: None,
        };
        self.callers.insert(try_id, caller);
        self.entry_event(entry, EntryEvent::Submitted { try_id, request });
        try_id
    }

    /// Creates a key; the clocks of callers differ from the log service's by up to ten seconds.
    fn new_key(&self) -> OrderKey {
        let n = self.keys.len() as u64;
        let millis = self.now.as_millis() + 5_000 * (n % 5) - 10_000;
        let random = [n as u8, 0, 0, 0, 0, 0, 0, 0, 0, 1];
        OrderKey {
            account: AccountName::from("guild"),
            id: Builder::from_unix_timestamp_millis(millis, &random).into_uuid(),
        }
    }

    fn advance(&mut self, by: Duration) {
        self.now = self.now + by;
        for agent in 0..N_AGENTS {
            if !self.paused[agent] {
                let sender = Sender::Agent(agent, self.agent_incarnations[agent]);
                self.agent_event(sender, HolderEvent::Tick);
            }
        }
        for entry in 0..N_ENTRIES {
            let sender = Sender::Entry(entry, self.entry_incarnations[entry]);
            self.entry_event(sender, EntryEvent::Tick);
        }
    }

    fn agent_event(&mut self, sender: Sender, event: HolderEvent) {
        let Sender::Agent(agent, _) = sender else {
            return;
        };
        if !self.is_alive(sender) {
            return;
        }
        let now = self.clock(sender);
        for action in self.agents[agent].on_event(now, event) {
            let message = match action {
                HolderAction::Log(action) => log_message(sender, action),
                HolderAction::Run { attempt, .. } => Message::Run(sender, attempt, Report::Awaited),
                HolderAction::Reply { attempt, reply } => {
                    let order = &self.dispatched[&attempt].order;
                    let (key, digest) = (order.key.clone(), order.digest);
                    self.check_reply(&key, digest, &reply);
                    Message::Reply(attempt, reply)
                }
            };
            self.messages.push(message);
        }
    }

    fn entry_event(&mut self, sender: Sender, event: EntryEvent) {
        let Sender::Entry(entry, _) = sender else {
            return;
        };
        if !self.is_alive(sender) {
            return;
        }
        for action in self.entries[entry].on_event(self.now, event) {
            match action {
                EntryAction::Log(action) => self.messages.push(log_message(sender, action)),
                EntryAction::Dispatch {
                    try_id,
                    order,
                    n_earlier,
                } => {
                    let agent = (try_id.0 as usize + n_earlier as usize) % N_AGENTS;
                    self.dispatch(sender, try_id, agent, order);
                }
                EntryAction::Answer { try_id, reply } => self.answer(try_id, &reply),
            }
        }
    }

    /// Dispatches an order. Clocks differ, so the deadline is sent as the remaining time.
    fn dispatch(&mut self, entry: Sender, try_id: TryId, agent: usize, order: OrderRequest) {
        let to = Sender::Agent(agent, self.agent_incarnations[agent]);
        let remaining = order.deadline.since(self.now);
        let deadline = self.clock(to) + remaining;
        let order = OrderRequest { deadline, ..order };
        let attempt = order.attempt;
        let caller = self.callers.get_mut(&try_id).expect("a known try");
        caller.attempts.push(attempt);
        let dispatched = Dispatched {
            order: order.clone(),
            entry,
            agent: to,
        };
        self.dispatched.insert(attempt, dispatched);
        self.messages.push(Message::Dispatch(entry, to, order));
    }

    fn answer(&mut self, try_id: TryId, reply: &OrderReply) {
        let caller = self.callers.get_mut(&try_id).expect("a known try");
        assert!(caller.reply.is_none(), "a try has one reply");
        caller.reply = Some(reply.clone());
        let name = format!("{}/{}", reply.outcome, reply.reason);
        *self.outcomes.entry(name).or_default() += 1;
        let (key, body) = (caller.key.clone(), caller.body);
        self.check_reply(&key, digest_of(body), reply);
        if reply.key_use == KeyUse::Closed {
            let told = self.told.entry((key, body));
            let before = told.or_insert_with(|| reply.clone());
            assert_eq!(before, reply, "a closed key always gets the same outcome");
        }
    }

    /// Returns what the stream alone tells about a key.
    fn stored_reply(&self, key: &OrderKey, digest: BodyDigest) -> Option<OrderReply> {
        let mut fold = ShardFold::starting_at(OrderWindow::default(), LogOffset(1));
        for entry in self.log.streams.get(&key.shard()).into_iter().flatten() {
            fold.apply(entry.offset, entry.at, &entry.value);
        }
        fold.state_of(key)
            .reply_to(digest, OrderSettings::default().retry_after)
    }

    /// Checks a reply against the runs so far and records the keys that must never run later.
    fn check_reply(&mut self, key: &OrderKey, digest: BodyDigest, reply: &OrderReply) {
        if reply.key_use == KeyUse::Closed {
            let stored = self.stored_reply(key, digest);
            let stored = stored.expect("a closed key is decided in the stream");
            assert!(
                stored.reason == ReplyReason::KeyExpired || stored == *reply,
                "told {reply:?} with {stored:?} in the stream"
            );
        }
        let ran_by = self.ran_by.get(key);
        match reply.outcome {
            RequestOutcome::NotRun if reply.key_use == KeyUse::Closed => {
                assert!(ran_by.is_none(), "not-run of a key that ran");
                self.never_runs.insert(key.clone());
            }
            RequestOutcome::Answered | RequestOutcome::Failed => {
                let answer = reply.answer.as_ref().and_then(|answer| answer.body.clone());
                let expected = ran_by.map(ToString::to_string);
                assert_eq!(answer, expected, "the answer is that of the run");
            }
            _ => {}
        }
    }

    /// Counts a run at the target.
    fn count_run(&mut self, attempt: AttemptId) {
        let key = self.dispatched[&attempt].order.key.clone();
        assert!(!self.never_runs.contains(&key), "a key ran after not-run");
        let before = self.ran_by.insert(key, attempt);
        assert_eq!(before, None, "the target saw an order twice");
    }

    fn deliver(&mut self, message: Message) {
        self.deliver_lagging(message, 0);
    }

    fn deliver_lagging(&mut self, message: Message, n_hidden: usize) {
        let receiver = match &message {
            Message::Dispatch(_, to, _)
            | Message::LogAnswer(to, _)
            | Message::TargetAnswer(to, _) => Some(*to),
            _ => None,
        };
        if matches!(receiver, Some(Sender::Agent(agent, _)) if self.paused[agent]) {
            self.messages.push(message);
            return;
        }
        match message {
            Message::Dispatch(entry, to, order) if self.is_alive(to) => {
                let _ = entry;
                self.agent_event(to, HolderEvent::Arrived(order));
            }
            Message::Dispatch(entry, _, order) => {
                // A new incarnation refuses a dispatch to an earlier one.
                let attempt = order.attempt;
                self.entry_event(entry, EntryEvent::AgentUnreached { attempt });
            }
            Message::Reply(attempt, reply) => {
                let entry = self.dispatched[&attempt].entry;
                self.entry_event(entry, EntryEvent::AgentReplied { attempt, reply });
            }
            Message::Append(from, action, report) => self.append(from, action, report),
            Message::Read(from, action) => self.read(from, &action, n_hidden),
            Message::LogAnswer(to, event) => self.log_event(to, event),
            Message::Run(from, attempt, report) => {
                self.count_run(attempt);
                if report == Report::Awaited {
                    self.messages.push(Message::TargetAnswer(from, attempt));
                }
            }
            Message::TargetAnswer(to, attempt) => {
                let text = attempt.to_string();
                let answer = OrderAnswer::bounded(200, "text/plain", text.as_bytes(), 4_096);
                let event = if text.starts_with(['0', '1', '2']) {
                    HolderEvent::TargetFailed { attempt, answer }
                } else {
                    HolderEvent::TargetAnswered { attempt, answer }
                };
                self.agent_event(to, event);
            }
        }
    }

    fn log_event(&mut self, to: Sender, event: LogEvent) {
        match to {
            Sender::Agent(..) => self.agent_event(to, HolderEvent::Log(event)),
            Sender::Entry(..) => self.entry_event(to, EntryEvent::Log(event)),
        }
    }

    fn append(&mut self, from: Sender, action: LogAction, report: Report) {
        let LogAction::Append {
            batch,
            shard,
            records,
        } = action
        else {
            return;
        };
        let event = if self.log.is_down {
            let fault = AppendFault::Unreachable;
            LogEvent::AppendFailed { batch, fault }
        } else {
            let stream = self.log.streams.entry(shard).or_default();
            let first = LogOffset(stream.len() as u64 + 1);
            for record in records {
                // The log service's clock steps back by up to three seconds.
                let step_back = Duration::from_secs(stream.len() as u64 % 4);
                stream.push(LogEntry {
                    offset: LogOffset(stream.len() as u64 + 1),
                    at: self.now - step_back,
                    value: record.to_value(),
                });
            }
            LogEvent::Appended { batch, first }
        };
        if report == Report::Awaited {
            self.messages.push(Message::LogAnswer(from, event));
        }
    }

    fn read(&mut self, to: Sender, action: &LogAction, n_hidden: usize) {
        let LogAction::Read {
            read,
            shard,
            from,
            max,
            ..
        } = action
        else {
            return;
        };
        let read = *read;
        let stream = self.log.streams.entry(*shard).or_default();
        let n_seen = stream.len().saturating_sub(n_hidden);
        let records = stream[..n_seen].iter().skip(from.0 as usize - 1);
        let page = LogPage {
            records: records.take(*max).cloned().collect(),
            oldest: LogOffset(1),
            tail: LogOffset(n_seen as u64 + 1),
        };
        let event = if self.log.is_down {
            LogEvent::ReadFailed { read }
        } else {
            LogEvent::ReadDone { read, page }
        };
        self.messages.push(Message::LogAnswer(to, event));
    }

    /// Loses a message; its sender learns as much as a connection tells.
    fn lose(&mut self, message: Message) {
        match message {
            Message::Dispatch(entry, _, order) => {
                let attempt = order.attempt;
                self.entry_event(entry, EntryEvent::AgentUnreached { attempt });
            }
            Message::Reply(attempt, _) => {
                let entry = self.dispatched[&attempt].entry;
                self.entry_event(entry, EntryEvent::AgentLost { attempt });
            }
            Message::Append(from, LogAction::Append { batch, .. }, Report::Awaited) => {
                let fault = AppendFault::Refused;
                self.log_event(from, LogEvent::AppendFailed { batch, fault });
            }
            Message::Read(from, LogAction::Read { read, .. }) => {
                self.log_event(from, LogEvent::ReadFailed { read });
            }
            Message::LogAnswer(to, event) => self.log_event(to, without_answer(event)),
            Message::Run(from, attempt, Report::Awaited) => {
                self.agent_event(from, HolderEvent::TargetUnreached { attempt });
            }
            Message::TargetAnswer(to, attempt) => {
                self.agent_event(to, HolderEvent::TargetLost { attempt });
            }
            Message::Append(..) | Message::Read(..) | Message::Run(..) => {}
        }
    }

    /// Tells the sender that the answer is lost while the message is still on its way.
    fn lose_answer(&mut self, message: Message) {
        match message {
            Message::Dispatch(entry, to, order) => {
                let attempt = order.attempt;
                self.messages.push(Message::Dispatch(entry, to, order));
                self.entry_event(entry, EntryEvent::AgentLost { attempt });
            }
            Message::Append(from, action, Report::Awaited) => {
                let late = Message::Append(from, action.clone(), Report::Abandoned);
                self.messages.push(late);
                if let LogAction::Append { batch, .. } = action {
                    let fault = AppendFault::Unknown;
                    self.log_event(from, LogEvent::AppendFailed { batch, fault });
                }
            }
            Message::Run(from, attempt, Report::Awaited) => {
                self.messages
                    .push(Message::Run(from, attempt, Report::Abandoned));
                self.agent_event(from, HolderEvent::TargetLost { attempt });
            }
            other => self.messages.push(other),
        }
    }

    /// Takes the power of all agents; what was on its way from them to the log is lost.
    fn lose_power(&mut self) {
        for agent in 0..N_AGENTS {
            self.crash_agent(agent);
        }
        let is_lost = |message: &Message| matches!(message, Message::Append(Sender::Agent(..), ..));
        self.messages.retain(|message| !is_lost(message));
    }

    /// Asks again about every closed key, through agents that know only the stream; returns how many
    /// asks gave the outcome that was told.
    fn confirm_told(&mut self) -> u64 {
        self.lose_power();
        let told = self.told.clone();
        let asks: Vec<_> = told
            .keys()
            .map(|(key, body)| self.submit_order(0, key.clone(), *body, KeyHistory::Repeat))
            .collect();
        self.drain();
        let mut n_confirmed = 0;
        for (before, ask) in told.values().zip(asks) {
            let reply = self.callers[&ask].reply.as_ref().expect("a reply");
            let is_expired = reply.reason == ReplyReason::KeyExpired;
            assert!(
                is_expired || before == reply,
                "told {before:?}, then {reply:?}"
            );
            n_confirmed += u64::from(!is_expired);
        }
        n_confirmed
    }

    /// Ends all faults and lets everything come to its end.
    fn drain(&mut self) {
        self.log.is_down = false;
        self.paused.fill(false);
        for _ in 0..40 {
            for message in std::mem::take(&mut self.messages) {
                self.deliver(message);
            }
            self.advance(Duration::from_millis(700));
        }
    }

    /// Returns the attempts of which the streams have a record.
    fn recorded(&self) -> BTreeSet<AttemptId> {
        let records = self.log.streams.values().flatten();
        let attempts = records.map(|entry| entry.value["attempt"].clone());
        attempts
            .filter_map(|attempt| serde_json::from_value(attempt).ok())
            .collect()
    }

    fn check_end(&self) {
        let recorded = self.recorded();
        for caller in self.callers.values() {
            let ran_by = self.ran_by.get(&caller.key);
            let Some(reply) = &caller.reply else {
                assert!(!self.is_alive(caller.entry), "every caller gets a reply");
                continue;
            };
            let own_ran = ran_by.is_some_and(|attempt| caller.attempts.contains(attempt));
            let own_stands = caller.attempts.iter().any(|own| recorded.contains(own));
            let reusable = reply.key_use == KeyUse::Reusable;
            assert!(!reusable || !own_stands, "a reusable key has a record");
            let not_run = reply.outcome == RequestOutcome::NotRun;
            assert!(!not_run || !own_ran, "an attempt of a not-run try ran");
            if reply.outcome == RequestOutcome::Answered {
                let ran = &self.dispatched[ran_by.expect("a run")].order;
                assert_eq!(
                    ran.digest,
                    digest_of(caller.body),
                    "the answer to its own body"
                );
            }
        }
    }
}

fn log_message(from: Sender, action: LogAction) -> Message {
    match action {
        LogAction::Append { .. } => Message::Append(from, action, Report::Awaited),
        LogAction::Read { .. } => Message::Read(from, action),
    }
}

fn without_answer(event: LogEvent) -> LogEvent {
    match event {
        LogEvent::Appended { batch, .. } => LogEvent::AppendFailed {
            batch,
            fault: AppendFault::Unknown,
        },
        LogEvent::ReadDone { read, .. } => LogEvent::ReadFailed { read },
        failed => failed,
    }
}

fn n_cases() -> u32 {
    let cases = std::env::var("COMFREYHEAD_CASES").ok();
    let cases = cases.and_then(|text| text.parse().ok());
    cases.unwrap_or(CASES_PER_PROFILE)
}

/// Runs the cases of a profile and returns how the tries ended.
fn run_profile(seed: u8, profile: FaultProfile) -> BTreeMap<String, u64> {
    let config = ProptestConfig {
        cases: n_cases(),
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let totals = RefCell::new(BTreeMap::new());
    let result = runner.run(&vec(any_step(profile), 40..160), |steps| {
        let orderly = run_schedule(&steps, ScheduleEnd::Orderly);
        let lost = run_schedule(&steps, ScheduleEnd::PowerLost);
        let mut totals = totals.borrow_mut();
        for (outcome, n) in &orderly.outcomes {
            *totals.entry(outcome.clone()).or_default() += n;
        }
        *totals.entry("runs".to_owned()).or_default() += orderly.n_runs;
        *totals.entry(CONFIRMED.to_owned()).or_default() += orderly.n_confirmed;
        *totals.entry(CONFIRMED_AFTER_LOSS.to_owned()).or_default() += lost.n_confirmed;
        Ok(())
    });
    if let Err(err) = result {
        panic!("seed {seed}: {err}");
    }
    let totals = totals.into_inner();
    println!("seed {seed}, {} cases: {totals:#?}", n_cases());
    assert!(0 < totals[CONFIRMED] && 0 < totals[CONFIRMED_AFTER_LOSS]);
    totals
}

/// How the tries of one case ended.
struct CaseResult {
    outcomes: BTreeMap<String, u64>,
    n_runs: u64,
    n_confirmed: u64,
}

fn run_schedule(steps: &[SimulationStep], end: ScheduleEnd) -> CaseResult {
    let mut simulation = Simulation::new();
    for step in steps {
        simulation.step(step);
    }
    match end {
        ScheduleEnd::Orderly => {}
        ScheduleEnd::PowerLost => simulation.lose_power(),
    }
    simulation.drain();
    simulation.check_end();
    CaseResult {
        outcomes: simulation.outcomes.clone(),
        n_runs: simulation.ran_by.len() as u64,
        n_confirmed: simulation.confirm_told(),
    }
}

fn n_of(totals: &BTreeMap<String, u64>, outcome: RequestOutcome, reason: ReplyReason) -> u64 {
    let n = totals.get(&format!("{outcome}/{reason}"));
    n.copied().unwrap_or(0)
}

#[test]
fn losses_and_late_appends() {
    let profile = FaultProfile {
        losses: 8,
        ..FEW_FAULTS
    };

    let totals = run_profile(1, profile);

    assert!(0 < n_of(&totals, RequestOutcome::Answered, ReplyReason::Settled));
    assert!(0 < n_of(&totals, RequestOutcome::NotRun, ReplyReason::Voided));
}

#[test]
fn crashes_of_agents_and_entries() {
    let profile = FaultProfile {
        losses: 3,
        crashes: 3,
        ..FEW_FAULTS
    };

    let totals = run_profile(2, profile);

    assert!(0 < n_of(&totals, RequestOutcome::Answered, ReplyReason::Settled));
    assert!(0 < n_of(&totals, RequestOutcome::Unknown, ReplyReason::ClaimOpen));
}

#[test]
fn long_pauses() {
    let profile = FaultProfile {
        pauses: 5,
        max_advance_ms: 300_000,
        ..FEW_FAULTS
    };

    let totals = run_profile(3, profile);

    assert!(0 < n_of(&totals, RequestOutcome::Answered, ReplyReason::Settled));
    assert!(0 < n_of(&totals, RequestOutcome::NotRun, ReplyReason::NotStarted));
}

#[test]
fn all_faults_with_expiry() {
    let profile = FaultProfile {
        losses: 4,
        crashes: 1,
        pauses: 1,
        outages: 2,
        max_advance_ms: 2_400_000,
    };

    let totals = run_profile(4, profile);

    assert!(0 < n_of(&totals, RequestOutcome::Answered, ReplyReason::Settled));
    assert!(0 < n_of(&totals, RequestOutcome::Unknown, ReplyReason::KeyExpired));
    assert!(0 < n_of(&totals, RequestOutcome::NotRun, ReplyReason::LogAway));
}
