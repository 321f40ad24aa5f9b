//! The HTTP interface of a model engine.

use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{Method, Request, Response, StatusCode, header};
use serde_json::{Value, json};

use crate::cache_event::cache_blocks;
use crate::engine::{EngineResponse, EngineShared, ResponseState, Submission};
use crate::server::{
    ConnectionDropped, ResponseResult, error_response, header_text, json_response, query_number,
    read_json,
};
use crate::step_runner::{ExpertMapOrder, LoadedMap};

/// The priority of a request without an `x-priority` header.
const DEFAULT_PRIORITY: u32 = 2;

/// A part of an event without end.
const ENDLESS_CHUNK: &[u8] = &[b'x'; 64 << 10];
/// The number of bytes of an event without end after which the stream stands still.
const MAX_ENDLESS_BYTES: usize = 512 << 20;

/// Handles one request.
pub(crate) async fn handle_request(
    shared: Arc<EngineShared>,
    request: Request<Incoming>,
) -> ResponseResult {
    let path = request.uri().path().to_owned();
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    match (request.method(), parts.as_slice()) {
        (&Method::POST, ["v1", "chat", "completions"]) => complete(shared, request, true).await,
        (&Method::POST, ["v1", "completions"]) => complete(shared, request, false).await,
        (&Method::GET, ["v1", "requests", id, "events"]) => {
            let from = query_number(&request, "from", 0);
            resume_stream(shared, id, from)
        }
        (&Method::POST, ["v1", "requests", id, "cancel"]) => cancel_request(&shared, id),
        (&Method::GET, ["load"]) => {
            let report = shared.state.lock().load.visible();
            json_response(StatusCode::OK, &report)
        }
        (&Method::GET, ["cache-events"]) => {
            let from = query_number(&request, "from", 0);
            let (events, next) = shared.state.lock().cache.visible(from);
            json_response(StatusCode::OK, &json!({"events": events, "next": next}))
        }
        (&Method::POST, ["expert-map"]) => order_map(&shared, request).await,
        (&Method::GET, ["expert-map"]) => {
            let report = shared.state.lock().steps.report();
            json_response(StatusCode::OK, &report)
        }
        (&Method::GET, ["expert-loads"]) => {
            let loads = shared.state.lock().steps.loads();
            json_response(StatusCode::OK, &loads)
        }
        (&Method::POST, ["expert-map", "fence"]) => fence(&shared, request).await,
        (&Method::POST, ["expert-maps"]) => load_map(&shared, request).await,
        (&Method::POST, ["expert-maps", number, "drop"]) => {
            let number = number.parse().unwrap_or(0);
            shared.state.lock().steps.drop_map(number);
            json_response(StatusCode::OK, &json!({}))
        }
        _ => error_response(StatusCode::NOT_FOUND, "no such path"),
    }
}

async fn complete(
    shared: Arc<EngineShared>,
    request: Request<Incoming>,
    is_chat: bool,
) -> ResponseResult {
    let id = header_text(&request, "x-request-id");
    let priority = header_text(&request, "x-priority").and_then(|text| text.parse().ok());
    let blocks = header_text(&request, "x-cache-blocks");
    let body: Value = match read_json(request.into_body()).await {
        Ok(body) => body,
        Err(reason) => return error_response(StatusCode::BAD_REQUEST, &reason),
    };
    let blocks = blocks.map_or_else(|| cache_blocks(&body), |names| named_blocks(&names));
    let submission = Submission {
        id,
        priority: priority.unwrap_or(DEFAULT_PRIORITY),
        is_chat,
        blocks,
    };
    let id = shared.submit(submission, &body);
    if body["stream"] == true {
        return resume_stream(shared, &id, 0);
    }
    complete_response(shared, &id).await
}

/// Parses the block names that the client chose, so that it can recognize them in the cache events.
fn named_blocks(names: &str) -> Vec<String> {
    names.split(',').map(str::trim).map(str::to_owned).collect()
}

async fn complete_response(shared: Arc<EngineShared>, id: &str) -> ResponseResult {
    let mut steps = shared.steps.subscribe();
    loop {
        steps.mark_unchanged();
        let response = shared.state.lock().responses.get(id).cloned();
        match response {
            None => return Err(ConnectionDropped),
            Some(response) if response.state == ResponseState::Finished => {
                return json_response(
                    StatusCode::OK,
                    &response.fields.complete_body(&response.tokens),
                );
            }
            Some(response) if response.state == ResponseState::Cancelled => {
                return error_response(StatusCode::CONFLICT, "the request was cancelled");
            }
            Some(_) => {}
        }
        steps.changed().await.map_err(|_| ConnectionDropped)?;
    }
}

