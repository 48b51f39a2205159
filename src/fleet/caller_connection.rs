//! Serves one connection of a caller, from its accept to its close.
//!
//! A request that was read is answered or refused; `docs/platform.md`, "Connections of callers" says when
//! a connection is closed.

use std::any::Any;
use std::convert::Infallible;
use std::io;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use slog::{Logger, error, info};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep_until, timeout};
use tokio_util::sync::CancellationToken;

use crate::fleet::metric;
use crate::fleet::model::CallerLimits;
use crate::fleet::reply::{Reply, ReplyBody, text};
use crate::fleet::request_progress::{LossCause, Wait};

/// Time that is added to the configured timeouts. Callers may use all of the time, and a close must not
/// cross a request on its way.
const TIMEOUT_MARGIN: Duration = Duration::from_millis(1_500);
/// Limits while no configuration is known.
pub const DEFAULT_LIMITS: CallerLimits = CallerLimits {
    max_header_bytes: MIN_HEADER_BYTES,
    max_body_bytes: 0,
    header_timeout: Duration::from_secs(10),
    idle_timeout: Duration::from_secs(20),
};
/// Minimum of the limit on the head of a request.
const MIN_HEADER_BYTES: usize = 16 * 1024;
/// Size that is allowed for the request line and line ends in addition to the headers.
const REQUEST_LINE_BYTES: usize = 8 * 1024;
/// Minimum room for the head of a request. It is more than the usual limit, because the limit may be
/// raised while a connection is open, and the HTTP library's buffer is set once.
const MIN_BUFFER_BYTES: usize = 64 * 1024;
/// Maximum number of headers of a request. The configuration limits their bytes only, and the HTTP
/// library's default of 100 refuses requests that it allows.
const MAX_HEADERS: usize = 256;
/// Time for which a connection without a request stays open during a planned stop. Its caller has
/// connected because it has a request to send.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time without a byte after which a connection ends whose write side was closed. A close with unread
/// bytes resets the connection, and a reset discards the answer that the caller has not read yet.
const LINGER_PAUSE: Duration = Duration::from_millis(1_000);
/// Maximum time for which bytes are still read after the write side was closed.
const LINGER_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of bytes that are still read after the write side was closed.
const MAX_LINGER_BYTES: u64 = 4 * 1024 * 1024;
/// Answer to a head that did not come to its end in time.
const HEAD_TIMEOUT_ANSWER: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/// What the connections of a listener depend on.
#[derive(Clone)]
pub struct ConnectionContext<L> {
    /// Logger that receives failures.
    pub logger: Logger,
    /// Returns the limits in force. They may change while a connection is open.
    pub limits: L,
    /// Becomes true when a planned stop begins.
    pub stopping: watch::Receiver<bool>,
    /// Once it is cancelled, connections close as soon as no request is in progress.
    pub closing: CancellationToken,
    /// Once it is cancelled, connections end with their requests in progress.
    pub cut_off: CancellationToken,
}

/// What is under way on a connection.
#[derive(Debug, Default)]
struct Activity {
    state: Mutex<ActivityState>,
    /// Notified when a request ends and when the head of one begins.
    changed: Notify,
}

#[derive(Debug, Default)]
struct ActivityState {
    /// Whether a request was read whose answer is not handed over to be written.
    is_serving: bool,
    /// Whether an answer waits until the caller reads.
    is_write_blocked: bool,
    /// Whether the connection had a request.
    has_served: bool,
    /// Time at which the first bytes of the next request were read.
    head_began_at: Option<Instant>,
    /// Time of the last byte of an answer.
    last_written_at: Option<Instant>,
}

impl Activity {
    fn begin_request(self: &Arc<Self>) -> RequestInProgress {
        let mut state = self.state.lock();
        state.is_serving = true;
        state.has_served = true;
        state.head_began_at = None;
        RequestInProgress(Arc::clone(self))
    }

    fn note_read(&self, bytes: &[u8]) {
        let mut state = self.state.lock();
        if !state.is_serving && state.head_began_at.is_none() && is_head(bytes) {
            state.head_began_at = Some(Instant::now());
            self.changed.notify_one();
        }
    }

    fn note_write(&self, is_blocked: bool) {
        let mut state = self.state.lock();
        let was_blocked = std::mem::replace(&mut state.is_write_blocked, is_blocked);
        if !is_blocked {
            state.last_written_at = Some(Instant::now());
        }
        if was_blocked && !is_blocked {
            self.changed.notify_one();
        }
    }

