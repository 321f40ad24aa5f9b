//! A client of the platform's weight store, which limits the rate of loads.

use futures::StreamExt;
use http::{Request, StatusCode};
use http_body_util::{BodyDataStream, Full};
use hyper::body::Incoming;
use quick_error::quick_error;

use crate::prelude::*;

use super::http_client::{AnswerLimit, HttpClient, HttpFailure, bad_request};

/// The limit of one load.
const LOAD_LIMIT: AnswerLimit = AnswerLimit {
    time: Duration::from_secs(30),
    bytes: 64 << 20,
};
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
    limit: AnswerLimit,
}

impl WeightClient {
    /// Creates a client of the weight store at `base_url`.
    pub fn new(base_url: &str) -> Self {
        Self::with_limit(base_url, LOAD_LIMIT)
    }

    /// Creates a client of the weight store at `base_url` with a limit of its own.
    pub fn with_limit(base_url: &str, limit: AnswerLimit) -> Self {
        Self {
            limit,
            client: HttpClient::http1(),
            base_url: Arc::from(base_url.trim_end_matches('/')),
        }
    }

    /// Loads the weights of one expert in one layer and returns their size in bytes.
    ///
    /// # Errors
    /// The rate limit is reached, or the store did not respond with the weights.
    pub async fn load(
        &self,
        model: &ModelName,
        layer: u32,
        expert: u32,
    ) -> Result<usize, WeightFailure> {
        let url = format!("{}/v1/weights/{model}/{layer}/{expert}", self.base_url);
        let request = Request::get(url).body(Full::default()).map_err(bad_request);
        let response = match self
            .client
            .send(request.map_err(failed)?, self.limit.time)
            .await
        {
            Ok(response) => response,
            Err(HttpFailure::Status(StatusCode::TOO_MANY_REQUESTS, _)) => {
                return Err(WeightFailure::Limited(RATE_LIMIT_WAIT));
            }
            Err(err) => return Err(failed(err)),
        };
        let AnswerLimit { time, bytes } = self.limit;
        let size = tokio::time::timeout(time, body_size(response.into_body(), bytes)).await;
        size.map_err(|_| failed(format!("no whole answer within {time:?}")))?
    }
}

/// Reads a body of at most `limit` bytes without keeping it and returns its size.
async fn body_size(body: Incoming, limit: usize) -> Result<usize, WeightFailure> {
    let mut chunks = BodyDataStream::new(body);
    let mut size = 0;
    while let Some(chunk) = chunks.next().await {
        size += chunk.map_err(failed)?.len();
        if limit < size {
            return Err(failed(HttpFailure::TooLong(limit)));
        }
    }
    Ok(size)
}

fn failed(err: impl std::fmt::Display) -> WeightFailure {
    WeightFailure::Failed(err.to_string())
}
