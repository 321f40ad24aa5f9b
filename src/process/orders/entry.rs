//! The entry VM's side of all its orders.

use std::collections::{BTreeMap, HashSet};

use derive_more::Display;
use rand_chacha::ChaCha8Rng;

use crate::prelude::*;

use super::holder::OrderRequest;
use super::key::OrderKey;
use super::log_event::{AppendFault, LogAction, LogEvent};
use super::order_log::{LogUpdate, OrderLog};
use super::order_try::{OrderTry, TryAction, TryEvent, TryRequest};
use super::record::{AttemptId, OrderChange, OrderRecord, OrderVoid, VoidReason};
use super::reply::{KeyHistory, OrderReply};
use super::settings::OrderSettings;
use super::shard::OrderShard;

/// The number of one try at an entry VM.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TryId(pub u64);

/// The orders of one entry VM: a try for each caller, and the streams for voids.
#[derive(Clone, Debug)]
pub struct EntryOrders {
    entry: EntryName,
    settings: OrderSettings,
    rng: ChaCha8Rng,
    log: OrderLog,
    tries: BTreeMap<TryId, EntryTry>,
    attempts: BTreeMap<AttemptId, TryId>,
}

#[derive(Clone, Debug)]
struct EntryTry {
    order_try: OrderTry,
    attempt: AttemptId,
    n_dispatched: u32,
    n_voids: u32,
}

/// What happens to the orders of an entry VM.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryEvent {
    /// A caller sent an order.
    Submitted {
        /// The number of the try, new.
        try_id: TryId,
        /// The order.
        request: TryRequest,
    },
    /// The agent replied.
    AgentReplied {
        /// The attempt.
        attempt: AttemptId,
        /// The reply.
        reply: OrderReply,
    },
    /// Nothing of the attempt reached the agent.
    AgentUnreached {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The connection was lost after some of the attempt was sent.
    AgentLost {
        /// The attempt.
        attempt: AttemptId,
    },
    /// There is no agent, or none that wasn't tried, for the attempt.
    NoAgent {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The log service answered.
    Log(LogEvent),
    /// Time passed.
    Tick,
}

/// What the orders of an entry VM want done.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryAction {
    /// Ask the log service.
    Log(LogAction),
    /// Send an attempt to one agent: of the service's agents in the order of
    /// [`super::rank_agents`] the first that can be chosen, without the earlier ones of this try.
    Dispatch {
        /// The number of the try.
        try_id: TryId,
        /// What the agent gets.
        order: OrderRequest,
        /// How many agents this try was sent to before.
        n_earlier: u32,
    },
    /// Answer the caller.
    Answer {
        /// The number of the try.
        try_id: TryId,
        /// The reply.
        reply: OrderReply,
    },
}

/// The actions that follow from one event.
pub type EntryActions = SmallVec<[EntryAction; 4]>;

impl EntryOrders {
    /// Creates the orders of an entry VM; the generator draws the ids of attempts.
    pub fn new(entry: EntryName, settings: OrderSettings, rng: ChaCha8Rng) -> Self {
        Self {
            entry,
            log: OrderLog::new(settings.clone()),
            settings,
            rng,
            tries: BTreeMap::new(),
            attempts: BTreeMap::new(),
        }
    }

    /// Takes in an event and returns what follows.
    pub fn on_event(&mut self, now: Timestamp, event: EntryEvent) -> EntryActions {
        let mut actions = EntryActions::new();
        match event {
            EntryEvent::Submitted { try_id, request } => {
                self.on_submitted(now, try_id, request, &mut actions);
            }
            EntryEvent::AgentReplied { attempt, reply } => {
                self.on_agent(now, attempt, TryEvent::AgentReplied(reply), &mut actions);
            }
            EntryEvent::AgentUnreached { attempt } => {
                self.on_agent(now, attempt, TryEvent::AgentUnreached, &mut actions);
            }
            EntryEvent::AgentLost { attempt } => {
                self.on_agent(now, attempt, TryEvent::AgentLost, &mut actions);
            }
            EntryEvent::NoAgent { attempt } => {
                self.on_agent(now, attempt, TryEvent::NoAgent, &mut actions);
            }
            EntryEvent::Log(event) => self.on_log(now, event, &mut actions),
            EntryEvent::Tick => self.on_tick(now, &mut actions),
        }
        let log_actions = self.log.poll(now);
        actions.extend(log_actions.into_iter().map(EntryAction::Log));
        actions
    }

    /// Returns when the next [`EntryEvent::Tick`] is due, where no event comes before.
    pub fn next_wake(&self) -> Option<Timestamp> {
        let deadlines = self.tries.values().map(|held| held.deadline());
        deadlines.chain(self.log.next_wake()).min()
    }

    /// Returns the number of tries without a reply.
    pub fn n_open(&self) -> usize {
        self.tries.len()
    }

    fn on_submitted(
        &mut self,
        now: Timestamp,
        try_id: TryId,
        request: TryRequest,
        actions: &mut EntryActions,
    ) {
        let (order_try, action) = OrderTry::start(now, request, &self.settings);
        let held = EntryTry {
            order_try,
            attempt: AttemptId::random(&mut self.rng),
            n_dispatched: 0,
            n_voids: 0,
        };
        self.tries.insert(try_id, held);
        self.act(now, try_id, action, actions);
    }

