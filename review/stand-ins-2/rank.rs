//! Stand-in of the model servers: ranks of groups, each a process of its own.
//!
//! A group is broken while the platform's file `broken-GROUP` lies in the folder of the play; it holds
//! the id of the rank that is lost. The others then answer 503, as the pages say. All experts are
//! chosen alike, so that no map is better than map 0 and no order comes.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use crate::http::{Message, read_message, respond};
use crate::node::{end_with_parent, own_program};
use crate::record::{Record, now_ms};
use crate::server::{HEARTBEAT, beat};

/// The requests that a rank runs at once, the events of a stream, and the time between two.
const SLOTS: usize = 12;
const N_EVENTS: u32 = 26;
const PASS: Duration = Duration::from_millis(25);

/// The sets of experts, and the experts of each.
pub const N_SETS: usize = 4;
pub const N_EXPERTS: usize = 72;

/// Where a rank stands.
#[derive(Clone, Copy)]
pub struct Place {
    pub group: &'static str,
    pub rank: usize,
    pub size: usize,
    pub zone: &'static str,
}

/// A rank's process; killed when dropped.
pub struct Rank(Child);

impl Rank {
    /// Returns the id that the rank has in the store.
    pub fn id(&self) -> String {
        format!("i-{:08x}", self.0.id())
    }
}

impl Drop for Rank {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Rank {
    pub fn start(
        place: Place,
        address: SocketAddr,
        store: SocketAddr,
        record: &Record,
        folder: &Path,
    ) -> Self {
        let mut command = Command::new(own_program());
        command.args([
            "rank",
            place.group,
            &place.rank.to_string(),
            &place.size.to_string(),
        ]);
        command.args([place.zone, &address.to_string(), &store.to_string()]);
        command
            .arg(record.path())
            .arg(record.start_ms.to_string())
            .arg(folder);
        command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null());
        end_with_parent(&mut command);
        Self(command.spawn().unwrap())
    }
}

struct State {
    id: String,
    group: String,
    rank: String,
    size: String,
    record: Record,
    broken: PathBuf,
    n_running: AtomicUsize,
    n_steps: AtomicUsize,
}

/// Runs a rank's process.
pub fn run(args: &[&str]) -> ExitCode {
    let [
        group,
        rank,
        size,
        zone,
        address,
        store,
        record,
        start_ms,
        folder,
    ] = args
    else {
        return ExitCode::from(2);
    };
    let record = Record::open(Path::new(record), start_ms.parse().unwrap_or(0));
    let (Ok(record), Ok(listener)) = (record, TcpListener::bind(address)) else {
        return ExitCode::from(2);
    };
    let id = format!("i-{:08x}", std::process::id());
    let state = Arc::new(State {
        id: id.clone(),
        group: (*group).to_owned(),
        rank: (*rank).to_owned(),
        size: (*size).to_owned(),
        record,
        broken: Path::new(folder).join(format!("broken-{group}")),
        n_running: AtomicUsize::new(0),
        n_steps: AtomicUsize::new(0),
    });
    state
        .record
        .add("rank-started", &format!("{group} {rank} {id}"));
    let born = now_ms();
    let (zone, address, store) = (
        (*zone).to_owned(),
        (*address).to_owned(),
        (*store).to_owned(),
    );
    std::thread::spawn(move || {
        for seq in 1.. {
            let entry = format!(
                "{{\"service\":\"dele69a\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
                 \"version\":\"v1\",\"slots\":{SLOTS},\"state\":\"ready\",\"warmupLeftMs\":0,\
                 \"phase\":\"mixed\",\"modelList\":[{{\"name\":\"m\",\"version\":1,\"loras\":[]}}],\
                 \"born\":{born},\"seq\":{seq}}}"
            );
            if !beat(&store, &id, &entry) {
                std::process::exit(0);
            }
            std::thread::sleep(HEARTBEAT);
        }
    });
    let passes = state.clone();
    std::thread::spawn(move || {
        loop {
            std::thread::sleep(PASS);
            // An idle group makes no passes.
            let is_busy = 0 < passes.n_running.load(Ordering::SeqCst);
            passes
                .n_steps
                .fetch_add(usize::from(is_busy), Ordering::SeqCst);
        }
    });
    for stream in listener.incoming().flatten() {
        let state = state.clone();
        std::thread::spawn(move || serve(stream, &state));
    }
    ExitCode::SUCCESS
}

