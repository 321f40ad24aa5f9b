//! HTTP clients for the caller and operator APIs of a deployment.

use std::net::SocketAddr;

use comfreyhead::prelude::*;
use eventsource_stream::Eventsource;
use futures::{Stream, StreamExt};
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyDataStream, BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

/// The operator token.
pub const OPERATOR_TOKEN: &str = "whole-path-operator";
/// The timeout for a response or an event; far longer than either normally takes.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(60);

/// A complete response.
#[derive(Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub outcome: String,
    pub key_use: String,
    pub body: Value,
}

/// The content received from a stream.
#[derive(Clone, Debug, Default)]
pub struct StreamedText {
    pub text: String,
    pub last_id: String,
    pub request: String,
    pub is_whole: bool,
    pub error: Option<Value>,
}

/// Sends a request; returns `None` on a timeout or a connection error.
pub async fn send(
    method: Method,
    url: &str,
    headers: &[(&str, &str)],
    body: String,
) -> Option<Response<Incoming>> {
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<bytes::Bytes>>();
    let mut request = Request::builder().method(method).uri(url);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::from(body)).expect("a valid request");
    tokio::time::timeout(RESPONSE_TIMEOUT, client.request(request))
        .await
        .ok()?
        .ok()
}

/// Posts a body and returns the complete response; `None` when none arrives.
pub async fn post(
    entry: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: String,
) -> Option<Answer> {
    let url = format!("http://{entry}{path}");
    let response = send(Method::POST, &url, headers, body).await?;
    let header = |name| {
        let value = response.headers().get(name);
        value
            .map_or("", |value| value.to_str().expect("ASCII"))
            .to_owned()
    };
    let outcome = header("x-comfreyhead-outcome");
    let key_use = header("x-comfreyhead-key");
    let status = response.status();
    let bytes = response.into_body().collect().await.ok()?.to_bytes();
    let body = serde_json::from_slice(&bytes).unwrap_or(Value::Null);
    Some(Answer {
        status,
        outcome,
        key_use,
        body,
    })
}

/// Starts a stream and reads it until it ends or `n_events` have arrived.
pub async fn read_stream(
    entry: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &Value,
    n_events: usize,
) -> Option<StreamedText> {
    let url = format!("http://{entry}{path}");
    let response = send(Method::POST, &url, headers, body.to_string()).await?;
    let mut streamed = StreamedText {
        request: request_id(&response),
        ..StreamedText::default()
    };
    collect(response, &mut streamed, n_events).await;
    Some(streamed)
}

/// Resumes a stream after the last event received.
pub async fn resume_stream(
    entry: SocketAddr,
    token: &str,
    streamed: &mut StreamedText,
) -> Option<StatusCode> {
    let url = format!("http://{entry}/v1/requests/{}/events", streamed.request);
    let bearer = format!("Bearer {token}");
    let last_id = streamed.last_id.clone();
    let headers = [
        ("authorization", bearer.as_str()),
        ("last-event-id", last_id.as_str()),
    ];
    let response = send(Method::GET, &url, &headers, String::new()).await?;
    let status = response.status();
    collect(response, streamed, usize::MAX).await;
    Some(status)
}

/// Gets a report from an entry VM; `None` when no valid response arrives.
pub async fn get_json(operators: SocketAddr, path: &str, token: &str) -> Option<Value> {
    let bearer = format!("Bearer {token}");
    let url = format!("http://{operators}{path}");
    let response = send(
        Method::GET,
        &url,
        &[("authorization", &bearer)],
        String::new(),
    )
    .await?;
    let bytes = response.into_body().collect().await.ok()?.to_bytes();
    serde_json::from_slice(&bytes).ok()
}

/// Posts an operator request to an entry VM.
pub async fn post_json(operators: SocketAddr, path: &str, token: &str, body: &Value) -> Value {
    let bearer = format!("Bearer {token}");
    let headers = [
        ("authorization", bearer.as_str()),
        ("content-type", "application/json"),
    ];
    post(operators, path, &headers, body.to_string())
        .await
        .expect("a response")
        .body
}

fn request_id(response: &Response<Incoming>) -> String {
    let id = response.headers().get("x-request-id");
    id.map_or("", |value| value.to_str().expect("ASCII"))
        .to_owned()
}

async fn collect(response: Response<Incoming>, streamed: &mut StreamedText, n_events: usize) {
    let mut events = sse_events(response);
    let mut n_seen = 0;
    while n_seen < n_events {
        let next = tokio::time::timeout(RESPONSE_TIMEOUT, events.next())
            .await
            .expect("no event before the timeout");
        let Some((id, data)) = next else { return };
        n_seen += 1;
        if data == "[DONE]" {
            streamed.is_whole = true;
            return;
        }
        let chunk: Value = serde_json::from_str(&data).expect("events are JSON");
        if chunk["error"].is_object() {
            streamed.error = Some(chunk["error"].clone());
            return;
        }
        streamed.text += chunk["choices"][0]["text"].as_str().unwrap_or("");
        streamed.last_id = id;
    }
}

/// Returns the events until the stream ends or fails.
fn sse_events(response: Response<Incoming>) -> impl Stream<Item = (String, String)> + Unpin {
    let events = BodyDataStream::new(response.into_body()).eventsource();
    let events = events.take_while(|event| futures::future::ready(event.is_ok()));
    Box::pin(
        events.filter_map(|event| async move { event.ok().map(|event| (event.id, event.data)) }),
    )
}
