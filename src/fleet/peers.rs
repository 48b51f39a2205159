//! Calls between VMs: one connection to each VM that is called, frames in both directions.
//!
//! A connection whose other side is silent while calls wait is given up, so that a frozen or
//! cut-off VM costs its callers a fraction of a second (`docs/platform.md`, "Stages").

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use anyhow::Context as _;
use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use parking_lot::Mutex;
use prost::Message;
use slog::{Logger, info, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, interval, timeout};
use tokio_util::codec::{Framed, LengthDelimitedCodec};
use tokio_util::task::AbortOnDropHandle;

use crate::fleet::wire::{Body, Frame, Nothing};

/// Maximum time for a connection to another VM; they are a few milliseconds apart.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time between two signs of life that a waiting caller asks for.
const PING_PERIOD: Duration = Duration::from_millis(250);
/// Silence after which a connection with waiting calls counts as lost: two pings, and the time
/// for which a processor quota can hold a process back.
const SILENCE_LIMIT: Duration = Duration::from_millis(700);
/// Time for which a VM that failed a call is passed over.
const AVOID: Duration = Duration::from_secs(2);
/// Frames that may wait for a connection; beyond that the call fails.
const WAITING_FRAMES: usize = 512;
/// Largest frame: a configuration and all endpoints.
const FRAME_LIMIT_BYTES: usize = 8 * 1024 * 1024;
/// Idle time after which a connection is closed.
const IDLE_LIMIT: Duration = Duration::from_secs(30);

type Pending = Arc<Mutex<HashMap<u64, oneshot::Sender<Body>>>>;

#[derive(Clone)]
struct Link {
    frames: mpsc::Sender<Frame>,
    pending: Pending,
}

/// Connections to other VMs.
pub struct Peers {
    port: u16,
    logger: Logger,
    links: Mutex<HashMap<Ipv4Addr, Link>>,
    avoided: Mutex<HashMap<Ipv4Addr, Instant>>,
    calls: AtomicU64,
}

/// Withdraws a call when its future is dropped.
struct CallGuard {
    link: Link,
    call: u64,
    is_done: bool,
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.link.pending.lock().remove(&self.call);
        if !self.is_done {
            let cancel = Frame {
                call: self.call,
                body: Some(Body::Cancel(Nothing {})),
            };
            // A full queue means a stuck connection, which ends the call at the other side too.
            let _ = self.link.frames.try_send(cancel);
        }
    }
}

impl Peers {
    /// Starts without connections.
    pub fn new(port: u16, logger: Logger) -> Arc<Self> {
        Arc::new(Self {
            port,
            logger,
            links: Mutex::default(),
            avoided: Mutex::default(),
            calls: AtomicU64::new(1),
        })
    }

    /// Returns whether a VM failed a call a short time ago.
    pub fn is_avoided(&self, ip: Ipv4Addr) -> bool {
        let avoided = self.avoided.lock();
        avoided
            .get(&ip)
            .is_some_and(|until| Instant::now() < *until)
    }

    /// Calls a VM and waits for its answer.
    ///
    /// # Errors
    ///
    /// Fails when the VM cannot be reached or falls silent; the call may have been done.
    pub async fn call(self: &Arc<Self>, ip: Ipv4Addr, body: Body) -> anyhow::Result<Body> {
        let result = self.call_once(ip, body).await;
        if let Err(error) = &result {
            warn!(self.logger, "peers: a call failed"; "vm" => %ip, "error" => format!("{error:#}"));
            self.avoided.lock().insert(ip, Instant::now() + AVOID);
        }
        result
    }

    async fn call_once(self: &Arc<Self>, ip: Ipv4Addr, body: Body) -> anyhow::Result<Body> {
        let link = self.link(ip);
        let call = self.calls.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        link.pending.lock().insert(call, sender);
        let frame = Frame {
            call,
            body: Some(body),
        };
        let mut guard = CallGuard {
            link,
            call,
            is_done: false,
        };
        if guard.link.frames.try_send(frame).is_err() {
            guard.is_done = true;
            anyhow::bail!("the connection takes no more calls");
        }
        let answer = receiver.await;
        guard.is_done = true;
        answer.context("the connection was lost")
    }

    /// Sends a frame that has no answer.
    pub fn tell(self: &Arc<Self>, ip: Ipv4Addr, body: Body) {
        let frame = Frame {
            call: 0,
            body: Some(body),
        };
        if self.link(ip).frames.try_send(frame).is_err() {
            warn!(self.logger, "peers: a message was dropped, its connection is stuck"; "vm" => %ip);
        }
    }

    fn link(self: &Arc<Self>, ip: Ipv4Addr) -> Link {
        let mut links = self.links.lock();
        if let Some(link) = links.get(&ip).filter(|link| !link.frames.is_closed()) {
            return link.clone();
        }
        let (frames, waiting) = mpsc::channel(WAITING_FRAMES);
        let link = Link {
            frames,
            pending: Pending::default(),
        };
        links.insert(ip, link.clone());
        let peers = Arc::clone(self);
        let pending = Arc::clone(&link.pending);
        tokio::spawn(async move {
            let address = SocketAddr::from((ip, peers.port));
            let result = run_link(address, waiting, &pending).await;
            // Dropping the senders fails every waiting call.
            let lost = std::mem::take(&mut *pending.lock()).len();
            match result {
                Ok(()) => info!(peers.logger, "peers: closed an idle connection"; "vm" => %ip),
                Err(error) => {
                    warn!(peers.logger, "peers: lost a connection";
                        "vm" => %ip, "calls" => lost, "error" => format!("{error:#}"));
                }
            }
        });
        link
    }
}

