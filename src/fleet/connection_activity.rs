//! Watches what is under way on a connection of a caller, and decides when the connection is to be closed.
//!
//! `docs/platform.md`, "Connections of callers" gives the rules.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

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

/// What is under way on a connection.
#[derive(Debug, Default)]
pub struct Activity {
    state: Mutex<ActivityState>,
    /// Notified when a request ends and when the head of one begins.
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
    /// Marks a request as in progress until the result is dropped.
    pub fn begin_request(self: &Arc<Self>) -> RequestInProgress {
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
        if was_blocked && !is_blocked {
            self.changed.notify_one();
        }
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
