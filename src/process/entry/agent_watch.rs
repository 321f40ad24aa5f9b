//! Sends heartbeats to agents and polls the platform's list of VMs.

use std::collections::{HashMap, HashSet};

use rand::RngExt;
use slog::{debug, info};
use tokio_util::sync::CancellationToken;

use crate::connection::{AgentReport, ControlClient, ReportPoll};
use crate::prelude::*;
use crate::process::distribution::{AnnouncementKind, PeerName};
use crate::process::membership::{HEARTBEAT_INTERVAL, subset};
use crate::process::routing::TargetEligibility;
use crate::version::config::TargetRole;

use super::entry_process::EntryProcess;
use super::known_agents::KnownAgent;

/// The maximum number of targets of one model or service that an entry VM subscribes to.
const MAX_SUBSET_TARGETS: usize = 16;
/// The interval between checks of leases and subscriptions.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// The timeout for the response to a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The mean interval between reads of the list of VMs.
const VM_LIST_INTERVAL: Duration = Duration::from_secs(2);

/// The inputs of the subscription: the configuration version and the known entry VMs.
type SubscriptionInputs = (VersionNumber, Vec<EntryName>);

/// Sends heartbeats to each subscribed agent until the process stops.
pub(super) async fn watch_agents(process: Arc<EntryProcess>) {
    let mut heartbeats: HashMap<TargetName, CancellationToken> = HashMap::new();
    let mut inputs = None;
    while !process.stop.is_cancelled() {
        refresh_subscription(&process, &mut inputs);
        let subscribed: Vec<TargetName> = process.agents.lock().subscribed().cloned().collect();
        heartbeats.retain(|target, heartbeat| {
            let is_kept = subscribed.contains(target);
            if !is_kept {
                heartbeat.cancel();
                process
                    .targets
                    .lock()
                    .set_eligible(target, TargetEligibility::Down);
            }
            is_kept
        });
        for target in subscribed {
            set_eligibility(&process, &target);
            heartbeats.entry(target.clone()).or_insert_with(|| {
                let heartbeat = process.stop.child_token();
                tokio::spawn(run_heartbeat(
                    Arc::clone(&process),
                    target,
                    heartbeat.clone(),
                ));
                heartbeat
            });
        }
        tokio::select! {
            () = tokio::time::sleep(CHECK_INTERVAL) => {}
            () = process.stop.cancelled() => return,
        }
    }
}

/// Polls the list of VMs until the process stops.
pub(super) async fn watch_vm_list(process: Arc<EntryProcess>) {
    while !process.stop.is_cancelled() {
        match process.vm_list.read().await {
            Ok(list) => process.agents.lock().set_list(&list),
            Err(err) => debug!(process.log, "failed to read the list of VMs"; "error" => %err),
        }
        // Update routing now instead of at the next heartbeat of each agent.
        let subscribed: Vec<TargetName> = process.agents.lock().subscribed().cloned().collect();
        for target in &subscribed {
            set_eligibility(&process, target);
        }
        let pause = VM_LIST_INTERVAL.mul_f64(rand::rng().random_range(0.8..1.2));
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = process.stop.cancelled() => return,
        }
    }
}

/// Recomputes the subscription if the version or the set of entry VMs has changed.
fn refresh_subscription(process: &EntryProcess, inputs: &mut Option<SubscriptionInputs>) {
    let version = process.versions.current();
    let mut entries = process.peers.lock().names();
    entries.push(process.name.clone());
    entries.sort();
    let current = (version.number, entries);
    if inputs.as_ref() == Some(&current) {
        return;
    }
    let mut targets_by_name: HashMap<ModelName, Vec<TargetName>> = HashMap::new();
    for (target, config) in &version.content.targets {
        let name = match &config.serves {
            TargetRole::Model(model) => model.clone(),
            TargetRole::Service(service) => ModelName::from(service.as_str()),
        };
        targets_by_name
            .entry(name)
            .or_default()
            .push(target.clone());
    }
    let entries = &current.1;
    let subscribed: HashSet<TargetName> = targets_by_name
        .iter()
        .flat_map(|(name, targets)| {
            subset(&process.name, name, entries, targets, MAX_SUBSET_TARGETS)
        })
        .collect();
    info!(process.log, "subscribed to targets"; "targets" => subscribed.len(),
        "version" => version.number.0, "entries" => entries.len());
    process.agents.lock().set_subscribed(subscribed);
    *inputs = Some(current);
}

async fn run_heartbeat(
    process: Arc<EntryProcess>,
    target: TargetName,
    heartbeat: CancellationToken,
) {
    while !heartbeat.is_cancelled() {
        let agent = process.agents.lock().get(&target).cloned();
        if let Some(agent) = agent {
            send_heartbeat(&process, &target, &agent).await;
        }
        let pause = HEARTBEAT_INTERVAL.mul_f64(rand::rng().random_range(0.95..1.05));
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = heartbeat.cancelled() => return,
        }
    }
}

async fn send_heartbeat(process: &Arc<EntryProcess>, target: &TargetName, agent: &KnownAgent) {
    let poll = ReportPoll {
        from: process.name.clone(),
        data_centre: process.settings.process.data_centre.clone(),
        control: process.settings.addresses.control,
        announcement: process.versions.announcement(),
        listed: agent.listed(),
        cache_from: agent.cache_from,
    };
    let sent_at = Timestamp::now();
    let answer = tokio::time::timeout(HEARTBEAT_TIMEOUT, async {
        let client = process.control.client(agent.control_address).await?;
        client
            .report(poll)
            .await
            .map_err(|err| Error::Peer(err.to_string()))
    });
    let failure = match answer.await {
        Ok(Ok(report)) => return record_report(process, (target, agent), sent_at, &report),
        Ok(Err(err)) => err.to_string(),
        Err(_) => "timed out".to_owned(),
    };
    debug!(process.log, "heartbeat failed"; "agent" => %agent.agent, "reason" => failure);
    process.control.remove(agent.control_address);
}

fn record_report(
    process: &Arc<EntryProcess>,
    (target, agent): (&TargetName, &KnownAgent),
    sent_at: Timestamp,
    report: &AgentReport,
) {
    let now = Timestamp::now();
    process.metrics.control_messages.inc();
    let from = PeerName::from(agent.agent.as_str());
    let announcement = report.announcement.clone();
    process
        .versions
        .record_announcement(from, announcement, AnnouncementKind::Reply);
    process.agents.lock().observe(now, sent_at, target, report);
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

/// Updates whether routing may send new work to a target.
fn set_eligibility(process: &EntryProcess, target: &TargetName) {
    let now = Timestamp::now();
    let (eligibility, status) = {
        let agents = process.agents.lock();
        (agents.eligibility(now, target), agents.status(now, target))
    };
    let mut targets = process.targets.lock();
    if targets.eligibility(target) != Some(eligibility) {
        info!(process.log, "target state changed"; "target" => %target, "state" => %eligibility,
            "reason" => %status.reason);
        targets.set_eligible(target, eligibility);
    }
}
