//! Step windows: no window runs on two maps, and the group makes progress again after faults.

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
const MAX_IN_FLIGHT: usize = 300;

/// One step of a random simulation. Numbers select among the existing messages, ranks and so on.
#[derive(Clone, Debug)]
enum SimulationStep {
    Deliver(u16),
    Duplicate(u16),
    Drop(u16),
    AdvanceTime(u16),
    StartWindow(u16),
    FinishLoad(u16),
    FailLoad(u16),
    RestartAgent(u16),
    RestartAllAgents,
    ReplaceTarget(u16),
    ElectLeader,
    SwitchMap(u16),
    StopLoad(u16),
    LogDown,
    LogUp,
}

#[derive(Clone, Debug)]
enum Envelope {
    ToRank(u16, StepMessage),
    ToLeader(FencingNumber, StepMessage),
}

#[derive(Clone, Debug)]
struct SimulatedTarget {
    checks: bool,
    floor: FencingNumber,
    running: Option<WindowMap>,
    queued: Option<WindowMap>,
    loaded: Vec<Arc<ExpertMap>>,
    history: Vec<WindowMap>,
}

struct Simulation {
    now: Timestamp,
    followers: Vec<RankFollower>,
    targets: Vec<SimulatedTarget>,
    loads: Vec<(u16, Arc<ExpertMap>)>,
    leaders: Vec<GroupLeader>,
    in_flight: VecDeque<Envelope>,
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

/// Creates a map whose slots are rotated by `rotation`.
fn map_of(number: MapNumber, rotation: u16) -> Arc<ExpertMap> {
    let slots = (0..9).map(|slot| (slot + rotation) % 6).collect();
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

fn new_target(rank: u16) -> SimulatedTarget {
    SimulatedTarget {
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

impl SimulatedTarget {
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

impl Simulation {
    fn new() -> Self {
        let mut simulation = Self {
            now: Timestamp::from_millis(1),
            followers: (0..RANKS).map(|rank| new_follower(rank, 1)).collect(),
            targets: (0..RANKS).map(new_target).collect(),
            loads: Vec::new(),
            leaders: Vec::new(),
            in_flight: VecDeque::new(),
            newest_lead: FencingNumber(0),
            log_up: true,
            n_maps: 0,
        };
        (0..RANKS).for_each(|rank| simulation.notify_rank(rank, RankEvent::Start));
        simulation
    }

    fn apply(&mut self, step: &SimulationStep) {
        match *step {
            SimulationStep::Deliver(choice) => self.deliver(usize::from(choice)),
            SimulationStep::Duplicate(choice) => self.duplicate(usize::from(choice)),
            SimulationStep::Drop(choice) => drop(self.remove_message(usize::from(choice))),
            SimulationStep::AdvanceTime(millis) => self.advance_time(u64::from(millis)),
            SimulationStep::StartWindow(rank) => self.start_window(rank % RANKS),
            SimulationStep::FinishLoad(choice) => self.finish_load(usize::from(choice)),
            SimulationStep::FailLoad(choice) => self.fail_load(usize::from(choice)),
            SimulationStep::RestartAgent(rank) => self.restart_agent(rank % RANKS),
            SimulationStep::RestartAllAgents => {
                (0..RANKS).for_each(|rank| self.restart_agent(rank))
            }
            SimulationStep::ReplaceTarget(rank) => self.replace_target(rank % RANKS),
            SimulationStep::ElectLeader => self.elect_leader(),
            SimulationStep::SwitchMap(choice) => self.switch_map(usize::from(choice)),
            SimulationStep::StopLoad(choice) => {
                self.notify_some_leader(choice, LeaderEvent::StopLoad)
            }
            SimulationStep::LogDown => self.log_up = false,
            SimulationStep::LogUp => self.log_up = true,
        }
        self.check_one_map_per_window();
    }

    /// Checks the invariant independently of the assertions in the state machines.
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

    fn remove_message(&mut self, choice: usize) -> Option<Envelope> {
        let n_in_flight = self.in_flight.len();
        self.in_flight.remove(choice % n_in_flight.max(1))
    }

    fn deliver(&mut self, choice: usize) {
        match self.remove_message(choice) {
            Some(Envelope::ToRank(rank, message)) => {
                self.notify_rank(rank, RankEvent::Message(message));
            }
            Some(Envelope::ToLeader(fencing, message)) => {
                self.notify_leader(fencing, LeaderEvent::Message(message));
            }
            None => {}
        }
    }

    fn duplicate(&mut self, choice: usize) {
        let n_in_flight = self.in_flight.len();
        if let Some(envelope) = self.in_flight.get(choice % n_in_flight.max(1)).cloned() {
            self.enqueue(envelope);
        }
    }

    fn enqueue(&mut self, envelope: Envelope) {
        self.in_flight.push_back(envelope);
        if MAX_IN_FLIGHT < self.in_flight.len() {
            self.in_flight.pop_front();
        }
    }

    fn advance_time(&mut self, millis: u64) {
        self.now = self.now + Duration::from_millis(millis);
        (0..RANKS).for_each(|rank| self.notify_rank(rank, RankEvent::Tick));
        let fencings: Vec<_> = self.leaders.iter().map(GroupLeader::fencing).collect();
        for fencing in fencings {
            self.notify_leader(fencing, LeaderEvent::Tick);
        }
    }

    fn start_window(&mut self, rank: u16) {
        if let Some(window) = self.targets[usize::from(rank)].start_queued() {
            self.notify_rank(rank, RankEvent::WindowStarted(window));
        }
    }

    fn finish_load(&mut self, choice: usize) {
        if self.loads.is_empty() {
            return;
        }
        let (rank, map) = self.loads.swap_remove(choice % self.loads.len());
        let id = map.id();
        self.targets[usize::from(rank)].loaded.push(map);
        self.notify_rank(rank, RankEvent::MapLoaded(id));
    }

    fn fail_load(&mut self, choice: usize) {
        if self.loads.is_empty() {
            return;
        }
        let (rank, map) = self.loads.swap_remove(choice % self.loads.len());
        self.notify_rank(rank, RankEvent::LoadFailed(map.id()));
    }

    fn restart_agent(&mut self, rank: u16) {
        let incarnation = self.followers[usize::from(rank)].incarnation().next();
        self.followers[usize::from(rank)] = new_follower(rank, incarnation.0);
        self.loads.retain(|(of_rank, _)| *of_rank != rank);
        self.notify_rank(rank, RankEvent::Start);
    }

    fn replace_target(&mut self, rank: u16) {
        self.targets[usize::from(rank)] = new_target(rank);
        self.restart_agent(rank);
    }

    fn elect_leader(&mut self) {
        if !self.log_up {
            return;
        }
        self.newest_lead = self.newest_lead.next();
        self.leaders.push(new_leader(self.newest_lead.0));
        if MAX_LEADERS < self.leaders.len() {
            self.leaders.remove(0);
        }
        self.notify_leader(self.newest_lead, LeaderEvent::Start);
    }

    fn switch_map(&mut self, choice: usize) {
        if self.leaders.is_empty() {
            return;
        }
        let leader = &self.leaders[choice % self.leaders.len()];
        let fencing = leader.fencing();
        self.n_maps += 1;
        let map = map_of(leader.next_map_number(), self.n_maps);
        self.notify_leader(fencing, LeaderEvent::SwitchMap(map));
    }

    fn notify_some_leader(&mut self, choice: u16, event: LeaderEvent) {
        if self.leaders.is_empty() {
            return;
        }
        let fencing = self.leaders[usize::from(choice) % self.leaders.len()].fencing();
        self.notify_leader(fencing, event);
    }

    fn notify_leader(&mut self, fencing: FencingNumber, event: LeaderEvent) {
        let leader = self
            .leaders
            .iter_mut()
            .find(|leader| leader.fencing() == fencing);
        let Some(leader) = leader else { return };
        for action in leader.on_event(self.now, event) {
            match action {
                LeaderAction::Send(rank, message) => self.enqueue(Envelope::ToRank(rank, message)),
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
            self.notify_leader(fencing, LeaderEvent::MapFound(map));
        }
    }

    fn notify_rank(&mut self, rank: u16, event: RankEvent) {
        let asker = match &event {
            RankEvent::Message(StepMessage::Rejoin { rank, .. }) => Some(*rank),
            _ => None,
        };
        let follower = &mut self.followers[usize::from(rank)];
        for action in follower.on_event(self.now, event) {
            self.execute(rank, asker, action);
        }
    }

    fn execute(&mut self, rank: u16, asker: Option<u16>, action: RankAction) {
        let target = &mut self.targets[usize::from(rank)];
        match action {
            RankAction::ReadTarget => {
                let state = target.state();
                self.notify_rank(rank, RankEvent::TargetRead(state));
            }
            RankAction::FenceTarget(floor) => target.floor = target.floor.max(floor),
            RankAction::ReadLog if self.log_up => {
                self.notify_rank(rank, RankEvent::LogRead(self.newest_lead));
            }
            RankAction::ReadLog => {}
            RankAction::Reply(message) | RankAction::SendLeader(message) => {
                self.enqueue(envelope_to(asker, message));
            }
            RankAction::SendRank(other, message) => self.enqueue(Envelope::ToRank(other, message)),
            RankAction::RunWindow(fencing, window) => target.run(fencing, window),
            RankAction::LoadMap(map, _) => self.loads.push((rank, map)),
            RankAction::DropMap(id) => {
                target.loaded.retain(|map| map.id() != id);
                self.loads
                    .retain(|(of_rank, map)| *of_rank != rank || map.id() != id);
            }
        }
    }

    /// Runs without faults: all messages arrive, targets run their windows, and loads finish.
    fn run_without_faults(&mut self, rounds: usize) {
        for _ in 0..rounds {
            while !self.in_flight.is_empty() {
                self.deliver(0);
            }
            (0..RANKS).for_each(|rank| self.start_window(rank));
            self.finish_load(0);
            self.advance_time(50);
            self.check_one_map_per_window();
        }
    }

    fn newest_window(&self) -> u64 {
        let newest = self.targets.iter().filter_map(|target| target.running);
        newest.map(|running| running.window.0).max().unwrap_or(0)
    }
}

fn envelope_to(asker: Option<u16>, message: StepMessage) -> Envelope {
    match message {
        StepMessage::RejoinAnswer { .. } => Envelope::ToRank(asker.unwrap(), message),
        StepMessage::Answer { fencing, .. }
        | StepMessage::Prepared { fencing, .. }
        | StepMessage::Progress { fencing, .. }
        | StepMessage::Loaded { fencing, .. }
        | StepMessage::Refused { fencing, .. } => Envelope::ToLeader(fencing, message),
        other => panic!("not an answer: {other:?}"),
    }
}

fn any_step() -> impl Strategy<Value = SimulationStep> {
    prop_oneof![
        60 => any::<u16>().prop_map(SimulationStep::Deliver),
        2 => any::<u16>().prop_map(SimulationStep::Duplicate),
        2 => any::<u16>().prop_map(SimulationStep::Drop),
        10 => (0_u16..120).prop_map(SimulationStep::AdvanceTime),
        12 => any::<u16>().prop_map(SimulationStep::StartWindow),
        6 => any::<u16>().prop_map(SimulationStep::FinishLoad),
        1 => any::<u16>().prop_map(SimulationStep::FailLoad),
        1 => any::<u16>().prop_map(SimulationStep::RestartAgent),
        1 => Just(SimulationStep::RestartAllAgents),
        1 => any::<u16>().prop_map(SimulationStep::ReplaceTarget),
        2 => Just(SimulationStep::ElectLeader),
        4 => any::<u16>().prop_map(SimulationStep::SwitchMap),
        1 => any::<u16>().prop_map(SimulationStep::StopLoad),
        1 => Just(SimulationStep::LogDown),
        2 => Just(SimulationStep::LogUp),
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

/// Creates a simulation whose group runs windows on a first map under its first leader.
fn running_simulation() -> Simulation {
    let mut simulation = Simulation::new();
    simulation.run_without_faults(10);
    simulation.elect_leader();
    simulation.run_without_faults(10);
    simulation.switch_map(0);
    simulation.run_without_faults(40);
    simulation
}

proptest! {
    #![proptest_config(run_config())]

    #[test]
    fn no_window_runs_on_two_maps(steps in prop::collection::vec(any_step(), 100..1_200)) {
        let mut simulation = running_simulation();
        for step in &steps {
            simulation.apply(step);
        }
    }

    #[test]
    fn group_goes_on_after_faults(steps in prop::collection::vec(any_step(), 50..400)) {
        let mut simulation = running_simulation();
        for step in &steps {
            simulation.apply(step);
        }
        simulation.log_up = true;
        simulation.run_without_faults(40);
        simulation.elect_leader();
        simulation.run_without_faults(100);
        let before = simulation.newest_window();
        simulation.switch_map(simulation.leaders.len() - 1);
        let switched = simulation.leaders.last().unwrap().next_map_number();
        simulation.run_without_faults(100);
        let running: Vec<_> = simulation
            .targets
            .iter()
            .filter_map(|target| target.running)
            .collect();
        prop_assert!(before + 5 <= simulation.newest_window(), "stuck at window {before}");
        prop_assert_eq!(running.len(), usize::from(RANKS));
        prop_assert!(running.iter().all(|running| running.map.number.next() == switched));
    }
}

#[test]
fn windows_follow_each_other_while_the_log_is_away() {
    // Arrange
    let mut simulation = running_simulation();
    simulation.log_up = false;
    let before = simulation.newest_window();

    // Act
    simulation.switch_map(0);
    simulation.run_without_faults(60);

    // Assert
    assert!(before + 10 <= simulation.newest_window());
    assert!(
        simulation
            .targets
            .iter()
            .all(|target| target.running.unwrap().map.number.0 == 2)
    );
}

#[test]
fn stopped_load_leaves_the_group_on_its_map() {
    // Arrange
    let mut simulation = running_simulation();
    simulation.switch_map(0);
    while !simulation.in_flight.is_empty() {
        simulation.deliver(0);
    }

    // Act
    simulation.notify_some_leader(0, LeaderEvent::StopLoad);
    simulation.run_without_faults(40);

    // Assert
    assert!(
        simulation
            .targets
            .iter()
            .all(|target| target.running.unwrap().map.number.0 == 1)
    );
    assert!(
        simulation
            .targets
            .iter()
            .all(|target| target.loaded.len() == 1)
    );
    assert!(simulation.loads.is_empty());
    assert_eq!(simulation.leaders[0].next_map_number(), MapNumber(3));
}

#[test]
fn agents_that_all_restart_refuse_every_leader_up_to_the_newest_record() {
    // Arrange
    let mut simulation = running_simulation();

    // Act
    simulation.apply(&SimulationStep::RestartAllAgents);
    simulation.run_without_faults(20);
    let before = simulation.newest_window();
    simulation.run_without_faults(20);

    // Assert
    assert_eq!(simulation.newest_window(), before);
    simulation.elect_leader();
    simulation.run_without_faults(20);
    assert!(before < simulation.newest_window());
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

/// Found by the model checker: an answer from before a restart hides that the rank has since
/// started the window on another map.
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
    let mut simulation = running_simulation();
    let window = simulation.followers[0].granted().unwrap();
    let known = [1, 2, 1].map(ProcessIncarnation);

    // Act
    let grant = StepMessage::Grant {
        fencing: FencingNumber(1),
        window,
        incarnations: incarnations_digest(&known),
    };
    let actions = simulation.followers[0].on_event(simulation.now, RankEvent::Message(grant));

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
