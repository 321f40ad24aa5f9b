//! Step windows: no window runs on two maps, and the group goes on once faults are over.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use comfreyhead::prelude::{FencingNumber, ProcessIncarnation, SmallVec, Timestamp};
use comfreyhead::process::step_window::{
    GroupLeader, LeaderAction, LeaderEvent, LeaderSettings, RankAction, RankEvent, RankFollower,
    RankSettings, RefuseReason, RejoinPromise, StepMessage, TargetFencing, TargetState, WindowMap,
    WindowNumber, incarnations_digest,
};
use comfreyhead::version::expert_map::{ExpertMap, MapId, MapNumber, MapShape};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const RANKS: u16 = 3;
const MAX_LEADERS: usize = 3;
const MAX_MAIL: usize = 300;

/// One step of a random run; numbers choose among what there is.
#[derive(Clone, Debug)]
enum WorldStep {
    Deliver(u16),
    Duplicate(u16),
    Drop(u16),
    Pass(u16),
    StartWindow(u16),
    FinishLoad(u16),
    FailLoad(u16),
    RestartAgent(u16),
    RestartAllAgents,
    ReplaceTarget(u16),
    Lead,
    SwitchMap(u16),
    StopLoad(u16),
    LogDown,
    LogUp,
}

#[derive(Clone, Debug)]
enum Mail {
    ToRank(u16, StepMessage),
    ToLeader(FencingNumber, StepMessage),
}

#[derive(Clone, Debug)]
struct FakeTarget {
    checks: bool,
    floor: FencingNumber,
    running: Option<WindowMap>,
    queued: Option<WindowMap>,
    loaded: Vec<Arc<ExpertMap>>,
    history: Vec<WindowMap>,
}

struct World {
    now: Timestamp,
    followers: Vec<RankFollower>,
    targets: Vec<FakeTarget>,
    loads: Vec<(u16, Arc<ExpertMap>)>,
    leaders: Vec<GroupLeader>,
    mail: VecDeque<Mail>,
    newest_lead: FencingNumber,
    log_up: bool,
    n_maps: u16,
}

fn shape() -> MapShape {
    MapShape {
        ranks: RANKS,
        experts: 6,
        layers: 1,
        slots_per_rank: 3,
    }
}

/// Creates a map whose content differs by `turn`.
fn map_of(number: MapNumber, turn: u16) -> Arc<ExpertMap> {
    let slots = (0..9).map(|slot| (slot + turn) % 6).collect();
    Arc::new(ExpertMap::from_slots(number, shape(), slots).unwrap())
}

fn fencing_of(rank: u16) -> TargetFencing {
    if rank == 2 {
        TargetFencing::Ignores
    } else {
        TargetFencing::Checks
    }
}

fn new_follower(rank: u16, incarnation: u64) -> RankFollower {
    RankFollower::new(RankSettings {
        rank,
        n_ranks: RANKS,
        incarnation: ProcessIncarnation(incarnation),
        target: fencing_of(rank),
    })
}

fn new_target(rank: u16) -> FakeTarget {
    FakeTarget {
        checks: fencing_of(rank) == TargetFencing::Checks,
        floor: FencingNumber(0),
        running: None,
        queued: None,
        loaded: Vec::new(),
        history: Vec::new(),
    }
}

fn new_leader(fencing: u64) -> GroupLeader {
    GroupLeader::new(LeaderSettings {
        n_ranks: RANKS,
        fencing: FencingNumber(fencing),
        expert_bytes: 1_000,
        bytes_per_second: 1_000_000,
        resend_after: Duration::from_millis(100),
        window_duration: Duration::from_millis(500),
    })
}

impl FakeTarget {
    fn run(&mut self, fencing: FencingNumber, window: WindowMap) {
        if self.checks && fencing < self.floor {
            return;
        }
        assert!(
            self.loaded.iter().any(|map| map.id() == window.map),
            "order for a missing map"
        );
        assert!(self.queued.is_none(), "two windows queued");
        self.history.push(window);
        self.queued = Some(window);
    }

    fn start_queued(&mut self) -> Option<WindowNumber> {
        let window = self.queued.take()?;
        assert!(
            self.loaded.iter().any(|map| map.id() == window.map),
            "map dropped too early"
        );
        self.running = Some(window);
        Some(window.window)
    }

    fn state(&self) -> TargetState {
        TargetState {
            running: self.running,
            queued: self.queued,
            loaded: self.loaded.iter().cloned().collect(),
        }
    }
}

