//! A large group behind slow links: counts come from a sample of the ranks and in windows, maps are
//! sent through relays, and the planner still makes a plan from what all ranks hold.

mod engines;

use std::collections::HashSet;
use std::time::Duration;

use comfreyhead::error::Result;
use comfreyhead_fleet::catalog::EngineSpec;
use comfreyhead_fleet::expert::{
    CountWindow, MapOrder, MapPlanner, OrderKind, PlannedMap, PlannerInput, is_counted,
};
use comfreyhead_fleet::peers::{PeerMessage, RelayedOrder, relay_batches};
use comfreyhead_fleet::prelude::*;
use engines::small_engines;

const RANKS: u16 = 72;
const SETS: u16 = 12;
const EXPERTS: u16 = 144;

/// The rate of the slowest published link of a target, in bytes per second.
const SLOW_LINK_BYTES_PER_S: usize = 1_000_000;

fn engine() -> EngineSpec {
    EngineSpec {
        slots: 10,
        sets: SETS,
        experts: EXPERTS,
        places: 3,
        expert_mb: 130.0,
        base_pass: Duration::from_millis(35),
        ..small_engines()
    }
}

/// Returns the experts that each rank holds in the first map, assigned round-robin.
fn held(ranks: u16) -> Vec<Vec<Vec<u16>>> {
    let of_rank = |rank| (0..EXPERTS).filter(move |expert| expert % ranks == rank);
    (0..ranks)
        .map(|rank| vec![of_rank(rank).collect(); usize::from(SETS)])
        .collect()
}

/// Returns counts in which a twelfth of the experts get four times the choices of the others.
fn skewed_counts() -> Vec<u32> {
    let count = |expert: u16| if expert % 12 == 5 { 4_000 } else { 1_000 };
    (0..SETS).flat_map(|_| (0..EXPERTS).map(count)).collect()
}

fn planner_of(counted_ranks: usize) -> MapPlanner {
    let mut planner = MapPlanner::default();
    let none = vec![0; usize::from(SETS) * usize::from(EXPERTS)];
    let some = |counts: Vec<u32>| -> Vec<Option<Vec<u32>>> {
        let counted = |rank| (rank < counted_ranks).then(|| counts.clone());
        (0..usize::from(RANKS)).map(counted).collect()
    };
    planner.observe(&some(none));
    planner.observe(&some(skewed_counts()));
    planner
}

fn plan(engine: &EngineSpec, held: &[Vec<Vec<u16>>]) -> Result<Option<PlannedMap>> {
    planner_of(16).plan(&PlannerInput {
        engine,
        held,
        version: 1,
        paces: &[1.0; RANKS as usize],
        pass_s: Some(0.08),
    })
}

#[test]
fn group_of_72_ranks_is_planned_from_a_sample_of_counts() {
    // Arrange
    let (engine, held) = (engine(), held(RANKS));

    // Act
    let planned = plan(&engine, &held);

    // Assert
    let planned = planned.unwrap().unwrap();
    assert!(
        planned.skew_after + 0.3 < planned.skew_before,
        "{planned:?}"
    );
    for set in planned.mapping.iter() {
        let experts: HashSet<u16> = set.iter().flatten().copied().collect();
        assert_eq!(experts.len(), usize::from(EXPERTS));
        for (rank, now) in set.iter().enumerate() {
            assert!(now.len() <= usize::from(engine.places));
            let new = now.iter().filter(|expert| !held[rank][0].contains(expert));
            assert!(new.count() <= usize::from(engine.headroom));
        }
    }
}

#[test]
fn group_without_a_valid_map_is_an_error() {
    // Arrange
    let engine = EngineSpec {
        places: 1,
        ..engine()
    };

    // Act
    let planned = plan(&engine, &held(RANKS));

    // Assert
    assert!(planned.is_err());
}

#[test]
fn counted_ranks_are_few_and_spread_over_the_group() {
    for size in [1, 2, 15, 16, 17, 72, 150, 512] {
        // Act
        let counted: Vec<u16> = (0..size).filter(|rank| is_counted(*rank, size)).collect();

        // Assert
        assert_eq!(counted.len(), usize::from(size.min(16)), "{size}");
        assert_eq!(counted[0], 0);
        let widest = counted.windows(2).map(|pair| pair[1] - pair[0]).max();
        assert!(widest.unwrap_or(1) <= size.div_ceil(16), "{size}");
    }
}

#[test]
fn window_holds_only_choices_since_the_last_call() {
    // Arrange
    let mut window = CountWindow::default();
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);

    // Act
    let first = window.advance(vec![10, 20], at(0));
    let second = window.advance(vec![13, 20], at(250));
    let after_a_gap = window.advance(vec![90, 90], at(2_250));
    let after_a_restart = window.advance(vec![1, 0], at(2_500));
    let next = window.advance(vec![2, 5], at(2_750));

    // Assert
    assert_eq!(first, Vec::<u32>::new());
    assert_eq!(second, [3, 0]);
    assert_eq!(after_a_gap, Vec::<u32>::new());
    assert_eq!(after_a_restart, Vec::<u32>::new());
    assert_eq!(next, [1, 5]);
}

#[test]
fn relays_reach_every_receiver_once() {
    for n_receivers in [0, 1, 15, 16, 17, 71, 149, 511] {
        // Arrange
        let receivers: Vec<u16> = (0..n_receivers).collect();

        // Act
        let batches = relay_batches(&receivers);

        // Assert
        assert!(batches.len() <= 16);
        let mut reached: Vec<u16> = Vec::new();
        for (relay, others) in batches {
            reached.push(relay);
            reached.extend(others);
        }
        reached.sort_unstable();
        assert_eq!(reached, receivers, "{n_receivers}");
    }
}

#[test]
fn slow_link_sends_a_map_within_100_ms() {
    // Arrange
    let mapping: Vec<Vec<Vec<u16>>> = (0..SETS)
        .map(|_| vec![vec![140, 141, 142]; usize::from(RANKS)])
        .collect();
    let order = MapOrder {
        epoch: 3,
        expected: None,
        kind: OrderKind::Prepare(1 << 40, mapping.into()),
    };
    let agents: Vec<std::net::SocketAddr> = (0..RANKS - 1)
        .map(|rank| std::net::SocketAddr::from(([10, 1, 0, rank as u8], 7_340)))
        .collect();

    // Act
    let sent: usize = relay_batches(&agents)
        .into_iter()
        .map(|(_, receivers)| RelayedOrder {
            leader: agents[0],
            receivers,
            order: order.clone(),
        })
        .map(|relayed| PeerMessage::Relayed(relayed).encode().len())
        .sum();

    // Assert
    assert!(sent <= SLOW_LINK_BYTES_PER_S / 10, "{sent}");
}
