//! Exchanges versions, demand, crash suspects and peer addresses with the other entry VMs.

use std::net::SocketAddr;

use rand::RngExt;
use slog::debug;

use crate::connection::{ControlClient, PeerHello};
use crate::prelude::*;
use crate::process::distribution::{AnnouncementKind, PeerInfo, PeerName, PeerRole};

use super::entry_process::EntryProcess;

/// The mean interval between exchanges with a peer.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(2_500);
/// The interval between checks for exchanges that are due.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// The period at the start of which the addresses of reachable peers are sent, in milliseconds.
const PEER_LIST_PERIOD_MS: u64 = 25_000;
/// How long messages carry these addresses at the start of each period, in milliseconds.
const PEER_LIST_WINDOW_MS: u64 = 2_500;

/// Exchanges messages with each peer until the process stops.
pub(super) async fn watch_peers(process: Arc<EntryProcess>) {
    let mut last_members = None;
    while !process.stop.is_cancelled() {
        let period = EXCHANGE_INTERVAL.mul_f64(rand::rng().random_range(0.9..1.1));
        let due = process
            .peers
            .lock()
            .start_due_exchanges(Timestamp::now(), period);
        for address in due {
            let process = Arc::clone(&process);
            tokio::spawn(async move { exchange(&process, address).await });
        }
        let members = process.peers.lock().members();
        if last_members.as_ref() != Some(&members) {
            let names = process.peers.lock().names();
            process.limiter.lock().set_entries(&names);
            set_members(&process);
            last_members = Some(members);
        }
        tokio::select! {
            () = tokio::time::sleep(CHECK_INTERVAL) => {}
            () = process.stop.cancelled() => return,
        }
    }
}

/// Records a peer's message: its version and demand, and crash suspects from this data centre.
pub(super) fn record_hello(process: &Arc<EntryProcess>, hello: &PeerHello) {
    let now = Timestamp::now();
    process.metrics.control_messages.inc();
    process.peers.lock().observe(now, hello);
    process
        .limiter
        .lock()
        .observe_demand(now, &hello.from, &hello.demand);
    if hello.data_centre == process.settings.process.data_centre {
        let mut suspects = process.suspects.lock();
        for report in &hello.suspects {
            suspects.observe_report(now, report);
        }
    }
    let from = PeerName::from(hello.from.as_str());
    process
        .versions
        .record_announcement(from, hello.announcement.clone(), AnnouncementKind::Reply);
}

/// Builds the message that this process sends to its peers.
pub(super) fn build_hello(process: &EntryProcess) -> PeerHello {
    let now = Timestamp::now();
    PeerHello {
        from: process.name.clone(),
        data_centre: process.settings.process.data_centre.clone(),
        control: process.settings.addresses.control,
        announcement: process.versions.announcement(),
        demand: process.limiter.lock().local_demand(now, now.0),
        suspects: process.suspects.lock().reports(now),
        peers: peers_to_send(process, now),
    }
}

/// Returns the reachable peers at the start of each period, which counts from the process start.
fn peers_to_send(process: &EntryProcess, now: Timestamp) -> Vec<SocketAddr> {
    let age_ms = now.since(process.started_at).as_millis() as u64;
    if age_ms % PEER_LIST_PERIOD_MS < PEER_LIST_WINDOW_MS {
        return process.peers.lock().reachable();
    }
    Vec::new()
}

async fn exchange(process: &Arc<EntryProcess>, address: SocketAddr) {
    let answer = async {
        let client = process.control.client(address).await?;
        let answer = client.exchange(build_hello(process)).await;
        answer.map_err(|err| Error::Peer(err.to_string()))
    };
    match answer.await {
        Ok(hello) => record_hello(process, &hello),
        Err(err) => {
            debug!(process.log, "exchange with peer failed"; "peer" => %address, "error" => %err);
            process.control.remove(address);
            process
                .peers
                .lock()
                .record_failure(Timestamp::now(), address);
        }
    }
}

/// Sets the processes among which versions are distributed: known entry VMs and all agents.
pub(super) fn set_members(process: &Arc<EntryProcess>) {
    let mut members = process.peers.lock().members();
    let version = process.versions.current();
    members.extend(version.content.targets.values().map(|target| {
        let info = PeerInfo {
            name: PeerName::from(target.agent.as_str()),
            data_centre: target.data_centre.clone(),
            role: PeerRole::Agent,
        };
        (info, target.control_address)
    }));
    process.versions.set_members(members);
}
