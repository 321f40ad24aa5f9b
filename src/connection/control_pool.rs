//! A pool of control connections to other processes, opened on demand and reused.

use std::collections::HashMap;
use std::net::SocketAddr;

use jsonrpsee::ws_client::{HeaderMap, HeaderValue, PingConfig, WsClient, WsClientBuilder};
use parking_lot::Mutex;

use crate::prelude::*;

/// The timeout for opening a control connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The timeout for the response to a control message.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
/// The maximum size of a control message, in bytes.
pub const MAX_CONTROL_BYTES: u32 = 32 * 1024 * 1024;

/// Control connections by peer address.
///
/// `clients` is a leaf in the lock order: no other lock is taken while it is held.
#[derive(Debug, Default)]
pub struct ControlPool {
    clients: Mutex<HashMap<SocketAddr, Arc<WsClient>>>,
    token: Arc<str>,
}

impl ControlPool {
    /// Creates a pool that authenticates to other processes with `token`.
    pub fn new(token: &str) -> Self {
        Self {
            clients: Mutex::default(),
            token: Arc::from(token),
        }
    }

    /// Returns an open connection to `address`, connecting if necessary.
    ///
    /// # Errors
    /// The peer cannot be reached, or the token is not a valid header value.
    pub async fn client(&self, address: SocketAddr) -> Result<Arc<WsClient>> {
        let cached = self.clients.lock().get(&address).cloned();
        if let Some(client) = cached.filter(|client| client.is_connected()) {
            return Ok(client);
        }
        let client = Arc::new(self.connect(address).await?);
        self.clients.lock().insert(address, Arc::clone(&client));
        Ok(client)
    }

    /// Removes the connection to `address`, for example after a timeout, so that the next use
    /// reconnects; it closes once no caller holds it.
    pub fn remove(&self, address: SocketAddr) {
        self.clients.lock().remove(&address);
    }

    async fn connect(&self, address: SocketAddr) -> Result<WsClient> {
        let mut headers = HeaderMap::new();
        let bearer = HeaderValue::from_str(&format!("Bearer {}", self.token));
        let bearer = bearer.map_err(|_| Error::Invalid("the peer token is not ASCII".into()))?;
        headers.insert("authorization", bearer);
        WsClientBuilder::default()
            .connection_timeout(CONNECT_TIMEOUT)
            .request_timeout(REQUEST_TIMEOUT)
            .max_request_size(MAX_CONTROL_BYTES)
            .max_response_size(MAX_CONTROL_BYTES)
            .enable_ws_ping(PingConfig::new())
            .set_headers(headers)
            .build(format!("ws://{address}"))
            .await
            .map_err(|err| Error::Peer(format!("control connection to {address}: {err}")))
    }
}
