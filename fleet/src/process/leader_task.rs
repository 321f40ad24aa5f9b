//! The task that coordinates a group's switches between expert maps.

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
use super::store_access::{
    CallError, StoreAnswer, StoreReply, StoreRequest, TargetReply, TargetRequest,
};

/// How often the local rank is polled while this agent does not lead and has not led before.
const FOLLOWER_POLL_PERIOD: Duration = Duration::from_millis(700);

/// How often the local rank is polled after this agent has led, while its group does not run.
const FORMING_POLL_PERIOD: Duration = Duration::from_millis(100);

/// How often ranks are queried for expert counts: a window of this length holds enough
/// choices, and is short against the seconds in which expert popularity changes.
const COUNT_QUERY_PERIOD: Duration = Duration::from_millis(250);

/// How often a switch in progress is advanced: a fraction of a pass.
const SWITCH_TICK_PERIOD: Duration = Duration::from_millis(12);

/// The fraction of `COUNT_QUERY_PERIOD` after which a map is planned without the missing counts.
const COUNT_WAIT_FRACTION: f64 = 0.4;

/// The age from which a rank's answer is too old for planning: long enough that two queries may be
/// lost.
const MAX_ANSWER_AGE: Duration = Duration::from_millis(600);

/// How long an accepted order to hold a pass is not repeated: within this time the keeper reads the
/// held pass from its rank.
const HOLD_RESEND_DELAY: Duration = Duration::from_millis(60);

/// How often the target list is read while ranks or the engine's spec are missing.
const ROSTER_READ_PERIOD: Duration = Duration::from_secs(2);

/// The task that coordinates map switches, and its dependencies.
pub(super) struct LeaderTask<TargetCall, StoreCall> {
    pub(super) config: Arc<AgentConfig>,
    pub(super) link: Arc<RankLink<TargetCall>>,
    pub(super) store_call: StoreCall,
    pub(super) sender: Arc<OrderSender<TargetCall>>,
    pub(super) log: Logger,
}

/// The state that the leader keeps between two ticks.
#[derive(Default)]
struct LeaderState {
    switch: SwitchLeader,
    planner: MapPlanner,
    engine: Option<EngineSpec>,
    epoch: u64,
    asked_at: Option<Instant>,
    roster_at: Option<Instant>,
    /// The time of the query whose answers the planner has used.
    counts_used_at: Option<Instant>,
    pass: PassClock,
    was_rank_0: bool,
    own_held: Vec<Vec<u16>>,
    own_counts: Arc<Vec<u32>>,
    /// The pass that a rank has accepted to hold, and the time of acceptance.
    hold: Option<(u64, Instant)>,
}

