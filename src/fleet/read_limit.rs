//! Limits how many bytes are read from a connection, and how many of all connections are held.
//!
//! A faulty endpoint may send bytes without end. Limits on decoded data do not see interim answers,
//! the framing of chunks or a head that does not end (`docs/platform.md`, "Connections").

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use parking_lot::Mutex;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// One connection may hold as much as the free memory divided by this. The more connections hold
/// much, the less each of them may, so that a small answer always finds room.
const FREE_PARTS: usize = 4;

/// Memory for what is read from all connections.
#[derive(Debug)]
pub struct ReadMemory {
    max_bytes: usize,
    held_bytes: AtomicUsize,
}

impl ReadMemory {
    /// Creates a memory of that size.
    pub const fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            held_bytes: AtomicUsize::new(0),
        }
    }

    /// Returns how many bytes one connection may hold now.
    fn max_bytes_each(&self) -> usize {
        let held_bytes = self.held_bytes.load(Ordering::Relaxed);
        self.max_bytes.saturating_sub(held_bytes) / FREE_PARTS
    }
}

/// Number of bytes that may still be read from one connection. What was read counts as held until
/// the limit is set again or its last clone is dropped.
#[derive(Debug, Clone)]
pub struct ReadLimit {
    connection: Arc<Mutex<ConnectionLimit>>,
}

#[derive(Debug)]
struct ConnectionLimit {
    memory: &'static ReadMemory,
    held_bytes: usize,
    max_bytes: usize,
}

impl ConnectionLimit {
    fn release(&mut self) {
        let held_bytes = std::mem::take(&mut self.held_bytes);
        self.memory
            .held_bytes
            .fetch_sub(held_bytes, Ordering::Relaxed);
    }
}

impl Drop for ConnectionLimit {
    fn drop(&mut self) {
        self.release();
    }
}

impl ReadLimit {
    /// Creates a limit of that many bytes for a connection.
    pub fn new(memory: &'static ReadMemory, bytes: usize) -> Self {
        let connection = ConnectionLimit {
            memory,
            held_bytes: 0,
            max_bytes: bytes,
        };
        Self {
            connection: Arc::new(Mutex::new(connection)),
        }
    }

    /// Sets the number of bytes that may still be read, once what was read before is used.
    pub fn set(&self, bytes: usize) {
        let mut connection = self.connection.lock();
        connection.release();
        connection.max_bytes = bytes;
    }

    /// Takes that many bytes off what may still be read.
    ///
    /// # Errors
    ///
    /// Fails when fewer are left, or when all connections together hold too much.
    pub fn take(&self, bytes: usize) -> io::Result<()> {
        let mut connection = self.connection.lock();
        let held_bytes = connection.held_bytes + bytes;
        if held_bytes > connection.max_bytes {
            return Err(io::Error::other("the answer is too large"));
        }
        if held_bytes > connection.memory.max_bytes_each() {
            return Err(io::Error::other("the answer is too large beside others"));
        }
        connection.held_bytes = held_bytes;
        connection
            .memory
            .held_bytes
            .fetch_add(bytes, Ordering::Relaxed);
        Ok(())
    }
}

/// A stream whose reads fail once its limit is exceeded.
pub struct LimitedStream<S> {
    stream: S,
    limit: ReadLimit,
}

impl<S> LimitedStream<S> {
    /// Limits the reads of `stream`.
    pub fn new(stream: S, limit: ReadLimit) -> Self {
        Self { stream, limit }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for LimitedStream<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let filled_before = buffer.filled().len();
        ready!(Pin::new(&mut this.stream).poll_read(context, buffer))?;
        Poll::Ready(this.limit.take(buffer.filled().len() - filled_before))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for LimitedStream<S> {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write(context, bytes)
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
        Pin::new(&mut self.get_mut().stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
