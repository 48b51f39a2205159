//! A TCP proxy that injects faults between two processes.

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

/// Chunks read ahead in each direction; more stay in the kernel, so that a frozen link
/// pushes back on its sender.
const CHUNKS_AHEAD: usize = 256;

/// Bytes read at once.
const CHUNK_BYTES: usize = 16 << 10;

/// Time between attempts to listen again after a cut.
const REBIND: Duration = Duration::from_millis(20);

/// Flags of `fault-proxy`.
#[derive(Args)]
pub struct FaultProxyOptions {
    /// Address to listen on, for a single link.
    #[arg(long, value_name = "ADDR", requires = "to")]
    listen: Option<SocketAddr>,
    /// Address to forward to, for a single link.
    #[arg(long, value_name = "ADDR", requires = "listen")]
    to: Option<SocketAddr>,
    /// A link, LISTEN=TO. Repeat for more.
    #[arg(long = "link", value_name = "LISTEN=TO")]
    links: Vec<LinkAddresses>,
    /// Address of the HTTP control.
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
        let wrong = || format!("{text:?} is not LISTEN=TO with two addresses");
        let (listen, to) = text.split_once('=').ok_or_else(wrong)?;
        Ok(Self {
            listen: listen.parse().map_err(|_| wrong())?,
            to: to.parse().map_err(|_| wrong())?,
        })
    }
}

/// What a link does with bytes. `to` is the direction from the connecting side.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mode {
    Pass,
    Delay(Duration),
    /// Resets connections and refuses new ones.
    Cut,
    /// Keeps connections open and forwards nothing until a later mode.
    Freeze,
    HalfOpen(Direction),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    To,
    From,
}

impl Mode {
    fn forwards(self, direction: Direction) -> bool {
        match self {
            Self::Pass | Self::Delay(_) => true,
            Self::Cut | Self::Freeze => false,
            Self::HalfOpen(open) => open == direction,
        }
    }

    fn delay(self) -> Duration {
        match self {
            Self::Delay(delay) => delay,
            _ => Duration::ZERO,
        }
    }
}

struct Link {
    addresses: LinkAddresses,
    mode: watch::Sender<Mode>,
}

/// Forwards all links until the process ends.
pub async fn run(options: FaultProxyOptions) -> anyhow::Result<()> {
    let single = options.listen.zip(options.to);
    let single = single.map(|(listen, to)| LinkAddresses { listen, to });
    let mut links = Vec::new();
    for addresses in single.into_iter().chain(options.links) {
        let listener = http::bind(addresses.listen).await?;
        let mode = watch::Sender::new(Mode::Pass);
        tokio::spawn(accept(addresses, listener, mode.subscribe()));
        links.push(Link { addresses, mode });
    }
    anyhow::ensure!(!links.is_empty(), "give --listen and --to, or --link");
    let links = Arc::new(links);
    let listener = http::bind(options.control).await?;
    http::serve(listener, move |call| {
        let reply = control(&links, &call);
        async move { Some(reply) }
    })
    .await
}

fn control(links: &[Link], call: &Call) -> Reply {
    let mode = match call.path.as_str() {
        "/control/pass" | "/control/resume" => Mode::Pass,
        "/control/cut" => Mode::Cut,
        "/control/freeze" => Mode::Freeze,
        "/control/delay" => Mode::Delay(Duration::from_millis(call.number("ms").unwrap_or(0))),
        "/control/half-open" => match call.query.get("forward").map(String::as_str) {
            Some("from") => Mode::HalfOpen(Direction::From),
            _ => Mode::HalfOpen(Direction::To),
        },
        "/control/state" => {
            let text = |link: &Link| format!("{:?}", *link.mode.borrow());
            let states: Vec<_> = links
                .iter()
                .map(|link| json!({ "listen": link.addresses.listen, "to": link.addresses.to, "mode": text(link) }))
                .collect();
            return http::json(StatusCode::OK, &states);
        }
        _ => return http::status(StatusCode::NOT_FOUND),
    };
    let wanted = call.query.get("link");
    let is_wanted =
        |link: &&Link| wanted.is_none_or(|text| link.addresses.listen.to_string() == *text);
    let mut found = false;
    for link in links.iter().filter(is_wanted) {
        link.mode.send_replace(mode);
        found = true;
    }
    http::status(if found {
        StatusCode::OK
    } else {
        StatusCode::NOT_FOUND
    })
}

async fn accept(addresses: LinkAddresses, listener: TcpListener, mut mode: watch::Receiver<Mode>) {
    let mut listener = Some(listener);
    loop {
        if *mode.borrow_and_update() == Mode::Cut {
            // Closing the listener makes the kernel refuse new connections.
            listener = None;
            if mode.wait_for(|mode| *mode != Mode::Cut).await.is_err() {
                return;
            }
        }
        let Some(open) = &listener else {
            listener = TcpListener::bind(addresses.listen).await.ok();
            if listener.is_none() {
                tokio::time::sleep(REBIND).await;
            }
            continue;
        };
        tokio::select! {
            accepted = open.accept() => if let Ok((stream, _)) = accepted {
                tokio::spawn(forward(stream, addresses.to, mode.clone()));
            },
            changed = mode.changed() => if changed.is_err() { return },
        }
    }
}

async fn forward(mut from: TcpStream, address: SocketAddr, mut mode: watch::Receiver<Mode>) {
    let Ok(mut to) = TcpStream::connect(address).await else {
        let _ = from.set_zero_linger();
        return;
    };
    let _ = (from.set_nodelay(true), to.set_nodelay(true));
    let (from_read, from_write) = from.split();
    let (to_read, to_write) = to.split();
    let there = pump(from_read, to_write, Direction::To, mode.clone());
    let back = pump(to_read, from_write, Direction::From, mode.clone());
    let is_cut = tokio::select! {
        _ = async { tokio::join!(there, back) } => false,
        _ = mode.wait_for(|mode| *mode == Mode::Cut) => true,
    };
    if is_cut {
        // Without a linger time both sides see a reset instead of an orderly end.
        let _ = (from.set_zero_linger(), to.set_zero_linger());
    }
}

/// Copies one direction; each chunk leaves at its time of arrival plus the delay, as soon as
/// the mode lets it.
async fn pump(
    mut reader: ReadHalf<'_>,
    mut writer: WriteHalf<'_>,
    direction: Direction,
    mode: watch::Receiver<Mode>,
) {
    let (sender, mut receiver) = mpsc::channel::<(Instant, Vec<u8>)>(CHUNKS_AHEAD);
    let mut writer_mode = mode.clone();
    let read = async move {
        loop {
            let mut chunk = vec![0; CHUNK_BYTES];
            let Ok(size @ 1..) = reader.read(&mut chunk).await else {
                return;
            };
            chunk.truncate(size);
            let due = Instant::now() + mode.borrow().delay();
            if sender.send((due, chunk)).await.is_err() {
                return;
            }
        }
    };
    let write = async move {
        while let Some((due, chunk)) = receiver.recv().await {
            tokio::time::sleep_until(due).await;
            let open = writer_mode.wait_for(|mode| mode.forwards(direction));
            if open.await.is_err() || writer.write_all(&chunk).await.is_err() {
                return;
            }
        }
        let _ = writer.shutdown().await;
    };
    tokio::join!(read, write);
}
