//! The process of an agent.

use std::net::SocketAddr;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicBool, Ordering};

use parking_lot::Mutex;
use slog::{Logger, info, warn};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::connection::{
    AgentReadiness, ControlPool, FinalLoad, WorkKind, bind, serve, serve_control,
};
use crate::prelude::*;
use crate::process::distribution::{PeerInfo, PeerName, PeerRole};
use crate::process::metrics::ProcessMetrics;
use crate::process::operator::{HealthProbe, OperatorContext, start_operator_api};
use crate::process::platform::{EngineClient, LogClient, ServiceClient, WeightClient};
use crate::process::routing::{
    AgentAdmission, CrashSuspects, LoadReport, RequestDigest, TargetCrash,
};
use crate::process::settings::{AgentSettings, Settings, TargetKind};
use crate::process::versions::{VersionService, VersionSettings};
use crate::request::WorkId;

use super::order_driver::{OrderInput, drive_orders};
use super::serving_state::{ServingState, own_target};
use super::steps::{StepRouter, follow_group};
use super::work_table::{StartedWork, WorkTable};
use super::{control_api, lookup_run, model_run, target_watch, work_api};

/// The interval between two checks whether a leaving agent still holds work.
const DRAIN_POLL_PERIOD: Duration = Duration::from_millis(50);
/// The time for which a drained agent still answers resumes and cancellations.
const DRAIN_GRACE_TIME: Duration = Duration::from_millis(500);

/// The bound listeners of an agent.
#[derive(Debug)]
pub struct AgentListeners {
    /// For work from entry VMs.
    pub work: TcpListener,
    /// For control messages.
    pub control: TcpListener,
    /// The address for metrics and health checks, bound when their server starts.
    pub operators: SocketAddr,
}

/// The process of an agent.
#[derive(Debug)]
pub struct AgentProcess {
    pub(super) settings: Settings,
    pub(super) name: AgentName,
    pub(super) kind: TargetKind,
    pub(super) incarnation: ProcessIncarnation,
    pub(super) log: Logger,
    pub(super) metrics: ProcessMetrics,
    pub(super) versions: Arc<VersionService>,
    pub(super) log_client: LogClient,
    pub(super) engine: EngineClient,
    pub(super) service: ServiceClient,
    pub(super) weights: WeightClient,
    pub(super) control: Arc<ControlPool>,
    pub(super) steps: StepRouter,
    pub(super) serving: OnceLock<ServingState>,
    pub(super) suspects: Mutex<CrashSuspects>,
    pub(super) watch: target_watch::WatchState,
    is_leaving: AtomicBool,
    is_target_up: AtomicBool,
    pub(super) has_orders: AtomicBool,
    /// Cancelled when the agent starts to leave.
    leave: CancellationToken,
    /// Cancelled when the agent has drained, or its time to drain is over.
    pub(super) stop: CancellationToken,
}

impl AgentListeners {
    /// Binds the listeners at the configured addresses.
    ///
    /// # Errors
    /// An address is in use or does not belong to this machine.
    pub async fn bind(settings: &Settings, agent: &AgentSettings) -> Result<Self> {
        Ok(Self {
            work: bind(agent.work).await?,
            control: bind(settings.addresses.control).await?,
            operators: settings.addresses.operators,
        })
    }
}

impl AgentProcess {
    /// Creates the process.
    ///
    /// # Errors
    /// The metrics cannot be registered.
    pub fn new(settings: Settings, agent: &AgentSettings, log: Logger) -> Result<Arc<Self>> {
        let now = ProcessIncarnation(Timestamp::now().0);
        let stop = CancellationToken::new();
        let metrics = ProcessMetrics::new()?;
        let control = Arc::new(ControlPool::new(&settings.tokens.peer));
        let name = AgentName::from(Arc::clone(&settings.process.name));
        let incarnation = settings.process.incarnation.unwrap_or(now);
        let versions = VersionService::new(
            version_settings(&settings, (&name, incarnation), Arc::clone(&control), &log),
            stop.clone(),
        );
        let target_url = format!("http://{}", agent.target);
        Ok(Arc::new(Self {
            name,
            kind: agent.kind,
            incarnation,
            metrics,
            versions,
            log_client: LogClient::new(&settings.platform.log),
            engine: EngineClient::new(&target_url),
            service: ServiceClient::new(&target_url),
            weights: WeightClient::new(&settings.platform.weights),
            control,
            steps: StepRouter::default(),
            serving: OnceLock::new(),
            suspects: Mutex::default(),
            watch: target_watch::WatchState::default(),
            is_leaving: AtomicBool::new(false),
            is_target_up: AtomicBool::new(true),
            has_orders: AtomicBool::new(false),
            leave: CancellationToken::new(),
            stop,
            settings,
            log,
        }))
    }

