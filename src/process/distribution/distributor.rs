//! State machine that obtains configuration versions for a process and forwards them to peers.

use std::collections::BTreeMap;

use rand::RngExt;
use rand::seq::IteratorRandom;
use rand_chacha::ChaCha8Rng;

use crate::prelude::*;
use crate::version::config::{ConfigFold, ConfigVersion, FoldOutcome, SkipReason};

use super::report::data_centres;
use super::start_probes::{REPLY_TIMEOUT, StartProbes};
use super::survey::VersionSurvey;
use super::{
    AnnouncementKind, DataCentreReport, DistributionAction, DistributionEvent, InForceReport,
    PeerInfo, PeerName, PeerRole, PeerState, PeerTable, StartBasis, VersionAnnouncement,
    VersionBody, in_force, log_readers,
};

/// The mean time between two rounds of probes.
const ROUND_INTERVAL: Duration = Duration::from_secs(2);
/// The largest random deviation from the round interval, in percent.
const ROUND_JITTER_PERCENT: u64 = 20;
/// The number of peers to which a new version is announced immediately.
const ANNOUNCE_FANOUT: usize = 6;
/// The longest wait for the response to a pull.
const PULL_TIMEOUT: Duration = Duration::from_secs(1);
/// How long after reading the log's tail the process counts as following the log.
const MAX_TAIL_AGE: Duration = Duration::from_secs(2);
/// The most probes in one tick at start-up, and the most in one tick for a survey.
const PROBES_PER_TICK: usize = 4;
/// Consecutive unanswered probes after which a data centre counts as cut off.
const CUT_OFF_PROBES: u32 = 3;
/// The longest random delay, added to the reply timeout, before a starting process reads the log.
const MAX_START_READ_DELAY: Duration = Duration::from_secs(2);

/// The actions that one event causes.
pub type DistributionActions = SmallVec<[DistributionAction; 4]>;

/// The identity of the process and its source of randomness.
#[derive(Clone, Debug)]
pub struct DistributorSettings {
    /// The process.
    pub own: PeerInfo,
    /// Its incarnation.
    pub incarnation: ProcessIncarnation,
    /// The generator for jitter and random choices.
    pub rng: ChaCha8Rng,
}

/// Obtains configuration versions for a process and forwards them to peers.
///
/// It holds the fold of the configuration records. The process reads the log if it is one of the
/// log readers of its data centre, and pulls from any peer that announces a higher version.
#[derive(Clone, Debug)]
pub struct VersionDistributor {
    settings: DistributorSettings,
    fold: ConfigFold,
    installed: VersionNumber,
    peers: PeerTable,
    start: StartProgress,
    log: LogState,
    pull: Option<PendingPull>,
    next_round: Timestamp,
    rounds: u64,
    unanswered_probes: BTreeMap<DataCentreName, u32>,
    survey: Option<VersionSurvey>,
}

#[derive(Clone, Debug)]
enum StartProgress {
    Starting {
        probes: StartProbes,
        read_at: Option<Timestamp>,
    },
    Serving(StartBasis),
}

#[derive(Clone, Copy, Debug, Default)]
struct LogState {
    reading: bool,
    is_unreachable: bool,
    tail_at: Option<Timestamp>,
}

#[derive(Clone, Debug)]
struct PendingPull {
    from: PeerName,
    at: Timestamp,
}

impl VersionDistributor {
    /// Returns the distributor of a process that has just started.
    pub fn new(settings: DistributorSettings) -> Self {
        Self {
            settings,
            fold: ConfigFold::new(),
            installed: VersionNumber(0),
            peers: PeerTable::default(),
            start: StartProgress::Starting {
                probes: StartProbes::default(),
                read_at: None,
            },
            log: LogState::default(),
            pull: None,
            next_round: Timestamp(0),
            rounds: 0,
            unanswered_probes: BTreeMap::new(),
            survey: None,
        }
    }

    /// Returns the version in force.
    pub fn current(&self) -> &Arc<ConfigVersion> {
        self.fold.current()
    }

