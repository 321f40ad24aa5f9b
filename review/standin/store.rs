//! Stand-in for the platform's metadata store: keyed topics in a log, as the platform publishes it.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::net::{Message, read_message, write_response};

/// The time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// The most records of a page of `log-newest`, and the bytes from which a page ends.
const PAGE_RECORDS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

type Record = (Vec<u8>, Vec<u8>);

/// A store; clones share its contents.
#[derive(Clone, Default)]
pub struct Store {
    topics: Arc<Mutex<BTreeMap<String, Vec<Record>>>>,
}

/// The way of one machine to the store.
#[derive(Clone)]
pub struct Path {
    pub address: SocketAddr,
    /// Whether the machine is cut off from the store: nothing passes, in either direction.
    pub is_cut: Arc<AtomicBool>,
    /// The reads of the servers' topic, and of the operator's, that were answered.
    pub server_reads: Arc<AtomicUsize>,
    pub operator_reads: Arc<AtomicUsize>,
    /// When the last read of the operator's topic was answered.
    pub operator_read_at: Arc<Mutex<Option<Instant>>>,
}

impl Store {
    /// Writes a record; an empty value drops the key. Returns when it was acknowledged.
    pub fn put(&self, topic: &str, key: &str, value: &str) -> Instant {
        let mut topics = self.topics.lock().unwrap();
        let records = topics.entry(topic.to_owned()).or_default();
        records.push((key.as_bytes().to_vec(), value.as_bytes().to_vec()));
        Instant::now()
    }

