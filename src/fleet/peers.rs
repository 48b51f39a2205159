//! Calls between VMs, multiplexed as frames over one TCP connection to each VM that is called.
//!
//! A connection is closed when the other VM sends nothing while calls wait for their answers, so
//! that a frozen or cut-off VM delays its callers by a fraction of a second only
//! (`docs/platform.md`, "Stages").

use std::collections::HashMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use anyhow::Context as _;
use bytes::{Bytes, BytesMut};
use futures::{SinkExt, StreamExt};
use parking_lot::Mutex;
use prost::Message;
use slog::{Logger, info, warn};
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, interval, timeout};
use tokio_util::codec::{Framed, LengthDelimitedCodec};
use tokio_util::task::AbortOnDropHandle;

use crate::decisions::caller_memory::Phase;
use crate::fleet::caller_memory::{CallerAccount, CallerAccounts, Held};
use crate::fleet::metric;
use crate::fleet::wire::{Body, Empty, Frame, ITEM_FAILED, JobFailed, StoreNews};

/// Timeout of connecting to another VM; VMs are a few milliseconds apart.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Interval between two pings on a connection with calls that wait for their answers.
const PING_INTERVAL: Duration = Duration::from_millis(250);
/// Time without a frame from the other VM after which a connection with waiting calls counts as
/// lost: two ping intervals, and the time for which a CPU quota can suspend a process.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(700);
/// Time for which a VM is avoided after a call to it failed.
const AVOID_PERIOD: Duration = Duration::from_secs(2);
/// Maximum number of frames that wait to be sent on one connection; a call beyond that fails.
const MAX_QUEUED_FRAMES: usize = 512;
/// Largest frame. The largest one in use has the configuration and all endpoints.
const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;
/// Time without calls after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Senders for the answers of calls that wait, by the number of the call.
type Pending = Arc<Mutex<HashMap<u64, oneshot::Sender<Body>>>>;

/// Handle of the task that runs the connection to one VM.
#[derive(Clone)]
struct Link {
    // Queue of frames to send; closed when the connection has ended.
    frames: mpsc::Sender<Frame>,
    pending: Pending,
    /// When the last frame from the other VM came.
    heard_at: Arc<Mutex<Option<Instant>>>,
}

impl Link {
    fn waiting_frames(&self) -> usize {
        self.frames.max_capacity() - self.frames.capacity()
    }
}

/// Makes all calls fail that still wait when the task of their connection ends.
struct PendingGuard(Pending);

impl Drop for PendingGuard {
    fn drop(&mut self) {
        // The calls wait for these senders.
        self.0.lock().clear();
    }
}

/// Connections to other VMs.
pub struct Peers {
    port: u16,
    logger: Logger,
    links: Mutex<HashMap<Ipv4Addr, Link>>,
    // Times until which VMs that failed a call are avoided.
    avoided_until: Mutex<HashMap<Ipv4Addr, Instant>>,
    // Number of the next call; 0 is not used, since it marks frames without an answer.
    next_call: AtomicU64,
}

/// Cancels a call at the other VM when the future of the call is dropped before its answer.
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
                body: Some(Body::Cancel(Empty {})),
            };
            // If the queue is full, the connection is stuck and will be closed, which also ends the
            // call at the other VM.
            let _ = self.link.frames.try_send(cancel);
        }
    }
}

impl Peers {
    /// Creates the client without connections; `port` is the peer port of all VMs.
    pub fn new(port: u16, logger: Logger) -> Arc<Self> {
        Arc::new(Self {
            port,
            logger,
            links: Mutex::default(),
            avoided_until: Mutex::default(),
            next_call: AtomicU64::new(1),
        })
    }

    /// Returns whether a call to this VM failed less than `AVOID_PERIOD` ago.
    pub fn is_avoided(&self, ip: Ipv4Addr) -> bool {
        let avoided_until = self.avoided_until.lock();
        avoided_until
            .get(&ip)
            .is_some_and(|until| Instant::now() < *until)
    }

