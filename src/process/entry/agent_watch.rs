//! Polls the agents for their reports, and the platform for its list of VMs.

use rand::RngExt;
use slog::{debug, info};

use crate::connection::{AgentReport, ControlClient, ReportPoll};
use crate::prelude::*;
use crate::process::distribution::{AnnouncementKind, PeerName};
use crate::process::platform::VmState;
use crate::process::routing::TargetEligibility;

use super::entry_process::EntryProcess;
use super::known_agents::KnownAgent;

/// The mean pause between two polls of an agent.
const POLL_PERIOD: Duration = Duration::from_millis(500);
/// The longest time for the answer to a poll.
const POLL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The mean pause between two reads of the list of VMs.
const LIST_PERIOD: Duration = Duration::from_secs(2);

/// Polls the agents until the process stops.
pub(super) async fn watch_agents(process: Arc<EntryProcess>) {
    while !process.stop.is_cancelled() {
        let agents: Vec<(TargetName, KnownAgent)> = {
            let known = process.agents.lock();
            known
                .iter()
                .map(|(target, agent)| (target.clone(), agent.clone()))
                .collect()
        };
        let polls = agents
            .iter()
            .map(|(target, agent)| poll_agent(&process, target, agent));
        futures::future::join_all(polls).await;
        let pause = POLL_PERIOD.mul_f64(rand::rng().random_range(0.8..1.2));
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = process.stop.cancelled() => return,
        }
    }
}

/// Reads the list of VMs until the process stops.
pub(super) async fn watch_vm_list(process: Arc<EntryProcess>) {
    while !process.stop.is_cancelled() {
        match process.vm_list.read().await {
            Ok(list) => {
                let leaving = list.vms.iter().filter(|vm| vm.state == VmState::Leaving);
                let names = leaving.map(|vm| Arc::clone(&vm.name)).collect();
                process.agents.lock().set_leaving_vms(names);
                // Routing learns of it at once, not at the next poll of each agent.
                let targets: Vec<TargetName> = process.agents.lock().targets().collect();
                for target in &targets {
                    set_eligibility(&process, target);
                }
            }
            Err(err) => debug!(process.log, "list of VMs not read"; "error" => %err),
        }
        let pause = LIST_PERIOD.mul_f64(rand::rng().random_range(0.8..1.2));
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = process.stop.cancelled() => return,
        }
    }
}

async fn poll_agent(process: &Arc<EntryProcess>, target: &TargetName, agent: &KnownAgent) {
    let poll = ReportPoll {
        from: process.name.clone(),
        control: process.settings.addresses.control,
        data_centre: process.settings.process.data_centre.clone(),
        announcement: process.versions.announcement(),
        listed: process.agents.lock().listed(target),
        cache_from: agent.cache_from,
    };
    let answer = tokio::time::timeout(POLL_TIMEOUT, async {
        let client = process.control.client(agent.control_address).await?;
        client
            .report(poll)
            .await
            .map_err(|err| Error::Peer(err.to_string()))
    });
    match answer.await {
        Ok(Ok(report)) => take_report(process, target, &report),
        Ok(Err(err)) => poll_failed(process, target, agent, &err.to_string()),
        Err(_) => poll_failed(process, target, agent, "no answer in time"),
    }
}

fn take_report(process: &Arc<EntryProcess>, target: &TargetName, report: &AgentReport) {
    let now = Timestamp::now();
    process.metrics.control_messages.inc();
    let from = PeerName::from(report.agent.as_str());
    let announcement = report.announcement.clone();
    process
        .versions
        .heard(from, announcement, AnnouncementKind::Reply);
    process.agents.lock().observe(now, target, report);
    set_eligibility(process, target);
    {
        let mut targets = process.targets.lock();
        if let Some(load) = &report.load {
            targets.observe_report(now, target, load);
        }
        for event in &report.cache {
            targets.observe_cache_event(target, event);
        }
    }
    let mut suspects = process.suspects.lock();
    for suspect in &report.suspects {
        suspects.observe_report(now, suspect);
    }
}

fn poll_failed(process: &EntryProcess, target: &TargetName, agent: &KnownAgent, reason: &str) {
    debug!(process.log, "agent did not answer"; "agent" => %agent.agent, "reason" => reason);
    process.control.forget(agent.control_address);
    process.agents.lock().poll_failed(target);
    set_eligibility(process, target);
}

fn set_eligibility(process: &EntryProcess, target: &TargetName) {
    let eligibility = process.agents.lock().eligibility(target);
    let mut targets = process.targets.lock();
    let earlier = targets
        .targets()
        .find(|(name, _)| *name == target)
        .map(|(_, state)| state);
    if earlier != Some(eligibility) {
        let state = match eligibility {
            TargetEligibility::Eligible => "eligible",
            TargetEligibility::Leaving => "leaving",
            TargetEligibility::Down => "down",
        };
        info!(process.log, "target state"; "target" => %target, "state" => state);
    }
    targets.set_eligible(target, eligibility);
}
