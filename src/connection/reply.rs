//! Bodies of requests and replies.

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

/// The body of a reply, whole or streamed.
pub type ResponseBody = UnsyncBoxBody<Bytes, BoxError>;

/// An error of a body.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;

quick_error! {
    /// Why the body of a request cannot be used.
    #[derive(Debug)]
    pub enum BodyError {
        /// It is longer than the limit in bytes.
        TooLarge(limit: usize) {
            display("the body is longer than {} bytes", limit)
        }
        /// The connection ended before the body did.
        CutShort(reason: String) {
            display("the body was cut short: {}", reason)
        }
    }
}

/// Reads a whole body of at most `limit` bytes.
///
/// # Errors
/// The body is too long or was cut short.
pub async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, BodyError> {
    match Limited::new(body, limit).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(err) if err.is::<LengthLimitError>() => Err(BodyError::TooLarge(limit)),
        Err(err) => Err(BodyError::CutShort(err.to_string())),
    }
}

/// Makes a reply without a body.
pub fn empty_reply(status: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(Empty::new().map_err(never).boxed_unsync());
    *response.status_mut() = status;
    response
}

/// Makes a reply with a JSON body.
pub fn json_reply(status: StatusCode, body: &impl Serialize) -> Response<ResponseBody> {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    let mut response = Response::new(Full::from(bytes).map_err(never).boxed_unsync());
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

/// Makes a streamed reply of the given content type.
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

fn never(err: Infallible) -> BoxError {
    match err {}
}
