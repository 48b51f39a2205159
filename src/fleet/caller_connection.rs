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
use std::sync::atomic::Ordering;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::{CONNECTION, HeaderName, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Request, StatusCode, Version};
use hyper_util::rt::TokioIo;
use slog::{Logger, error, info};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until, timeout};
use tokio_util::sync::CancellationToken;

use crate::decisions::caller_memory::Phase;
use crate::fleet::caller_memory::{CallerAccount, Held};
use crate::fleet::connection_activity::{Activity, RequestInProgress, WatchedStream, is_head};
use crate::fleet::metric;
use crate::fleet::model::CallerLimits;
use crate::fleet::reply::{Reply, ReplyBody, text};
use crate::fleet::request_progress::{LossCause, Wait};

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
/// Time without a byte after which a connection ends whose write side was closed. A close with unread
/// bytes resets the connection, and a reset discards the answer that the caller has not read yet.
const LINGER_PAUSE: Duration = Duration::from_millis(1_000);
/// Maximum time for which bytes are still read after the write side was closed.
const LINGER_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of bytes that are still read after the write side was closed.
const MAX_LINGER_BYTES: u64 = 4 * 1024 * 1024;
/// Header that tells the caller for how long its connection stays open without a request.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// Size of the buffer for bytes that come after the write side was closed.
const LINGER_BUFFER_BYTES: usize = 4_096;
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
    /// Account of the connection.
    pub account: CallerAccount,
}

/// Minimum size of a whole answer that is charged. Smaller ones, such as refusals, are a part of what the
/// connection costs by itself.
const MIN_CHARGED_ANSWER_BYTES: usize = 4 * 1024;