impl<TargetCall, TargetFuture, StoreCall, StoreFuture> LeaderTask<TargetCall, StoreCall>
where
    TargetCall: Fn(SocketAddr, TargetRequest) -> TargetFuture + Clone + Send + Sync + 'static,
    TargetFuture: Future<Output = Result<TargetReply, CallError>> + Send + 'static,
    StoreCall: Fn(StoreRequest) -> StoreFuture,
    StoreFuture: Future<Output = StoreAnswer>,
{
    /// Leads the group whenever this agent runs beside rank 0; never returns.
    pub(super) async fn run(self) {
        let mut state = LeaderState::default();
        loop {
            let pause = match self.link.report().await {
                Some(report) if report.rank == 0 && report.open => {
                    state.was_rank_0 = true;
                    self.lead(&mut state, report).await
                }
                _ if state.was_rank_0 => FORMING_POLL_PERIOD,
                _ => FOLLOWER_POLL_PERIOD,
            };
            tokio::time::sleep(pause).await;
        }
    }

    async fn lead(&self, state: &mut LeaderState, own: RankReport) -> Duration {
        let now = Instant::now();
        if state.epoch != own.epoch {
            info!(self.log, "leading"; "epoch" => own.epoch, "size" => own.size);
            state.epoch = own.epoch;
            state.planner.restart_counts();
            state.pass = PassClock::default();
            state.roster_at = None;
        }
        state.pass.observe(own.step, now);
        let rows = self.sender.table.lock().ranks(&own);
        let n_missing = rows.iter().skip(1).filter(|row| row.is_none()).count();
        self.refresh(state, n_missing, now).await;
        self.query_counts(state, &own, now).await;
        if state.switch.is_idle() && n_missing == 0 {
            self.plan(state, &own, &rows, now);
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
        for action in state.switch.on_tick(&views, now) {
            match action {
                LeaderAction::Note(note) => {
                    info!(self.log, "switch"; "note" => note, "phase" => phase_label(&state.switch));
                }
                LeaderAction::Ask(query) => {
                    let keeper = rows.get(SwitchLeader::keeper_rank(rows.len()));
                    if let Some(Some((agent, _))) = keeper {
                        let query = PeerMessage::MayArm(query);
                        // A lost query is repeated at the next tick.
                        self.sender.send(*agent, &query).await;
                    }
                }
                LeaderAction::Order(0, order) => {
                    // The next tick reads the resulting state.
                    let _ = self.link.order(&order).await;
                }
                LeaderAction::Order(rank, order) => {
                    let Some(Some((agent, row))) = rows.get(usize::from(rank)) else {
                        continue;
                    };
                    match order.kind {
                        OrderKind::Prepare(..) => copies.push((*agent, row.target, order)),
                        // Sent to the target directly, not through its agent, so that the
                        // machine that holds the pass can release it while this one is stalled.
                        OrderKind::Hold(step) => self.hold(state, row.target, &order, step).await,
                        _ => {
                            self.sender.send_order(*agent, row.target, order, now).await;
                        }
                    }
                }
            }
        }
        self.sender.send_copies(copies, now).await;
        match state.switch.is_idle() {
            true => COUNT_QUERY_PERIOD / 8,
            false => SWITCH_TICK_PERIOD,
        }
    }

    /// Orders a rank on another machine to hold a pass.
    async fn hold(&self, state: &mut LeaderState, target: SocketAddr, order: &MapOrder, step: u64) {
        let now = Instant::now();
        if state
            .hold
            .is_some_and(|(held, at)| held == step && now < at + HOLD_RESEND_DELAY)
        {
            return;
        }
        let reply = (self.sender.target_call)(target, TargetRequest::Order(order.clone())).await;
        info!(self.log, "order"; "order" => "hold", "target" => %target, "epoch" => order.epoch,
            "hold" => step, "reply" => ?reply);
        if matches!(reply, Ok(TargetReply::Ordered(200 | 202))) {
            state.hold = Some((step, now));
        }
    }

    /// Reads the engine's spec and the target list while either is incomplete.
    async fn refresh(&self, state: &mut LeaderState, n_missing: usize, now: Instant) {
        let is_due = state
            .roster_at
            .is_none_or(|at| at + ROSTER_READ_PERIOD <= now);
        let is_complete = n_missing == 0 && state.engine.is_some();
        if is_complete || !is_due {
            return;
        }
        state.roster_at = Some(now);
        if state.engine.is_none() {
            let answer = (self.store_call)(StoreRequest::Newest(StoreTopic::Operator)).await;
            match answer.result {
                Ok(StoreReply::Records(delta)) => state.engine = self.find_engine(&delta.records),
                Ok(_) => {}
                Err(err) => warn!(self.log, "store call failed"; "topic" => "operator",
                    "fault" => %err),
            }
        }
        let answer = (self.store_call)(StoreRequest::Newest(StoreTopic::Targets)).await;
        match answer.result {
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
            Err(err) => warn!(self.log, "store call failed"; "topic" => "targets",
                "fault" => %err),
        }
    }

    fn find_engine(&self, records: &[crate::mirror::MirrorRecord]) -> Option<EngineSpec> {
        let decoders = &self.config.decoders;
        let record = records
            .iter()
            .find(|record| record.key == decoders.catalog_key)?;
        let catalog = (decoders.catalog)(record.value.as_ref()?).ok()?;
        catalog.services.get(&self.config.service)?.engine.clone()
    }

    /// Queries all ranks for their state, and some for their expert counts.
    async fn query_counts(&self, state: &mut LeaderState, own: &RankReport, now: Instant) {
        if state
            .asked_at
            .is_some_and(|at| now < at + COUNT_QUERY_PERIOD)
        {
            return;
        }
        state.asked_at = Some(now);
        let agents = self.sender.table.lock().agents(own.epoch);
        for (agent, rank) in agents {
            let query = match rank {
                Some(rank) if is_counted(rank, own.size) => RankQuery::Counts,
                _ => RankQuery::State,
            };
            // A lost query is repeated after `COUNT_QUERY_PERIOD`.
            self.sender.send(agent, &PeerMessage::Ask(query)).await;
        }
        let answer = self.link.state(RankQuery::Counts).await;
        if let Some((_, RankDetails { held, window })) = answer {
            state.own_held = held;
            add_window(&mut state.own_counts, &window);
        }
    }

    /// Plans the next map once the ranks have answered the last query or the wait is over.
    fn plan(
        &self,
        state: &mut LeaderState,
        own: &RankReport,
        rows: &[Option<(SocketAddr, LeaderRow)>],
        now: Instant,
    ) {
        let Some(asked_at) = state
            .asked_at
            .filter(|at| state.counts_used_at != Some(*at))
        else {
            return;
        };
        let Some(engine) = state.engine.as_ref().filter(|engine| engine.sets != 0) else {
            return;
        };
        let others = || rows.iter().skip(1).flatten().map(|(_, row)| row);
        let has_answered = |row: &&LeaderRow| row.answered_at.is_some_and(|at| asked_at <= at);
        let is_complete = others().all(|row| has_answered(&row));
        if !is_complete && now < asked_at + COUNT_QUERY_PERIOD.mul_f64(COUNT_WAIT_FRACTION) {
            return;
        }
        state.counts_used_at = Some(asked_at);
        let other_counts = others().map(|row| {
            let is_counted = has_answered(&row) && !row.counts.is_empty();
            is_counted.then(|| row.counts.to_vec())
        });
        let counts: Vec<Option<Vec<u32>>> = std::iter::once(Some(state.own_counts.to_vec()))
            .chain(other_counts)
            .collect();
        state.planner.observe(&counts);
        let held =
            others().filter(|row| row.answered_at.is_some_and(|at| now < at + MAX_ANSWER_AGE));
        let held = held.filter_map(|row| row.held.as_ref());
        let held: Vec<Vec<Vec<u16>>> = std::iter::once(state.own_held.clone())
            .chain(
                held.filter(|(version, _)| *version == own.version)
                    .map(|(_, held)| held.to_vec()),
            )
            .collect();
        debug!(self.log, "counts gathered"; "epoch" => own.epoch, "ranks" => rows.len(),
            "answered" => others().filter(has_answered).count(), "held" => held.len(),
            "age_ms" => (now - asked_at).as_millis() as u64,
            "distance" => state.planner.last_distance());
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
            pass_s: state.pass.pass_s(),
        };
        let started_at = std::time::Instant::now();
        let planned = match state.planner.plan(&input) {
            Ok(Some(planned)) => planned,
            Ok(None) if state.switch.needs_map() => PlannedMap::unchanged(&input),
            Ok(None) => return,
            Err(err) => {
                warn!(self.log, "no map can be planned"; "epoch" => own.epoch,
                    "reason" => %err);
                return;
            }
        };
        info!(self.log, "map planned"; "version" => planned.version, "epoch" => own.epoch,
            "step" => own.step, "skew_before" => planned.skew_before,
            "skew_after" => planned.skew_after, "pass_s" => state.pass.pass_s(), "copies" => planned.copies, "distance" => state.planner.last_distance(),
            "planning_us" => started_at.elapsed().as_micros() as u64);
        state.switch.begin(Arc::new(planned), now);
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