impl World {
    fn new() -> Self {
        let mut world = Self {
            now: Timestamp::from_millis(1),
            followers: (0..RANKS).map(|rank| new_follower(rank, 1)).collect(),
            targets: (0..RANKS).map(new_target).collect(),
            loads: Vec::new(),
            leaders: Vec::new(),
            mail: VecDeque::new(),
            newest_lead: FencingNumber(0),
            log_up: true,
            n_maps: 0,
        };
        (0..RANKS).for_each(|rank| world.tell_rank(rank, RankEvent::Start));
        world
    }

    fn take(&mut self, step: &WorldStep) {
        match *step {
            WorldStep::Deliver(choice) => self.deliver(usize::from(choice)),
            WorldStep::Duplicate(choice) => self.duplicate(usize::from(choice)),
            WorldStep::Drop(choice) => drop(self.take_mail(usize::from(choice))),
            WorldStep::Pass(millis) => self.pass(u64::from(millis)),
            WorldStep::StartWindow(rank) => self.start_window(rank % RANKS),
            WorldStep::FinishLoad(choice) => self.finish_load(usize::from(choice)),
            WorldStep::FailLoad(choice) => self.fail_load(usize::from(choice)),
            WorldStep::RestartAgent(rank) => self.restart_agent(rank % RANKS),
            WorldStep::RestartAllAgents => (0..RANKS).for_each(|rank| self.restart_agent(rank)),
            WorldStep::ReplaceTarget(rank) => self.replace_target(rank % RANKS),
            WorldStep::Lead => self.lead(),
            WorldStep::SwitchMap(choice) => self.switch_map(usize::from(choice)),
            WorldStep::StopLoad(choice) => self.tell_some_leader(choice, LeaderEvent::StopLoad),
            WorldStep::LogDown => self.log_up = false,
            WorldStep::LogUp => self.log_up = true,
        }
        self.check_one_map_per_window();
    }

    /// The second witness beside the assertions in the machines.
    fn check_one_map_per_window(&self) {
        for (rank, target) in self.targets.iter().enumerate() {
            for other in &self.targets[rank + 1..] {
                for ran in &target.history {
                    let same = other
                        .history
                        .iter()
                        .find(|known| known.window == ran.window);
                    assert!(
                        same.is_none_or(|known| known == ran),
                        "{ran}, elsewhere {same:?}"
                    );
                }
            }
        }
    }

    fn take_mail(&mut self, choice: usize) -> Option<Mail> {
        let n_mail = self.mail.len();
        self.mail.remove(choice % n_mail.max(1))
    }

    fn deliver(&mut self, choice: usize) {
        match self.take_mail(choice) {
            Some(Mail::ToRank(rank, message)) => {
                self.tell_rank(rank, RankEvent::Message(message));
            }
            Some(Mail::ToLeader(fencing, message)) => {
                self.tell_leader(fencing, LeaderEvent::Message(message));
            }
            None => {}
        }
    }

    fn duplicate(&mut self, choice: usize) {
        let n_mail = self.mail.len();
        if let Some(mail) = self.mail.get(choice % n_mail.max(1)).cloned() {
            self.post(mail);
        }
    }

    fn post(&mut self, mail: Mail) {
        self.mail.push_back(mail);
        if MAX_MAIL < self.mail.len() {
            self.mail.pop_front();
        }
    }

    fn pass(&mut self, millis: u64) {
        self.now = self.now + Duration::from_millis(millis);
        (0..RANKS).for_each(|rank| self.tell_rank(rank, RankEvent::Tick));
        let fencings: Vec<_> = self.leaders.iter().map(GroupLeader::fencing).collect();
        for fencing in fencings {
            self.tell_leader(fencing, LeaderEvent::Tick);
        }
    }

    fn start_window(&mut self, rank: u16) {
        if let Some(window) = self.targets[usize::from(rank)].start_queued() {
            self.tell_rank(rank, RankEvent::WindowStarted(window));
        }
    }

    fn finish_load(&mut self, choice: usize) {
        if self.loads.is_empty() {
            return;
        }
        let (rank, map) = self.loads.swap_remove(choice % self.loads.len());
        let id = map.id();
        self.targets[usize::from(rank)].loaded.push(map);
        self.tell_rank(rank, RankEvent::MapLoaded(id));
    }

    fn fail_load(&mut self, choice: usize) {
        if self.loads.is_empty() {
            return;
        }
        let (rank, map) = self.loads.swap_remove(choice % self.loads.len());
        self.tell_rank(rank, RankEvent::LoadFailed(map.id()));
    }

