//! Watches what is under way on a connection of a caller, and decides when the connection is to be closed.
//!
//! `docs/platform.md`, "Connections of callers" gives the rules.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::decisions::caller_memory::Phase;
use crate::fleet::caller_memory::{CallerAccount, Held};
use crate::fleet::model::CallerLimits;

/// Time that is added to the configured timeouts. Callers may use all of the time, and a close must not
/// cross a request on its way.
const TIMEOUT_MARGIN: Duration = Duration::from_millis(1_500);
/// Time for which a connection without a request stays open during a planned stop. Its caller has
/// connected because it has a request to send.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time for which a connection stays open during a planned stop after an answer that did not announce the
/// close. Its caller sends the next request as soon as it has read the answer.
const NEXT_REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// What is held for each byte of a head: the buffer grows by doubling.
const HEAD_COST: usize = 2;
/// Maximum number of bytes of one read while memory is scarce. The buffer of the HTTP library grows when it is
/// filled by a read.
const SCARCE_READ_BYTES: usize = 4 * 1024;

/// What is under way on a connection.
pub struct Activity {
    account: CallerAccount,
    /// Charge for the head of the current request, or of the next one.
    head: Mutex<Held>,
    state: Mutex<ActivityState>,
    /// Whether the head of a request does not fit in the memory.
    pub has_refused_head: AtomicBool,
    /// Notified when a request ends and when the head of one begins or is refused.
    pub changed: Notify,
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
    /// Idle time that the last answer announced.
    announced_idle_time: Duration,
}

impl Activity {
    /// Creates the state of a new connection, with its account.
    pub fn new(account: CallerAccount) -> Self {
        Self {
            head: Mutex::new(account.hold(Phase::Head)),
            account,
            state: Mutex::default(),
            has_refused_head: AtomicBool::new(false),
            changed: Notify::new(),
        }
    }

    /// Returns whether an answer waits until the caller reads.
    pub fn is_write_blocked(&self) -> bool {
        self.state.lock().is_write_blocked
    }

    /// Returns whether a request was read whose answer is not handed over to be written.
    pub fn is_serving(&self) -> bool {
        self.state.lock().is_serving
    }

    /// Marks a request as in progress until the result is dropped.
    pub fn begin_request(self: &Arc<Self>) -> RequestInProgress {
        let mut state = self.state.lock();
        state.is_serving = true;
        state.has_served = true;
        state.head_began_at = None;
        // A request behind an answer that is not read waits for the caller too.
        if !state.is_write_blocked {
            self.account.enter(Phase::Serving);
        }
        RequestInProgress(Arc::clone(self))
    }

    /// Records what was read. Returns whether there is room for it.
    fn note_read(&self, bytes: &[u8]) -> bool {
        let mut state = self.state.lock();
        if state.is_serving {
            return true;
        }
        if state.head_began_at.is_none() && is_head(bytes) {
            state.head_began_at = Some(Instant::now());
            self.account.enter(Phase::Head);
            self.changed.notify_one();
        }
        // The end of a connection is read as no bytes.
        bytes.is_empty() || self.head.lock().grow(bytes.len() * HEAD_COST).is_ok()
    }

    /// Remembers the idle time that an answer announces.
    pub fn note_announcement(&self, idle_time: Duration) {
        self.state.lock().announced_idle_time = idle_time;
    }

    /// Returns whether only a part of a request's head was read.
    pub fn has_partial_head(&self) -> bool {
        let state = self.state.lock();
        !state.is_serving && state.head_began_at.is_some()
    }

    fn note_write(&self, is_blocked: bool) {
        let mut state = self.state.lock();
        let was_blocked = std::mem::replace(&mut state.is_write_blocked, is_blocked);
        if !is_blocked {
            state.last_written_at = Some(Instant::now());
        }
        if is_blocked && !was_blocked {
            self.account.enter(Phase::Unread);
        }
        if was_blocked && !is_blocked {
            self.changed.notify_one();
        }
    }

    /// Records that everything was written. A caller that reads, but slowly, still holds up its answer.
    fn note_flushed(&self) {
        if !self.account.is_limited() {
            return;
        }
        let state = self.state.lock();
        self.account.leave_unread(match state.is_serving {
            true => Phase::Serving,
            false => Phase::Idle,
        });
    }

    /// Returns for how long no byte of an answer was written.
    pub fn idle_time(&self, opened_at: Instant) -> Duration {
        let last_written_at = self.state.lock().last_written_at;
        last_written_at.unwrap_or(opened_at).elapsed()
    }

    /// Returns the time at which the connection is to be closed; `None` while a request is in progress.
    pub fn close_at(
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
            Some(at) if state.has_served => at.max(idle_since + NEXT_REQUEST_TIMEOUT),
            Some(at) => at + FIRST_REQUEST_TIMEOUT,
            None => {
                let idle_time = limits.idle_timeout.max(state.announced_idle_time);
                idle_since + idle_time + TIMEOUT_MARGIN
            }
        })
    }
}

/// Returns whether bytes belong to the head of a request. Some callers send a line end after a body.
pub fn is_head(bytes: &[u8]) -> bool {
    bytes.iter().any(|byte| !matches!(byte, b'\r' | b'\n'))
}

/// Marks a request as in progress until it is dropped.
pub struct RequestInProgress(Arc<Activity>);

impl Drop for RequestInProgress {
    fn drop(&mut self) {
        let mut state = self.0.state.lock();
        state.is_serving = false;
        state.last_written_at = Some(Instant::now());
        self.0.head.lock().release();
        self.0.account.enter(Phase::Idle);
        self.0.changed.notify_one();
    }
}

/// A stream that records what is read and written.
pub struct WatchedStream {
    pub stream: TcpStream,
    pub activity: Arc<Activity>,
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let filled_before = buffer.filled().len();
        if this.activity.account.is_scarce() && buffer.remaining() > SCARCE_READ_BYTES {
            let mut part = ReadBuf::new(buffer.initialize_unfilled_to(SCARCE_READ_BYTES));
            ready!(Pin::new(&mut this.stream).poll_read(context, &mut part))?;
            let bytes = part.filled().len();
            buffer.advance(bytes);
        } else {
            ready!(Pin::new(&mut this.stream).poll_read(context, buffer))?;
        }
        if this.activity.note_read(&buffer.filled()[filled_before..]) {
            return Poll::Ready(Ok(()));
        }
        // The task of the connection refuses the head.
        buffer.set_filled(filled_before);
        this.activity
            .has_refused_head
            .store(true, Ordering::Relaxed);
        this.activity.changed.notify_one();
        Poll::Pending
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
        let this = self.get_mut();
        this.activity.note_flushed();
        Pin::new(&mut this.stream).poll_flush(context)
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
