//! Answers to callers.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{HeaderMap, Response, StatusCode};

use crate::platform::endpoint_call::{RETRY_AFTER, promises_not_run};

/// Body of an answer. An error in the body closes the connection, so that the caller never takes a
/// partial body for a complete one.
pub type ReplyBody = UnsyncBoxBody<Bytes, io::Error>;
/// An answer to a caller.
pub type Reply = Response<ReplyBody>;

/// Makes a body of known length.
pub fn whole_body(bytes: impl Into<Bytes>) -> ReplyBody {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Makes an answer of this VM itself, with one line of text.
pub fn text(status: StatusCode, message: &str) -> Reply {
    let mut reply = Response::new(whole_body(format!("{message}\n")));
    *reply.status_mut() = status;
    let plain = HeaderValue::from_static("text/plain");
    reply.headers_mut().insert(CONTENT_TYPE, plain);
    reply
}

/// Makes a refusal (503) that promises that the request has not run and will not run. The caller
/// should retry it after `retry_after`.
pub fn not_run(message: &str, retry_after: Duration) -> Reply {
    let reply = text(StatusCode::SERVICE_UNAVAILABLE, message);
    with_retry_after(reply, retry_after)
}

/// Makes an answer (502) that promises nothing. A caller that may repeat the request should do so after
/// `retry_after`, or at once.
pub fn may_have_run(message: &str, retry_after: Option<Duration>) -> Reply {
    let reply = text(StatusCode::BAD_GATEWAY, message);
    match retry_after {
        Some(retry_after) => with_retry_after(reply, retry_after),
        None => reply,
    }
}

fn with_retry_after(mut reply: Reply, retry_after: Duration) -> Reply {
    let seconds = format!("{:.2}", retry_after.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        reply.headers_mut().insert(RETRY_AFTER, value);
    }
    reply
}

/// Makes an answer that relays the status, headers and body of an endpoint. A status that promises that the request
/// has not run is never relayed: callers rely on it, and only this VM knows whether it holds for all endpoints that
/// got the request.
pub fn relayed(status: StatusCode, headers: HeaderMap, body: ReplyBody) -> Reply {
    debug_assert!(
        !promises_not_run(status),
        "an endpoint's {status} is relayed"
    );
    let mut reply = Response::new(body);
    *reply.status_mut() = status;
    *reply.headers_mut() = headers;
    reply
}
