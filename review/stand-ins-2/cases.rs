//! The cases: what clients, operators and the platform do in each, and what is judged.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use crate::client::{Request, next_id, send};
use crate::node::{Agent, Deployment, Entry, wait_ready};
use crate::rank::{N_EXPERTS, N_SETS, Place, Rank};
use crate::record::{Line, Record};
use crate::server::{Server, ServerSpec};
use crate::store::Store;

/// The bounds of the site.
const CONTACT_MS: u64 = 3_000;
const CONFIG_APPLY_MS: u64 = 2_000;
const RECOVERY_MS: u64 = 12_000;

/// The ranks of a group.
const GROUP_SIZE: usize = 12;

const ZONES: [&str; 3] = ["riga-a", "riga-b", "riga-c"];
const KEY: &str = "n2ctnfzs989anu6wsjnb";
const OTHER_KEY: &str = "anfqasnmgkcuyj8pjbvk";

/// How long a server that has crashed is away: "some seconds".
const SERVER_DOWN: Duration = Duration::from_millis(2_500);

/// A small deployment: three entries, one in each zone, and the servers of a plain service.
struct World {
    entries: Vec<Entry>,
    deployment: Deployment,
    store: Store,
    record: Record,
    _servers: Vec<Server>,
}

/// Plays a case; the exit code says whether the rule was broken.
pub fn play(case: &str, folder: &str) -> ExitCode {
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let Ok(record) = Record::create(&Path::new(folder).join("record.txt")) else {
        return ExitCode::from(2);
    };
    record.add("case", &format!("{case} trouble={has_trouble}"));
    let judged = match case {
        "poison-left" => poison_left(&record, has_trouble),
        "poison-killed" => poison_killed(&record, has_trouble),
        "foreign-entries" => foreign_entries(&record, has_trouble),
        "config-rank" => config_rank(&record, has_trouble),
        "lost-ranks" => lost_ranks(&record, has_trouble),
        _ => None,
    };
    let (word, code) = match judged {
        Some(true) => ("broken", 1),
        Some(false) => ("held", 0),
        None => ("could-not-run", 2),
    };
    record.add("judged", word);
    println!("{case}: {word}");
    ExitCode::from(code)
}

impl World {
    /// Starts servers and entries, and waits until all entries are ready and in touch.
    fn start(record: &Record, config: &str, n_servers: usize) -> Option<Self> {
        let store = Store::new(record);
        store.put("keyed.op", "config", config.as_bytes());
        let address = store.start();
        let spec = |n: usize| ServerSpec {
            service: "xano55b",
            zone: ZONES[n % 3],
            store: address,
            record: record.clone(),
            down: SERVER_DOWN,
        };
        let servers = (0..n_servers).map(|n| Server::start(&spec(n))).collect();
        let deployment = Deployment::new(address, record);
        let entries = (1..=3).map(|number| deployment.start(number)).collect();
        let world = Self {
            entries,
            deployment,
            store,
            record: record.clone(),
            _servers: servers,
        };
        if !wait_ready(&world.entries) {
            return None;
        }
        world.come_in_touch();
        Some(world)
    }

    /// Waits until each entry has run for longer than the contact time.
    fn come_in_touch(&self) {
        let contact = Duration::from_millis(CONTACT_MS + 1_000);
        for entry in &self.entries {
            std::thread::sleep(contact.saturating_sub(entry.started_at.elapsed()));
        }
        self.record.add("in-touch", "all entries");
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|entry| entry.callers).collect()
    }

    /// Writes a configuration and returns when the store acknowledged it.
    fn configure(&self, version: u32, config: &str) -> u64 {
        self.store.put("keyed.op", "config", config.as_bytes());
        self.record.add("config-acknowledged", &version.to_string());
        self.record.now()
    }
}

/// Sends one attempt and records it and its end.
fn attempt(record: &Record, entry: SocketAddr, request: &Request) -> (String, Option<u16>) {
    let id = next_id();
    record.add(
        "sent",
        &format!("{id} {entry} {} {}", request.method, request.path),
    );
    let answer = send(entry, &id, request);
    let (status, text) = match &answer {
        Ok(message) => (message.word().parse().ok(), message.word().to_owned()),
        Err(how) => (None, (*how).to_owned()),
    };
    record.add("answered", &format!("{id} {text}"));
    (id, status)
}

