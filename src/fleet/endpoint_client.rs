//! Calls of endpoints, each on a connection of its own.
//!
//! An endpoint may send bytes that belong to no request, or drop an idle connection; on a fresh
//! connection neither can reach another request (`docs/platform.md`, "Connections").

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::task::AbortOnDropHandle;

use crate::traffic::Execution;
use crate::traffic::error_chain;

/// Maximum time for a connection: endpoints are a few milliseconds away, and one that does not
/// answer the opening packet is dead or cut off.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Largest answer that is taken whole.
const ANSWER_LIMIT_BYTES: usize = 4 * 1024 * 1024;
/// Time without an acknowledgement after which the kernel gives a connection up.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_secs(3);

/// A call that has no answer.
#[derive(Debug)]
pub struct CallFailure {
    /// Whether it may have run.
    pub ran: Execution,
    /// What happened.
    pub message: String,
}

/// The head of an answer, with its body still to come. Dropping it closes the connection,
/// which ends the endpoint's work.
pub struct Answer {
    /// The head and the body.
    pub response: Response<Incoming>,
    connection: AbortOnDropHandle<()>,
}

impl Answer {
    /// Splits the answer; the connection lives as long as the returned guard.
    pub fn into_parts(self) -> (Response<Incoming>, AbortOnDropHandle<()>) {
        (self.response, self.connection)
    }
}

/// An open connection on which nothing was sent yet.
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    task: AbortOnDropHandle<()>,
}

/// Connects to an endpoint. Nothing has run when this fails.
///
/// # Errors
///
/// Returns why there is no connection.
pub async fn connect(address: SocketAddr) -> Result<Connection, CallFailure> {
    let not_sent = |message: String| CallFailure {
        ran: Execution::NotRun,
        message: format!("no connection: {message}"),
    };
    let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(connected) => connected.map_err(|error| not_sent(error.to_string()))?,
        Err(_) => return Err(not_sent("the connect timeout passed".to_owned())),
    };
    stream
        .set_nodelay(true)
        .map_err(|error| not_sent(error.to_string()))?;
    // Without the option a dead endpoint is found by the timeout of the request.
    let _ = rustix::net::sockopt::set_tcp_user_timeout(
        &stream,
        u32::try_from(UNACKNOWLEDGED_LIMIT.as_millis()).unwrap_or(u32::MAX),
    );
    let handshake = http1::Builder::new().handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(|error| not_sent(error.to_string()))?;
    let task = AbortOnDropHandle::new(tokio::spawn(async move {
        // The error also reaches whoever waits for the answer.
        let _ = connection.await;
    }));
    Ok(Connection { sender, task })
}

impl Connection {
    /// Sends the request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// Returns that the request may have run and what happened.
    pub async fn send(mut self, request: Request<Full<Bytes>>) -> Result<Answer, CallFailure> {
        let sent = self.sender.send_request(request).await;
        let response = sent.map_err(|error| CallFailure {
            ran: Execution::MayHaveRun,
            message: format!("the call failed: {}", error_chain(&error)),
        })?;
        Ok(Answer {
            response,
            connection: self.task,
        })
    }
}

/// Reads a whole body.
///
/// # Errors
///
/// Fails when the body breaks off or is too large.
pub async fn read_body(body: Incoming) -> Result<Bytes, CallFailure> {
    let whole = Limited::new(body, ANSWER_LIMIT_BYTES).collect().await;
    let whole = whole.map_err(|error| CallFailure {
        ran: Execution::MayHaveRun,
        message: format!("the answer broke off: {error}"),
    })?;
    Ok(whole.to_bytes())
}
