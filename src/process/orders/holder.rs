//! The agent's state machine for orders: claims a key, runs the order at most once, settles it.

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
use super::reply::{KeyHistory, KeyUse, OrderReply, ReplyReason};
use super::settings::OrderSettings;
use super::shard::OrderShard;

/// The interval at which abandoned, refused and started orders are checked for eviction.
const EVICTION_INTERVAL: Duration = Duration::from_secs(10);

/// The orders of one incarnation of an agent.
///
/// An order runs only after the agent has read its own claim back as the first valid record of the
/// key, and only from the phase `Claiming`, to which it never returns.
#[derive(Clone, Debug)]
pub struct OrderHolder {
    identity: HolderIdentity,
    settings: OrderSettings,
    log: OrderLog,
    held: BTreeMap<AttemptId, HeldOrder>,
    deadlines: BTreeSet<(Timestamp, AttemptId)>,
    started: BTreeMap<OrderKey, AttemptId>,
    intake: OrderIntake,
    next_eviction: Timestamp,
}

/// The agent, incarnation and target for which a holder acts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HolderIdentity {
    /// The agent.
    pub agent: AgentName,
    /// The incarnation of the agent, never used by an earlier process.
    pub incarnation: ProcessIncarnation,
    /// The target beside the agent.
    pub target: TargetName,
}

/// An order as an entry VM dispatches it.
#[derive(Clone, Debug, PartialEq)]
pub struct OrderRequest {
    /// The key.
    pub key: OrderKey,
    /// The id of the dispatch, which goes to one agent only.
    pub attempt: AttemptId,
    /// The digest of the service, call and body.
    pub digest: BodyDigest,
    /// The service.
    pub service: ServiceName,
    /// The call of the service.
    pub call: Arc<str>,
    /// When the caller stops waiting.
    pub deadline: Timestamp,
    /// First use only if the caller marked it and the fate of every earlier attempt of the try is
    /// known.
    pub key_history: KeyHistory,
}

/// An event for a holder.
#[derive(Clone, Debug, PartialEq)]
pub enum HolderEvent {
    /// An entry VM dispatched an order.
    Arrived(OrderRequest),
    /// The log service returned a result.
    Log(LogEvent),
    /// The target answered.
    TargetAnswered {
        /// The attempt.
        attempt: AttemptId,
        /// The answer.
        answer: OrderAnswer,
    },
    /// The target ran the order and rejected it.
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
    /// Orders of a shard are expected: the agent starts to follow it in advance.
    Prepare(OrderShard),
    /// The agent is shutting down: it accepts no new orders.
    Leave,
    /// Time passed.
    Tick,
}

/// An action that a holder requests.
#[derive(Clone, Debug, PartialEq)]
pub enum HolderAction {
    /// Send a request to the log service.
    Log(LogAction),
    /// Send the order to the target, once.
    Run {
        /// The attempt.
        attempt: AttemptId,
        /// The offset of the claim. It is not a fencing token, because each shard has its own
        /// offsets.
        claim: LogOffset,
    },
    /// Reply to the entry VM.
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
    failed_append: FailedAppend,
}

/// The phase of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HeldPhase {
    /// Nothing was appended, because the key isn't covered yet.
    Waiting,
    /// The claim may have been appended and has not been read back.
    Claiming,
    /// The order was sent to the target.
    Running,
    /// The order was sent to the target, and the deadline passed: the caller has its reply.
    RunningLate,
    /// The order ended and its settlement is being appended; the caller waits for that.
    Settling,
    /// Another attempt holds the claim.
    Following,
    /// The caller has its reply and the order never starts, but a claim may still appear.
    Abandoned,
    /// Nothing was or will be appended; kept until the deadline to ignore a late duplicate.
    Refused,
}

/// Whether a failed append may have written the claim to the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FailedAppend {
    NotWritten,
    MaybeWritten,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OrderIntake {
    Open,
    Leaving,
}

impl OrderHolder {
    /// Creates the holder of one incarnation of an agent.
    pub fn new(identity: HolderIdentity, settings: OrderSettings) -> Self {
        Self {
            identity,
            log: OrderLog::new(settings.clone()),
            settings,
            held: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            started: BTreeMap::new(),
            intake: OrderIntake::Open,
            next_eviction: Timestamp::default(),
        }
    }

    /// Processes an event and returns the resulting actions.
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

    /// Returns when the next [`HolderEvent::Tick`] is due if no event arrives earlier.
    pub fn next_wake(&self) -> Option<Timestamp> {
        let deadline = self.deadlines.first().map(|(deadline, _)| *deadline);
        deadline.into_iter().chain(self.log.next_wake()).min()
    }

