//! A TCP stream that can be looked at while a connection reads and writes it.

use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;

use crate::prelude::*;

/// A TCP stream that can be looked at while a connection reads and writes it.
///
/// It closes when the last clone is dropped.
#[derive(Clone, Debug)]
pub struct SharedStream(Arc<TcpStream>);

impl SharedStream {
    /// Shares a stream.
    pub fn new(stream: TcpStream) -> Self {
        Self(Arc::new(stream))
    }

    /// Returns the stream.
    pub fn get(&self) -> &TcpStream {
        &self.0
    }

    /// Waits until the other side has closed or reset the stream, also while bytes of it lie unread.
    pub async fn closed(&self) {
        // The end of the input is reported with this interest, input that can be read is not.
        while let Ok(ready) = self.0.ready(Interest::PRIORITY).await
            && !ready.is_read_closed()
        {
            tokio::task::yield_now().await;
        }
    }

    /// Returns what the operating system holds for the next read.
    pub fn input(&self) -> StreamInput {
        let mut byte = [MaybeUninit::uninit()];
        match socket2::SockRef::from(&*self.0).peek(&mut byte) {
            Ok(0) => StreamInput::Ended,
            Ok(_) => StreamInput::Bytes,
            Err(err) if err.kind() == io::ErrorKind::WouldBlock => StreamInput::Nothing,
            Err(_) => StreamInput::Ended,
        }
    }
}

/// What the operating system holds for the next read of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamInput {
    /// Nothing so far.
    Nothing,
    /// Bytes that have not been read.
    Bytes,
    /// The other side has closed or reset the stream.
    Ended,
}

impl AsyncRead for SharedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(context))?;
            match self.0.try_read_buf(buf) {
                Ok(_) => return Poll::Ready(Ok(())),
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => {}
                Err(err) => return Poll::Ready(Err(err)),
            }
        }
    }
}

impl AsyncWrite for SharedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(context, &[IoSlice::new(bytes)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(context))?;
            match self.0.try_write_vectored(slices) {
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let socket = socket2::SockRef::from(&*self.0);
        Poll::Ready(socket.shutdown(std::net::Shutdown::Write))
    }
}
