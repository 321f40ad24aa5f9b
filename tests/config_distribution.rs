//! Distribution of configuration versions with lost, delayed, duplicated and reordered messages,
//! partitions, log outages, concurrent operators, lost answers and restarts.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use comfreyhead::prelude::*;
use comfreyhead::process::distribution::{
    DistributionEvent, N_LOG_READERS, SnapshotClock, StartBasis, VersionBody, snapshot_due,
};
use comfreyhead::version::config::{
    AccountConfig, ConfigChange, ConfigRecord, MAX_HISTORY_VERSIONS, NonceOutcome,
};

use config_network::{Network, NetworkSettings};

mod config_network;

/// The required time from the acceptance of a version until it is in force in every process.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(16);

fn settings(nodes: usize, seed: u64) -> NetworkSettings {
    NetworkSettings {
        nodes,
        data_centres: 3,
        loss_percent: 0,
        double_percent: 0,
        max_delay_ms: 3,
        seed,
    }
}

fn patch(base: VersionNumber, nonce: &str) -> ConfigRecord {
    let account = AccountConfig {
        token_sha256: Vec::new(),
        tokens_per_second: 100,
        in_flight: 10,
        weight: 1 + nonce.len() as u32,
    };
    let change = ConfigChange::SetAccount {
        name: "guild".into(),
        account,
    };
    ConfigRecord::Patch {
        base,
        batch: nonce.into(),
        author: "ann".into(),
        changes: vec![change],
        nonce: nonce.into(),
    }
}

fn append(network: &mut Network, n_patches: usize) {
    for _ in 0..n_patches {
        let base = VersionNumber(network.log.len() as u64);
        network.log.push(patch(base, &format!("n{base}")).encode());
    }
}

fn numbers(network: &Network) -> Vec<u64> {
    let nodes = network.nodes.iter();
    nodes
        .map(|node| node.distributor.current().number.0)
        .collect()
}

fn basis(network: &Network, idx: usize) -> Option<&StartBasis> {
    network.nodes[idx].distributor.start_basis()
}

#[test]
fn a_version_is_in_force_everywhere_within_the_limit() {
    let mut network = Network::new(settings(18, 1));
    network.run_for(Duration::from_secs(10));

    append(&mut network, 3);
    network.run_for(IN_FORCE_LIMIT);

    assert_eq!(numbers(&network), vec![3; 18]);
    let readers = (0..18).filter(|idx| {
        let distributor = &network.nodes[*idx].distributor;
        distributor.is_following(network.now)
    });
    assert_eq!(readers.count(), 3 * N_LOG_READERS);
}

#[test]
fn a_data_centre_without_the_log_gets_versions_from_the_others() {
    let mut network = Network::new(settings(18, 2));
    network.run_for(Duration::from_secs(10));
    network.log_up[1] = false;

    append(&mut network, 1);
    network.run_for(IN_FORCE_LIMIT);

    assert_eq!(numbers(&network), vec![1; 18]);
}

#[test]
fn a_cut_off_data_centre_keeps_its_version_is_reported_and_catches_up() {
    let mut network = Network::new(settings(18, 3));
    append(&mut network, 1);
    network.run_for(Duration::from_secs(20));
    network.log_up[1] = false;
    network.linked[1] = false;
    append(&mut network, 1);
    let now = network.now;
    let survey = VersionNumber(2);
    network.nodes[0].distributor.start_survey(now, survey);
    network.run_for(Duration::from_secs(30));

    let report = network.nodes[0].distributor.in_force(VersionNumber(2));
    let centres = network.nodes[0].distributor.data_centres();
    let cut_numbers = numbers(&network);
    network.log_up[1] = true;
    network.linked[1] = true;
    network.run_for(IN_FORCE_LIMIT);

    for (idx, number) in cut_numbers.iter().enumerate() {
        let expected = if idx % 3 == 1 { 1 } else { 2 };
        assert_eq!(*number, expected);
    }
    assert_eq!(report.in_force.len(), 12);
    assert_eq!(report.unreachable.len(), 6);
    assert!(report.lagging.is_empty() && report.pending.is_empty());
    let cut = centres.iter().find(|centre| centre.cut_off).unwrap();
    assert_eq!(cut.name, "dc-1".into());
    assert_eq!(cut.highest, Some(VersionNumber(1)));
    assert_eq!(centres.iter().filter(|centre| centre.cut_off).count(), 1);
    assert_eq!(numbers(&network), vec![2; 18]);
}

