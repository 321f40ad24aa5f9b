//! The process that runs on an entry VM.

use std::net::SocketAddr;

use arc_swap::ArcSwap;
use parking_lot::Mutex;
use slog::{Logger, info};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::connection::{ControlPool, bind, serve, serve_control};
use crate::prelude::*;
use crate::process::distribution::{InForceReport, PeerInfo, PeerName, PeerRole};
use crate::process::metrics::ProcessMetrics;
use crate::process::operator::{
    ConfigReport, HealthProbe, OperatorContext, RequestReport, StatusReport, TargetReport,
    start_operator_api,
};
use crate::process::platform::{HttpClient, LogClient, VmListClient};
use crate::process::routing::{
    AccountLimiter, CrashSuspects, HedgeTimer, RetryBudget, TargetTable,
};
use crate::process::settings::{EntrySettings, Settings};
use crate::process::versions::{VersionService, VersionSettings};
use crate::version::config::{ConfigVersion, RetryConfig, TargetRole};

use super::decision_journal::DecisionJournal;
use super::known_agents::{KnownAgent, KnownAgents};
use super::known_peers::KnownPeers;
use super::order_driver::{EntryInput, drive_orders};
use super::version_index::VersionIndex;
use super::{agent_watch, caller_api, control_api, peer_watch};

/// The bound listeners of an entry VM.
#[derive(Debug)]
pub struct EntryListeners {
    /// The listener for callers.
    pub callers: TcpListener,
    /// The listener for control messages.
    pub control: TcpListener,
    /// The address for operators, metrics and health checks, bound when their API starts.
    pub operators: SocketAddr,
}

/// The process that runs on an entry VM.
///
/// Lock order: version fold, limiter, targets, budget, suspects; no other lock is taken while any
/// of the remaining locks is held.
#[derive(Debug)]
pub struct EntryProcess {
    pub(super) settings: Settings,
    pub(super) name: EntryName,
    pub(super) incarnation: ProcessIncarnation,
    pub(super) started_at: Timestamp,
    pub(super) log: Logger,
    pub(super) metrics: ProcessMetrics,
    pub(super) versions: Arc<VersionService>,
    pub(super) index: ArcSwap<VersionIndex>,
    pub(super) control: Arc<ControlPool>,
    pub(super) log_client: LogClient,
    pub(super) vm_list: VmListClient,
    pub(super) work_client: HttpClient,
    pub(super) limiter: Mutex<AccountLimiter>,
    pub(super) targets: Mutex<TargetTable>,
    pub(super) budget: Mutex<RetryBudget>,
    pub(super) suspects: Mutex<CrashSuspects>,
    pub(super) hedges: Mutex<HedgeTimer>,
    pub(super) agents: Mutex<KnownAgents>,
    pub(super) peers: Mutex<KnownPeers>,
    pub(super) journal: Mutex<DecisionJournal>,
    pub(super) orders: mpsc::UnboundedSender<EntryInput>,
    order_inputs: Mutex<Option<mpsc::UnboundedReceiver<EntryInput>>>,
    /// Cancelled when the entry VM begins to drain.
    pub(super) leave: CancellationToken,
    /// Cancelled when the last request has finished.
    pub(super) stop: CancellationToken,
}

impl EntryListeners {
    /// Binds the listeners to the addresses in the settings.
    ///
    /// # Errors
    /// Fails if an address is in use or does not belong to this machine.
    pub async fn bind(settings: &Settings, entry: &EntrySettings) -> Result<Self> {
        Ok(Self {
            callers: bind(entry.callers).await?,
            control: bind(settings.addresses.control).await?,
            operators: settings.addresses.operators,
        })
    }
}

