//! A small HTTP/1.1 server over hyper, shared by all stand-ins.

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

/// Largest request body that is read, in bytes.
const MAX_BODY_BYTES: usize = 8 << 20;

/// The body of every answer; a stream for engines.
pub type Body = UnsyncBoxBody<Bytes, Infallible>;

/// An answer; `None` from a handler closes the connection without one.
pub type Reply = Response<Body>;

/// One request, read whole.
pub struct Call {
    pub method: Method,
    pub path: String,
    pub query: HashMap<String, String>,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Call {
    /// Returns a query parameter as a number, when it is there and is one.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.query.get(name)?.parse().ok()
    }

    /// Returns a header as text, or an empty text.
    pub fn header(&self, name: &str) -> String {
        let value = self.headers.get(name);
        let text = value.and_then(|value| value.to_str().ok());
        text.unwrap_or_default().to_owned()
    }
}

/// Binds `address` with an error that names it.
pub async fn bind(address: SocketAddr) -> anyhow::Result<TcpListener> {
    let listener = TcpListener::bind(address).await;
    listener.with_context(|| format!("cannot listen on {address}"))
}

/// Serves connections until the process ends. Dropping the handler's future, as hyper does
/// when the caller disconnects, cancels the work of that call.
pub async fn serve<H, F>(listener: TcpListener, handler: H) -> anyhow::Result<()>
where
    H: Fn(Call) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Option<Reply>> + Send + 'static,
{
    loop {
        let (stream, _) = listener.accept().await?;
        stream.set_nodelay(true)?;
        let handler = handler.clone();
        let service = service_fn(move |request| answer(request, handler.clone()));
        tokio::spawn(async move {
            let connection = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service);
            // A caller that disconnects is an ordinary event for a stand-in.
            let _ = connection.await;
        });
    }
}

async fn answer<H, F>(request: Request<Incoming>, handler: H) -> anyhow::Result<Reply>
where
    H: Fn(Call) -> F,
    F: Future<Output = Option<Reply>>,
{
    let (head, body) = request.into_parts();
    let Ok(body) = Limited::new(body, MAX_BODY_BYTES).collect().await else {
        return Ok(status(StatusCode::PAYLOAD_TOO_LARGE));
    };
    let pairs = head.uri.query().unwrap_or_default().split('&');
    let query = pairs.filter_map(|pair| pair.split_once('='));
    let call = Call {
        method: head.method,
        path: head.uri.path().to_owned(),
        query: query
            .map(|(name, value)| (name.to_owned(), value.to_owned()))
            .collect(),
        headers: head.headers,
        body: body.to_bytes(),
    };
    handler(call).await.context("connection closed by control")
}

/// Makes an answer with a body.
pub fn bytes(code: StatusCode, body: impl Into<Bytes>) -> Reply {
    let mut reply = Response::new(Full::new(body.into()).boxed_unsync());
    *reply.status_mut() = code;
    reply
}

/// Makes an answer without a body.
pub fn status(code: StatusCode) -> Reply {
    bytes(code, Bytes::new())
}

/// Makes a JSON answer.
pub fn json(code: StatusCode, value: &impl Serialize) -> Reply {
    let Ok(text) = serde_json::to_vec(value) else {
        return status(StatusCode::INTERNAL_SERVER_ERROR);
    };
    let mut reply = bytes(code, text);
    set_header(&mut reply, CONTENT_TYPE.as_str(), "application/json");
    reply
}

/// Sets a header; a value that no header can carry is left out.
pub fn set_header(reply: &mut Reply, name: &'static str, value: &str) {
    if let Ok(value) = value.parse() {
        reply.headers_mut().insert(name, value);
    }
}
