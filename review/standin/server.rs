//! Stand-in for an application server: it signs its answers, echoes the id of the attempt, and
//! answers 421 where another instance is expected.

use std::io::BufReader;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::net::{Message, read_message, write_response};
use crate::record::Record;

/// A request that reached a server.
#[allow(dead_code)] // Each case looks at some of the fields.
#[derive(Clone)]
pub struct Arrival {
    pub at: Instant,
    pub attempt: String,
    pub path: String,
    /// Whether the server ran it to its end.
    pub has_ended: bool,
}

#[derive(Clone)]
pub struct Server {
    pub id: Arc<str>,
    pub address: SocketAddr,
    work: Duration,
    is_gone: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    record: Record,
}

impl Server {
    /// Starts a server that works on each request for a time.
    pub fn start(ip: &str, id: &str, work: Duration, record: &Record) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("free_port");
        listener.set_nonblocking(true).expect("socket option");
        let server = Self {
            id: id.into(),
            address: listener.local_addr().expect("bound"),
            work,
            is_gone: Arc::default(),
            open: Arc::default(),
            arrivals: Arc::default(),
            record: record.clone(),
        };
        let accepting = server.clone();
        thread::spawn(move || {
            while !accepting.is_gone.load(Ordering::Relaxed) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                if let Ok(stream) = stream.try_clone() {
                    accepting.open.lock().unwrap().push(stream);
                }
                let server = accepting.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        server
    }

    /// Ends the server, as a process that exits: its connections close, and it listens no more.
    pub fn exit(&self) {
        self.is_gone.store(true, Ordering::Relaxed);
        thread::sleep(Duration::from_millis(5));
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.record.line(&format!("server {} exits", self.id));
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().unwrap().clone()
    }

    fn serve(&self, mut stream: TcpStream) {
        let Ok(read_half) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(read_half);
        while let Ok(Some(request)) = read_message(&mut reader) {
            if self.respond(&mut stream, &request).is_none() {
                return;
            }
        }
    }

    fn respond(&self, stream: &mut TcpStream, request: &Message) -> Option<()> {
        let expected = request.header("comfreyhead-expect-instance");
        if expected.is_some_and(|id| id != &*self.id) {
            let headers = format!("Comfreyhead-Instance-Id: {}\r\n", self.id);
            return write_response(stream, "421 Misdirected Request", &headers, b"").ok();
        }
        let attempt = request.header("comfreyhead-attempt-id").unwrap_or("");
        let path = request.word(1).to_owned();
        let idx = {
            let mut arrivals = self.arrivals.lock().unwrap();
            arrivals.push(Arrival {
                at: Instant::now(),
                attempt: attempt.to_owned(),
                path: path.clone(),
                has_ended: false,
            });
            arrivals.len() - 1
        };
        self.record
            .line(&format!("server {} runs {attempt} {path}", self.id));
        thread::sleep(self.work);
        if self.is_gone.load(Ordering::Relaxed) {
            return None;
        }
        self.arrivals.lock().unwrap()[idx].has_ended = true;
        let headers = format!(
            "Comfreyhead-Attempt-Id: {attempt}\r\nComfreyhead-Server-Seal: {}.{attempt}\r\n",
            self.id
        );
        write_response(
            stream,
            "200 OK",
            &headers,
            format!("{path} done").as_bytes(),
        )
        .ok()
    }
}
