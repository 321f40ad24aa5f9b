//! What a caller receives.

use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// What a caller received.
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: String,
    pub is_complete: bool,
}

/// Reads an answer until the entry closes the connection.
pub async fn read_answer(mut stream: TcpStream) -> Answer {
    let mut bytes = Vec::new();
    let ended = stream.read_to_end(&mut bytes).await.is_ok();
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let head = head.to_lowercase();
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok())
        .unwrap_or(0);
    let is_chunked = head.contains("transfer-encoding: chunked");
    let is_complete = ended && (!is_chunked || body.ends_with("0\r\n\r\n"));
    let body = if is_chunked {
        dechunked(body)
    } else {
        body.to_owned()
    };
    Answer {
        status,
        head,
        body,
        is_complete,
    }
}

fn dechunked(mut body: &str) -> String {
    let mut text = String::new();
    while let Some((length, rest)) = body.split_once("\r\n") {
        let length = usize::from_str_radix(length, 16).unwrap_or(0);
        if length == 0 || rest.len() < length {
            break;
        }
        text.push_str(&rest[..length]);
        body = rest[length..].trim_start_matches("\r\n");
    }
    text
}
