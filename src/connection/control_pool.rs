//! Control connections to other processes, opened when first needed and kept.

use std::collections::HashMap;
use std::net::SocketAddr;

use jsonrpsee::ws_client::{HeaderMap, HeaderValue, PingConfig, WsClient, WsClientBuilder};
use parking_lot::Mutex;

use crate::prelude::*;

/// The longest time to open a control connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The longest time for the answer to a control message.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
/// The largest control message, in bytes.
pub const MAX_CONTROL_BYTES: u32 = 32 * 1024 * 1024;

/// Control connections by address.
///
/// The table is a leaf of the lock order: nothing else is locked while it is held.
#[derive(Debug, Default)]
pub struct ControlPool {
    clients: Mutex<HashMap<SocketAddr, Arc<WsClient>>>,
    token: Arc<str>,
}

impl ControlPool {
    /// Makes a pool that shows `token` to the processes it connects to.
    pub fn new(token: &str) -> Self {
        Self {
            clients: Mutex::default(),
            token: Arc::from(token),
        }
    }

    /// Returns an open connection to `address`.
    ///
    /// # Errors
    /// The other side cannot be reached.
    pub async fn client(&self, address: SocketAddr) -> Result<Arc<WsClient>> {
        let known = self.clients.lock().get(&address).cloned();
        if let Some(client) = known.filter(|client| client.is_connected()) {
            return Ok(client);
        }
        let client = Arc::new(self.connect(address).await?);
        self.clients.lock().insert(address, Arc::clone(&client));
        Ok(client)
    }

    /// Closes the connection to `address`, such as after a timeout.
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
