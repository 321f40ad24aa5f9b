//! Runs the state machine for an entry VM's orders: calls the log service and the agents, and
//! replies to callers.

use std::collections::HashMap;

use http::StatusCode;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use slog::info;
use tokio::sync::{mpsc, oneshot};

use crate::connection::{ORDER_PATH, OrderDispatch};
use crate::prelude::*;
use crate::process::order_io::run_log_action;
use crate::process::orders::{
    EntryAction, EntryEvent, EntryOrders, OrderReply, OrderRequest, OrderSettings, TryId,
    TryRequest, rank_agents,
};
use crate::process::platform::{AnswerLimit, HttpFailure};
use crate::process::routing::TargetEligibility;

use super::dispatch::{MAX_REPLY_BYTES, post_json};
use super::entry_process::EntryProcess;
use super::request_run::SILENT_TARGET_DELAY;

/// How long after the deadline an agent's reply is still awaited.
const REPLY_GRACE: Duration = Duration::from_millis(500);
/// The time before the deadline at which an order waits no longer for a silent agent, so that its
/// caller still learns that it did not run.
const MIN_DISPATCH_TIME: Duration = Duration::from_millis(500);
/// The maximum sleep before the state machine gets a tick.
const MAX_SLEEP: Duration = Duration::from_secs(5);

/// An input of the order driver.
#[derive(Debug)]
pub(super) enum EntryInput {
    /// A caller sent an order.
    Submit {
        /// The order.
        request: Box<TryRequest>,
        /// The request body for the service.
        body: Value,
        /// The channel for the reply.
        reply: oneshot::Sender<OrderReply>,
    },
    /// An order found no agent, but one is only silent: choose again.
    Dispatch {
        /// The try of the order.
        try_id: TryId,
        /// The order.
        order: OrderRequest,
    },
    /// An event for the state machine: a result from an agent or the log service, or a tick.
    Event(EntryEvent),
}

/// A try that awaits its reply.
struct PendingTry {
    body: Value,
    reply: oneshot::Sender<OrderReply>,
    tried: SmallVec<[AgentName; 2]>,
}

struct OrderDriver {
    process: Arc<EntryProcess>,
    orders: EntryOrders,
    pending: HashMap<TryId, PendingTry>,
    next_try: u64,
}

/// Drives the orders of an entry VM until it stops.
pub(super) async fn drive_orders(
    process: Arc<EntryProcess>,
    mut inputs: mpsc::UnboundedReceiver<EntryInput>,
) {
    let rng = ChaCha8Rng::from_rng(&mut rand::rng());
    let mut driver = OrderDriver {
        orders: EntryOrders::new(process.name.clone(), OrderSettings::default(), rng),
        pending: HashMap::new(),
        next_try: 0,
        process: Arc::clone(&process),
    };
    loop {
        let wake = driver
            .orders
            .next_wake()
            .map(|wake| wake.since(Timestamp::now()));
        let sleep = wake.unwrap_or(MAX_SLEEP).min(MAX_SLEEP);
        let input = tokio::select! {
            input = inputs.recv() => input,
            () = tokio::time::sleep(sleep) => Some(EntryInput::Event(EntryEvent::Tick)),
            () = process.stop.cancelled() => return,
        };
        let Some(input) = input else { return };
        driver.handle_input(input);
    }
}

impl OrderDriver {
    fn handle_input(&mut self, input: EntryInput) {
        let event = match input {
            EntryInput::Submit {
                request,
                body,
                reply,
            } => {
                self.next_try += 1;
                let try_id = TryId(self.next_try);
                let tried = SmallVec::new();
                self.pending
                    .insert(try_id, PendingTry { body, reply, tried });
                EntryEvent::Submitted {
                    try_id,
                    request: *request,
                }
            }
            EntryInput::Dispatch { try_id, order } => return self.dispatch(try_id, order),
            EntryInput::Event(event) => event,
        };
        for action in self.orders.on_event(Timestamp::now(), event) {
            self.execute(action);
        }
    }

    fn execute(&mut self, action: EntryAction) {
        match action {
            EntryAction::Log(action) => {
                let log = self.process.log_client.clone();
                self.spawn_event(
                    async move { EntryEvent::Log(run_log_action(&log, action).await) },
                );
            }
            EntryAction::Dispatch { try_id, order, .. } => self.dispatch(try_id, order),
            EntryAction::Answer { try_id, reply } => {
                if let Some(pending) = self.pending.remove(&try_id) {
                    let _ = pending.reply.send(reply);
                }
            }
        }
    }

