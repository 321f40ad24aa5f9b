//! Serves control messages to processes that authenticate with the peer token.

use http::{Request, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::service::Service;
use hyper_util::service::TowerToHyperService;
use jsonrpsee::Methods;
use jsonrpsee::server::{Server, ServerConfig, stop_channel};
use slog::Logger;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::prelude::*;

use super::bearer_token::bearer_token;
use super::control_pool::MAX_CONTROL_BYTES;
use super::http_server::serve;
use super::reply::empty_reply;

/// The maximum number of simultaneous control connections.
const MAX_CONNECTIONS: u32 = 4_096;

/// Serves `methods` until `stop` is cancelled, then closes the control connections.
pub async fn serve_control(
    listener: TcpListener,
    methods: Methods,
    token: Arc<str>,
    stop: CancellationToken,
) {
    let config = ServerConfig::builder()
        .max_connections(MAX_CONNECTIONS)
        .max_request_body_size(MAX_CONTROL_BYTES)
        .max_response_body_size(MAX_CONTROL_BYTES)
        .build();
    let (stop_handle, server_handle) = stop_channel();
    let builder = Server::builder().set_config(config).to_service_builder();
    let handler = move |request: Request<Incoming>| {
        let is_authorized = bearer_token(request.headers()) == Some(&*token);
        let service = builder.clone().build(methods.clone(), stop_handle.clone());
        async move {
            if !is_authorized {
                return empty_reply(StatusCode::UNAUTHORIZED);
            }
            match TowerToHyperService::new(service).call(request).await {
                Ok(response) => response.map(BodyExt::boxed_unsync),
                Err(_) => empty_reply(StatusCode::INTERNAL_SERVER_ERROR),
            }
        }
    };
    let stopped = stop.clone();
    tokio::spawn(async move {
        stopped.cancelled().await;
        let _ = server_handle.stop();
    });
    let log = Logger::root(slog::Discard, slog::o!());
    serve(listener, stop, log, handler).await;
}
