//! Another writer puts entries that can't be read beside those of the servers; later all processes
//! are killed and start again. Checks whether the system serves again.

use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Attempt, Clients, Request};
use crate::entry::Entry;
use crate::server::Server;
use crate::store::Store;
use crate::{Setup, Verdict};

/// `recoveryS`: after this time from the machines' return on, requests count.
const RECOVERY: Duration = Duration::from_secs(12);

/// How long requests are sent after that.
const JUDGED: Duration = Duration::from_secs(15);

/// How long the processes are down.
const DOWN: Duration = Duration::from_millis(1_000);

/// The entries of the other writer, and the length of each: less than `recordBytes`.
const FOREIGN_KEYS: [&str; 4] = ["batch 1", "batch 2", "batch 3", "batch 4"];
const FOREIGN_BYTES: usize = 262_000;

const CONFIG: &str = r#"{"version":3,"routes":[{"name":"lookups","hostname":"a.example",
"pathPrefix":"/lookups/","type":"safe","timeoutMs":1000,"sloMs":100,"priority":1,
"service":"ledger","attempts":2,"public":true}],"services":[{"name":"ledger",
"healthPath":"/healthz","maxConns":200,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
"idleTimeoutMs":15000}}"#;

pub fn play(setup: &Setup) -> Verdict {
    let record = &setup.record;
    let store = Store::default();
    store.put("keyed.op", "config", CONFIG);
    let mut servers = Vec::new();
    for idx in 1..=3 {
        let id = format!("i-{idx:04}");
        let server = Server::start(&setup.ip(100), &id, Duration::from_millis(5), record);
        let value = format!(
            r#"{{"service":"ledger","address":"{}","zone":"z-a","version":"v1","slots":6,
"state":"ready","warmupLeftMs":0,"seq":1}}"#,
            server.address
        );
        store.put("keyed.servers", &server.id, &value);
        servers.push(server);
    }
    let mut entries: Vec<Entry> = (1..=3_u8)
        .map(|idx| {
            let ip = setup.ip(idx);
            let path = store.open_path(&ip);
            let name = format!("edge-a-{idx}");
            Entry::new(&ip, &name, "z-a", path, &setup.folder, record)
        })
        .collect();
    for entry in &mut entries {
        entry.start();
    }
    let ready = |entry: &Entry| entry.wait_ready(Duration::from_secs(8));
    if !entries.iter().all(ready) {
        return Verdict::CouldNotRun("an entry is not ready".into());
    }
    let request = Request {
        method: "GET",
        path: "/lookups/1".into(),
        key: None,
        deadline: Duration::from_millis(1_000),
    };
    let clients: Vec<Clients> = entries
        .iter()
        .map(|entry| {
            Clients::start(
                1,
                entry.callers,
                &request,
                Duration::from_millis(50),
                record,
            )
        })
        .collect();
    thread::sleep(Duration::from_secs(5));
    if setup.has_trouble {
        for key in FOREIGN_KEYS {
            // No JSON, so that it names no server.
            store.put("keyed.servers", key, &"~".repeat(FOREIGN_BYTES));
            record.line(&format!("another writer puts the entry \"{key}\""));
        }
    }
    thread::sleep(Duration::from_secs(8));
    let killed_at = Instant::now();
    for entry in &mut entries {
        entry.kill();
    }
    thread::sleep(DOWN);
    for entry in &mut entries {
        entry.start();
    }
    let back_at = Instant::now();
    thread::sleep(RECOVERY + JUDGED);
    let n_ready = entries.iter().filter(|entry| entry.is_ready()).count();
    let attempts: Vec<Attempt> = clients.into_iter().flat_map(Clients::stop).collect();
    let share = |attempts: Vec<&Attempt>| {
        let served = attempts
            .iter()
            .filter(|attempt| attempt.status == Some(200));
        (served.count(), attempts.len())
    };
    let before = share(
        attempts
            .iter()
            .filter(|attempt| attempt.sent_at < killed_at)
            .collect(),
    );
    let after = share(
        attempts
            .iter()
            .filter(|attempt| back_at + RECOVERY < attempt.sent_at)
            .collect(),
    );
    record.say(&format!(
        "before the processes were killed {} of {} requests were served; of those sent later than \
         12 s after they were back {} of {}; {n_ready} of {} entries are ready",
        before.0,
        before.1,
        after.0,
        after.1,
        entries.len()
    ));
    if before.0 * 4 < before.1 || after.1 < 100 {
        return Verdict::CouldNotRun("too little was served or sent".into());
    }
    match after.0 * 4 < after.1 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
