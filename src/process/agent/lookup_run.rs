//! Runs an idempotent call at a service.

use slog::info;

use crate::connection::LossReason;
use crate::prelude::*;
use crate::process::platform::{CallFailure, ServiceCall};
use crate::request::TargetFailure;

use super::agent_process::AgentProcess;
use super::work_table::StartedWork;

/// Runs a call until it succeeds, fails or is lost.
pub(super) async fn run_lookup(process: &Arc<AgentProcess>, start: &StartedWork, call: &str) {
    let run = &start.run;
    let offer = &start.request.offer;
    let service_call = ServiceCall {
        call,
        request: offer.work.request,
        key: "",
        body: &start.request.body,
        timeout: Duration::from_millis(offer.remaining_ms),
    };
    let answer = tokio::select! {
        answer = process.service.run(&service_call) => answer,
        () = run.cancel.cancelled() => {
            run.lose(LossReason::Cancelled);
            return;
        }
    };
    match answer {
        Ok(answer) => {
            process.mark_target_up();
            run.push(answer.to_string());
            run.end();
        }
        Err(CallFailure::Refused(status, body)) => {
            run.fail(TargetFailure {
                status,
                message: body.to_string(),
            });
        }
        Err(CallFailure::NotListening(_)) => {
            process.mark_target_crashed();
            run.lose(LossReason::Crashed);
        }
        Err(CallFailure::NotSent(reason) | CallFailure::Unknown(reason)) => {
            info!(process.log, "target's answer lost"; "work" => %run.work, "reason" => reason);
            run.lose(LossReason::BrokenOff);
        }
    }
}
