//! The control thread: follows the platform's store, keeps the membership, publishes the view.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use slog::{Logger, error, info, warn};
use tokio::net::UdpSocket;
use tokio::sync::{Notify, watch};
use tokio::time::sleep;

use crate::clock;
use crate::decisions::gossip::{Gossip, GossipConfig, GossipMessage, Outgoing, OutgoingList};
use crate::decisions::store_view::{StoreChange, StoreView, StoreViewConfig};
use crate::fleet::model::{Endpoint, FleetView, FleetVm};
use crate::fleet::peer_state::decode_state;
use crate::fleet::peers::Peers;
use crate::fleet::settings::FleetSettings;
use crate::fleet::wire::{Body, Nothing, decode_gossip, encode_gossip};
use crate::platform::configuration::decode_configuration;
use crate::platform::endpoint_entry::decode_endpoint;
use crate::platform::store::{
    ENDPOINTS_PREFIX, OPERATOR_PREFIX, StoreAnswer, StoreClient, StoreItem, StoreKey, Watched,
};
use crate::units::Incarnation;

/// Maximum wait of one watch in a small fleet. A watch whose connection fell silent is found by
/// what other VMs know ([`MAX_LAG`]), and after this time where none knows more.
const WATCH_WAIT: Duration = Duration::from_millis(2_000);
/// VMs up to which watches wait that long. In larger fleets they wait longer, so that the calls
/// to the store do not grow with the number of VMs and some watch ends just as often.
const WATCH_WAIT_VMS: u32 = 8;
/// Maximum wait of one watch in a large fleet.
const MAX_WATCH_WAIT: Duration = Duration::from_millis(10_000);
/// Time for which another VM may know a newer state of the store while the own watch is open.
/// Watches pause for [`CHANGES_PAUSE`] after a change, and news takes a period of gossip.
const MAX_LAG: Duration = Duration::from_millis(800);
/// Pause after a watch that brought changes, so that a series of changes costs few calls. A
/// configuration has to be in force within two seconds, and an endpoint left.
const CHANGES_PAUSE: Duration = Duration::from_millis(450);
/// Initial and maximum pause after a failed call to the store.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(900);
/// Time without the store after which another VM is asked for its state.
const ASK_PEERS_AFTER: Duration = Duration::from_millis(300);
/// Minimum time between two such questions.
const ASK_PEERS_PERIOD: Duration = Duration::from_millis(500);
/// VMs that are assumed while fewer are known: the sum of the shares of fleet-wide limits then
/// stays below the limit also while a fleet that starts has not met yet.
const MIN_SHARES: u32 = 8;
/// Largest datagram.
const DATAGRAM_BYTES: usize = 8 * 1024;

/// What the tasks of the control thread share.
struct Control {
    settings: Mutex<FleetSettings>,
    logger: Logger,
    store: Mutex<StoreView>,
    gossip: Mutex<Gossip>,
    view: watch::Sender<Arc<FleetView>>,
    stopping: watch::Receiver<bool>,
    peers: Arc<Peers>,
    peer_is_newer: Notify,
    newest_peer: Mutex<Option<(Ipv4Addr, u64)>>,
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
    view: watch::Sender<Arc<FleetView>>,
    stopping: watch::Receiver<bool>,
    mut reloaded: watch::Receiver<Option<FleetSettings>>,
) -> anyhow::Result<()> {
    let own = FleetVm {
        name: settings.vm.clone(),
        ip: settings.ip,
        data_centre: settings.data_centre.clone(),
    };
    let rng = ChaCha8Rng::seed_from_u64(incarnation.0 ^ u64::from(u32::from(settings.ip)));
    let seeds = settings.seeds.iter().copied();
    let gossip = Gossip::new(GossipConfig::default(), own, incarnation.0, seeds, rng);
    let socket = UdpSocket::bind((settings.ip, settings.gossip_port)).await?;
    let control = Arc::new(Control {
        peers: Peers::new(settings.peer_port, logger.clone()),
        settings: Mutex::new(settings),
        logger,
        store: Mutex::new(StoreView::new(StoreViewConfig::default())),
        gossip: Mutex::new(gossip),
        view,
        stopping,
        peer_is_newer: Notify::new(),
        newest_peer: Mutex::default(),
    });
    tokio::spawn(follow_store(Arc::clone(&control)));
    tokio::spawn(follow_peers(Arc::clone(&control)));
    tokio::spawn(expire_entries(Arc::clone(&control)));
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
    run_gossip(&control, &socket).await;
    Ok(())
}

async fn run_gossip(control: &Control, socket: &UdpSocket) {
    let mut stopping = control.stopping.clone();
    let mut datagram = vec![0; DATAGRAM_BYTES];
    let mut has_left = false;
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
        publish_vms(control);
        let now = clock::now();
        let due = control.gossip.lock().next_tick_at().since(now);
        let mut view = control.view.subscribe();
        tokio::select! {
            () = sleep(due) => {
                let outgoing = control.gossip.lock().tick(clock::now());
                send_all(control, socket, &outgoing).await;
            }
            received = socket.recv_from(&mut datagram) => {
                // An error reports that the VM of an earlier datagram is down.
                if let Ok((size, from)) = received {
                    let outgoing = receive(control, &datagram[..size], from);
                    send_all(control, socket, &outgoing).await;
                }
            }
            _ = stopping.changed() => {}
            _ = view.changed() => {}
        }
    }
}

