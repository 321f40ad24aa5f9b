//! The agent's side of orders: claims a key, runs the order at most once, settles it.

use std::collections::{BTreeMap, BTreeSet, HashSet};

use crate::prelude::*;

use super::answer::OrderAnswer;
use super::digest::BodyDigest;
use super::fold::{KeyState, OpenClaim};
use super::key::OrderKey;
use super::log_event::{AppendFault, LogAction, LogEvent};
use super::order_log::{LogStatus, LogUpdate, OrderLog};
use super::record::{
    AttemptId, OrderChange, OrderClaim, OrderRecord, OrderSettlement, SettlementAuthor,
};
use super::reply::{KeyHistory, OrderReply, ReplyReason};
use super::settings::OrderSettings;
use super::shard::OrderShard;

/// How often the dead and the started are looked through.
const FORGET_INTERVAL: Duration = Duration::from_secs(10);

/// The orders of one life of an agent.
///
/// An order runs only after the agent has read its own claim back as the first record of the key
/// that counts, and only out of the phase `Claiming`, which it leaves for good.
#[derive(Clone, Debug)]
pub struct OrderHolder {
    identity: HolderIdentity,
    settings: OrderSettings,
    log: OrderLog,
    held: BTreeMap<AttemptId, HeldOrder>,
    deadlines: BTreeSet<(Timestamp, AttemptId)>,
    started: BTreeMap<OrderKey, AttemptId>,
    intake: OrderIntake,
    next_forget: Timestamp,
}

/// Which agent, life and target a holder acts for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HolderIdentity {
    /// The agent.
    pub agent: AgentName,
    /// The life of the agent, never used by an earlier one.
    pub incarnation: ProcessIncarnation,
    /// The target beside the agent.
    pub target: TargetName,
}

/// An order as an entry VM dispatches it.
#[derive(Clone, Debug, PartialEq)]
pub struct OrderRequest {
    /// The key.
    pub key: OrderKey,
    /// The dispatch; sent to one agent only.
    pub attempt: AttemptId,
    /// The digest of the call and its body.
    pub digest: BodyDigest,
    /// The service.
    pub service: ServiceName,
    /// The call of the service.
    pub call: Arc<str>,
    /// When the caller stops waiting.
    pub deadline: Timestamp,
    /// Whether the caller marked the first use of the key, and this is the try's first dispatch.
    pub key_history: KeyHistory,
}

/// What happens to a holder.
#[derive(Clone, Debug, PartialEq)]
pub enum HolderEvent {
    /// An entry VM dispatched an order.
    Arrived(OrderRequest),
    /// The log service answered.
    Log(LogEvent),
    /// The target answered.
    TargetAnswered {
        /// The attempt.
        attempt: AttemptId,
        /// The answer.
        answer: OrderAnswer,
    },
    /// The target ran the order and said no.
    TargetFailed {
        /// The attempt.
        attempt: AttemptId,
        /// The answer.
        answer: OrderAnswer,
    },
    /// The connection to the target was lost after some of the order was sent.
    TargetLost {
        /// The attempt.
        attempt: AttemptId,
    },
    /// No byte of the order reached the target.
    TargetUnreached {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Orders of a shard are to be expected: the agent reads it ahead.
    Prepare(OrderShard),
    /// The agent is leaving: it takes no new order.
    Leave,
    /// Time passed.
    Tick,
}

/// What a holder wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum HolderAction {
    /// Ask the log service.
    Log(LogAction),
    /// Give the order to the target, once.
    Run {
        /// The attempt.
        attempt: AttemptId,
        /// The offset of the claim. It is no fencing number: shards count on their own.
        claim: LogOffset,
    },
    /// Answer the entry VM.
    Reply {
        /// The attempt.
        attempt: AttemptId,
        /// The reply.
        reply: OrderReply,
    },
}

/// The actions that follow from one event.
pub type HolderActions = SmallVec<[HolderAction; 4]>;

#[derive(Clone, Debug)]
struct HeldOrder {
    request: OrderRequest,
    phase: HeldPhase,
    n_appends: u32,
    append_doubt: AppendDoubt,
}

