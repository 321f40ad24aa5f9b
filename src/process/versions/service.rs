//! Carries out what the distribution of versions asks for.

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

/// The time between two ticks of the distribution.
const TICK: Duration = Duration::from_millis(100);

/// What a version service works with.
#[derive(Clone, Debug)]
pub struct VersionSettings {
    /// This process.
    pub own: PeerInfo,
    /// Its incarnation.
    pub incarnation: ProcessIncarnation,
    /// Where it takes control messages.
    pub control: SocketAddr,
    /// The connections to peers.
    pub pool: Arc<ControlPool>,
    /// The log service.
    pub log_client: LogClient,
    /// The log.
    pub log: Logger,
}

/// Holds the version in force and carries out what its distribution asks for.
///
/// The distributor is the first in the lock order; the other locks here are leaves.
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
    /// Makes the service of a process that has just started; it works until `stop`.
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

    /// Lets time pass for the distribution until the process stops.
    pub async fn run(self: Arc<Self>) {
        let mut ticks = tokio::time::interval(TICK);
        loop {
            tokio::select! {
                _ = ticks.tick() => self.take(DistributionEvent::Tick),
                () = self.stop.cancelled() => return,
            }
        }
    }

    /// Returns the version in force.
    pub fn current(&self) -> Arc<ConfigVersion> {
        Arc::clone(&self.current.borrow())
    }

    /// Returns a receiver that sees each version that comes into force.
    pub fn subscribe(&self) -> watch::Receiver<Arc<ConfigVersion>> {
        self.current.subscribe()
    }

    /// Returns on what basis the process serves; none while it starts.
    pub fn start_basis(&self) -> Option<StartBasis> {
        self.basis.borrow().clone()
    }

    /// Returns whether the process read the log's tail a moment ago.
    pub fn is_following(&self) -> bool {
        self.distributor.lock().is_following(Timestamp::now())
    }

    /// Returns whether the log service answered last, where this process reads it.
    pub fn is_log_reachable(&self) -> bool {
        self.is_log_reachable.load(Ordering::SeqCst)
    }

    /// Returns what this process announces in its control messages.
    pub fn announcement(&self) -> VersionAnnouncement {
        self.distributor.lock().announcement(Timestamp::now())
    }

    /// Returns a copy of the fold.
    pub fn fold(&self) -> ConfigFold {
        self.distributor.lock().fold().clone()
    }

    /// Returns what a peer at version `since` lacks.
    pub fn body_since(&self, since: VersionNumber) -> VersionBody {
        self.distributor.lock().body_since(since)
    }

    /// Returns where a version is in force, and asks those of which it is not known.
    pub fn in_force(&self, number: VersionNumber) -> InForceReport {
        let mut distributor = self.distributor.lock();
        let report = distributor.in_force(number);
        if !report.is_everywhere() {
            distributor.start_survey(Timestamp::now(), number);
        }
        report
    }

    /// Returns the other data centres as this process sees them.
    pub fn data_centres(&self) -> Vec<DataCentreReport> {
        self.distributor.lock().data_centres()
    }

    /// Takes over the known processes with their addresses for control messages.
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
            self.take(DistributionEvent::Members(infos));
        }
    }

    /// Adds a process that made itself known.
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
        self.take(DistributionEvent::Members(infos));
    }

    /// Takes in what a peer announced.
    pub fn heard(
        self: &Arc<Self>,
        from: PeerName,
        announcement: VersionAnnouncement,
        kind: AnnouncementKind,
    ) {
        self.take(DistributionEvent::Announced {
            from,
            announcement,
            kind,
        });
    }

    /// Returns the log.
    pub(super) fn log(&self) -> &Logger {
        &self.settings.log
    }

    /// Takes in an event that may fold a version, off the threads that route.
    pub(super) async fn take_aside(self: &Arc<Self>, event: DistributionEvent) {
        let service = Arc::clone(self);
        let handle = tokio::runtime::Handle::current();
        let taken = tokio::task::spawn_blocking(move || {
            // What follows is carried out by tasks of the runtime.
            let _guard = handle.enter();
            service.take(event);
        });
        if let Err(err) = taken.await
            && err.is_panic()
        {
            std::panic::resume_unwind(err.into_panic());
        }
    }

    /// Takes in what happened and carries out what follows.
    pub(super) fn take(self: &Arc<Self>, event: DistributionEvent) {
        let now = Timestamp::now();
        let mut distributor = self.distributor.lock();
        let actions = distributor.on_event(now, event);
        // Versions come into force in their order, so under the lock.
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

    /// Notes that the log service answered, or did not.
    pub(super) fn log_answered(&self, is_reachable: bool) {
        let was_reachable = self.is_log_reachable.swap(is_reachable, Ordering::SeqCst);
        if was_reachable != is_reachable {
            info!(self.settings.log, "log service"; "reachable" => is_reachable);
        }
    }

    fn install(&self, version: &Arc<ConfigVersion>) {
        let earlier = self.current.send_replace(Arc::clone(version));
        assert!(
            earlier.number < version.number,
            "a process never goes back to a version"
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
                info!(self.settings.log, "configuration record"; "offset" => offset.0,
                    "outcome" => %outcome);
            }
            DistributionAction::Serve(basis) => {
                info!(self.settings.log, "process serves"; "basis" => %basis);
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
            debug!(self.settings.log, "announcement failed"; "peer" => %to, "error" => %err);
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
                self.take_aside(DistributionEvent::BodyReceived { from, body })
                    .await
            }
            Err(err) => debug!(self.settings.log, "pull failed"; "peer" => %from, "error" => %err),
        }
    }

    fn address(&self, name: &PeerName) -> Option<SocketAddr> {
        self.members.lock().get(name).map(|member| member.control)
    }
}
