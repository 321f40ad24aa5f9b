//! The control messages that an entry VM handles.

use jsonrpsee::Methods;
use jsonrpsee::core::async_trait;
use jsonrpsee::types::ErrorObjectOwned;

use crate::connection::{
    AgentReport, ControlServer, MapRequest, PeerHello, PlanReport, ReportPoll, StepEnvelope,
    VersionNotice, VersionPull,
};
use crate::prelude::*;
use crate::process::distribution::VersionBody;
use crate::process::step_window::StepMessage;
use crate::version::expert_map::{ExpertMap, LoadReport};

use super::entry_process::EntryProcess;
use super::peer_watch::{build_hello, record_hello};

/// The JSON-RPC error code for a message that only an agent handles.
const WRONG_ROLE_CODE: i32 = -32_001;

struct EntryControl {
    process: Arc<EntryProcess>,
}

/// Returns the JSON-RPC methods of an entry VM.
pub(super) fn methods(process: &Arc<EntryProcess>) -> Methods {
    EntryControl {
        process: Arc::clone(process),
    }
    .into_rpc()
    .into()
}

#[async_trait]
impl ControlServer for EntryControl {
    async fn exchange(&self, hello: PeerHello) -> Result<PeerHello, ErrorObjectOwned> {
        record_hello(&self.process, &hello);
        Ok(build_hello(&self.process))
    }

    async fn report(&self, _poll: ReportPoll) -> Result<AgentReport, ErrorObjectOwned> {
        let message = "this process is an entry VM, not an agent";
        Err(ErrorObjectOwned::owned(
            WRONG_ROLE_CODE,
            message,
            None::<()>,
        ))
    }

    async fn step(&self, _envelope: StepEnvelope) -> Result<Option<StepMessage>, ErrorObjectOwned> {
        Ok(None)
    }

    async fn find_map(
        &self,
        _request: MapRequest,
    ) -> Result<Option<Arc<ExpertMap>>, ErrorObjectOwned> {
        Ok(None)
    }

    async fn expert_loads(
        &self,
        _group: GroupName,
    ) -> Result<Option<LoadReport>, ErrorObjectOwned> {
        Ok(None)
    }

    async fn plan(&self, _group: GroupName) -> Result<Option<PlanReport>, ErrorObjectOwned> {
        Ok(None)
    }

    async fn announce(&self, notice: VersionNotice) -> Result<(), ErrorObjectOwned> {
        let versions = &self.process.versions;
        versions.record_announcement(notice.from.name, notice.announcement, notice.kind);
        Ok(())
    }

    async fn pull(&self, pull: VersionPull) -> Result<VersionBody, ErrorObjectOwned> {
        Ok(self.process.versions.body_since(pull.since))
    }
}
