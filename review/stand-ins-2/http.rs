//! HTTP/1.1 messages, as far as the stand-ins need them.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;

/// A request or a response.
#[derive(Debug, Default)]
pub struct Message {
    /// The first line.
    pub first: String,
    /// Header names in lower case, and the bytes of their values.
    pub headers: Vec<(String, Vec<u8>)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<String> {
        let found = self.headers.iter().find(|(known, _)| known == name)?;
        Some(String::from_utf8_lossy(&found.1).into_owned())
    }

    /// The second word of the first line: the path of a request, the status of a response.
    pub fn word(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads a message; `None` where the connection ended before its end.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = Message {
        first: read_line(reader)?,
        ..Message::default()
    };
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        let value = value.trim().chars().map(|c| c as u8).collect();
        message.headers.push((name.to_ascii_lowercase(), value));
    }
    let is_chunked = message
        .header("transfer-encoding")
        .is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
    if is_chunked {
        loop {
            let len = usize::from_str_radix(read_line(reader)?.trim(), 16).ok()?;
            let mut chunk = vec![0; len];
            reader.read_exact(&mut chunk).ok()?;
            message.body.extend(chunk);
            read_line(reader)?;
            if len == 0 {
                return Some(message);
            }
        }
    }
    let len = message.header("content-length");
    let len = len.and_then(|text| text.parse().ok()).unwrap_or(0);
    message.body = vec![0; len];
    reader.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// Reads a line without its end; each byte becomes one character.
fn read_line(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut line = Vec::new();
    reader.read_until(b'\n', &mut line).ok()?;
    if line.pop() != Some(b'\n') {
        return None;
    }
    if line.last() == Some(&b'\r') {
        line.pop();
    }
    Some(line.into_iter().map(char::from).collect())
}

/// Writes a response with a body.
pub fn respond(stream: &mut TcpStream, status: &str, headers: &str, body: &[u8]) -> bool {
    let mut bytes = format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend(body);
    stream.write_all(&bytes).is_ok()
}