/// How far an order is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HeldPhase {
    /// Nothing was appended: the key isn't covered yet.
    Waiting,
    /// The claim may have been appended and was not read back.
    Claiming,
    /// The target has it.
    Running,
    /// The target has it and the caller was told so.
    RunningLate,
    /// Another attempt holds the claim.
    Following,
    /// The caller has its reply and the order never starts, though the claim may still appear.
    Dead,
    /// Nothing was or will be appended; kept until the deadline to refuse a late copy.
    Refused,
}

/// Whether a copy of the claim whose append failed may stand in the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AppendDoubt {
    None,
    MayStand,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OrderIntake {
    Open,
    Leaving,
}

impl OrderHolder {
    /// Creates the holder of one life of an agent.
    pub fn new(identity: HolderIdentity, settings: OrderSettings) -> Self {
        Self {
            identity,
            log: OrderLog::new(settings.clone()),
            settings,
            held: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            started: BTreeMap::new(),
            intake: OrderIntake::Open,
            next_forget: Timestamp::default(),
        }
    }

    /// Takes in an event and returns what follows.
    pub fn on_event(&mut self, now: Timestamp, event: HolderEvent) -> HolderActions {
        let mut actions = HolderActions::new();
        match event {
            HolderEvent::Arrived(request) => self.on_arrived(now, request, &mut actions),
            HolderEvent::Log(event) => self.on_log(now, event, &mut actions),
            HolderEvent::TargetAnswered { attempt, answer } => {
                let settlement = self.settlement(RequestOutcome::Answered, Some(answer));
                self.on_target(now, attempt, settlement, &mut actions);
            }
            HolderEvent::TargetFailed { attempt, answer } => {
                let settlement = self.settlement(RequestOutcome::Failed, Some(answer));
                self.on_target(now, attempt, settlement, &mut actions);
            }
            HolderEvent::TargetLost { attempt } => {
                let settlement = self.settlement(RequestOutcome::Unknown, None);
                self.on_target(now, attempt, settlement, &mut actions);
            }
            HolderEvent::TargetUnreached { attempt } => {
                let settlement = self.settlement(RequestOutcome::NotRun, None);
                self.on_target(now, attempt, settlement, &mut actions);
            }
            HolderEvent::Prepare(shard) => self.log.prepare(now, shard),
            HolderEvent::Leave => self.intake = OrderIntake::Leaving,
            HolderEvent::Tick => self.on_tick(now, &mut actions),
        }
        let log_actions = self.log.poll(now);
        actions.extend(log_actions.into_iter().map(HolderAction::Log));
        actions
    }

    /// Returns when the next [`HolderEvent::Tick`] is due, where no event comes before.
    pub fn next_wake(&self) -> Option<Timestamp> {
        let deadline = self.deadlines.first().map(|(deadline, _)| *deadline);
        deadline.into_iter().chain(self.log.next_wake()).min()
    }

    /// Returns whether no order is held for a caller or a target and nothing is to be appended.
    pub fn is_drained(&self) -> bool {
        self.n_live() == 0 && self.log.is_flushed()
    }

    fn n_live(&self) -> usize {
        let live = self.held.values().filter(|held| held.phase.is_live());
        live.count()
    }

    /// Returns the claims without a known outcome in the shards that this agent follows.
    pub fn open_claims(&self) -> Vec<OpenClaim> {
        self.log.open_claims()
    }

    /// Returns whether the log service answers.
    pub fn log_status(&self) -> LogStatus {
        self.log.status()
    }

    /// Returns the number of keys in memory.
    pub fn n_keys(&self) -> usize {
        self.log.n_keys()
    }

    fn on_arrived(&mut self, now: Timestamp, request: OrderRequest, actions: &mut HolderActions) {
        let attempt = request.attempt;
        if self.held.contains_key(&attempt) {
            return;
        }
        let refusal = self.refusal(now, &request);
        let key = request.key.clone();
        self.deadlines.insert((request.deadline, attempt));
        self.held.insert(attempt, HeldOrder::new(request));
        if let Some(reason) = refusal {
            self.refuse(attempt, reason, actions);
            return;
        }
        self.log.follow(now, &key);
        self.evaluate(now, attempt, actions);
    }

