//! Stand-in for clients: each request is an attempt with an id of its own, on a new connection.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::net::call;
use crate::record::Record;

/// A request of a client, and how it was answered.
#[allow(dead_code)] // Each case looks at some of the fields.
#[derive(Clone)]
pub struct Attempt {
    pub id: String,
    pub sent_at: Instant,
    /// The status of the complete answer; `None` where the connection ended without one.
    pub status: Option<u16>,
    /// The server that signed it.
    pub server: Option<String>,
}

/// Clients that send requests at a steady rate until they are stopped.
pub struct Clients {
    is_stopped: Arc<AtomicBool>,
    attempts: Arc<Mutex<Vec<Attempt>>>,
    threads: Vec<JoinHandle<()>>,
}

static LAST_ID: AtomicU64 = AtomicU64::new(0);

/// What the clients send.
#[derive(Clone)]
pub struct Request {
    pub method: &'static str,
    pub path: String,
    pub key: Option<String>,
    pub deadline: Duration,
}

impl Clients {
    /// Starts clients of one entry, each of which sends a request every `period`.
    pub fn start(
        n_clients: usize,
        entry: SocketAddr,
        request: &Request,
        period: Duration,
        record: &Record,
    ) -> Self {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let attempts = Arc::new(Mutex::new(Vec::new()));
        let threads = (0..n_clients).map(|_| {
            let (is_stopped, attempts) = (is_stopped.clone(), attempts.clone());
            let (request, record) = (request.clone(), record.clone());
            thread::spawn(move || {
                while !is_stopped.load(Ordering::Relaxed) {
                    let next_at = Instant::now() + period;
                    let attempt = send(entry, &request, &record);
                    attempts.lock().unwrap().push(attempt);
                    thread::sleep(next_at.saturating_duration_since(Instant::now()));
                }
            })
        });
        Self {
            threads: threads.collect(),
            is_stopped,
            attempts,
        }
    }

    /// Stops the clients and returns all that they sent.
    pub fn stop(self) -> Vec<Attempt> {
        self.is_stopped.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
        let attempts = self.attempts.lock().unwrap();
        attempts.clone()
    }
}

/// Sends one request and waits for the answer, until its deadline.
pub fn send(entry: SocketAddr, request: &Request, record: &Record) -> Attempt {
    let number = LAST_ID.fetch_add(1, Ordering::Relaxed);
    let id = format!("a{:x}-{number}", std::process::id());
    let deadline_ms = request.deadline.as_millis();
    let Request {
        method, path, key, ..
    } = request;
    let key = key.as_ref().map_or(String::new(), |key| {
        format!("Authorization: Token {key}\r\n")
    });
    let body = if *method == "POST" { "an order" } else { "" };
    let bytes = format!(
        "{method} {path} HTTP/1.1\r\nHost: a.example\r\nComfreyhead-Attempt-Id: {id}\r\n\
         Comfreyhead-Deadline-Ms: {deadline_ms}\r\n{key}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let sent_at = Instant::now();
    let answer = call(
        entry,
        bytes.as_bytes(),
        request.deadline + Duration::from_millis(500),
    );
    let status = answer.as_ref().map(|answer| answer.status());
    let server = answer.and_then(|answer| {
        let seal = answer.header("comfreyhead-server-seal")?;
        Some(seal.split('.').next()?.to_owned())
    });
    record.line(&format!(
        "client sent {id} {method} {path} to {entry}: {} after {} ms",
        status.map_or("no answer".to_owned(), |status| status.to_string()),
        sent_at.elapsed().as_millis()
    ));
    Attempt {
        id,
        sent_at,
        status,
        server,
    }
}
