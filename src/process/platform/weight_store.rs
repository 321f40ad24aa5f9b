//! A client of the platform's weight store, which limits the rate of loads.

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use quick_error::quick_error;

use crate::prelude::*;

use super::http_client::{HttpClient, HttpFailure, bad_request};

/// The timeout for the response head of one load; reading the body has no timeout.
const LOAD_TIMEOUT: Duration = Duration::from_secs(30);
/// The wait before a retry after status 429; a `Retry-After` header is not read.
const RATE_LIMIT_WAIT: Duration = Duration::from_secs(1);

quick_error! {
    /// Why an expert's weights were not loaded.
    #[derive(Debug, Clone)]
    pub enum WeightFailure {
        /// The rate limit is reached; the load may be retried after this time.
        Limited(wait: Duration) {
            display("the weight store is at its rate limit, retry after {:?}", wait)
        }
        /// The store did not respond, or not with the weights.
        Failed(reason: String) {
            display("weight store: {}", reason)
        }
    }
}

/// A client of the weight store.
#[derive(Clone, Debug)]
pub struct WeightClient {
    client: HttpClient,
    base_url: Arc<str>,
}

impl WeightClient {
    /// Creates a client of the weight store at `base_url`.
    pub fn new(base_url: &str) -> Self {
        Self {
            client: HttpClient::http1(),
            base_url: Arc::from(base_url.trim_end_matches('/')),
        }
    }

    /// Loads the weights of one expert in one layer.
    ///
    /// # Errors
    /// The rate limit is reached, or the store did not respond with the weights.
    pub async fn load(
        &self,
        model: &ModelName,
        layer: u32,
        expert: u32,
    ) -> Result<Bytes, WeightFailure> {
        let url = format!("{}/v1/weights/{model}/{layer}/{expert}", self.base_url);
        let request = Request::get(url).body(Full::default()).map_err(bad_request);
        let response = match self
            .client
            .send(request.map_err(failed)?, LOAD_TIMEOUT)
            .await
        {
            Ok(response) => response,
            Err(HttpFailure::Status(StatusCode::TOO_MANY_REQUESTS, _)) => {
                return Err(WeightFailure::Limited(RATE_LIMIT_WAIT));
            }
            Err(err) => return Err(failed(err)),
        };
        let body = response.into_body().collect().await.map_err(failed)?;
        Ok(body.to_bytes())
    }
}

fn failed(err: impl std::fmt::Display) -> WeightFailure {
    WeightFailure::Failed(err.to_string())
}