    fn dispatch(&mut self, try_id: TryId, order: OrderRequest) {
        let attempt = order.attempt;
        let Some((agent, url)) = self.choose_agent(try_id, &order) else {
            if self.has_silent_agent(try_id, &order) {
                let inputs = self.process.orders.clone();
                tokio::spawn(async move {
                    tokio::time::sleep(SILENT_TARGET_DELAY).await;
                    let _ = inputs.send(EntryInput::Dispatch { try_id, order });
                });
                return;
            }
            info!(self.process.log, "no agent for order"; "key" => %order.key, "reason" => "no-agent");
            self.spawn_event(async move { EntryEvent::NoAgent { attempt } });
            return;
        };
        info!(self.process.log, "order routed"; "key" => %order.key, "attempt" => %attempt,
            "agent" => %agent, "shard" => order.key.shard().0);
        let Some(pending) = self.pending.get_mut(&try_id) else {
            return;
        };
        pending.tried.push(agent);
        let remaining = order.deadline.since(Timestamp::now());
        let dispatch = OrderDispatch {
            key: order.key,
            attempt,
            digest: order.digest,
            service: order.service,
            call: order.call,
            remaining_ms: remaining.as_millis() as u64,
            key_history: order.key_history,
            body: pending.body.clone(),
        };
        let process = Arc::clone(&self.process);
        self.spawn_event(async move {
            let limit = AnswerLimit {
                time: remaining + REPLY_GRACE,
                bytes: MAX_REPLY_BYTES,
            };
            let request = post_json(&url, &dispatch, &process.settings.tokens.peer);
            let answer: Result<OrderReply, HttpFailure> = match request {
                Ok(request) => process.work_client.json(request, limit).await,
                Err(err) => Err(err),
            };
            match answer {
                Ok(reply) => EntryEvent::AgentReplied { attempt, reply },
                // An agent responds with a conflict only if it has not examined the order.
                Err(
                    HttpFailure::NotSent(_)
                    | HttpFailure::NotListening(_)
                    | HttpFailure::Status(StatusCode::CONFLICT, _),
                ) => EntryEvent::AgentUnreached { attempt },
                Err(_) => EntryEvent::AgentLost { attempt },
            }
        });
    }

    /// Chooses the eligible agent that ranks first for the key's shard and has not been tried.
    fn choose_agent(&self, try_id: TryId, order: &OrderRequest) -> Option<(AgentName, String)> {
        let index = self.process.index.load();
        let now = Timestamp::now();
        let known = self.process.agents.lock();
        let tried = &self.pending.get(&try_id)?.tried;
        let eligible: Vec<(TargetName, AgentName)> = index
            .service_agents(&order.service)
            .into_iter()
            .filter(|(target, _)| known.eligibility(now, target) == TargetEligibility::Eligible)
            .filter(|(_, agent)| !tried.contains(agent))
            .collect();
        let agents: Vec<AgentName> = eligible.iter().map(|(_, agent)| agent.clone()).collect();
        let chosen = rank_agents(order.key.shard(), &agents).into_iter().next()?;
        let (target, _) = eligible.iter().find(|(_, agent)| *agent == chosen)?;
        let address = known.get(target)?.work_address;
        Some((chosen, format!("http://{address}{ORDER_PATH}")))
    }

    /// Returns whether an agent that was not tried is only late with its report.
    fn has_silent_agent(&self, try_id: TryId, order: &OrderRequest) -> bool {
        let Some(pending) = self.pending.get(&try_id) else {
            return false;
        };
        let now = Timestamp::now();
        let index = self.process.index.load();
        let known = self.process.agents.lock();
        let agents = index.service_agents(&order.service);
        now + MIN_DISPATCH_TIME < order.deadline
            && agents.iter().any(|(target, agent)| {
                !pending.tried.contains(agent) && known.is_silent(now, target)
            })
    }

    fn spawn_event(&self, event: impl Future<Output = EntryEvent> + Send + 'static) {
        let inputs = self.process.orders.clone();
        tokio::spawn(async move {
            let _ = inputs.send(EntryInput::Event(event.await));
        });
    }
}
