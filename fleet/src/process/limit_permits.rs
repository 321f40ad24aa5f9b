//! What a request's run tells of limits that targets name, and permits to send it to such targets.

use slog::{Logger, info, warn};

use crate::prelude::*;
use crate::routing::{LimitChange, LimitNotice, PermitDecision, TargetPick, name_hash};

use super::request_run::CallContext;

/// The shortest time before a request asks for room again, and the time that a run needs after it.
const MIN_ROOM_WAIT: Duration = Duration::from_millis(50);

impl CallContext {
    /// Asks for a permit to send the request to a target, where it names a limit; returns whether the
    /// request may be sent. A target without room is not chosen again until it may have some.
    pub(super) async fn take_permit(&self, pick: &TargetPick) -> bool {
        let Some(rate) = pick.limit else {
            return true;
        };
        let state = &self.state;
        let asked_at = Instant::now();
        let target = name_hash(&pick.id);
        let answer = state.permits.ask(target, rate, self.time_left()).await;
        let (label, full_for) = match answer.decision {
            PermitDecision::Granted => ("granted", None),
            PermitDecision::Full(time) => ("full", Some(time)),
        };
        let source = answer.source.to_string();
        state
            .metrics
            .permits
            .with_label_values(&[label, &*source])
            .inc();
        info!(state.log, "permit"; "request" => &*self.head.attempt_id, "target" => &*pick.id,
            "limit" => rate, "result" => label, "source" => source,
            "wait_ms" => full_for.map(|time| time.as_millis() as u64),
            "asked_ms" => asked_at.elapsed().as_millis() as u64);
        if let Some(time) = full_for {
            let until = Instant::now() + time;
            state.table.lock().set_full(&pick.id, until);
        }
        full_for.is_none()
    }

    /// Returns when a target other than the excluded ones may have room, where all of them name limits
    /// and there is room before the deadline.
    pub(super) fn room_at(&self, excluded: &[Arc<str>]) -> Option<Instant> {
        let now = Instant::now();
        let limited_for = {
            let table = self.state.table.lock();
            table.limited_for(&self.service, excluded, now)
        };
        let at = now + limited_for?.max(MIN_ROOM_WAIT);
        info!(self.state.log, "no room at any target"; "request" => &*self.head.attempt_id,
            "wait_ms" => (at - now).as_millis() as u64,
            "left_ms" => self.time_left().as_millis() as u64);
        (at + MIN_ROOM_WAIT < self.deadline).then_some(at)
    }

    /// Records what an answer tells of its target's limit.
    pub(super) fn record_limit(&self, pick: &TargetPick, notice: LimitNotice) {
        let change = {
            let mut table = self.state.table.lock();
            table.observe_limit(&pick.id, notice, Instant::now())
        };
        log_change(&self.state.log, &pick.id, change, &self.head.attempt_id);
    }
}

/// Logs a change of a target's limit, and the request or entry that told of it.
pub(super) fn log_change(log: &Logger, target: &str, change: LimitChange, source: &str) {
    match change {
        LimitChange::Same => {}
        LimitChange::Named(rate) => {
            info!(log, "limit named"; "target" => target, "limit" => rate, "by" => source);
        }
        LimitChange::Ended => info!(log, "limit ended"; "target" => target, "by" => source),
        LimitChange::Malformed => {
            warn!(log, "limit not readable"; "target" => target, "by" => source);
        }
    }
}
