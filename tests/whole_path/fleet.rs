//! A deployment of real daemons on loopback, with stand-ins for the platform and the targets.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};

use comfreyhead::connection::token_digest;
use comfreyhead::prelude::*;
use comfreyhead_standins::{
    EngineOptions, EngineStandIn, LogOptions, LogStandIn, ServiceOptions, ServiceStandIn, VmEntry,
    VmListOptions, VmListStandIn, VmState, WeightStoreOptions, WeightStoreStandIn,
};
use serde_json::{Value, json};

use crate::caller::{OPERATOR_TOKEN, get_json, post_json};

/// The token of the only client account.
pub const CALLER_TOKEN: &str = "whole-path-caller";
const PEER_TOKEN: &str = "whole-path-peer-token";
/// The timeout for an expected state; far longer than it normally takes.
const STATE_TIMEOUT: Duration = Duration::from_secs(60);
/// The interval between two polls of a state.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Ports below the range that the system assigns to outgoing connections.
const PORTS: std::ops::Range<u16> = 10_240..30_000;

static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// The number of processes of each kind in a deployment.
#[derive(Clone, Copy)]
pub struct FleetShape {
    pub entries: usize,
    pub engines: usize,
    pub services: usize,
}

/// A running deployment; its processes are killed when it is dropped.
pub struct Fleet {
    pub log: LogStandIn,
    pub vms: VmListStandIn,
    pub engines: Vec<EngineStandIn>,
    pub services: Vec<ServiceStandIn>,
    pub entries: Vec<DaemonProcess>,
    pub agents: Vec<DaemonProcess>,
    _weights: WeightStoreStandIn,
}

/// A daemon process with its addresses and settings file.
pub struct DaemonProcess {
    pub name: String,
    pub callers: SocketAddr,
    pub work: SocketAddr,
    pub control: SocketAddr,
    pub operators: SocketAddr,
    settings: PathBuf,
    child: Option<Child>,
}

impl Fleet {
    /// Starts a deployment and publishes its first configuration version.
    pub async fn start(shape: FleetShape) -> Self {
        let mut fleet = Self {
            log: LogStandIn::start(loopback(), LogOptions::default())
                .await
                .expect("log"),
            vms: VmListStandIn::start(loopback(), VmListOptions::default())
                .await
                .expect("VMs"),
            engines: Vec::new(),
            services: Vec::new(),
            entries: Vec::new(),
            agents: Vec::new(),
            _weights: WeightStoreStandIn::start(loopback(), WeightStoreOptions::default())
                .await
                .expect("weights"),
        };
        for idx in 0..shape.engines {
            let engine = EngineStandIn::start(loopback(), EngineOptions::default()).await;
            let engine = engine.expect("engine");
            fleet.start_agent(&format!("model-{idx}"), engine.address(), "engine");
            fleet.engines.push(engine);
        }
        for idx in 0..shape.services {
            let service = ServiceStandIn::start(loopback(), ServiceOptions::default()).await;
            let service = service.expect("service");
            fleet.start_agent(&format!("ledger-{idx}"), service.address(), "service");
            fleet.services.push(service);
        }
        for idx in 0..shape.entries {
            fleet.start_entry(&format!("entry-{idx}"));
        }
        fleet.publish_first_version().await;
        fleet
    }