/// Body of an answer, whose request is in progress until the body is dropped. What is held of it is charged
/// until it is written.
struct WatchedBody {
    body: ReplyBody,
    held: Held,
    /// Whether the size of the answer is not known, so that its parts are charged as they come.
    has_parts: bool,
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
        let polled = catch_unwind(AssertUnwindSafe(|| body.poll_frame(context)));
        let polled = polled.unwrap_or_else(|panic| {
            report_panic(&this.logger, panic.as_ref());
            // An error breaks the answer off, so that it does not look complete.
            Poll::Ready(Some(Err(io::Error::other("the body failed"))))
        });
        polled.map(|frame| frame.map(|frame| this.charge(frame?)))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl WatchedBody {
    /// Passes the charge of a part on to it. A part that does not fit breaks the answer off.
    fn charge(&mut self, frame: Frame<Bytes>) -> io::Result<Frame<Bytes>> {
        let data = match frame.into_data() {
            Ok(data) => data,
            Err(trailers) => return Ok(trailers),
        };
        if self.has_parts {
            self.held.grow(data.len()).map_err(io::Error::other)?;
        }
        Ok(Frame::data(self.held.attach(data)))
    }
}

/// Charges a whole answer. One that does not fit is lost, and its request may have run.
fn charge_answer(account: &CallerAccount, reply: Reply) -> (Reply, Held, bool) {
    let mut held = account.hold(Phase::Unread);
    let Some(bytes) = reply.body().size_hint().exact() else {
        return (reply, held, true);
    };
    let bytes = usize::try_from(bytes).unwrap_or(usize::MAX / 4);
    if bytes < MIN_CHARGED_ANSWER_BYTES || held.grow(bytes).is_ok() {
        return (reply, held, false);
    }
    let lost = text(StatusCode::BAD_GATEWAY, "no memory for the answer");
    (lost, held, false)
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

/// Returns whether the connection of a request stays open after its answer, unless the answer announces the
/// close.
fn keeps_connection(request: &Request<Incoming>) -> bool {
    match request.version() {
        Version::HTTP_10 => has_connection_option(request.headers(), "keep-alive"),
        _ => !has_connection_option(request.headers(), "close"),
    }
}

fn has_connection_option(headers: &HeaderMap, option: &str) -> bool {
    let values = headers.get_all(CONNECTION).into_iter();
    values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|found| found.trim().eq_ignore_ascii_case(option))
}

/// Adds the idle time to an answer, in whole seconds. Returns the time that the caller may rely on.
fn announce_idle_time(reply: &mut Reply, idle_timeout: Duration) -> Duration {
    let seconds = idle_timeout.as_secs();
    let Ok(value) = HeaderValue::from_str(&format!("timeout={seconds}")) else {
        return Duration::ZERO;
    };
    reply.headers_mut().insert(KEEP_ALIVE, value);
    Duration::from_secs(seconds)
}

/// Returns whether the kernel holds bytes that were not read. The runtime learns of them later.
fn has_unread_bytes(stream: &TcpStream) -> bool {
    let mut buffer = [std::mem::MaybeUninit::uninit()];
    SockRef::from(stream)
        .peek(&mut buffer)
        .is_ok_and(|bytes| bytes > 0)
}

/// Why this VM ends a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// The last answer was written, or the caller has left.
    Served,
    /// No request came in time.
    TimedOut,
    /// The time of a planned stop is over.
    CutOff,
    /// The connections of the listener hold too much.
    GaveWay,
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
    let activity = Arc::new(Activity::new(context.account.clone()));
    let respond = |mut request: Request<Incoming>| {
        request.extensions_mut().insert(context.account.clone());
        let in_progress = activity.begin_request();
        let activity = &activity;
        async move {
            let limits = (context.limits)();
            let keeps_connection = keeps_connection(&request);
            let reply = answer(&context.logger, limits, request, handle).await;
            let (mut reply, held, has_parts) = charge_answer(&context.account, reply);
            reply.headers_mut().remove(KEEP_ALIVE);
            if *context.stopping.borrow() {
                // The caller should send its next request to another VM.
                let close = HeaderValue::from_static("close");
                reply.headers_mut().insert(CONNECTION, close);
            }
            if keeps_connection && !has_connection_option(reply.headers(), "close") {
                let idle_timeout = (context.limits)().idle_timeout;
                activity.note_announcement(announce_idle_time(&mut reply, idle_timeout));
            }
            Ok::<_, Infallible>(reply.map(|body| WatchedBody {
                body,
                held,
                has_parts,
                logger: context.logger.clone(),
                _request: in_progress,
            }))
        }
    };
    let mut watched = WatchedStream {
        stream,
        activity: Arc::clone(&activity),
    };
    let buffer_bytes = max_head_bytes((context.limits)()).max(MIN_BUFFER_BYTES);
    let opened_at = Instant::now();
    let mut closing_at = None;
    let (stream, end, has_head) = loop {
        let mut connection = http1::Builder::new()
            // The timeouts are kept here, by the limits in force.
            .header_read_timeout(None)
            .max_buf_size(buffer_bytes)
            .max_headers(MAX_HEADERS)
            .serve_connection(TokioIo::new(watched), service_fn(respond));
        let end = loop {
            let close_at = activity.close_at((context.limits)(), opened_at, closing_at);
            tokio::select! {
                biased;
                _ = &mut connection => break End::Served,
                () = context.cut_off.cancelled() => break End::CutOff,
                () = activity.changed.notified() => {
                    if activity.has_refused_head.load(Ordering::Relaxed) {
                        break End::GaveWay;
                    }
                }
                () = context.account.connection_gives_way() => {
                    // A request may have come since the decision.
                    if activity.is_write_blocked() || !activity.is_serving() {
                        break End::GaveWay;
                    }
                }
                () = context.closing.cancelled(), if closing_at.is_none() => {
                    closing_at = Some(Instant::now());
                }
                () = sleep_until(close_at.unwrap_or(opened_at)), if close_at.is_some() => {
                    // A request may have come since the runtime last polled the sockets.
                    tokio::task::yield_now().await;
                    if (&mut connection).now_or_never().is_some() {
                        break End::Served;
                    }
                    let close_at = activity.close_at((context.limits)(), opened_at, closing_at);
                    if close_at.is_some_and(|at| at <= Instant::now()) {
                        break End::TimedOut;
                    }
                }
            }
        };
        if end == End::CutOff && !activity.has_partial_head() {
            return;
        }
        if end == End::GaveWay {
            metric::connection_closed("bound");
            if activity.is_write_blocked() {
                return;
            }
        }
        let parts = connection.into_parts();
        watched = parts.io.into_inner();
        let has_refused_head = activity.has_refused_head.load(Ordering::Relaxed);
        let has_head = has_refused_head || is_head(&parts.read_buf);
        if end != End::TimedOut || has_head || !has_unread_bytes(&watched.stream) {
            break (watched.stream, end, has_head);
        }
        // Bytes that came after the last poll of the sockets are served like any others.
    };
    context.account.enter(Phase::Closing);
    let closing = async {
        match end {
            End::Served => close(stream).await,
            // The account logs this, at most once a second.
            End::GaveWay if has_head => refuse_head(stream).await,
            End::GaveWay => close_unread(context, stream).await,
            End::TimedOut if !has_head => {
                let reason = if closing_at.is_some() { "stop" } else { "idle" };
                log_close(context, &stream, reason, activity.idle_time(opened_at));
                close_unread(context, stream).await;
            }
            End::TimedOut | End::CutOff => {
                log_close(context, &stream, "head", activity.idle_time(opened_at));
                refuse_head(stream).await;
            }
        }
    };
    tokio::select! {
        () = closing => {}
        () = context.account.connection_gives_way() => {}
    }
}

