//! Readiness for the balancer, and metrics.

use std::convert::Infallible;

use http::{Method, Response, StatusCode};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use crate::prelude::*;

use super::caller_body::CallerBody;
use super::entry_state::EntryState;

/// Answers the balancer's question whether this entry takes new connections.
pub async fn serve_ready(listener: TcpListener, path: Arc<str>, state: Arc<EntryState>) {
    serve(listener, path, move || match state.is_ready() {
        true => (StatusCode::OK, Bytes::new()),
        false => (StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
    })
    .await;
}

/// Serves the metrics as text.
pub async fn serve_metrics(listener: TcpListener, path: Arc<str>, state: Arc<EntryState>) {
    serve(listener, path, move || {
        (StatusCode::OK, state.metrics.text().into())
    })
    .await;
}

async fn serve(
    listener: TcpListener,
    path: Arc<str>,
    answer: impl Fn() -> (StatusCode, Bytes) + Clone + Send + Sync + 'static,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Out of descriptors for now; those in use come back.
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let path = path.clone();
        let answer = answer.clone();
        let service = service_fn(move |request: http::Request<hyper::body::Incoming>| {
            let known = request.method() == Method::GET && request.uri().path() == &*path;
            let (status, body) = match known {
                true => answer(),
                false => (StatusCode::NOT_FOUND, Bytes::new()),
            };
            let mut response = Response::new(CallerBody::whole(body));
            *response.status_mut() = status;
            async move { Ok::<_, Infallible>(response) }
        });
        tokio::spawn(async move {
            // The asker sees the error of its own connection.
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}
