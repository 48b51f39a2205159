//! A connection whose bytes and whose end arrive late, as over a long way.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

/// A connection whose reads are held back by a fixed time; writes are not.
pub struct DelayedReads {
    stream: TcpStream,
    delay: Duration,
    /// Ends when what has come may be read.
    arrival: Option<Pin<Box<Sleep>>>,
}

impl DelayedReads {
    pub fn new(stream: TcpStream, delay: Duration) -> Self {
        Self {
            stream,
            delay,
            arrival: None,
        }
    }
}

impl AsyncRead for DelayedReads {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if !this.delay.is_zero() {
            if this.arrival.is_none() {
                ready!(this.stream.poll_read_ready(context))?;
            }
            let delay = this.delay;
            let arrival = this.arrival.get_or_insert_with(|| Box::pin(sleep(delay)));
            ready!(arrival.as_mut().poll(context));
            this.arrival = None;
        }
        Pin::new(&mut this.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for DelayedReads {
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
}
