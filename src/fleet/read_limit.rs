//! Limits how many bytes are read from a connection.
//!
//! A faulty endpoint may send bytes without end. Limits on decoded data do not see interim answers,
//! the framing of chunks or a head that does not end (`docs/platform.md`, "Connections").

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Number of bytes that may still be read from one connection.
#[derive(Debug, Clone)]
pub struct ReadLimit {
    bytes_left: Arc<AtomicUsize>,
}

impl ReadLimit {
    /// Creates a limit of that many bytes.
    pub fn new(bytes: usize) -> Self {
        Self {
            bytes_left: Arc::new(AtomicUsize::new(bytes)),
        }
    }

    /// Sets the number of bytes that may still be read.
    pub fn set(&self, bytes: usize) {
        self.bytes_left.store(bytes, Ordering::Relaxed);
    }

    /// Takes that many bytes off what may still be read.
    ///
    /// # Errors
    ///
    /// Fails when fewer are left.
    pub fn take(&self, bytes: usize) -> io::Result<()> {
        // The connection and the reader of its answer take at the same time.
        let taken = self
            .bytes_left
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |left| {
                left.checked_sub(bytes)
            });
        taken
            .map(drop)
            .map_err(|_| io::Error::other("the answer is too large"))
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
        std::task::ready!(Pin::new(&mut this.stream).poll_read(context, buffer))?;
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
