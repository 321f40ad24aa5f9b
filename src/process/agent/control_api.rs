//! The control messages that an agent answers.

use std::net::SocketAddr;

use jsonrpsee::Methods;
use jsonrpsee::core::async_trait;
use jsonrpsee::types::ErrorObjectOwned;
use slog::debug;

use crate::connection::{
    AgentReport, ControlClient, ControlServer, ListedState, PeerHello, ReportPoll, VersionDelivery,
    VersionPull,
};
use crate::prelude::*;

use super::agent_process::AgentProcess;

/// The JSON-RPC error code of a message for the other role.
const WRONG_ROLE: i32 = -32_001;

struct AgentControl {
    process: Arc<AgentProcess>,
}

/// Returns the methods of an agent.
pub(super) fn methods(process: &Arc<AgentProcess>) -> Methods {
    AgentControl {
        process: Arc::clone(process),
    }
    .into_rpc()
    .into()
}

#[async_trait]
impl ControlServer for AgentControl {
    async fn exchange(&self, _hello: PeerHello) -> Result<PeerHello, ErrorObjectOwned> {
        let message = "this process is an agent, not an entry VM";
        Err(ErrorObjectOwned::owned(WRONG_ROLE, message, None::<()>))
    }

    async fn report(&self, poll: ReportPoll) -> Result<AgentReport, ErrorObjectOwned> {
        let process = &self.process;
        process.metrics.control_messages.inc();
        if poll.listed == ListedState::Leaving {
            process.leave();
        }
        if process.versions.mark().number < poll.version.number {
            tokio::spawn(pull_versions(Arc::clone(process), poll.control));
        }
        Ok(report(process, poll.cache_from))
    }

    async fn pull(&self, pull: VersionPull) -> Result<VersionDelivery, ErrorObjectOwned> {
        Ok(self.process.versions.delivery_since(pull.have))
    }
}

fn report(process: &AgentProcess, cache_from: u64) -> AgentReport {
    let load = process.watch.load();
    let step_time = Duration::from_secs_f64((load.step_ms / 1_000.0).max(0.0));
    let tokens_per_second = load.tokens_per_second as u32;
    let (cache, cache_next) = process.watch.cache_since(cache_from);
    AgentReport {
        agent: process.name.clone(),
        incarnation: process.incarnation,
        readiness: process.readiness(),
        load: process.serving.get().map(|serving| {
            serving.table.lock().admission.next_report(
                Timestamp::now(),
                tokens_per_second,
                step_time,
            )
        }),
        version: process.versions.mark(),
        suspects: process.suspects.lock().reports(Timestamp::now()),
        cache,
        cache_next,
    }
}

async fn pull_versions(process: Arc<AgentProcess>, peer: SocketAddr) {
    let have = process.versions.mark().number;
    let delivery = async {
        let client = process.control.client(peer).await?;
        let answer = client.pull(VersionPull { have }).await;
        answer.map_err(|err| Error::Peer(err.to_string()))
    };
    match delivery.await {
        Ok(delivery) => process.versions.take_delivery(delivery),
        Err(err) => {
            debug!(process.log, "pull of versions failed"; "peer" => %peer, "error" => %err)
        }
    }
}
