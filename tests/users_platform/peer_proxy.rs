//! A proxy between some VMs of a fleet and all others, which can cut them off.
//!
//! The VMs behind it have peer ports of their own; the proxy listens at the ports that the others call and the other
//! way round. It forwards the calls between VMs and gossip.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::Fleet;

/// First peer port of the VMs before the proxy and of those behind it. Gossip uses the first port, calls the next one.
const OUTER_PORT: u16 = 7_740;
const INNER_PORT: u16 = 7_760;

/// Proxy of one fleet.
pub struct PeerProxy {
    is_cut: watch::Sender<bool>,
    _tasks: JoinSet<()>,
}

impl PeerProxy {
    /// Puts the VMs with the indexes `inner` behind a proxy. None of the fleet may have started.
    pub async fn start(fleet: &Fleet, inner: &[usize]) -> Self {
        let (is_cut, cut) = watch::channel(false);
        let mut tasks = JoinSet::new();
        for (index, vm) in fleet.vms.iter().enumerate() {
            let is_inner = inner.contains(&index);
            if is_inner {
                let text = std::fs::read_to_string(&vm.settings).unwrap();
                let ports = |first: u16| format!("peer_ports = [{first}, {}]", first + 15);
                let text = text.replace(&ports(OUTER_PORT), &ports(INNER_PORT));
                std::fs::write(&vm.settings, text).unwrap();
            }
            let (from, to) = match is_inner {
                true => (OUTER_PORT, INNER_PORT),
                false => (INNER_PORT, OUTER_PORT),
            };
            let calls = TcpListener::bind((vm.ip, from + 1)).await.unwrap();
            tasks.spawn(forward_calls(calls, (vm.ip, to + 1).into(), cut.clone()));
            let gossip = UdpSocket::bind((vm.ip, from)).await.unwrap();
            tasks.spawn(forward_gossip(gossip, (vm.ip, to).into(), cut.clone()));
        }
        Self {
            is_cut,
            _tasks: tasks,
        }
    }

    /// Cuts the VMs behind the proxy off: connections stay open and carry nothing, datagrams are lost.
    pub fn cut(&self) {
        self.is_cut.send_replace(true);
    }

    /// Ends the cut. Connections carry what was sent meanwhile.
    pub fn heal(&self) {
        self.is_cut.send_replace(false);
    }
}

async fn forward_calls(listener: TcpListener, to: SocketAddr, cut: watch::Receiver<bool>) {
    let mut connections = JoinSet::new();
    while let Ok((near, _)) = listener.accept().await {
        let cut = cut.clone();
        connections.spawn(async move {
            let Ok(far) = TcpStream::connect(to).await else {
                return;
            };
            let (near_reader, near_writer) = near.into_split();
            let (far_reader, far_writer) = far.into_split();
            tokio::select! {
                () = copy(near_reader, far_writer, cut.clone()) => {}
                () = copy(far_reader, near_writer, cut) => {}
            }
        });
    }
}

/// Copies one direction of a connection while there is no cut.
async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, mut cut: watch::Receiver<bool>) {
    let mut buffer = vec![0; 16 << 10];
    loop {
        let Ok(bytes @ 1..) = from.read(&mut buffer).await else {
            return;
        };
        if cut.wait_for(|is_cut| !is_cut).await.is_err()
            || to.write_all(&buffer[..bytes]).await.is_err()
        {
            return;
        }
    }
}

/// Forwards datagrams from the address of their sender, by which VMs check them.
async fn forward_gossip(socket: UdpSocket, to: SocketAddr, cut: watch::Receiver<bool>) {
    let mut senders: HashMap<Ipv4Addr, Arc<UdpSocket>> = HashMap::new();
    let mut datagram = vec![0; 64 << 10];
    loop {
        // An error means that the VM to which an earlier datagram went is down.
        let Ok((bytes, SocketAddr::V4(from))) = socket.recv_from(&mut datagram).await else {
            continue;
        };
        if *cut.borrow() {
            continue;
        }
        let sender = match senders.get(from.ip()) {
            Some(sender) => Arc::clone(sender),
            None => {
                let sender = Arc::new(UdpSocket::bind((*from.ip(), 0)).await.unwrap());
                senders.insert(*from.ip(), Arc::clone(&sender));
                sender
            }
        };
        let _ = sender.send_to(&datagram[..bytes], to).await;
    }
}