    /// Serves until the agent has left.
    ///
    /// # Errors
    /// The server for metrics and health checks cannot start.
    pub async fn run(self: &Arc<Self>, listeners: AgentListeners) -> Result<()> {
        info!(self.log, "agent starts"; "agent" => %self.name, "incarnation" => self.incarnation.0);
        let context = OperatorContext::agent(self.health_probe());
        let operators = start_operator_api(listeners.operators, context, &self.log)?;
        let methods = control_api::methods(self);
        let token = Arc::clone(&self.settings.tokens.peer);
        let control = serve_control(listeners.control, methods, token, self.stop.clone());
        let process = Arc::clone(self);
        let handler = move |request| work_api::handle(Arc::clone(&process), request);
        let work = serve(listeners.work, self.stop.clone(), self.log.clone(), handler);
        tokio::spawn(target_watch::watch_target(Arc::clone(self)));
        tokio::spawn(Arc::clone(&self.versions).run());
        tokio::spawn(Arc::clone(self).follow_versions());
        let drain = Arc::clone(self).drain();
        tokio::join!(control, work, drain);
        let _ = operators.close().await;
        info!(self.log, "agent ends"; "agent" => %self.name);
        Ok(())
    }

    /// Starts to leave: accepts no new work, finishes the work in progress, then ends.
    pub fn leave(&self) {
        if self.is_leaving.swap(true, Ordering::SeqCst) {
            return;
        }
        info!(self.log, "agent leaves"; "agent" => %self.name);
        if let Some(serving) = self.serving.get() {
            serving.table.lock().admission.drain();
            let _ = serving.orders.send(OrderInput::Leave);
        }
        self.leave.cancel();
    }

    /// Returns whether the agent accepts new work.
    pub(super) fn readiness(&self) -> AgentReadiness {
        if self.is_leaving.load(Ordering::SeqCst) {
            return AgentReadiness::Leaving;
        }
        let is_ready = self.serving.get().is_some() && self.is_target_up();
        if is_ready {
            AgentReadiness::Ready
        } else {
            AgentReadiness::NotReady
        }
    }

    fn health_probe(self: &Arc<Self>) -> HealthProbe {
        let ready = Arc::clone(self);
        let measured = Arc::clone(self);
        HealthProbe {
            is_ready: Box::new(move || ready.readiness() == AgentReadiness::Ready),
            metrics: Box::new(move || measured.metrics.render()),
        }
    }

    /// Creates the load report that is sent at the end of an answer.
    pub(super) fn end_load(&self, work: WorkId) -> Option<FinalLoad> {
        let mut table = self.serving.get()?.table.lock();
        let report = self.load_report(&mut table.admission);
        // The run may have ended just before the report was created.
        let is_counted = table.admission.running().any(|running| running == work);
        let sequence = report.sequence - u64::from(!is_counted);
        Some(FinalLoad { report, sequence })
    }

    /// Creates the next load report.
    pub(super) fn load_report(&self, admission: &mut AgentAdmission) -> LoadReport {
        let load = self.watch.load();
        let step_time = Duration::from_secs_f64((load.step_ms / 1_000.0).max(0.0));
        admission.next_report(Timestamp::now(), load.tokens_per_second as u32, step_time)
    }

    /// Runs each piece of started work at the target in a task of its own.
    pub(super) fn spawn_runs(self: &Arc<Self>, started: Vec<StartedWork>) {
        for start in started {
            tokio::spawn(Arc::clone(self).run_work(start));
        }
    }

    /// Returns whether the target answered when it was last asked.
    pub(super) fn is_target_up(&self) -> bool {
        self.is_target_up.load(Ordering::SeqCst)
    }

    /// Records that the target answers.
    pub(super) fn mark_target_up(&self) {
        if !self.is_target_up.swap(true, Ordering::SeqCst) {
            info!(self.log, "target answers again"; "agent" => %self.name);
        }
    }