    /// Calls a VM and waits for its answer. A VM whose call fails is avoided for a while.
    ///
    /// # Errors
    ///
    /// Fails when the VM cannot be reached, stops answering, or too many frames wait for its
    /// connection. The VM may have done what the call asked for.
    pub async fn call(self: &Arc<Self>, ip: Ipv4Addr, body: Body) -> anyhow::Result<Body> {
        // The other VM is as good as before, and so are its other calls.
        let body = check_size(body)?;
        let result = self.call_once(ip, body).await;
        if let Err(error) = &result {
            warn!(self.logger, "peers: a call failed"; "vm" => %ip, "error" => format!("{error:#}"));
            self.avoid(ip);
        }
        result
    }

    async fn call_once(self: &Arc<Self>, ip: Ipv4Addr, body: Body) -> anyhow::Result<Body> {
        let link = self.link(ip);
        let call = self.next_call.fetch_add(1, Ordering::Relaxed);
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
        metric::peer_frames_waiting(guard.link.waiting_frames());
        if guard.link.frames.try_send(frame).is_err() {
            guard.is_done = true;
            anyhow::bail!("the connection to {ip} takes no more calls");
        }
        let answer = receiver.await;
        guard.is_done = true;
        answer.context("the connection was lost before the answer")
    }

    /// Sends a message that has no answer. It is dropped if too many frames wait for the
    /// connection, or if it is too large.
    pub fn send_one_way(self: &Arc<Self>, ip: Ipv4Addr, body: Body) {
        let body = match check_size(body) {
            Ok(body) => body,
            Err(error) => {
                warn!(self.logger, "peers: a message was dropped: {error}"; "vm" => %ip);
                return;
            }
        };
        let frame = Frame {
            call: 0,
            body: Some(body),
        };
        if self.link(ip).frames.try_send(frame).is_err() {
            warn!(self.logger, "peers: a message was dropped, its connection is stuck"; "vm" => %ip);
        }
    }

    /// Avoids a VM for a while, as after a failed call.
    pub fn avoid(&self, ip: Ipv4Addr) {
        let until = Instant::now() + AVOID_PERIOD;
        self.avoided_until.lock().insert(ip, until);
    }

    /// Asks a VM for a sign of life, without waiting for it.
    pub fn ping(self: &Arc<Self>, ip: Ipv4Addr) {
        self.send_one_way(ip, Body::Ping(Empty {}));
    }

    /// Returns whether anything came from a VM since `at`.
    pub fn has_heard(&self, ip: Ipv4Addr, at: Instant) -> bool {
        let links = self.links.lock();
        let heard_at = links.get(&ip).and_then(|link| *link.heard_at.lock());
        heard_at.is_some_and(|heard_at| heard_at >= at)
    }

    /// Returns the open connection to a VM, or starts a new one.
    fn link(self: &Arc<Self>, ip: Ipv4Addr) -> Link {
        let mut links = self.links.lock();
        if let Some(link) = links.get(&ip).filter(|link| !link.frames.is_closed()) {
            return link.clone();
        }
        let (frames, queued_frames) = mpsc::channel(MAX_QUEUED_FRAMES);
        let link = Link {
            frames,
            pending: Pending::default(),
            heard_at: Arc::default(),
        };
        links.insert(ip, link.clone());
        let peers = Arc::clone(self);
        let (pending, heard_at) = (Arc::clone(&link.pending), Arc::clone(&link.heard_at));
        tokio::spawn(async move {
            let address = SocketAddr::from((ip, peers.port));
            let _guard = PendingGuard(Arc::clone(&pending));
            let result = run_link(address, queued_frames, &pending, &heard_at).await;
            let lost_calls = pending.lock().len();
            match result {
                Ok(()) => info!(peers.logger, "peers: closed an idle connection"; "vm" => %ip),
                Err(error) => {
                    warn!(peers.logger, "peers: lost a connection";
                        "vm" => %ip, "calls" => lost_calls, "error" => format!("{error:#}"));
                }
            }
        });
        link
    }
}

