//! A rank that states a failure for every request at once: it looks idle, so that each entry would
//! choose it first. A few failures anywhere in the fleet eject it, a few requests try it again, and
//! nothing is ejected where all ranks fail alike.

use std::time::Duration;

use comfreyhead_fleet::prelude::*;
use comfreyhead_fleet::roster::RosterChange;
use comfreyhead_fleet::routing::{PeerLoad, RoutingTable, name_hash};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// The time of one step of a simulation, and their number.
const STEP: Duration = Duration::from_millis(10);
const N_STEPS: u32 = 2_000;

/// The steps between two heartbeats of an entry.
const HEARTBEAT_STEPS: u32 = 25;

/// How long a request runs at a sound rank.
const RUN_TIME: Duration = Duration::from_millis(1_200);

/// A time after the end of each run.
const NEVER: Duration = Duration::from_secs(60);

fn table_of(n_targets: usize) -> RoutingTable {
    let mut table = RoutingTable::new("a".into());
    for target in 0..n_targets {
        let entry = TargetEntry {
            id: format!("t{target}").into(),
            service: "pool".into(),
            address: ([127, 0, 0, 1], target as u16).into(),
            zone: "a".into(),
            slots: 12,
            draining: false,
            started_ms: 0,
        };
        table.apply(&RosterChange::Changed(entry));
    }
    table
}

/// The requests that a simulated fleet has sent to each target.
struct Played {
    per_target: Vec<u32>,
    in_last_half: Vec<u32>,
}

/// Plays a fleet for 20 s in which each entry sends about 4.4 requests a second; the targets below
/// `n_failing` fail at once until `sound_from`.
fn play(entries: usize, targets: usize, n_failing: usize, sound_from: Duration) -> Played {
    let start = Instant::now();
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut tables: Vec<RoutingTable> = (0..entries).map(|_| table_of(targets)).collect();
    let mut running: Vec<(Instant, usize, Arc<str>)> = Vec::new();
    let mut played = Played {
        per_target: vec![0; targets],
        in_last_half: vec![0; targets],
    };
    for n_step in 0..N_STEPS {
        let now = start + STEP * n_step;
        running.retain(|(until, entry, id)| {
            let is_running = now < *until;
            if !is_running {
                tables[*entry].end(id);
                tables[*entry].health_mut(id).unwrap().record_success(now);
            }
            is_running
        });
        for entry in (0..entries).filter(|entry| (n_step as usize + entry * 7).is_multiple_of(23)) {
            let pick = tables[entry].choose("pool", &[], now, &mut rng).unwrap();
            let target: usize = pick.id[1..].parse().unwrap();
            played.per_target[target] += 1;
            if start + STEP * N_STEPS / 2 <= now {
                played.in_last_half[target] += 1;
            }
            if target < n_failing && now < start + sound_from {
                let health = tables[entry].health_mut(&pick.id).unwrap();
                health.record_failure(now);
            } else {
                tables[entry].begin(&pick.id);
                running.push((now + RUN_TIME, entry, pick.id));
            }
        }
        if n_step % HEARTBEAT_STEPS == 0 {
            exchange(&mut tables, now);
        }
    }
    played
}

/// Sends the heartbeat of each entry to all others.
fn exchange(tables: &mut [RoutingTable], now: Instant) {
    let loads: Vec<PeerLoad> = tables
        .iter()
        .map(|table| PeerLoad {
            running: table.own_running(),
            demand: Vec::new(),
            results: table.own_results(now),
        })
        .collect();
    for (entry, table) in tables.iter_mut().enumerate() {
        for (peer, load) in loads.iter().enumerate().filter(|(peer, _)| *peer != entry) {
            table.view.update(peer as u64, load.clone(), now);
        }
    }
}

#[test]
fn rank_that_fails_at_once_gets_few_requests() {
    let played = play(13, 12, 1, NEVER);
    let total: u32 = played.per_target.iter().sum();
    // Without ejection it gets several times the mean of 1 in 12.
    assert!(played.per_target[0] * 40 < total, "{:?}", played.per_target);
}

#[test]
fn two_of_sixty_three_ranks_that_fail_get_few_requests_of_seventy_four_entries() {
    let played = play(74, 63, 2, NEVER);
    let total: u32 = played.per_target.iter().sum();
    let failed: u32 = played.per_target[..2].iter().sum();
    assert!(failed * 40 < total, "{failed} of {total}");
}

#[test]
fn rank_that_serves_again_gets_its_share_back() {
    let played = play(13, 12, 1, Duration::from_secs(4));
    let total: u32 = played.in_last_half.iter().sum();
    let back = played.in_last_half[0];
    assert!(total < back * 12 * 2, "{back} of {total}");
}

#[test]
fn failures_seen_by_other_entries_eject_a_rank() {
    // Arrange
    let now = Instant::now();
    let mut table = table_of(6);
    let mut other = table_of(6);
    for _ in 0..4 {
        other.health_mut("t0").unwrap().record_failure(now);
    }

    // Act
    let load = PeerLoad {
        results: other.own_results(now),
        ..PeerLoad::default()
    };
    table.view.update(1, load, now);

    // Assert
    assert_eq!(&*table.ejected("pool", now), &[name_hash("t0")]);
}

#[test]
fn nothing_is_ejected_where_all_ranks_fail_alike() {
    let now = Instant::now();
    let mut table = table_of(6);
    for target in 0..6 {
        for _ in 0..5 {
            let health = table.health_mut(&format!("t{target}")).unwrap();
            health.record_failure(now);
        }
    }
    assert!(table.ejected("pool", now).is_empty());
}

#[test]
fn at_most_a_third_of_the_ranks_is_ejected() {
    // Arrange: three of six ranks fail, the first one most.
    let now = Instant::now();
    let mut table = table_of(6);
    for target in 0..6 {
        let health = table.health_mut(&format!("t{target}")).unwrap();
        for n_result in 0..20 {
            match target {
                0 => health.record_failure(now),
                1 | 2 if n_result % (target + 1) != 0 => health.record_failure(now),
                _ => health.record_success(now),
            }
        }
    }

    // Act
    let ejected = table.ejected("pool", now);

    // Assert
    assert_eq!(ejected.len(), 2);
    assert!(ejected.contains(&name_hash("t0")));
}

#[test]
fn one_failure_ejects_no_rank() {
    let now = Instant::now();
    let mut table = table_of(6);
    table.health_mut("t0").unwrap().record_failure(now);
    assert!(table.ejected("pool", now).is_empty());
}