    /// Returns the fold.
    pub fn fold(&self) -> &ConfigFold {
        &self.fold
    }

    /// Returns the last known state of the peers.
    pub fn peers(&self) -> &PeerTable {
        &self.peers
    }

    /// Returns how the process confirmed its version at start; `None` while it starts.
    pub fn start_basis(&self) -> Option<&StartBasis> {
        match &self.start {
            StartProgress::Serving(basis) => Some(basis),
            StartProgress::Starting { .. } => None,
        }
    }

    /// Returns the announcement that every control message includes.
    pub fn announcement(&self, now: Timestamp) -> VersionAnnouncement {
        let version = self.fold.current();
        VersionAnnouncement {
            incarnation: self.settings.incarnation,
            number: version.number,
            digest: version.digest.clone(),
            following: self.is_following(now),
            serving: matches!(self.start, StartProgress::Serving(_)),
        }
    }

    /// Whether the process recently read up to the log's tail.
    pub fn is_following(&self, now: Timestamp) -> bool {
        self.log
            .tail_at
            .is_some_and(|at| now.since(at) <= MAX_TAIL_AGE)
    }

    /// Returns the records after version `since`, or the full state if the history is too short.
    pub fn body_since(&self, since: VersionNumber) -> VersionBody {
        let history = self.fold.history();
        let covered = history
            .oldest()
            .is_some_and(|oldest| oldest <= since.next());
        if !covered {
            return VersionBody::Whole(Box::new(self.fold.snapshot().clone()));
        }
        let records = history.since(since).map(|entry| entry.accepted.clone());
        VersionBody::Records(records.collect())
    }

    /// Probes every process that is not known to have version `number` in force, for a minute.
    pub fn start_survey(&mut self, now: Timestamp, number: VersionNumber) {
        self.survey = Some(VersionSurvey::new(now, number));
    }

    /// Returns where version `number` is in force, as far as this process knows.
    pub fn in_force(&self, number: VersionNumber) -> InForceReport {
        let mut report = in_force(number, &self.peers);
        let own = self.settings.own.name.clone();
        if number <= self.installed {
            report.in_force.push(own);
        } else {
            report.lagging.push(super::LaggingPeer {
                name: own,
                number: self.installed,
            });
        }
        report
    }

    /// Returns the data centres of the known peers as this process sees them.
    pub fn data_centres(&self) -> Vec<DataCentreReport> {
        data_centres(&self.peers, &self.unanswered_probes, CUT_OFF_PROBES)
    }

    /// Handles one event.
    ///
    /// # Panics
    ///
    /// Panics if one version number has two different digests, or if the version would decrease.
    pub fn on_event(&mut self, now: Timestamp, event: DistributionEvent) -> DistributionActions {
        let mut actions = DistributionActions::new();
        match event {
            DistributionEvent::Tick => self.on_tick(now, &mut actions),
            DistributionEvent::Members(members) => self.on_members(members),
            DistributionEvent::Announced {
                from,
                announcement,
                kind,
            } => {
                self.on_announced(now, &from, &announcement, &mut actions);
                if kind == AnnouncementKind::Probe {
                    self.announce(now, from, AnnouncementKind::Reply, &mut actions);
                }
            }
            DistributionEvent::BodyReceived { from, body } => {
                self.on_body(now, &from, body, &mut actions);
            }
            DistributionEvent::LogRecord { offset, value } => {
                let outcome = self.fold.apply(offset, &value);
                self.on_folded(offset, outcome, &mut actions);
                self.install(now, &mut actions);
            }
            DistributionEvent::LogTail => self.on_log_tail(now, &mut actions),
            DistributionEvent::LogUnreachable => {
                self.log.is_unreachable = true;
                self.log.tail_at = None;
            }
        }
        actions
    }

    fn on_members(&mut self, mut members: Vec<PeerInfo>) {
        members.retain(|member| member.name != self.settings.own.name);
        self.peers.set_members(members);
    }