/// Connects to a VM and exchanges frames with it until the connection is idle or fails.
async fn run_link(
    address: SocketAddr,
    mut frames: mpsc::Receiver<Frame>,
    pending: &Pending,
    heard_at: &Mutex<Option<Instant>>,
) -> anyhow::Result<()> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .context("the connect timeout passed")??;
    stream.set_nodelay(true)?;
    let mut framed = Framed::new(stream, codec());
    let mut last_received_at = Instant::now();
    // When the first frame was sent since the last one was received.
    let mut awaiting_since = Instant::now();
    // When the last frame other than a ping was sent.
    let mut last_sent_at = Instant::now();
    let mut pings = interval(PING_INTERVAL);
    loop {
        let has_pending_calls = !pending.lock().is_empty();
        tokio::select! {
            frame = frames.recv() => {
                let Some(frame) = frame else { return Ok(()) };
                if !has_pending_calls || last_received_at > awaiting_since {
                    awaiting_since = Instant::now();
                }
                last_sent_at = Instant::now();
                let sent = timeout(SILENCE_TIMEOUT, framed.send(encode(&frame))).await;
                sent.context("the other VM reads no data")??;
            }
            bytes = framed.next() => {
                let bytes = bytes.context("the other VM closed the connection")??;
                last_received_at = Instant::now();
                *heard_at.lock() = Some(last_received_at);
                let frame = decode(bytes)?;
                if let (Some(sender), Some(body)) = (pending.lock().remove(&frame.call), frame.body) {
                    // Fails if the call was dropped meanwhile; its answer is then not needed.
                    let _ = sender.send(body);
                }
            }
            _ = pings.tick(), if has_pending_calls => {
                if awaiting_since > last_received_at && awaiting_since.elapsed() > SILENCE_TIMEOUT {
                    anyhow::bail!("the other VM sent nothing for {SILENCE_TIMEOUT:?}");
                }
                if last_received_at >= awaiting_since {
                    awaiting_since = Instant::now();
                }
                let ping = Frame { call: 0, body: Some(Body::Ping(Empty {})) };
                timeout(SILENCE_TIMEOUT, framed.send(encode(&ping)))
                    .await
                    .context("the other VM reads no data")??;
            }
            () = tokio::time::sleep(IDLE_TIMEOUT), if !has_pending_calls => {
                if last_sent_at.elapsed() >= IDLE_TIMEOUT {
                    frames.close();
                    return Ok(());
                }
            }
        }
    }
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

/// Returns a body that fits a frame. A larger one would end the connection, and with it the calls of others.
fn check_size(body: Body) -> Result<Body, TooLarge> {
    // The number of a call takes some bytes besides.
    const MAX_BODY_BYTES: usize = MAX_FRAME_BYTES - 32;
    let size_bytes = body.encoded_len();
    if size_bytes <= MAX_BODY_BYTES {
        return Ok(body);
    }
    let kind = body.kind();
    metric::peer_message_too_large(kind);
    Err(TooLarge { kind, size_bytes })
}

/// Returns an answer that fits a frame: in place of a larger one, that this VM has no word of the store for the caller, or
/// that the items of its job failed.
fn answer_that_fits(body: Body, logger: &Logger) -> Body {
    let is_state = matches!(body, Body::State(_));
    check_size(body).unwrap_or_else(|error| {
        warn!(logger, "peers: an answer was left out: {error}");
        match is_state {
            true => Body::StoreNews(StoreNews::default()),
            false => Body::JobFailed(JobFailed {
                reason: ITEM_FAILED,
                ..JobFailed::default()
            }),
        }
    })
}

/// Says that a message does not fit a frame.
#[derive(Debug, Error)]
#[error("a message {kind} of {size_bytes} bytes does not fit a frame")]
struct TooLarge {
    kind: &'static str,
    size_bytes: usize,
}

fn encode(frame: &Frame) -> Bytes {
    let bytes = Bytes::from(frame.encode_to_vec());
    metric::peer_message("sent", frame.kind(), bytes.len());
    bytes
}

fn decode(bytes: BytesMut) -> Result<Frame, prost::DecodeError> {
    let size_bytes = bytes.len();
    let frame = Frame::decode(bytes)?;
    metric::peer_message("received", frame.kind(), size_bytes);
    Ok(frame)
}

/// Connection of another VM. What is read of a frame is charged until the frame is whole.
struct ChargedStream {
    stream: TcpStream,
    account: CallerAccount,
    held: Arc<Mutex<Held>>,
}

