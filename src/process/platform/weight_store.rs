//! The platform's weight store. It limits the rate of loads.

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use quick_error::quick_error;

use crate::prelude::*;

use super::http_client::{HttpClient, HttpFailure, bad_request};

/// The longest time for one load.
const LOAD_TIMEOUT: Duration = Duration::from_secs(30);
/// The wait after a refusal that names none.
const DEFAULT_WAIT: Duration = Duration::from_secs(1);

quick_error! {
    /// Why an expert's weights were not loaded.
    #[derive(Debug, Clone)]
    pub enum WeightFailure {
        /// The rate limit is reached; a load may be tried after this time.
        Limited(wait: Duration) {
            display("the weight store is at its rate limit, retry after {:?}", wait)
        }
        /// The store did not answer as expected.
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
    /// Makes a client of the weight store at `base_url`.
    pub fn new(base_url: &str) -> Self {
        Self {
            client: HttpClient::http1(),
            base_url: Arc::from(base_url.trim_end_matches('/')),
        }
    }

    /// Loads the weights of one expert of one layer.
    ///
    /// # Errors
    /// The rate limit is reached, or the store did not answer.
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
                return Err(WeightFailure::Limited(DEFAULT_WAIT));
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