    /// Records that the target does not answer. The first call since it last answered records the
    /// running requests as crash suspects.
    pub(super) fn mark_target_crashed(&self) {
        if !self.is_target_up.swap(false, Ordering::SeqCst) {
            return;
        }
        let Some(serving) = self.serving.get() else {
            return;
        };
        let now = Timestamp::now();
        let runs = serving.table.lock().in_progress();
        let digests: Vec<RequestDigest> = runs.iter().map(|run| run.digest.clone()).collect();
        warn!(self.log, "target crashed"; "target" => %serving.target, "running" => digests.len());
        let crash = TargetCrash {
            target: serving.target.clone(),
            incarnation: ProcessIncarnation(now.0),
        };
        self.suspects.lock().crashed(now, &crash, &digests);
    }

    async fn run_work(self: Arc<Self>, start: StartedWork) {
        let run = Arc::clone(&start.run);
        match &start.request.kind {
            WorkKind::Model(path) => {
                model_run::run_model(&self, &start, path).await;
            }
            WorkKind::Lookup(call) => {
                lookup_run::run_lookup(&self, &start, call).await;
            }
        }
        assert!(
            run.is_finished(),
            "a run must end with a final event or a loss"
        );
        let Some(serving) = self.serving.get() else {
            return;
        };
        let started = serving.table.lock().finish(Timestamp::now(), run.work);
        self.spawn_runs(started);
    }

    /// Follows the configuration versions and starts to serve when one names the target.
    async fn follow_versions(self: Arc<Self>) {
        let mut versions = self.versions.subscribe();
        loop {
            let version = versions.borrow_and_update().clone();
            self.metrics.version.set(version.number.0 as i64);
            if let Some((target, config)) = own_target(&version, &self.name, self.kind) {
                self.start_serving(target.clone(), config.slots);
            }
            tokio::select! {
                changed = versions.changed() => if changed.is_err() { return },
                () = self.stop.cancelled() => return,
            }
        }
    }

    fn start_serving(self: &Arc<Self>, target: TargetName, slots: u32) {
        if self.serving.get().is_some() {
            return;
        }
        let (orders, inputs) = mpsc::unbounded_channel();
        let table = Mutex::new(WorkTable::new(self.incarnation, slots));
        let serving = ServingState {
            target: target.clone(),
            table,
            orders,
        };
        if self.serving.set(serving).is_ok() {
            info!(self.log, "agent serves"; "agent" => %self.name, "target" => %target);
            if self.kind == TargetKind::Engine {
                tokio::spawn(follow_group(Arc::clone(self), target.clone()));
            }
            tokio::spawn(drive_orders(Arc::clone(self), target, inputs));
        }
        if self.is_leaving.load(Ordering::SeqCst)
            && let Some(serving) = self.serving.get()
        {
            serving.table.lock().admission.drain();
            let _ = serving.orders.send(OrderInput::Leave);
        }
    }

    /// Waits until the agent leaves and has drained, then stops the servers.
    async fn drain(self: Arc<Self>) {
        self.leave.cancelled().await;
        let limit = Duration::from_secs(self.settings.limits.drain_seconds);
        let waited = tokio::time::timeout(limit, async {
            while !self.is_drained() {
                tokio::time::sleep(DRAIN_POLL_PERIOD).await;
            }
        });
        if waited.await.is_err() {
            warn!(self.log, "agent ends with work in progress"; "drain_s" => limit.as_secs());
        }
        tokio::time::sleep(DRAIN_GRACE_TIME).await;
        self.stop.cancel();
    }

    fn is_drained(&self) -> bool {
        let Some(serving) = self.serving.get() else {
            return true;
        };
        let has_orders = self.has_orders.load(Ordering::SeqCst);
        serving.table.lock().admission.is_drained() && !has_orders
    }
}

fn version_settings(
    settings: &Settings,
    (name, incarnation): (&AgentName, ProcessIncarnation),
    pool: Arc<ControlPool>,
    log: &Logger,
) -> VersionSettings {
    VersionSettings {
        own: PeerInfo {
            name: PeerName::from(name.as_str()),
            data_centre: settings.process.data_centre.clone(),
            role: PeerRole::Agent,
        },
        incarnation,
        control: settings.addresses.control,
        pool,
        log_client: LogClient::new(&settings.platform.log),
        log: log.clone(),
    }
}
