//! HTTP/1.1 as the callers, servers and the store of the pages speak it.

use std::io::{BufRead, BufReader, Error, ErrorKind, Read, Result};
use std::net::TcpStream;

/// The head of a message and, where it was read, its body.
pub struct Message {
    /// The words of the first line.
    pub first: Vec<String>,
    /// The headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header, or an empty text.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value)
    }

    /// Returns the length that the head states, 0 where it states none.
    pub fn length(&self) -> usize {
        self.header("content-length").parse().unwrap_or(0)
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        self.first
            .get(1)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
    }
}

/// Reads the head of a message; `None` where the connection ends before it.
pub fn read_head(input: &mut BufReader<TcpStream>) -> Result<Option<Message>> {
    let mut line = String::new();
    if input.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let first = line.split_whitespace().map(str::to_owned).collect();
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if input.read_line(&mut line)? == 0 {
            return Err(Error::from(ErrorKind::UnexpectedEof));
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((key, value)) = line.split_once(':') {
            headers.push((key.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    Ok(Some(Message {
        first,
        headers,
        body: Vec::new(),
    }))
}

/// Reads the body of a message that states its length.
pub fn read_body(input: &mut BufReader<TcpStream>, message: &mut Message) -> Result<()> {
    message.body = vec![0; message.length()];
    input.read_exact(&mut message.body)
}
