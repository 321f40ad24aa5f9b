//! Runs the state machine of an agent's orders: the log service, the target and the replies.

use std::collections::HashMap;
use std::sync::atomic::Ordering;

use serde_json::Value;
use slog::info;
use tokio::sync::{mpsc, oneshot};

use crate::connection::OrderDispatch;
use crate::prelude::*;
use crate::process::order_io::run_log_action;
use crate::process::orders::{
    AttemptId, HolderAction, HolderEvent, HolderIdentity, OrderAnswer, OrderHolder, OrderReply,
    OrderRequest, OrderSettings, OrderShard, rank_agents,
};
use crate::process::platform::{CallFailure, ServiceCall};

use crate::version::config::TargetRole;

use super::agent_process::AgentProcess;

/// The maximum time that a target may take for an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(60);
/// The interval between two requests to read the preferred shards ahead.
const PREPARE_PERIOD: Duration = Duration::from_secs(240);
/// The maximum time until the next tick of the state machine.
const MAX_TICK_PERIOD: Duration = Duration::from_secs(5);

/// An input of the order driver.
#[derive(Debug)]
pub(super) enum OrderInput {
    /// An entry VM dispatched an order.
    Dispatch(Box<OrderDispatch>, oneshot::Sender<OrderReply>),
    /// The log service or the target answered.
    Event(HolderEvent),
    /// The agent is leaving.
    Leave,
}

/// An order without a reply yet, and what is sent to the target.
struct PendingOrder {
    call: Arc<str>,
    key: Arc<str>,
    body: Value,
    reply: Option<oneshot::Sender<OrderReply>>,
}

struct OrderDriver {
    process: Arc<AgentProcess>,
    holder: OrderHolder,
    pending: HashMap<AttemptId, PendingOrder>,
    inputs: mpsc::WeakUnboundedSender<OrderInput>,
}

/// Runs the orders of an agent until it stops.
pub(super) async fn drive_orders(
    process: Arc<AgentProcess>,
    target: TargetName,
    mut inputs: mpsc::UnboundedReceiver<OrderInput>,
) {
    let Some(serving) = process.serving.get() else {
        return;
    };
    let identity = HolderIdentity {
        agent: process.name.clone(),
        incarnation: process.incarnation,
        target,
    };
    tokio::spawn(prepare_shards(Arc::clone(&process)));
    let mut driver = OrderDriver {
        holder: OrderHolder::new(identity, order_settings(&process)),
        pending: HashMap::new(),
        inputs: serving.orders.downgrade(),
        process: Arc::clone(&process),
    };
    loop {
        let sleep = driver.sleep_time();
        let input = tokio::select! {
            input = inputs.recv() => input,
            () = tokio::time::sleep(sleep) => Some(OrderInput::Event(HolderEvent::Tick)),
            () = process.stop.cancelled() => return,
        };
        let Some(input) = input else { return };
        driver.handle_input(input);
    }
}

/// Periodically makes the agent read ahead the shards for which it ranks first.
async fn prepare_shards(process: Arc<AgentProcess>) {
    while !process.stop.is_cancelled() {
        let version = process.versions.current();
        let own = version
            .content
            .targets
            .values()
            .find(|target| target.agent == process.name);
        let peers = own.map(|own| {
            let same = version.content.targets.values();
            let same = same.filter(|target| target.serves == own.serves);
            same.map(|target| target.agent.clone()).collect::<Vec<_>>()
        });
        let is_service = own.is_some_and(|own| matches!(own.serves, TargetRole::Service(_)));
        let Some(serving) = process.serving.get().filter(|_| is_service) else {
            return;
        };
        for shard in OrderShard::all() {
            let first = rank_agents(shard, peers.as_deref().unwrap_or_default())
                .into_iter()
                .next();
            if first.as_ref() == Some(&process.name) {
                let _ = serving
                    .orders
                    .send(OrderInput::Event(HolderEvent::Prepare(shard)));
            }
        }
        tokio::select! {
            () = tokio::time::sleep(PREPARE_PERIOD) => {}
            () = process.stop.cancelled() => return,
        }
    }
}

fn order_settings(process: &AgentProcess) -> OrderSettings {
    let mut settings = OrderSettings::default();
    let retries = &process.versions.current().content.retries;
    settings.window.validity = Duration::from_secs(retries.order_window_s);
    settings
}

