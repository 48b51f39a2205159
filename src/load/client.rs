//! HTTP client with a pool of connections per address, which also reads server-sent events.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio::net::TcpStream;

/// Maximum number of idle connections kept per address.
const MAX_IDLE_PER_ADDRESS: usize = 64;

/// Maximum size of a plain answer and of one event of a stream, in bytes.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Why a call returned no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendFailure {
    /// No connection could be opened or the request could not be built, so nothing was sent.
    NotSent,
    /// The connection broke or the answer was too large, after the request may have been sent.
    MaybeSent,
}

/// Complete answer, read from a plain body or from a stream of events.
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Body of a plain answer, or data of the last event of a stream that is not a token.
    pub body: Bytes,
    /// Name of the last event of a stream, which may be a token; empty for a plain answer.
    pub last_event: String,
    /// Arrival time of each token of a stream.
    pub token_times: Vec<Instant>,
}

type Sender = SendRequest<Full<Bytes>>;

/// HTTP client that reuses idle connections.
#[derive(Default)]
pub struct Client {
    idle: Mutex<HashMap<SocketAddr, Vec<Sender>>>,
}

impl Client {
    /// Sends one request and reads the complete answer.
    ///
    /// # Errors
    ///
    /// Fails when no complete answer arrives; the error tells whether the request may have
    /// been sent.
    pub async fn send(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<Answer, SendFailure> {
        let mut request = Request::builder().method(method).uri(path);
        request = request.header("host", address.to_string());
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(body.into()));
        let request = request.map_err(|_| SendFailure::NotSent)?;
        let mut sender = self.get_connection(address).await?;
        let response = sender.send_request(request).await;
        let answer = read_answer(response.map_err(|_| SendFailure::MaybeSent)?).await?;
        self.put_idle(address, sender);
        Ok(answer)
    }

    /// Returns an idle connection that is still open, or opens one.
    async fn get_connection(&self, address: SocketAddr) -> Result<Sender, SendFailure> {
        while let Some(mut sender) = self.take_idle(address) {
            if sender.ready().await.is_ok() {
                return Ok(sender);
            }
        }
        let stream = TcpStream::connect(address).await;
        let stream = stream.map_err(|_| SendFailure::NotSent)?;
        stream.set_nodelay(true).map_err(|_| SendFailure::NotSent)?;
        let connected = handshake(TokioIo::new(stream)).await;
        let (sender, connection) = connected.map_err(|_| SendFailure::NotSent)?;
        tokio::spawn(async move {
            // The error is ignored here, because the sender of the request returns it too.
            let _ = connection.await;
        });
        Ok(sender)
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Sender> {
        self.idle.lock().get_mut(&address)?.pop()
    }

    fn put_idle(&self, address: SocketAddr, sender: Sender) {
        let mut idle = self.idle.lock();
        let senders = idle.entry(address).or_default();
        if !sender.is_closed() && senders.len() < MAX_IDLE_PER_ADDRESS {
            senders.push(sender);
        }
    }
}

async fn read_answer(response: Response<Incoming>) -> Result<Answer, SendFailure> {
    let content_type = response.headers().get("content-type");
    let is_stream =
        content_type.is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"));
    let mut answer = Answer {
        status: response.status().as_u16(),
        body: Bytes::new(),
        last_event: String::new(),
        token_times: Vec::new(),
    };
    let mut body = response.into_body();
    let mut buffer = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| SendFailure::MaybeSent)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        buffer.extend_from_slice(&data);
        if is_stream {
            parse_events(&mut buffer, &mut answer);
        }
        if buffer.len() > MAX_ANSWER_BYTES {
            return Err(SendFailure::MaybeSent);
        }
    }
    if !is_stream {
        answer.body = buffer.into();
    }
    Ok(answer)
}

/// Removes all complete events from the front of the buffer and adds them to the answer.
fn parse_events(buffer: &mut Vec<u8>, answer: &mut Answer) {
    while let Some(end) = buffer.windows(2).position(|pair| pair == b"\n\n") {
        let event: Vec<u8> = buffer.drain(..end + 2).collect();
        let event = String::from_utf8_lossy(&event);
        let (mut name, mut data) = ("message", String::new());
        for line in event.lines() {
            match line.split_once(':') {
                Some(("event", text)) => name = text.trim(),
                Some(("data", text)) => data.push_str(text.strip_prefix(' ').unwrap_or(text)),
                _ => {}
            }
        }
        if name == "token" {
            answer.token_times.push(Instant::now());
        } else {
            answer.body = data.into();
        }
        name.clone_into(&mut answer.last_event);
    }
}
