//! Calls endpoints, each time on a new connection.
//!
//! An endpoint may send bytes that belong to no request, or drop an idle connection; on a new
//! connection neither can affect another request (`docs/platform.md`, "Connections").

use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::client::conn::http1;
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;
use tokio_util::task::AbortOnDropHandle;

use crate::fleet::read_limit::{LimitedStream, ReadLimit, ReadMemory};
use crate::traffic::Execution;
use crate::traffic::error_chain;

/// Timeout for connecting to an endpoint. Endpoints are a few milliseconds away, and one that does
/// not answer the opening packet is dead or cut off.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum size of the head of an answer, with all interim answers before it.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Maximum size of the body of an answer that is read as a whole, on the wire.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;
/// Memory for the answers of all endpoints, as they are on the wire. A reader uses up to twice as
/// much while its buffer grows.
static ANSWER_MEMORY: ReadMemory = ReadMemory::new(32 * 1024 * 1024);
/// Number of bytes that a frame of a body counts for in addition to its own. Each one takes time
/// and memory, however short it is, so that an answer in chunks of one byte would keep a VM busy
/// until the deadline.
const FRAME_COST_BYTES: usize = 64;
/// Size of the kernel's receive buffer for a connection. Without a limit the kernel takes up to tens of
/// megabytes from an endpoint that sends without end; an answer needs the bandwidth of its link
/// times a few milliseconds.
const RECEIVE_BUFFER_BYTES: u32 = 256 * 1024;
/// Timeout for the acknowledgement of sent data, after which the kernel closes a connection
/// (`TCP_USER_TIMEOUT`).
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_secs(3);

/// Why a call has no answer.
#[derive(Debug)]
pub struct CallFailure {
    /// Whether the call may have run at the endpoint.
    pub ran: Execution,
    /// What happened, for the log.
    pub message: String,
}

/// The body of an answer, which is still to be read. Dropping it closes the connection, which ends
/// the endpoint's work.
pub struct AnswerBody {
    body: Incoming,
    limit: ReadLimit,
    is_framed: bool,
    _connection: AbortOnDropHandle<()>,
}

impl AnswerBody {
    /// Returns whether the answer announced its length or comes in chunks. If not, it ends with its
    /// connection, and its end looks the same as that of the endpoint's process.
    pub fn is_framed(&self) -> bool {
        self.is_framed
    }

    /// Allows that many further bytes, after which the answer breaks off. Bytes on the wire count,
    /// and `FRAME_COST_BYTES` for each frame.
    pub fn allow(&self, bytes: usize) {
        self.limit.set(bytes);
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Box<dyn Error + Send + Sync>;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let this = self.get_mut();
        let frame = ready!(Pin::new(&mut this.body).poll_frame(context));
        Poll::Ready(frame.map(|frame| {
            let frame = frame?;
            this.limit.take(FRAME_COST_BYTES)?;
            Ok(frame)
        }))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// An open connection on which nothing was sent yet.
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    task: AbortOnDropHandle<()>,
    limit: ReadLimit,
}

/// Connects to an endpoint. When this fails, nothing was sent and nothing has run.
///
/// # Errors
///
/// Returns why there is no connection.
pub async fn connect(address: SocketAddr) -> Result<Connection, CallFailure> {
    let not_sent = |message: String| CallFailure {
        ran: Execution::NotRun,
        message: format!("no connection: {message}"),
    };
    let stream = match timeout(CONNECT_TIMEOUT, open_stream(address)).await {
        Ok(connected) => connected.map_err(|error| not_sent(error.to_string()))?,
        Err(_) => return Err(not_sent("the connect timeout passed".to_owned())),
    };
    stream
        .set_nodelay(true)
        .map_err(|error| not_sent(error.to_string()))?;
    // An error is ignored: without the option, the timeout of the request detects a dead endpoint.
    let _ = rustix::net::sockopt::set_tcp_user_timeout(
        &stream,
        u32::try_from(ACKNOWLEDGEMENT_TIMEOUT.as_millis()).unwrap_or(u32::MAX),
    );
    let limit = ReadLimit::new(&ANSWER_MEMORY, MAX_HEAD_BYTES);
    let stream = LimitedStream::new(stream, limit.clone());
    let handshake = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .handshake(TokioIo::new(stream))
        .await;
    let (sender, connection) = handshake.map_err(|error| not_sent(error.to_string()))?;
    let task = AbortOnDropHandle::new(tokio::spawn(async move {
        // The task that waits for the answer gets the error too.
        let _ = connection.await;
    }));
    Ok(Connection {
        sender,
        task,
        limit,
    })
}

/// Returns whether the host of an endpoint refuses connections to it, which shows that the endpoint's
/// process has ended. A host that does not answer shows nothing.
pub async fn has_ended(address: SocketAddr) -> bool {
    let connected = timeout(CONNECT_TIMEOUT, open_stream(address)).await;
    matches!(connected, Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused)
}

async fn open_stream(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    // An error is ignored: the limits on what is read hold without the option.
    let _ = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
    socket.connect(address).await
}

impl Connection {
    /// Sends the request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// Returns what happened. The request may have run.
    pub async fn send(
        mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<AnswerBody>, CallFailure> {
        let sent = self.sender.send_request(request).await;
        let response = sent.map_err(|error| CallFailure {
            ran: Execution::MayHaveRun,
            message: format!("the call failed: {}", error_chain(&error)),
        })?;
        self.limit.set(MAX_ANSWER_BYTES);
        let headers = response.headers();
        let is_framed =
            headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
        Ok(response.map(|body| AnswerBody {
            is_framed,
            body,
            limit: self.limit,
            _connection: self.task,
        }))
    }
}

/// Connects to an endpoint, sends the request and waits for the head of its answer.
///
/// # Errors
///
/// Returns what happened, and whether the request may have run.
pub async fn call(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<Response<AnswerBody>, CallFailure> {
    connect(address).await?.send(request).await
}

/// Reads the whole body of an answer.
///
/// # Errors
///
/// Fails when the body breaks off or is larger than `MAX_ANSWER_BYTES`.
pub async fn read_body(body: AnswerBody) -> Result<Bytes, CallFailure> {
    let whole = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
    let whole = whole.map_err(|error| CallFailure {
        ran: Execution::MayHaveRun,
        message: format!("the answer broke off: {}", error_chain(&*error)),
    })?;
    Ok(whole.to_bytes())
}
