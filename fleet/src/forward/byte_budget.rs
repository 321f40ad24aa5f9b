//! A limit on the bytes that a process buffers for all its reads together.

use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::BytesMut;
use derive_more::Display;
use hyper::body::Body;
use prometheus::IntGauge;

use crate::prelude::*;

/// The bytes that each read may buffer without drawing on the budget, so that large reads cannot
/// crowd out ordinary ones.
pub const SMALL_READ: usize = 16 << 10;

/// A limit on the bytes that a process buffers for all its reads together.
///
/// A read that finds no bytes left fails; none waits for others to end.
#[derive(Debug)]
pub struct ByteBudget {
    limit: usize,
    drawn: AtomicUsize,
    gauge: IntGauge,
}

/// The bytes that one read has drawn from a budget; given back when dropped.
#[derive(Debug)]
pub struct ByteLease {
    budget: Arc<ByteBudget>,
    n_free: usize,
    drawn: usize,
}

/// A read that was ended since it exceeded a limit.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display("{n_read} bytes read, limit {limit} ({scope})")]
pub struct ReadCut {
    /// The bytes that were read, or that the sender announced.
    pub n_read: usize,
    /// The limit.
    pub limit: usize,
    /// What the limit applies to.
    pub scope: CutScope,
}

/// What a limit that ended a read applies to.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum CutScope {
    /// One head.
    #[display("head")]
    Head,
    /// One body.
    #[display("body")]
    Body,
    /// What comes between the parts of one body.
    #[display("framing")]
    Framing,
    /// One event of a stream.
    #[display("event")]
    Event,
    /// All reads of the process.
    #[display("sum")]
    Sum,
}

/// Why a body was not read to its end.
#[derive(Debug)]
pub enum ReadError {
    /// The connection failed.
    Broken(hyper::Error),
    /// The body exceeds a limit.
    Cut(ReadCut),
}

impl ByteBudget {
    /// Creates a budget of so many bytes; the gauge shows how many are drawn.
    pub fn new(limit: usize, gauge: IntGauge) -> Self {
        Self {
            limit,
            drawn: AtomicUsize::new(0),
            gauge,
        }
    }

    /// Creates a budget of so many bytes that no gauge shows.
    pub fn unmetered(limit: usize) -> Self {
        let gauge = IntGauge::new("bytes", "Bytes").expect("metric_names_are_valid");
        Self::new(limit, gauge)
    }

    /// Returns the bytes drawn.
    pub fn drawn(&self) -> usize {
        self.drawn.load(Ordering::Relaxed)
    }
}

impl ByteLease {
    /// Begins a read that may buffer `n_free` bytes without drawing on the budget.
    pub fn new(budget: &Arc<ByteBudget>, n_free: usize) -> Self {
        Self {
            budget: budget.clone(),
            n_free,
            drawn: 0,
        }
    }

    /// Adjusts what is drawn to a buffer of `n_bytes`.
    ///
    /// A read may hold no more than it leaves to others, so that a few large ones do not take all.
    pub fn cover(&mut self, n_bytes: usize) -> Result<(), ReadCut> {
        let needed = n_bytes.saturating_sub(self.n_free);
        if needed <= self.drawn {
            self.give_back(self.drawn - needed);
            return Ok(());
        }
        let budget = &self.budget;
        let added = needed - self.drawn;
        let draw = |drawn: usize| {
            let after = drawn + added;
            (after + needed <= budget.limit).then_some(after)
        };
        let ordering = Ordering::Relaxed;
        if budget.drawn.fetch_update(ordering, ordering, draw).is_err() {
            return Err(ReadCut {
                n_read: n_bytes,
                limit: budget.limit,
                scope: CutScope::Sum,
            });
        }
        budget.gauge.add(added as i64);
        self.drawn = needed;
        Ok(())
    }

    /// Returns bytes that keep what is drawn for them until their last reference is dropped.
    pub fn attach(self, bytes: Bytes) -> Bytes {
        match self.drawn {
            0 => bytes,
            _ => Bytes::from_owner(LeasedBytes {
                bytes,
                _lease: self,
            }),
        }
    }

    fn give_back(&mut self, n_bytes: usize) {
        self.drawn -= n_bytes;
        self.budget.drawn.fetch_sub(n_bytes, Ordering::Relaxed);
        self.budget.gauge.sub(n_bytes as i64);
    }
}

impl Drop for ByteLease {
    fn drop(&mut self) {
        self.give_back(self.drawn);
    }
}

struct LeasedBytes {
    bytes: Bytes,
    _lease: ByteLease,
}

impl AsRef<[u8]> for LeasedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// A body that is read whole, within its own limit and the budget.
#[derive(Debug)]
pub struct BodyBuffer {
    limit: usize,
    lease: ByteLease,
    bytes: BytesMut,
}

impl BodyBuffer {
    /// Creates an empty buffer.
    pub fn new(budget: &Arc<ByteBudget>, limit: usize) -> Self {
        Self {
            limit,
            lease: ByteLease::new(budget, SMALL_READ),
            bytes: BytesMut::new(),
        }
    }

    /// Reads a body to its end.
    pub async fn read<B>(&mut self, body: &mut B) -> Result<(), ReadError>
    where
        B: Body<Data = Bytes, Error = hyper::Error> + Unpin,
    {
        self.read_parts(body, || ()).await
    }

    /// Reads a body to its end; `begin_part` is called before each part of it.
    pub async fn read_parts<B>(
        &mut self,
        body: &mut B,
        begin_part: impl Fn(),
    ) -> Result<(), ReadError>
    where
        B: Body<Data = Bytes, Error = hyper::Error> + Unpin,
    {
        use http_body_util::BodyExt;

        let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
        self.check(announced).map_err(ReadError::Cut)?;
        begin_part();
        while let Some(frame) = body.frame().await {
            begin_part();
            let frame = frame.map_err(ReadError::Broken)?;
            if let Ok(data) = frame.into_data() {
                self.push(&data).map_err(ReadError::Cut)?;
            }
        }
        Ok(())
    }

    /// Appends bytes. They are copied, as a short piece may keep a whole read buffer allocated.
    pub fn push(&mut self, data: &[u8]) -> Result<(), ReadCut> {
        let n_bytes = self.bytes.len() + data.len();
        self.check(n_bytes)?;
        self.lease.cover(n_bytes)?;
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    /// Returns the body.
    pub fn finish(self) -> Bytes {
        self.lease.attach(self.bytes.freeze())
    }

    fn check(&self, n_bytes: usize) -> Result<(), ReadCut> {
        if n_bytes <= self.limit {
            return Ok(());
        }
        Err(ReadCut {
            n_read: n_bytes,
            limit: self.limit,
            scope: CutScope::Body,
        })
    }
}
