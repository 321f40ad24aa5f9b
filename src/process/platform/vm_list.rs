//! The platform's list of live and leaving VMs. It lags behind reality.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

use super::http_client::HttpClient;

/// The longest time for one read of the list.
const LIST_TIMEOUT: Duration = Duration::from_secs(2);

/// The state that the platform gives for a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// The VM is in use.
    Live,
    /// The VM is going to be taken away.
    Leaving,
}

/// A VM of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// The name of the VM: of an entry VM, or of the target on a target VM.
    pub name: Arc<str>,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Its state.
    pub state: VmState,
}

/// The platform's list as of one point in time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmList {
    /// When the list was true, in milliseconds since the Unix epoch.
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
    /// Makes a client of the list at `base_url`.
    pub fn new(base_url: &str) -> Self {
        Self {
            client: HttpClient::http1(),
            base_url: Arc::from(base_url.trim_end_matches('/')),
        }
    }

    /// Reads the list.
    ///
    /// # Errors
    /// The platform did not answer with a list.
    pub async fn read(&self) -> Result<VmList> {
        let list = self
            .client
            .get(&format!("{}/v1/vms", self.base_url), LIST_TIMEOUT)
            .await;
        list.map_err(|err| Error::Platform(format!("VM list: {err}")))
    }
}
