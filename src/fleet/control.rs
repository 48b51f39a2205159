//! The control thread: exchanges the membership with other VMs by gossip, and publishes it with what
//! is known of the platform's store as one view to the traffic thread.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32};

use parking_lot::Mutex;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use slog::{Logger, info, warn};
use tokio::net::UdpSocket;
use tokio::sync::{Notify, watch};
use tokio::time::sleep;

use crate::clock;
use crate::decisions::gossip::{Gossip, GossipConfig, GossipMessage, Outgoing, OutgoingList};
use crate::decisions::store_view::{StoreView, StoreViewConfig};
use crate::fleet::control_state::Control;
use crate::fleet::crash_reports::{CrashBoard, share_crash_reports};
use crate::fleet::load_reports::LoadBoard;
use crate::fleet::metric;
use crate::fleet::model::FleetVm;
use crate::fleet::peers::Peers;
use crate::fleet::settings::FleetSettings;
use crate::fleet::store_apply::expire_entries;
use crate::fleet::store_calls::{fetch_newer_peer_state, take_older_state};
use crate::fleet::store_feed::{StoreFeed, WordOffers};
use crate::fleet::store_follow::follow_store;
use crate::fleet::supervise::supervise;
use crate::fleet::unreadable_items::Reports;
use crate::fleet::view::FleetView;
use crate::fleet::wire::{decode_gossip, encode_gossip};
use crate::units::Incarnation;

/// Number of known VMs that is assumed when fewer are known. The VMs' shares of a fleet-wide
/// limit then add up to less than the limit even while the VMs of a fleet that just started have
/// not found each other yet.
const MIN_KNOWN_VMS: u32 = 8;
/// Largest gossip datagram that can be received.
const MAX_DATAGRAM_BYTES: usize = 8 * 1024;

/// Channels on which the control thread publishes its state.
pub struct Publications {
    /// The view that requests are served from.
    pub view: watch::Sender<Arc<FleetView>>,
    /// Word of the store for other VMs.
    pub feed: watch::Sender<Arc<StoreFeed>>,
    /// VMs that had a later word of the store than this one when they listened to it.
    pub offers: Arc<WordOffers>,
    /// Evidence of crashed engines, which the control thread shares with other VMs.
    pub crashes: Arc<CrashBoard>,
    /// Loads of endpoints, which the control thread exchanges with other VMs.
    pub loads: Arc<LoadBoard>,
}

/// Runs the control thread until the process ends.
///
/// # Errors
///
/// Returns why the socket for gossip cannot be bound.
pub async fn run_control(
    settings: FleetSettings,
    incarnation: Incarnation,
    logger: Logger,
    publications: Publications,
    stopping: watch::Receiver<bool>,
    mut reloaded: watch::Receiver<Option<FleetSettings>>,
) -> anyhow::Result<()> {
    let own_vm = FleetVm {
        name: settings.vm.clone(),
        ip: settings.ip,
        data_centre: settings.data_centre.clone(),
        size: settings.size,
    };
    let rng = ChaCha8Rng::seed_from_u64(incarnation.0 ^ u64::from(u32::from(settings.ip)));
    let seeds = settings.seeds.iter().copied();
    let config = GossipConfig::default();
    let gossip = Gossip::new(config, own_vm.clone(), incarnation.0, seeds, rng);
    let socket = UdpSocket::bind((settings.ip, settings.gossip_port)).await?;
    let control = Arc::new(Control {
        peers: Peers::new(settings.peer_port, logger.clone()),
        settings: Mutex::new(settings),
        own_vm,
        logger,
        store: Mutex::new(StoreView::new(StoreViewConfig::default())),
        gossip: Mutex::new(gossip),
        view: publications.view,
        feed: publications.feed,
        offers: publications.offers,
        stopping,
        peer_is_newer: Notify::new(),
        lag: Mutex::default(),
        word_at: Mutex::default(),
        knows_older_state: AtomicBool::new(false),
        listing: Mutex::default(),
        incomplete_checks: AtomicU32::new(0),
        reports: Reports::default(),
        crashes: publications.crashes,
        loads: publications.loads,
    });
    tokio::spawn(metric::measure_thread("control"));
    spawn_supervised(&control, "store", follow_store);
    spawn_supervised(&control, "state of other VMs", fetch_newer_peer_state);
    spawn_supervised(&control, "state of older VMs", take_older_state);
    spawn_supervised(&control, "expiry", expire_entries);
    spawn_supervised(&control, "crash reports", share_crash_reports);
    tokio::spawn({
        let control = Arc::clone(&control);
        async move {
            while reloaded.changed().await.is_ok() {
                let Some(settings) = reloaded.borrow_and_update().clone() else {
                    continue;
                };
                control
                    .gossip
                    .lock()
                    .set_seeds(settings.seeds.iter().copied());
                *control.settings.lock() = settings;
            }
        }
    });
    let logger = control.logger.clone();
    supervise(logger, "gossip", || run_gossip(&control, &socket)).await;
    Ok(())
}