    fn restart_agent(&mut self, rank: u16) {
        let incarnation = self.followers[usize::from(rank)].incarnation().next();
        self.followers[usize::from(rank)] = new_follower(rank, incarnation.0);
        self.loads.retain(|(of_rank, _)| *of_rank != rank);
        self.tell_rank(rank, RankEvent::Start);
    }

    fn replace_target(&mut self, rank: u16) {
        self.targets[usize::from(rank)] = new_target(rank);
        self.restart_agent(rank);
    }

    fn lead(&mut self) {
        if !self.log_up {
            return;
        }
        self.newest_lead = self.newest_lead.next();
        self.leaders.push(new_leader(self.newest_lead.0));
        if MAX_LEADERS < self.leaders.len() {
            self.leaders.remove(0);
        }
        self.tell_leader(self.newest_lead, LeaderEvent::Start);
    }

    fn switch_map(&mut self, choice: usize) {
        if self.leaders.is_empty() {
            return;
        }
        let leader = &self.leaders[choice % self.leaders.len()];
        let fencing = leader.fencing();
        self.n_maps += 1;
        let map = map_of(leader.next_map_number(), self.n_maps);
        self.tell_leader(fencing, LeaderEvent::SwitchMap(map));
    }

    fn tell_some_leader(&mut self, choice: u16, event: LeaderEvent) {
        if self.leaders.is_empty() {
            return;
        }
        let fencing = self.leaders[usize::from(choice) % self.leaders.len()].fencing();
        self.tell_leader(fencing, event);
    }

    fn tell_leader(&mut self, fencing: FencingNumber, event: LeaderEvent) {
        let leader = self
            .leaders
            .iter_mut()
            .find(|leader| leader.fencing() == fencing);
        let Some(leader) = leader else { return };
        for action in leader.on_event(self.now, event) {
            match action {
                LeaderAction::Send(rank, message) => self.post(Mail::ToRank(rank, message)),
                LeaderAction::FindMap(id) => self.find_map(fencing, id),
                _ => {}
            }
        }
    }

    fn find_map(&mut self, fencing: FencingNumber, id: MapId) {
        if let Some(map) = self
            .followers
            .iter()
            .find_map(|follower| follower.map(id))
            .cloned()
        {
            self.tell_leader(fencing, LeaderEvent::MapFound(map));
        }
    }

    fn tell_rank(&mut self, rank: u16, event: RankEvent) {
        let asker = match &event {
            RankEvent::Message(StepMessage::Rejoin { rank, .. }) => Some(*rank),
            _ => None,
        };
        let follower = &mut self.followers[usize::from(rank)];
        for action in follower.on_event(self.now, event) {
            self.act(rank, asker, action);
        }
    }

    fn act(&mut self, rank: u16, asker: Option<u16>, action: RankAction) {
        let target = &mut self.targets[usize::from(rank)];
        match action {
            RankAction::ReadTarget => {
                let state = target.state();
                self.tell_rank(rank, RankEvent::TargetRead(state));
            }
            RankAction::FenceTarget(floor) => target.floor = target.floor.max(floor),
            RankAction::ReadLog if self.log_up => {
                self.tell_rank(rank, RankEvent::LogRead(self.newest_lead));
            }
            RankAction::ReadLog => {}
            RankAction::Reply(message) | RankAction::SendLeader(message) => {
                self.post(mail_to(asker, message));
            }
            RankAction::SendRank(other, message) => self.post(Mail::ToRank(other, message)),
            RankAction::RunWindow(fencing, window) => target.run(fencing, window),
            RankAction::LoadMap(map, _) => self.loads.push((rank, map)),
            RankAction::DropMap(id) => {
                target.loaded.retain(|map| map.id() != id);
                self.loads
                    .retain(|(of_rank, map)| *of_rank != rank || map.id() != id);
            }
        }
    }

    /// Runs without faults: all messages arrive, targets run, loads finish.
    fn run_calmly(&mut self, rounds: usize) {
        for _ in 0..rounds {
            while !self.mail.is_empty() {
                self.deliver(0);
            }
            (0..RANKS).for_each(|rank| self.start_window(rank));
            self.finish_load(0);
            self.pass(50);
            self.check_one_map_per_window();
        }
    }

    fn newest_window(&self) -> u64 {
        let newest = self.targets.iter().filter_map(|target| target.running);
        newest.map(|running| running.window.0).max().unwrap_or(0)
    }
}

fn mail_to(asker: Option<u16>, message: StepMessage) -> Mail {
    match message {
        StepMessage::RejoinAnswer { .. } => Mail::ToRank(asker.unwrap(), message),
        StepMessage::Answer { fencing, .. }
        | StepMessage::Prepared { fencing, .. }
        | StepMessage::Progress { fencing, .. }
        | StepMessage::Loaded { fencing, .. }
        | StepMessage::Refused { fencing, .. } => Mail::ToLeader(fencing, message),
        other => panic!("not an answer: {other:?}"),
    }
}