    /// Passes an agent's event on, where it is of the try's present attempt.
    fn on_agent(
        &mut self,
        now: Timestamp,
        attempt: AttemptId,
        event: TryEvent,
        actions: &mut EntryActions,
    ) {
        let Some(try_id) = self.attempts.remove(&attempt) else {
            return;
        };
        self.on_try_event(now, try_id, event, actions);
    }

    fn on_try_event(
        &mut self,
        now: Timestamp,
        try_id: TryId,
        event: TryEvent,
        actions: &mut EntryActions,
    ) {
        let Some(held) = self.tries.get_mut(&try_id) else {
            return;
        };
        if let Some(action) = held.order_try.on_event(event) {
            self.act(now, try_id, action, actions);
        }
    }

    fn act(
        &mut self,
        now: Timestamp,
        try_id: TryId,
        action: TryAction,
        actions: &mut EntryActions,
    ) {
        match action {
            TryAction::Dispatch(key_history) => self.dispatch(try_id, key_history, actions),
            TryAction::Follow => {
                let Some(held) = self.tries.get(&try_id) else {
                    return;
                };
                let key = held.order_try.request().key.clone();
                self.log.follow(now, &key);
                let state = self.log.state_of(&key);
                self.on_try_event(now, try_id, TryEvent::KeyRead(state), actions);
            }
            TryAction::Void(reason) => self.void(now, try_id, reason),
            TryAction::Answer(reply) => {
                if let Some(held) = self.tries.remove(&try_id) {
                    self.attempts.remove(&held.attempt);
                }
                actions.push(EntryAction::Answer { try_id, reply });
            }
        }
    }

    fn dispatch(&mut self, try_id: TryId, key_history: KeyHistory, actions: &mut EntryActions) {
        let Some(held) = self.tries.get_mut(&try_id) else {
            return;
        };
        self.attempts.remove(&held.attempt);
        held.attempt = AttemptId::random(&mut self.rng);
        self.attempts.insert(held.attempt, try_id);
        let request = held.order_try.request();
        let order = OrderRequest {
            key: request.key.clone(),
            attempt: held.attempt,
            digest: request.digest,
            service: request.service.clone(),
            call: request.call.clone(),
            deadline: request.deadline - self.settings.reply_margin,
            key_history,
        };
        actions.push(EntryAction::Dispatch {
            try_id,
            order,
            n_earlier: held.n_dispatched,
        });
        held.n_dispatched += 1;
    }

    fn void(&mut self, now: Timestamp, try_id: TryId, reason: VoidReason) {
        let Some(held) = self.tries.get_mut(&try_id) else {
            return;
        };
        held.n_voids += 1;
        let void = OrderVoid {
            reason,
            entry: self.entry.clone(),
        };
        let key = held.order_try.request().key.clone();
        let record = OrderRecord::new(key, held.attempt, OrderChange::Void(void));
        self.log.push(now, record);
    }

    fn on_log(&mut self, now: Timestamp, event: LogEvent, actions: &mut EntryActions) {
        match self.log.on_event(now, event) {
            None => {}
            Some(LogUpdate::KeysChanged { shard, keys }) => {
                for (try_id, key) in self.tries_in(shard, keys.as_deref()) {
                    let state = self.log.state_of(&key);
                    self.on_try_event(now, try_id, TryEvent::KeyRead(state), actions);
                }
            }
            Some(LogUpdate::RecordsFailed { records, fault }) => {
                for record in records {
                    self.on_void_failed(now, record, fault, actions);
                }
            }
            Some(LogUpdate::ShardUnavailable(shard)) => {
                for (try_id, _) in self.tries_in(shard, None) {
                    self.on_try_event(now, try_id, TryEvent::ShardUnavailable, actions);
                }
            }
        }
    }

    fn tries_in(&self, shard: OrderShard, keys: Option<&[OrderKey]>) -> Vec<(TryId, OrderKey)> {
        let keys: Option<HashSet<_>> = keys.map(|keys| keys.iter().collect());
        let concerned = |key: &OrderKey| match &keys {
            Some(keys) => keys.contains(key),
            None => key.shard() == shard,
        };
        self.tries
            .iter()
            .map(|(try_id, held)| (*try_id, &held.order_try.request().key))
            .filter(|(_, key)| concerned(key))
            .map(|(try_id, key)| (try_id, key.clone()))
            .collect()
    }

    fn on_void_failed(
        &mut self,
        now: Timestamp,
        record: OrderRecord,
        fault: AppendFault,
        actions: &mut EntryActions,
    ) {
        let is_own = |held: &EntryTry| held.attempt == record.attempt;
        let found = self.tries.iter_mut().find(|(_, held)| is_own(held));
        let Some((try_id, held)) = found else {
            return;
        };
        let try_id = *try_id;
        if held.n_voids < self.settings.max_appends && fault != AppendFault::Unreachable {
            // A second copy of a void changes nothing.
            held.n_voids += 1;
            self.log.push(now, record);
            return;
        }
        self.on_try_event(now, try_id, TryEvent::VoidFailed(fault), actions);
    }

    fn on_tick(&mut self, now: Timestamp, actions: &mut EntryActions) {
        let due: Vec<_> = self
            .tries
            .iter()
            .filter(|(_, held)| held.deadline() <= now)
            .map(|(try_id, _)| *try_id)
            .collect();
        for try_id in due {
            self.on_try_event(now, try_id, TryEvent::Deadline, actions);
        }
    }
}

impl EntryTry {
    fn deadline(&self) -> Timestamp {
        self.order_try.request().deadline
    }
}