/// Starts a task of the control thread, and starts it again when it fails.
fn spawn_supervised<F: Future<Output = ()> + Send + 'static>(
    control: &Arc<Control>,
    task: &'static str,
    run: impl Fn(Arc<Control>) -> F + Send + Sync + 'static,
) {
    let (logger, control) = (control.logger.clone(), Arc::clone(control));
    let start = move || run(Arc::clone(&control));
    tokio::spawn(supervise(logger, task, start));
}

/// Sends and receives gossip, and publishes the VMs that serve after each change. Announces the
/// leave of this VM once when a planned stop begins.
async fn run_gossip(control: &Control, socket: &UdpSocket) {
    let mut stopping = control.stopping.clone();
    let mut datagram = vec![0; MAX_DATAGRAM_BYTES];
    let mut has_left = false;
    let mut published_version = None;
    loop {
        let is_stopping = *stopping.borrow_and_update();
        let outgoing = {
            let mut gossip = control.gossip.lock();
            if is_stopping && !has_left {
                has_left = true;
                gossip.leave()
            } else {
                gossip.set_serving(!is_stopping && control.view.borrow().configuration.is_some())
            }
        };
        send_all(control, socket, &outgoing).await;
        let version = control.gossip.lock().version();
        if published_version.replace(version) != Some(version) {
            publish_vms(control);
        }
        let now = clock::now();
        let until_tick = control.gossip.lock().next_tick_at().since(now);
        let mut view = control.view.subscribe();
        tokio::select! {
            () = sleep(until_tick) => {
                let outgoing = control.gossip.lock().tick(clock::now());
                send_all(control, socket, &outgoing).await;
            }
            received = socket.recv_from(&mut datagram) => {
                // An error means that the VM to which an earlier datagram went is down.
                if let Ok((size, from)) = received {
                    let outgoing = receive_datagram(control, &datagram[..size], from);
                    send_all(control, socket, &outgoing).await;
                }
            }
            _ = stopping.changed() => {}
            _ = view.changed() => {}
        }
    }
}

fn receive_datagram(control: &Control, datagram: &[u8], from: SocketAddr) -> OutgoingList {
    metric::peer_message("received", "gossip", datagram.len());
    match decode_gossip(datagram) {
        Ok(message) if from.ip() != message.sender.vm.ip => {
            warn!(control.logger, "membership: a datagram is not from its sender and was dropped";
                "from" => %from, "sender" => %message.sender.vm.name);
            OutgoingList::new()
        }
        Ok(message) => {
            note_store_progress(control, &message);
            control.gossip.lock().receive(clock::now(), &message)
        }
        Err(error) => {
            warn!(control.logger, "membership: a datagram cannot be decoded and was dropped";
                "from" => %from, "error" => format!("{error:#}"));
            OutgoingList::new()
        }
    }
}

async fn send_all(control: &Control, socket: &UdpSocket, outgoing: &[Outgoing]) {
    let port = control.settings.lock().gossip_port;
    for Outgoing { to, message } in outgoing {
        let datagram = encode_gossip(message);
        metric::peer_message("sent", "gossip", datagram.len());
        if let Err(error) = socket.send_to(&datagram, (*to, port)).await {
            // No resend is needed: the next gossip period makes up for a lost datagram.
            slog::debug!(control.logger, "membership: a datagram was not sent";
                "to" => %to, "error" => %error);
        }
    }
}

/// Notes how far the sender of a message has followed the store.
fn note_store_progress(control: &Control, message: &GossipMessage) {
    let sender = message.sender.vm.ip;
    let now = clock::now();
    let own = {
        let mut store = control.store.lock();
        store.on_peer_position(now, message.store.position);
        store.progress()
    };
    let mut lag = control.lag.lock();
    if lag.on_report(now, own, sender, message.store) {
        control.peer_is_newer.notify_one();
    }
}

/// Publishes the VMs that serve and the share count.
fn publish_vms(control: &Control) {
    let (changes, vms, known_vms, has_met_fleet) = {
        let mut gossip = control.gossip.lock();
        let vms: std::collections::BTreeMap<_, _> = gossip
            .serving()
            .map(|vm| (vm.name.clone(), vm.clone()))
            .collect();
        let has_met_fleet = gossip.has_met();
        let known_vms = gossip.known_count();
        (gossip.take_changes(), vms, known_vms, has_met_fleet)
    };
    if has_met_fleet && !control.view.borrow().has_met_fleet {
        info!(control.logger, "membership: this VM has met its fleet"; "vms" => vms.len(),
            "known" => known_vms);
    }
    for change in &changes {
        info!(control.logger, "membership: a VM changed"; "vm" => %change.vm,
            "state" => format!("{:?}", change.state), "incarnation" => change.incarnation);
    }
    let share_count = u32::try_from(known_vms)
        .unwrap_or(u32::MAX)
        .max(MIN_KNOWN_VMS)
        + 1;
    control.view.send_modify(|view| {
        let mut next = FleetView::clone(view);
        if *next.vms != vms {
            next.set_vms(vms);
        }
        next.share_count = share_count;
        next.has_met_fleet = has_met_fleet;
        *view = Arc::new(next);
    });
}