fn lookup(path: &str, key: &'static str) -> Request {
    Request {
        method: "GET",
        path: path.to_owned(),
        key: Some(key),
        deadline: Duration::from_millis(2_000),
        patience: Duration::from_millis(2_000),
        body: String::new(),
    }
}

/// Clients whose orders go on all the while, each with a body of its own.
struct Bystanders {
    is_done: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Bystanders {
    fn start(record: &Record, entries: Vec<SocketAddr>) -> Self {
        let is_done = Arc::new(AtomicBool::new(false));
        let threads = (0..6).map(|n| {
            let (record, entries, is_done) = (record.clone(), entries.clone(), is_done.clone());
            std::thread::spawn(move || {
                for n_order in 0.. {
                    if is_done.load(Ordering::SeqCst) {
                        return;
                    }
                    let order = Request {
                        method: "POST",
                        body: format!("order {n}-{n_order}"),
                        ..lookup("/puxa403/2f", KEY)
                    };
                    attempt(&record, entries[(n + n_order) % entries.len()], &order);
                    std::thread::sleep(Duration::from_millis(30));
                }
            })
        });
        let threads = threads.collect();
        Self { is_done, threads }
    }

    fn stop(self) {
        self.is_done.store(true, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

/// Returns a configuration; `extra` holds further fields of the first route.
fn config(version: u32, extra: &str, tenants: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[\
         {{\"name\":\"r-1\",\"hostname\":\"ficu95.example\",\"pathPrefix\":\"/cufi504/\",\
         \"type\":\"safe\",\"timeoutMs\":2000,\"sloMs\":100,\"service\":\"xano55b\",\
         \"attempts\":2,\"public\":false,{extra}}},\
         {{\"name\":\"r-2\",\"hostname\":\"ficu95.example\",\"pathPrefix\":\"/puxa403/\",\
         \"type\":\"unsafe\",\"timeoutMs\":2000,\"sloMs\":100,\"priority\":2,\
         \"service\":\"xano55b\",\"attempts\":1,\"public\":false}},\
         {{\"name\":\"r-3\",\"hostname\":\"ficu95.example\",\"pathPrefix\":\"/lohu930/\",\
         \"type\":\"streaming\",\"timeoutMs\":8000,\"sloMs\":400,\"priority\":1,\
         \"service\":\"xano55b\",\"attempts\":2,\"public\":false,\"sticky\":true,\
         \"resumable\":true,\"itlTargetMs\":120}}],\
         \"services\":[{{\"name\":\"xano55b\",\"healthPath\":\"/healthz\",\"maxConns\":248,\
         \"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[{tenants}]}}"
    )
}

const TENANT: &str = "{\"name\":\"hule930\",\"apiKeys\":[\"n2ctnfzs989anu6wsjnb\",\"anfqasnmgkcuyj8pjbvk\"],\"priority\":1}";

/// A request hangs its servers and then crashes them; its caller has left by then, as callers do.
fn poison_left(record: &Record, has_trouble: bool) -> Option<bool> {
    let world = World::start(record, &config(7, "\"priority\":2", TENANT), 6)?;
    let addresses = world.addresses();
    let bystanders = Bystanders::start(record, addresses.clone());
    let path = if has_trouble {
        "/lohu930/end-3000/2f"
    } else {
        "/lohu930/hang-3000/2f"
    };
    let stream = Request {
        method: "POST",
        deadline: Duration::from_millis(8_000),
        // Clients abandon a stream before its first event after two seconds.
        patience: Duration::from_millis(2_000),
        body: "a prompt".into(),
        ..lookup(path, KEY)
    };
    for n_sent in 0..10 {
        attempt(record, addresses[n_sent % 3], &stream);
        std::thread::sleep(Duration::from_millis(2_000));
    }
    bystanders.stop();
    std::thread::sleep(Duration::from_millis(2_500));
    Some(judge_poison(record, path))
}

/// A request crashes its servers at once; all entries lose their memory between two of its visits.
fn poison_killed(record: &Record, has_trouble: bool) -> Option<bool> {
    let mut world = World::start(record, &config(7, "\"priority\":2", TENANT), 6)?;
    let poison = Request {
        deadline: Duration::from_millis(600),
        ..lookup("/cufi504/end-50/2f", KEY)
    };
    for n_visit in 0..2 {
        if n_visit == 1 {
            std::thread::sleep(Duration::from_secs(3));
            if has_trouble {
                let World {
                    deployment,
                    entries,
                    ..
                } = &mut world;
                deployment.kill_all(entries, Duration::from_millis(2_000));
            }
            if !wait_ready(&world.entries) {
                return None;
            }
            world.come_in_touch();
        }
        let addresses = world.addresses();
        let bystanders = Bystanders::start(record, addresses.clone());
        for n_sent in 0..6 {
            let (_, status) = attempt(record, addresses[n_sent % 3], &poison);
            if status != Some(503) {
                // The client retries once, at another entry.
                attempt(record, addresses[(n_sent + 1) % 3], &poison);
            }
            std::thread::sleep(Duration::from_millis(800));
        }
        bystanders.stop();
    }
    Some(judge_poison(record, &poison.path))
}

/// BUDGET: a request that crashes the servers that run it reaches servers in more than three
/// retries, sent by machines in touch later than `contactMs` after it has crashed the third.
fn judge_poison(record: &Record, path: &str) -> bool {
    let lines = record.lines();
    let of_path: HashSet<&str> = of_kind(&lines, "sent")
        .filter(|line| line.fields[3] == path)
        .map(|line| &*line.fields[0])
        .collect();
    let mut crashes: Vec<u64> = of_kind(&lines, "server-crashed")
        .filter(|line| of_path.contains(&*line.fields[1]))
        .map(|line| line.at_ms)
        .collect();
    crashes.sort_unstable();
    // Entries are in touch once they have run for the contact time.
    let in_touch = |at: u64| {
        let starts = of_kind(&lines, "entry-started").map(|line| line.at_ms);
        starts
            .filter(|start| *start <= at)
            .max()
            .is_some_and(|start| start + CONTACT_MS <= at)
    };
    let n_late = crashes.get(2).map_or(0, |third| {
        of_kind(&lines, "run")
            .filter(|line| of_path.contains(&*line.fields[0]))
            .filter(|line| third + CONTACT_MS < line.at_ms && in_touch(line.at_ms))
            .count()
    });
    let lost = lost_orders(&lines);
    record.add("crashes", &crashes.len().to_string());
    record.add("late-retries", &n_late.to_string());
    record.add("orders-run-and-not-answered", &lost.to_string());
    println!(
        "{} crashes, {n_late} late retries, {lost} orders run and not answered",
        crashes.len()
    );
    3 < n_late
}

/// Counts the orders of bystanders that ran and got no answer of their server.
fn lost_orders(lines: &[Line]) -> usize {
    let answers: HashMap<&str, &str> = of_kind(lines, "answered")
        .map(|line| (&*line.fields[0], &*line.fields[1]))
        .collect();
    of_kind(lines, "run")
        .filter(|line| line.fields[1].starts_with("/puxa403/"))
        .filter(|line| answers.get(&*line.fields[0]) != Some(&"200"))
        .count()
}

fn of_kind<'a>(lines: &'a [Line], kind: &'a str) -> impl Iterator<Item = &'a Line> {
    lines.iter().filter(move |line| line.kind == kind)
}

/// A version takes a key away and gives a route a rank over 255.
fn config_rank(record: &Record, has_trouble: bool) -> Option<bool> {
    let world = World::start(record, &config(7, "\"priority\":2", TENANT), 3)?;
    let addresses = world.addresses();
    let paths = lookup("/cufi504/2f", OTHER_KEY);
    for address in &addresses {
        if attempt(record, *address, &paths).1 != Some(200) {
            return None;
        }
    }
    let tenant = "{\"name\":\"hule930\",\"apiKeys\":[\"n2ctnfzs989anu6wsjnb\"],\"priority\":1}";
    let rank = if has_trouble {
        "\"priority\":300"
    } else {
        "\"priority\":30"
    };
    let acknowledged = world.configure(12, &config(12, rank, tenant));
    std::thread::sleep(Duration::from_millis(CONFIG_APPLY_MS + 500));
    let mut late = HashSet::new();
    for n_sent in 0..30 {
        let (id, _) = attempt(record, addresses[n_sent % 3], &paths);
        late.insert(id);
        std::thread::sleep(Duration::from_millis(300));
    }
    // CONFIG: a request sent later than `configApplyMs` after the acknowledgement is run with a
    // dropped key.
    let lines = record.lines();
    let runs = of_kind(&lines, "run").filter(|line| late.contains(&line.fields[0]));
    let n_runs = runs
        .filter(|line| acknowledged + CONFIG_APPLY_MS < line.at_ms)
        .count();
    record.add("late-runs-with-dropped-key", &n_runs.to_string());
    println!(
        "{n_runs} of {} late requests ran with a dropped key",
        late.len()
    );
    Some(0 < n_runs)
}

/// One rank of each of three of four groups stays away after all machines of the system were killed.
fn lost_ranks(record: &Record, has_trouble: bool) -> Option<bool> {
    let store = Store::new(record);
    store.put("keyed.op", "config", group_config().as_bytes());
    let deployment = Deployment::new(store.start(), record);
    let places: Vec<Place> = ["g-a", "g-b", "g-c", "g-d"]
        .into_iter()
        .flat_map(|group| (0..GROUP_SIZE).map(move |rank| (group, rank)))
        .map(|(group, rank)| Place {
            group,
            rank,
            size: GROUP_SIZE,
            zone: ZONES[rank % 3],
        })
        .collect();
    let target = |n: usize| deployment.address(101 + n as u8, 8122);
    let mut ranks: Vec<Rank> = places
        .iter()
        .enumerate()
        .map(|(n, place)| {
            Rank::start(
                *place,
                target(n),
                deployment.store,
                record,
                &deployment.folder,
            )
        })
        .collect();
    std::thread::sleep(Duration::from_millis(300));
    let start_agents = || -> Vec<Agent> {
        let agents = places.iter().enumerate();
        agents
            .map(|(n, place)| {
                deployment.start_agent(101 + n as u8, target(n), "dele69a", place.zone)
            })
            .collect()
    };
    let mut agents = start_agents();
    let mut entries: Vec<Entry> = (1..=3).map(|number| deployment.start(number)).collect();
    if !wait_ready(&entries) {
        return None;
    }
    std::thread::sleep(Duration::from_millis(CONTACT_MS + 1_000));
    let addresses: Vec<SocketAddr> = entries.iter().map(|entry| entry.callers).collect();
    send_streams(record, &addresses, Duration::from_secs(10));
    let fault_ms = record.now();
    if has_trouble {
        // The machines of three ranks are gone for good; the others of their groups serve no more.
        for (group, idx) in [
            ("g-d", 4 * GROUP_SIZE - 1),
            ("g-c", 3 * GROUP_SIZE - 1),
            ("g-b", 2 * GROUP_SIZE - 1),
        ] {
            let lost = ranks.remove(idx);
            std::fs::write(deployment.folder.join(format!("broken-{group}")), lost.id()).ok()?;
            record.add("rank-lost", &format!("{group} {}", lost.id()));
        }
        agents.clear();
        record.add("agents-killed", &places.len().to_string());
        deployment.kill_all(&mut entries, Duration::from_millis(2_000));
        agents = start_agents();
        if !wait_ready(&entries) {
            return None;
        }
    }
    record.add("back", "all machines of the system");
    let late_ms = record.now() + RECOVERY_MS;
    send_streams(
        record,
        &addresses,
        Duration::from_millis(RECOVERY_MS + 50_000),
    );
    drop(agents);
    Some(judge_recovery(record, fault_ms, late_ms))
}

/// RECOVER: of the requests sent later than `recoveryS` after the machines are back, less than a
/// quarter is served, though a quarter or more was before the final fault. A request is one client
/// attempt with its own id.
fn judge_recovery(record: &Record, fault_ms: u64, late_ms: u64) -> bool {
    let lines = record.lines();
    let served: HashSet<&str> = of_kind(&lines, "answered")
        .filter(|line| line.fields[1] == "200")
        .map(|line| &*line.fields[0])
        .collect();
    let count = |times: std::ops::Range<u64>| {
        let sent = of_kind(&lines, "sent").filter(|line| times.contains(&line.at_ms));
        let sent: Vec<&Line> = sent.collect();
        let n_served = sent
            .iter()
            .filter(|line| served.contains(&*line.fields[0]))
            .count();
        (n_served, sent.len())
    };
    let (before, late) = (count(0..fault_ms), count(late_ms..u64::MAX));
    record.add("served-before", &format!("{} of {}", before.0, before.1));
    record.add("served-late", &format!("{} of {}", late.0, late.1));
    println!(
        "served {} of {} before, {} of {} late",
        before.0, before.1, late.0, late.1
    );
    before.1 <= 4 * before.0 && 4 * late.0 < late.1
}

/// Sends a stream to each entry in turn for a time.
fn send_streams(record: &Record, entries: &[SocketAddr], time: Duration) {
    let end = std::time::Instant::now() + time;
    let mut clients = Vec::new();
    while std::time::Instant::now() < end {
        let entry = entries[clients.len() % entries.len()];
        let next_entry = entries[(clients.len() + 1) % entries.len()];
        let record = record.clone();
        clients.push(std::thread::spawn(move || {
            let stream = Request {
                method: "POST",
                deadline: Duration::from_millis(8_000),
                body: "a prompt".into(),
                ..lookup("/lohu930/2f", KEY)
            };
            if attempt(&record, entry, &stream).1 == Some(503) {
                // The client comes back once, to another entry, after the time that it was told.
                std::thread::sleep(Duration::from_millis(2_500));
                attempt(&record, next_entry, &stream);
            }
        }));
        std::thread::sleep(Duration::from_millis(1_000));
    }
    for client in clients {
        let _ = client.join();
    }
}

/// Entries of another writer lie among those of the servers as all processes are killed.
fn foreign_entries(record: &Record, has_trouble: bool) -> Option<bool> {
    let mut world = World::start(record, &config(7, "\"priority\":2", TENANT), 3)?;
    if has_trouble {
        for n_entry in 0..N_FOREIGN {
            let bytes = vec![0xff; FOREIGN_BYTES];
            world
                .store
                .put("keyed.servers", &format!("x-{n_entry}"), &bytes);
        }
        record.add(
            "foreign-entries",
            &format!("{N_FOREIGN} of {FOREIGN_BYTES} bytes"),
        );
    }
    send_lookups(record, &world.addresses(), Duration::from_secs(5));
    let fault_ms = record.now();
    let World {
        deployment,
        entries,
        ..
    } = &mut world;
    deployment.kill_all(entries, Duration::from_millis(2_000));
    std::thread::sleep(Duration::from_secs(1));
    record.add("back", "all machines of the system");
    let late_ms = record.now() + RECOVERY_MS;
    send_lookups(
        record,
        &world.addresses(),
        Duration::from_millis(RECOVERY_MS + 15_000),
    );
    Some(judge_recovery(record, fault_ms, late_ms))
}

/// The entries of another writer; the platform's limit on a record is 262,144 bytes.
const N_FOREIGN: usize = 40;
const FOREIGN_BYTES: usize = 250_000;

/// Sends lookups to each entry in turn for a time.
fn send_lookups(record: &Record, entries: &[SocketAddr], time: Duration) {
    let end = std::time::Instant::now() + time;
    for n_sent in 0.. {
        if end <= std::time::Instant::now() {
            return;
        }
        attempt(
            record,
            entries[n_sent % entries.len()],
            &lookup("/cufi504/2f", KEY),
        );
        std::thread::sleep(Duration::from_millis(200));
    }
}

fn group_config() -> String {
    config(7, "\"priority\":2", TENANT)
        .replace("\"sloMs\":400,\"priority\":1,\"service\":\"xano55b\"", "\"sloMs\":400,\"priority\":1,\"service\":\"dele69a\"")
        .replace(
            "\"services\":[",
            "\"services\":[{\"name\":\"dele69a\",\"healthPath\":\"/healthz\",\"maxConns\":732,\
             \"protocol\":\"h1\",\"tls\":false,\"runtime\":{\"slots\":12,\"kvCapacity\":494000,\
             \"stride\":5,\"modelList\":[{\"name\":\"m\"}],\"step_ms\":4.84,\"groups\":N_SETS,\"experts\":N_EXPERTS,\
             \"placements\":12,\"headroom\":2,\"expertMb\":880.0,\"linkMbps\":180000.0,\"form_ms\":600.0}},",
        )
        .replace("N_SETS", &N_SETS.to_string())
        .replace("N_EXPERTS", &N_EXPERTS.to_string())
}
