//! HTTP client for GET requests over one keep-alive connection, with limits on time and size.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, LengthLimitError, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::header::HOST;
use hyper::{HeaderMap, Request, StatusCode};
use hyper_util::rt::TokioIo;
use metrics::counter;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Says why a read returned no reply.
#[derive(Debug, Error)]
pub enum ReadError {
    /// The connection could not be made, or it broke.
    #[error("the connection failed: {0}")]
    Connection(String),
    /// No complete reply arrived within the time limit.
    #[error("no reply within {0:?}")]
    Timeout(Duration),
    /// The body is larger than the limit in bytes.
    #[error("the reply is larger than {0} bytes")]
    TooLarge(usize),
}

/// A complete HTTP reply of any status.
#[derive(Debug)]
pub struct Reply {
    /// Status code of the reply.
    pub status: StatusCode,
    /// Headers of the reply.
    pub headers: HeaderMap,
    /// Complete body of the reply.
    pub body: Bytes,
}

/// Sends GET requests to one address over a connection that is reused until an error.
pub struct HttpReader {
    address: SocketAddr,
    kind: &'static str,
    size_limit_bytes: usize,
    sender: Option<SendRequest<Empty<Bytes>>>,
}

impl HttpReader {
    /// Creates a reader that connects at its first read. `kind` is its label in the metrics.
    pub fn new(address: SocketAddr, kind: &'static str, size_limit_bytes: usize) -> Self {
        Self {
            address,
            kind,
            size_limit_bytes,
            sender: None,
        }
    }

    /// Reads `path` within `time_limit`. After any error the connection is closed, and the next
    /// read makes a new one.
    ///
    /// # Errors
    ///
    /// Returns why there is no complete reply.
    pub async fn get(&mut self, path: &str, time_limit: Duration) -> Result<Reply, ReadError> {
        self.count("sent", path.len());
        let sender = self.sender.take();
        let read = timeout(time_limit, self.read(sender, path)).await;
        let (sender, reply) = read.map_err(|_| ReadError::Timeout(time_limit))??;
        self.sender = Some(sender);
        self.count("received", reply.body.len());
        Ok(reply)
    }

    fn count(&self, direction: &'static str, bytes: usize) {
        let labels = [("kind", self.kind), ("direction", direction)];
        counter!("primrosewalk_control_messages_total", &labels).increment(1);
        counter!("primrosewalk_control_bytes_total", &labels).increment(bytes as u64);
    }

    async fn read(
        &self,
        sender: Option<SendRequest<Empty<Bytes>>>,
        path: &str,
    ) -> Result<(SendRequest<Empty<Bytes>>, Reply), ReadError> {
        let mut sender = match sender.filter(|sender| !sender.is_closed()) {
            Some(sender) => sender,
            None => self.connect().await?,
        };
        let connection_error = |error: hyper::Error| ReadError::Connection(error.to_string());
        sender.ready().await.map_err(connection_error)?;
        let request = Request::get(path)
            .header(HOST, self.address.to_string())
            .body(Empty::new())
            .map_err(|error| ReadError::Connection(error.to_string()))?;
        let (head, body) = sender
            .send_request(request)
            .await
            .map_err(connection_error)?
            .into_parts();
        let body = Limited::new(body, self.size_limit_bytes).collect().await;
        let body = body.map_err(|error| {
            if error.is::<LengthLimitError>() {
                ReadError::TooLarge(self.size_limit_bytes)
            } else {
                ReadError::Connection(error.to_string())
            }
        })?;
        let reply = Reply {
            status: head.status,
            headers: head.headers,
            body: body.to_bytes(),
        };
        Ok((sender, reply))
    }

    async fn connect(&self) -> Result<SendRequest<Empty<Bytes>>, ReadError> {
        let connect_error = |error: std::io::Error| ReadError::Connection(error.to_string());
        let stream = TcpStream::connect(self.address)
            .await
            .map_err(connect_error)?;
        let _ = stream.set_nodelay(true);
        let handshake_result = handshake(TokioIo::new(stream)).await;
        let (sender, connection) =
            handshake_result.map_err(|error| ReadError::Connection(error.to_string()))?;
        tokio::task::spawn_local(async move {
            // The sender returns the errors of the connection to the reader.
            let _ = connection.await;
        });
        Ok(sender)
    }
}