    fn on_tick(&mut self, now: Timestamp, actions: &mut DistributionActions) {
        self.expire_pull(now, actions);
        self.continue_start(now, actions);
        self.continue_survey(now, actions);
        if now < self.next_round {
            return;
        }
        self.next_round = now + self.jittered_round();
        self.rounds += 1;
        self.update_reading(actions);
        if let Some(peer) = self.local_peer() {
            self.probe(now, peer, actions);
        }
        if let Some(peer) = self.remote_peer() {
            self.count_remote_probe(&peer);
            self.probe(now, peer, actions);
        }
    }

    fn on_announced(
        &mut self,
        now: Timestamp,
        from: &PeerName,
        announcement: &VersionAnnouncement,
        actions: &mut DistributionActions,
    ) {
        self.peers.record_announcement(now, from, announcement);
        if let Some(peer) = self.peers.get(from) {
            self.unanswered_probes
                .insert(peer.info.data_centre.clone(), 0);
        }
        self.fold
            .assert_digest(announcement.number, &announcement.digest);
        if let StartProgress::Starting { probes, .. } = &mut self.start {
            probes.record_reply(from);
        }
        if self.fold.current().number < announcement.number {
            self.pull(now, from.clone(), actions);
        }
        self.try_serve(now, actions);
    }

    fn on_body(
        &mut self,
        now: Timestamp,
        from: &PeerName,
        body: VersionBody,
        actions: &mut DistributionActions,
    ) {
        if self.pull.as_ref().is_some_and(|pull| &pull.from == from) {
            self.pull = None;
        }
        let waiting = self.fold.next_offset().is_none();
        match body {
            VersionBody::Records(records) => {
                for accepted in &records {
                    self.fold.replay(accepted);
                }
            }
            VersionBody::Whole(state) if state.digest_matches() => {
                self.fold.install(*state);
            }
            VersionBody::Whole(_) => {}
        }
        if let (true, true, Some(from)) = (waiting, self.log.reading, self.fold.next_offset()) {
            actions.push(DistributionAction::ReadLog { from });
        }
        self.install(now, actions);
        self.try_serve(now, actions);
    }

    fn on_log_tail(&mut self, now: Timestamp, actions: &mut DistributionActions) {
        self.log.is_unreachable = false;
        if self.fold.next_offset().is_none() {
            return;
        }
        self.log.tail_at = Some(now);
        self.try_serve(now, actions);
    }

    fn on_folded(
        &mut self,
        offset: LogOffset,
        outcome: FoldOutcome,
        actions: &mut DistributionActions,
    ) {
        match &outcome {
            FoldOutcome::Loaded { resume_at } => {
                let from = *resume_at;
                actions.push(DistributionAction::ReadLog { from });
            }
            FoldOutcome::Accepted(_) | FoldOutcome::Skipped(SkipReason::Repeated) => return,
            _ => {}
        }
        actions.push(DistributionAction::Report { offset, outcome });
    }

    /// Puts the fold's version in force if it is new, and announces it to some peers.
    fn install(&mut self, now: Timestamp, actions: &mut DistributionActions) {
        let version = self.fold.current().clone();
        if version.number == self.installed {
            return;
        }
        assert!(
            self.installed < version.number,
            "version decreased: {} after {}",
            version.number,
            self.installed
        );
        self.installed = version.number;
        actions.push(DistributionAction::Install(version));
        for peer in self.peers_behind() {
            self.announce(now, peer, AnnouncementKind::Reply, actions);
        }
    }

    fn peers_behind(&mut self) -> Vec<PeerName> {
        let number = self.installed;
        let own = &self.settings.own.data_centre;
        let behind = self.peers.iter().filter(|peer| {
            &peer.info.data_centre == own && peer.number().is_none_or(|known| known < number)
        });
        let names = behind.map(|peer| peer.info.name.clone());
        names.sample(&mut self.settings.rng, ANNOUNCE_FANOUT)
    }

