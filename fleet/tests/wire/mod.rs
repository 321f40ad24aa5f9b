//! An entry that serves real TCP connections, and targets that follow a script.

mod answer;
mod caller_connection;
mod echo;
mod flood;
mod silence;

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use comfreyhead_fleet::catalog::{Account, Backend};
use comfreyhead_fleet::forward::HeaderNames;
use comfreyhead_fleet::prelude::*;
use comfreyhead_fleet::process::{EntryState, ProcessBounds, serve_callers};
use comfreyhead_fleet::roster::RosterChange;
use comfreyhead_fleet::routing::BudgetSettings;
use http::HeaderName;
use slog::{Discard, Logger, o};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle;
use tokio::sync::watch;

pub use answer::{Answer, read_answer};
pub use caller_connection::{hold, kept_request, runtime_apart};
use echo::{attempt_id, with_id};
use flood::{FloodCount, write_flood};
pub use silence::stream_route;

/// The timeout of the route that all tests use.
pub const ROUTE_TIMEOUT: Duration = Duration::from_millis(800);

/// How a scripted target responds to one request.
#[derive(Clone, Debug)]
pub enum Reply {
    /// Writes bytes and keeps the connection, or closes it after `connection: close` or after a
    /// content length of 9, by which a test marks a truncated response.
    Raw(String),
    /// Writes bytes as they are, without the id of the request, and keeps the connection.
    WithoutId(String),
    /// Writes bytes and resets the connection.
    Reset(String),
    /// Closes the connection without a response.
    Close,
    /// Sends nothing and waits for the peer to close.
    Silence,
    /// Writes bytes, and more of them after a time.
    RawThenLate(String, Duration, String),
    /// Sends nothing for a time, then the bytes.
    Late(Duration, String),
    /// Streams the events after the caller's last one up to `N_EVENTS`, and is silent once: for a
    /// time after the first of them.
    SilentOnce(Duration),
    /// Writes bytes, and ends the target after a time: its listener and this connection close.
    End(String, Duration),
    /// Writes a start, then a piece so many times, and waits for the peer to close.
    Flood(String, String, usize),
}

/// The number of events in a stream with one silence.
pub const N_EVENTS: u64 = 6;

impl Reply {
    pub fn raw(text: &str) -> Self {
        Self::Raw(text.to_owned())
    }

    pub fn whole(status: &str, body: &str) -> Self {
        let length = body.len();
        Self::Raw(format!(
            "HTTP/1.1 {status}\r\nx-seal: s1\r\ncontent-length: {length}\r\n\r\n{body}"
        ))
    }

    pub fn stream(events: &str) -> Self {
        let length = events.len();
        Self::Raw(format!(
            "HTTP/1.1 200 OK\r\nx-seal: s1\r\ntransfer-encoding: chunked\r\n\r\n\
             {length:x}\r\n{events}\r\n0\r\n\r\n"
        ))
    }

    pub fn cut_stream(events: &str) -> Self {
        let length = events.len();
        Self::Reset(format!(
            "HTTP/1.1 200 OK\r\nx-seal: s1\r\ntransfer-encoding: chunked\r\n\r\n\
             {length:x}\r\n{events}\r\n"
        ))
    }
}

/// A target that sends the replies of a script, one per request, over all its connections.
pub struct ScriptedTarget {
    pub address: SocketAddr,
    script: Arc<Mutex<Vec<Reply>>>,
    seen: Arc<Mutex<Vec<String>>>,
    end: Arc<Mutex<Option<ErrorKind>>>,
    flood: Arc<FloodCount>,
    n_connections: Arc<AtomicUsize>,
}

