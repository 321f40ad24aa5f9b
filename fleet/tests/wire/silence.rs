//! What tests of silent targets set and read in an entry.

use std::time::Duration;

use comfreyhead_fleet::catalog::EngineSpec;
use comfreyhead_fleet::prelude::*;
use comfreyhead_fleet::process::EntryState;
use comfreyhead_fleet::roster::RosterChange;
use comfreyhead_fleet::routing::{LimitNotice, RankStatus};

use super::{Entry, ScriptedTarget, catalog, route, target_entry};

impl Entry {
    /// Records a failure of a target, so that it is chosen after the others.
    pub fn disfavour(&self, n_target: usize) {
        let mut table = self.state.table.lock();
        let health = table.health_mut(&format!("t{n_target}")).unwrap();
        health.record_failure(Instant::now());
    }

    /// Lets a target tell that it leaves.
    pub fn drain(&self, n_target: usize, target: &ScriptedTarget) {
        let change = RosterChange::Changed(TargetEntry {
            draining: true,
            ..target_entry(n_target, target.address)
        });
        self.state.table.lock().apply(&change);
    }

    /// Makes the targets the ranks of a group.
    pub fn form_group(&self, route: RouteSpec) {
        let mut catalog = catalog(route);
        let spec = ServiceSpec {
            max_connections: 100,
            engine: Some(EngineSpec {
                slots: 4,
                sets: 0,
                experts: 0,
                places: 0,
                headroom: 0,
                expert_mb: 1.0,
                link_mbps: 1_000.0,
                form_time: Duration::from_millis(600),
                base_pass: Duration::from_millis(5),
                pause: Duration::from_millis(120),
            }),
        };
        catalog.services.insert("svc".into(), spec);
        self.state.catalog.store(Some(Arc::new(catalog)));
    }

    /// Reports progress of other streams of the group until the entry is dropped.
    pub fn keep_progress(&self) {
        let state = Arc::downgrade(&self.state);
        tokio::spawn(async move {
            while let Some(state) = state.upgrade() {
                report_progress(&state);
                drop(state);
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        });
    }

    /// Lets the group break and begin to form again; a rank of it was missing for a while.
    pub async fn begin_forming(&self) {
        let ip = [127, 0, 0, 1].into();
        let report = |size| {
            let status = RankStatus {
                open: false,
                epoch: 1,
                size,
            };
            let mut table = self.state.table.lock();
            table.record_report(ip, status, Instant::now());
        };
        {
            let mut table = self.state.table.lock();
            let group = table.group_mut(&"svc".into());
            group.record_refusal(&"t0".into(), Instant::now());
            group.record_refusal(&"t1".into(), Instant::now());
            table.next_asked(Instant::now());
        }
        tokio::time::sleep(Duration::from_millis(350)).await;
        report(2);
        report(1);
    }

    /// Lets the group serve again.
    pub fn end_forming(&self) {
        report_progress(&self.state);
        self.state.slot_freed.notify_waiters();
    }

    /// Lets a target name a limit, in requests per second.
    pub fn limit(&self, n_target: usize, rate: f32) {
        let mut table = self.state.table.lock();
        let id = format!("t{n_target}");
        table.observe_limit(&id, LimitNotice::Named(rate), Instant::now());
    }

    /// Lets the entry stop as if it had begun to so long ago.
    pub fn stop_since(&self, time: Duration) {
        self.state.drain.begin(Instant::now() - time);
    }

    /// Returns the average pause between the events of the group's streams.
    pub fn average_pause(&self) -> Option<f64> {
        let mut table = self.state.table.lock();
        table.limit_mut(&"svc".into()).pause_at(Instant::now())
    }

    /// Returns the number of targets at which requests run.
    pub fn n_busy_targets(&self) -> usize {
        self.state.table.lock().own_running().len()
    }

    /// Returns the recent failures of a target.
    pub fn failures(&self, n_target: usize) -> f32 {
        let mut table = self.state.table.lock();
        let health = table.health_mut(&format!("t{n_target}")).unwrap();
        health.counts_at(Instant::now()).failed
    }

    /// Takes a retry from the budget; returns whether there was one.
    pub fn draw_retry(&self) -> bool {
        self.state.draw_retry(&"svc".into(), Instant::now())
    }
}

fn report_progress(state: &EntryState) {
    let mut table = state.table.lock();
    let group = table.group_mut(&"svc".into());
    group.record_progress(Instant::now());
}

/// Returns the route of streams with a pause of 120 ms.
pub fn stream_route() -> RouteSpec {
    RouteSpec {
        timeout: Duration::from_secs(6),
        pause: Some(Duration::from_millis(120)),
        ..route(CallKind::ResumableStream)
    }
}
