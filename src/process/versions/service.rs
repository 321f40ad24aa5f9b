//! Performs the actions of the version distributor and publishes the version in force.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};

use parking_lot::Mutex;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use slog::{Logger, debug, info};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::connection::{ControlClient, ControlPool, VersionNotice, VersionPull};
use crate::prelude::*;
use crate::process::distribution::{
    AnnouncementKind, DataCentreReport, DistributionAction, DistributionEvent, DistributorSettings,
    InForceReport, PeerInfo, PeerName, StartBasis, VersionAnnouncement, VersionBody,
    VersionDistributor,
};
use crate::process::platform::LogClient;
use crate::version::config::{ConfigFold, ConfigVersion};

use super::log_reader::read_log;

/// The time between two ticks of the distributor.
const TICK: Duration = Duration::from_millis(100);

/// The identity and the clients of a version service.
#[derive(Clone, Debug)]
pub struct VersionSettings {
    /// This process.
    pub own: PeerInfo,
    /// Its incarnation.
    pub incarnation: ProcessIncarnation,
    /// The address at which it accepts control messages.
    pub control: SocketAddr,
    /// The connections to peers.
    pub pool: Arc<ControlPool>,
    /// The client of the log service.
    pub log_client: LogClient,
    /// The logger.
    pub log: Logger,
}

/// Holds the version in force and performs the actions of its distributor.
///
/// Lock order: the distributor first; no other lock is taken while one of the others is held.
#[derive(Debug)]
pub struct VersionService {
    settings: VersionSettings,
    distributor: Mutex<VersionDistributor>,
    current: watch::Sender<Arc<ConfigVersion>>,
    basis: watch::Sender<Option<StartBasis>>,
    members: Mutex<HashMap<PeerName, KnownMember>>,
    reader: Mutex<Option<CancellationToken>>,
    is_log_reachable: AtomicBool,
    stop: CancellationToken,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct KnownMember {
    info: PeerInfo,
    control: SocketAddr,
}

impl VersionService {
    /// Returns the service of a process that has just started; it runs until `stop` is cancelled.
    pub fn new(settings: VersionSettings, stop: CancellationToken) -> Arc<Self> {
        let distributor = VersionDistributor::new(DistributorSettings {
            own: settings.own.clone(),
            incarnation: settings.incarnation,
            rng: ChaCha8Rng::from_rng(&mut rand::rng()),
        });
        Arc::new(Self {
            current: watch::Sender::new(Arc::clone(distributor.current())),
            distributor: Mutex::new(distributor),
            basis: watch::Sender::new(None),
            members: Mutex::default(),
            reader: Mutex::default(),
            is_log_reachable: AtomicBool::new(false),
            settings,
            stop,
        })
    }

    /// Sends ticks to the distributor until the process stops.
    pub async fn run(self: Arc<Self>) {
        let mut ticks = tokio::time::interval(TICK);
        loop {
            tokio::select! {
                _ = ticks.tick() => self.handle_event(DistributionEvent::Tick),
                () = self.stop.cancelled() => return,
            }
        }
    }

    /// Returns the version in force.
    pub fn current(&self) -> Arc<ConfigVersion> {
        Arc::clone(&self.current.borrow())
    }

    /// Returns a receiver that is notified when a new version is in force.
    pub fn subscribe(&self) -> watch::Receiver<Arc<ConfigVersion>> {
        self.current.subscribe()
    }

    /// Returns how the process confirmed its version at start; `None` while it starts.
    pub fn start_basis(&self) -> Option<StartBasis> {
        self.basis.borrow().clone()
    }

    /// Returns whether the process recently read up to the log's tail.
    pub fn is_following(&self) -> bool {
        self.distributor.lock().is_following(Timestamp::now())
    }

    /// Returns whether this process's last read of the log service succeeded; `false` before any.
    pub fn is_log_reachable(&self) -> bool {
        self.is_log_reachable.load(Ordering::SeqCst)
    }

    /// Returns the announcement that this process includes in its control messages.
    pub fn announcement(&self) -> VersionAnnouncement {
        self.distributor.lock().announcement(Timestamp::now())
    }

    /// Returns a copy of the fold.
    pub fn fold(&self) -> ConfigFold {
        self.distributor.lock().fold().clone()
    }

    /// Returns the records after version `since`, or the full state if the history is too short.
    pub fn body_since(&self, since: VersionNumber) -> VersionBody {
        self.distributor.lock().body_since(since)
    }

    /// Returns where a version is in force, and probes the processes whose version is not known.
    pub fn in_force(&self, number: VersionNumber) -> InForceReport {
        let mut distributor = self.distributor.lock();
        let report = distributor.in_force(number);
        if !report.is_everywhere() {
            distributor.start_survey(Timestamp::now(), number);
        }
        report
    }

    /// Returns the data centres of the known peers as this process sees them.
    pub fn data_centres(&self) -> Vec<DataCentreReport> {
        self.distributor.lock().data_centres()
    }

    /// Replaces the known processes and their addresses for control messages.
    pub fn set_members(self: &Arc<Self>, members: Vec<(PeerInfo, SocketAddr)>) {
        let infos: Vec<PeerInfo> = members.iter().map(|(info, _)| info.clone()).collect();
        let members: HashMap<PeerName, KnownMember> = members
            .into_iter()
            .map(|(info, control)| (info.name.clone(), KnownMember { info, control }))
            .collect();
        let is_changed = {
            let mut known = self.members.lock();
            let is_changed = *known != members;
            *known = members;
            is_changed
        };
        if is_changed {
            self.handle_event(DistributionEvent::Members(infos));
        }
    }