impl ScriptedTarget {
    pub async fn start(script: Vec<Reply>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let target = Self {
            address: listener.local_addr().unwrap(),
            script: Arc::new(Mutex::new(script)),
            seen: Arc::default(),
            end: Arc::default(),
            flood: Arc::default(),
            n_connections: Arc::default(),
        };
        let n_connections = target.n_connections.clone();
        let (script, seen, end, flood) = (
            target.script.clone(),
            target.seen.clone(),
            target.end.clone(),
            target.flood.clone(),
        );
        let (stop, mut stopped) = watch::channel(false);
        let stop = Arc::new(stop);
        tokio::spawn(async move {
            loop {
                let stream = tokio::select! {
                    Ok((stream, _)) = listener.accept() => stream,
                    Ok(_) = stopped.wait_for(|is_stopped| *is_stopped) => return,
                    else => return,
                };
                n_connections.fetch_add(1, Ordering::Relaxed);
                let (script, seen, end) = (script.clone(), seen.clone(), end.clone());
                let (flood, stop) = (flood.clone(), stop.clone());
                tokio::spawn(async move {
                    if let Err(err) = follow(stream, &script, &seen, &flood, &stop).await {
                        *end.lock().unwrap() = Some(err.kind());
                    }
                });
            }
        });
        target
    }

    /// Adds a reply to the script.
    pub fn then(&self, reply: Reply) {
        self.script.lock().unwrap().push(reply);
    }

    /// Replaces what is left of the script.
    pub fn replace(&self, script: Vec<Reply>) {
        *self.script.lock().unwrap() = script;
    }

    /// Returns the number of connections so far.
    pub fn n_connections(&self) -> usize {
        self.n_connections.load(Ordering::Relaxed)
    }

    /// Returns the heads of the requests that arrived.
    pub fn requests(&self) -> Vec<String> {
        self.seen.lock().unwrap().clone()
    }

    /// Returns the bytes of floods that could be written.
    pub fn written(&self) -> usize {
        self.flood.written.load(Ordering::Relaxed)
    }

    /// Returns the bytes of floods that could be written to connections that are open.
    pub fn held(&self) -> usize {
        self.flood.held.load(Ordering::Relaxed)
    }

    /// Returns the error that ended a connection last.
    pub fn last_end(&self) -> Option<ErrorKind> {
        *self.end.lock().unwrap()
    }
}

async fn follow(
    mut stream: TcpStream,
    script: &Mutex<Vec<Reply>>,
    seen: &Mutex<Vec<String>>,
    flood: &FloodCount,
    stop: &watch::Sender<bool>,
) -> std::io::Result<()> {
    loop {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            if stream.read(&mut byte).await? == 0 {
                return Ok(());
            }
            head.push(byte[0]);
        }
        seen.lock()
            .unwrap()
            .push(String::from_utf8_lossy(&head).into_owned());
        let head = String::from_utf8_lossy(&head).to_lowercase();
        let length = head.split_once("content-length: ");
        let length = length.and_then(|(_, rest)| rest.lines().next()?.parse().ok());
        let mut body = (&mut stream).take(length.unwrap_or(0));
        tokio::io::copy(&mut body, &mut tokio::io::sink()).await?;
        let reply = {
            let mut script = script.lock().unwrap();
            if script.is_empty() {
                Reply::Close
            } else {
                script.remove(0)
            }
        };
        let id = attempt_id(&head);
        match reply {
            Reply::WithoutId(text) => stream.write_all(text.as_bytes()).await?,
            Reply::Raw(text) => {
                stream.write_all(with_id(&text, id).as_bytes()).await?;
                if text.contains("connection: close") || text.contains("content-length: 9") {
                    return Ok(());
                }
            }
            Reply::Reset(text) => {
                stream.write_all(text.as_bytes()).await?;
                tokio::time::sleep(Duration::from_millis(50)).await;
                socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
                return Ok(());
            }
            Reply::Close => return Ok(()),
            Reply::Silence => {
                let mut rest = Vec::new();
                stream.read_to_end(&mut rest).await?;
                return Ok(());
            }
            Reply::RawThenLate(first, time, second) => {
                stream.write_all(with_id(&first, id).as_bytes()).await?;
                tokio::time::sleep(time).await;
                stream.write_all(second.as_bytes()).await?;
            }
            Reply::Late(time, text) => {
                tokio::time::sleep(time).await;
                stream.write_all(with_id(&text, id).as_bytes()).await?;
            }
            Reply::SilentOnce(time) => {
                let last_id = head.split_once("last-event-id: ");
                let last_id = last_id.and_then(|(_, rest)| rest.lines().next()?.parse().ok());
                stream_with_silence(&mut stream, id, last_id.unwrap_or(0), time).await?;
            }
            Reply::End(text, time) => {
                stream.write_all(text.as_bytes()).await?;
                tokio::time::sleep(time).await;
                stop.send_replace(true);
                stop.closed().await;
                return Ok(());
            }
            Reply::Flood(start, piece, n_pieces) => {
                // What this side buffers is no memory of the entry's.
                socket2::SockRef::from(&stream).set_send_buffer_size(1 << 14)?;
                stream.write_all(start.as_bytes()).await?;
                let mut held = 0;
                let ended = write_flood(&mut stream, &piece, n_pieces, flood, &mut held).await;
                flood.held.fetch_sub(held, Ordering::Relaxed);
                return ended;
            }
        }
    }
}

