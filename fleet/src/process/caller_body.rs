//! The body of a response to a caller.

use std::convert::Infallible;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

use crate::prelude::*;

/// The body of a response to a caller.
#[derive(Debug)]
pub enum CallerBody {
    /// A complete body.
    Whole(Full<Bytes>),
    /// Events as they arrive, up to the end marker. Without one the response is aborted, so that it
    /// does not look complete.
    Events(mpsc::Receiver<StreamPart>),
}

/// A part of a stream to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamPart {
    /// A complete event.
    Event(Bytes),
    /// The stream is complete.
    End,
}

impl CallerBody {
    /// Creates a complete body.
    pub fn whole(bytes: Bytes) -> Self {
        Self::Whole(Full::new(bytes))
    }
}

impl Body for CallerBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match self.get_mut() {
            Self::Whole(body) => Pin::new(body)
                .poll_frame(context)
                .map_err(|err: Infallible| match err {}),
            Self::Events(events) => events.poll_recv(context).map(|part| match part {
                Some(StreamPart::Event(bytes)) => Some(Ok(Frame::data(bytes))),
                Some(StreamPart::End) => None,
                None => Some(Err(io::ErrorKind::ConnectionAborted.into())),
            }),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Events(_) => SizeHint::default(),
        }
    }
}
