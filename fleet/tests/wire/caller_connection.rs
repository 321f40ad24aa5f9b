//! A caller's connection that is kept for several requests, and what a test does to its entry.

use std::time::Duration;

use comfreyhead_fleet::catalog::CallerLimits;
use comfreyhead_fleet::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::runtime::Handle;

use super::{Entry, catalog};

/// The time for which an entry accepts requests after it began to stop.
const ACCEPT_TIME: Duration = Duration::from_millis(2_600);

/// A caller's connection that is kept for several requests.
pub struct CallerConnection {
    stream: TcpStream,
    read: Vec<u8>,
}

impl CallerConnection {
    pub async fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).await.unwrap();
    }

    pub async fn call(&mut self, id: &str) -> String {
        self.send(&kept_request(id)).await;
        self.response().await
    }

    /// Reads one response with a length or in chunks; what arrived before the connection ended,
    /// where it ends within the response.
    pub async fn response(&mut self) -> String {
        while !is_whole(&self.read) && self.read_more().await {}
        String::from_utf8(std::mem::take(&mut self.read)).unwrap()
    }

    /// Waits for the end of the connection and returns what arrived before.
    pub async fn end(&mut self) -> String {
        while self.read_more().await {}
        String::from_utf8(std::mem::take(&mut self.read)).unwrap()
    }

    async fn read_more(&mut self) -> bool {
        let mut bytes = vec![0; 65_536];
        match self.stream.read(&mut bytes).await {
            Ok(0) | Err(_) => false,
            Ok(n_bytes) => {
                self.read.extend_from_slice(&bytes[..n_bytes]);
                true
            }
        }
    }
}

fn is_whole(bytes: &[u8]) -> bool {
    let Some(head_len) = bytes.windows(4).position(|end| end == b"\r\n\r\n") else {
        return false;
    };
    let (head, body) = bytes.split_at(head_len + 4);
    let head = String::from_utf8_lossy(head).to_lowercase();
    match head.split_once("content-length: ") {
        Some((_, rest)) => rest.lines().next().unwrap().parse() == Ok(body.len()),
        None => body.ends_with(b"0\r\n\r\n"),
    }
}

/// Returns a request after which the connection is kept.
pub fn kept_request(id: &str) -> String {
    format!(
        "GET /r/x HTTP/1.1\r\nhost: shop.example\r\nx-id: {id}\r\nauthorization: Token k1\r\n\r\n"
    )
}

/// Starts a runtime with one thread of its own, which a test can hold busy.
pub fn runtime_apart() -> Handle {
    let (sender, receiver) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        sender.send(runtime.handle().clone()).unwrap();
        runtime.block_on(std::future::pending::<()>());
    });
    receiver.recv().unwrap()
}

/// Keeps the only thread of a runtime busy for a time, from now on.
pub fn hold(runtime: &Handle, time: Duration) {
    runtime.spawn(async move { std::thread::sleep(time) });
}

impl Entry {
    pub async fn connect(&self) -> CallerConnection {
        let stream = TcpStream::connect(self.address).await.unwrap();
        let read = Vec::new();
        CallerConnection { stream, read }
    }

    /// Connects with a small receive buffer, so that a pause in reading soon closes the window.
    pub async fn connect_with_small_buffer(&self) -> CallerConnection {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(65_536).unwrap();
        let stream = socket.connect(self.address).await.unwrap();
        let read = Vec::new();
        CallerConnection { stream, read }
    }

    /// Puts a configuration with a route and limits on callers in force.
    pub fn set_limits(&self, route: RouteSpec, limits: CallerLimits) {
        let mut catalog = catalog(route);
        catalog.limits = limits;
        self.state.catalog.store(Some(Arc::new(catalog)));
    }

    /// Stops the entry so that its time to accept requests ends after a time.
    pub fn refuse_after(&self, time: Duration) {
        let began_at = Instant::now() - (ACCEPT_TIME - time);
        self.state.drain.begin(began_at);
    }
}
