//! Exchanges versions and demand with the other entry VMs.

use std::net::SocketAddr;

use rand::RngExt;
use slog::{debug, info};

use crate::connection::{ControlClient, PeerHello, VersionPull};
use crate::prelude::*;
use crate::process::operator::VersionSource;

use super::entry_process::EntryProcess;

/// The mean pause between two exchanges with a peer.
const EXCHANGE_PERIOD: Duration = Duration::from_secs(1);

/// Exchanges with each peer until the process stops.
pub(super) async fn watch_peers(process: Arc<EntryProcess>) {
    while !process.stop.is_cancelled() {
        let addresses = process.peers.lock().addresses();
        let mut n_answers = 0;
        let exchanges = addresses.iter().map(|&address| exchange(&process, address));
        for answer in futures::future::join_all(exchanges).await {
            n_answers += usize::from(answer.is_ok());
        }
        let names = process.peers.lock().names();
        process.limiter.lock().set_entries(&names);
        settle_source(&process, n_answers);
        let pause = EXCHANGE_PERIOD.mul_f64(rand::rng().random_range(0.8..1.2));
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
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
    let mark = process.versions.mark();
    if hello.version.number == mark.number {
        assert_eq!(
            hello.version.digest, mark.digest,
            "one content per version number"
        );
    }
    if mark.number < hello.version.number {
        tokio::spawn(pull_versions(Arc::clone(process), hello.control));
    }
}

/// Makes what this process tells its peers.
pub(super) fn own_hello(process: &EntryProcess) -> PeerHello {
    let now = Timestamp::now();
    PeerHello {
        from: process.name.clone(),
        data_centre: process.settings.process.data_centre.clone(),
        control: process.settings.addresses.control,
        version: process.versions.mark(),
        demand: process.limiter.lock().local_demand(now, now.0),
        suspects: process.suspects.lock().reports(now),
        peers: process.peers.lock().reachable(),
    }
}

async fn exchange(process: &Arc<EntryProcess>, address: SocketAddr) -> Result<()> {
    let answer = async {
        let client = process.control.client(address).await?;
        let answer = client.exchange(own_hello(process)).await;
        answer.map_err(|err| Error::Peer(err.to_string()))
    };
    match answer.await {
        Ok(hello) => {
            take_hello(process, &hello);
            Ok(())
        }
        Err(err) => {
            debug!(process.log, "peer did not answer"; "peer" => %address, "error" => %err);
            process.control.forget(address);
            process.peers.lock().failed(Timestamp::now(), address);
            Err(err)
        }
    }
}

async fn pull_versions(process: Arc<EntryProcess>, peer: SocketAddr) {
    let have = process.versions.mark().number;
    let delivery = async {
        let client = process.control.client(peer).await?;
        let answer = client.pull(VersionPull { have }).await;
        answer.map_err(|err| Error::Peer(err.to_string()))
    };
    match delivery.await {
        Ok(delivery) => process.versions.take_delivery(delivery),
        Err(err) => debug!(process.log, "pull failed"; "peer" => %peer, "error" => %err),
    }
}

/// A process that finds the log service away serves the highest version of its peers.
fn settle_source(process: &EntryProcess, n_answers: usize) {
    let has_version = VersionNumber(0) < process.versions.mark().number;
    if process.source() == VersionSource::None && 0 < n_answers && has_version {
        info!(process.log, "serving the highest version of the peers"; "peers" => n_answers);
        process.set_source(VersionSource::Peers);
    }
}
