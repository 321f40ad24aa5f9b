//! A small deployment with stand-ins for the platform and the targets.

use std::net::{Ipv4Addr, SocketAddr, TcpListener as StdListener};

use comfreyhead::connection::{bind, token_digest};
use comfreyhead::prelude::*;
use comfreyhead::process::agent::{AgentListeners, AgentProcess};
use comfreyhead::process::entry::{EntryListeners, EntryProcess};
use comfreyhead::process::logger::silent_logger;
use comfreyhead::process::operator::{PatchOrder, PatchResult};
use comfreyhead::process::settings::{
    AddressSettings, AgentSettings, EntrySettings, LimitSettings, LogFormat, LogSettings,
    PeerSettings, PlatformSettings, ProcessSettings, RoleSettings, Settings, TargetKind,
    TokenSettings,
};
use comfreyhead::version::config::{
    AccountConfig, AuthorName, BatchName, CallConfig, CallKind, ConfigChange, ModelConfig,
    ServiceConfig, TargetConfig, TargetRole,
};
use comfreyhead_standins::{
    EngineOptions, EngineStandIn, LogOptions, LogStandIn, ServiceOptions, ServiceStandIn,
    VmListOptions, VmListStandIn, WeightStoreOptions, WeightStoreStandIn,
};
use tokio::task::JoinHandle;

/// The token of the one client account.
pub(crate) const CALLER_TOKEN: &str = "quickstart-caller";
/// The token of the operator.
const OPERATOR_TOKEN: &str = "quickstart-operator";
/// The token with which the processes authenticate to each other.
const PEER_TOKEN: &str = "quickstart-peers";
/// The timeout of each wait for a state of the deployment.
const WAIT_TIMEOUT: Duration = Duration::from_secs(16);
/// The interval between two checks of that state.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A running deployment.
pub(crate) struct Fleet {
    entries: Vec<Arc<EntryProcess>>,
    agents: Vec<Arc<AgentProcess>>,
    callers: Vec<SocketAddr>,
    operators: Vec<SocketAddr>,
    tasks: Vec<JoinHandle<Result<()>>>,
    changes: Vec<ConfigChange>,
    platform: PlatformStandIns,
    services: Vec<ServiceStandIn>,
    engines: Vec<EngineStandIn>,
}

struct PlatformStandIns {
    log: LogStandIn,
    vms: VmListStandIn,
    weights: WeightStoreStandIn,
}

/// The name and data centre of a process.
struct ProcessIdentity {
    name: String,
    data_centre: &'static str,
}

impl Fleet {
    /// Starts the stand-ins, the agents and the entry VMs.
    pub(crate) async fn start() -> Result<Self> {
        let mut fleet = Self {
            entries: Vec::new(),
            agents: Vec::new(),
            callers: Vec::new(),
            operators: Vec::new(),
            tasks: Vec::new(),
            changes: first_changes(),
            platform: start_platform().await?,
            services: Vec::new(),
            engines: Vec::new(),
        };
        for idx in 1..=3 {
            let engine = EngineStandIn::start(loopback(), EngineOptions::default()).await;
            let engine = engine.map_err(stand_in_failed)?;
            let identity = ProcessIdentity::new(format!("model-{idx}"), idx);
            fleet
                .start_agent(identity, engine.address(), TargetKind::Engine)
                .await?;
            fleet.engines.push(engine);
        }
        for idx in 1..=2 {
            let service = ServiceStandIn::start(loopback(), ServiceOptions::default()).await;
            let service = service.map_err(stand_in_failed)?;
            let identity = ProcessIdentity::new(format!("ledger-{idx}"), idx);
            fleet
                .start_agent(identity, service.address(), TargetKind::Service)
                .await?;
            fleet.services.push(service);
        }
        let mut seeds = Vec::new();
        for idx in 1..=2 {
            let identity = ProcessIdentity::new(format!("entry-{idx}"), idx);
            let control = fleet.start_entry(identity, &seeds).await?;
            seeds.push(control);
        }
        Ok(fleet)
    }

