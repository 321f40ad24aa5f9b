//! A request crashes each server that runs it, some seconds after it began, and comes again meanwhile.

use std::io::{BufReader, Result, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{read_body, read_head};
use crate::stage::{Entry, Stage, beat, configuration, exchange, request, success};
use crate::store::Store;

/// The servers of the service.
const N_SERVERS: usize = 16;

/// The entries, which get the request by turns.
const N_ENTRIES: usize = 3;

/// How long a run takes until the server crashes, or answers where there is no trouble.
const RUN_TIME: Duration = Duration::from_secs(4);

/// The time after which a crashed server is back.
const DOWN_TIME: Duration = Duration::from_secs(3);

/// The time between two attempts of the caller.
const ATTEMPT_PERIOD: Duration = Duration::from_millis(500);

/// How long the request comes again.
const PLAY_TIME: f64 = 24.0;

/// `contactMs` of the deployment, and the retries that the rule allows after it.
const CONTACT_S: f64 = 3.0;
const MAX_RETRIES: usize = 3;

/// How much later than the bound a request counts, for the way from the entry to the server.
const MARGIN_S: f64 = 0.1;

/// What the servers have seen: when the request reached one, and when one crashed.
#[derive(Default)]
struct Seen {
    arrivals: Vec<f64>,
    crashes: Vec<f64>,
}

struct Server {
    number: usize,
    address: SocketAddr,
    stage: Stage,
    store: Store,
    seen: Arc<Mutex<Seen>>,
}

/// One life of a server.
struct Life {
    id: String,
    is_alive: AtomicBool,
    is_closed: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
}

/// Plays the case; returns whether the rule held.
pub fn play(stage: &Stage) -> Result<bool> {
    let store = Store::default();
    let store_address = store.start(&stage.ip(1))?;
    store.put("keyed.op", "config", configuration(1).as_bytes());
    let seen = Arc::new(Mutex::new(Seen::default()));
    for number in 0..N_SERVERS {
        let address = TcpListener::bind((stage.ip(100 + number).as_str(), 0))?.local_addr()?;
        let server = Arc::new(Server {
            number,
            address,
            stage: stage.clone(),
            store: store.clone(),
            seen: seen.clone(),
        });
        server.begin_life(1)?;
    }
    let mut entries = Vec::new();
    for number in 0..N_ENTRIES {
        let name = format!("edge-a-{}", number + 1);
        entries.push(Entry::start(
            stage,
            &name,
            &stage.ip(10 + number),
            store_address,
        )?);
    }
    for entry in &entries {
        entry.wait_ready()?;
    }
    // The entries hear of each other within this time.
    thread::sleep(Duration::from_secs(2));
    let began_at = stage.now();
    stage.note("the caller begins");
    let statuses = Arc::new(Mutex::new(Vec::new()));
    let mut callers = Vec::new();
    let mut attempt = 0;
    while stage.now() < began_at + PLAY_TIME {
        let (stage, statuses) = (stage.clone(), statuses.clone());
        let address = entries[attempt % N_ENTRIES].callers;
        callers.push(thread::spawn(move || {
            let id = format!("{attempt:016x}");
            let sent = request("/order/17", &id, 8_000, b"{\"order\":17}");
            let status = exchange(address, &sent).map_or(0, |response| response.status());
            stage.note(&format!("attempt {id} at {address} is answered {status}"));
            statuses.lock().unwrap().push(status);
        }));
        attempt += 1;
        thread::sleep(ATTEMPT_PERIOD);
    }
    for caller in callers {
        // A caller fails only with the whole case.
        let _ = caller.join();
    }
    drop(entries);
    let seen = seen.lock().unwrap();
    let statuses = statuses.lock().unwrap();
    if !stage.has_trouble {
        let n_served = statuses.iter().filter(|status| **status == 200).count();
        stage.note(&format!(
            "without trouble: {n_served} of {attempt} attempts are served"
        ));
        return Ok(n_served == attempt && seen.crashes.is_empty());
    }
    let Some(third) = seen.crashes.get(2) else {
        return Err(std::io::Error::other("fewer than three servers crashed"));
    };
    let late_from = third + CONTACT_S + MARGIN_S;
    let late: Vec<f64> = seen
        .arrivals
        .iter()
        .copied()
        .filter(|at| late_from < *at)
        .collect();
    stage.note(&format!(
        "{} servers crashed, the third at {third:.3} s; from {late_from:.3} s on the request \
        reached servers {} times, at most {MAX_RETRIES} are allowed: {late:.3?}",
        seen.crashes.len(),
        late.len()
    ));
    Ok(late.len() <= MAX_RETRIES)
}

impl Server {
    fn begin_life(self: &Arc<Self>, life_number: usize) -> Result<()> {
        let listener = TcpListener::bind(self.address)?;
        listener.set_nonblocking(true)?;
        let life = Arc::new(Life {
            id: format!("i-{:02}-{life_number}", self.number),
            is_alive: AtomicBool::new(true),
            is_closed: AtomicBool::new(false),
            connections: Mutex::default(),
        });
        let (server, accepting) = (self.clone(), life.clone());
        thread::spawn(move || server.accept(&listener, &accepting, life_number));
        let server = self.clone();
        thread::spawn(move || server.beat(&life));
        Ok(())
    }

    /// Writes the server's entry in the store every heartbeat; three heartbeats after a crash the
    /// platform removes it.
    fn beat(&self, life: &Life) {
        let seq = AtomicU64::new(0);
        while life.is_alive.load(Ordering::SeqCst) {
            let seq = seq.fetch_add(1, Ordering::SeqCst) + 1;
            let entry = beat(self.address, "a", "ready", seq);
            self.store.put("keyed.servers", &life.id, entry.as_bytes());
            thread::sleep(Duration::from_millis(1_200));
        }
        thread::sleep(Duration::from_millis(3_600));
        self.store.put("keyed.servers", &life.id, b"");
    }

    fn accept(self: &Arc<Self>, listener: &TcpListener, life: &Arc<Life>, life_number: usize) {
        while life.is_alive.load(Ordering::SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            let (server, life) = (self.clone(), life.clone());
            thread::spawn(move || {
                // A connection ends with an error where its entry goes.
                let _ = server.serve(stream, &life, life_number);
            });
        }
        life.is_closed.store(true, Ordering::SeqCst);
    }

    fn serve(self: &Arc<Self>, stream: TcpStream, life: &Arc<Life>, number: usize) -> Result<()> {
        stream.set_nonblocking(false)?;
        stream.set_nodelay(true)?;
        life.connections.lock().unwrap().push(stream.try_clone()?);
        let mut output = stream.try_clone()?;
        let mut input = BufReader::new(stream);
        while let Some(mut request) = read_head(&mut input)? {
            read_body(&mut input, &mut request)?;
            let id = request.header("comfreyhead-attempt-id").to_owned();
            self.seen.lock().unwrap().arrivals.push(self.stage.now());
            self.stage.note(&format!(
                "request {id} reaches server {}, which runs it",
                life.id
            ));
            thread::sleep(RUN_TIME);
            if self.stage.has_trouble {
                self.crash(life, number);
                return Ok(());
            }
            output.write_all(&success(&life.id, &id, "done"))?;
        }
        Ok(())
    }

    /// Ends the server at once; it is back some seconds later under another id.
    fn crash(self: &Arc<Self>, life: &Arc<Life>, number: usize) {
        if !life.is_alive.swap(false, Ordering::SeqCst) {
            return;
        }
        while !life.is_closed.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(1));
        }
        // The accepting thread has returned or is about to; its listener is closed with it.
        thread::sleep(Duration::from_millis(2));
        self.seen.lock().unwrap().crashes.push(self.stage.now());
        self.stage.note(&format!("server {} crashes", life.id));
        for connection in life.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        let server = self.clone();
        thread::spawn(move || {
            thread::sleep(DOWN_TIME);
            if let Err(err) = server.begin_life(number + 1) {
                server
                    .stage
                    .note(&format!("server {} is not back: {err}", server.number));
            }
        });
    }
}