fn log_close<L>(
    context: &ConnectionContext<L>,
    stream: &TcpStream,
    reason: &'static str,
    idle_time: Duration,
) {
    metric::connection_closed(reason);
    info!(context.logger, "connection: closed by this VM"; "caller" => caller_name(stream),
        "reason" => reason, "idle_ms" => idle_time.as_millis() as u64);
}

fn caller_name(stream: &TcpStream) -> Option<String> {
    let address = stream.peer_addr().ok()?;
    Some(address.to_string())
}

/// Refuses a request whose head did not come to its end in time, and closes its connection.
async fn refuse_head(mut stream: TcpStream) {
    // If the write fails, the caller has closed the connection.
    let _ = stream.write_all(HEAD_TIMEOUT_ANSWER).await;
    close(stream).await;
}

/// Closes a connection without a request. A request that crosses the close is left unread, so that the
/// connection is reset: its caller may send it again only if this VM has not read it
/// (`docs/platform.md`, "Connections of callers").
async fn close_unread<L>(context: &ConnectionContext<L>, mut stream: TcpStream) {
    let caller = caller_name(&stream);
    // The connection ends whether or not the caller is still there.
    let _ = stream.shutdown().await;
    let mut buffer = vec![0; LINGER_BUFFER_BYTES];
    let until = Instant::now() + LINGER_TIMEOUT;
    while Instant::now() < until
        && let Ok(Ok(bytes @ 1..)) = timeout(LINGER_PAUSE, stream.peek(&mut buffer)).await
    {
        if is_head(&buffer[..bytes]) {
            metric::request_unanswered(LossCause::OwnClose, Wait::Body);
            info!(context.logger, "request: its connection was closed while it was on its way";
                "caller" => &caller, "cause" => %LossCause::OwnClose, "waiting_for" => %Wait::Body, "bytes" => bytes);
            return;
        }
        // Line ends after a body belong to no request.
        if stream.read_exact(&mut buffer[..bytes]).await.is_err() {
            return;
        }
    }
}

/// Closes a connection in such a way that the caller can read the last answer, also one that still sends
/// the body of a refused request.
async fn close(mut stream: TcpStream) {
    // The connection ends whether or not the caller is still there.
    let _ = stream.shutdown().await;
    let mut rest = stream.take(MAX_LINGER_BYTES);
    let discard = async {
        let mut buffer = vec![0; LINGER_BUFFER_BYTES];
        while let Ok(Ok(1..)) = timeout(LINGER_PAUSE, rest.read(&mut buffer)).await {}
    };
    let _ = timeout(LINGER_TIMEOUT, discard).await;
}