fn resume_stream(shared: Arc<EngineShared>, id: &str, from: u64) -> ResponseResult {
    if !shared.state.lock().responses.contains_key(id) {
        return error_response(StatusCode::NOT_FOUND, "no such request");
    }
    let reader = StreamReader {
        id: id.to_owned(),
        next: from as usize,
        is_done: false,
        n_endless_bytes: 0,
        shared,
    };
    let frames = stream::unfold(reader, read_events);
    let mut response = Response::new(StreamBody::new(frames).boxed());
    let event_stream = header::HeaderValue::from_static("text/event-stream");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, event_stream);
    Ok(response)
}

/// Reads the events of one response as they are generated.
struct StreamReader {
    id: String,
    next: usize,
    is_done: bool,
    n_endless_bytes: usize,
    shared: Arc<EngineShared>,
}

type EventFrame = Result<Frame<Bytes>, Infallible>;

async fn read_events(mut reader: StreamReader) -> Option<(EventFrame, StreamReader)> {
    if reader.is_done {
        return None;
    }
    let mut steps = reader.shared.steps.subscribe();
    loop {
        steps.mark_unchanged();
        let response = reader
            .shared
            .state
            .lock()
            .responses
            .get(&reader.id)
            .cloned();
        let Some(response) = response else {
            // The engine crashed. Ending the stream here would make the response look complete, so
            // wait until the connection is dropped.
            return std::future::pending().await;
        };
        let is_endless = 0 < reader.next && reader.shared.state.lock().sends_endless_events;
        if is_endless {
            if MAX_ENDLESS_BYTES <= reader.n_endless_bytes {
                return std::future::pending().await;
            }
            reader.n_endless_bytes += ENDLESS_CHUNK.len();
            return Some((Ok(Frame::data(Bytes::from_static(ENDLESS_CHUNK))), reader));
        }
        let text = reader.take_events(&response);
        if !text.is_empty() {
            return Some((Ok(Frame::data(Bytes::from(text))), reader));
        }
        steps.changed().await.ok()?;
    }
}

impl StreamReader {
    /// Returns the events not yet sent, as server-sent event text.
    fn take_events(&mut self, response: &EngineResponse) -> String {
        let mut text = String::new();
        while self.next < response.n_tokens {
            let chunk = response.fields.token_chunk(&response.tokens[self.next]);
            text.push_str(&format!("id: {}\ndata: {chunk}\n\n", self.next));
            self.next += 1;
        }
        let finish_reason = match response.state {
            ResponseState::Finished => response.fields.finish_reason,
            ResponseState::Cancelled => "cancelled",
            ResponseState::Waiting | ResponseState::Running => return text,
        };
        if self.next <= response.n_tokens {
            let chunk = response.fields.last_chunk(finish_reason);
            text.push_str(&format!("id: {}\ndata: {chunk}\n\n", response.n_tokens));
        }
        text.push_str("data: [DONE]\n\n");
        self.is_done = true;
        text
    }
}

fn cancel_request(shared: &EngineShared, id: &str) -> ResponseResult {
    let Some(before) = shared.cancel(id) else {
        return error_response(StatusCode::NOT_FOUND, "no such request");
    };
    let has_started = before != ResponseState::Waiting;
    let state = if before == ResponseState::Finished {
        "finished"
    } else {
        "cancelled"
    };
    json_response(
        StatusCode::OK,
        &json!({"id": id, "state": state, "started": has_started}),
    )
}

async fn order_map(shared: &EngineShared, request: Request<Incoming>) -> ResponseResult {
    let order: ExpertMapOrder = match read_json(request.into_body()).await {
        Ok(order) => order,
        Err(reason) => return error_response(StatusCode::BAD_REQUEST, &reason),
    };
    let mut state = shared.state.lock();
    let checks_fencing = state.options.checks_fencing;
    match state.steps.order(order, checks_fencing) {
        Ok(()) => json_response(StatusCode::OK, &json!({})),
        Err(reason) => error_response(StatusCode::CONFLICT, reason),
    }
}

async fn fence(shared: &EngineShared, request: Request<Incoming>) -> ResponseResult {
    match read_json::<Value>(request.into_body()).await {
        Ok(body) => {
            let fencing_number = body["fencing_number"].as_u64().unwrap_or(0);
            shared.state.lock().steps.fence(fencing_number);
            json_response(StatusCode::OK, &json!({}))
        }
        Err(reason) => error_response(StatusCode::BAD_REQUEST, &reason),
    }
}

async fn load_map(shared: &EngineShared, request: Request<Incoming>) -> ResponseResult {
    match read_json::<LoadedMap>(request.into_body()).await {
        Ok(map) => {
            shared.state.lock().steps.load(map);
            json_response(StatusCode::OK, &json!({}))
        }
        Err(reason) => error_response(StatusCode::BAD_REQUEST, &reason),
    }
}