impl EntryProcess {
    /// Creates the process.
    ///
    /// # Errors
    /// Fails if the metrics cannot be registered.
    pub fn new(settings: Settings, log: Logger) -> Result<Arc<Self>> {
        let now = Timestamp::now();
        let name = EntryName::from(Arc::clone(&settings.process.name));
        let incarnation = settings
            .process
            .incarnation
            .unwrap_or(ProcessIncarnation(now.0));
        let own = settings.addresses.control;
        let (orders, order_inputs) = mpsc::unbounded_channel();
        let control = Arc::new(ControlPool::new(&settings.tokens.peer));
        let log_client = LogClient::new(&settings.platform.log);
        let stop = CancellationToken::new();
        let version_settings = VersionSettings {
            own: PeerInfo {
                name: PeerName::from(name.as_str()),
                data_centre: settings.process.data_centre.clone(),
                role: PeerRole::Entry,
            },
            incarnation,
            control: own,
            pool: Arc::clone(&control),
            log_client: log_client.clone(),
            log: log.clone(),
        };
        let versions = VersionService::new(version_settings, stop.clone());
        Ok(Arc::new(Self {
            started_at: now,
            incarnation,
            metrics: ProcessMetrics::new()?,
            versions,
            index: ArcSwap::default(),
            control,
            log_client,
            vm_list: VmListClient::new(&settings.platform.vms),
            work_client: HttpClient::http2(),
            limiter: Mutex::new(AccountLimiter::new(name.clone())),
            targets: Mutex::new(TargetTable::new(settings.process.data_centre.clone())),
            budget: Mutex::new(RetryBudget::new(&RetryConfig::default())),
            suspects: Mutex::default(),
            hedges: Mutex::default(),
            agents: Mutex::default(),
            peers: Mutex::new(KnownPeers::new(own, &settings.peers.seeds, now)),
            journal: Mutex::default(),
            orders,
            order_inputs: Mutex::new(Some(order_inputs)),
            leave: CancellationToken::new(),
            stop,
            name,
            settings,
            log,
        }))
    }

    /// Serves until the entry VM has drained.
    ///
    /// # Errors
    /// Fails if the operators' API cannot start.
    pub async fn run(self: &Arc<Self>, listeners: EntryListeners) -> Result<()> {
        info!(self.log, "entry started"; "entry" => %self.name, "incarnation" => self.incarnation.0);
        let context = OperatorContext::entry(self.health_probe(), Arc::clone(self));
        let operators = start_operator_api(listeners.operators, context, &self.log)?;
        let methods = control_api::methods(self);
        let token = Arc::clone(&self.settings.tokens.peer);
        let control = serve_control(listeners.control, methods, token, self.stop.clone());
        let process = Arc::clone(self);
        let handler = move |request| caller_api::handle(Arc::clone(&process), request);
        let callers = serve(
            listeners.callers,
            self.leave.clone(),
            self.log.clone(),
            handler,
        );
        self.spawn_tasks();
        let serve_callers = async {
            callers.await;
            self.stop.cancel();
        };
        tokio::join!(control, serve_callers);
        let _ = operators.close().await;
        info!(self.log, "entry stopped"; "entry" => %self.name);
        Ok(())
    }

    /// Starts draining: rejects new requests, finishes those in progress, then stops.
    pub fn leave(&self) {
        if !self.leave.is_cancelled() {
            info!(self.log, "entry draining"; "entry" => %self.name);
        }
        self.leave.cancel();
    }

    /// Returns the settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns whether the process accepts requests from callers.
    pub fn is_ready(&self) -> bool {
        self.versions.start_basis().is_some() && !self.leave.is_cancelled()
    }

    /// Returns the version in force with its content.
    pub fn config_report(&self) -> ConfigReport {
        let version = self.versions.current();
        ConfigReport {
            version: version.number,
            digest: version.digest.clone(),
            content: version.content.clone(),
        }
    }

    /// Returns the decisions on a request, if this entry VM still keeps them.
    pub fn explain(&self, request: RequestId) -> Option<RequestReport> {
        self.journal.lock().explain(request)
    }

    /// Reports the state of this entry VM and what it knows of peers and targets.
    pub fn status(&self) -> StatusReport {
        let announcement = self.versions.announcement();
        StatusReport {
            name: self.name.clone(),
            data_centre: self.settings.process.data_centre.clone(),
            version: announcement.number,
            digest: announcement.digest,
            basis: self.versions.start_basis().map(|basis| basis.to_string()),
            reads_log: self.versions.is_following(),
            log_reachable: self.versions.is_log_reachable(),
            in_flight: self.metrics.in_flight.get(),
            peers: self.peers.lock().reports(Timestamp::now()),
            data_centres: self.versions.data_centres(),
            targets: self.target_reports(),
        }
    }

