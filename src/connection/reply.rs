//! Helpers for reading request bodies and building responses.

use std::convert::Infallible;

use bytes::Bytes;
use futures::{Stream, StreamExt};
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Empty, Full, LengthLimitError, Limited, StreamBody};
use hyper::body::{Frame, Incoming};
use quick_error::quick_error;
use serde::Serialize;

/// The body of a response, buffered or streamed.
pub type ResponseBody = UnsyncBoxBody<Bytes, BoxError>;

/// An error while producing a body.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;

quick_error! {
    /// Why a body could not be read.
    #[derive(Debug)]
    pub enum BodyError {
        /// The body exceeds the limit in bytes.
        TooLarge(limit: usize) {
            display("the body is longer than {} bytes", limit)
        }
        /// The connection failed before the end of the body.
        CutShort(reason: String) {
            display("the body was cut short: {}", reason)
        }
    }
}

/// Reads a complete body of at most `limit` bytes.
///
/// # Errors
/// The body exceeds the limit or is incomplete.
pub async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, BodyError> {
    match Limited::new(body, limit).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(err) if err.is::<LengthLimitError>() => Err(BodyError::TooLarge(limit)),
        Err(err) => Err(BodyError::CutShort(err.to_string())),
    }
}

/// Creates a response with an empty body.
pub fn empty_reply(status: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(Empty::new().map_err(convert_infallible).boxed_unsync());
    *response.status_mut() = status;
    response
}

/// Creates a response with a JSON body.
pub fn json_reply(status: StatusCode, body: &impl Serialize) -> Response<ResponseBody> {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    let mut response = Response::new(Full::from(bytes).map_err(convert_infallible).boxed_unsync());
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

/// Creates a streamed response with the given content type.
pub fn stream_reply(
    content_type: &'static str,
    chunks: impl Stream<Item = Bytes> + Send + 'static,
) -> Response<ResponseBody> {
    let frames = chunks.map(|chunk| Ok::<_, BoxError>(Frame::data(chunk)));
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

fn convert_infallible(err: Infallible) -> BoxError {
    match err {}
}
