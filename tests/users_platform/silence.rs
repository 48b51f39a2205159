//! Silence of an endpoint: for a while its process neither reads nor writes, and then goes on where it
//! was. The kernel still accepts connections and receives data for it.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep_until};

/// The time until which an endpoint is silent, shared by its connections.
#[derive(Debug, Clone, Default)]
pub struct Silence(Arc<Mutex<Option<Instant>>>);

impl Silence {
    /// Silences the endpoint for that long from now, or longer if it already is.
    pub fn begin(&self, duration: Duration) {
        let until = Instant::now() + duration;
        let mut current = self.0.lock();
        *current = Some(current.map_or(until, |current| current.max(until)));
    }

    fn until(&self) -> Option<Instant> {
        self.0.lock().filter(|until| *until > Instant::now())
    }

    /// Waits until the endpoint is not silent.
    pub async fn ended(&self) {
        while let Some(until) = self.until() {
            sleep_until(until).await;
        }
    }
}

/// A connection of an endpoint that may fall silent.
pub struct SilentStream {
    pub stream: TcpStream,
    /// Time at which the kernel's connection was accepted.
    pub connected_at: std::time::Instant,
    silence: Silence,
    wake: Pin<Box<Sleep>>,
}

impl SilentStream {
    pub fn new(stream: TcpStream, silence: Silence) -> Self {
        Self {
            stream,
            connected_at: std::time::Instant::now(),
            silence,
            wake: Box::pin(sleep_until(Instant::now())),
        }
    }

    fn poll_silence(&mut self, context: &mut Context<'_>) -> Poll<()> {
        while let Some(until) = self.silence.until() {
            self.wake.as_mut().reset(until);
            ready!(self.wake.as_mut().poll(context));
        }
        Poll::Ready(())
    }
}

impl AsyncRead for SilentStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        ready!(this.poll_silence(context));
        Pin::new(&mut this.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for SilentStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        ready!(this.poll_silence(context));
        Pin::new(&mut this.stream).poll_write(context, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(context)
    }
}
