//! The task that leads a group's switches to other expert maps.

use std::net::SocketAddr;

use slog::{Logger, debug, info, warn};

use crate::catalog::EngineSpec;
use crate::expert::{
    LeaderAction, MapOrder, MapPlanner, OrderKind, PassClock, PlannedMap, PlannerInput, RankReport,
    RankView, SwitchLeader, SwitchPhase, is_counted,
};
use crate::peers::{PeerMessage, RankDetails, RankQuery, StoreTopic};
use crate::prelude::*;

use super::agent_run::AgentConfig;
use super::leader_table::{LeaderRow, add_window};
use super::order_sender::OrderSender;
use super::rank_link::RankLink;
use super::store_access::{CallError, StoreReply, StoreRequest, TargetReply, TargetRequest};

/// The time between two looks at the own rank while this agent does not lead.
const FOLLOW_PERIOD: Duration = Duration::from_millis(700);

/// The time between two looks at the own rank while the group that this agent led does not run.
const FORMING_PERIOD: Duration = Duration::from_millis(100);

/// The time between two questions for counts: a window that holds enough choices, and is short
/// against the seconds in which what is liked changes.
const COUNT_PERIOD: Duration = Duration::from_millis(250);

/// The time between two looks at a switch in progress: a fraction of a pass.
const SWITCH_PERIOD: Duration = Duration::from_millis(12);

/// The part of `COUNT_PERIOD` after which a map is planned without the counts still missing.
const COUNT_WAIT: f64 = 0.4;

/// The age of an answer at which it no longer tells a rank's state for a plan: two questions may
/// be lost.
const ANSWER_AGE: Duration = Duration::from_millis(600);

/// The time between two orders to hold a pass where the first was accepted: that in which the
/// keeper sees it.
const HOLD_GAP: Duration = Duration::from_millis(60);

/// The time between two reads of the roster while ranks are missing.
const ROSTER_PERIOD: Duration = Duration::from_secs(2);

/// What the task works with.
pub(super) struct Leader<TargetCall, StoreCall> {
    pub(super) config: Arc<AgentConfig>,
    pub(super) link: Arc<RankLink<TargetCall>>,
    pub(super) store_call: StoreCall,
    pub(super) sender: Arc<OrderSender<TargetCall>>,
    pub(super) log: Logger,
}

/// What the leader keeps between two looks.
#[derive(Default)]
struct LeaderMemory {
    switch: SwitchLeader,
    planner: MapPlanner,
    engine: Option<EngineSpec>,
    epoch: u64,
    asked_at: Option<Instant>,
    roster_at: Option<Instant>,
    counts_used: Option<Instant>,
    pass: PassClock,
    was_rank_0: bool,
    own_held: Vec<Vec<u16>>,
    own_counts: Arc<Vec<u32>>,
    /// The pass that a rank has accepted to hold, and when it did.
    hold: Option<(u64, Instant)>,
}