impl OrderDriver {
    fn sleep_time(&self) -> Duration {
        let wake = self
            .holder
            .next_wake()
            .map(|wake| wake.since(Timestamp::now()));
        wake.unwrap_or(MAX_TICK_PERIOD).min(MAX_TICK_PERIOD)
    }

    fn handle_input(&mut self, input: OrderInput) {
        let now = Timestamp::now();
        let event = match input {
            OrderInput::Dispatch(dispatch, reply) => self.on_dispatch(now, *dispatch, reply),
            OrderInput::Event(event) => event,
            OrderInput::Leave => HolderEvent::Leave,
        };
        for action in self.holder.on_event(now, event) {
            self.execute(action);
        }
        self.process
            .has_orders
            .store(!self.holder.is_drained(), Ordering::SeqCst);
    }

    fn on_dispatch(
        &mut self,
        now: Timestamp,
        dispatch: OrderDispatch,
        reply: oneshot::Sender<OrderReply>,
    ) -> HolderEvent {
        let request = OrderRequest {
            key: dispatch.key,
            attempt: dispatch.attempt,
            digest: dispatch.digest,
            service: dispatch.service,
            call: dispatch.call,
            deadline: now + Duration::from_millis(dispatch.remaining_ms),
            key_history: dispatch.key_history,
        };
        let pending = PendingOrder {
            call: Arc::clone(&request.call),
            key: Arc::from(request.key.id.to_string()),
            body: dispatch.body,
            reply: Some(reply),
        };
        self.pending.entry(request.attempt).or_insert(pending);
        HolderEvent::Arrived(request)
    }

    fn execute(&mut self, action: HolderAction) {
        match action {
            HolderAction::Log(action) => {
                let log = self.process.log_client.clone();
                self.spawn(async move { HolderEvent::Log(run_log_action(&log, action).await) });
            }
            HolderAction::Run { attempt, claim } => {
                info!(self.process.log, "order runs"; "attempt" => %attempt, "claim" => claim.0);
                self.run(attempt);
            }
            HolderAction::Reply { attempt, reply } => {
                let pending = self.pending.remove(&attempt);
                if let Some(sender) = pending.and_then(|pending| pending.reply) {
                    let _ = sender.send(reply);
                }
            }
        }
    }

    /// Sends an order to the target. The body is moved out, so that it is never sent twice.
    fn run(&mut self, attempt: AttemptId) {
        let Some(pending) = self.pending.get_mut(&attempt) else {
            self.spawn(async move { HolderEvent::TargetUnreached { attempt } });
            return;
        };
        let call = Arc::clone(&pending.call);
        let key = Arc::clone(&pending.key);
        let body = pending.body.take();
        let process = Arc::clone(&self.process);
        self.spawn(async move {
            let call = ServiceCall {
                call: &call,
                request: RequestId(attempt.0),
                key: &key,
                body: &body,
                timeout: ORDER_TIMEOUT,
            };
            let answer = process.service.run(&call).await;
            if let Err(CallFailure::Unknown(reason)) = &answer {
                info!(process.log, "target's answer lost"; "attempt" => %attempt,
                    "reason" => reason);
            }
            target_event(attempt, answer)
        });
    }

    fn spawn(&self, event: impl Future<Output = HolderEvent> + Send + 'static) {
        let inputs = self.inputs.clone();
        tokio::spawn(async move {
            let event = event.await;
            if let Some(inputs) = inputs.upgrade() {
                let _ = inputs.send(OrderInput::Event(event));
            }
        });
    }
}

fn target_event(attempt: AttemptId, answer: Result<Value, CallFailure>) -> HolderEvent {
    let limit = OrderSettings::default().answer_limit;
    let bounded = |status, body: &Value| {
        OrderAnswer::bounded(
            status,
            "application/json",
            body.to_string().as_bytes(),
            limit,
        )
    };
    match answer {
        Ok(body) => HolderEvent::TargetAnswered {
            attempt,
            answer: bounded(200, &body),
        },
        Err(CallFailure::Refused(status, body)) => HolderEvent::TargetFailed {
            attempt,
            answer: bounded(status, &body),
        },
        Err(CallFailure::NotSent(_) | CallFailure::NotListening(_)) => {
            HolderEvent::TargetUnreached { attempt }
        }
        Err(CallFailure::Unknown(_)) => HolderEvent::TargetLost { attempt },
    }
}
