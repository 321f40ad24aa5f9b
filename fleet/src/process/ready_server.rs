//! HTTP servers for the balancer's readiness checks and for metrics.

use std::convert::Infallible;

use http::{Method, Response, StatusCode};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use crate::prelude::*;

use super::caller_body::CallerBody;
use super::entry_state::EntryState;

/// The limit on the head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 8_192;

/// Serves the readiness check: 200 if this entry accepts new connections, else 503.
pub async fn serve_ready(listener: TcpListener, path: Arc<str>, state: Arc<EntryState>) {
    serve(listener, path, move || match state.is_ready() {
        true => (StatusCode::OK, Bytes::new()),
        false => (StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
    })
    .await;
}

/// Serves the metrics in the Prometheus text format.
pub async fn serve_metrics(listener: TcpListener, path: Arc<str>, state: Arc<EntryState>) {
    serve(listener, path, move || {
        (StatusCode::OK, state.metrics.text().into())
    })
    .await;
}

/// Serves the response of `answer` at one path.
async fn serve(
    listener: TcpListener,
    path: Arc<str>,
    answer: impl Fn() -> (StatusCode, Bytes) + Clone + Send + Sync + 'static,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Probably out of file descriptors; some become free as connections end.
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
            // An error concerns this connection only; the client sees it.
            let _ = http1::Builder::new()
                .max_buf_size(MAX_HEAD_BYTES)
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}
