//! One entry is cut off from the store while configurations come in quick succession, each of which
//! takes a key away. Checks how long the other entries go on serving the keys.

use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Request, send};
use crate::entry::Entry;
use crate::server::Server;
use crate::store::Store;
use crate::{Setup, Verdict};

/// `configApplyMs`, and what the stand-in allows itself for the acknowledgement.
const APPLY: Duration = Duration::from_millis(2_000);

/// How long one machine is cut off from the store.
const CUT: Duration = Duration::from_millis(5_500);

/// The pause between two configurations, and their number.
const GAP: Duration = Duration::from_millis(60);
const VERSIONS: usize = 25;

/// The configuration after which the machine is cut off.
const CUT_AFTER: usize = 10;

/// How long each key is tried beyond the bound.
const TRIED: Duration = Duration::from_millis(900);

const ROUNDS: usize = 8;

fn config(version: usize, keys: &[String]) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!(
        r#"{{"version":{version},"routes":[{{"name":"lookups","hostname":"a.example",
"pathPrefix":"/lookups/","type":"safe","timeoutMs":1000,"sloMs":100,"priority":1,
"service":"ledger","attempts":2,"public":false}}],"services":[{{"name":"ledger",
"healthPath":"/healthz","maxConns":200,"protocol":"h1","tls":false}}],
"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
"idleTimeoutMs":15000}},"tenants":[{{"name":"maker","apiKeys":[{}]}}]}}"#,
        keys.join(",")
    )
}

pub fn play(setup: &Setup) -> Verdict {
    let record = &setup.record;
    let store = Store::default();
    let mut version = 3;
    let mut keys: Vec<String> = (0..ROUNDS * VERSIONS + 2)
        .map(|idx| format!("key{idx:04}"))
        .collect();
    store.put("keyed.op", "config", &config(version, &keys));
    for idx in 1..=3 {
        let id = format!("i-{idx:04}");
        let server = Server::start(&setup.ip(100), &id, Duration::from_millis(2), record);
        let value = format!(
            r#"{{"service":"ledger","address":"{}","zone":"z-a","version":"v1","slots":6,
"state":"ready","warmupLeftMs":0,"seq":1}}"#,
            server.address
        );
        store.put("keyed.servers", &server.id, &value);
    }
    let mut entries: Vec<Entry> = (1..=4_u8)
        .map(|idx| {
            let ip = setup.ip(idx);
            let name = format!("edge-a-{idx}");
            Entry::new(
                &ip,
                &name,
                "z-a",
                store.open_path(&ip),
                &setup.folder,
                record,
            )
        })
        .collect();
    for entry in &mut entries {
        entry.start();
    }
    let ready = |entry: &Entry| entry.wait_ready(Duration::from_secs(8));
    if !entries.iter().all(ready) {
        return Verdict::CouldNotRun("an entry is not ready".into());
    }
    let mut n_late = 0;
    let mut n_tried = 0;
    for round in 0..ROUNDS {
        // All machines have been calm for longer than `contactMs`. The one that reads the operator's
        // topic most is cut off.
        let reads = |entry: &Entry| entry.path.operator_reads.load(Ordering::Relaxed);
        let before: Vec<usize> = entries.iter().map(reads).collect();
        thread::sleep(Duration::from_secs(4));
        let read_since = |idx: &usize| reads(&entries[*idx]) - before[*idx];
        let reader = (0..entries.len()).max_by_key(read_since).unwrap_or(0);
        let calm: Vec<_> = (0..entries.len()).filter(|idx| *idx != reader).collect();
        let mut tries = Vec::new();
        let mut cut_at = None;
        for idx in 0..VERSIONS {
            let next_at = Instant::now() + GAP;
            let dropped = keys.remove(0);
            version += 2;
            let acked_at = store.put("keyed.op", "config", &config(version, &keys));
            record.line(&format!(
                "version {version} acknowledged, without {dropped}"
            ));
            for entry in calm.iter().map(|idx| &entries[*idx]) {
                let (callers, name) = (entry.callers, entry.name.clone());
                let (record, dropped) = (record.clone(), dropped.clone());
                tries.push(thread::spawn(move || {
                    try_key(callers, &name, &dropped, version, acked_at, &record)
                }));
            }
            if idx == CUT_AFTER && setup.has_trouble {
                entries[reader].path.is_cut.store(true, Ordering::Relaxed);
                cut_at = Some(Instant::now());
                record.line(&format!(
                    "entry {} is cut off from the store",
                    entries[reader].name
                ));
            }
            thread::sleep(next_at.saturating_duration_since(Instant::now()));
        }
        let mut latest = Duration::ZERO;
        for one in tries {
            let (tried, late) = one.join().unwrap_or((0, Vec::new()));
            n_tried += tried;
            n_late += late.len();
            latest = latest.max(late.into_iter().max().unwrap_or_default());
        }
        record.say(&format!(
            "round {round}: entry {} {}; the latest request that ran with a dropped key was sent \
             {} ms after the acknowledgement",
            entries[reader].name,
            if cut_at.is_some() {
                "cut off"
            } else {
                "left alone"
            },
            latest.as_millis()
        ));
        if let Some(cut_at) = cut_at {
            thread::sleep(CUT.saturating_sub(cut_at.elapsed()));
            entries[reader].path.is_cut.store(false, Ordering::Relaxed);
            record.line(&format!("entry {} reaches the store", entries[reader].name));
        }
    }
    record.say(&format!(
        "{n_tried} requests with dropped keys sent later than 2,000 ms after the acknowledgement; \
         {n_late} of them ran"
    ));
    let request = lookup(&keys[0]);
    let sound = entries
        .iter()
        .all(|entry| send(entry.callers, &request, record).status == Some(200));
    match (sound, n_late) {
        (false, _) => Verdict::CouldNotRun("a key in force is not served".into()),
        (true, 0) => Verdict::Held,
        (true, _) => Verdict::Broken,
    }
}

fn lookup(key: &str) -> Request {
    Request {
        method: "GET",
        path: "/lookups/1".into(),
        key: Some(key.to_owned()),
        deadline: Duration::from_millis(800),
    }
}

/// Tries a key from the bound on, until it is refused; returns the number of requests, and how long
/// after the acknowledgement those that ran were sent.
fn try_key(
    callers: std::net::SocketAddr,
    name: &str,
    key: &str,
    version: usize,
    acked_at: Instant,
    record: &crate::record::Record,
) -> (usize, Vec<Duration>) {
    thread::sleep((APPLY + Duration::from_millis(2)).saturating_sub(acked_at.elapsed()));
    let request = lookup(key);
    let mut n_tried = 0;
    let mut late = Vec::new();
    while acked_at.elapsed() < APPLY + TRIED {
        let attempt = send(callers, &request, record);
        n_tried += 1;
        match attempt.status {
            Some(200) if attempt.server.is_some() => {
                let after = attempt.sent_at - acked_at;
                record.line(&format!(
                    "{name} let {} run with {key}, dropped by version {version} {} ms before",
                    attempt.id,
                    after.as_millis()
                ));
                late.push(after);
            }
            Some(401) => break,
            _ => {}
        }
        thread::sleep(Duration::from_millis(15));
    }
    (n_tried, late)
}