    fn refusal(&self, now: Timestamp, request: &OrderRequest) -> Option<ReplyReason> {
        if self.intake == OrderIntake::Leaving {
            return Some(ReplyReason::Leaving);
        }
        let max_held = self.settings.max_held;
        if max_held <= self.held.len() && max_held <= self.n_live() {
            return Some(ReplyReason::TooManyOrders);
        }
        if self.log.status() == LogStatus::Down {
            return Some(ReplyReason::LogAway);
        }
        if request.deadline <= now {
            return Some(ReplyReason::DeadlinePassed);
        }
        self.settings.key_refusal(now, &request.key)
    }

    fn on_log(&mut self, now: Timestamp, event: LogEvent, actions: &mut HolderActions) {
        match self.log.on_event(now, event) {
            None => {}
            Some(LogUpdate::KeysChanged { shard, keys }) => {
                let attempts = self.attempts_in(shard, keys.as_deref());
                for attempt in attempts {
                    self.evaluate(now, attempt, actions);
                }
            }
            Some(LogUpdate::RecordsFailed { records, fault }) => {
                for record in records {
                    self.on_record_failed(now, record, fault, actions);
                }
            }
            Some(LogUpdate::ShardUnavailable(shard)) => self.on_shard_away(shard, actions),
        }
    }

    fn attempts_in(&self, shard: OrderShard, keys: Option<&[OrderKey]>) -> Vec<AttemptId> {
        let keys: Option<HashSet<_>> = keys.map(|keys| keys.iter().collect());
        let concerned = |held: &HeldOrder| match &keys {
            Some(keys) => keys.contains(&held.request.key),
            None => held.request.key.shard() == shard,
        };
        self.held
            .iter()
            .filter(|(_, held)| concerned(held))
            .map(|(attempt, _)| *attempt)
            .collect()
    }

    /// Moves an attempt on by the state of its key.
    fn evaluate(&mut self, now: Timestamp, attempt: AttemptId, actions: &mut HolderActions) {
        let Some(held) = self.held.get(&attempt) else {
            return;
        };
        let state = self.log.state_of(&held.request.key);
        match (held.phase, state) {
            (HeldPhase::Running | HeldPhase::RunningLate | HeldPhase::Refused, _) => {}
            (_, KeyState::NotCovered) => {}
            (HeldPhase::Waiting, KeyState::Free) => self.claim(now, attempt),
            (_, KeyState::Free) => {}
            (HeldPhase::Claiming, KeyState::Claimed(claim)) if self.is_own(attempt, &claim) => {
                self.start(now, attempt, &claim, actions);
            }
            (HeldPhase::Dead, KeyState::Claimed(claim)) if self.is_own(attempt, &claim) => {
                self.held.remove(&attempt);
                self.settle_not_run(now, &claim);
            }
            (HeldPhase::Dead, _) => {
                self.held.remove(&attempt);
            }
            (_, state) => self.conclude(attempt, &state, actions),
        }
    }

    fn is_own(&self, attempt: AttemptId, claim: &OpenClaim) -> bool {
        claim.attempt == attempt
            && claim.claim.agent == self.identity.agent
            && claim.claim.incarnation == self.identity.incarnation
    }

    fn claim(&mut self, now: Timestamp, attempt: AttemptId) {
        let Some(held) = self.held.get_mut(&attempt) else {
            return;
        };
        held.phase = HeldPhase::Claiming;
        held.n_appends += 1;
        let claim = OrderClaim {
            digest: held.request.digest,
            agent: self.identity.agent.clone(),
            incarnation: self.identity.incarnation,
            target: self.identity.target.clone(),
            service: held.request.service.clone(),
            call: held.request.call.clone(),
        };
        let key = held.request.key.clone();
        let record = OrderRecord::new(key, attempt, OrderChange::Claim(claim));
        self.log.push(now, record);
    }

