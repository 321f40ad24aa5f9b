//! The entry VM's state machine for one try of an order.

use crate::prelude::*;

use super::digest::BodyDigest;
use super::fold::KeyState;
use super::key::OrderKey;
use super::log_event::AppendFault;
use super::record::VoidReason;
use super::reply::{KeyHistory, KeyUse, OrderReply, ReplyReason};
use super::settings::OrderSettings;

/// One try of one caller, from its arrival to its only reply.
///
/// If the connection to an agent is lost, the try goes to another agent: of several claims only the
/// first valid one runs. If no agent is left, the try closes the key with a void.
#[derive(Clone, Debug)]
pub struct OrderTry {
    request: TryRequest,
    limits: TryLimits,
    phase: TryPhase,
    n_attempts: u32,
    delivery: TryDelivery,
}

/// A try as sent by its caller.
#[derive(Clone, Debug, PartialEq)]
pub struct TryRequest {
    /// The key.
    pub key: OrderKey,
    /// The digest of the service, call and body.
    pub digest: BodyDigest,
    /// The service.
    pub service: ServiceName,
    /// The call of the service.
    pub call: Arc<str>,
    /// When the caller stops waiting.
    pub deadline: Timestamp,
    /// Whether the caller marked the first use of the key.
    pub key_history: KeyHistory,
}

/// An event for a try.
#[derive(Clone, Debug, PartialEq)]
pub enum TryEvent {
    /// The agent of the last attempt replied.
    AgentReplied(OrderReply),
    /// The last attempt did not reach an agent.
    AgentUnreached,
    /// The connection was lost after some of the last attempt was sent.
    AgentLost,
    /// There is no agent, or no further one, for a dispatch.
    NoAgent,
    /// The state of the key was read.
    KeyRead(KeyState),
    /// The append of the void failed and is not repeated.
    VoidFailed(AppendFault),
    /// The reads of the key's shard failed repeatedly.
    ShardUnavailable,
    /// The caller stops waiting.
    Deadline,
}

/// An action that a try requests.
#[derive(Clone, Debug, PartialEq)]
pub enum TryAction {
    /// Dispatch a new attempt to an agent that wasn't tried before.
    Dispatch(KeyHistory),
    /// Follow the key's shard and report the key's state.
    Follow,
    /// Append a void of the key.
    Void(VoidReason),
    /// Reply to the caller and end the try.
    Answer(OrderReply),
}

#[derive(Clone, Copy, Debug)]
struct TryLimits {
    max_attempts: u32,
    retry_after: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TryPhase {
    /// The try was dispatched to an agent, or is about to be.
    Dispatched,
    /// The key is looked up, so that a void is appended only if the key is free.
    LookingUp(VoidReason),
    /// The void may have been appended and has not been read back.
    Voiding,
    /// The first valid record is a claim; the try waits for its settlement.
    Following,
    /// The caller has its reply.
    Done,
}

/// Whether an agent may have received an attempt whose fate is unknown to this entry VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TryDelivery {
    None,
    Maybe,
}

impl OrderTry {
    /// Starts a try.
    pub fn start(
        now: Timestamp,
        request: TryRequest,
        settings: &OrderSettings,
    ) -> (Self, TryAction) {
        let mut order_try = Self {
            limits: TryLimits {
                max_attempts: settings.max_attempts,
                retry_after: settings.retry_after,
            },
            request,
            phase: TryPhase::Dispatched,
            n_attempts: 0,
            delivery: TryDelivery::None,
        };
        let refusal = if order_try.request.deadline <= now {
            Some(ReplyReason::DeadlinePassed)
        } else {
            settings.key_refusal(now, &order_try.request.key)
        };
        let action = match refusal {
            Some(reason) => order_try.refuse(reason),
            None => order_try.dispatch(),
        };
        (order_try, action)
    }

    /// Returns the request.
    pub fn request(&self) -> &TryRequest {
        &self.request
    }

    /// Returns whether the caller has its reply.
    pub fn is_done(&self) -> bool {
        self.phase == TryPhase::Done
    }

