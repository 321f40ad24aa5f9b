//! A client of the platform's list of live and leaving VMs, which lags behind their actual state.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

use super::http_client::{AnswerLimit, HttpClient};

/// The limit of one read of the list.
const LIST_LIMIT: AnswerLimit = AnswerLimit {
    time: Duration::from_secs(2),
    bytes: 4 << 20,
};

/// The state of a VM as the platform lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// The VM is in use.
    Live,
    /// The platform is about to remove the VM.
    Leaving,
}

/// An item of the VM list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// An entry VM's name, or the name of the target on a target VM.
    pub name: Arc<str>,
    /// The data centre of the VM.
    pub data_centre: DataCentreName,
    /// The state of the VM.
    pub state: VmState,
}

/// The platform's VM list as of one point in time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmList {
    /// The time for which the list is valid, in milliseconds since the Unix epoch.
    pub as_of_ms: u64,
    /// The VMs.
    pub vms: Vec<ListedVm>,
}

/// A client of the VM list.
#[derive(Clone, Debug)]
pub struct VmListClient {
    client: HttpClient,
    base_url: Arc<str>,
}

impl VmListClient {
    /// Creates a client of the list at `base_url`.
    pub fn new(base_url: &str) -> Self {
        Self {
            client: HttpClient::http1(),
            base_url: Arc::from(base_url.trim_end_matches('/')),
        }
    }

    /// Reads the list.
    ///
    /// # Errors
    /// The platform did not respond, or not with a VM list.
    pub async fn read(&self) -> Result<VmList> {
        let list = self
            .client
            .get(&format!("{}/v1/vms", self.base_url), LIST_LIMIT)
            .await;
        list.map_err(|err| Error::Platform(format!("VM list: {err}")))
    }
}