    /// Starts an order whose own claim was read back as the first record of its key.
    fn start(
        &mut self,
        now: Timestamp,
        attempt: AttemptId,
        claim: &OpenClaim,
        actions: &mut HolderActions,
    ) {
        let Some(held) = self.held.get_mut(&attempt) else {
            return;
        };
        if held.request.deadline <= now {
            self.held.remove(&attempt);
            let settlement = self.settle_not_run(now, claim);
            let reply = OrderReply::settled(&settlement);
            actions.push(HolderAction::Reply { attempt, reply });
            return;
        }
        held.phase = HeldPhase::Running;
        self.log.remove_queued(&claim.key, attempt);
        let before = self.started.insert(claim.key.clone(), attempt);
        assert!(before.is_none(), "an order runs at most once");
        actions.push(HolderAction::Run {
            attempt,
            claim: claim.offset,
        });
    }

    /// Settles an own claim that was not started and no longer can be, as its holder is gone.
    fn settle_not_run(&mut self, now: Timestamp, claim: &OpenClaim) -> OrderSettlement {
        assert!(
            self.started.get(&claim.key) != Some(&claim.attempt),
            "an order that started is never settled as not run for want of a start"
        );
        let settlement = self.settlement(RequestOutcome::NotRun, None);
        let change = OrderChange::Settle(settlement.clone());
        let record = OrderRecord::new(claim.key.clone(), claim.attempt, change);
        self.log.push(now, record);
        settlement
    }

    /// Answers an attempt whose key another record decided.
    fn conclude(&mut self, attempt: AttemptId, state: &KeyState, actions: &mut HolderActions) {
        let Some(held) = self.held.get_mut(&attempt) else {
            return;
        };
        match state.reply_to(held.request.digest, self.settings.retry_after) {
            Some(reply) => {
                self.held.remove(&attempt);
                actions.push(HolderAction::Reply { attempt, reply });
            }
            None => held.phase = HeldPhase::Following,
        }
    }

    fn settlement(&self, outcome: RequestOutcome, answer: Option<OrderAnswer>) -> OrderSettlement {
        OrderSettlement {
            outcome,
            answer,
            by: SettlementAuthor::Agent {
                agent: self.identity.agent.clone(),
                incarnation: self.identity.incarnation,
            },
        }
    }

    fn on_target(
        &mut self,
        now: Timestamp,
        attempt: AttemptId,
        settlement: OrderSettlement,
        actions: &mut HolderActions,
    ) {
        let running = |held: &HeldOrder| held.phase.is_running();
        if !self.held.get(&attempt).is_some_and(running) {
            return;
        }
        let Some(held) = self.held.remove(&attempt) else {
            return;
        };
        if held.phase == HeldPhase::Running {
            let reply = OrderReply::settled(&settlement);
            actions.push(HolderAction::Reply { attempt, reply });
        }
        let change = OrderChange::Settle(settlement);
        let record = OrderRecord::new(held.request.key, attempt, change);
        self.log.push(now, record);
    }

    fn on_record_failed(
        &mut self,
        now: Timestamp,
        record: OrderRecord,
        fault: AppendFault,
        actions: &mut HolderActions,
    ) {
        if !matches!(record.change, OrderChange::Claim(_)) {
            // A second copy of a settlement changes nothing.
            self.log.push(now, record);
            return;
        }
        let attempt = record.attempt;
        let Some(held) = self.held.get_mut(&attempt) else {
            return;
        };
        if held.phase != HeldPhase::Claiming {
            return;
        }
        if fault == AppendFault::Unknown {
            held.append_doubt = AppendDoubt::MayStand;
        }
        if held.n_appends < self.settings.max_appends && fault != AppendFault::Unreachable {
            // A second copy of a claim changes nothing: the first counts and is used once.
            held.n_appends += 1;
            self.log.push(now, record);
            return;
        }
        let reason = match fault {
            AppendFault::Unknown => return,
            AppendFault::Refused => ReplyReason::LogBusy,
            AppendFault::Unreachable => ReplyReason::LogAway,
        };
        match held.append_doubt {
            AppendDoubt::None => self.refuse(attempt, reason, actions),
            AppendDoubt::MayStand => self.bury(attempt, reason, actions),
        }
    }

    fn on_shard_away(&mut self, shard: OrderShard, actions: &mut HolderActions) {
        for attempt in self.attempts_in(shard, None) {
            self.give_up(attempt, ReplyReason::LogAway, actions);
        }
    }