    /// Publishes the first version and waits until it is in force at every process.
    pub(crate) async fn publish(&self) -> Result<VersionNumber> {
        self.wait_for("the entry VMs to read the log", |fleet| {
            fleet.entries.iter().all(|entry| entry.is_ready())
        })
        .await?;
        let order = PatchOrder {
            base: VersionNumber(0),
            batch: BatchName::from("first"),
            author: AuthorName::from("quickstart"),
            changes: self.changes.clone(),
        };
        let report = self.entries[0].patch(order).await;
        if report.result != PatchResult::Accepted {
            return Err(Error::Invalid(format!(
                "the first patch was {}: {}",
                report.result, report.reason
            )));
        }
        let version = report.version;
        let n_processes = self.entries.len() + self.agents.len();
        self.wait_for("the version to be in force", |fleet| {
            fleet
                .entries
                .iter()
                .all(|entry| entry.in_force(version).in_force.len() == n_processes)
        })
        .await?;
        self.wait_for("the targets to be eligible", |fleet| {
            let mut targets = fleet
                .entries
                .iter()
                .flat_map(|entry| entry.target_reports());
            targets.all(|target| target.state == "eligible")
        })
        .await?;
        Ok(version)
    }

    /// Returns the addresses on which the entry VMs serve callers.
    pub(crate) fn callers(&self) -> Vec<SocketAddr> {
        self.callers.clone()
    }

    /// Returns the addresses of the model engines.
    pub(crate) fn engines(&self) -> Vec<SocketAddr> {
        self.engines.iter().map(EngineStandIn::address).collect()
    }

    /// Returns the number of orders that the ledger servers executed.
    pub(crate) fn n_orders_run(&self) -> usize {
        self.services
            .iter()
            .map(|service| service.ran().len())
            .sum()
    }

    /// Prints shell commands to try.
    pub(crate) fn print_lines_to_try(&self) {
        let [caller, operator] = [self.callers[0], self.operators[0]];
        println!("\ntry:");
        println!(
            "  curl -N -H 'Authorization: Bearer {CALLER_TOKEN}' http://{caller}/v1/completions \
             -d '{{\"model\":\"kit-assistant\",\"prompt\":\"quills\",\"stream\":true}}'"
        );
        println!("  curl -H 'Authorization: Bearer {OPERATOR_TOKEN}' http://{operator}/status");
        println!(
            "  COMFREY_TOKEN={OPERATOR_TOKEN} cargo run --release --bin comfrey -- \
             --entry {operator} status"
        );
        println!("  press Ctrl-C to stop");
    }

    /// Shuts down every process and waits for it to finish.
    pub(crate) async fn stop(self) -> Result<()> {
        self.entries.iter().for_each(|entry| entry.leave());
        self.agents.iter().for_each(|agent| agent.leave());
        for task in self.tasks {
            task.await
                .map_err(|err| Error::Invalid(format!("a process failed: {err}")))??;
        }
        println!("every process has shut down");
        Ok(())
    }

    async fn start_agent(
        &mut self,
        identity: ProcessIdentity,
        target: SocketAddr,
        kind: TargetKind,
    ) -> Result<()> {
        let listeners = AgentListeners {
            work: bind(loopback()).await?,
            control: bind(loopback()).await?,
            operators: free_address()?,
        };
        let work = address(&listeners.work)?;
        let control = address(&listeners.control)?;
        let agent = AgentSettings { work, target, kind };
        self.changes
            .push(set_target(&identity, kind, [work, control]));
        let role = RoleSettings::Agent(agent.clone());
        let settings = self.settings(&identity, role, [control, listeners.operators]);
        let process = AgentProcess::new(settings, &agent, silent_logger())?;
        self.agents.push(Arc::clone(&process));
        self.tasks
            .push(tokio::spawn(async move { process.run(listeners).await }));
        Ok(())
    }

    async fn start_entry(
        &mut self,
        identity: ProcessIdentity,
        seeds: &[SocketAddr],
    ) -> Result<SocketAddr> {
        let listeners = EntryListeners {
            callers: bind(loopback()).await?,
            control: bind(loopback()).await?,
            operators: free_address()?,
        };
        let callers = address(&listeners.callers)?;
        let control = address(&listeners.control)?;
        let role = RoleSettings::Entry(EntrySettings { callers });
        let mut settings = self.settings(&identity, role, [control, listeners.operators]);
        settings.peers.seeds = seeds.to_vec();
        self.callers.push(callers);
        self.operators.push(listeners.operators);
        let process = EntryProcess::new(settings, silent_logger())?;
        self.entries.push(Arc::clone(&process));
        self.tasks
            .push(tokio::spawn(async move { process.run(listeners).await }));
        Ok(control)
    }