    /// Returns whether no order is in progress and all records are appended.
    pub fn is_drained(&self) -> bool {
        self.n_live() == 0 && self.log.is_flushed()
    }

    fn n_live(&self) -> usize {
        let live = self.held.values().filter(|held| held.phase.is_live());
        live.count()
    }

    /// Returns the claims with an unknown outcome in the shards that this agent follows.
    pub fn open_claims(&self) -> Vec<OpenClaim> {
        self.log.open_claims()
    }

    /// Returns whether the log service is reachable.
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
            Some(LogUpdate::RecordsAppended(records)) => {
                for record in records {
                    self.on_record_appended(record, actions);
                }
            }
            Some(LogUpdate::RecordsFailed { records, fault }) => {
                for record in records {
                    self.on_record_failed(now, record, fault, actions);
                }
            }
            Some(LogUpdate::ShardUnavailable(shard)) => self.on_shard_unavailable(shard, actions),
        }
    }

    fn attempts_in(&self, shard: OrderShard, keys: Option<&[OrderKey]>) -> Vec<AttemptId> {
        let keys: Option<HashSet<_>> = keys.map(|keys| keys.iter().collect());
        let is_affected = |held: &HeldOrder| match &keys {
            Some(keys) => keys.contains(&held.request.key),
            None => held.request.key.shard() == shard,
        };
        self.held
            .iter()
            .filter(|(_, held)| is_affected(held))
            .map(|(attempt, _)| *attempt)
            .collect()
    }

    /// Advances an attempt according to the state of its key.
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
            (HeldPhase::Settling, KeyState::Settled { settlement, .. }) => {
                // An operator's finding gives way to the settlement on its way.
                if settlement.by == self.author() {
                    self.log.remove_queued(&held.request.key, attempt);
                    self.reply_settled(attempt, &settlement, actions);
                }
            }
            (HeldPhase::Settling, _) => {}
            (HeldPhase::Claiming, KeyState::Claimed(claim)) if self.is_own(attempt, &claim) => {
                self.start(now, attempt, &claim, actions);
            }
            (HeldPhase::Abandoned, KeyState::Claimed(claim)) if self.is_own(attempt, &claim) => {
                self.held.remove(&attempt);
                self.settle_not_run(now, &claim);
            }
            (HeldPhase::Abandoned, _) => {
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

    /// Starts an order whose claim was read back as the first valid record of its key.
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
            self.settle_not_run(now, claim);
            let reason = ReplyReason::ClaimUnresolved;
            let reply = OrderReply::unknown(reason, self.settings.retry_after);
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

    /// Settles an own claim as not run: its order was not started and never will be, because the
    /// attempt is no longer held.
    fn settle_not_run(&mut self, now: Timestamp, claim: &OpenClaim) {
        assert!(
            self.started.get(&claim.key) != Some(&claim.attempt),
            "a started order is never settled as not started"
        );
        let settlement = self.settlement(RequestOutcome::NotRun, None);
        let change = OrderChange::Settle(settlement);
        let record = OrderRecord::new(claim.key.clone(), claim.attempt, change);
        self.log.push(now, record);
    }

    /// Replies to an attempt whose key is decided by another record; while that record is an open
    /// claim, the attempt follows it.
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
            by: self.author(),
        }
    }

    fn author(&self) -> SettlementAuthor {
        SettlementAuthor::Agent {
            agent: self.identity.agent.clone(),
            incarnation: self.identity.incarnation,
        }
    }

    fn on_target(
        &mut self,
        now: Timestamp,
        attempt: AttemptId,
        settlement: OrderSettlement,
        actions: &mut HolderActions,
    ) {
        let Some(held) = self.held.get_mut(&attempt) else {
            return;
        };
        let reply = OrderReply::settled(&settlement);
        let change = OrderChange::Settle(settlement);
        let record = OrderRecord::new(held.request.key.clone(), attempt, change);
        match held.phase {
            HeldPhase::Running if reply.key_use == KeyUse::Closed => {
                // An outcome that closes the key must survive a loss of this process.
                held.phase = HeldPhase::Settling;
                self.log.push_awaited(now, record);
            }
            HeldPhase::Running => {
                self.held.remove(&attempt);
                self.log.push(now, record);
                actions.push(HolderAction::Reply { attempt, reply });
            }
            HeldPhase::RunningLate => {
                self.held.remove(&attempt);
                self.log.push(now, record);
            }
            _ => {}
        }
    }

    fn on_record_appended(&mut self, record: OrderRecord, actions: &mut HolderActions) {
        let OrderChange::Settle(settlement) = record.change else {
            return;
        };
        if self.is_settling(record.attempt) {
            self.reply_settled(record.attempt, &settlement, actions);
        }
    }

    fn is_settling(&self, attempt: AttemptId) -> bool {
        let held = self.held.get(&attempt);
        held.is_some_and(|held| held.phase == HeldPhase::Settling)
    }

    /// Replies with a settlement that is in the stream.
    fn reply_settled(
        &mut self,
        attempt: AttemptId,
        settlement: &OrderSettlement,
        actions: &mut HolderActions,
    ) {
        self.held.remove(&attempt);
        let reply = OrderReply::settled(settlement);
        actions.push(HolderAction::Reply { attempt, reply });
    }

    fn on_record_failed(
        &mut self,
        now: Timestamp,
        record: OrderRecord,
        fault: AppendFault,
        actions: &mut HolderActions,
    ) {
        if !matches!(record.change, OrderChange::Claim(_)) {
            // A duplicate settlement has no effect.
            if self.is_settling(record.attempt) {
                self.log.push_awaited(now, record);
            } else {
                self.log.push(now, record);
            }
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
            held.failed_append = FailedAppend::MaybeWritten;
        }
        if held.n_appends < self.settings.max_appends && fault != AppendFault::Unreachable {
            // A duplicate claim has no effect: the first one is valid and is used once.
            held.n_appends += 1;
            self.log.push(now, record);
            return;
        }
        let reason = match fault {
            AppendFault::Unknown => return,
            AppendFault::Refused => ReplyReason::LogBusy,
            AppendFault::Unreachable => ReplyReason::LogAway,
        };
        match held.failed_append {
            FailedAppend::NotWritten => self.refuse(attempt, reason, actions),
            FailedAppend::MaybeWritten => self.abandon(attempt, reason, actions),
        }
    }

    fn on_shard_unavailable(&mut self, shard: OrderShard, actions: &mut HolderActions) {
        for attempt in self.attempts_in(shard, None) {
            self.give_up(attempt, ReplyReason::LogAway, actions);
        }
    }

    /// Replies to an attempt that was not started and now never starts.
    fn give_up(&mut self, attempt: AttemptId, reason: ReplyReason, actions: &mut HolderActions) {
        let Some(held) = self.held.get(&attempt) else {
            return;
        };
        match held.phase {
            HeldPhase::Waiting => self.refuse(attempt, reason, actions),
            HeldPhase::Claiming => {
                // A queued claim was not written, but an earlier append of it may have been.
                let was_queued = self.log.remove_queued(&held.request.key, attempt);
                if was_queued && held.failed_append == FailedAppend::NotWritten {
                    self.refuse(attempt, reason, actions);
                } else {
                    self.abandon(attempt, reason, actions);
                }
            }
            HeldPhase::Following => self.abandon(attempt, reason, actions),
            _ => {}
        }
    }

    /// Replies to an attempt whose claim, or that of another attempt, may be in the stream; its
    /// order never starts.
    fn abandon(&mut self, attempt: AttemptId, reason: ReplyReason, actions: &mut HolderActions) {
        let Some(held) = self.held.get_mut(&attempt) else {
            return;
        };
        held.phase = HeldPhase::Abandoned;
        let reply = OrderReply::unknown(reason, self.settings.retry_after);
        actions.push(HolderAction::Reply { attempt, reply });
    }

    /// Replies to an attempt of which nothing was or will be written.
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
        if self.next_eviction <= now {
            self.next_eviction = now + EVICTION_INTERVAL;
            self.evict(now);
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
            HeldPhase::Settling => {
                // The settlement stays queued, and a later ask gets it from the stream.
                self.held.remove(&attempt);
                let retry_after = self.settings.retry_after;
                let reply = OrderReply::unknown(ReplyReason::ClaimOpen, retry_after);
                actions.push(HolderAction::Reply { attempt, reply });
            }
            HeldPhase::RunningLate | HeldPhase::Abandoned | HeldPhase::Refused => {}
        }
    }

    /// Evicts refused orders after their deadline, and abandoned and started orders whose keys are
    /// older than twice the whole window.
    fn evict(&mut self, now: Timestamp) {
        let window = self.settings.window;
        let oldest = now - (window.validity + window.skew + window.regression) * 2;
        self.held.retain(|_, held| match held.phase {
            HeldPhase::Refused => now < held.request.deadline,
            HeldPhase::Abandoned => oldest <= held.request.key.time(),
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
            failed_append: FailedAppend::NotWritten,
        }
    }
}

impl HeldPhase {
    fn is_live(self) -> bool {
        !matches!(self, Self::Abandoned | Self::Refused)
    }
}