#[test]
fn a_new_process_serves_with_a_followers_version_without_reading_the_log() {
    let mut network = Network::new(settings(18, 4));
    append(&mut network, 2);
    network.run_for(Duration::from_secs(20));
    let idx = network.nodes.len() - 1;

    network.restart(idx);
    let before = basis(&network, idx).cloned();
    network.run_for(Duration::from_secs(2));

    assert_eq!(before, None);
    assert!(matches!(
        basis(&network, idx),
        Some(StartBasis::PeerTail(_))
    ));
    assert_eq!(numbers(&network)[idx], 2);
}

#[test]
fn with_the_log_away_a_new_process_serves_the_highest_version_of_its_data_centre() {
    let mut network = Network::new(settings(18, 5));
    append(&mut network, 2);
    network.run_for(Duration::from_secs(20));
    network.log_up[0] = false;
    network.linked[0] = false;
    network.run_for(Duration::from_secs(5));

    network.restart(0);
    network.run_for(Duration::from_secs(10));

    let expected = StartBasis::HighestPeer {
        asked: 5,
        answered: 5,
    };
    assert_eq!(basis(&network, 0), Some(&expected));
    assert_eq!(numbers(&network)[0], 2);
}

#[test]
fn a_whole_data_centre_that_restarts_without_the_log_takes_no_work() {
    let mut network = Network::new(settings(18, 6));
    append(&mut network, 2);
    network.run_for(Duration::from_secs(20));
    network.log_up[0] = false;
    network.linked[0] = false;

    for idx in (0..18).step_by(3) {
        network.restart(idx);
    }
    network.run_for(Duration::from_secs(30));
    let alone = basis(&network, 0).cloned();
    network.linked[0] = true;
    network.run_for(Duration::from_secs(10));

    assert_eq!(alone, None);
    assert!(matches!(
        basis(&network, 0),
        Some(StartBasis::HighestPeer { .. } | StartBasis::PeerTail(_))
    ));
    assert_eq!(numbers(&network), vec![2; 18]);
}

#[test]
fn a_process_far_behind_gets_the_whole_state_and_can_be_a_reader() {
    let mut network = Network::new(settings(18, 7));
    network.run_for(Duration::from_secs(5));
    network.log_up[2] = false;
    network.linked[2] = false;
    append(&mut network, MAX_HISTORY_VERSIONS + 5);
    network.run_for(Duration::from_secs(20));

    let body = network.nodes[0].distributor.body_since(VersionNumber(0));
    network.linked[2] = true;
    network.run_for(IN_FORCE_LIMIT);
    network.log_up[2] = true;
    append(&mut network, 1);
    network.run_for(IN_FORCE_LIMIT);

    assert!(matches!(body, VersionBody::Whole(_)));
    assert_eq!(numbers(&network), vec![MAX_HISTORY_VERSIONS as u64 + 6; 18]);
}

#[test]
fn a_survey_does_not_make_a_data_centre_seem_cut_off() {
    let mut network = Network::new(settings(18, 9));
    network.run_for(Duration::from_secs(20));
    let now = network.now;

    let distributor = &mut network.nodes[0].distributor;
    distributor.start_survey(now, VersionNumber(1));
    for _ in 0..5 {
        distributor.on_event(now, DistributionEvent::Tick);
    }

    let centres = distributor.data_centres();
    assert!(centres.iter().all(|centre| !centre.cut_off));
}

#[test]
fn a_lost_reader_is_replaced() {
    let mut network = Network::new(settings(18, 8));
    network.run_for(Duration::from_secs(10));
    network.stop(0);
    network.run_for(Duration::from_secs(60));

    append(&mut network, 1);
    network.run_for(IN_FORCE_LIMIT);

    let alive = numbers(&network).into_iter().skip(1);
    assert_eq!(alive.collect::<Vec<_>>(), vec![1; 17]);
    let following = (1..18).filter(|idx| {
        let node = &network.nodes[*idx];
        node.info.data_centre == "dc-0".into() && node.distributor.is_following(network.now)
    });
    let candidates = 2;
    assert_eq!(following.count(), candidates);
}

