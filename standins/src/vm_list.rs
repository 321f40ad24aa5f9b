//! The platform's list of VMs.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::net::ToSocketAddrs;

use crate::lagged_value::LaggedValue;
use crate::server::{
    AnswerResult, ServerControl, ServerHandle, error_answer, json_answer, now_ms, start_server,
};

/// How a VM list starts.
#[derive(Clone, Debug, Default)]
pub struct VmListOptions {
    /// The VMs at the start.
    pub vms: Vec<VmEntry>,
    /// How far the list is behind.
    pub lag: Duration,
}

/// One VM of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// The name of the VM.
    pub name: String,
    /// The data centre of the VM.
    pub data_centre: String,
    /// Whether the VM is leaving.
    pub state: VmState,
}

/// Whether a VM is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// The VM stays.
    Live,
    /// The VM will be taken away.
    Leaving,
}

type VmTable = Arc<BTreeMap<String, VmEntry>>;

#[derive(Debug)]
struct VmListState {
    vms: LaggedValue<VmTable>,
    down: bool,
}

/// The VM list: a handle with the switches of a running server.
#[derive(Debug)]
pub struct VmListStandIn {
    state: Arc<Mutex<VmListState>>,
    server: ServerHandle,
}

impl VmListStandIn {
    /// Starts a VM list on `address`; port 0 takes a free port.
    pub async fn start(address: impl ToSocketAddrs, options: VmListOptions) -> io::Result<Self> {
        let vms = options.vms.into_iter().map(|vm| (vm.name.clone(), vm));
        let state = Arc::new(Mutex::new(VmListState {
            vms: LaggedValue::new(Arc::new(vms.collect()), options.lag),
            down: false,
        }));
        let served = Arc::clone(&state);
        let handler = move |request| handle_request(Arc::clone(&served), request);
        let server = start_server(address, Arc::new(ServerControl::default()), handler).await?;
        Ok(Self { state, server })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets how far the list is behind.
    pub fn set_lag(&self, lag: Duration) {
        self.state.lock().vms.lag = lag;
    }

    /// Sets whether the list is down: it answers 503.
    pub fn set_down(&self, down: bool) {
        self.state.lock().down = down;
    }

    /// Adds or replaces a VM.
    pub fn put(&self, vm: VmEntry) {
        self.update(|vms| {
            vms.insert(vm.name.clone(), vm);
        });
    }

    /// Removes a VM.
    pub fn remove(&self, name: &str) {
        self.update(|vms| {
            vms.remove(name);
        });
    }

    fn update(&self, change: impl FnOnce(&mut BTreeMap<String, VmEntry>)) {
        let mut state = self.state.lock();
        let mut vms = state.vms.latest();
        change(Arc::make_mut(&mut vms));
        state.vms.set(vms);
    }
}

async fn handle_request(
    state: Arc<Mutex<VmListState>>,
    request: Request<Incoming>,
) -> AnswerResult {
    if request.uri().path() != "/v1/vms" {
        return error_answer(StatusCode::NOT_FOUND, "no such path");
    }
    let state = state.lock();
    if state.down {
        return error_answer(StatusCode::SERVICE_UNAVAILABLE, "the VM list is down");
    }
    let as_of_ms = now_ms().saturating_sub(state.vms.lag.as_millis() as u64);
    let vms = state.vms.visible();
    let vms: Vec<_> = vms.values().collect();
    json_answer(StatusCode::OK, &json!({"as_of_ms": as_of_ms, "vms": vms}))
}
