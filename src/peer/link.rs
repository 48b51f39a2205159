//! Kept TCP connections that carry state messages, one for each ordered pair of VMs.
//!
//! A message is built only when the connection can take it. A slow or frozen peer therefore
//! holds up its own link and nothing else, and no message waits in memory.

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
    /// Time between messages when nothing changes.
    pub period: Duration,
    /// Minimum time between messages, so that a burst of changes becomes one message.
    pub min_gap: Duration,
    /// Maximum time for a connection attempt.
    pub connect_timeout: Duration,
    /// Time after which a peer that takes no bytes is disconnected.
    pub write_timeout: Duration,
    /// Time after which an incoming connection without messages is closed.
    pub idle_timeout: Duration,
    /// Largest frame.
    pub frame_limit_bytes: usize,
    /// Incoming connections open at once.
    pub connections_limit: usize,
    /// Pauses between connection attempts.
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

/// Keeps a connection to a peer and sends what `next` builds: every period, and soon after
/// `wake` is notified. It never returns; drop it to end the link.
pub async fn run_link(
    address: SocketAddr,
    config: LinkConfig,
    wake: Rc<Notify>,
    mut next: impl FnMut() -> StateMessage,
) {
    let mut backoff = Backoff::new(config.backoff);
    loop {
        if let Ok(Ok(stream)) = timeout(config.connect_timeout, TcpStream::connect(address)).await {
            backoff.reset();
            send_until_broken(stream, &config, &wake, &mut next).await;
        }
        counter!("primrosewalk_control_link_failures_total").increment(1);
        backoff.pause().await;
    }
}

async fn send_until_broken(
    stream: TcpStream,
    config: &LinkConfig,
    wake: &Notify,
    next: &mut impl FnMut() -> StateMessage,
) {
    // A failure to set the option only delays small messages.
    let _ = stream.set_nodelay(true);
    let (mut reader, writer) = stream.into_split();
    let mut frames = FramedWrite::new(writer, codec(config));
    loop {
        let sent_at = Instant::now();
        let sent = timeout(config.write_timeout, send(&mut frames, next())).await;
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
            () = closed(&mut reader) => return,
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

/// Returns when the peer closes the connection. Peers send nothing on it.
async fn closed(reader: &mut OwnedReadHalf) {
    let mut byte = [0; 1];
    let _ = reader.read(&mut byte).await;
}

fn count(direction: &'static str, bytes: usize) {
    let labels = [("kind", "state"), ("direction", direction)];
    counter!("primrosewalk_control_messages_total", &labels).increment(1);
    counter!("primrosewalk_control_bytes_total", &labels).increment(bytes as u64 + 4);
}

/// Takes connections of peers and passes their messages to `receive`, which says whether to
/// keep the connection. It runs on a local task set and never returns.
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
            // Out of file descriptors: accepting again at once would spin.
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
