//! A stand-in for the platform's VM list.

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
    ResponseResult, ServerControl, ServerHandle, error_response, json_response, now_ms,
    start_server,
};

/// The initial settings of a VM list.
#[derive(Clone, Debug, Default)]
pub struct VmListOptions {
    /// The initial VMs.
    pub vms: Vec<VmEntry>,
    /// The delay before changes to the list are visible.
    pub lag: Duration,
}

/// A VM in the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// The name of the VM.
    pub name: String,
    /// The data centre of the VM.
    pub data_centre: String,
    /// Whether the VM will be removed.
    pub state: VmState,
}

/// Whether a VM will be removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// The VM is in service.
    Live,
    /// The VM will be removed soon.
    Leaving,
}

type VmTable = Arc<BTreeMap<String, VmEntry>>;

#[derive(Debug)]
struct VmListState {
    vms: LaggedValue<VmTable>,
    down: bool,
}

/// The handle of a running VM list, which also injects faults.
#[derive(Debug)]
pub struct VmListStandIn {
    state: Arc<Mutex<VmListState>>,
    server: ServerHandle,
}

impl VmListStandIn {
    /// Starts a VM list on `address`; port 0 selects a free port.
    pub async fn start(address: impl ToSocketAddrs, options: VmListOptions) -> io::Result<Self> {
        let vms = options.vms.into_iter().map(|vm| (vm.name.clone(), vm));
        let state = Arc::new(Mutex::new(VmListState {
            vms: LaggedValue::new(Arc::new(vms.collect()), options.lag),
            down: false,
        }));
        let handler_state = Arc::clone(&state);
        let handler = move |request| handle_request(Arc::clone(&handler_state), request);
        let server = start_server(address, Arc::new(ServerControl::default()), handler).await?;
        Ok(Self { state, server })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets the delay before changes to the list are visible.
    pub fn set_lag(&self, lag: Duration) {
        self.state.lock().vms.lag = lag;
    }

    /// Sets whether the list is down: it responds with 503.
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
) -> ResponseResult {
    if request.uri().path() != "/v1/vms" {
        return error_response(StatusCode::NOT_FOUND, "no such path");
    }
    let state = state.lock();
    if state.down {
        return error_response(StatusCode::SERVICE_UNAVAILABLE, "the VM list is down");
    }
    let as_of_ms = now_ms().saturating_sub(state.vms.lag.as_millis() as u64);
    let vms = state.vms.visible();
    let vms: Vec<_> = vms.values().collect();
    json_response(StatusCode::OK, &json!({"as_of_ms": as_of_ms, "vms": vms}))
}