    /// Reports what this entry VM knows of each target.
    pub fn target_reports(&self) -> Vec<TargetReport> {
        let now = Timestamp::now();
        let version = self.versions.current();
        let targets = self.targets.lock();
        let agents = self.agents.lock();
        let reports = version.content.targets.iter().map(|(target, config)| {
            let agent = agents.get(target);
            TargetReport {
                target: target.clone(),
                data_centre: config.data_centre.clone(),
                serves: match &config.serves {
                    TargetRole::Model(model) => format!("model {model}"),
                    TargetRole::Service(service) => format!("service {service}"),
                },
                state: agents.eligibility(now, target).to_string(),
                reason: agents.status(now, target).reason.to_string(),
                incarnation: agent.and_then(|agent| agent.incarnation),
                load: targets.estimated_load(now, target).unwrap_or(0),
                slow: targets.is_slow(target),
                version: agent.map_or(VersionNumber(0), |agent| agent.version),
                silent_ms: agent
                    .and_then(|agent| agent.heard_at)
                    .map(|at| now.since(at).as_millis() as u64),
            }
        });
        reports.collect()
    }

    /// Reports which processes have a version in force, as far as this entry VM knows.
    pub fn in_force(&self, version: VersionNumber) -> InForceReport {
        self.versions.in_force(version)
    }

    /// Records a decision on a request, for `explain`.
    pub(super) fn record_decision(&self, request: RequestId, decision: String) {
        self.journal
            .lock()
            .add_decision(Timestamp::now(), request, decision);
    }

    fn health_probe(self: &Arc<Self>) -> HealthProbe {
        let ready = Arc::clone(self);
        let measured = Arc::clone(self);
        HealthProbe {
            is_ready: Box::new(move || ready.is_ready()),
            metrics: Box::new(move || measured.metrics.render()),
        }
    }

    fn spawn_tasks(self: &Arc<Self>) {
        tokio::spawn(Arc::clone(self).follow_versions());
        tokio::spawn(Arc::clone(&self.versions).run());
        tokio::spawn(peer_watch::watch_peers(Arc::clone(self)));
        tokio::spawn(agent_watch::watch_agents(Arc::clone(self)));
        tokio::spawn(agent_watch::watch_vm_list(Arc::clone(self)));
        if let Some(inputs) = self.order_inputs.lock().take() {
            tokio::spawn(drive_orders(Arc::clone(self), inputs));
        }
    }

    async fn follow_versions(self: Arc<Self>) {
        let mut versions = self.versions.subscribe();
        loop {
            let version = versions.borrow_and_update().clone();
            self.apply_version(&version);
            peer_watch::set_members(&self);
            tokio::select! {
                changed = versions.changed() => if changed.is_err() { return },
                () = self.stop.cancelled() => return,
            }
        }
    }

    fn apply_version(&self, version: &Arc<ConfigVersion>) {
        let content = &version.content;
        {
            let mut limiter = self.limiter.lock();
            for (name, account) in &content.accounts {
                limiter.set_account(name, account);
            }
            limiter.retain_accounts(|name| content.accounts.contains_key(name));
        }
        {
            let mut targets = self.targets.lock();
            for (name, target) in &content.targets {
                targets.set_target(name, &target.serves, target.slots, &target.data_centre);
            }
            let removed: Vec<TargetName> = targets
                .targets()
                .filter(|(name, _)| !content.targets.contains_key(*name))
                .map(|(name, _)| name.clone())
                .collect();
            for name in &removed {
                targets.remove_target(name);
            }
        }
        self.budget.lock().set_config(&content.retries);
        let agents = content.targets.iter().map(|(name, target)| {
            let agent = target.agent.clone();
            let known = KnownAgent::new(agent, target.work_address, target.control_address);
            (name.clone(), known)
        });
        self.agents.lock().set_agents(agents);
        self.index
            .store(Arc::new(VersionIndex::new(Arc::clone(version))));
        self.metrics.version.set(version.number.0 as i64);
        info!(self.log, "version in force"; "version" => version.number.0);
    }
}