    /// Answers an attempt that is not started and now never starts.
    fn give_up(&mut self, attempt: AttemptId, reason: ReplyReason, actions: &mut HolderActions) {
        let Some(held) = self.held.get(&attempt) else {
            return;
        };
        match held.phase {
            HeldPhase::Waiting => self.refuse(attempt, reason, actions),
            HeldPhase::Claiming => {
                // A claim that waits for its append was not written, nor was an earlier copy.
                let was_queued = self.log.remove_queued(&held.request.key, attempt);
                if was_queued && held.append_doubt == AppendDoubt::None {
                    self.refuse(attempt, reason, actions);
                } else {
                    self.bury(attempt, reason, actions);
                }
            }
            HeldPhase::Following => self.bury(attempt, reason, actions),
            _ => {}
        }
    }

    /// Answers an attempt whose claim, or another's, may stand; it never starts.
    fn bury(&mut self, attempt: AttemptId, reason: ReplyReason, actions: &mut HolderActions) {
        let Some(held) = self.held.get_mut(&attempt) else {
            return;
        };
        held.phase = HeldPhase::Dead;
        let reply = OrderReply::unknown(reason, self.settings.retry_after);
        actions.push(HolderAction::Reply { attempt, reply });
    }

    /// Answers an attempt of which nothing was or will be written.
    fn refuse(&mut self, attempt: AttemptId, reason: ReplyReason, actions: &mut HolderActions) {
        let Some(held) = self.held.get_mut(&attempt) else {
            return;
        };
        held.phase = HeldPhase::Refused;
        let history = held.request.key_history;
        let reply = OrderReply::refused(history, reason, self.settings.retry_after);
        actions.push(HolderAction::Reply { attempt, reply });
    }

    fn on_tick(&mut self, now: Timestamp, actions: &mut HolderActions) {
        while let Some((deadline, attempt)) = self.deadlines.first().copied() {
            if now < deadline {
                break;
            }
            self.deadlines.pop_first();
            if let Some(held) = self.held.get(&attempt) {
                self.on_deadline(attempt, held.phase, actions);
            }
        }
        if self.next_forget <= now {
            self.next_forget = now + FORGET_INTERVAL;
            self.forget(now);
        }
    }

    fn on_deadline(&mut self, attempt: AttemptId, phase: HeldPhase, actions: &mut HolderActions) {
        match phase {
            HeldPhase::Waiting => self.give_up(attempt, ReplyReason::NotCovered, actions),
            HeldPhase::Claiming => self.give_up(attempt, ReplyReason::ClaimUnresolved, actions),
            HeldPhase::Following => self.give_up(attempt, ReplyReason::ClaimOpen, actions),
            HeldPhase::Running => {
                if let Some(held) = self.held.get_mut(&attempt) {
                    held.phase = HeldPhase::RunningLate;
                }
                let retry_after = self.settings.retry_after;
                let reply = OrderReply::unknown(ReplyReason::StillRunning, retry_after);
                actions.push(HolderAction::Reply { attempt, reply });
            }
            HeldPhase::RunningLate | HeldPhase::Dead | HeldPhase::Refused => {}
        }
    }

    /// Forgets the dead and the started whose keys are past the window.
    fn forget(&mut self, now: Timestamp) {
        let window = self.settings.window;
        let oldest = now - (window.validity + window.skew + window.regression) * 2;
        self.held.retain(|_, held| match held.phase {
            HeldPhase::Refused => now < held.request.deadline,
            HeldPhase::Dead => oldest <= held.request.key.time(),
            _ => true,
        });
        self.started.retain(|key, _| oldest <= key.time());
    }
}

impl HeldOrder {
    fn new(request: OrderRequest) -> Self {
        Self {
            request,
            phase: HeldPhase::Waiting,
            n_appends: 0,
            append_doubt: AppendDoubt::None,
        }
    }
}

impl HeldPhase {
    fn is_live(self) -> bool {
        !matches!(self, Self::Dead | Self::Refused)
    }

    fn is_running(self) -> bool {
        matches!(self, Self::Running | Self::RunningLate)
    }
}
