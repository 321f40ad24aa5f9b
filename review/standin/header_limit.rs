//! A configuration raises `maxHeaderBytes`; clients go on using the connections that they keep open.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use crate::entry::Entry;
use crate::net::read_message;
use crate::server::Server;
use crate::store::Store;
use crate::{Setup, Verdict};

/// The limits before and after the change.
const OLD_LIMIT: usize = 16_384;
const NEW_LIMIT: usize = 65_536;

/// The length of the long header of the requests after it, within the new limit.
const LONG_HEADER: usize = 32_000;

const CONNECTIONS: usize = 20;
const LONG_REQUESTS: usize = 3;

fn config(version: usize, limit: usize) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"lookups","hostname":"a.example",
"pathPrefix":"/lookups/","type":"safe","timeoutMs":2000,"sloMs":100,"priority":1,
"service":"ledger","attempts":2,"public":true}}],"services":[{{"name":"ledger",
"healthPath":"/healthz","maxConns":200,"protocol":"h1","tls":false}}],
"limits":{{"maxHeaderBytes":{limit},"maxBodyBytes":4194304,"headerTimeoutMs":3000,
"idleTimeoutMs":60000}}}}"#
    )
}

/// A connection that a client keeps open.
struct Kept {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Kept {
    fn open(entry: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect(entry).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(3))).ok()?;
        let reader = BufReader::new(stream.try_clone().ok()?);
        Some(Self { stream, reader })
    }

    /// Sends a request and returns the status, and whether a server signed the answer.
    fn send(&mut self, id: &str, long_header: usize) -> Option<(u16, bool)> {
        let mut request = format!(
            "GET /lookups/1 HTTP/1.1\r\nHost: a.example\r\nComfreyhead-Attempt-Id: {id}\r\n\
             Comfreyhead-Deadline-Ms: 2000\r\n"
        );
        for number in 0..long_header.div_ceil(4_000) {
            let len = 4_000.min(long_header - number * 4_000);
            request += &format!("X-Context-{number}: {}\r\n", "c".repeat(len));
        }
        request += "\r\n";
        self.stream.write_all(request.as_bytes()).ok()?;
        let answer = read_message(&mut self.reader).ok()??;
        let is_signed = answer.header("comfreyhead-server-seal").is_some();
        Some((answer.status(), is_signed))
    }
}

pub fn play(setup: &Setup) -> Verdict {
    let record = &setup.record;
    let store = Store::default();
    let first_limit = match setup.has_trouble {
        true => OLD_LIMIT,
        false => NEW_LIMIT,
    };
    store.put("keyed.op", "config", &config(3, first_limit));
    let server = Server::start(&setup.ip(100), "i-0001", Duration::from_millis(2), record);
    let value = format!(
        r#"{{"service":"ledger","address":"{}","zone":"z-a","version":"v1","slots":6,
"state":"ready","warmupLeftMs":0,"seq":1}}"#,
        server.address
    );
    store.put("keyed.servers", &server.id, &value);
    let mut entries: Vec<Entry> = (1..=2_u8)
        .map(|idx| {
            let ip = setup.ip(idx);
            let path = store.open_path(&ip);
            let name = format!("edge-a-{idx}");
            Entry::new(&ip, &name, "z-a", path, &setup.folder, record)
        })
        .collect();
    for entry in &mut entries {
        entry.start();
    }
    let ready = |entry: &Entry| entry.wait_ready(Duration::from_secs(8));
    if !entries.iter().all(ready) {
        return Verdict::CouldNotRun("an entry is not ready".into());
    }
    thread::sleep(Duration::from_secs(4));
    let mut n_sent = 0;
    let mut kept = Vec::new();
    for idx in 0..CONNECTIONS {
        let entry = &entries[idx % entries.len()];
        let Some(mut connection) = Kept::open(entry.callers) else {
            return Verdict::CouldNotRun("an entry takes no connection".into());
        };
        for number in 0..3 {
            n_sent += 1;
            let answer = connection.send(&format!("short-{idx}-{number}"), 100);
            if answer != Some((200, true)) {
                return Verdict::CouldNotRun(format!("a short request got {answer:?}"));
            }
        }
        kept.push((entry, connection));
    }
    if setup.has_trouble {
        store.put("keyed.op", "config", &config(5, NEW_LIMIT));
        record.line("version 5 acknowledged: maxHeaderBytes is raised");
    }
    // Longer than `configApplyMs` and `contactMs` together.
    thread::sleep(Duration::from_secs(6));
    let mut n_denied = 0;
    let mut n_lost = 0;
    let mut n_new = 0;
    for (idx, (entry, connection)) in kept.iter_mut().enumerate() {
        for number in 0..LONG_REQUESTS {
            let id = format!("long-{idx}-{number}");
            n_sent += 1;
            let answer = connection.send(&id, LONG_HEADER);
            record.line(&format!(
                "client sent {id} to {} on a kept connection: {answer:?}",
                entry.name
            ));
            match answer {
                Some((200, true)) => continue,
                Some((status, false)) if (300..500).contains(&status) => n_denied += 1,
                _ => n_lost += 1,
            }
            break;
        }
        // The same on a new connection.
        n_sent += 1;
        let id = format!("new-{idx}");
        let answer = Kept::open(entry.callers).and_then(|mut new| new.send(&id, LONG_HEADER));
        record.line(&format!(
            "client sent {id} to {} on a new connection: {answer:?}",
            entry.name
        ));
        n_new += usize::from(answer == Some((200, true)));
    }
    let allowed = 5 + n_sent / 500;
    record.say(&format!(
        "{n_sent} requests sent; {n_denied} proper ones on kept connections ended with a 4xx of the \
         entries' own ({allowed} are allowed), {n_lost} without an answer; {n_new} of \
         {CONNECTIONS} on new connections were answered with success"
    ));
    if n_new != CONNECTIONS {
        return Verdict::CouldNotRun("long heads are not served at all".into());
    }
    match n_denied <= allowed {
        true => Verdict::Held,
        false => Verdict::Broken,
    }
}