    fn settings(
        &self,
        identity: &ProcessIdentity,
        role: RoleSettings,
        [control, operators]: [SocketAddr; 2],
    ) -> Settings {
        let url = |address: SocketAddr| Arc::from(format!("http://{address}"));
        Settings {
            process: ProcessSettings {
                name: Arc::from(identity.name.as_str()),
                data_centre: DataCentreName::from(identity.data_centre),
                incarnation: None,
            },
            role,
            addresses: AddressSettings { control, operators },
            platform: PlatformSettings {
                log: url(self.platform.log.address()),
                vms: url(self.platform.vms.address()),
                weights: url(self.platform.weights.address()),
            },
            peers: PeerSettings { seeds: Vec::new() },
            tokens: TokenSettings {
                operator_sha256: vec![Arc::from(token_digest(OPERATOR_TOKEN))],
                peer: Arc::from(PEER_TOKEN),
            },
            log: LogSettings {
                format: LogFormat::Terminal,
                level: slog::Level::Info,
            },
            limits: LimitSettings::default(),
        }
    }

    async fn wait_for(&self, what: &str, is_met: impl Fn(&Self) -> bool) -> Result<()> {
        let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
        while !is_met(self) {
            if deadline < tokio::time::Instant::now() {
                return Err(Error::Invalid(format!("timed out waiting for {what}")));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }
}

impl ProcessIdentity {
    fn new(name: String, idx: usize) -> Self {
        Self {
            name,
            data_centre: ["sofia-1", "sofia-2"][idx % 2],
        }
    }
}

async fn start_platform() -> Result<PlatformStandIns> {
    let log = LogStandIn::start(loopback(), LogOptions::default()).await;
    let vms = VmListStandIn::start(loopback(), VmListOptions::default()).await;
    let weights = WeightStoreStandIn::start(loopback(), WeightStoreOptions::default()).await;
    Ok(PlatformStandIns {
        log: log.map_err(stand_in_failed)?,
        vms: vms.map_err(stand_in_failed)?,
        weights: weights.map_err(stand_in_failed)?,
    })
}

fn first_changes() -> Vec<ConfigChange> {
    let call = |kind| CallConfig {
        kind,
        timeout_ms: 5_000,
    };
    let calls = [("ship", CallKind::Order), ("stock", CallKind::Lookup)];
    let calls = calls.map(|(name, kind)| (name.to_owned(), call(kind)));
    let account = AccountConfig {
        token_sha256: vec![token_digest(CALLER_TOKEN)],
        tokens_per_second: 100_000,
        in_flight: 100,
        weight: 1,
    };
    vec![
        ConfigChange::SetModel {
            name: ModelName::from("kit-assistant"),
            model: ModelConfig {
                max_tokens: 1_024,
                timeout_ms: 20_000,
            },
        },
        ConfigChange::SetService {
            name: ServiceName::from("ledger"),
            service: ServiceConfig {
                calls: calls.into(),
            },
        },
        ConfigChange::SetAccount {
            name: AccountName::from("makers"),
            account,
        },
    ]
}

fn set_target(
    identity: &ProcessIdentity,
    kind: TargetKind,
    [work_address, control_address]: [SocketAddr; 2],
) -> ConfigChange {
    let serves = match kind {
        TargetKind::Engine => TargetRole::Model(ModelName::from("kit-assistant")),
        TargetKind::Service => TargetRole::Service(ServiceName::from("ledger")),
    };
    let target = TargetConfig {
        data_centre: DataCentreName::from(identity.data_centre),
        agent: AgentName::from(identity.name.as_str()),
        work_address,
        control_address,
        serves,
        checks_fencing: true,
        slots: 8,
    };
    ConfigChange::SetTarget {
        name: TargetName::from(identity.name.as_str()),
        target,
    }
}

fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// Returns a loopback address whose port is currently free.
fn free_address() -> Result<SocketAddr> {
    let listener = StdListener::bind(loopback()).map_err(stand_in_failed)?;
    listener.local_addr().map_err(stand_in_failed)
}

fn address(listener: &tokio::net::TcpListener) -> Result<SocketAddr> {
    listener.local_addr().map_err(stand_in_failed)
}

fn stand_in_failed(err: std::io::Error) -> Error {
    Error::Io("cannot start the deployment".to_owned(), err)
}