async fn run_link(
    address: SocketAddr,
    mut frames: mpsc::Receiver<Frame>,
    pending: &Pending,
) -> anyhow::Result<()> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .context("the connect timeout passed")??;
    stream.set_nodelay(true)?;
    let mut framed = Framed::new(stream, codec());
    let mut heard_at = Instant::now();
    let mut asked_at = Instant::now();
    let mut used_at = Instant::now();
    let mut pings = interval(PING_PERIOD);
    loop {
        let waits = !pending.lock().is_empty();
        tokio::select! {
            frame = frames.recv() => {
                let Some(frame) = frame else { return Ok(()) };
                if !waits || heard_at > asked_at {
                    asked_at = Instant::now();
                }
                used_at = Instant::now();
                let sent = timeout(SILENCE_LIMIT, framed.send(encode(&frame))).await;
                sent.context("the other side takes no bytes")??;
            }
            bytes = framed.next() => {
                let bytes = bytes.context("the other side closed")??;
                heard_at = Instant::now();
                let frame = Frame::decode(bytes)?;
                if let (Some(sender), Some(body)) = (pending.lock().remove(&frame.call), frame.body) {
                    // The caller may have left meanwhile.
                    let _ = sender.send(body);
                }
            }
            _ = pings.tick(), if waits => {
                if asked_at > heard_at && asked_at.elapsed() > SILENCE_LIMIT {
                    anyhow::bail!("the other side is silent");
                }
                if heard_at >= asked_at {
                    asked_at = Instant::now();
                }
                let ping = Frame { call: 0, body: Some(Body::Ping(Nothing {})) };
                timeout(SILENCE_LIMIT, framed.send(encode(&ping)))
                    .await
                    .context("the other side takes no bytes")??;
            }
            () = tokio::time::sleep(IDLE_LIMIT), if !waits => {
                if used_at.elapsed() >= IDLE_LIMIT {
                    frames.close();
                    return Ok(());
                }
            }
        }
    }
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(FRAME_LIMIT_BYTES)
        .new_codec()
}

fn encode(frame: &Frame) -> Bytes {
    Bytes::from(frame.encode_to_vec())
}

/// Serves calls of other VMs. `handle` answers one call; it is dropped when the caller
/// withdraws the call or its connection ends.
pub async fn serve_peers<F>(
    listener: TcpListener,
    logger: Logger,
    handle: impl Fn(Body) -> F + Clone + Send + Sync + 'static,
) where
    F: Future<Output = Option<Body>> + Send + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_peer(stream, logger.clone(), handle.clone()));
            }
            Err(error) => {
                warn!(logger, "peers: a connection was not accepted: {error}");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn serve_peer<F>(
    stream: TcpStream,
    logger: Logger,
    handle: impl Fn(Body) -> F + Clone + Send + Sync + 'static,
) where
    F: Future<Output = Option<Body>> + Send + 'static,
{
    if let Err(error) = stream.set_nodelay(true) {
        warn!(logger, "peers: {error}");
    }
    let (mut sink, mut source) = Framed::new(stream, codec()).split();
    let (answers, mut waiting) = mpsc::channel::<Frame>(WAITING_FRAMES);
    let writer = AbortOnDropHandle::new(tokio::spawn(async move {
        while let Some(frame) = waiting.recv().await {
            if sink.send(encode(&frame)).await.is_err() {
                return;
            }
        }
    }));
    let mut running: HashMap<u64, AbortOnDropHandle<()>> = HashMap::new();
    // A caller that vanished without a word is noticed by its silence.
    while let Ok(Some(Ok(bytes))) = timeout(IDLE_LIMIT * 2, source.next()).await {
        if writer.is_finished() {
            return;
        }
        running.retain(|_, task| !task.is_finished());
        let frame = match Frame::decode(bytes) {
            Ok(frame) => frame,
            Err(error) => {
                warn!(logger, "peers: a frame cannot be decoded: {error}");
                return;
            }
        };
        match frame.body {
            Some(Body::Cancel(_)) => drop(running.remove(&frame.call)),
            Some(Body::Ping(_)) => {
                let pong = Frame {
                    call: 0,
                    body: Some(Body::Pong(Nothing {})),
                };
                let _ = answers.try_send(pong);
            }
            Some(body) => {
                let answer = handle(body);
                let answers = answers.clone();
                let call = frame.call;
                let task = tokio::spawn(async move {
                    if let Some(body) = answer.await {
                        let frame = Frame {
                            call,
                            body: Some(body),
                        };
                        let _ = answers.send(frame).await;
                    }
                });
                if call != 0 {
                    running.insert(call, AbortOnDropHandle::new(task));
                }
            }
            None => {}
        }
    }
}
