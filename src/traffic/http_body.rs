//! Builds the answers of the HTTP servers for callers and operators.

use std::convert::Infallible;

use bytes::Bytes;
use futures::{Stream, StreamExt};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use hyper::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use serde::Serialize;

use crate::traffic::refusal::Refusal;

/// Body type of every answer.
pub type Body = UnsyncBoxBody<Bytes, Infallible>;

/// An HTTP response to a caller or an operator.
pub type Answer = Response<Body>;

/// Makes an answer with a complete body, as opposed to a stream.
pub fn with_body(status: StatusCode, content_type: &'static str, body: impl Into<Bytes>) -> Answer {
    let mut response = Response::new(Full::new(body.into()).boxed_unsync());
    *response.status_mut() = status;
    let value = HeaderValue::from_static(content_type);
    response.headers_mut().insert(CONTENT_TYPE, value);
    response
}

/// Makes an answer with a JSON document.
pub fn json(status: StatusCode, document: &impl Serialize) -> Answer {
    match serde_json::to_vec(document) {
        Ok(bytes) => with_body(status, "application/json", bytes),
        Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

/// Makes an answer with plain text.
pub fn text(status: StatusCode, body: impl Into<Bytes>) -> Answer {
    with_body(status, "text/plain; charset=utf-8", body)
}

/// Makes the answer that carries a refusal, with the HTTP status of its code.
pub fn refusal(refusal: &Refusal) -> Answer {
    with_body(refusal.code.status(), "application/json", refusal.to_json())
}

/// Makes an answer that streams encoded server-sent events.
pub fn event_stream(stream: impl Stream<Item = Bytes> + Send + 'static) -> Answer {
    let frames = stream.map(|bytes| Ok(Frame::data(bytes)));
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    response
}
