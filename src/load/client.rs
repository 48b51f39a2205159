//! HTTP client with kept connections by address, and server-sent events.

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

/// Idle connections kept for each address.
const IDLE_PER_ADDRESS: usize = 64;

/// Largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Why no answer came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lost {
    /// The connection was refused, so nothing was sent.
    BeforeSending,
    /// The connection ended after the request may have been sent.
    AfterSending,
}

/// An answer, whole or streamed.
pub struct Answer {
    /// Status code.
    pub status: u16,
    /// The body, or the data of the last event of a stream.
    pub body: Bytes,
    /// Name of the last event of a stream; empty for a plain answer.
    pub last_event: String,
    /// When each token of a stream came.
    pub token_times: Vec<Instant>,
}

type Sender = SendRequest<Full<Bytes>>;

/// Keeps connections.
#[derive(Default)]
pub struct Client {
    idle: Mutex<HashMap<SocketAddr, Vec<Sender>>>,
}

impl Client {
    /// Sends one request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Says whether anything may have been sent.
    pub async fn send(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<Answer, Lost> {
        let mut request = Request::builder().method(method).uri(path);
        request = request.header("host", address.to_string());
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(body.into()));
        let request = request.map_err(|_| Lost::BeforeSending)?;
        let mut sender = self.connection(address).await?;
        let response = sender.send_request(request).await;
        let answer = read_answer(response.map_err(|_| Lost::AfterSending)?).await?;
        self.keep(address, sender);
        Ok(answer)
    }

    async fn connection(&self, address: SocketAddr) -> Result<Sender, Lost> {
        while let Some(mut sender) = self.take_idle(address) {
            if sender.ready().await.is_ok() {
                return Ok(sender);
            }
        }
        let stream = TcpStream::connect(address).await;
        let stream = stream.map_err(|_| Lost::BeforeSending)?;
        stream.set_nodelay(true).map_err(|_| Lost::BeforeSending)?;
        let connected = handshake(TokioIo::new(stream)).await;
        let (sender, connection) = connected.map_err(|_| Lost::BeforeSending)?;
        tokio::spawn(async move {
            // The sender sees the same error.
            let _ = connection.await;
        });
        Ok(sender)
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Sender> {
        self.idle.lock().get_mut(&address)?.pop()
    }

    fn keep(&self, address: SocketAddr, sender: Sender) {
        let mut idle = self.idle.lock();
        let senders = idle.entry(address).or_default();
        if !sender.is_closed() && senders.len() < IDLE_PER_ADDRESS {
            senders.push(sender);
        }
    }
}

async fn read_answer(response: Response<Incoming>) -> Result<Answer, Lost> {
    let kind = response.headers().get("content-type");
    let is_stream = kind.is_some_and(|kind| kind.as_bytes().starts_with(b"text/event-stream"));
    let mut answer = Answer {
        status: response.status().as_u16(),
        body: Bytes::new(),
        last_event: String::new(),
        token_times: Vec::new(),
    };
    let mut body = response.into_body();
    let mut buffer = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Lost::AfterSending)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        buffer.extend_from_slice(&data);
        if is_stream {
            take_events(&mut buffer, &mut answer);
        }
        if buffer.len() > MAX_ANSWER_BYTES {
            return Err(Lost::AfterSending);
        }
    }
    if !is_stream {
        answer.body = buffer.into();
    }
    Ok(answer)
}

/// Takes all complete events off the front of the buffer.
fn take_events(buffer: &mut Vec<u8>, answer: &mut Answer) {
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