fn receive(control: &Control, datagram: &[u8], from: SocketAddr) -> OutgoingList {
    match decode_gossip(datagram) {
        Ok(message) => {
            note_versions(control, &message);
            control.gossip.lock().receive(clock::now(), &message)
        }
        Err(error) => {
            warn!(control.logger, "membership: a datagram was dropped";
                "from" => %from, "error" => format!("{error:#}"));
            OutgoingList::new()
        }
    }
}

async fn send_all(control: &Control, socket: &UdpSocket, outgoing: &[Outgoing]) {
    let port = control.settings.lock().gossip_port;
    for Outgoing { to, message } in outgoing {
        let datagram = encode_gossip(message);
        if let Err(error) = socket.send_to(&datagram, (*to, port)).await {
            // Lost datagrams are made up for by the next period.
            slog::debug!(control.logger, "membership: a datagram was not sent";
                "to" => %to, "error" => %error);
        }
    }
}

/// Remembers the sender with the newest state of the store.
fn note_versions(control: &Control, message: &GossipMessage) {
    let own = control.store.lock().revision;
    if message.store_revision <= own {
        return;
    }
    let mut newest = control.newest_peer.lock();
    if newest.is_none_or(|(_, revision)| message.store_revision >= revision) {
        *newest = Some((message.sender.vm.ip, message.store_revision));
        control.peer_is_newer.notify_one();
    }
}

fn publish_vms(control: &Control) {
    let (changes, vms, known) = {
        let mut gossip = control.gossip.lock();
        let vms: std::collections::BTreeMap<_, _> = gossip
            .serving()
            .map(|vm| (vm.name.clone(), vm.clone()))
            .collect();
        (gossip.take_changes(), vms, gossip.known_count())
    };
    for change in &changes {
        info!(control.logger, "membership: a VM changed"; "vm" => %change.vm,
            "state" => format!("{:?}", change.state), "incarnation" => change.incarnation);
    }
    let share_count = u32::try_from(known).unwrap_or(u32::MAX).max(MIN_SHARES) + 1;
    let is_current = {
        let view = control.view.borrow();
        view.vms == vms && view.share_count == share_count
    };
    if !is_current {
        control.view.send_modify(|view| {
            let mut next = FleetView::clone(view);
            next.vms = vms;
            next.share_count = share_count;
            *view = Arc::new(next);
        });
    }
}

fn publish_store(control: &Control) {
    let store = control.store.lock();
    control.gossip.lock().store_revision = store.revision;
    control.view.send_modify(|view| {
        let mut next = FleetView::clone(view);
        store.fill(&mut next);
        *view = Arc::new(next);
    });
}

/// Lists the store once and then follows its changes.
async fn follow_store(control: Arc<Control>) {
    let mut pause = RETRY_PAUSE;
    let mut needs_listing = true;
    let mut rng = ChaCha8Rng::seed_from_u64(u64::from(u32::from(control.settings.lock().ip)));
    loop {
        let client = {
            let settings = control.settings.lock();
            StoreClient {
                address: settings.platform_address,
                own_ip: settings.ip,
            }
        };
        match follow_once(&control, client, needs_listing).await {
            Ok(next_needs_listing) => {
                needs_listing = next_needs_listing;
                pause = RETRY_PAUSE;
            }
            Err(error) => {
                if control.store.lock().on_call_failed(clock::now()) {
                    warn!(control.logger, "store: lost"; "error" => format!("{error:#}"),
                        "revision" => control.store.lock().revision);
                }
                sleep(pause.mul_f64(rng.random_range(0.5..1.0))).await;
                pause = (pause * 2).min(MAX_RETRY_PAUSE);
            }
        }
    }
}

/// Makes one listing or one watch; returns whether a listing has to follow.
async fn follow_once(
    control: &Control,
    client: StoreClient,
    needs_listing: bool,
) -> anyhow::Result<bool> {
    if needs_listing {
        let operator = client.list(OPERATOR_PREFIX).await?;
        let endpoints = client.list(ENDPOINTS_PREFIX).await?;
        note_answer(control);
        // The earlier revision: changes between the two listings come again with the watch.
        let revision = operator.revision.min(endpoints.revision);
        let items = operator.items.into_iter().chain(endpoints.items);
        let changes = items
            .filter_map(|item| decode_change(control, item))
            .collect();
        control
            .store
            .lock()
            .apply_listing(clock::now(), changes, revision);
        info!(control.logger, "store: listed"; "revision" => revision);
        publish_store(control);
        return Ok(false);
    }
    let after = control.store.lock().revision;
    match client.watch("", after, watch_wait(control)).await? {
        Watched::HistoryLost => {
            info!(control.logger, "store: the history is gone"; "after" => after);
            note_answer(control);
            Ok(true)
        }
        Watched::Changes(answer) => {
            note_answer(control);
            if apply_changes(control, answer) {
                publish_store(control);
                sleep(CHANGES_PAUSE).await;
            }
            Ok(false)
        }
    }
}