fn any_step() -> impl Strategy<Value = WorldStep> {
    prop_oneof![
        60 => any::<u16>().prop_map(WorldStep::Deliver),
        2 => any::<u16>().prop_map(WorldStep::Duplicate),
        2 => any::<u16>().prop_map(WorldStep::Drop),
        10 => (0_u16..120).prop_map(WorldStep::Pass),
        12 => any::<u16>().prop_map(WorldStep::StartWindow),
        6 => any::<u16>().prop_map(WorldStep::FinishLoad),
        1 => any::<u16>().prop_map(WorldStep::FailLoad),
        1 => any::<u16>().prop_map(WorldStep::RestartAgent),
        1 => Just(WorldStep::RestartAllAgents),
        1 => any::<u16>().prop_map(WorldStep::ReplaceTarget),
        2 => Just(WorldStep::Lead),
        4 => any::<u16>().prop_map(WorldStep::SwitchMap),
        1 => any::<u16>().prop_map(WorldStep::StopLoad),
        1 => Just(WorldStep::LogDown),
        2 => Just(WorldStep::LogUp),
    ]
}

fn run_config() -> Config {
    let cases = std::env::var("COMFREYHEAD_CASES")
        .ok()
        .and_then(|cases| cases.parse().ok());
    Config {
        cases: cases.unwrap_or(100),
        rng_seed: RngSeed::Fixed(8),
        failure_persistence: None,
        ..Config::default()
    }
}

/// Creates a world whose group runs windows on a first map under its first leader.
fn running_world() -> World {
    let mut world = World::new();
    world.run_calmly(10);
    world.lead();
    world.run_calmly(10);
    world.switch_map(0);
    world.run_calmly(40);
    world
}

proptest! {
    #![proptest_config(run_config())]

    #[test]
    fn no_window_runs_on_two_maps(steps in prop::collection::vec(any_step(), 100..1_200)) {
        let mut world = running_world();
        for step in &steps {
            world.take(step);
        }
    }

    #[test]
    fn group_goes_on_after_faults(steps in prop::collection::vec(any_step(), 50..400)) {
        let mut world = running_world();
        for step in &steps {
            world.take(step);
        }
        world.log_up = true;
        world.run_calmly(40);
        world.lead();
        world.run_calmly(100);
        let before = world.newest_window();
        world.switch_map(world.leaders.len() - 1);
        let switched = world.leaders.last().unwrap().next_map_number();
        world.run_calmly(100);
        let running: Vec<_> = world.targets.iter().filter_map(|target| target.running).collect();
        prop_assert!(before + 5 <= world.newest_window(), "stuck at window {before}");
        prop_assert_eq!(running.len(), usize::from(RANKS));
        prop_assert!(running.iter().all(|running| running.map.number.next() == switched));
    }
}

#[test]
fn windows_follow_each_other_while_the_log_is_away() {
    // Arrange
    let mut world = running_world();
    world.log_up = false;
    let before = world.newest_window();

    // Act
    world.switch_map(0);
    world.run_calmly(60);

    // Assert
    assert!(before + 10 <= world.newest_window());
    assert!(
        world
            .targets
            .iter()
            .all(|target| target.running.unwrap().map.number.0 == 2)
    );
}

#[test]
fn stopped_load_leaves_the_group_on_its_map() {
    // Arrange
    let mut world = running_world();
    world.switch_map(0);
    while !world.mail.is_empty() {
        world.deliver(0);
    }

    // Act
    world.tell_some_leader(0, LeaderEvent::StopLoad);
    world.run_calmly(40);

    // Assert
    assert!(
        world
            .targets
            .iter()
            .all(|target| target.running.unwrap().map.number.0 == 1)
    );
    assert!(world.targets.iter().all(|target| target.loaded.len() == 1));
    assert!(world.loads.is_empty());
    assert_eq!(world.leaders[0].next_map_number(), MapNumber(3));
}

#[test]
fn agents_that_all_restart_refuse_every_leader_up_to_the_newest_record() {
    // Arrange
    let mut world = running_world();

    // Act
    world.take(&WorldStep::RestartAllAgents);
    world.run_calmly(20);
    let before = world.newest_window();
    world.run_calmly(20);

    // Assert
    assert_eq!(world.newest_window(), before);
    world.lead();
    world.run_calmly(20);
    assert!(before < world.newest_window());
}

