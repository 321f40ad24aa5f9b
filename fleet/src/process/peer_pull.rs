//! Pulls records from another entry.

use std::net::SocketAddr;

use comfreyhead::connection::SharedStream;
use derive_more::Display;
use http::{Request, StatusCode};
use http_body_util::Full;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::forward::{BodyBuffer, ByteBudget, ReadCut, ReadError, bounded_handshake};
use crate::mirror::MAX_COPY_BYTES;
use crate::prelude::*;

/// The timeout of a pull of records from a peer.
pub(super) const PULL_TIMEOUT: Duration = Duration::from_millis(600);

/// Why a pull failed.
#[derive(Debug, Display)]
pub(super) enum PullError {
    /// The connection could not be opened, or it failed.
    #[display("unreachable")]
    Unreachable,
    /// The response did not arrive within the timeout.
    #[display("silent")]
    Silent,
    /// The peer does not have what was asked for.
    #[display("status {_0}")]
    Refused(StatusCode),
    /// The response exceeds a limit.
    #[display("{_0}")]
    Cut(ReadCut),
    /// The response could not be decoded, or holds too much once decoded.
    #[display("malformed")]
    Malformed,
}

impl From<ReadError> for PullError {
    fn from(err: ReadError) -> Self {
        match err {
            ReadError::Broken(_) => Self::Unreachable,
            ReadError::Cut(cut) => Self::Cut(cut),
        }
    }
}

/// Pulls the bytes at a path.
pub(super) async fn pull(
    address: SocketAddr,
    path: &str,
    budget: &Arc<ByteBudget>,
) -> Result<Bytes, PullError> {
    tokio::time::timeout(PULL_TIMEOUT, exchange(address, path, budget))
        .await
        .map_err(|_| PullError::Silent)?
}

async fn exchange(
    address: SocketAddr,
    path: &str,
    budget: &Arc<ByteBudget>,
) -> Result<Bytes, PullError> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(|_| PullError::Unreachable)?;
    let (mut sender, connection, meter) = bounded_handshake(SharedStream::new(stream))
        .await
        .map_err(|_| PullError::Unreachable)?;
    let _driver = Driver(tokio::spawn(connection).abort_handle());
    let request = Request::get(path)
        .header(http::header::HOST, address.to_string())
        .body(Full::default())
        .map_err(|_| PullError::Unreachable)?;
    let sent = sender.send_request(request).await;
    let response = sent.map_err(|err| match meter.cut(&err) {
        Some(cut) => PullError::Cut(cut),
        None => PullError::Unreachable,
    })?;
    meter.end();
    if !response.status().is_success() {
        return Err(PullError::Refused(response.status()));
    }
    let mut buffer = BodyBuffer::new(budget, MAX_COPY_BYTES);
    let mut body = response.into_body();
    let read = buffer.read_parts(&mut body, || meter.begin_part());
    read.await.map_err(|err| match meter.cut_body() {
        Some(cut) => PullError::Cut(cut),
        None => err.into(),
    })?;
    Ok(buffer.finish())
}

/// Closes a connection when dropped.
struct Driver(AbortHandle);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}
