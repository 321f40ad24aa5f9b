//! Stand-in of the platform's store: keyed topics with one partition each.

use std::collections::{BTreeMap, HashMap};
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Message, read_message, respond};
use crate::record::Record;

/// The silence after which a server's entry is removed: three heartbeat intervals of 1.2 s.
const SILENCE: Duration = Duration::from_millis(3_600);

/// The limits of a page and of a read, in records and bytes.
const PAGE_RECORDS: usize = 500;
const PAGE_BYTES: usize = 1 << 20;
const FETCH_BYTES: usize = 1 << 20;

type Topic = Vec<(Vec<u8>, Vec<u8>)>;

#[derive(Default)]
struct Tables {
    topics: HashMap<String, Topic>,
    beats: HashMap<String, Instant>,
}

/// The store; clones share it.
#[derive(Clone)]
pub struct Store {
    tables: Arc<(Mutex<Tables>, Condvar)>,
    record: Record,
}

impl Store {
    pub fn new(record: &Record) -> Self {
        Self {
            tables: Arc::default(),
            record: record.clone(),
        }
    }

    /// Appends a record; an empty value removes the key. The return is the acknowledgement.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let (tables, changed) = &*self.tables;
        let mut tables = tables.lock().unwrap();
        let records = tables.topics.entry(topic.to_owned()).or_default();
        records.push((key.as_bytes().to_vec(), value.to_vec()));
        changed.notify_all();
    }

    /// Serves calls on a free port, and removes the entries of silent servers.
    pub fn start(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let store = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        let store = self.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(100));
                store.expire();
            }
        });
        address
    }

    fn expire(&self) {
        let mut tables = self.tables.0.lock().unwrap();
        let silent: Vec<String> = tables
            .beats
            .iter()
            .filter(|(_, at)| SILENCE <= at.elapsed())
            .map(|(id, _)| id.clone())
            .collect();
        for id in &silent {
            tables.beats.remove(id);
        }
        drop(tables);
        for id in silent {
            self.record.add("entry-removed", &id);
            self.put("keyed.servers", &id, b"");
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader) {
            let (status, body) = self.answer(&request);
            if !respond(&mut writer, status, "", &body) {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (&'static str, Vec<u8>) {
        let (path, query) = request
            .word()
            .split_once('?')
            .unwrap_or((request.word(), ""));
        let query: HashMap<&str, &str> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .collect();
        let topic = query.get("topic").copied().unwrap_or_default();
        let number = |name: &str| query.get(name).and_then(|text| text.parse().ok());
        match path {
            // Servers of the stand-in write their entries by this call.
            "/standin/beat" => {
                let id = query.get("id").copied().unwrap_or_default();
                let (tables, _) = &*self.tables;
                let mut tables = tables.lock().unwrap();
                tables.beats.insert(id.to_owned(), Instant::now());
                drop(tables);
                self.put("keyed.servers", id, &request.body);
                ("200 OK", Vec::new())
            }
            "/v1/log-append" if matches!(topic, "keyed.op" | "keyed.servers") => {
                ("403 Forbidden", Vec::new())
            }
            "/v1/log-append" => self.append(topic, &request.body),
            "/v1/log-read" => {
                let wait = Duration::from_millis(number("waitMs").unwrap_or(0));
                self.read(topic, number("from").unwrap_or(0) as usize, wait)
            }
            "/v1/log-newest" => self.newest(topic, query.get("after").copied()),
            _ => ("404 Not Found", Vec::new()),
        }
    }

    fn append(&self, topic: &str, body: &[u8]) -> (&'static str, Vec<u8>) {
        let mut rest = body;
        let mut n_records = 0;
        while 5 <= rest.len() {
            let len = u32::from_be_bytes(rest[..4].try_into().unwrap()) as usize;
            let content = &rest[4..4 + len];
            let (key, value) = content[1..].split_at(usize::from(content[0]));
            self.put(topic, &String::from_utf8_lossy(key), value);
            rest = &rest[4 + len..];
            n_records += 1;
        }
        let end = self
            .tables
            .0
            .lock()
            .unwrap()
            .topics
            .get(topic)
            .map_or(0, Vec::len);
        let body = format!("{{\"position\":{},\"endOffset\":{end}}}", end - n_records);
        ("200 OK", body.into_bytes())
    }

    fn read(&self, topic: &str, from: usize, wait: Duration) -> (&'static str, Vec<u8>) {
        let (tables, changed) = &*self.tables;
        let has_none = |tables: &mut Tables| tables.topics.get(topic).map_or(0, Vec::len) <= from;
        let guard = tables.lock().unwrap();
        let (guard, _) = changed.wait_timeout_while(guard, wait, has_none).unwrap();
        let empty = Topic::new();
        let records = guard.topics.get(topic).unwrap_or(&empty);
        let mut bytes = (records.len() as u64).to_be_bytes().to_vec();
        bytes.extend(0_u64.to_be_bytes());
        for (key, value) in records.iter().skip(from) {
            if FETCH_BYTES < bytes.len() {
                break;
            }
            bytes.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
            bytes.push(key.len() as u8);
            bytes.extend(key);
            bytes.extend(value);
        }
        ("200 OK", bytes)
    }

    fn newest(&self, topic: &str, after: Option<&str>) -> (&'static str, Vec<u8>) {
        let tables = self.tables.0.lock().unwrap();
        let empty = Topic::new();
        let records = tables.topics.get(topic).unwrap_or(&empty);
        let newest: BTreeMap<&[u8], usize> = records
            .iter()
            .enumerate()
            .map(|(idx, (key, _))| (&key[..], idx))
            .collect();
        let after = after.map(percent_decoded);
        let mut entries = Vec::new();
        let mut n_bytes = 0;
        let mut is_truncated = false;
        for (key, idx) in newest {
            let value = &records[idx].1;
            if value.is_empty() || after.as_ref().is_some_and(|after| key <= &after[..]) {
                continue;
            }
            n_bytes += value.len();
            if entries.len() == PAGE_RECORDS || (!entries.is_empty() && PAGE_BYTES < n_bytes) {
                is_truncated = true;
                break;
            }
            let key = String::from_utf8_lossy(key);
            let data = base64(value);
            entries.push(format!(
                "{{\"key\":\"{key}\",\"data\":\"{data}\",\"position\":{idx}}}"
            ));
        }
        let body = format!(
            "{{\"entries\":[{}],\"truncated\":{is_truncated},\"endOffset\":{}}}",
            entries.join(","),
            records.len()
        );
        ("200 OK", body.into_bytes())
    }
}

fn percent_decoded(text: &str) -> Vec<u8> {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let byte = bytes
            .get(at + 1..at + 3)
            .filter(|_| bytes[at] == b'%')
            .and_then(|digits| u8::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok());
        decoded.push(byte.unwrap_or(bytes[at]));
        at += if byte.is_some() { 3 } else { 1 };
    }
    decoded
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for digit in 0..4 {
            let value = (bits >> (18 - 6 * digit)) & 63;
            text.push(if digit <= chunk.len() {
                DIGITS[value as usize] as char
            } else {
                '='
            });
        }
    }
    text
}