#[test]
fn restarted_agent_waits_for_the_ranks_that_it_needs() {
    // Arrange
    let mut follower = new_follower(0, 1);
    let now = Timestamp::default();
    follower.on_event(now, RankEvent::Start);
    follower.on_event(now, RankEvent::TargetRead(TargetState::default()));
    follower.on_event(now, RankEvent::Message(rejoin_answer(1, 4)));

    // Act
    let early = follower.on_event(now, ask(9));
    follower.on_event(now, RankEvent::Message(rejoin_answer(2, 7)));
    let low = follower.on_event(now, ask(6));
    let high = follower.on_event(now, ask(7));

    // Assert
    assert_eq!(refusal(&early), Some(RefuseReason::Rejoining));
    assert_eq!(refusal(&low), Some(RefuseReason::Fenced(FencingNumber(7))));
    assert_eq!(refusal(&high), None);
}

#[test]
fn incarnation_rises_above_a_known_one() {
    // Arrange
    let mut follower = new_follower(0, 1);
    let now = Timestamp::default();
    follower.on_event(now, RankEvent::Start);
    follower.on_event(now, RankEvent::TargetRead(TargetState::default()));

    // Act
    let answer = StepMessage::RejoinAnswer {
        rank: 1,
        incarnation: ProcessIncarnation(1),
        asker: ProcessIncarnation(5),
        promise: RejoinPromise::Floor(FencingNumber(1)),
    };
    let actions = follower.on_event(now, RankEvent::Message(answer));

    // Assert
    assert_eq!(follower.incarnation(), ProcessIncarnation(6));
    assert_eq!(actions.len(), 2);
}

/// Found by the model: an answer from before a restart hides that the rank has started the
/// window on another map since.
#[test]
fn leader_whose_proposal_meets_another_map_stands_down() {
    // Arrange
    let mut leader = new_leader(2);
    let now = Timestamp::default();
    let (old, new) = (map_of(MapNumber(1), 0).id(), map_of(MapNumber(2), 1).id());
    leader.on_event(now, LeaderEvent::Start);
    for rank in 0..RANKS {
        leader.on_event(now, answer(rank, 1, window(1, old)));
    }
    assert_eq!(leader.newest_window(), Some(window(1, old)));

    // Act
    leader.on_event(now, answer(0, 2, window(2, new)));
    leader.on_event(now, answer(0, 2, window(2, new)));
    leader.on_event(now, answer(1, 1, window(1, old)));
    let actions = leader.on_event(now, answer(2, 1, window(1, old)));

    // Assert
    let steps_down = |action: &LeaderAction| matches!(action, LeaderAction::StepDown(_));
    assert!(actions.iter().any(steps_down), "{actions:?}");
}

#[test]
fn grant_with_other_incarnations_is_refused() {
    // Arrange
    let mut world = running_world();
    let window = world.followers[0].granted().unwrap();
    let known = [1, 2, 1].map(ProcessIncarnation);

    // Act
    let grant = StepMessage::Grant {
        fencing: FencingNumber(1),
        window,
        incarnations: incarnations_digest(&known),
    };
    let actions = world.followers[0].on_event(world.now, RankEvent::Message(grant));

    // Assert
    assert_eq!(refusal(&actions), Some(RefuseReason::OtherIncarnations));
}

fn window(number: u64, map: MapId) -> WindowMap {
    WindowMap {
        window: WindowNumber(number),
        map,
    }
}

fn answer(rank: u16, incarnation: u64, granted: WindowMap) -> LeaderEvent {
    LeaderEvent::Message(StepMessage::Answer {
        fencing: FencingNumber(2),
        rank,
        incarnation: ProcessIncarnation(incarnation),
        granted: Some(granted),
        running: Some(granted.window),
        loaded: SmallVec::from_iter([granted.map]),
        highest_map: granted.map.number,
    })
}

fn ask(fencing: u64) -> RankEvent {
    RankEvent::Message(StepMessage::Ask {
        fencing: FencingNumber(fencing),
    })
}

fn rejoin_answer(rank: u16, floor: u64) -> StepMessage {
    StepMessage::RejoinAnswer {
        rank,
        incarnation: ProcessIncarnation(1),
        asker: ProcessIncarnation(1),
        promise: RejoinPromise::Floor(FencingNumber(floor)),
    }
}

fn refusal(actions: &[RankAction]) -> Option<RefuseReason> {
    actions.iter().find_map(|action| match action {
        RankAction::Reply(StepMessage::Refused { reason, .. }) => Some(*reason),
        _ => None,
    })
}
