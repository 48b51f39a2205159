//! A minimal HTTP client that opens a new connection for each call.
//!
//! It doesn't retry calls or reuse connections, so each call is sent at most once.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use anyhow::Context as _;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{Instant, timeout, timeout_at};
use tokio_util::task::AbortOnDropHandle;

/// Maximum size of an answer body that [`fetch`] reads.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Timeout of connecting. A lost opening packet is sent again only after one second, and then after
/// pauses that double, so a new call gets through sooner once a cut has healed.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// An HTTP request to send, with its destination and timeout.
#[derive(Debug, Clone)]
pub struct Call<'a> {
    /// Address to connect to.
    pub address: SocketAddr,
    /// Local address to connect from; `None` lets the operating system choose it.
    pub own_ip: Option<Ipv4Addr>,
    /// HTTP method.
    pub method: Method,
    /// Path and query of the request.
    pub path: &'a str,
    /// Names and values of the request headers.
    pub headers: &'a [(&'a str, &'a str)],
    /// Request body; empty if there is none.
    pub body: Bytes,
    /// Timeout from the start of the call until the head of the answer arrives.
    pub head_timeout: Duration,
}

impl<'a> Call<'a> {
    /// Makes a GET call without headers.
    pub fn get(address: SocketAddr, path: &'a str, head_timeout: Duration) -> Self {
        Self {
            address,
            own_ip: None,
            method: Method::GET,
            path,
            headers: &[],
            body: Bytes::new(),
            head_timeout,
        }
    }
}

/// Sends a call and returns the answer, whose body is still to be read.
///
/// # Errors
///
/// Fails if there is no connection within `CONNECT_TIMEOUT`, if it breaks, if the answer is not HTTP,
/// or if the head of the answer takes longer than `head_timeout`.
pub async fn send(call: &Call<'_>) -> anyhow::Result<Response<Incoming>> {
    let (response, connection) = open(call).await?;
    connection.detach();
    Ok(response)
}

/// Sends a call and returns the answer with its connection, which closes when it is dropped.
async fn open(call: &Call<'_>) -> anyhow::Result<(Response<Incoming>, AbortOnDropHandle<()>)> {
    let description = format!("{} {}{}", call.method, call.address, call.path);
    let answer = timeout(call.head_timeout, send_once(call)).await;
    answer
        .with_context(|| format!("{description}: no answer in {:?}", call.head_timeout))?
        .with_context(|| description)
}

async fn connect(call: &Call<'_>) -> io::Result<TcpStream> {
    let Some(own_ip) = call.own_ip else {
        return TcpStream::connect(call.address).await;
    };
    let socket = TcpSocket::new_v4()?;
    socket.bind((own_ip, 0).into())?;
    socket.connect(call.address).await
}

async fn send_once(call: &Call<'_>) -> anyhow::Result<(Response<Incoming>, AbortOnDropHandle<()>)> {
    let stream = timeout(CONNECT_TIMEOUT, connect(call)).await;
    let stream = stream.context("the connect timeout passed")??;
    stream.set_nodelay(true)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let connection = AbortOnDropHandle::new(tokio::spawn(async move {
        // The task that waits for the answer gets the error too.
        let _ = connection.await;
    }));
    let mut request = Request::builder().method(&call.method).uri(call.path);
    if !call.headers.iter().any(|(name, _)| *name == "host") {
        request = request.header("host", call.address.to_string());
    }
    for (name, value) in call.headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(call.body.clone()))?;
    Ok((sender.send_request(request).await?, connection))
}

/// The head of an answer arrived, and its body did not arrive whole.
#[derive(Debug, Error)]
#[error("{path}: the body is not complete: {reason}")]
pub struct IncompleteBody {
    path: String,
    reason: String,
}

/// Sends a call and reads its whole answer.
///
/// # Errors
///
/// Fails like [`send`], and also if the body breaks off, is larger than 16 MiB or takes longer
/// than `body_timeout`.
pub async fn fetch(call: &Call<'_>, body_timeout: Duration) -> anyhow::Result<(StatusCode, Bytes)> {
    let (response, _connection) = open(call).await?;
    let answer = read_body(call, response, Instant::now() + body_timeout).await?;
    let (head, body) = answer.into_parts();
    Ok((head.status, body))
}

/// Like [`fetch`], with the headers of the answer, all of which has to arrive within `max_time`.
///
/// # Errors
///
/// Fails like [`fetch`]; with [`IncompleteBody`] if only the body is missing.
pub async fn fetch_response(
    call: &Call<'_>,
    max_time: Duration,
) -> anyhow::Result<Response<Bytes>> {
    let deadline = Instant::now() + max_time;
    let (response, _connection) = open(call).await?;
    Ok(read_body(call, response, deadline).await?)
}

async fn read_body(
    call: &Call<'_>,
    response: Response<Incoming>,
    deadline: Instant,
) -> Result<Response<Bytes>, IncompleteBody> {
    let incomplete = |reason: String| IncompleteBody {
        path: call.path.to_owned(),
        reason,
    };
    let (head, body) = response.into_parts();
    let body = Limited::new(body, MAX_ANSWER_BYTES).collect();
    let body = timeout_at(deadline, body)
        .await
        .map_err(|_| incomplete("the timeout passed".to_owned()))?
        .map_err(|error| incomplete(error.to_string()))?;
    Ok(Response::from_parts(head, body.to_bytes()))
}