    fn announce(
        &self,
        now: Timestamp,
        to: PeerName,
        kind: AnnouncementKind,
        actions: &mut DistributionActions,
    ) {
        let announcement = self.announcement(now);
        actions.push(DistributionAction::Announce {
            to,
            announcement,
            kind,
        });
    }

    /// Counts a probe to another data centre as unanswered until any process there sends a message.
    fn count_remote_probe(&mut self, peer: &PeerName) {
        if let Some(peer) = self.peers.get(peer) {
            let data_centre = peer.info.data_centre.clone();
            *self.unanswered_probes.entry(data_centre).or_default() += 1;
        }
    }

    fn probe(&mut self, now: Timestamp, to: PeerName, actions: &mut DistributionActions) {
        self.peers.record_probe(&to);
        self.announce(now, to, AnnouncementKind::Probe, actions);
    }

    fn pull(&mut self, now: Timestamp, from: PeerName, actions: &mut DistributionActions) {
        if self.pull.is_some() {
            return;
        }
        self.pull = Some(PendingPull {
            from: from.clone(),
            at: now,
        });
        let since = self.fold.current().number;
        actions.push(DistributionAction::Pull { from, since });
    }

    fn expire_pull(&mut self, now: Timestamp, actions: &mut DistributionActions) {
        let expired = |pull: &PendingPull| PULL_TIMEOUT <= now.since(pull.at);
        if !self.pull.as_ref().is_some_and(expired) {
            return;
        }
        self.pull = None;
        let current = self.fold.current().number;
        let ahead = self.peers.iter().filter(|peer| {
            !peer.is_unreachable() && peer.number().is_some_and(|number| current < number)
        });
        let choice = ahead
            .map(|peer| peer.info.name.clone())
            .choose(&mut self.settings.rng);
        if let Some(peer) = choice {
            self.pull(now, peer, actions);
        }
    }

    fn jittered_round(&mut self) -> Duration {
        let range = 100 - ROUND_JITTER_PERCENT..=100 + ROUND_JITTER_PERCENT;
        let percent = self.settings.rng.random_range(range);
        ROUND_INTERVAL.mul_f64(percent as f64 / 100.0)
    }

    /// Starts or stops reading the log, depending on whether the process is a log reader.
    fn update_reading(&mut self, actions: &mut DistributionActions) {
        let own = &self.settings.own;
        if own.role == PeerRole::Agent {
            return self.stop_reading(actions);
        }
        let readers = log_readers(&own.data_centre, Some(&own.name), &self.peers);
        if readers.contains(&own.name) {
            self.read_log(actions);
        } else {
            self.stop_reading(actions);
        }
    }

    fn read_log(&mut self, actions: &mut DistributionActions) {
        if self.log.reading {
            return;
        }
        self.log.reading = true;
        let from = self.fold.rewind();
        actions.push(DistributionAction::ReadLog { from });
    }

    fn stop_reading(&mut self, actions: &mut DistributionActions) {
        let serving = matches!(self.start, StartProgress::Serving(_));
        if !self.log.reading || !serving {
            return;
        }
        self.log = LogState::default();
        actions.push(DistributionAction::StopReading);
    }

    /// Returns a random peer of the own data centre to probe; a log reader in every other round.
    fn local_peer(&mut self) -> Option<PeerName> {
        let own = &self.settings.own;
        let readers = log_readers(&own.data_centre, None, &self.peers);
        if self.rounds.is_multiple_of(2) && !readers.is_empty() {
            return readers.into_iter().choose(&mut self.settings.rng);
        }
        let local = |peer: &&PeerState| {
            peer.info.data_centre == own.data_centre
                && (own.role == PeerRole::Entry || peer.info.role == PeerRole::Entry)
        };
        let names = self.peers.iter().filter(local);
        let names = names.map(|peer| peer.info.name.clone());
        names.choose(&mut self.settings.rng)
    }