/// Returns how long a watch waits for changes.
fn watch_wait(control: &Control) -> Duration {
    let vms = u32::try_from(control.view.borrow().vms.len()).unwrap_or(u32::MAX);
    let factor = f64::from(vms.max(WATCH_WAIT_VMS)) / f64::from(WATCH_WAIT_VMS);
    WATCH_WAIT.mul_f64(factor).min(MAX_WATCH_WAIT)
}

fn note_answer(control: &Control) {
    if let Some(outage) = control.store.lock().on_answer(clock::now()) {
        info!(control.logger, "store: regained"; "outage_ms" => outage.as_millis() as u64);
    }
}

/// Takes over the changes of a watch; returns whether any matters.
fn apply_changes(control: &Control, answer: StoreAnswer) -> bool {
    let mut is_changed = false;
    let now = clock::now();
    for item in answer.items {
        if let Some(change) = decode_change(control, item) {
            is_changed |= control.store.lock().apply(now, change);
        }
    }
    let mut store = control.store.lock();
    store.revision = store.revision.max(answer.revision);
    control.gossip.lock().store_revision = store.revision;
    is_changed
}

fn decode_change(control: &Control, item: StoreItem) -> Option<StoreChange> {
    let StoreItem {
        key,
        revision,
        value,
    } = item;
    match key {
        StoreKey::Configuration => match decode_configuration(value?) {
            Ok(configuration) => {
                info!(control.logger, "configuration: received";
                    "version" => configuration.version, "revision" => revision);
                Some(StoreChange::Configuration(Arc::new(configuration)))
            }
            Err(error) => {
                error!(control.logger, "configuration: not taken";
                    "revision" => revision, "error" => format!("{error:#}"));
                None
            }
        },
        StoreKey::Evacuation(data_centre) => {
            info!(control.logger, "evacuation: changed"; "data_centre" => &data_centre,
                "evacuated" => value.is_some(), "revision" => revision);
            Some(StoreChange::Evacuation {
                data_centre,
                revision,
                is_evacuated: value.is_some(),
            })
        }
        StoreKey::Endpoint(id) => {
            let endpoint = value.and_then(|value| {
                let decoded = decode_endpoint(&id, &value, clock::now());
                decoded
                    .map_err(|error| {
                        warn!(control.logger, "endpoints: an entry cannot be used";
                            "endpoint" => &id, "error" => format!("{error:#}"));
                    })
                    .ok()
            });
            log_endpoint(control, &id, revision, endpoint.as_ref());
            Some(StoreChange::Endpoint {
                id,
                revision,
                endpoint: endpoint.map(Arc::new),
            })
        }
        StoreKey::Other => None,
    }
}

fn log_endpoint(control: &Control, id: &str, revision: u64, endpoint: Option<&Endpoint>) {
    let state = match endpoint {
        None => "gone",
        Some(endpoint) if !endpoint.is_ready => "leaving",
        Some(endpoint) if endpoint.cold_until > clock::now() => "cold",
        Some(_) => "ready",
    };
    info!(control.logger, "endpoints: an entry changed"; "endpoint" => id,
        "state" => state, "revision" => revision);
}

/// Drops entries that did not come back after an outage of the store.
async fn expire_entries(control: Arc<Control>) {
    let mut view = control.view.subscribe();
    loop {
        let due = control.store.lock().next_expiry();
        match due {
            Some(at) => sleep(at.since(clock::now())).await,
            None => {
                if view.changed().await.is_err() {
                    return;
                }
            }
        }
        if control.store.lock().expire(clock::now()) {
            publish_store(&control);
        }
    }
}

/// Asks other VMs for their state of the store while this VM cannot reach it, or while its watch
/// does not bring what they know.
async fn follow_peers(control: Arc<Control>) {
    loop {
        control.peer_is_newer.notified().await;
        let is_unreachable = control.store.lock().is_unreachable();
        sleep(if is_unreachable {
            ASK_PEERS_AFTER
        } else {
            MAX_LAG
        })
        .await;
        let own = control.store.lock().revision;
        let newest = control.newest_peer.lock().take();
        let Some((ip, _)) = newest.filter(|(_, revision)| *revision > own) else {
            continue;
        };
        match control.peers.call(ip, Body::StateRequest(Nothing {})).await {
            Ok(Body::State(state)) => {
                info!(control.logger, "store: took the state of another VM";
                    "vm" => %ip, "revision" => state.store_revision, "own_revision" => own);
                let revision = state.store_revision;
                let changes = decode_state(&control.logger, state);
                let now = clock::now();
                control.store.lock().apply_listing(now, changes, revision);
                publish_store(&control);
            }
            Ok(_) => warn!(control.logger, "store: another VM sent no state"; "vm" => %ip),
            // The failed call is logged where it failed.
            Err(_) => {}
        }
        sleep(ASK_PEERS_PERIOD).await;
    }
}