    /// Opens a way to the store for one machine.
    pub fn open_path(&self, ip: &str) -> Path {
        let listener = TcpListener::bind((ip, 0)).expect("free_port");
        let path = Path {
            address: listener.local_addr().expect("bound"),
            is_cut: Arc::default(),
            server_reads: Arc::default(),
            operator_reads: Arc::default(),
            operator_read_at: Arc::default(),
        };
        let (store, served) = (self.clone(), path.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, path) = (store.clone(), served.clone());
                thread::spawn(move || store.serve(stream, &path));
            }
        });
        path
    }

    fn serve(&self, mut stream: TcpStream, path: &Path) {
        let _ = stream.set_nodelay(true);
        let Ok(read_half) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(read_half);
        while let Ok(Some(request)) = read_message(&mut reader) {
            // What a cut holds up is lost with its connection.
            if wait_cut(path) {
                return;
            }
            thread::sleep(ANSWER_TIME);
            let (status, body) = self.answer(&request, path);
            if wait_cut(path) {
                return;
            }
            if write_response(&mut stream, status, "", &body).is_err() {
                return;
            }
            let target = request.word(1);
            if target.contains("topic=keyed.op&") {
                path.operator_reads.fetch_add(1, Ordering::Relaxed);
                *path.operator_read_at.lock().unwrap() = Some(Instant::now());
            } else if target.contains("topic=keyed.servers&") {
                path.server_reads.fetch_add(1, Ordering::Relaxed);
            }
        }
    }

    fn answer(&self, request: &Message, path: &Path) -> (&'static str, Vec<u8>) {
        let (call, query) = request.word(1).split_once('?').unwrap_or_default();
        let value = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let mut values = pairs.filter(|(key, _)| *key == name);
            values.next().map(|(_, value)| decode_percent(value))
        };
        let text = |name| value(name).map(|bytes| String::from_utf8_lossy(&bytes).into_owned());
        let number = |name| text(name).and_then(|text| text.parse().ok()).unwrap_or(0);
        let topic = text("topic").unwrap_or_default();
        match call {
            "/v1/log-append" => self.append(&topic, &request.body),
            "/v1/log-newest" => ("200 OK", self.newest(&topic, value("after"))),
            "/v1/log-read" => {
                let until = Instant::now() + Duration::from_millis(number("waitMs") as u64);
                loop {
                    let bytes = self.read(&topic, number("from") as usize);
                    let is_empty = bytes.len() <= 16;
                    if !is_empty || until <= Instant::now() || path.is_cut.load(Ordering::Relaxed) {
                        return ("200 OK", bytes);
                    }
                    thread::sleep(Duration::from_millis(2));
                }
            }
            _ => ("404 Not Found", Vec::new()),
        }
    }

    fn append(&self, topic: &str, body: &[u8]) -> (&'static str, Vec<u8>) {
        if matches!(topic, "keyed.op" | "keyed.servers") {
            return ("403 Forbidden", Vec::new());
        }
        let mut topics = self.topics.lock().unwrap();
        let records = topics.entry(topic.to_owned()).or_default();
        let position = records.len();
        let mut rest = body;
        while 4 < rest.len() {
            let len = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            let content = &rest[4..4 + len];
            let key_end = 1 + usize::from(content[0]);
            records.push((content[1..key_end].to_vec(), content[key_end..].to_vec()));
            rest = &rest[4 + len..];
        }
        let reply = format!(
            "{{\"position\":{position},\"endOffset\":{}}}",
            records.len()
        );
        ("200 OK", reply.into_bytes())
    }

    fn newest(&self, topic: &str, after: Option<Vec<u8>>) -> Vec<u8> {
        let topics = self.topics.lock().unwrap();
        let empty = Vec::new();
        let records = topics.get(topic).unwrap_or(&empty);
        let mut newest: BTreeMap<&[u8], usize> = BTreeMap::new();
        for (idx, (key, _)) in records.iter().enumerate() {
            newest.insert(key, idx);
        }
        let mut entries = Vec::new();
        let mut n_bytes = 0;
        let mut truncated = false;
        for (key, idx) in newest {
            let value = &records[idx].1;
            if value.is_empty() || after.as_ref().is_some_and(|after| key <= &after[..]) {
                continue;
            }
            if PAGE_RECORDS <= entries.len() || PAGE_BYTES < n_bytes + value.len() {
                truncated = true;
                break;
            }
            n_bytes += value.len();
            entries.push(format!(
                "{{\"key\":{},\"data\":\"{}\",\"position\":{idx}}}",
                json_text(&String::from_utf8_lossy(key)),
                base64(value)
            ));
        }
        format!(
            "{{\"entries\":[{}],\"truncated\":{truncated},\"endOffset\":{}}}",
            entries.join(","),
            records.len()
        )
        .into_bytes()
    }

    fn read(&self, topic: &str, from: usize) -> Vec<u8> {
        let topics = self.topics.lock().unwrap();
        let empty = Vec::new();
        let records = topics.get(topic).unwrap_or(&empty);
        let mut bytes = (records.len() as u64).to_be_bytes().to_vec();
        bytes.extend(0_u64.to_be_bytes());
        for (key, value) in records.iter().skip(from) {
            bytes.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
            bytes.push(key.len() as u8);
            bytes.extend(key);
            bytes.extend(value);
        }
        bytes
    }
}

/// Waits while a machine is cut off; returns whether it was.
fn wait_cut(path: &Path) -> bool {
    let was_cut = path.is_cut.load(Ordering::Relaxed);
    while path.is_cut.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(5));
    }
    was_cut
}

fn decode_percent(text: &str) -> Vec<u8> {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut idx = 0;
    while idx < bytes.len() {
        let code = text.get(idx + 1..idx + 3);
        match (
            bytes[idx],
            code.and_then(|code| u8::from_str_radix(code, 16).ok()),
        ) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                idx += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                idx += 1;
            }
        }
    }
    decoded
}

fn json_text(text: &str) -> String {
    let mut json = String::from("\"");
    for letter in text.chars() {
        match letter {
            '"' | '\\' => json.extend(['\\', letter]),
            letter if letter < ' ' => json.push_str(&format!("\\u{:04x}", letter as u32)),
            letter => json.push(letter),
        }
    }
    json.push('"');
    json
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut bits = 0_u32;
        for idx in 0..3 {
            bits = bits << 8 | u32::from(*group.get(idx).unwrap_or(&0));
        }
        for idx in 0..4 {
            match idx <= group.len() {
                true => text.push(LETTERS[(bits >> (18 - 6 * idx)) as usize & 63] as char),
                false => text.push('='),
            }
        }
    }
    text
}
