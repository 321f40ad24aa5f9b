//! Servers are replaced two at a time while another entry is stopped and started again.

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
const SERVES_ON: Duration = Duration::from_millis(4_000);

const ROUNDS: usize = 9;
const SERVERS: usize = 4;
const WORK: Duration = Duration::from_millis(60);

const CONFIG: &str = r#"{"version":3,"routes":[{"name":"orders","hostname":"a.example",
"pathPrefix":"/orders/","type":"unsafe","timeoutMs":2000,"sloMs":200,"priority":1,
"service":"ledger","attempts":1,"public":true}],"services":[{"name":"ledger",
"healthPath":"/healthz","maxConns":200,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
"idleTimeoutMs":15000}}"#;

fn put(store: &Store, server: &Server, state: &str, seq: usize) -> Instant {
    let value = format!(
        r#"{{"service":"ledger","address":"{}","zone":"z-a","version":"v1","slots":6,
"state":"{state}","warmupLeftMs":0,"seq":{seq}}}"#,
        server.address
    );
    store.put("keyed.servers", &server.id, &value)
}

pub fn play(setup: &Setup) -> Verdict {
    let record = &setup.record;
    let store = Store::default();
    store.put("keyed.op", "config", CONFIG);
    let mut n_started = 0;
    let mut start_server = || {
        n_started += 1;
        let id = format!("i-{n_started:04}");
        Server::start(&setup.ip(100), &id, WORK, record)
    };
    let mut serving: Vec<Server> = (0..SERVERS).map(|_| start_server()).collect();
    for server in &serving {
        put(&store, server, "ready", 1);
    }
    let mut entries: Vec<Entry> = (1..=4_u8)
        .map(|idx| {
            let ip = setup.ip(idx);
            let path = store.open_path(&ip);
            Entry::new(
                &ip,
                &format!("edge-a-{idx}"),
                "z-a",
                path,
                &setup.folder,
                record,
            )
        })
        .collect();
    for entry in &mut entries {
        entry.start();
    }
    if !entries
        .iter()
        .all(|entry| entry.wait_ready(Duration::from_secs(8)))
    {
        return Verdict::CouldNotRun("an entry is not ready".into());
    }
    let (calm, restarted) = entries.split_at_mut(3);
    let restarted = &mut restarted[0];
    thread::sleep(Duration::from_secs(4));
    let request = Request {
        method: "POST",
        path: "/orders/1".into(),
        key: None,
        deadline: Duration::from_millis(2_000),
    };
    let period = Duration::from_millis(50);
    let clients: Vec<Clients> = calm
        .iter()
        .map(|entry| Clients::start(1, entry.callers, &request, period, record))
        .collect();
    let mut left: Vec<(Server, Instant)> = Vec::new();
    for round in 0..ROUNDS {
        // The new servers start first.
        for _ in 0..2 {
            let server = start_server();
            put(&store, &server, "ready", 1);
            serving.push(server);
        }
        if setup.has_trouble {
            restarted.stop(Duration::from_secs(8));
        } else {
            thread::sleep(Duration::from_secs(3));
        }
        thread::sleep(Duration::from_millis(1_500));
        // One never reports that it leaves, its entry is removed; the other one reports it.
        let (silent, draining) = (serving.remove(0), serving.remove(0));
        let silent_at = store.put("keyed.servers", &silent.id, "");
        record.line(&format!(
            "server {} leaves: its entry is removed",
            silent.id
        ));
        let draining_at = put(&store, &draining, "draining", 2);
        record.line(&format!("server {} leaves: draining", draining.id));
        if setup.has_trouble {
            restarted.start();
        }
        thread::sleep(SERVES_ON.saturating_sub(draining_at.elapsed()));
        store.put("keyed.servers", &draining.id, "");
        silent.exit();
        draining.exit();
        left.extend([(silent, silent_at), (draining, draining_at)]);
        record.line(&format!("round {round} ends"));
    }
    thread::sleep(Duration::from_millis(500));
    let attempts: Vec<_> = clients.into_iter().flat_map(Clients::stop).collect();

    let mut n_late = 0;
    let mut n_cut = 0;
    for (server, left_at) in &left {
        let arrivals = server.arrivals();
        let late: Vec<_> = arrivals
            .iter()
            .filter(|arrival| *left_at + DRAIN < arrival.at)
            .collect();
        if let (Some(first), Some(last)) = (late.first(), late.last()) {
            record.say(&format!(
                "server {}: {} requests reached it later than 2,000 ms after its leaving was \
                 acknowledged, the first {} ms and the last {} ms after it",
                server.id,
                late.len(),
                (first.at - *left_at).as_millis(),
                (last.at - *left_at).as_millis()
            ));
        }
        n_late += late.len();
        n_cut += late.iter().filter(|arrival| !arrival.has_ended).count();
    }
    let n_answered = attempts
        .iter()
        .filter(|attempt| attempt.status == Some(200))
        .count();
    let n_unknown = attempts
        .iter()
        .filter(|attempt| attempt.status != Some(200))
        .count();
    record.say(&format!(
        "{} orders sent, {n_answered} answered with success, {n_unknown} not; {n_late} reached a \
         server too late, {n_cut} of these were cut off at its exit",
        attempts.len()
    ));
    if n_answered < 1_000 {
        return Verdict::CouldNotRun("too few orders were answered".into());
    }
    match n_late {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}