    /// Processes an event and returns the resulting action.
    pub fn on_event(&mut self, event: TryEvent) -> Option<TryAction> {
        match (self.phase, event) {
            (TryPhase::Done, _) => None,
            (TryPhase::Dispatched, TryEvent::AgentReplied(reply)) => Some(self.on_reply(reply)),
            (TryPhase::Dispatched, TryEvent::AgentUnreached) => Some(self.dispatch_next()),
            (TryPhase::Dispatched, TryEvent::AgentLost) => {
                self.delivery = TryDelivery::Maybe;
                Some(self.dispatch_next())
            }
            (TryPhase::Dispatched, TryEvent::NoAgent) => Some(self.on_no_agent()),
            (TryPhase::Dispatched, TryEvent::Deadline) => {
                Some(self.unknown(ReplyReason::AgentSilent))
            }
            (TryPhase::Dispatched, _) => None,
            (_, TryEvent::KeyRead(state)) => self.on_key_read(&state),
            (_, TryEvent::VoidFailed(fault)) => Some(self.on_void_failed(fault)),
            (_, TryEvent::ShardUnavailable) => Some(self.unknown(ReplyReason::LogAway)),
            (TryPhase::Following, TryEvent::Deadline) => Some(self.unknown(ReplyReason::ClaimOpen)),
            (_, TryEvent::Deadline) => Some(self.unknown(ReplyReason::VoidUnresolved)),
            (_, _) => None,
        }
    }

    fn dispatch(&mut self) -> TryAction {
        self.n_attempts += 1;
        self.phase = TryPhase::Dispatched;
        TryAction::Dispatch(self.history())
    }

    /// Returns the key history for an attempt that starts now.
    fn history(&self) -> KeyHistory {
        match self.delivery {
            TryDelivery::None => self.request.key_history,
            TryDelivery::Maybe => KeyHistory::Repeat,
        }
    }

    fn dispatch_next(&mut self) -> TryAction {
        if self.n_attempts < self.limits.max_attempts {
            return self.dispatch();
        }
        self.on_no_agent()
    }

    fn on_no_agent(&mut self) -> TryAction {
        if self.history() == KeyHistory::FirstUse {
            return self.refuse(ReplyReason::NoAgent);
        }
        let reason = match self.delivery {
            TryDelivery::None => VoidReason::NoAgent,
            TryDelivery::Maybe => VoidReason::AgentLost,
        };
        self.phase = TryPhase::LookingUp(reason);
        TryAction::Follow
    }

    fn on_reply(&mut self, reply: OrderReply) -> TryAction {
        let has_attempts_left = self.n_attempts < self.limits.max_attempts;
        if has_attempts_left && reply.reason.is_agent_specific() {
            return self.dispatch();
        }
        if reply.key_use == KeyUse::Reusable && self.history() == KeyHistory::Repeat {
            return self.unknown(reply.reason);
        }
        self.answer(reply)
    }

    fn on_key_read(&mut self, state: &KeyState) -> Option<TryAction> {
        if let Some(reply) = state.reply_to(self.request.digest, self.limits.retry_after) {
            return Some(self.answer(reply));
        }
        match (self.phase, state) {
            (TryPhase::LookingUp(reason), KeyState::Free) => {
                self.phase = TryPhase::Voiding;
                Some(TryAction::Void(reason))
            }
            (_, KeyState::Claimed(_)) => {
                self.phase = TryPhase::Following;
                None
            }
            _ => None,
        }
    }

    fn on_void_failed(&mut self, fault: AppendFault) -> TryAction {
        let reason = match fault {
            AppendFault::Refused => ReplyReason::LogBusy,
            AppendFault::Unreachable => ReplyReason::LogAway,
            AppendFault::Unknown => ReplyReason::VoidUnresolved,
        };
        self.unknown(reason)
    }

    fn refuse(&mut self, reason: ReplyReason) -> TryAction {
        let reply = OrderReply::refused(self.history(), reason, self.limits.retry_after);
        self.answer(reply)
    }

    fn unknown(&mut self, reason: ReplyReason) -> TryAction {
        let reply = OrderReply::unknown(reason, self.limits.retry_after);
        self.answer(reply)
    }

    fn answer(&mut self, reply: OrderReply) -> TryAction {
        let is_reusable = reply.key_use == KeyUse::Reusable;
        assert!(
            !is_reusable || self.delivery == TryDelivery::None,
            "a key is reported as reusable only if the fate of every attempt is known"
        );
        self.phase = TryPhase::Done;
        TryAction::Answer(reply)
    }
}