    /// Returns for how long no byte of an answer was written.
    fn idle_time(&self, opened_at: Instant) -> Duration {
        let last_written_at = self.state.lock().last_written_at;
        last_written_at.unwrap_or(opened_at).elapsed()
    }

    /// Returns the time at which the connection is to be closed; `None` while a request is in progress.
    fn close_at(
        &self,
        limits: CallerLimits,
        opened_at: Instant,
        closing_at: Option<Instant>,
    ) -> Option<Instant> {
        let state = self.state.lock();
        if state.is_serving || state.is_write_blocked {
            return None;
        }
        if let Some(began_at) = state.head_began_at {
            return Some(began_at + limits.header_timeout + TIMEOUT_MARGIN);
        }
        let idle_since = state.last_written_at.unwrap_or(opened_at);
        Some(match closing_at {
            Some(at) if state.has_served => at,
            Some(at) => at + FIRST_REQUEST_TIMEOUT,
            None => idle_since + limits.idle_timeout + TIMEOUT_MARGIN,
        })
    }
}

/// Returns whether bytes belong to the head of a request. Some callers send a line end after a body.
fn is_head(bytes: &[u8]) -> bool {
    bytes.iter().any(|byte| !matches!(byte, b'\r' | b'\n'))
}

/// Marks a request as in progress until it is dropped.
struct RequestInProgress(Arc<Activity>);

impl Drop for RequestInProgress {
    fn drop(&mut self) {
        let mut state = self.0.state.lock();
        state.is_serving = false;
        state.last_written_at = Some(Instant::now());
        self.0.changed.notify_one();
    }
}