impl<TargetCall, TargetFuture, StoreCall, StoreFuture> Leader<TargetCall, StoreCall>
where
    TargetCall: Fn(SocketAddr, TargetRequest) -> TargetFuture + Clone + Send + Sync + 'static,
    TargetFuture: Future<Output = Result<TargetReply, CallError>> + Send + 'static,
    StoreCall: Fn(StoreRequest) -> StoreFuture,
    StoreFuture: Future<Output = Result<StoreReply, CallError>>,
{
    /// Leads the group while this agent is beside rank 0, for as long as the process runs.
    pub(super) async fn run(self) {
        let mut memory = LeaderMemory::default();
        loop {
            let pause = match self.link.report().await {
                Some(report) if report.rank == 0 && report.open => {
                    memory.was_rank_0 = true;
                    self.lead(&mut memory, report).await
                }
                _ if memory.was_rank_0 => FORMING_PERIOD,
                _ => FOLLOW_PERIOD,
            };
            tokio::time::sleep(pause).await;
        }
    }

    async fn lead(&self, memory: &mut LeaderMemory, own: RankReport) -> Duration {
        let now = Instant::now();
        if memory.epoch != own.epoch {
            info!(self.log, "leading"; "epoch" => own.epoch, "size" => own.size);
            memory.epoch = own.epoch;
            memory.planner.restart_counts();
            memory.pass = PassClock::default();
            memory.roster_at = None;
        }
        memory.pass.observe(own.step, now);
        let rows = self.sender.table.lock().ranks(&own);
        let n_missing = rows.iter().skip(1).filter(|row| row.is_none()).count();
        self.refresh(memory, n_missing, now).await;
        self.ask_counts(memory, &own, now).await;
        if memory.switch.is_idle() && n_missing == 0 {
            self.plan(memory, &own, &rows, now);
        }
        let mut views: Vec<Option<RankView>> = rows
            .iter()
            .map(|row| row.as_ref().and_then(|(_, row)| row.view.clone()))
            .collect();
        if let Some(first) = views.first_mut() {
            *first = Some(RankView {
                asked_at: now,
                report: own,
                life: self.config.life,
                verdict: None,
            });
        }
        let mut copies = Vec::new();
        for action in memory.switch.on_tick(&views, now) {
            match action {
                LeaderAction::Note(note) => {
                    info!(self.log, "switch"; "note" => note, "phase" => phase_label(&memory.switch));
                }
                LeaderAction::Ask(question) => {
                    let keeper = rows.get(SwitchLeader::keeper_rank(rows.len()));
                    if let Some(Some((agent, _))) = keeper {
                        let question = PeerMessage::MayArm(question);
                        // Asked again at the next look.
                        self.sender.send(*agent, &question).await;
                    }
                }
                LeaderAction::Order(0, order) => {
                    // The next look reads the state that the order left.
                    let _ = self.link.order(&order).await;
                }
                LeaderAction::Order(rank, order) => {
                    let Some(Some((agent, row))) = rows.get(usize::from(rank)) else {
                        continue;
                    };
                    match order.kind {
                        OrderKind::Prepare(..) => copies.push((*agent, row.target, order)),
                        // Given from here, so that the machine that holds a pass can release it
                        // while this one stands still.
                        OrderKind::Hold(step) => self.hold(memory, row.target, &order, step).await,
                        _ => {
                            self.sender.send_order(*agent, row.target, order, now).await;
                        }
                    }
                }
            }
        }
        self.sender.send_copies(copies, now).await;
        match memory.switch.is_idle() {
            true => COUNT_PERIOD / 8,
            false => SWITCH_PERIOD,
        }
    }

    /// Has a rank on another machine hold a pass.
    async fn hold(
        &self,
        memory: &mut LeaderMemory,
        target: SocketAddr,
        order: &MapOrder,
        step: u64,
    ) {
        let now = Instant::now();
        if memory
            .hold
            .is_some_and(|(held, at)| held == step && now < at + HOLD_GAP)
        {
            return;
        }
        let reply = (self.sender.target_call)(target, TargetRequest::Order(order.clone())).await;
        info!(self.log, "order"; "order" => "hold", "target" => %target, "epoch" => order.epoch,
            "hold" => step, "reply" => ?reply);
        if matches!(reply, Ok(TargetReply::Ordered(200 | 202))) {
            memory.hold = Some((step, now));
        }
    }

    /// Reads the engines' sizes and the targets where they are not known.
    async fn refresh(&self, memory: &mut LeaderMemory, n_missing: usize, now: Instant) {
        let is_due = memory.roster_at.is_none_or(|at| at + ROSTER_PERIOD <= now);
        let is_complete = n_missing == 0 && memory.engine.is_some();
        if is_complete || !is_due {
            return;
        }
        memory.roster_at = Some(now);
        if memory.engine.is_none()
            && let Ok(StoreReply::Records(delta)) =
                (self.store_call)(StoreRequest::Newest(StoreTopic::Operator)).await
        {
            memory.engine = self.engine_in(&delta.records);
        }
        match (self.store_call)(StoreRequest::Newest(StoreTopic::Targets)).await {
            Ok(StoreReply::Records(delta)) => {
                let decode = self.config.decoders.target;
                let targets: Vec<(SocketAddr, SocketAddr)> = delta
                    .records
                    .iter()
                    .filter_map(|record| decode(&record.key, record.value.as_ref()?).ok())
                    .filter(|entry| entry.service == self.config.service)
                    .filter(|entry| entry.address != self.config.target_address)
                    .map(|entry| (self.config.agent_of(entry.address), entry.address))
                    .collect();
                self.sender.table.lock().set_targets(&targets);
            }
            Ok(_) => {}
            Err(fault) => warn!(self.log, "store call failed"; "topic" => "targets",
                "fault" => %fault),
        }
    }

    fn engine_in(&self, records: &[crate::mirror::MirrorRecord]) -> Option<EngineSpec> {
        let decoders = &self.config.decoders;
        let record = records
            .iter()
            .find(|record| record.key == decoders.catalog_key)?;
        let catalog = (decoders.catalog)(record.value.as_ref()?).ok()?;
        catalog.services.get(&self.config.service)?.engine.clone()
    }

    /// Asks all ranks for their state, and some for their counts.
    async fn ask_counts(&self, memory: &mut LeaderMemory, own: &RankReport, now: Instant) {
        if memory.asked_at.is_some_and(|at| now < at + COUNT_PERIOD) {
            return;
        }
        memory.asked_at = Some(now);
        let agents = self.sender.table.lock().agents(own.epoch);
        for (agent, rank) in agents {
            let question = match rank {
                Some(rank) if is_counted(rank, own.size) => RankQuery::Counts,
                _ => RankQuery::State,
            };
            // A lost question is asked again a period later.
            self.sender.send(agent, &PeerMessage::Ask(question)).await;
        }
        let state = self.link.state(RankQuery::Counts).await;
        if let Some((_, RankDetails { held, window })) = state {
            memory.own_held = held;
            add_window(&mut memory.own_counts, &window);
        }
    }

    /// Plans the next map once the ranks have answered the last question.
    fn plan(
        &self,
        memory: &mut LeaderMemory,
        own: &RankReport,
        rows: &[Option<(SocketAddr, LeaderRow)>],
        now: Instant,
    ) {
        let Some(asked_at) = memory.asked_at.filter(|at| memory.counts_used != Some(*at)) else {
            return;
        };
        let Some(engine) = memory.engine.as_ref().filter(|engine| engine.sets != 0) else {
            return;
        };
        let others = || rows.iter().skip(1).flatten().map(|(_, row)| row);
        let has_answered = |row: &&LeaderRow| row.told_at.is_some_and(|at| asked_at <= at);
        let is_complete = others().all(|row| has_answered(&row));
        if !is_complete && now < asked_at + COUNT_PERIOD.mul_f64(COUNT_WAIT) {
            return;
        }
        memory.counts_used = Some(asked_at);
        let told = others().map(|row| {
            let is_counted = has_answered(&row) && !row.counts.is_empty();
            is_counted.then(|| row.counts.to_vec())
        });
        let counts: Vec<Option<Vec<u32>>> = std::iter::once(Some(memory.own_counts.to_vec()))
            .chain(told)
            .collect();
        memory.planner.observe(&counts);
        let held = others().filter(|row| row.told_at.is_some_and(|at| now < at + ANSWER_AGE));
        let held = held.filter_map(|row| row.held.as_ref());
        let held: Vec<Vec<Vec<u16>>> = std::iter::once(memory.own_held.clone())
            .chain(
                held.filter(|(version, _)| *version == own.version)
                    .map(|(_, held)| held.to_vec()),
            )
            .collect();
        debug!(self.log, "counts gathered"; "epoch" => own.epoch, "ranks" => rows.len(),
            "answered" => others().filter(has_answered).count(), "held" => held.len(),
            "age_ms" => (now - asked_at).as_millis() as u64,
            "distance" => memory.planner.last_distance());
        if held.len() < rows.len() {
            return;
        }
        let reports = || {
            let others = rows
                .iter()
                .flatten()
                .filter_map(|(_, row)| row.view.as_ref());
            std::iter::once(own).chain(others.map(|view| &view.report))
        };
        if reports().any(|report| report.armed.is_some()) {
            return;
        }
        let highest = reports()
            .flat_map(|report| [Some(report.version), report.prepared.map(|map| map.version)])
            .flatten()
            .max();
        let paces: Vec<f32> = std::iter::once(own.pace)
            .chain(rows.iter().skip(1).map(|row| pace_of(row.as_ref())))
            .collect();
        let input = PlannerInput {
            engine,
            paces: &paces,
            held: &held,
            version: SwitchLeader::next_version(highest.unwrap_or(0), self.config.life),
            pass_s: memory.pass.pass_s(),
        };
        let started_at = std::time::Instant::now();
        let planned = match memory.planner.plan(&input) {
            Ok(Some(planned)) => planned,
            Ok(None) if memory.switch.needs_map() => PlannedMap::unchanged(&input),
            Ok(None) => return,
            Err(err) => {
                warn!(self.log, "no map can be planned"; "epoch" => own.epoch,
                    "reason" => %err);
                return;
            }
        };
        info!(self.log, "map planned"; "version" => planned.version, "epoch" => own.epoch,
            "step" => own.step, "skew_before" => planned.skew_before,
            "skew_after" => planned.skew_after, "pass_s" => memory.pass.pass_s(), "copies" => planned.copies, "distance" => memory.planner.last_distance(),
            "planning_us" => started_at.elapsed().as_micros() as u64);
        memory.switch.begin(Arc::new(planned), now);
    }
}

fn pace_of(row: Option<&(SocketAddr, LeaderRow)>) -> f32 {
    let view = row.and_then(|(_, row)| row.view.as_ref());
    view.map_or(1.0, |view| view.report.pace)
}

fn phase_label(switch: &SwitchLeader) -> String {
    match switch.phase() {
        SwitchPhase::Idle => "idle".to_owned(),
        SwitchPhase::Preparing(planned, _) => format!("preparing {}", planned.version),
        SwitchPhase::Holding(version, step) => format!("holding {step} for {version}"),
        SwitchPhase::Arming(version, step) => format!("arming {version} at {step}"),
        SwitchPhase::Releasing(step) => format!("releasing {step}"),
    }
}
