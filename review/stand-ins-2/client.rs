//! Stand-in of clients.

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::http::{Message, read_message};

static N_SENT: AtomicU64 = AtomicU64::new(1);

/// A request of a client.
#[derive(Clone)]
pub struct Request {
    pub method: &'static str,
    pub path: String,
    pub key: Option<&'static str>,
    pub deadline: Duration,
    /// The longest time without a byte of the answer after which the client leaves.
    pub patience: Duration,
    pub body: String,
}

/// Returns an id that no other attempt of this play has.
pub fn next_id() -> String {
    let n_sent = N_SENT.fetch_add(1, Ordering::Relaxed);
    format!("{:08x}{n_sent:08x}", std::process::id())
}

/// Sends one attempt on a new connection; the error says how it ended without a whole answer.
pub fn send(entry: SocketAddr, id: &str, request: &Request) -> Result<Message, &'static str> {
    let mut stream =
        TcpStream::connect_timeout(&entry, Duration::from_secs(1)).map_err(|_| "not-connected")?;
    let _ = stream.set_nodelay(true);
    let end = Instant::now() + request.deadline;
    let key = request.key.map_or(String::new(), |key| {
        format!("Authorization: Token {key}\r\n")
    });
    let text = format!(
        "{} {} HTTP/1.1\r\nHost: ficu95.example\r\nComfreyhead-Attempt-Id: {id}\r\n\
         Comfreyhead-Deadline-Ms: {}\r\n{key}Content-Length: {}\r\nConnection: close\r\n\r\n{}",
        request.method,
        request.path,
        request.deadline.as_millis(),
        request.body.len(),
        request.body
    );
    stream.write_all(text.as_bytes()).map_err(|_| "not-sent")?;
    let mut first = [0];
    let wait = request
        .patience
        .min(end.saturating_duration_since(Instant::now()));
    let _ = stream.set_read_timeout(Some(wait.max(Duration::from_millis(1))));
    if stream.peek(&mut first).is_err() {
        // The client closes its connection.
        return Err("left");
    }
    let wait = end.saturating_duration_since(Instant::now()) + Duration::from_millis(500);
    let _ = stream.set_read_timeout(Some(wait));
    read_message(&mut BufReader::new(stream)).ok_or("cut")
}

/// Returns whether an entry says that it is ready.
pub fn is_ready(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    let text = "GET /v1/readyz HTTP/1.1\r\nHost: platform\r\nConnection: close\r\n\r\n";
    let mut answer = String::new();
    stream.write_all(text.as_bytes()).is_ok()
        && stream.read_to_string(&mut answer).is_ok()
        && answer.starts_with("HTTP/1.1 200")
}
