//! A small HTTP/1.1 server based on hyper, which all stand-ins use.

use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;

use anyhow::Context;
use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderMap};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::net::TcpListener;

/// Maximum size of a request body. Larger ones are answered with 413.
const MAX_BODY_BYTES: usize = 8 << 20;

/// Body of a response. Engines stream theirs; all others send it whole.
pub type Body = UnsyncBoxBody<Bytes, Infallible>;

/// Response to a call. A handler that returns `None` instead closes the connection without a
/// response.
pub type Reply = Response<Body>;

/// A received request with its complete body.
pub struct Call {
    pub method: Method,
    pub path: String,
    pub query: HashMap<String, String>,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Call {
    /// Returns a query parameter as a number, or `None` if it is missing or not a number.
    pub fn query_number(&self, name: &str) -> Option<u64> {
        self.query.get(name)?.parse().ok()
    }

    /// Returns a header as text, or an empty string if it is missing or not text.
    pub fn header(&self, name: &str) -> String {
        let value = self.headers.get(name);
        let text = value.and_then(|value| value.to_str().ok());
        text.unwrap_or_default().to_owned()
    }
}

/// Listens on `address`; an error names the address.
pub async fn bind(address: SocketAddr) -> anyhow::Result<TcpListener> {
    let listener = TcpListener::bind(address).await;
    listener.with_context(|| format!("cannot listen on {address}"))
}

/// Serves connections until the process ends.
///
/// When a caller disconnects, hyper drops the handler's future, which cancels the work for
/// that call.
pub async fn serve<H, F>(listener: TcpListener, handler: H) -> anyhow::Result<()>
where
    H: Fn(Call) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Option<Reply>> + Send + 'static,
{
    loop {
        let (stream, _) = listener.accept().await?;
        stream.set_nodelay(true)?;
        let handler = handler.clone();
        let service = service_fn(move |request| handle_request(request, handler.clone()));
        tokio::spawn(async move {
            let connection = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service);
            // Errors are ignored: callers of a stand-in may disconnect at any time, and a
            // handler may close the connection on purpose.
            let _ = connection.await;
        });
    }
}

async fn handle_request<H, F>(request: Request<Incoming>, handler: H) -> anyhow::Result<Reply>
where
    H: Fn(Call) -> F,
    F: Future<Output = Option<Reply>>,
{
    let (head, body) = request.into_parts();
    let Ok(body) = Limited::new(body, MAX_BODY_BYTES).collect().await else {
        return Ok(status(StatusCode::PAYLOAD_TOO_LARGE));
    };
    let query = form_urlencoded::parse(head.uri.query().unwrap_or_default().as_bytes());
    let call = Call {
        method: head.method,
        path: head.uri.path().to_owned(),
        query: query.into_owned().collect(),
        headers: head.headers,
        body: body.to_bytes(),
    };
    handler(call)
        .await
        .context("the handler closed the connection without a response")
}

/// Returns a response with a body.
pub fn bytes(code: StatusCode, body: impl Into<Bytes>) -> Reply {
    let mut reply = Response::new(Full::new(body.into()).boxed_unsync());
    *reply.status_mut() = code;
    reply
}

/// Returns a response without a body.
pub fn status(code: StatusCode) -> Reply {
    bytes(code, Bytes::new())
}

/// Returns a response with a JSON body, or status 500 if `value` cannot be serialised.
pub fn json(code: StatusCode, value: &impl Serialize) -> Reply {
    let Ok(text) = serde_json::to_vec(value) else {
        return status(StatusCode::INTERNAL_SERVER_ERROR);
    };
    let mut reply = bytes(code, text);
    set_header(&mut reply, CONTENT_TYPE.as_str(), "application/json");
    reply
}

/// Sets a header. A value that is not valid in a header is ignored.
pub fn set_header(reply: &mut Reply, name: &'static str, value: &str) {
    if let Ok(value) = value.parse() {
        reply.headers_mut().insert(name, value);
    }
}
