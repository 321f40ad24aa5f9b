//! Bytes that a scripted target writes without waiting for anything, and their count.

use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The bytes of floods that a target could write.
#[derive(Debug, Default)]
pub struct FloodCount {
    /// On all connections.
    pub written: AtomicUsize,
    /// On connections that are open.
    pub held: AtomicUsize,
}

/// Writes a piece so many times and waits for the peer to close; counts what could be written.
pub async fn write_flood(
    stream: &mut TcpStream,
    piece: &str,
    n_pieces: usize,
    flood: &FloodCount,
    held: &mut usize,
) -> std::io::Result<()> {
    for _ in 0..n_pieces {
        let mut rest = piece.as_bytes();
        while !rest.is_empty() {
            let n_written = stream.write(rest).await?;
            rest = &rest[n_written..];
            *held += n_written;
            flood.written.fetch_add(n_written, Ordering::Relaxed);
            flood.held.fetch_add(n_written, Ordering::Relaxed);
        }
    }
    let mut rest = Vec::new();
    stream.read_to_end(&mut rest).await.map(|_| ())
}
