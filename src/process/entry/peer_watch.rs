//! Exchanges versions and demand with the other entry VMs.

use std::net::SocketAddr;

use rand::RngExt;
use slog::debug;

use crate::connection::{ControlClient, PeerHello};
use crate::prelude::*;
use crate::process::distribution::{AnnouncementKind, PeerInfo, PeerName, PeerRole};

use super::entry_process::EntryProcess;

/// The mean pause between two exchanges with a peer.
const EXCHANGE_PERIOD: Duration = Duration::from_millis(2_500);
/// The pause between two looks for exchanges that are due.
const LOOK_PERIOD: Duration = Duration::from_millis(250);
/// The time between two tellings of the known peers, in milliseconds.
const PEERS_PERIOD_MS: u64 = 25_000;
/// How long after each the known peers are still told, in milliseconds.
const PEERS_TOLD_MS: u64 = 2_500;

/// Exchanges with each peer until the process stops.
pub(super) async fn watch_peers(process: Arc<EntryProcess>) {
    let mut told = None;
    while !process.stop.is_cancelled() {
        let period = EXCHANGE_PERIOD.mul_f64(rand::rng().random_range(0.9..1.1));
        let due = process.peers.lock().take_due(Timestamp::now(), period);
        for address in due {
            let process = Arc::clone(&process);
            tokio::spawn(async move { exchange(&process, address).await });
        }
        let members = process.peers.lock().members();
        if told.as_ref() != Some(&members) {
            let names = process.peers.lock().names();
            process.limiter.lock().set_entries(&names);
            set_members(&process);
            told = Some(members);
        }
        tokio::select! {
            () = tokio::time::sleep(LOOK_PERIOD) => {}
            () = process.stop.cancelled() => return,
        }
    }
}

/// Takes in what a peer told: its version, its demand and its suspects.
pub(super) fn take_hello(process: &Arc<EntryProcess>, hello: &PeerHello) {
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
        .heard(from, hello.announcement.clone(), AnnouncementKind::Reply);
}

/// Makes what this process tells its peers.
pub(super) fn own_hello(process: &EntryProcess) -> PeerHello {
    let now = Timestamp::now();
    PeerHello {
        from: process.name.clone(),
        data_centre: process.settings.process.data_centre.clone(),
        control: process.settings.addresses.control,
        announcement: process.versions.announcement(),
        demand: process.limiter.lock().local_demand(now, now.0),
        suspects: process.suspects.lock().reports(now),
        peers: told_peers(process, now),
    }
}

/// Returns the known peers at the start and then from time to time.
fn told_peers(process: &EntryProcess, now: Timestamp) -> Vec<SocketAddr> {
    let age_ms = now.since(process.started_at).as_millis() as u64;
    if age_ms % PEERS_PERIOD_MS < PEERS_TOLD_MS {
        return process.peers.lock().reachable();
    }
    Vec::new()
}

async fn exchange(process: &Arc<EntryProcess>, address: SocketAddr) {
    let answer = async {
        let client = process.control.client(address).await?;
        let answer = client.exchange(own_hello(process)).await;
        answer.map_err(|err| Error::Peer(err.to_string()))
    };
    match answer.await {
        Ok(hello) => take_hello(process, &hello),
        Err(err) => {
            debug!(process.log, "peer did not answer"; "peer" => %address, "error" => %err);
            process.control.remove(address);
            process.peers.lock().failed(Timestamp::now(), address);
        }
    }
}

/// Tells the distribution of versions which processes there are.
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