/// A stream that records what is read and written.
struct WatchedStream {
    stream: TcpStream,
    activity: Arc<Activity>,
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let filled_before = buffer.filled().len();
        ready!(Pin::new(&mut this.stream).poll_read(context, buffer))?;
        this.activity.note_read(&buffer.filled()[filled_before..]);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = Pin::new(&mut this.stream).poll_write(context, bytes);
        this.activity.note_write(written.is_pending());
        written
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = Pin::new(&mut this.stream).poll_write_vectored(context, buffers);
        this.activity.note_write(written.is_pending());
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

/// Body of an answer, whose request is in progress until the body is dropped.
struct WatchedBody {
    body: ReplyBody,
    logger: Logger,
    _request: RequestInProgress,
}

impl Body for WatchedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let this = self.get_mut();
        let body = Pin::new(&mut this.body);
        catch_unwind(AssertUnwindSafe(|| body.poll_frame(context))).unwrap_or_else(|panic| {
            report_panic(&this.logger, panic.as_ref());
            // An error breaks the answer off, so that it does not look complete.
            Poll::Ready(Some(Err(io::Error::other("the body failed"))))
        })
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

fn report_panic(logger: &Logger, panic: &(dyn Any + Send)) {
    let message = panic
        .downcast_ref::<String>()
        .map(String::as_str)
        .or_else(|| panic.downcast_ref::<&str>().copied());
    error!(logger, "request: its handler failed"; "error" => message);
    metric::task_failed("request");
}

/// Returns the approximate size of the head of a request.
fn head_bytes(request: &Request<Incoming>) -> usize {
    let target = request
        .uri()
        .path_and_query()
        .map_or(0, |target| target.as_str().len());
    let headers = request.headers().iter();
    let headers = headers.map(|(name, value)| name.as_str().len() + value.len() + 4);
    request.method().as_str().len() + target + headers.sum::<usize>()
}

/// Returns the largest head of a request that is served.
fn max_head_bytes(limits: CallerLimits) -> usize {
    (limits.max_header_bytes + REQUEST_LINE_BYTES).max(MIN_HEADER_BYTES)
}

/// Handles one request. A handler that panics still leaves its caller with an answer, which promises
/// nothing, because the request may have run.
async fn answer<F: Future<Output = Reply>>(
    logger: &Logger,
    limits: CallerLimits,
    request: Request<Incoming>,
    handle: impl Fn(Request<Incoming>) -> F,
) -> Reply {
    let mut reply = if head_bytes(&request) > max_head_bytes(limits) {
        let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
        text(status, "the head of the request is too large")
    } else {
        let handled = AssertUnwindSafe(async { handle(request).await }).catch_unwind();
        match handled.await {
            Ok(reply) => return reply,
            Err(panic) => {
                report_panic(logger, panic.as_ref());
                text(StatusCode::INTERNAL_SERVER_ERROR, "the request failed")
            }
        }
    };
    // The body may not have been read.
    let close = HeaderValue::from_static("close");
    reply.headers_mut().insert(CONNECTION, close);
    reply
}

/// Serves the requests of one connection until it closes. When the caller closes the connection, its
/// request is cancelled.
pub async fn serve_connection<F: Future<Output = Reply>>(
    stream: TcpStream,
    context: ConnectionContext<impl Fn() -> CallerLimits>,
    handle: impl Fn(Request<Incoming>) -> F,
) {
    // Small answers must not wait for the acknowledgement of earlier ones. An error is ignored,
    // since answers are only slower without the option.
    let _ = stream.set_nodelay(true);
    let (context, handle) = (&context, &handle);
    let activity = Arc::new(Activity::default());
    let service = service_fn(|request| {
        let in_progress = activity.begin_request();
        async move {
            let limits = (context.limits)();
            let mut reply = answer(&context.logger, limits, request, handle).await;
            if *context.stopping.borrow() {
                // The caller should send its next request to another VM.
                let close = HeaderValue::from_static("close");
                reply.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(reply.map(|body| WatchedBody {
                body,
                logger: context.logger.clone(),
                _request: in_progress,
            }))
        }
    });
    let watched = WatchedStream {
        stream,
        activity: Arc::clone(&activity),
    };
    let buffer_bytes = max_head_bytes((context.limits)()).max(MIN_BUFFER_BYTES);
    let mut connection = http1::Builder::new()
        // The timeouts are kept here, by the limits in force.
        .header_read_timeout(None)
        .max_buf_size(buffer_bytes)
        .max_headers(MAX_HEADERS)
        .serve_connection(TokioIo::new(watched), service);
    let opened_at = Instant::now();
    let mut closing_at = None;
    let is_timed_out = loop {
        let close_at = activity.close_at((context.limits)(), opened_at, closing_at);
        tokio::select! {
            biased;
            _ = &mut connection => break false,
            () = context.cut_off.cancelled() => return,
            () = activity.changed.notified() => {}
            () = context.closing.cancelled(), if closing_at.is_none() => {
                closing_at = Some(Instant::now());
            }
            () = sleep_until(close_at.unwrap_or(opened_at)), if close_at.is_some() => {
                // A request may have come since the runtime last polled the sockets.
                tokio::task::yield_now().await;
                if (&mut connection).now_or_never().is_some() {
                    break false;
                }
                let close_at = activity.close_at((context.limits)(), opened_at, closing_at);
                if close_at.is_some_and(|at| at <= Instant::now()) {
                    break true;
                }
            }
        }
    };
    let parts = connection.into_parts();
    let mut stream = parts.io.into_inner().stream;
    if !is_timed_out {
        close(stream).await;
        return;
    }
    let caller = stream.peer_addr().map(|address| address.to_string()).ok();
    let reason = match (is_head(&parts.read_buf), closing_at) {
        (true, _) => "head",
        (false, Some(_)) => "stop",
        (false, None) => "idle",
    };
    metric::connection_closed(reason);
    let (logger, idle) = (&context.logger, activity.idle_time(opened_at));
    info!(logger, "connection: closed by this VM"; "caller" => &caller, "reason" => reason,
        "idle_ms" => idle.as_millis() as u64);
    if reason == "head" {
        // If the write fails, the caller has closed the connection.
        let _ = stream.write_all(HEAD_TIMEOUT_ANSWER).await;
    }
    let discarded_bytes = close(stream).await;
    if reason != "head" && discarded_bytes > 0 {
        metric::request_unanswered(LossCause::OwnClose, Wait::Body);
        info!(logger, "request: its connection was closed while it was on its way"; "caller" => &caller,
            "cause" => %LossCause::OwnClose, "waiting_for" => %Wait::Body, "bytes" => discarded_bytes);
    }
}

/// Closes a connection in such a way that the caller can read the last answer, also one that still sends
/// the body of a refused request. Returns the number of bytes that came meanwhile.
async fn close(mut stream: TcpStream) -> u64 {
    // The connection ends whether or not the caller is still there.
    let _ = stream.shutdown().await;
    let mut rest = stream.take(MAX_LINGER_BYTES);
    let discard = async {
        let mut buffer = vec![0; 4_096];
        while let Ok(Ok(1..)) = timeout(LINGER_PAUSE, rest.read(&mut buffer)).await {}
    };
    let _ = timeout(LINGER_TIMEOUT, discard).await;
    MAX_LINGER_BYTES - rest.limit()
}
