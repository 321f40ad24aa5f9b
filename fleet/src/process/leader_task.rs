//! The task that leads a group's switches to other expert maps.

use std::net::SocketAddr;

use parking_lot::Mutex;
use slog::{Logger, info, warn};
use tokio::net::UdpSocket;

use crate::catalog::EngineSpec;
use crate::expert::{
    LeaderAction, MapOrder, MapPlanner, PassClock, PlannedMap, PlannerInput, RankReport, RankView,
    SwitchLeader, SwitchPhase,
};
use crate::peers::{PeerMessage, RankDetails, StoreTopic};
use crate::prelude::*;

use super::agent_run::AgentConfig;
use super::leader_table::{LeaderRow, LeaderTable};
use super::rank_link::RankLink;
use super::store_access::{CallFault, StoreReply, StoreRequest, TargetReply, TargetRequest};

/// The time between two looks at the own rank while this agent does not lead.
const FOLLOW_PERIOD: Duration = Duration::from_millis(700);

/// The time between two looks at the own rank while the group that this agent led does not run.
const FORMING_PERIOD: Duration = Duration::from_millis(100);

/// The time between two questions for counts: a window that holds enough choices, and is short
/// against the seconds in which what is liked changes.
const COUNT_PERIOD: Duration = Duration::from_millis(250);

/// The time between two looks at a switch in progress: a fraction of a pass.
const SWITCH_PERIOD: Duration = Duration::from_millis(12);

/// The time between two messages to one agent about the same order.
const ORDER_GAP: Duration = Duration::from_millis(40);

/// The unanswered messages to an agent after which the leader orders its target directly.
const DIRECT_AFTER: u32 = 4;

/// The time between two reads of the roster while ranks are missing.
const ROSTER_PERIOD: Duration = Duration::from_secs(2);

/// What the task works with.
pub(super) struct Leader<TargetCall, StoreCall> {
    pub(super) config: Arc<AgentConfig>,
    pub(super) link: Arc<RankLink<TargetCall>>,
    pub(super) target_call: TargetCall,
    pub(super) store_call: StoreCall,
    pub(super) socket: Arc<UdpSocket>,
    pub(super) table: Arc<Mutex<LeaderTable>>,
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
    own: Option<RankDetails>,
}

impl<TargetCall, TargetFuture, StoreCall, StoreFuture> Leader<TargetCall, StoreCall>
where
    TargetCall: Fn(SocketAddr, TargetRequest) -> TargetFuture + Clone + Send + Sync + 'static,
    TargetFuture: Future<Output = Result<TargetReply, CallFault>> + Send + 'static,
    StoreCall: Fn(StoreRequest) -> StoreFuture,
    StoreFuture: Future<Output = Result<StoreReply, CallFault>>,
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
        let rows = self.table.lock().ranks(&own);
        let n_missing = rows.iter().skip(1).filter(|row| row.is_none()).count();
        self.refresh(memory, n_missing, now).await;
        self.ask_counts(memory, now).await;
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
            });
        }
        for action in memory.switch.on_tick(&views, now) {
            match action {
                LeaderAction::Note(note) => {
                    info!(self.log, "switch"; "note" => note, "phase" => phase_label(&memory.switch));
                }
                LeaderAction::Order(0, order) => {
                    // The next look reads the state that the order left.
                    let _ = self.link.order(&order).await;
                }
                LeaderAction::Order(rank, order) => {
                    self.send_order(rows.get(usize::from(rank)), order, now)
                        .await;
                }
            }
        }
        match memory.switch.is_idle() {
            true => COUNT_PERIOD / 8,
            false => SWITCH_PERIOD,
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
                self.table.lock().set_targets(&targets);
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

    async fn ask_counts(&self, memory: &mut LeaderMemory, now: Instant) {
        if memory.asked_at.is_some_and(|at| now < at + COUNT_PERIOD) {
            return;
        }
        memory.asked_at = Some(now);
        let ask = PeerMessage::Ask.encode();
        let agents = self.table.lock().agents();
        for agent in agents {
            // A lost question is asked again a period later.
            let _ = self.socket.send_to(&ask, agent).await;
        }
        memory.own = self.link.state().await.and_then(|state| state.details);
    }

    /// Plans the next map once all ranks have answered the last question.
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
        let (Some(engine), Some(own_details)) = (&memory.engine, &memory.own) else {
            return;
        };
        let fresh = |row: &(SocketAddr, LeaderRow)| {
            let details = row.1.details.as_ref().filter(|(at, _)| asked_at <= *at);
            details.map(|(_, details)| details.clone())
        };
        let mut details = vec![own_details.clone()];
        for row in rows.iter().skip(1).flatten() {
            details.extend(fresh(row));
        }
        if details.len() < rows.len() || engine.sets == 0 {
            return;
        }
        memory.counts_used = Some(asked_at);
        let counts: Vec<Option<Vec<u32>>> = details
            .iter()
            .map(|details| Some(details.counts.clone()))
            .collect();
        memory.planner.observe(&counts);
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
        let held: Vec<Vec<Vec<u16>>> = details.into_iter().map(|details| details.held).collect();
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
            Some(planned) => planned,
            None if memory.switch.needs_map() => PlannedMap::unchanged(&input),
            None => return,
        };
        info!(self.log, "map planned"; "version" => planned.version, "epoch" => own.epoch,
            "step" => own.step, "skew_before" => planned.skew_before,
            "skew_after" => planned.skew_after, "pass_s" => memory.pass.pass_s(), "copies" => planned.copies, "distance" => memory.planner.last_distance(),
            "planning_us" => started_at.elapsed().as_micros() as u64);
        memory.switch.begin(Arc::new(planned), now);
    }

    /// Passes an order on to the agent beside a rank, or gives it directly where that is silent.
    async fn send_order(
        &self,
        row: Option<&Option<(SocketAddr, LeaderRow)>>,
        order: MapOrder,
        now: Instant,
    ) {
        let Some(Some((agent, row))) = row else {
            return;
        };
        let Some(unanswered) = self.table.lock().note_sent(*agent, ORDER_GAP, now) else {
            return;
        };
        let bytes = PeerMessage::Order(order.clone()).encode();
        // A lost order is sent again at the next look.
        let _ = self.socket.send_to(&bytes, *agent).await;
        if unanswered < DIRECT_AFTER || !unanswered.is_multiple_of(DIRECT_AFTER) {
            return;
        }
        warn!(self.log, "agent silent"; "agent" => %agent, "messages" => unanswered,
            "order" => order.kind.label());
        let link = RankLink::new(row.target, self.target_call.clone(), self.log.clone());
        let (agent, table) = (*agent, self.table.clone());
        tokio::spawn(async move {
            if let Some(report) = link.order(&order).await {
                table.lock().read(agent, report, Instant::now());
            }
        });
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
