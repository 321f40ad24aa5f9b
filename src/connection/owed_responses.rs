//! The requests of a connection that wait for their responses.

use std::sync::atomic::{AtomicBool, Ordering};

use tokio::sync::watch;

use crate::prelude::*;

use super::shared_stream::SharedStream;

/// The number of requests of a connection that have been read and have no complete response.
#[derive(Debug, Default)]
pub(super) struct OwedResponses(Arc<watch::Sender<usize>>);

impl OwedResponses {
    /// Begins to watch a request that arrives on the connection.
    pub(super) fn begin(&self) -> OwedResponse {
        OwedResponse(Arc::new(OwedState {
            count: self.0.clone(),
            is_read: AtomicBool::new(false),
        }))
    }

    /// Waits until the other side has closed the stream although a response is owed. The connection
    /// itself does not look at its input while bytes of it lie unread.
    pub(super) async fn abandoned(&self, stream: &SharedStream) {
        let mut count = self.0.subscribe();
        // The sender exists for as long as `self`, so that no wait fails.
        while count.wait_for(|n_owed| 0 < *n_owed).await.is_ok() {
            tokio::select! {
                () = stream.closed() => return,
                _ = count.wait_for(|n_owed| *n_owed == 0) => {}
            }
        }
    }
}

/// A request whose response is owed from when it has been read until the last clone is dropped.
#[derive(Clone, Debug)]
pub struct OwedResponse(Arc<OwedState>);

#[derive(Debug)]
struct OwedState {
    count: Arc<watch::Sender<usize>>,
    is_read: AtomicBool,
}

impl OwedResponse {
    /// Records that the request has been read completely.
    pub fn end_read(&self) {
        if !self.0.is_read.swap(true, Ordering::Relaxed) {
            self.0.count.send_modify(|n_owed| *n_owed += 1);
        }
    }
}

impl Drop for OwedState {
    fn drop(&mut self) {
        if *self.is_read.get_mut() {
            self.count.send_modify(|n_owed| *n_owed -= 1);
        }
    }
}
