//! Client connections whose response heads are bounded.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use comfreyhead::connection::SharedStream;
use http_body_util::Full;
use hyper::client::conn::http1::{self, Connection, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::prelude::*;

use super::byte_budget::{CutScope, ReadCut};

/// The limit on one response head, in bytes: twice what callers may send in theirs by default.
const MAX_HEAD_BYTES: usize = 32 << 10;

/// The limit on what arrives until a response head is complete: interim responses before it, and
/// the part of the body that is read with it.
const MAX_BYTES_TO_HEAD: usize = 4 * MAX_HEAD_BYTES;

/// The bytes that may arrive on a connection until a response head, or the next part of a body, is
/// complete.
#[derive(Clone, Debug)]
pub struct HeadMeter(Arc<AtomicUsize>);

/// A connection that fails once more arrives than its meter allows.
#[derive(Debug)]
pub struct MeteredStream {
    stream: SharedStream,
    meter: HeadMeter,
}

/// The sending side of a client connection, the connection to be driven, and its meter.
pub type BoundedClient = (
    SendRequest<Full<Bytes>>,
    Connection<TokioIo<MeteredStream>, Full<Bytes>>,
    HeadMeter,
);

/// Begins HTTP/1.1 on a connection; interim responses without end fail it, as a long head does.
pub async fn bounded_handshake(stream: SharedStream) -> hyper::Result<BoundedClient> {
    let meter = HeadMeter(Arc::new(AtomicUsize::new(MAX_BYTES_TO_HEAD)));
    let stream = MeteredStream {
        stream,
        meter: meter.clone(),
    };
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .handshake(TokioIo::new(stream))
        .await?;
    Ok((sender, connection, meter))
}

impl HeadMeter {
    /// Expects the head of the next response.
    pub fn begin(&self) {
        self.0.store(MAX_BYTES_TO_HEAD, Ordering::Relaxed);
    }

    /// Expects the next part of a body: what arrives before it, such as the size of a chunk or trailers,
    /// has the same limit.
    pub fn begin_part(&self) {
        self.begin();
    }

    /// Returns how a body was cut whose next part did not arrive; `None` if it failed for another reason.
    pub fn cut_body(&self) -> Option<ReadCut> {
        (self.0.load(Ordering::Relaxed) == 0).then_some(ReadCut {
            n_read: MAX_BYTES_TO_HEAD,
            limit: MAX_BYTES_TO_HEAD,
            scope: CutScope::Framing,
        })
    }

    /// Ends the limit, as the head or the body has arrived.
    pub fn end(&self) {
        self.0.store(usize::MAX, Ordering::Relaxed);
    }

    /// Returns how a head that did not arrive was cut; `None` if it failed for another reason.
    pub fn cut(&self, err: &hyper::Error) -> Option<ReadCut> {
        let (n_read, limit) = if self.0.load(Ordering::Relaxed) == 0 {
            (MAX_BYTES_TO_HEAD, MAX_BYTES_TO_HEAD)
        } else if err.is_parse_too_large() {
            (MAX_HEAD_BYTES, MAX_HEAD_BYTES)
        } else {
            return None;
        };
        Some(ReadCut {
            n_read,
            limit,
            scope: CutScope::Head,
        })
    }

    /// Counts bytes that arrived; fails once they exceed the limit.
    fn count(&self, n_bytes: usize) -> io::Result<()> {
        let left = self.0.load(Ordering::Relaxed);
        if left == usize::MAX {
            return Ok(());
        }
        let left = left.saturating_sub(n_bytes);
        self.0.store(left, Ordering::Relaxed);
        match left {
            0 => Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "response head or framing too long",
            )),
            _ => Ok(()),
        }
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let n_before = buffer.filled().len();
        match Pin::new(&mut this.stream).poll_read(context, buffer) {
            Poll::Ready(Ok(())) => Poll::Ready(this.meter.count(buffer.filled().len() - n_before)),
            other => other,
        }
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(context)
    }
}
