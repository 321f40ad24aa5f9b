//! The shared state of the operators' API and its authorization check.

use derive_more::Debug;
use dropshot::HttpError;

use crate::connection::{bearer_token, token_digest};
use crate::prelude::*;
use crate::process::entry::EntryProcess;

/// Callbacks that report the health and the metrics of a process of either role.
#[derive(Debug)]
pub struct HealthProbe {
    /// Returns whether the process is ready to serve.
    #[debug(skip)]
    pub is_ready: Box<dyn Fn() -> bool + Send + Sync>,
    /// Renders the metrics.
    #[debug(skip)]
    pub metrics: Box<dyn Fn() -> String + Send + Sync>,
}

/// The state that the endpoints of the operators' API share.
#[derive(Debug)]
pub struct OperatorContext {
    /// The health and the metrics of the process.
    pub health: HealthProbe,
    entry: Option<Arc<EntryProcess>>,
}

impl OperatorContext {
    /// Creates the context of an agent, which serves health checks and metrics only.
    pub fn agent(health: HealthProbe) -> Self {
        Self {
            health,
            entry: None,
        }
    }

    /// Creates the context of an entry VM.
    pub fn entry(health: HealthProbe, entry: Arc<EntryProcess>) -> Self {
        Self {
            health,
            entry: Some(entry),
        }
    }

    /// Returns the process of the entry VM if the request carries an operator's token.
    ///
    /// # Errors
    /// Fails if the process is an agent or the token is not an operator's.
    pub fn authorized(&self, headers: &http::HeaderMap) -> Result<&Arc<EntryProcess>, HttpError> {
        let Some(entry) = &self.entry else {
            let message = "this process is an agent; ask an entry VM".to_owned();
            return Err(HttpError::for_not_found(None, message));
        };
        let digest = bearer_token(headers).map(token_digest);
        let known = &entry.settings().tokens.operator_sha256;
        let is_known = digest.is_some_and(|digest| known.iter().any(|known| **known == *digest));
        if is_known {
            return Ok(entry);
        }
        let message = "the bearer token is not an operator's".to_owned();
        Err(HttpError::for_client_error(
            None,
            dropshot::ClientErrorStatusCode::UNAUTHORIZED,
            message,
        ))
    }
}
