//! A group that reads prompts more slowly than they arrive, as its passes are long: what is sent
//! beyond that waits until its callers give it up.

use std::collections::VecDeque;
use std::time::Duration;

use comfreyhead_fleet::prelude::*;
use comfreyhead_fleet::routing::{AdmitDecision, GroupLimit, GroupLoad, StartEnd, StartLimit};

/// The share of the streams sent that callers may give up while they wait, as the rule states it for
/// runs that go on after their callers have left.
const MAX_GIVEN_UP: f64 = 0.25;

const ENTRIES: usize = 13;
const RANKS: usize = 12;
const SLOTS: u32 = 12 * RANKS as u32;
const PASS: Duration = Duration::from_millis(600);
const READ_PER_RANK: usize = 1;
const ARRIVALS_PER_S: u32 = 55;
const ALLOWED: Duration = Duration::from_secs(1);
const PATIENCE: Duration = Duration::from_secs(2);

/// A stream that waits at a rank for its first event.
struct Waiting {
    entry: usize,
    since: Instant,
}

/// What became of the streams of 20 s.
#[derive(Debug, Default)]
struct Outcome {
    n_sent: u32,
    n_begun: u32,
    n_given_up: u32,
    n_refused: u32,
}

fn load(n_waiting: usize, own: usize) -> GroupLoad {
    GroupLoad {
        slots: SLOTS,
        running: n_waiting as u32,
        own: own as u32,
        peer_demand: 50.0,
        min_pass: Duration::from_millis(350),
    }
}

/// Serves 20 s of arrivals; `observe` tells an entry's limit of the end of a wait.
fn serve(observe: impl Fn(&mut StartLimit, Duration, StartEnd, Instant)) -> Outcome {
    let start = Instant::now();
    let mut limits: Vec<GroupLimit> = (0..ENTRIES).map(|_| GroupLimit::default()).collect();
    let mut ranks: Vec<VecDeque<Waiting>> = (0..RANKS).map(|_| VecDeque::new()).collect();
    let mut outcome = Outcome::default();
    let tick = Duration::from_secs(1) / ARRIVALS_PER_S;
    let mut next_pass = start + PASS;
    for n_arrival in 0..20 * ARRIVALS_PER_S {
        let now = start + tick * n_arrival;
        if next_pass <= now {
            next_pass += PASS;
            for rank in &mut ranks {
                let n_read = rank.len().min(READ_PER_RANK);
                for stream in rank.drain(..n_read) {
                    outcome.n_begun += 1;
                    let starts = &mut limits[stream.entry].starts;
                    observe(starts, now - stream.since, StartEnd::Begun, now);
                }
            }
        }
        for rank in &mut ranks {
            while let Some(stream) = rank.pop_front_if(|stream| PATIENCE <= now - stream.since) {
                outcome.n_given_up += 1;
                let starts = &mut limits[stream.entry].starts;
                observe(starts, PATIENCE, StartEnd::GivenUp, now);
            }
        }
        let entry = n_arrival as usize % ENTRIES;
        let n_waiting = ranks.iter().map(VecDeque::len).sum();
        let own = ranks
            .iter()
            .flatten()
            .filter(|stream| stream.entry == entry);
        let decision = limits[entry].admit(&load(n_waiting, own.count()), now);
        if decision != AdmitDecision::Admit {
            outcome.n_refused += 1;
            continue;
        }
        outcome.n_sent += 1;
        limits[entry].starts.begin();
        let shortest = ranks.iter_mut().min_by_key(|rank| rank.len()).unwrap();
        shortest.push_back(Waiting { entry, since: now });
    }
    outcome
}

// Guards against streams that wait at ranks until their callers leave, of which those at a rank that
// stands still go on (GONE).
#[test]
fn few_streams_wait_until_their_callers_give_up() {
    // Arrange and act
    let unlimited = serve(|_, _, _, _| {});
    let limited = serve(|starts, wait, end, now| starts.end(wait, ALLOWED, end, now));

    // Assert
    let given_up = |outcome: &Outcome| f64::from(outcome.n_given_up) / f64::from(outcome.n_sent);
    assert!(MAX_GIVEN_UP < given_up(&unlimited), "{unlimited:?}");
    assert!(given_up(&limited) <= MAX_GIVEN_UP, "{limited:?}");
    assert!(
        unlimited.n_begun <= limited.n_begun,
        "{unlimited:?} {limited:?}"
    );
}

// Guards against refusals by waits of long ago, or where nothing waits.
#[test]
fn limit_refuses_only_while_waits_are_long_and_something_waits() {
    // Arrange
    let mut starts = StartLimit::default();
    let now = Instant::now();
    let long = Duration::from_secs(2);
    for _ in 0..3 {
        starts.begin();
        starts.end(long, ALLOWED, StartEnd::GivenUp, now);
    }

    // Act
    let alone = starts.full_for(now);
    starts.begin();
    let beside_one = starts.full_for(now);
    let later = starts.full_for(now + Duration::from_secs(3));
    for _ in 0..20 {
        starts.begin();
        starts.end(Duration::from_millis(150), ALLOWED, StartEnd::Begun, now);
    }
    let after_short_waits = starts.full_for(now);

    // Assert
    assert_eq!(alone, None);
    assert_eq!(beside_one, Some(long));
    assert_eq!(later, None);
    assert_eq!(after_short_waits, None);
}

// Guards against refusals because targets failed, or because callers left early.
#[test]
fn failures_and_early_leaving_are_no_long_waits() {
    let mut starts = StartLimit::default();
    let now = Instant::now();
    for end in [StartEnd::Failed, StartEnd::GivenUp] {
        starts.begin();
        starts.begin();
        let wait = match end {
            StartEnd::Failed => ALLOWED * 2,
            _ => ALLOWED / 4,
        };
        starts.end(wait, ALLOWED, end, now);
    }
    assert_eq!(starts.full_for(now), None);
}
