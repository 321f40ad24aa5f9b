//! The agent's client of a model engine, an OpenAI-style HTTP API with numbered events.

use bytes::Bytes;
use eventsource_stream::{EventStreamError, Eventsource};
use futures::{Stream, StreamExt};
use http::Request;
use http_body_util::{BodyDataStream, Full};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::prelude::*;
use crate::process::step_window::WindowNumber;
use crate::version::expert_map::{ExpertMap, LoadSample, MapId, RankId};

use super::event_limit::{EventFault, limit_events};
use super::header_value;
use super::http_client::{AnswerLimit, HttpClient, HttpFailure, bad_request, json_request};

/// The timeout for a control call to the engine.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);
/// The limit of a report of the engine; its expert maps are the longest part.
const REPORT_LIMIT: AnswerLimit = AnswerLimit {
    time: CONTROL_TIMEOUT,
    bytes: 32 << 20,
};
/// The data of the event that marks the end of a stream.
const END_OF_STREAM: &str = "[DONE]";

/// The load that an engine reports, which lags behind the actual load.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Increases with each report.
    pub sequence: u64,
    /// Requests in the running batch.
    pub running: u32,
    /// Requests waiting to be batched.
    pub waiting: u32,
    /// Generated tokens per second.
    pub tokens_per_second: f64,
    /// The duration of one step, in milliseconds.
    pub step_ms: f64,
}

/// A change of an engine's prefix cache. Events arrive late, and some are lost.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Increases with each event.
    pub sequence: u64,
    /// `stored` or `removed`.
    pub kind: String,
    /// The hash of the block, in hex.
    pub block: String,
}

/// Consecutive cache events.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CachePage {
    /// The events.
    pub events: Vec<CacheEvent>,
    /// The position to pass to the next read.
    pub next: u64,
}

/// A command to run a step window with an expert map.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineMap {
    /// The fencing number of the leader that issued the command.
    pub fencing_number: FencingNumber,
    /// The step window.
    pub window: WindowNumber,
    /// The map.
    pub map: MapId,
}

/// The step windows of an engine and the expert maps that it has loaded.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineSteps {
    /// The window that is running.
    pub running: Option<EngineMap>,
    /// The window that runs next.
    pub queued: Option<EngineMap>,
    /// The maps whose experts are loaded.
    pub loaded: Vec<ExpertMap>,
}

/// The loads of the experts on an engine over its last reporting interval.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineExpertLoads {
    /// The length of the interval, in milliseconds.
    pub interval_ms: u32,
    /// The time that the engine spent computing its experts, in milliseconds.
    pub busy_ms: u32,
    /// The load samples.
    pub samples: Vec<LoadSample>,
}

/// An event of an engine's response stream.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineEvent {
    /// A chunk of the response.
    Chunk(String),
    /// The end of the response.
    End,
    /// The stream failed before its end; holds the reason.
    Broken(String),
    /// An event is longer than this limit, in bytes; nothing more is read.
    TooLong(usize),
}

/// A client of one model engine.
#[derive(Clone, Debug)]
pub struct EngineClient {
    client: HttpClient,
    base_url: Arc<str>,
}

/// A request to an engine.
#[derive(Clone, Debug)]
pub struct EngineCall<'a> {
    /// The API path, such as `/v1/completions`.
    pub path: &'a str,
    /// The request id.
    pub request: RequestId,
    /// The priority; 0 is the most urgent.
    pub priority: u32,
    /// The request body, with `stream` set.
    pub body: &'a Value,
    /// The timeout for the head of the response.
    pub timeout: Duration,
}

impl EngineClient {
    /// Creates a client of the engine at `base_url`.
    pub fn new(base_url: &str) -> Self {
        Self {
            client: HttpClient::http1(),
            base_url: Arc::from(base_url.trim_end_matches('/')),
        }
    }

    /// Starts a request and returns its event stream.
    ///
    /// # Errors
    /// The engine rejected the request or did not respond.
    pub async fn start(
        &self,
        call: &EngineCall<'_>,
    ) -> Result<impl Stream<Item = EngineEvent> + Send + use<>, HttpFailure> {
        let url = format!("{}{}", self.base_url, call.path);
        let mut request = json_request(&url, call.body)?;
        let headers = request.headers_mut();
        headers.insert("x-request-id", header_value(&call.request.to_string())?);
        headers.insert("x-priority", header_value(&call.priority.to_string())?);
        self.events(request, call.timeout).await
    }

