//! Links: persistent TCP connections that carry state messages, one for each ordered pair of
//! VMs.
//!
//! A message is built only when the connection is ready to send it. A slow or frozen peer
//! therefore delays only its own link, and no message waits in memory.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use metrics::counter;
use prost::Message;
use tokio::io::AsyncReadExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore};
use tokio::time::{Instant, sleep, sleep_until, timeout};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

use crate::peer::backoff::{Backoff, BackoffConfig};
use crate::peer::message::{MessageError, StateMessage};

/// Settings of links.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LinkConfig {
    /// Interval between messages when nothing changes.
    pub period: Duration,
    /// Minimum interval between messages, so that a burst of changes becomes one message.
    pub min_gap: Duration,
    /// Timeout of a connection attempt.
    pub connect_timeout: Duration,
    /// Timeout for writing a message, after which the connection to the peer is closed.
    pub write_timeout: Duration,
    /// Timeout after which an incoming connection without messages is closed.
    pub idle_timeout: Duration,
    /// Maximum size of a frame, which holds one message.
    pub frame_limit_bytes: usize,
    /// Maximum number of open incoming connections.
    pub connections_limit: usize,
    /// Bounds of the pauses between connection attempts.
    pub backoff: BackoffConfig,
}

impl Default for LinkConfig {
    fn default() -> Self {
        Self {
            period: Duration::from_millis(200),
            min_gap: Duration::from_millis(5),
            connect_timeout: Duration::from_secs(1),
            write_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(10),
            frame_limit_bytes: 256 * 1024,
            connections_limit: 256,
            backoff: BackoffConfig {
                initial: Duration::from_millis(100),
                max: Duration::from_secs(1),
            },
        }
    }
}

fn codec(config: &LinkConfig) -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(config.frame_limit_bytes)
        .new_codec()
}

/// Maintains a connection to a peer and sends the messages that `next_message` builds: one every
/// `period`, and one soon after `wake` is notified. It never returns; drop the future to end the
/// link.
pub async fn run_link(
    address: SocketAddr,
    config: LinkConfig,
    wake: Rc<Notify>,
    mut next_message: impl FnMut() -> StateMessage,
) {
    let mut backoff = Backoff::new(config.backoff);
    loop {
        if let Ok(Ok(stream)) = timeout(config.connect_timeout, TcpStream::connect(address)).await {
            backoff.reset();
            send_until_broken(stream, &config, &wake, &mut next_message).await;
        }
        counter!("primrosewalk_control_link_failures_total").increment(1);
        backoff.pause().await;
    }
}

/// Sends messages until a write fails or the peer closes the connection.
async fn send_until_broken(
    stream: TcpStream,
    config: &LinkConfig,
    wake: &Notify,
    next_message: &mut impl FnMut() -> StateMessage,
) {
    // If the option cannot be set, small messages are only delayed.
    let _ = stream.set_nodelay(true);
    let (mut reader, writer) = stream.into_split();
    let mut frames = FramedWrite::new(writer, codec(config));
    loop {
        let sent_at = Instant::now();
        let sent = timeout(config.write_timeout, send(&mut frames, next_message())).await;
        if !matches!(sent, Ok(Ok(()))) {
            return;
        }
        let pause = async {
            let woken = timeout(config.period, wake.notified()).await;
            if woken.is_ok() {
                sleep_until(sent_at + config.min_gap).await;
            }
        };
        tokio::select! {
            () = pause => {}
            () = wait_until_closed(&mut reader) => return,
        }
    }
}

async fn send(
    frames: &mut FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>,
    message: StateMessage,
) -> std::io::Result<()> {
    let bytes = Bytes::from(message.encode_to_vec());
    count("sent", bytes.len());
    frames.send(bytes).await
}

/// Returns when the peer closes the connection, on which it sends nothing.
async fn wait_until_closed(reader: &mut OwnedReadHalf) {
    let mut byte = [0; 1];
    let _ = reader.read(&mut byte).await;
}

/// Counts one message in the metrics, with the four bytes of its length prefix.
fn count(direction: &'static str, bytes: usize) {
    let labels = [("kind", "state"), ("direction", direction)];
    counter!("primrosewalk_control_messages_total", &labels).increment(1);
    counter!("primrosewalk_control_bytes_total", &labels).increment(bytes as u64 + 4);
}

/// Accepts connections of peers and passes their messages to `receive`; an error closes the
/// connection. It must run on a local task set and never returns.
pub async fn serve_links(
    listener: TcpListener,
    config: LinkConfig,
    receive: Rc<dyn Fn(StateMessage) -> Result<(), MessageError>>,
) {
    let permits = Arc::new(Semaphore::new(config.connections_limit));
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else {
            return;
        };
        let Ok((stream, _)) = listener.accept().await else {
            // The process may be out of file descriptors; accepting again at once would busy-loop.
            sleep(config.min_gap).await;
            continue;
        };
        let receive = receive.clone();
        tokio::task::spawn_local(async move {
            let _permit = permit;
            receive_until_broken(stream, &config, receive.as_ref()).await;
        });
    }
}

/// Receives messages until the connection breaks, is idle for too long or carries a bad message.
async fn receive_until_broken(
    stream: TcpStream,
    config: &LinkConfig,
    receive: &dyn Fn(StateMessage) -> Result<(), MessageError>,
) {
    let mut frames = FramedRead::new(stream, codec(config));
    while let Ok(Some(Ok(frame))) = timeout(config.idle_timeout, frames.next()).await {
        count("received", frame.len());
        let decoded = StateMessage::decode(frame).map_err(MessageError::from);
        if decoded.and_then(receive).is_err() {
            counter!("primrosewalk_control_bad_messages_total").increment(1);
            return;
        }
    }
}
