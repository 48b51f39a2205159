//! A TCP proxy that forwards connections between processes and injects faults.

use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use clap::Args;
use hyper::StatusCode;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use crate::http::{self, Call, Reply};

/// Maximum number of chunks that are buffered for each direction of a connection. Further data
/// stays in the kernel's buffers, so that a frozen link exerts backpressure on its sender.
const MAX_BUFFERED_CHUNKS: usize = 256;

/// Maximum size of one read.
const MAX_CHUNK_BYTES: usize = 16 << 10;

/// Interval between attempts to listen again after a cut.
const REBIND_INTERVAL: Duration = Duration::from_millis(20);

/// Interval between checks whether a cut has closed all connections, and the time until the control call
/// is answered in any case.
const CUT_CHECK_INTERVAL: Duration = Duration::from_millis(1);
const CUT_TIMEOUT: Duration = Duration::from_secs(2);

/// Flags of `fault-proxy`.
#[derive(Args)]
pub struct FaultProxyOptions {
    /// Address to listen on, for a single link.
    #[arg(long, value_name = "ADDR", requires = "to")]
    listen: Option<SocketAddr>,
    /// Address to forward to, for a single link.
    #[arg(long, value_name = "ADDR", requires = "listen")]
    to: Option<SocketAddr>,
    /// Addresses of a link, as LISTEN=TO. May be given several times.
    #[arg(long = "link", value_name = "LISTEN=TO")]
    links: Vec<LinkAddresses>,
    /// Address on which the HTTP control calls are served.
    #[arg(long, value_name = "ADDR")]
    control: SocketAddr,
}

#[derive(Clone, Copy)]
struct LinkAddresses {
    listen: SocketAddr,
    to: SocketAddr,
}

impl FromStr for LinkAddresses {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || format!("{text:?} is not LISTEN=TO with two addresses");
        let (listen, to) = text.split_once('=').ok_or_else(invalid)?;
        Ok(Self {
            listen: listen.parse().map_err(|_| invalid())?,
            to: to.parse().map_err(|_| invalid())?,
        })
    }
}

/// How a link treats its connections. `/control/state` shows the Debug form.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mode {
    Pass,
    /// Adds a delay in each direction.
    Delay(Duration),
    /// Resets connections and refuses new ones.
    Cut,
    /// Keeps connections open, but forwards their data only after the mode has changed.
    Freeze,
    /// Forwards only the given direction.
    HalfOpen(Direction),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    /// From the side that connected to the proxy to the forwarding address.
    To,
    /// From the forwarding address back to the side that connected.
    From,
}

impl Mode {
    /// Returns whether data in a direction may be forwarded now.
    fn forwards(self, direction: Direction) -> bool {
        match self {
            Self::Pass | Self::Delay(_) => true,
            Self::Cut | Self::Freeze => false,
            Self::HalfOpen(forwarded) => forwarded == direction,
        }
    }

    /// Returns the delay that is added in each direction.
    fn delay(self) -> Duration {
        match self {
            Self::Delay(delay) => delay,
            _ => Duration::ZERO,
        }
    }
}

/// A forwarded address and its current mode.
struct Link {
    addresses: LinkAddresses,
    mode: watch::Sender<Mode>,
    is_listening: watch::Receiver<bool>,
    /// Held by each open connection as well.
    connections: Arc<()>,
}

impl Link {
    /// Waits until a cut has closed the listener and all connections, so that the caller of the control
    /// interface can rely on it. A busy machine may take a while.
    async fn wait_until_cut(&self) {
        let is_closed = async {
            let mut is_listening = self.is_listening.clone();
            // Fails only when the link has ended.
            let _ = is_listening.wait_for(|is_listening| !is_listening).await;
            // One reference is the link's own, another that of the task that accepts connections.
            while Arc::strong_count(&self.connections) > 2 {
                tokio::time::sleep(CUT_CHECK_INTERVAL).await;
            }
        };
        let _ = tokio::time::timeout(CUT_TIMEOUT, is_closed).await;
    }
}

/// Forwards all links until the process ends.
pub async fn run(options: FaultProxyOptions) -> anyhow::Result<()> {
    let single = options.listen.zip(options.to);
    let single = single.map(|(listen, to)| LinkAddresses { listen, to });
    let mut links = Vec::new();
    for addresses in single.into_iter().chain(options.links) {
        let listener = http::bind(addresses.listen).await?;
        let mode = watch::Sender::new(Mode::Pass);
        let (listening, is_listening) = watch::channel(true);
        let connections = Arc::new(());
        tokio::spawn(accept_connections(
            addresses,
            listener,
            mode.subscribe(),
            listening,
            Arc::clone(&connections),
        ));
        links.push(Link {
            addresses,
            mode,
            is_listening,
            connections,
        });
    }
    anyhow::ensure!(
        !links.is_empty(),
        "no link is given: use --listen with --to, or --link"
    );
    let links = Arc::new(links);
    let listener = http::bind(options.control).await?;
    http::serve(listener, move |call| {
        let links = Arc::clone(&links);
        async move { Some(control(&links, &call).await) }
    })
    .await
}

