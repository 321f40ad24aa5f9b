//! Stand-in of the servers of a plain service, each a process of its own.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Message, read_message, respond};
use crate::node::{end_with_parent, own_program};
use crate::record::Record;

/// The requests that a server runs at once, and those that it queues beyond them.
const SLOTS: usize = 6;
const QUEUE: usize = 24;

/// The time between two writes of a server's entry.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// The time of an ordinary run.
const WORK: Duration = Duration::from_millis(15);

/// The platform's side of a server: it starts the process again after a crash.
pub struct Server {
    child: Arc<Mutex<Child>>,
    is_stopping: Arc<AtomicBool>,
}

impl Drop for Server {
    fn drop(&mut self) {
        self.is_stopping.store(true, Ordering::SeqCst);
        let mut child = self.child.lock().unwrap();
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// How a server is started.
#[derive(Clone)]
pub struct ServerSpec {
    pub service: &'static str,
    pub zone: &'static str,
    pub store: SocketAddr,
    pub record: Record,
    /// How long a server that has crashed is away.
    pub down: Duration,
}

impl Server {
    pub fn start(spec: &ServerSpec) -> Self {
        // A free port, which the server keeps over its restarts.
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        drop(listener);
        let child = Arc::new(Mutex::new(spawn(spec, address)));
        let is_stopping = Arc::new(AtomicBool::new(false));
        let (watched, stopping, spec) = (child.clone(), is_stopping.clone(), spec.clone());
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(20));
                let ended = watched.lock().unwrap().try_wait();
                if stopping.load(Ordering::SeqCst) {
                    return;
                }
                if !matches!(ended, Ok(Some(_))) {
                    continue;
                }
                std::thread::sleep(spec.down);
                let mut child = watched.lock().unwrap();
                if stopping.load(Ordering::SeqCst) {
                    return;
                }
                *child = spawn(&spec, address);
            }
        });
        Self { child, is_stopping }
    }
}

fn spawn(spec: &ServerSpec, address: SocketAddr) -> Child {
    let mut command = Command::new(own_program());
    command.args([
        "server",
        spec.service,
        spec.zone,
        &address.to_string(),
        &spec.store.to_string(),
    ]);
    command
        .arg(spec.record.path())
        .arg(spec.record.start_ms.to_string());
    command
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::null());
    end_with_parent(&mut command);
    command.spawn().unwrap()
}

/// What the threads of a server process share.
struct State {
    id: String,
    record: Record,
    n_taken: AtomicUsize,
}

/// Runs a server process.
pub fn run(args: &[&str]) -> ExitCode {
    let [service, zone, address, store, record, start_ms] = args else {
        return ExitCode::from(2);
    };
    let Ok(record) = Record::open(Path::new(record), start_ms.parse().unwrap_or(0)) else {
        return ExitCode::from(2);
    };
    let Ok(listener) = TcpListener::bind(address) else {
        return ExitCode::from(2);
    };
    let id = format!("i-{:08x}", std::process::id());
    let state = Arc::new(State {
        id: id.clone(),
        record,
        n_taken: AtomicUsize::new(0),
    });
    state.record.add("server-started", &id);
    let born = crate::record::now_ms();
    let (service, zone) = ((*service).to_owned(), (*zone).to_owned());
    let (address, store) = ((*address).to_owned(), (*store).to_owned());
    std::thread::spawn(move || {
        for seq in 1.. {
            let entry = format!(
                "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
                 \"version\":\"v1\",\"slots\":{SLOTS},\"state\":\"ready\",\"warmupLeftMs\":0,\
                 \"born\":{born},\"seq\":{seq}}}"
            );
            if !beat(&store, &id, &entry) {
                // The platform has gone, so that nobody ends this process.
                std::process::exit(0);
            }
            std::thread::sleep(HEARTBEAT);
        }
    });
    for stream in listener.incoming().flatten() {
        let state = state.clone();
        std::thread::spawn(move || serve(stream, &state));
    }
    ExitCode::SUCCESS
}

pub fn beat(store: &str, id: &str, entry: &str) -> bool {
    let Ok(mut stream) = TcpStream::connect(store) else {
        return false;
    };
    let len = entry.len();
    let text = format!(
        "POST /standin/beat?id={id} HTTP/1.1\r\nHost: store\r\nContent-Length: {len}\r\n\r\n{entry}"
    );
    stream.write_all(text.as_bytes()).is_ok() && read_message(&mut BufReader::new(stream)).is_some()
}

fn serve(stream: TcpStream, state: &Arc<State>) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_message(&mut reader) {
        let n_taken = state.n_taken.fetch_add(1, Ordering::SeqCst);
        let is_kept = answer(&request, n_taken, &mut writer, state);
        state.n_taken.fetch_sub(1, Ordering::SeqCst);
        if !is_kept {
            return;
        }
    }
}

/// Answers a request; returns whether the connection is kept.
fn answer(request: &Message, n_taken: usize, writer: &mut TcpStream, state: &State) -> bool {
    let id = request.header("comfreyhead-attempt-id").unwrap_or_default();
    let path = request.word();
    let echo = format!("Comfreyhead-Attempt-Id: {id}\r\nKeep-Alive: timeout=5\r\n");
    if request
        .header("comfreyhead-expect-instance")
        .is_some_and(|expected| expected != state.id)
    {
        let headers = format!("{echo}Comfreyhead-Instance-Id: {}\r\n", state.id);
        return respond(writer, "421 Misdirected Request", &headers, b"");
    }
    if SLOTS + QUEUE <= n_taken {
        let headers = format!("{echo}Comfreyhead-Not-Executed: 1\r\n");
        return respond(writer, "503 Service Unavailable", &headers, b"");
    }
    let deadline = request
        .header("comfreyhead-deadline-ms")
        .and_then(|text| text.parse().ok());
    let deadline = Instant::now() + Duration::from_millis(deadline.unwrap_or(8_000));
    let tenant = request
        .headers
        .iter()
        .find(|(name, _)| name == "comfreyhead-tenant");
    let tenant = tenant.map_or("-".into(), |(_, value)| String::from_utf8_lossy(value));
    let tenant = tenant.replace(' ', "_");
    state
        .record
        .add("run", &format!("{id} {path} {} {tenant}", state.id));
    // A path tells how long a run takes and whether it then ends the server: `hang-MS` and `end-MS`.
    let step = path.split('/').find_map(|part| part.split_once('-'));
    let time = step
        .and_then(|(_, ms)| ms.parse().ok())
        .map(Duration::from_millis);
    let is_deadly = step.is_some_and(|(word, _)| word == "end");
    std::thread::sleep(
        time.unwrap_or(WORK)
            .min(deadline.saturating_duration_since(Instant::now())),
    );
    let headers = format!(
        "{echo}Comfreyhead-Server-Seal: seal.{id}\r\nComfreyhead-Server-Load: {n_taken},0,{SLOTS}\r\n"
    );
    if time.is_some() && deadline <= Instant::now() {
        // A server stops work at the deadline that it receives.
        return respond(writer, "504 Gateway Timeout", &headers, b"");
    }
    if is_deadly {
        state
            .record
            .add("server-crashed", &format!("{} {id}", state.id));
        // No core file is wanted; the operating system closes the connections all the same.
        std::process::exit(137);
    }
    if path.starts_with("/lohu930/") {
        let headers = format!("{headers}Content-Type: text/event-stream\r\n");
        return respond(
            writer,
            "200 OK",
            &headers,
            b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
        );
    }
    respond(writer, "200 OK", &headers, id.as_bytes())
}