fn serve(stream: TcpStream, state: &State) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_message(&mut reader) {
        let json = "Content-Type: application/json\r\n";
        let is_kept = match request.word() {
            "/v1/report" => respond(&mut writer, "200 OK", json, report(state).as_bytes()),
            "/v1/order" => respond(&mut writer, "409 Conflict", json, b""),
            "/v1/picked" => respond(&mut writer, "200 OK", json, counts(state).as_bytes()),
            path if path.starts_with("/v1/picked?") => {
                respond(&mut writer, "200 OK", json, listings(state).as_bytes())
            }
            _ => answer(&request, &mut writer, state),
        };
        if !is_kept {
            return;
        }
    }
}

fn counts(state: &State) -> String {
    let n_steps = state.n_steps.load(Ordering::SeqCst);
    let count = (n_steps * 10).to_string();
    let counts = vec![count; N_SETS * N_EXPERTS].join(",");
    format!("{{\"step\":{n_steps},\"epoch\":1,\"counts\":[{counts}]}}")
}

/// Map 0 assigns the experts in turn.
fn listings(state: &State) -> String {
    let (rank, size) = (
        state.rank.parse().unwrap_or(0),
        state.size.parse().unwrap_or(1),
    );
    let experts: Vec<String> = (0..N_EXPERTS)
        .filter(|expert| expert % size == rank)
        .map(|expert| expert.to_string())
        .collect();
    let sets = vec![format!("[{}]", experts.join(",")); N_SETS].join(",");
    format!("{{\"mapping\":{{\"version\":0,\"experts\":[{sets}]}}}}")
}

fn report(state: &State) -> String {
    let group_state = if state.broken.exists() {
        "broken"
    } else {
        "open"
    };
    format!(
        "{{\"phase\":\"mixed\",\"modelList\":[{{\"name\":\"m\",\"version\":1,\"loras\":[]}}],\
         \"busy\":false,\"seq\":0,\"queued\":0,\"active\":{},\"kvInUse\":0,\"kvSize\":90000,\
         \"sessions\":0,\"pace\":1.0,\"size\":{},\"step\":{},\"mapping\":0,\
         \"group\":{{\"name\":\"{}\",\"epoch\":1,\"rank\":{},\"state\":\"{group_state}\"}}}}",
        state.n_running.load(Ordering::SeqCst),
        state.size,
        state.n_steps.load(Ordering::SeqCst),
        state.group,
        state.rank,
    )
}

fn answer(request: &Message, writer: &mut TcpStream, state: &State) -> bool {
    let id = request.header("comfreyhead-attempt-id").unwrap_or_default();
    let echo = format!("Comfreyhead-Attempt-Id: {id}\r\nKeep-Alive: timeout=5\r\n");
    if request
        .header("comfreyhead-expect-instance")
        .is_some_and(|expected| expected != state.id)
    {
        let headers = format!("{echo}Comfreyhead-Instance-Id: {}\r\n", state.id);
        return respond(writer, "421 Misdirected Request", &headers, b"");
    }
    if let Ok(lost) = std::fs::read_to_string(&state.broken) {
        state
            .record
            .add("not-run", &format!("{id} {} {}", state.group, state.id));
        let headers = format!("{echo}Comfreyhead-Not-Executed: 1\r\nAt-Server: {lost}\r\n");
        return respond(writer, "503 Service Unavailable", &headers, b"");
    }
    state
        .record
        .add("run", &format!("{id} {} {} -", request.word(), state.id));
    state.n_running.fetch_add(1, Ordering::SeqCst);
    let head = format!(
        "HTTP/1.1 200 OK\r\n{echo}Comfreyhead-Server-Seal: seal.{id}\r\n\
         Comfreyhead-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    );
    let mut is_kept = writer.write_all(head.as_bytes()).is_ok();
    for n_event in 1..=N_EVENTS {
        std::thread::sleep(PASS);
        let event = format!("id: {n_event}\ndata: a few tokens\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        is_kept = is_kept && writer.write_all(chunk.as_bytes()).is_ok();
    }
    state.n_running.fetch_sub(1, Ordering::SeqCst);
    is_kept && writer.write_all(b"0\r\n\r\n").is_ok()
}