    /// Resumes a request's event stream at event `from`.
    ///
    /// # Errors
    /// The engine does not know the request or did not respond.
    pub async fn resume(
        &self,
        request: RequestId,
        from: u64,
        timeout: Duration,
    ) -> Result<impl Stream<Item = EngineEvent> + Send + use<>, HttpFailure> {
        let url = format!("{}/v1/requests/{request}/events?from={from}", self.base_url);
        let request = Request::get(url)
            .body(Full::default())
            .map_err(bad_request)?;
        self.events(request, timeout).await
    }

    /// Cancels a request.
    ///
    /// # Errors
    /// The engine did not respond with a success status.
    pub async fn cancel(&self, request: RequestId) -> Result<(), HttpFailure> {
        let url = format!("{}/v1/requests/{request}/cancel", self.base_url);
        let request = json_request(&url, &Value::Null)?;
        self.client.send(request, CONTROL_TIMEOUT).await.map(|_| ())
    }

    /// Reads the load of the engine.
    ///
    /// # Errors
    /// The engine did not respond with a success status.
    pub async fn load(&self) -> Result<EngineLoad, HttpFailure> {
        self.client
            .get(&format!("{}/load", self.base_url), REPORT_LIMIT)
            .await
    }

    /// Reads the cache events starting at `from`.
    ///
    /// # Errors
    /// The engine did not respond with a success status.
    pub async fn cache_events(&self, from: u64) -> Result<CachePage, HttpFailure> {
        let url = format!("{}/cache-events?from={from}", self.base_url);
        self.client.get(&url, REPORT_LIMIT).await
    }

    /// Queues a window to run after the one that is running.
    ///
    /// # Errors
    /// The engine rejected the command or did not respond.
    pub async fn run_window(&self, command: EngineMap) -> Result<(), HttpFailure> {
        self.send_command("/expert-map", &command).await
    }

    /// Sets the lowest fencing number that the engine accepts, if it checks fencing numbers.
    ///
    /// # Errors
    /// The engine did not respond with a success status.
    pub async fn fence(&self, fencing_number: FencingNumber) -> Result<(), HttpFailure> {
        let body = serde_json::json!({ "fencing_number": fencing_number });
        self.send_command("/expert-map/fence", &body).await
    }

    /// Reads the step windows of the engine and the expert maps that it has loaded.
    ///
    /// # Errors
    /// The engine did not respond with a success status.
    pub async fn steps(&self) -> Result<EngineSteps, HttpFailure> {
        self.client
            .get(&format!("{}/expert-map", self.base_url), REPORT_LIMIT)
            .await
    }

    /// Tells the engine that the experts of a map are loaded for `rank`.
    ///
    /// # Errors
    /// The engine rejected the command or did not respond.
    pub async fn load_map(&self, rank: RankId, map: &ExpertMap) -> Result<(), HttpFailure> {
        self.send_command(
            "/expert-maps",
            &serde_json::json!({ "rank": rank, "map": map }),
        )
        .await
    }

    /// Reads the loads of the experts on the engine.
    ///
    /// # Errors
    /// The engine did not respond with a success status.
    pub async fn expert_loads(&self) -> Result<EngineExpertLoads, HttpFailure> {
        self.client
            .get(&format!("{}/expert-loads", self.base_url), REPORT_LIMIT)
            .await
    }

    /// Tells the engine that it may drop a map.
    ///
    /// # Errors
    /// The engine did not respond with a success status.
    pub async fn drop_map(&self, map: MapId) -> Result<(), HttpFailure> {
        self.send_command(&format!("/expert-maps/{}/drop", map.number), &Value::Null)
            .await
    }

    async fn send_command(&self, path: &str, body: &impl Serialize) -> Result<(), HttpFailure> {
        let request = json_request(&format!("{}{path}", self.base_url), body)?;
        self.client.send(request, CONTROL_TIMEOUT).await.map(|_| ())
    }

    async fn events(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<impl Stream<Item = EngineEvent> + Send + use<>, HttpFailure> {
        let response = self.client.send(request, timeout).await?;
        let events = limit_events(BodyDataStream::new(response.into_body())).eventsource();
        Ok(events.map(|event| match event {
            Ok(event) if event.data == END_OF_STREAM => EngineEvent::End,
            Ok(event) => EngineEvent::Chunk(event.data),
            Err(EventStreamError::Transport(EventFault::TooLong(limit))) => {
                EngineEvent::TooLong(limit)
            }
            Err(err) => EngineEvent::Broken(err.to_string()),
        }))
    }
}
