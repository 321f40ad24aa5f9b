//! Popularity of experts that shifts within seconds: the planner discards older windows at once,
//! copies few experts if passes are short, and keeps the popularity for a new epoch of the group.

mod engines;

use comfreyhead_fleet::expert::{MapPlanner, PlannedMap, PlannerInput};
use engines::small_engines;

const RANKS: usize = 4;
const EXPERTS: usize = 16;

fn held() -> Vec<Vec<Vec<u16>>> {
    let of_rank = |rank| (0..EXPERTS as u16).filter(move |expert| expert % RANKS as u16 == rank);
    (0..RANKS as u16)
        .map(|rank| vec![of_rank(rank).collect()])
        .collect()
}

/// Cumulative counts of the ranks. In each window, one expert gets ten times the choices of the
/// others by default.
struct Choices(Vec<u32>);

impl Choices {
    fn window(&mut self, hot: usize) -> Vec<Option<Vec<u32>>> {
        self.window_of(hot, 5_000)
    }

    fn window_of(&mut self, hot: usize, choices: u32) -> Vec<Option<Vec<u32>>> {
        for (expert, count) in self.0.iter_mut().enumerate() {
            *count += if expert == hot { choices } else { 500 };
        }
        vec![Some(self.0.clone()); RANKS]
    }
}

fn plan(planner: &MapPlanner, pass_s: f64) -> Option<PlannedMap> {
    let engine = small_engines();
    let held = held();
    planner
        .plan(&PlannerInput {
            engine: &engine,
            held: &held,
            version: 1,
            paces: &[1.0; RANKS],
            pass_s: Some(pass_s),
        })
        .unwrap()
}

fn replicas(planned: &PlannedMap, expert: u16) -> usize {
    planned.mapping[0]
        .iter()
        .filter(|rank| rank.contains(&expert))
        .count()
}

#[test]
fn planner_follows_a_shift_after_one_window() {
    // Arrange
    let mut planner = MapPlanner::default();
    let mut choices = Choices(vec![0; EXPERTS]);
    for _ in 0..10 {
        planner.observe(&choices.window(3));
    }

    // Act
    planner.observe(&choices.window(8));
    let planned = plan(&planner, 0.1).unwrap();

    // Assert
    assert!(2 <= replicas(&planned, 8), "{:?}", planned.mapping);
    assert_eq!(replicas(&planned, 3), 1);
    assert!(planned.skew_after + 0.3 < planned.skew_before);
}

#[test]
fn popularity_outlasts_an_epoch() {
    // Arrange
    let mut planner = MapPlanner::default();
    let mut choices = Choices(vec![0; EXPERTS]);
    for _ in 0..3 {
        planner.observe(&choices.window(3));
    }

    // Act
    planner.restart_counts();
    planner.observe(&vec![Some(vec![0; EXPERTS]); RANKS]);
    let planned = plan(&planner, 0.1);

    // Assert
    assert!(planned.is_some_and(|planned| 2 <= replicas(&planned, 3)));
}

#[test]
fn short_passes_are_not_worth_copies() {
    // Arrange
    let mut planner = MapPlanner::default();
    let mut choices = Choices(vec![0; EXPERTS]);
    for _ in 0..3 {
        planner.observe(&choices.window_of(3, 1_500));
    }

    // Act
    let at_long_passes = plan(&planner, 0.1).unwrap();
    let at_short_passes = plan(&planner, 0.02).map_or(0, |planned| planned.copies);

    // Assert
    assert!(at_short_passes < at_long_passes.copies);
}

#[test]
fn planner_without_counts_plans_nothing() {
    let planner = MapPlanner::default();
    assert!(plan(&planner, 0.1).is_none());
}
