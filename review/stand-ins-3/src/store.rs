//! The platform's store: keyed topics with one partition, as in PROTOCOL.md.

use std::collections::{BTreeMap, HashMap};
use std::io::{BufReader, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Message, read_body, read_head};

type Topics = HashMap<String, Vec<(String, Vec<u8>)>>;

/// The store; clones share it.
#[derive(Clone, Default)]
pub struct Store {
    topics: Arc<(Mutex<Topics>, Condvar)>,
}

impl Store {
    /// Serves the store at an address of this machine.
    pub fn start(&self, ip: &str) -> Result<SocketAddr> {
        let listener = TcpListener::bind((ip, 0))?;
        let address = listener.local_addr()?;
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                // A connection that fails concerns its client only.
                thread::spawn(move || {
                    let _ = store.serve(stream);
                });
            }
        });
        Ok(address)
    }

    /// Appends a record; the store has acknowledged it on return. An empty value drops the key.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let (topics, appended) = &*self.topics;
        let mut topics = topics.lock().unwrap();
        let records = topics.entry(topic.to_owned()).or_default();
        records.push((key.to_owned(), value.to_vec()));
        appended.notify_all();
    }

    fn serve(&self, stream: TcpStream) -> Result<()> {
        stream.set_nodelay(true)?;
        let mut output = stream.try_clone()?;
        let mut input = BufReader::new(stream);
        while let Some(mut request) = read_head(&mut input)? {
            read_body(&mut input, &mut request)?;
            let (status, body) = self.answer(&request);
            let head = format!(
                "HTTP/1.1 {status} Answer\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            output.write_all(&[head.as_bytes(), &body].concat())?;
        }
        Ok(())
    }

    fn answer(&self, request: &Message) -> (u16, Vec<u8>) {
        let target = request.first.get(1).map_or("", String::as_str);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: HashMap<&str, &str> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .collect();
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<usize>().ok());
        let topic = query.get("topic").copied().unwrap_or("");
        match path {
            "/v1/log-append" => self.append(topic, &request.body, number("at")),
            "/v1/log-newest" => (200, self.newest(topic)),
            "/v1/log-read" => {
                let from = number("from").unwrap_or(0);
                let wait = Duration::from_millis(number("waitMs").unwrap_or(0) as u64);
                (200, self.read(topic, from, wait))
            }
            _ => (404, Vec::new()),
        }
    }

    fn append(&self, topic: &str, body: &[u8], at: Option<usize>) -> (u16, Vec<u8>) {
        let Some((key_len, rest)) = body.get(4..).and_then(<[u8]>::split_first) else {
            return (400, Vec::new());
        };
        let Some((key, value)) = rest.split_at_checked(usize::from(*key_len)) else {
            return (400, Vec::new());
        };
        let end = self.topics.0.lock().unwrap().get(topic).map_or(0, Vec::len);
        if at.is_some_and(|at| at != end) {
            return (412, format!("{{\"endOffset\":{end}}}").into_bytes());
        }
        self.put(topic, &String::from_utf8_lossy(key), value);
        let body = format!("{{\"position\":{end},\"endOffset\":{}}}", end + 1);
        (200, body.into_bytes())
    }

    fn newest(&self, topic: &str) -> Vec<u8> {
        let topics = self.topics.0.lock().unwrap();
        let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
        let newest: BTreeMap<&String, usize> = records
            .iter()
            .enumerate()
            .map(|(position, (key, _))| (key, position))
            .collect();
        let entries: Vec<String> = newest
            .into_iter()
            .filter(|(_, position)| !records[*position].1.is_empty())
            .map(|(key, position)| {
                let data = base64(&records[position].1);
                format!("{{\"key\":\"{key}\",\"data\":\"{data}\",\"position\":{position}}}")
            })
            .collect();
        format!(
            "{{\"entries\":[{}],\"truncated\":false,\"endOffset\":{}}}",
            entries.join(","),
            records.len()
        )
        .into_bytes()
    }

    fn read(&self, topic: &str, from: usize, wait: Duration) -> Vec<u8> {
        let (topics, appended) = &*self.topics;
        let until = Instant::now() + wait;
        let mut topics = topics.lock().unwrap();
        loop {
            let len = topics.get(topic).map_or(0, Vec::len);
            let left = until.saturating_duration_since(Instant::now());
            if from < len || left.is_zero() {
                break;
            }
            topics = appended.wait_timeout(topics, left).unwrap().0;
        }
        let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut bytes = (records.len() as u64).to_be_bytes().to_vec();
        bytes.extend(0_u64.to_be_bytes());
        for (key, value) in records.iter().skip(from) {
            bytes.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
            bytes.push(key.len() as u8);
            bytes.extend(key.as_bytes());
            bytes.extend(value);
        }
        bytes
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0_u8; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let number = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for digit in 0..4 {
            match digit <= chunk.len() {
                true => text.push(DIGITS[(number >> (18 - 6 * digit) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}
