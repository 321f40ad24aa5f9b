//! The accept loop shared by all HTTP servers of a process.

use std::convert::Infallible;
use std::net::SocketAddr;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulShutdown;
use slog::{Logger, debug, warn};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::prelude::*;

use super::reply::ResponseBody;

/// The timeout for reading the head of an HTTP/1 request.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(10);
/// The delay after a failed accept, so that the loop does not spin when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Binds a TCP listener to `address`.
///
/// # Errors
/// The address cannot be bound, for example because it is in use or not local.
pub async fn bind(address: SocketAddr) -> Result<TcpListener> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|err| Error::Io(format!("cannot listen on {address}"), err))
}

/// Serves connections until `stop` is cancelled, then lets requests in progress finish.
///
/// Returns after every connection has closed.
pub async fn serve<H, F>(listener: TcpListener, stop: CancellationToken, log: Logger, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => break,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(err) => {
                warn!(log, "accept failed"; "error" => %err);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let _ = stream.set_nodelay(true);
        let handler = handler.clone();
        let service = service_fn(move |request| {
            let response = handler(request);
            async move { Ok::<_, Infallible>(response.await) }
        });
        let connection = server()
            .serve_connection_with_upgrades(TokioIo::new(stream), service)
            .into_owned();
        let connection = graceful.watch(connection);
        let log = log.clone();
        tokio::spawn(async move {
            if let Err(err) = connection.await {
                debug!(log, "connection ended early"; "error" => %err);
            }
        });
    }
    drop(listener);
    graceful.shutdown().await;
}

fn server() -> auto::Builder<TokioExecutor> {
    let mut server = auto::Builder::new(TokioExecutor::new());
    server
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_READ_TIMEOUT);
    server
        .http2()
        .timer(TokioTimer::new())
        .adaptive_window(true)
        .max_concurrent_streams(4_096);
    server
}