/// Handles a control call: sets the mode of the link that the query names, or of all links.
async fn control(links: &[Link], call: &Call) -> Reply {
    let mode = match call.path.as_str() {
        "/control/pass" | "/control/resume" => Mode::Pass,
        "/control/cut" => Mode::Cut,
        "/control/freeze" => Mode::Freeze,
        "/control/delay" => {
            Mode::Delay(Duration::from_millis(call.query_number("ms").unwrap_or(0)))
        }
        "/control/half-open" => match call.query.get("forward").map(String::as_str) {
            Some("from") => Mode::HalfOpen(Direction::From),
            _ => Mode::HalfOpen(Direction::To),
        },
        "/control/state" => {
            let mode_text = |link: &Link| format!("{:?}", *link.mode.borrow());
            let states: Vec<_> = links
                .iter()
                .map(|link| json!({ "listen": link.addresses.listen, "to": link.addresses.to, "mode": mode_text(link) }))
                .collect();
            return http::json(StatusCode::OK, &states);
        }
        _ => return http::status(StatusCode::NOT_FOUND),
    };
    let selected = call.query.get("link");
    let is_selected =
        |link: &&Link| selected.is_none_or(|listen| link.addresses.listen.to_string() == *listen);
    let mut found = false;
    for link in links.iter().filter(is_selected) {
        link.mode.send_replace(mode);
        if mode == Mode::Cut {
            link.wait_until_cut().await;
        }
        found = true;
    }
    http::status(if found {
        StatusCode::OK
    } else {
        StatusCode::NOT_FOUND
    })
}

/// Accepts the connections of one link; while the link is cut, it does not listen.
async fn accept_connections(
    addresses: LinkAddresses,
    listener: TcpListener,
    mut mode: watch::Receiver<Mode>,
    listening: watch::Sender<bool>,
    connections: Arc<()>,
) {
    let mut listener = Some(listener);
    loop {
        if *mode.borrow_and_update() == Mode::Cut {
            // Once the listener is closed, the kernel refuses new connections.
            listener = None;
            listening.send_replace(false);
            if mode.wait_for(|mode| *mode != Mode::Cut).await.is_err() {
                return;
            }
        }
        let Some(bound) = &listener else {
            listener = TcpListener::bind(addresses.listen).await.ok();
            listening.send_replace(listener.is_some());
            if listener.is_none() {
                tokio::time::sleep(REBIND_INTERVAL).await;
            }
            continue;
        };
        tokio::select! {
            accepted = bound.accept() => if let Ok((stream, _)) = accepted {
                let (connection, mode) = (Arc::clone(&connections), mode.clone());
                tokio::spawn(async move {
                    forward_connection(stream, addresses.to, mode).await;
                    drop(connection);
                });
            },
            changed = mode.changed() => if changed.is_err() { return },
        }
    }
}

/// Forwards one connection in both directions until both have ended or the link is cut.
async fn forward_connection(
    mut client: TcpStream,
    address: SocketAddr,
    mut mode: watch::Receiver<Mode>,
) {
    let Ok(mut server) = TcpStream::connect(address).await else {
        let _ = client.set_zero_linger();
        return;
    };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (client_read, client_write) = client.split();
    let (server_read, server_write) = server.split();
    let to_server = forward_direction(client_read, server_write, Direction::To, mode.clone());
    let to_client = forward_direction(server_read, client_write, Direction::From, mode.clone());
    let is_cut = tokio::select! {
        _ = async { tokio::join!(to_server, to_client) } => false,
        _ = mode.wait_for(|mode| *mode == Mode::Cut) => true,
    };
    if is_cut {
        // With a linger time of zero, closing the connections sends a reset to both sides
        // instead of an orderly end.
        let _ = (client.set_zero_linger(), server.set_zero_linger());
    }
}

/// Forwards one direction of a connection. Each chunk is sent at the time of its arrival plus
/// the delay, or later, when the mode allows it.
async fn forward_direction(
    mut reader: ReadHalf<'_>,
    mut writer: WriteHalf<'_>,
    direction: Direction,
    mode: watch::Receiver<Mode>,
) {
    let (sender, mut receiver) = mpsc::channel::<(Instant, Vec<u8>)>(MAX_BUFFERED_CHUNKS);
    let mut writer_mode = mode.clone();
    let read = async move {
        loop {
            let mut chunk = vec![0; MAX_CHUNK_BYTES];
            let Ok(size @ 1..) = reader.read(&mut chunk).await else {
                return;
            };
            chunk.truncate(size);
            let send_at = Instant::now() + mode.borrow().delay();
            if sender.send((send_at, chunk)).await.is_err() {
                return;
            }
        }
    };
    let write = async move {
        while let Some((send_at, chunk)) = receiver.recv().await {
            tokio::time::sleep_until(send_at).await;
            let allowed = writer_mode.wait_for(|mode| mode.forwards(direction));
            if allowed.await.is_err() || writer.write_all(&chunk).await.is_err() {
                return;
            }
        }
        let _ = writer.shutdown().await;
    };
    tokio::join!(read, write);
}