    /// Adds or updates a process that announced itself.
    pub fn add_member(self: &Arc<Self>, info: &PeerInfo, control: SocketAddr) {
        let member = KnownMember {
            info: info.clone(),
            control,
        };
        let infos = {
            let mut known = self.members.lock();
            if known.get(&info.name) == Some(&member) {
                return;
            }
            known.insert(info.name.clone(), member);
            known.values().map(|member| member.info.clone()).collect()
        };
        self.handle_event(DistributionEvent::Members(infos));
    }

    /// Passes the announcement of a peer to the distributor.
    pub fn record_announcement(
        self: &Arc<Self>,
        from: PeerName,
        announcement: VersionAnnouncement,
        kind: AnnouncementKind,
    ) {
        self.handle_event(DistributionEvent::Announced {
            from,
            announcement,
            kind,
        });
    }

    /// Returns the logger.
    pub(super) fn log(&self) -> &Logger {
        &self.settings.log
    }

    /// Handles an event on the blocking thread pool, as folding a version would delay requests.
    pub(super) async fn handle_event_blocking(self: &Arc<Self>, event: DistributionEvent) {
        let service = Arc::clone(self);
        let handle = tokio::runtime::Handle::current();
        let handled = tokio::task::spawn_blocking(move || {
            // The actions spawn tasks on the runtime.
            let _guard = handle.enter();
            service.handle_event(event);
        });
        if let Err(err) = handled.await
            && err.is_panic()
        {
            std::panic::resume_unwind(err.into_panic());
        }
    }

    /// Handles an event and performs the resulting actions.
    pub(super) fn handle_event(self: &Arc<Self>, event: DistributionEvent) {
        let now = Timestamp::now();
        let mut distributor = self.distributor.lock();
        let actions = distributor.on_event(now, event);
        // Installing under the lock keeps the versions in order.
        for action in &actions {
            if let DistributionAction::Install(version) = action {
                self.install(version);
            }
        }
        drop(distributor);
        for action in actions {
            self.carry_out(action);
        }
    }

    /// Records whether the last read of the log service succeeded, and logs a change.
    pub(super) fn set_log_reachable(&self, is_reachable: bool) {
        let was_reachable = self.is_log_reachable.swap(is_reachable, Ordering::SeqCst);
        if was_reachable != is_reachable {
            info!(self.settings.log, "log service reachability changed";
                "reachable" => is_reachable);
        }
    }

    fn install(&self, version: &Arc<ConfigVersion>) {
        let earlier = self.current.send_replace(Arc::clone(version));
        assert!(
            earlier.number < version.number,
            "version must increase: {} after {}",
            version.number,
            earlier.number
        );
    }

    fn carry_out(self: &Arc<Self>, action: DistributionAction) {
        match action {
            DistributionAction::Install(_) => {}
            DistributionAction::Announce {
                to,
                announcement,
                kind,
            } => {
                tokio::spawn(Arc::clone(self).announce(to, announcement, kind));
            }
            DistributionAction::Pull { from, since } => {
                tokio::spawn(Arc::clone(self).pull(from, since));
            }
            DistributionAction::ReadLog { from } => self.start_reader(from),
            DistributionAction::StopReading => {
                if let Some(reader) = self.reader.lock().take() {
                    reader.cancel();
                }
            }
            DistributionAction::Report { offset, outcome } => {
                info!(self.settings.log, "configuration record read"; "offset" => offset.0,
                    "outcome" => %outcome);
            }
            DistributionAction::Serve(basis) => {
                info!(self.settings.log, "process accepts work"; "basis" => %basis);
                self.basis.send_replace(Some(basis));
            }
        }
    }

    fn start_reader(self: &Arc<Self>, from: LogOffset) {
        let reader = self.stop.child_token();
        if let Some(earlier) = self.reader.lock().replace(reader.clone()) {
            earlier.cancel();
        }
        let log_client = self.settings.log_client.clone();
        tokio::spawn(read_log(Arc::clone(self), log_client, from, reader));
    }

    async fn announce(
        self: Arc<Self>,
        to: PeerName,
        announcement: VersionAnnouncement,
        kind: AnnouncementKind,
    ) {
        let Some(address) = self.address(&to) else {
            return;
        };
        let notice = VersionNotice {
            from: self.settings.own.clone(),
            control: self.settings.control,
            announcement,
            kind,
        };
        let sent = async {
            let client = self.settings.pool.client(address).await?;
            let answer = client.announce(notice).await;
            answer.map_err(|err| Error::Peer(err.to_string()))
        };
        if let Err(err) = sent.await {
            debug!(self.settings.log, "version announcement failed";
                "peer" => %to, "error" => %err);
            self.settings.pool.remove(address);
        }
    }

    async fn pull(self: Arc<Self>, from: PeerName, since: VersionNumber) {
        let Some(address) = self.address(&from) else {
            return;
        };
        let body = async {
            let client = self.settings.pool.client(address).await?;
            let answer = client.pull(VersionPull { since }).await;
            answer.map_err(|err| Error::Peer(err.to_string()))
        };
        match body.await {
            Ok(body) => {
                self.handle_event_blocking(DistributionEvent::BodyReceived { from, body })
                    .await
            }
            Err(err) => {
                debug!(self.settings.log, "version pull failed"; "peer" => %from, "error" => %err)
            }
        }
    }

    fn address(&self, name: &PeerName) -> Option<SocketAddr> {
        self.members.lock().get(name).map(|member| member.control)
    }
}
