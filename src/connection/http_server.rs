//! The accept loop shared by all HTTP servers of a process.

use std::convert::Infallible;
use std::net::SocketAddr;

use http::{Request, Response};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulShutdown;
use slog::{Logger, debug, info, warn};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::prelude::*;

use super::guarded_body::GuardedBody;
use super::owed_responses::OwedResponses;
use super::reply::ResponseBody;
use super::shared_stream::SharedStream;

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
/// Each request has an [`OwedResponse`](super::OwedResponse) among its extensions, by which the handler
/// tells that it has read the body. A connection whose peer has closed it ends at once from then on.
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
        let stream = SharedStream::new(stream);
        let owed = Arc::new(OwedResponses::default());
        let owed_here = Arc::clone(&owed);
        let service = service_fn(move |mut request: Request<Incoming>| {
            let owed = owed_here.begin();
            if request.body().is_end_stream() {
                owed.end_read();
            }
            request.extensions_mut().insert(owed.clone());
            let response = handler(request);
            async move {
                let response = response.await;
                let guard = |body| GuardedBody::new(body, owed).boxed_unsync();
                Ok::<_, Infallible>(response.map(guard))
            }
        });
        let connection = server()
            .serve_connection_with_upgrades(TokioIo::new(stream.clone()), service)
            .into_owned();
        let connection = graceful.watch(connection);
        let log = log.clone();
        tokio::spawn(async move {
            tokio::select! {
                biased;
                ended = connection => if let Err(err) = ended {
                    debug!(log, "connection ended early"; "error" => %err);
                },
                () = owed.abandoned(&stream) => {
                    let peer = stream.get().peer_addr().ok();
                    info!(log, "caller left"; "peer" => ?peer, "input" => ?stream.input());
                }
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
