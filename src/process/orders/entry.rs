//! The entry VM's state machine for all its orders.

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

/// The id of one try, unique at its entry VM.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TryId(pub u64);

/// The orders of one entry VM: a try for each caller, and the order streams for voids.
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

/// An event for the orders of an entry VM.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryEvent {
    /// A caller sent an order.
    Submitted {
        /// The id of the new try.
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
    /// The attempt did not reach the agent.
    AgentUnreached {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The connection was lost after some of the attempt was sent.
    AgentLost {
        /// The attempt.
        attempt: AttemptId,
    },
    /// There is no agent for the attempt, or none that wasn't tried before.
    NoAgent {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The log service returned a result.
    Log(LogEvent),
    /// Time passed.
    Tick,
}

/// An action that the orders of an entry VM request.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryAction {
    /// Send a request to the log service.
    Log(LogAction),
    /// Send an attempt to one agent: the first available one of the service's agents in the order
    /// of [`super::rank_agents`], without those to which this try was sent before.
    Dispatch {
        /// The id of the try.
        try_id: TryId,
        /// The order as sent to the agent.
        order: OrderRequest,
        /// The number of agents to which this try was sent before.
        n_earlier: u32,
    },
    /// Reply to the caller.
    Answer {
        /// The id of the try.
        try_id: TryId,
        /// The reply.
        reply: OrderReply,
    },
}

/// The actions that follow from one event.
pub type EntryActions = SmallVec<[EntryAction; 4]>;

impl EntryOrders {
    /// Creates the orders of an entry VM; `rng` generates the ids of attempts.
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

    /// Processes an event and returns the resulting actions.
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

    /// Returns when the next [`EntryEvent::Tick`] is due if no event arrives earlier.
    pub fn next_wake(&self) -> Option<Timestamp> {
        let deadlines = self.tries.values().map(|entry_try| entry_try.deadline());
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
        let entry_try = EntryTry {
            order_try,
            attempt: AttemptId::random(&mut self.rng),
            n_dispatched: 0,
            n_voids: 0,
        };
        self.tries.insert(try_id, entry_try);
        self.apply_action(now, try_id, action, actions);
    }

    /// Passes an event of an agent to its try if it concerns the try's current attempt.
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
        let Some(entry_try) = self.tries.get_mut(&try_id) else {
            return;
        };
        if let Some(action) = entry_try.order_try.on_event(event) {
            self.apply_action(now, try_id, action, actions);
        }
    }

    fn apply_action(
        &mut self,
        now: Timestamp,
        try_id: TryId,
        action: TryAction,
        actions: &mut EntryActions,
    ) {
        match action {
            TryAction::Dispatch(key_history) => self.dispatch(try_id, key_history, actions),
            TryAction::Follow => {
                let Some(entry_try) = self.tries.get(&try_id) else {
                    return;
                };
                let key = entry_try.order_try.request().key.clone();
                self.log.follow(now, &key);
                let state = self.log.state_of(&key);
                self.on_try_event(now, try_id, TryEvent::KeyRead(state), actions);
            }
            TryAction::Void(reason) => self.void(now, try_id, reason),
            TryAction::Answer(reply) => {
                if let Some(entry_try) = self.tries.remove(&try_id) {
                    self.attempts.remove(&entry_try.attempt);
                }
                actions.push(EntryAction::Answer { try_id, reply });
            }
        }
    }

    fn dispatch(&mut self, try_id: TryId, key_history: KeyHistory, actions: &mut EntryActions) {
        let Some(entry_try) = self.tries.get_mut(&try_id) else {
            return;
        };
        self.attempts.remove(&entry_try.attempt);
        entry_try.attempt = AttemptId::random(&mut self.rng);
        self.attempts.insert(entry_try.attempt, try_id);
        let request = entry_try.order_try.request();
        let order = OrderRequest {
            key: request.key.clone(),
            attempt: entry_try.attempt,
            digest: request.digest,
            service: request.service.clone(),
            call: request.call.clone(),
            deadline: request.deadline - self.settings.reply_margin,
            key_history,
        };
        actions.push(EntryAction::Dispatch {
            try_id,
            order,
            n_earlier: entry_try.n_dispatched,
        });
        entry_try.n_dispatched += 1;
    }

    fn void(&mut self, now: Timestamp, try_id: TryId, reason: VoidReason) {
        let Some(entry_try) = self.tries.get_mut(&try_id) else {
            return;
        };
        entry_try.n_voids += 1;
        let void = OrderVoid {
            reason,
            entry: self.entry.clone(),
        };
        let key = entry_try.order_try.request().key.clone();
        let record = OrderRecord::new(key, entry_try.attempt, OrderChange::Void(void));
        self.log.push(now, record);
    }

    fn on_log(&mut self, now: Timestamp, event: LogEvent, actions: &mut EntryActions) {
        match self.log.on_event(now, event) {
            // A void counts once it is read back as the first record of its key.
            None | Some(LogUpdate::RecordsAppended(_)) => {}
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
        let is_affected = |key: &OrderKey| match &keys {
            Some(keys) => keys.contains(key),
            None => key.shard() == shard,
        };
        self.tries
            .iter()
            .map(|(try_id, entry_try)| (*try_id, &entry_try.order_try.request().key))
            .filter(|(_, key)| is_affected(key))
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
        let is_own = |entry_try: &EntryTry| entry_try.attempt == record.attempt;
        let found = self
            .tries
            .iter_mut()
            .find(|(_, entry_try)| is_own(entry_try));
        let Some((try_id, entry_try)) = found else {
            return;
        };
        let try_id = *try_id;
        if entry_try.n_voids < self.settings.max_appends && fault != AppendFault::Unreachable {
            // A duplicate void has no effect.
            entry_try.n_voids += 1;
            self.log.push(now, record);
            return;
        }
        self.on_try_event(now, try_id, TryEvent::VoidFailed(fault), actions);
    }

    fn on_tick(&mut self, now: Timestamp, actions: &mut EntryActions) {
        let due: Vec<_> = self
            .tries
            .iter()
            .filter(|(_, entry_try)| entry_try.deadline() <= now)
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
