//! A TCP stream that counts the bytes of calls between VMs in metrics.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll};

use metrics::{Counter, counter};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A TCP stream whose bytes are counted as control traffic with the label `kind` = `call`.
pub struct CountedStream {
    stream: TcpStream,
    sent: Counter,
    received: Counter,
}

impl CountedStream {
    /// Wraps a connected stream.
    pub fn new(stream: TcpStream) -> Self {
        let bytes = |direction: &'static str| {
            let labels = [("kind", "call"), ("direction", direction)];
            counter!("primrosewalk_control_bytes_total", &labels)
        };
        Self {
            stream,
            sent: bytes("sent"),
            received: bytes("received"),
        }
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.received
            .increment((buffer.filled().len() - before) as u64);
        result
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        if let Poll::Ready(Ok(count)) = result {
            self.sent.increment(count as u64);
        }
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        if let Poll::Ready(Ok(count)) = result {
            self.sent.increment(count as u64);
        }
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
