//! The end of a stream to a caller.

use comfreyhead_fleet::prelude::*;
use comfreyhead_fleet::process::{CallerBody, StreamPart};
use http_body_util::BodyExt;
use tokio::sync::mpsc;

/// Returns the bytes that a caller gets of a stream; `None` where it does not look complete.
async fn received(parts: &[StreamPart]) -> Option<Bytes> {
    let (sender, receiver) = mpsc::channel(8);
    for part in parts {
        sender.send(part.clone()).await.unwrap();
    }
    drop(sender);
    let body = CallerBody::Events(receiver);
    Some(body.collect().await.ok()?.to_bytes())
}

// Guards against a stream that looks complete because the task that sends it has failed.
#[tokio::test]
async fn stream_without_its_end_marker_does_not_look_complete() {
    let event = StreamPart::Event("id: 1\n\n".into());
    assert_eq!(received(std::slice::from_ref(&event)).await, None);
    assert_eq!(
        received(&[event, StreamPart::End]).await,
        Some("id: 1\n\n".into())
    );
}
