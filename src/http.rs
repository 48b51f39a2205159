//! A minimal HTTP client for tools: one fresh connection for each call.
//!
//! Nothing is retried and nothing is pooled, so a call is sent at most once.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use anyhow::Context as _;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;

/// Largest answer that [`fetch`] reads.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// One call.
#[derive(Debug, Clone)]
pub struct Call<'a> {
    /// Where to connect.
    pub address: SocketAddr,
    /// The address to connect from; `None` leaves it to the system.
    pub own_ip: Option<Ipv4Addr>,
    /// The method.
    pub method: Method,
    /// Path and query.
    pub path: &'a str,
    /// Header names and values.
    pub headers: &'a [(&'a str, &'a str)],
    /// The body, empty for none.
    pub body: Bytes,
    /// Longest time until the head of the answer.
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

/// Sends a call and returns the head of the answer with its body still to be read.
///
/// # Errors
///
/// Fails when the connection is refused or breaks, the answer is not HTTP, or its head
/// takes longer than `head_timeout`.
pub async fn send(call: &Call<'_>) -> anyhow::Result<Response<Incoming>> {
    let place = format!("{} {}{}", call.method, call.address, call.path);
    let answer = timeout(call.head_timeout, send_once(call)).await;
    answer
        .with_context(|| format!("{place}: no answer in {:?}", call.head_timeout))?
        .with_context(|| place)
}

async fn send_once(call: &Call<'_>) -> anyhow::Result<Response<Incoming>> {
    let stream = match call.own_ip {
        Some(own_ip) => {
            let socket = TcpSocket::new_v4()?;
            socket.bind((own_ip, 0).into())?;
            socket.connect(call.address).await?
        }
        None => TcpStream::connect(call.address).await?,
    };
    stream.set_nodelay(true)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    let mut request = Request::builder().method(&call.method).uri(call.path);
    if !call.headers.iter().any(|(name, _)| *name == "host") {
        request = request.header("host", call.address.to_string());
    }
    for (name, value) in call.headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(call.body.clone()))?;
    Ok(sender.send_request(request).await?)
}

/// Sends a call and reads its whole answer.
///
/// # Errors
///
/// Fails as [`send`] does, and when the body breaks, is larger than 16 MiB or takes longer
/// than `body_timeout`.
pub async fn fetch(call: &Call<'_>, body_timeout: Duration) -> anyhow::Result<(StatusCode, Bytes)> {
    let response = send(call).await?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect();
    let body = timeout(body_timeout, body).await;
    let body = body
        .with_context(|| format!("{}: body incomplete after {body_timeout:?}", call.path))?
        .map_err(|error| anyhow::anyhow!("{}: {error}", call.path))?;
    Ok((status, body.to_bytes()))
}
