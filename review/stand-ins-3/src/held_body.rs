//! A server answers a long request before it has read its body, keeps the connection and reads on later;
//! meanwhile it drains.

use std::io::{BufReader, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{read_body, read_head};
use crate::stage::{Entry, Stage, beat, configuration, exchange, request, success};
use crate::store::Store;

/// The body from which a server answers before it has read it.
const LONG_BODY: usize = 1_000_000;

/// How much later the server reads on.
const READ_ON_AFTER: Duration = Duration::from_secs(3);

/// `drainMs` of the deployment.
const DRAIN_S: f64 = 2.0;

/// How much later than the bound a request counts, for the way from the entry to the server.
const MARGIN_S: f64 = 0.1;

struct Server {
    id: &'static str,
    stage: Stage,
    /// Whether it reads long bodies late.
    reads_late: AtomicBool,
    /// The ids of the requests that have reached it, and when.
    arrivals: Mutex<Vec<(String, f64)>>,
}

/// Plays the case; returns whether the rule held.
pub fn play(stage: &Stage) -> Result<bool> {
    let store = Store::default();
    let store_address = store.start(&stage.ip(1))?;
    store.put("keyed.op", "config", configuration(1).as_bytes());
    let (leaving, leaving_address) = Server::start(stage, "i-leaving", 100)?;
    let (_staying, staying_address) = Server::start(stage, "i-staying", 101)?;
    leaving
        .reads_late
        .store(stage.has_trouble, Ordering::SeqCst);
    let put = |id: &str, address, zone, state, seq| {
        store.put(
            "keyed.servers",
            id,
            beat(address, zone, state, seq).as_bytes(),
        );
    };
    put("i-leaving", leaving_address, "a", "ready", 1);
    put("i-staying", staying_address, "b", "ready", 1);
    let entry = Entry::start(stage, "edge-a-1", &stage.ip(10), store_address)?;
    entry.wait_ready()?;
    thread::sleep(Duration::from_secs(1));

    let long = request(
        "/order/long",
        "000000000000000a",
        8_000,
        &vec![b'l'; LONG_BODY],
    );
    let status = exchange(entry.callers, &long)?.status();
    stage.note(&format!("the long request is answered {status}"));
    let callers = entry.callers;
    let caller_stage = stage.clone();
    let caller = thread::spawn(move || {
        let sent = request("/order/short", "000000000000000b", 8_000, b"{}");
        let status = exchange(callers, &sent).map_or(0, |response| response.status());
        caller_stage.note(&format!("the short request is answered {status}"));
        status
    });
    thread::sleep(Duration::from_millis(200));
    put("i-leaving", leaving_address, "a", "draining", 2);
    let acknowledged_at = stage.now();
    stage.note("the store has acknowledged that i-leaving is draining");
    let status = caller.join().unwrap_or(0);
    thread::sleep(Duration::from_secs(1));
    drop(entry);

    let arrivals = leaving.arrivals.lock().unwrap();
    let latest = acknowledged_at + DRAIN_S + MARGIN_S;
    let late: Vec<_> = arrivals.iter().filter(|(_, at)| latest < *at).collect();
    stage.note(&format!(
        "requests that reached i-leaving later than {DRAIN_S} s after that: {late:.3?}"
    ));
    if !stage.has_trouble && status != 200 {
        return Ok(false);
    }
    Ok(late.is_empty())
}

impl Server {
    fn start(stage: &Stage, id: &'static str, number: usize) -> Result<(Arc<Self>, SocketAddr)> {
        let listener = TcpListener::bind((stage.ip(number).as_str(), 0))?;
        let address = listener.local_addr()?;
        let server = Arc::new(Self {
            id,
            stage: stage.clone(),
            reads_late: AtomicBool::new(false),
            arrivals: Mutex::default(),
        });
        let accepting = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = accepting.clone();
                thread::spawn(move || {
                    // A connection ends with an error where its entry goes.
                    let _ = server.serve(stream);
                });
            }
        });
        Ok((server, address))
    }

    fn serve(&self, stream: TcpStream) -> Result<()> {
        stream.set_nodelay(true)?;
        let mut output = stream.try_clone()?;
        let mut input = BufReader::new(stream);
        while let Some(mut request) = read_head(&mut input)? {
            let id = request.header("comfreyhead-attempt-id").to_owned();
            let server = self.id;
            self.stage.note(&format!(
                "request {id} reaches server {server}, which runs it"
            ));
            self.arrivals
                .lock()
                .unwrap()
                .push((id.clone(), self.stage.now()));
            let is_long = LONG_BODY <= request.length();
            if is_long && self.reads_late.load(Ordering::SeqCst) {
                output.write_all(&success(server, &id, "taken"))?;
                thread::sleep(READ_ON_AFTER);
                read_body(&mut input, &mut request)?;
                self.stage
                    .note(&format!("server {server} has read the body of {id}"));
            } else {
                read_body(&mut input, &mut request)?;
                output.write_all(&success(server, &id, "done"))?;
            }
        }
        Ok(())
    }
}