impl AsyncRead for ChargedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let filled_before = buffer.filled().len();
        ready!(Pin::new(&mut this.stream).poll_read(context, buffer))?;
        let bytes = buffer.filled().len() - filled_before;
        this.account.enter(Phase::Body);
        Poll::Ready(this.held.lock().grow(bytes).map_err(io::Error::other))
    }
}

impl AsyncWrite for ChargedStream {
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

/// Serves the calls of other VMs. `handle` returns the future that answers one call; the future is
/// dropped when the caller cancels the call or its connection ends. Messages without an answer
/// run to their end.
pub async fn serve_peers<F>(
    listener: TcpListener,
    logger: Logger,
    accounts: Option<Arc<CallerAccounts>>,
    handle: impl Fn(Body) -> F + Clone + Send + Sync + 'static,
) where
    F: Future<Output = Option<Body>> + Send + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, vm)) => {
                let account = match &accounts {
                    None => CallerAccount::unlimited(),
                    Some(accounts) => match accounts.connect(vm) {
                        Some(account) => account,
                        None => continue,
                    },
                };
                let served = serve_peer(stream, account.clone(), logger.clone(), handle.clone());
                tokio::spawn(async move {
                    tokio::select! {
                        () = served => {}
                        () = account.connection_gives_way() => {}
                        () = account.body_gives_way() => {}
                    }
                });
            }
            Err(error) => {
                warn!(logger, "peers: a connection was not accepted: {error}");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

/// Serves the calls of one connection, concurrently.
async fn serve_peer<F>(
    stream: TcpStream,
    account: CallerAccount,
    logger: Logger,
    handle: impl Fn(Body) -> F + Clone + Send + Sync + 'static,
) where
    F: Future<Output = Option<Body>> + Send + 'static,
{
    if let Err(error) = stream.set_nodelay(true) {
        warn!(logger, "peers: cannot set TCP_NODELAY: {error}");
    }
    let held = Arc::new(Mutex::new(account.hold(Phase::Body)));
    let stream = ChargedStream {
        stream,
        account: account.clone(),
        held: Arc::clone(&held),
    };
    let (mut sink, mut source) = Framed::new(stream, codec()).split();
    let (answers, mut queued_answers) = mpsc::channel::<Frame>(MAX_QUEUED_FRAMES);
    let writer = AbortOnDropHandle::new(tokio::spawn(async move {
        while let Some(frame) = queued_answers.recv().await {
            if sink.send(encode(&frame)).await.is_err() {
                return;
            }
        }
    }));
    let mut running: HashMap<u64, AbortOnDropHandle<()>> = HashMap::new();
    // The timeout ends connections whose caller vanished without closing them. It is longer than
    // the caller's own idle timeout.
    while let Ok(Some(Ok(bytes))) = timeout(IDLE_TIMEOUT * 2, source.next()).await {
        if writer.is_finished() {
            return;
        }
        running.retain(|_, task| !task.is_finished());
        held.lock().release();
        account.enter(match running.is_empty() {
            true => Phase::Idle,
            false => Phase::Serving,
        });
        let frame = match decode(bytes) {
            Ok(frame) => frame,
            Err(error) => {
                warn!(logger, "peers: a frame cannot be decoded: {error}");
                return;
            }
        };
        let kind = frame.kind();
        match frame.body {
            Some(Body::Cancel(_)) => drop(running.remove(&frame.call)),
            Some(Body::Ping(_)) => {
                let pong = Frame {
                    call: 0,
                    body: Some(Body::Pong(Empty {})),
                };
                let _ = answers.try_send(pong);
            }
            // Nobody could cancel it, and nothing would end it with its connection.
            Some(body) if frame.call == 0 && body.is_call() => {
                warn!(logger, "peers: a call has no number"; "kind" => kind);
            }
            Some(body) => {
                let answer = handle(body);
                let (answers, logger) = (answers.clone(), logger.clone());
                let call = frame.call;
                let task = tokio::spawn(async move {
                    let Some(body) = answer.await else {
                        return;
                    };
                    let frame = Frame {
                        call,
                        body: Some(answer_that_fits(body, &logger)),
                    };
                    let _ = answers.send(frame).await;
                });
                if call != 0 {
                    running.insert(call, AbortOnDropHandle::new(task));
                }
            }
            None => {}
        }
    }
}