async fn stream_with_silence(
    stream: &mut TcpStream,
    id: &str,
    last_id: u64,
    silence: Duration,
) -> std::io::Result<()> {
    let head = "HTTP/1.1 200 OK\r\nx-seal: s1\r\ntransfer-encoding: chunked\r\n\r\n";
    stream.write_all(with_id(head, id).as_bytes()).await?;
    for id in last_id + 1..=N_EVENTS {
        if id == last_id + 2 {
            tokio::time::sleep(silence).await;
        }
        let event = event(id);
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        stream.write_all(chunk.as_bytes()).await?;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    stream.write_all(b"0\r\n\r\n").await
}

/// Returns the event with an id.
pub fn event(id: u64) -> String {
    format!("id: {id}\ndata: {id}\n\n")
}

/// An entry that serves callers, with one route and one account.
pub struct Entry {
    state: Arc<EntryState>,
    pub address: SocketAddr,
}

fn header_names() -> HeaderNames {
    HeaderNames {
        attempt_id: HeaderName::from_static("x-id"),
        deadline_ms: HeaderName::from_static("x-deadline"),
        expected_target: HeaderName::from_static("x-expect"),
        account: HeaderName::from_static("x-account"),
        signature: HeaderName::from_static("x-seal"),
        not_run: HeaderName::from_static("x-not-run"),
        limit: HeaderName::from_static("server-limit"),
        last_event_id: HeaderName::from_static("last-event-id"),
        prompt_parts: HeaderName::from_static("x-parts"),
        retry_after: http::header::RETRY_AFTER,
        key: http::header::AUTHORIZATION,
        key_scheme: "Token".into(),
    }
}

/// The route that tests use, under the prefix `/r/`.
pub fn route(kind: CallKind) -> RouteSpec {
    let backend = Backend {
        service: "svc".into(),
        weight: 1.0,
    };
    RouteSpec {
        name: "r".into(),
        prefix: "/r/".into(),
        kind,
        timeout: ROUTE_TIMEOUT,
        objective: Duration::from_millis(100),
        attempts: 2,
        priority: 2,
        public: false,
        backends: SmallVec::from_elem(backend, 1),
        pause: None,
    }
}

fn catalog(route: RouteSpec) -> RouteCatalog {
    let mut catalog = RouteCatalog::default();
    catalog.add_route("shop.example", route);
    let account = Account {
        name: "ana".into(),
        priority: None,
    };
    catalog.accounts = Some([("k1".into(), account)].into());
    catalog
}

fn target_entry(n_target: usize, address: SocketAddr) -> TargetEntry {
    TargetEntry {
        id: format!("t{n_target}").into(),
        service: "svc".into(),
        address,
        zone: "a".into(),
        slots: 4,
        draining: false,
        started_ms: 0,
    }
}

impl Entry {
    pub async fn start(kind: CallKind, targets: &[&ScriptedTarget]) -> Self {
        Self::with_route(route(kind), 1_000.0, targets).await
    }

    /// Starts an entry with a route and so many retries in its budget.
    pub async fn with_route(route: RouteSpec, retries: f64, targets: &[&ScriptedTarget]) -> Self {
        Self::with_budget(route, budget(retries), targets).await
    }

    /// Starts an entry with a route and the limits of its retry budget.
    pub async fn with_budget(
        route: RouteSpec,
        budget: BudgetSettings,
        targets: &[&ScriptedTarget],
    ) -> Self {
        let entry = Self::serve(budget, &Handle::current()).await;
        entry.configure(route, targets);
        entry
    }

    /// Starts an entry on another runtime.
    pub async fn on_runtime(
        runtime: &Handle,
        route: RouteSpec,
        targets: &[&ScriptedTarget],
    ) -> Self {
        let entry = Self::serve(budget(1_000.0), runtime).await;
        entry.configure(route, targets);
        entry
    }

    /// Starts an entry with targets at these addresses.
    pub async fn with_addresses(route: RouteSpec, addresses: &[SocketAddr]) -> Self {
        let entry = Self::serve(budget(1_000.0), &Handle::current()).await;
        entry.configure_addresses(route, addresses);
        entry
    }

    fn configure(&self, route: RouteSpec, targets: &[&ScriptedTarget]) {
        let addresses: Vec<_> = targets.iter().map(|target| target.address).collect();
        self.configure_addresses(route, &addresses);
    }

    fn configure_addresses(&self, route: RouteSpec, addresses: &[SocketAddr]) {
        self.state.catalog.store(Some(Arc::new(catalog(route))));
        self.state.confirm(Instant::now());
        for (n_target, &address) in addresses.iter().enumerate() {
            let change = RosterChange::Changed(target_entry(n_target, address));
            self.state.table.lock().apply(&change);
        }
    }

    pub async fn without_configuration() -> Self {
        Self::serve(budget(1_000.0), &Handle::current()).await
    }

    async fn serve(budget: BudgetSettings, runtime: &Handle) -> Self {
        let bounds = ProcessBounds {
            budget,
            grace: Duration::from_secs(8),
        };
        // The bounds stay readable after their sender is dropped.
        let (_, bounds) = watch::channel(bounds);
        let log = Logger::root(Discard, o!());
        let state = Arc::new(EntryState::new(header_names(), "a".into(), bounds, 1, log));
        let bind = || TcpListener::bind("127.0.0.1:0");
        let listener = runtime.spawn(async move { bind().await.unwrap() });
        let listener = listener.await.unwrap();
        let address = listener.local_addr().unwrap();
        runtime.spawn(serve_callers(
            listener,
            state.clone(),
            Arc::new(AtomicUsize::new(0)),
        ));
        // Waits for the retry budget to fill, which takes one window of 1 ms.
        tokio::time::sleep(Duration::from_millis(5)).await;
        Self { state, address }
    }

    /// Makes the last confirmation of the configuration a minute old.
    pub fn outdate(&self) {
        let old = Instant::now().checked_sub(Duration::from_secs(60));
        *self.state.confirmed_at.lock() = old;
    }

    pub async fn call(&self, id: &str) -> Answer {
        self.exchange("/r/x", id, "k1").await
    }

    pub async fn call_path(&self, path: &str, key: &str) -> Answer {
        self.exchange(path, "r1", key).await
    }

    /// Sends a request and disconnects after a time without reading the response.
    pub async fn call_and_leave(&self, id: &str, after: Duration) {
        let mut stream = TcpStream::connect(self.address).await.unwrap();
        stream
            .write_all(request("/r/x", id, "k1").as_bytes())
            .await
            .unwrap();
        tokio::time::sleep(after).await;
    }

    /// Returns the bytes that large bodies and events hold.
    pub fn buffered(&self) -> usize {
        self.state.buffers.drawn()
    }

    /// Opens a connection to the entry.
    pub async fn open(&self) -> TcpStream {
        TcpStream::connect(self.address).await.unwrap()
    }

    async fn exchange(&self, path: &str, id: &str, key: &str) -> Answer {
        self.send(request(path, id, key).as_bytes()).await
    }

    /// Sends the bytes of a request.
    pub async fn send(&self, request: &[u8]) -> Answer {
        let mut stream = self.open().await;
        stream.write_all(request).await.unwrap();
        read_answer(stream).await
    }
}

fn budget(retries: f64) -> BudgetSettings {
    BudgetSettings {
        window: Duration::from_millis(1),
        ratio: retries / 10.0,
        slack: retries,
    }
}

fn request(path: &str, id: &str, key: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nhost: shop.example\r\nx-id: {id}\r\nx-account: forged\r\n\
         authorization: Token {key}\r\nconnection: close\r\n\r\n"
    )
}
