//! One entry is cut off from the store once, so that another one of its data centre reads the store
//! from then on. Later servers are replaced one after the other. Checks the entry of the other data
//! centre.

use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Clients, Request};
use crate::entry::Entry;
use crate::server::Server;
use crate::store::Store;
use crate::{Setup, Verdict};

/// `drainMs`: no request reaches a server later than this after its leaving was acknowledged.
const DRAIN: Duration = Duration::from_millis(2_000);

/// How long a server that leaves goes on serving: `drainMs` and a little longer.
const SERVES_ON: Duration = Duration::from_millis(3_300);

/// How long one machine is cut off from the store.
const CUT: Duration = Duration::from_millis(5_500);

/// The pause between two replacements, and their number.
const GAP: Duration = Duration::from_millis(2_400);
const REPLACED: usize = 36;

/// How long a new server serves before the old one leaves.
const LEAD: Duration = Duration::from_millis(300);

const SERVERS: usize = 3;

const CONFIG: &str = r#"{"version":3,"routes":[{"name":"orders","hostname":"a.example",
"pathPrefix":"/orders/","type":"unsafe","timeoutMs":2000,"sloMs":200,"priority":1,
"service":"ledger","attempts":1,"public":true}],"services":[{"name":"ledger",
"healthPath":"/healthz","maxConns":200,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
"idleTimeoutMs":15000}}"#;

fn put(store: &Store, server: &Server) {
    let value = format!(
        r#"{{"service":"ledger","address":"{}","zone":"z-b","version":"v1","slots":6,
"state":"ready","warmupLeftMs":0,"seq":1}}"#,
        server.address
    );
    store.put("keyed.servers", &server.id, &value);
}

/// Returns the entry that reads the servers' topic most, over a time.
fn reader_of(entries: &[Entry], time: Duration) -> usize {
    let reads = |entry: &Entry| entry.path.server_reads.load(Ordering::Relaxed);
    let before: Vec<usize> = entries.iter().map(reads).collect();
    thread::sleep(time);
    let read_since = |idx: &usize| reads(&entries[*idx]) - before[*idx];
    (0..entries.len()).max_by_key(read_since).unwrap_or(0)
}

pub fn play(setup: &Setup) -> Verdict {
    let record = &setup.record;
    let store = Store::default();
    store.put("keyed.op", "config", CONFIG);
    let mut n_started = 0;
    let mut start_server = || {
        n_started += 1;
        let id = format!("i-{n_started:04}");
        Server::start(&setup.ip(100), &id, Duration::from_millis(20), record)
    };
    let mut serving: Vec<Server> = (0..SERVERS).map(|_| start_server()).collect();
    for server in &serving {
        put(&store, server);
    }
    let names = [
        ("edge-a-1", "z-a"),
        ("edge-a-2", "z-a"),
        ("edge-a-3", "z-a"),
        ("edge-a-4", "z-a"),
        ("edge-b-1", "z-b"),
    ];
    let entries: Vec<Entry> = (1..)
        .zip(names)
        .map(|(host, (name, zone))| {
            let ip = setup.ip(host);
            let path = store.open_path(&ip);
            let mut entry = Entry::new(&ip, name, zone, path, &setup.folder, record);
            entry.start();
            entry
        })
        .collect();
    if !entries
        .iter()
        .all(|entry| entry.wait_ready(Duration::from_secs(8)))
    {
        return Verdict::CouldNotRun("an entry is not ready".into());
    }
    thread::sleep(Duration::from_secs(2));
    let first = reader_of(&entries, Duration::from_secs(3));
    record.say(&format!("entry {} reads the store", entries[first].name));
    if setup.has_trouble {
        let is_cut = &entries[first].path.is_cut;
        is_cut.store(true, Ordering::Relaxed);
        record.line("it is cut off from the store");
        thread::sleep(CUT);
        is_cut.store(false, Ordering::Relaxed);
        record.line("it reaches the store");
    } else {
        thread::sleep(CUT);
    }
    // All machines are calm for longer than `contactMs` from here on.
    thread::sleep(Duration::from_secs(4));
    let second = reader_of(&entries, Duration::from_secs(3));
    record.say(&format!("entry {} reads the store", entries[second].name));
    let request = Request {
        method: "POST",
        path: "/orders/1".into(),
        key: None,
        deadline: Duration::from_millis(2_000),
    };
    let judged = &entries[names.len() - 1];
    let period = Duration::from_millis(40);
    let clients = Clients::start(2, judged.callers, &request, period, record);
    let mut left: Vec<(Server, Instant, bool)> = Vec::new();
    for _ in 0..REPLACED {
        // The new server starts first.
        let server = start_server();
        put(&store, &server);
        serving.push(server);
        thread::sleep(LEAD);
        let old = serving.remove(0);
        let left_at = store.put("keyed.servers", &old.id, "");
        record.line(&format!("server {} leaves: its entry is removed", old.id));
        left.push((old, left_at, false));
        thread::sleep(GAP - LEAD);
        exit_due(&mut left);
    }
    thread::sleep(SERVES_ON);
    exit_due(&mut left);
    let attempts = clients.stop();
    let mut n_late = 0;
    for (server, left_at, _) in &left {
        let arrivals = server.arrivals();
        let late: Vec<Duration> = arrivals
            .iter()
            .filter(|arrival| *left_at + DRAIN < arrival.at)
            .map(|arrival| arrival.at - *left_at)
            .collect();
        if let Some(last) = late.last() {
            record.say(&format!(
                "server {}: {} requests reached it later than 2,000 ms after its leaving was \
                 acknowledged, the last {} ms after it",
                server.id,
                late.len(),
                last.as_millis()
            ));
        }
        n_late += late.len();
    }
    let served = attempts
        .iter()
        .filter(|attempt| attempt.status == Some(200));
    let n_served = served.count();
    record.say(&format!(
        "{} orders sent, {n_served} answered with success; {n_late} reached one of {} servers that \
         left too late",
        attempts.len(),
        left.len()
    ));
    if n_served < 500 {
        return Verdict::CouldNotRun("too few orders were answered".into());
    }
    match n_late {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}

/// Ends the servers that have served on for long enough.
fn exit_due(left: &mut [(Server, Instant, bool)]) {
    for (server, left_at, has_exited) in left {
        if !*has_exited && SERVES_ON <= left_at.elapsed() {
            server.exit();
            *has_exited = true;
        }
    }
}