    /// Returns the caller addresses of the entry VMs.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|entry| entry.callers).collect()
    }

    /// Returns all calls that the service stand-ins ran.
    pub fn ran(&self) -> Vec<comfreyhead_standins::RanCall> {
        self.services.iter().flat_map(ServiceStandIn::ran).collect()
    }

    /// Marks a VM as leaving in the platform's VM list.
    pub fn list_as_leaving(&self, name: &str) {
        self.vms.put(VmEntry {
            name: name.to_owned(),
            data_centre: "sofia-1".to_owned(),
            state: VmState::Leaving,
        });
    }

    /// Waits until the report at `path` of an entry VM meets a condition.
    pub async fn wait_for(&self, entry: usize, path: &str, is_met: impl Fn(&Value) -> bool) {
        let operators = self.entries[entry].operators;
        let deadline = tokio::time::Instant::now() + STATE_TIMEOUT;
        let mut last = Value::Null;
        while tokio::time::Instant::now() < deadline {
            if let Some(report) = get_json(operators, path, OPERATOR_TOKEN).await {
                if is_met(&report) {
                    return;
                }
                last = report;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        panic!("timed out waiting for {path} of entry {entry}: {last:#}");
    }

    /// Waits until every entry VM sees every target as eligible.
    pub async fn wait_until_eligible(&self) {
        for entry in 0..self.entries.len() {
            self.wait_for(entry, "/targets", |targets| {
                let targets = targets.as_array().expect("a list of targets");
                !targets.is_empty() && targets.iter().all(|target| target["state"] == "eligible")
            })
            .await;
        }
    }

    /// Posts a configuration patch to an entry VM.
    pub async fn patch(&self, entry: usize, patch: &Value) -> Value {
        let operators = self.entries[entry].operators;
        post_json(operators, "/patches", OPERATOR_TOKEN, patch).await
    }

    async fn publish_first_version(&self) {
        self.wait_for(0, "/ready", |ready| ready == "ready").await;
        let patch = json!({
            "base": 0, "batch": "first", "author": "tests", "changes": self.first_changes(),
        });
        let report = self.patch(0, &patch).await;
        assert_eq!(report["result"], "accepted", "{report:#}");
        self.wait_until_eligible().await;
    }

    fn first_changes(&self) -> Vec<Value> {
        let mut changes = vec![
            json!({ "change": "set-model", "name": "kit-assistant",
                "model": { "max_tokens": 4_096, "timeout_ms": 60_000 } }),
            json!({ "change": "set-service", "name": "ledger", "service": { "calls": {
                "ship": { "kind": "order", "timeout_ms": 10_000 },
                "stock": { "kind": "lookup", "timeout_ms": 10_000 } } } }),
            json!({ "change": "set-account", "name": "makers", "account": {
                "token_sha256": [token_digest(CALLER_TOKEN)], "tokens_per_second": 10_000_000,
                "in_flight": 10_000, "weight": 1 } }),
        ];
        changes.extend(self.agents.iter().map(|agent| {
            let serves = match agent.name.starts_with("model") {
                true => json!({ "model": "kit-assistant" }),
                false => json!({ "service": "ledger" }),
            };
            json!({ "change": "set-target", "name": agent.name, "target": {
                "data_centre": "sofia-1", "agent": agent.name, "work_address": agent.work,
                "control_address": agent.control, "serves": serves, "checks_fencing": true,
                "slots": 8 } })
        }));
        changes
    }

    fn start_agent(&mut self, name: &str, target: SocketAddr, kind: &str) {
        let process = DaemonProcess::new(name);
        let text = format!(
            "[process]\nname = {name}\nrole = agent\ndata_centre = sofia-1\n\
             [addresses]\nwork = {}\ncontrol = {}\noperators = {}\n\
             [target]\naddress = {target}\nkind = {kind}\n{}",
            process.work,
            process.control,
            process.operators,
            self.common_settings(process.control)
        );
        self.agents.push(process.start(&text));
    }

    fn start_entry(&mut self, name: &str) {
        let process = DaemonProcess::new(name);
        let seed = self
            .entries
            .first()
            .map_or(process.control, |entry| entry.control);
        let text = format!(
            "[process]\nname = {name}\nrole = entry\ndata_centre = sofia-1\n\
             [addresses]\ncallers = {}\ncontrol = {}\noperators = {}\n{}",
            process.callers,
            process.control,
            process.operators,
            self.common_settings(seed)
        );
        self.entries.push(process.start(&text));
    }

    fn common_settings(&self, seed: SocketAddr) -> String {
        format!(
            "[platform]\nlog = {}\nvms = {}\nweights = {}\n[peers]\nseeds = {seed}\n\
             [tokens]\noperator_sha256 = {}\npeer = {PEER_TOKEN}\n\
             [log]\nformat = json\nlevel = info\n",
            self.log.address(),
            self.vms.address(),
            self._weights.address(),
            token_digest(OPERATOR_TOKEN)
        )
    }
}

impl DaemonProcess {
    fn new(name: &str) -> Self {
        let [callers, work, control, operators] = [(); 4].map(|()| free_address());
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let settings = directory.join(format!("{name}-{}.ini", control.port()));
        let name = name.to_owned();
        Self {
            name,
            callers,
            work,
            control,
            operators,
            settings,
            child: None,
        }
    }

    fn start(mut self, text: &str) -> Self {
        std::fs::write(&self.settings, text).expect("write settings");
        self.spawn();
        self
    }

    /// Starts the daemon, or restarts it after a kill.
    pub fn spawn(&mut self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.settings.with_extension("log"))
            .expect("open log file");
        let child = Command::new(env!("CARGO_BIN_EXE_comfreyd"))
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn();
        self.child = Some(child.expect("start comfreyd"));
    }

    /// Kills the daemon with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().expect("kill comfreyd");
            child.wait().expect("wait for comfreyd");
        }
    }

    /// Asks the daemon to stop gracefully, with SIGTERM.
    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Suspends the daemon with SIGSTOP.
    pub fn freeze(&self) {
        self.signal("STOP");
    }

    /// Resumes a suspended daemon with SIGCONT.
    pub fn thaw(&self) {
        self.signal("CONT");
    }

    /// Returns the highest resident memory of the daemon so far, in KiB.
    pub fn peak_memory_kib(&self) -> u64 {
        let pid = self.child.as_ref().expect("a running daemon").id();
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("its status");
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kib = peak.and_then(|peak| peak.trim().strip_suffix(" kB"));
        kib.and_then(|kib| kib.parse().ok()).expect("a peak")
    }

    /// Waits until the daemon exits on its own and returns whether it exited successfully.
    pub async fn wait_for_end(&mut self) -> bool {
        let deadline = tokio::time::Instant::now() + STATE_TIMEOUT;
        while tokio::time::Instant::now() < deadline {
            let child = self.child.as_mut().expect("a running daemon");
            if let Some(status) = child.try_wait().expect("wait for comfreyd") {
                self.child = None;
                return status.success();
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        panic!("{} did not exit", self.name);
    }

    fn signal(&self, signal: &str) {
        let pid = self
            .child
            .as_ref()
            .expect("a running daemon")
            .id()
            .to_string();
        let status = Command::new("kill").args(["-s", signal, &pid]).status();
        assert!(
            status.expect("run kill").success(),
            "signal {signal} to {}",
            self.name
        );
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// Finds a free address; each test process starts its search at a different port.
fn free_address() -> SocketAddr {
    let n_ports = PORTS.end - PORTS.start;
    let start = (std::process::id() as u16).wrapping_mul(257) % n_ports;
    for _ in 0..n_ports {
        let step = NEXT_PORT.fetch_add(1, Ordering::SeqCst);
        let port = PORTS.start + (start + step % n_ports) % n_ports;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
    panic!("no free port");
}