#[test]
fn snapshots_are_due_by_age_and_spread_between_readers() {
    let clock = |last_written, jitter| SnapshotClock {
        reading_since: Timestamp(0),
        last_written,
        retention: Duration::from_secs(80),
        jitter,
    };
    let at = Timestamp::from_millis;

    assert!(!snapshot_due(at(19_000), &clock(Some(at(0)), 0.0)));
    assert!(snapshot_due(at(20_000), &clock(Some(at(0)), 0.0)));
    assert!(!snapshot_due(at(24_000), &clock(Some(at(0)), 0.5)));
    assert!(!snapshot_due(at(4_000), &clock(None, 0.5)));
    assert!(snapshot_due(at(5_000), &clock(None, 0.5)));
}

/// One step of a random run.
#[derive(Clone, Debug)]
enum RunStep {
    /// An operator appends a patch based on the version of a node and ignores the answer.
    Patch(usize),
    /// An operator sends a patch that never reaches the log service.
    LostRequest(usize),
    /// The log service stores its last record a second time.
    DoubledRecord,
    /// The link of a data centre to the others goes up or down.
    Link(usize, bool),
    /// The log service becomes reachable or unreachable for a data centre.
    Log(usize, bool),
    /// A node restarts without state.
    Restart(usize),
    /// Time passes, in milliseconds.
    Run(u64),
}

fn any_step() -> impl Strategy<Value = RunStep> {
    prop_oneof![
        6 => (0..18usize).prop_map(RunStep::Patch),
        1 => (0..18usize).prop_map(RunStep::LostRequest),
        1 => Just(RunStep::DoubledRecord),
        2 => (0..3usize, any::<bool>()).prop_map(|(idx, up)| RunStep::Link(idx, up)),
        2 => (0..3usize, any::<bool>()).prop_map(|(idx, up)| RunStep::Log(idx, up)),
        2 => (0..18usize).prop_map(RunStep::Restart),
        6 => (0..4_000u64).prop_map(RunStep::Run),
    ]
}

fn run_step(network: &mut Network, step: &RunStep, sent: &mut Vec<(VersionNumber, String)>) {
    match step {
        RunStep::Patch(idx) | RunStep::LostRequest(idx) => {
            let base = network.nodes[*idx].distributor.current().number;
            let nonce = format!("n{}", sent.len());
            if matches!(step, RunStep::Patch(_)) {
                network.log.push(patch(base, &nonce).encode());
            }
            sent.push((base, nonce));
        }
        RunStep::DoubledRecord => network.log.extend(network.log.last().cloned()),
        RunStep::Link(idx, up) => network.linked[*idx] = *up,
        RunStep::Log(idx, up) => network.log_up[*idx] = *up,
        RunStep::Restart(idx) => network.restart(*idx),
        RunStep::Run(millis) => network.run_for(Duration::from_millis(*millis)),
    }
}

proptest! {
    #![proptest_config(Config {
        cases: std::env::var("COMFREYHEAD_CASES")
            .ok()
            .and_then(|cases| cases.parse().ok())
            .unwrap_or(24),
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(4),
        ..Config::default()
    })]

    /// The network asserts that versions only increase and that each number has one digest.
    #[test]
    fn everybody_converges_after_the_faults_and_each_base_has_one_winner(
        seed in any::<u64>(),
        steps in prop::collection::vec(any_step(), 1..60),
    ) {
        let mut network = Network::new(NetworkSettings {
            loss_percent: 10,
            double_percent: 10,
            max_delay_ms: 1_500,
            ..settings(18, seed)
        });
        let mut sent = Vec::new();
        for step in &steps {
            run_step(&mut network, step, &mut sent);
        }

        network.heal();
        network.run_for(2 * IN_FORCE_LIMIT);

        let highest = numbers(&network).into_iter().max().unwrap();
        prop_assert_eq!(numbers(&network), vec![highest; 18]);
        let serving = network.nodes.iter().all(|node| node.distributor.start_basis().is_some());
        prop_assert!(serving);
        let fold = network.nodes[0].distributor.fold();
        let mut bases: Vec<VersionNumber> = Vec::new();
        for (base, nonce) in &sent {
            if let NonceOutcome::Accepted(number) = fold.outcome_of(&nonce.as_str().into()) {
                prop_assert_eq!(number, base.next());
                bases.push(*base);
            }
        }
        bases.sort();
        prop_assert_eq!(bases, (0..highest).map(VersionNumber).collect::<Vec<_>>());
    }
}
