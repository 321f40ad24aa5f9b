//! The control messages that an agent handles.

use jsonrpsee::Methods;
use jsonrpsee::core::async_trait;
use jsonrpsee::types::ErrorObjectOwned;

use crate::connection::{
    AgentReport, ControlServer, ListedState, MapRequest, PeerHello, PlanReport, ReportPoll,
    StepEnvelope, VersionNotice, VersionPull,
};
use crate::prelude::*;
use crate::process::distribution::{AnnouncementKind, PeerInfo, PeerName, PeerRole, VersionBody};

use crate::process::step_window::StepMessage;
use crate::version::expert_map::{ExpertMap, LoadReport};

use super::agent_process::AgentProcess;

/// The JSON-RPC error code of a message that only entry VMs handle.
const WRONG_ROLE_CODE: i32 = -32_001;

struct AgentControl {
    process: Arc<AgentProcess>,
}

/// Returns the JSON-RPC methods of an agent.
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
        Err(ErrorObjectOwned::owned(
            WRONG_ROLE_CODE,
            message,
            None::<()>,
        ))
    }

    async fn report(&self, poll: ReportPoll) -> Result<AgentReport, ErrorObjectOwned> {
        let process = &self.process;
        process.metrics.control_messages.inc();
        if poll.listed == ListedState::Leaving {
            process.leave();
        }
        let from = PeerInfo {
            name: PeerName::from(poll.from.as_str()),
            data_centre: poll.data_centre,
            role: PeerRole::Entry,
        };
        process.versions.add_member(&from, poll.control);
        process
            .versions
            .record_announcement(from.name, poll.announcement, AnnouncementKind::Reply);
        Ok(report(process, poll.cache_from))
    }

    async fn step(&self, envelope: StepEnvelope) -> Result<Option<StepMessage>, ErrorObjectOwned> {
        Ok(self.process.steps.route(envelope).await)
    }

    async fn find_map(
        &self,
        request: MapRequest,
    ) -> Result<Option<Arc<ExpertMap>>, ErrorObjectOwned> {
        Ok(self.process.steps.find_map(request.map).await)
    }

    async fn expert_loads(
        &self,
        _group: GroupName,
    ) -> Result<Option<LoadReport>, ErrorObjectOwned> {
        Ok(self.process.steps.expert_loads().await)
    }

    async fn plan(&self, _group: GroupName) -> Result<Option<PlanReport>, ErrorObjectOwned> {
        Ok(self.process.steps.plan().await)
    }

    async fn announce(&self, notice: VersionNotice) -> Result<(), ErrorObjectOwned> {
        let versions = &self.process.versions;
        versions.add_member(&notice.from, notice.control);
        versions.record_announcement(notice.from.name, notice.announcement, notice.kind);
        Ok(())
    }

    async fn pull(&self, pull: VersionPull) -> Result<VersionBody, ErrorObjectOwned> {
        Ok(self.process.versions.body_since(pull.since))
    }
}

fn report(process: &AgentProcess, cache_from: u64) -> AgentReport {
    let (cache, cache_next) = process.watch.cache_since(cache_from);
    AgentReport {
        incarnation: process.incarnation,
        readiness: process.readiness(),
        load: process
            .serving
            .get()
            .map(|serving| process.load_report(&mut serving.table.lock().admission)),
        announcement: process.versions.announcement(),
        suspects: process.suspects.lock().reports(Timestamp::now()),
        cache,
        cache_next,
    }
}