    /// Returns a random entry VM of another data centre; rounds cycle through the data centres.
    fn remote_peer(&mut self) -> Option<PeerName> {
        let own = &self.settings.own;
        if own.role == PeerRole::Agent {
            return None;
        }
        let remote: Vec<&PeerInfo> = self
            .peers
            .iter()
            .map(|peer| &peer.info)
            .filter(|info| info.role == PeerRole::Entry && info.data_centre != own.data_centre)
            .collect();
        let mut names: Vec<&DataCentreName> = remote.iter().map(|info| &info.data_centre).collect();
        names.sort();
        names.dedup();
        let turn = self.rounds as usize % names.len().max(1);
        let name = names.get(turn)?;
        let members = remote.iter().filter(|info| &&info.data_centre == name);
        let choice = members.choose(&mut self.settings.rng);
        choice.map(|info| info.name.clone())
    }

    fn continue_survey(&mut self, now: Timestamp, actions: &mut DistributionActions) {
        self.survey.take_if(|survey| survey.is_over(now));
        let Some(survey) = &mut self.survey else {
            return;
        };
        for name in survey.next_probes(now, &self.peers, PROBES_PER_TICK) {
            self.probe(now, name, actions);
        }
    }

    /// Probes the peers of the data centre, log readers first, until the process may accept work.
    fn continue_start(&mut self, now: Timestamp, actions: &mut DistributionActions) {
        let due = self.due_probes(now);
        let StartProgress::Starting { probes, read_at } = &mut self.start else {
            return;
        };
        for name in &due {
            probes.record_probe(now, name);
        }
        let max_delay = MAX_START_READ_DELAY.as_micros() as u64;
        let rng = &mut self.settings.rng;
        let read_at = *read_at.get_or_insert_with(|| {
            let delay = Duration::from_micros(rng.random_range(0..=max_delay));
            now + REPLY_TIMEOUT + delay
        });
        for name in due {
            self.probe(now, name, actions);
        }
        if read_at <= now {
            self.read_log(actions);
        }
        self.try_serve(now, actions);
    }

    fn due_probes(&self, now: Timestamp) -> Vec<PeerName> {
        let StartProgress::Starting { probes, .. } = &self.start else {
            return Vec::new();
        };
        let own = &self.settings.own.data_centre;
        let readers = log_readers(own, None, &self.peers);
        let local = self.peers.iter().map(|peer| &peer.info);
        let local = local.filter(|info| &info.data_centre == own);
        let others = local.map(|info| info.name.clone());
        let others = others.filter(|name| !readers.contains(name));
        let order = readers.iter().cloned().chain(others);
        let due = order.filter(|name| probes.is_due(now, name));
        due.take(PROBES_PER_TICK).collect()
    }

    fn try_serve(&mut self, now: Timestamp, actions: &mut DistributionActions) {
        let Some(basis) = self.find_basis(now) else {
            return;
        };
        self.start = StartProgress::Serving(basis.clone());
        actions.push(DistributionAction::Serve(basis));
    }

    fn find_basis(&self, now: Timestamp) -> Option<StartBasis> {
        let StartProgress::Starting { probes, .. } = &self.start else {
            return None;
        };
        if self.is_following(now) {
            return Some(StartBasis::OwnTail);
        }
        let own = self.fold.current().number;
        if let Some(name) = probes.follower(now, own, &self.peers) {
            return Some(StartBasis::PeerTail(name));
        }
        let all_done = self
            .peers
            .iter()
            .filter(|peer| peer.info.data_centre == self.settings.own.data_centre)
            .all(|peer| probes.is_done(now, &peer.info.name));
        let answered = probes.answered(&self.peers);
        let highest = answered.clone().filter_map(PeerState::number).max();
        let confirmed = self.peers.iter().any(PeerState::is_serving);
        let caught_up = self.pull.is_none() && highest <= Some(own);
        let ready = self.log.is_unreachable && all_done && confirmed && caught_up;
        ready.then(|| StartBasis::HighestPeer {
            asked: probes.len(),
            answered: answered.count(),
        })
    }
}
