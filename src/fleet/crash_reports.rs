//! Evidence of requests that crash engines: how a VM gathers it, shares it with the other VMs and acts
//! on it (`docs/platform.md`, "Quarantine").

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use rand::seq::IndexedRandom;
use slog::{Logger, info, warn};
use smallvec::SmallVec;
use tokio::net::UdpSocket;
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep_until};

use crate::clock;
use crate::decisions::quarantine::{CrashReport, PartList, Quarantine, Ruling, Verdict, ruling};
use crate::decisions::rendezvous::rendezvous_order;
use crate::fleet::admission::AdmittedRequest;
use crate::fleet::control_state::Control;
use crate::fleet::endpoint_client::has_ended;
use crate::fleet::load_reports::{self, spread_loads};
use crate::fleet::metric;
use crate::fleet::model::Endpoint;
use crate::fleet::node::Node;
use crate::fleet::wire::{decode_crash_report, decode_load_reports, encode_crash_report};
use crate::units::PartId;

/// Number of VMs that get news in one round.
const MESSAGES_PER_ROUND: u32 = 3;
/// Pause between two rounds of news.
const ROUND_PERIOD: Duration = Duration::from_millis(100);
/// Interval at which a VM compares its evidence with that of another VM, and weighs it again.
const COMPARISON_PERIOD: Duration = Duration::from_millis(700);
/// Minimum interval between two judgements, which are made while there is evidence that has not settled.
const JUDGE_PERIOD: Duration = Duration::from_millis(100);
/// Time for which other requests with a part wait for the outcome of the one that is tried.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest datagram that can be received.
const MAX_DATAGRAM_BYTES: usize = 8 * 1024;

/// The evidence and verdicts of a VM, which its traffic and its control thread share.
pub struct CrashBoard {
    quarantine: Mutex<Quarantine>,
    /// Notified when this VM has news for others.
    has_news: Notify,
    verdicts: watch::Sender<Arc<[Verdict]>>,
    /// Times at which requests were sent to try parts that were under quarantine.
    trials: Mutex<HashMap<PartId, Instant>>,
}

impl Default for CrashBoard {
    fn default() -> Self {
        Self {
            quarantine: Mutex::default(),
            has_news: Notify::new(),
            verdicts: watch::channel(Arc::from([])).0,
            trials: Mutex::default(),
        }
    }
}

impl CrashBoard {
    /// Weighs the evidence again, and publishes and logs verdicts that changed.
    fn judge(&self, logger: &Logger) {
        let now = clock::now();
        let mut quarantine = self.quarantine.lock();
        let before = Arc::clone(&self.verdicts.borrow());
        if !quarantine.judge(now) {
            return;
        }
        let verdicts: Arc<[Verdict]> = quarantine.verdicts().into();
        drop(quarantine);
        let find = |verdicts: &[Verdict], part| {
            let verdict = verdicts.iter().find(|verdict| verdict.part == part);
            verdict.cloned()
        };
        for verdict in verdicts.iter() {
            if find(&before, verdict.part).is_none_or(|old| old.crashes != verdict.crashes) {
                warn!(logger, "quarantine: refusing a part of prompts that crashes engines";
                    "part" => %verdict.part, "crashes" => verdict.crashes,
                    "first_crash_ms_ago" => now.since(verdict.first_crash_at).as_millis() as u64,
                    "last_crash_ms_ago" => now.since(verdict.last_crash_at).as_millis() as u64,
                    "refused_ms" => verdict.refused_until.since(now).as_millis() as u64);
            }
        }
        for verdict in before.iter() {
            if find(&verdicts, verdict.part).is_none() {
                info!(logger, "quarantine: a part of prompts is no longer refused";
                    "part" => %verdict.part);
            }
        }
        metric::quarantined_parts(verdicts.len());
        self.verdicts.send_replace(verdicts);
    }
}

impl Node {
    /// Returns the part for which a request is refused now, and the time until which that lasts. A part
    /// whose quarantine is over is tried by one request at a time, at one VM of the fleet.
    pub fn quarantined_part(&self, admitted: &AdmittedRequest) -> Option<(PartId, Duration)> {
        let verdicts = Arc::clone(&self.crashes.verdicts.borrow());
        match ruling(&verdicts, clock::now(), admitted.caller.shared_parts()) {
            Ruling::Serve => None,
            Ruling::Refuse(part, duration) => Some((part, duration)),
            Ruling::Try(part) if self.may_try(part) => None,
            Ruling::Try(part) => Some((part, TRIAL_TIMEOUT)),
        }
    }

    /// Takes note of a request that is about to be sent, if it is to show whether a part whose quarantine
    /// is over still crashes engines.
    pub fn note_trial(&self, admitted: &AdmittedRequest) {
        let verdicts = Arc::clone(&self.crashes.verdicts.borrow());
        if let Ruling::Try(part) = ruling(&verdicts, clock::now(), admitted.caller.shared_parts()) {
            self.crashes.trials.lock().insert(part, Instant::now());
            info!(self.logger, "quarantine: trying a part of prompts again";
                "part" => %part, "id" => &admitted.caller.id);
        }
    }

    /// Waits until a request is to be refused because a part of it has come under quarantine.
    pub async fn wait_for_quarantine(&self, admitted: &AdmittedRequest) -> PartId {
        let mut verdicts = self.crashes.verdicts.subscribe();
        loop {
            let current = Arc::clone(&verdicts.borrow_and_update());
            let parts = admitted.caller.shared_parts();
            if let Ruling::Refuse(part, _) = ruling(&current, clock::now(), parts) {
                return part;
            }
            if verdicts.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }

    /// Returns whether a request of this VM may try a part now.
    fn may_try(&self, part: PartId) -> bool {
        let view = self.view();
        let order = rendezvous_order(&part.to_string(), view.vms.keys());
        let is_first = order.first().is_some_and(|vm| **vm == self.settings.vm);
        let mut trials = self.crashes.trials.lock();
        trials.retain(|_, at| at.elapsed() < TRIAL_TIMEOUT);
        is_first && !trials.contains_key(&part)
    }

    /// Records that a request got past its start at an engine.
    pub fn note_pass(&self, admitted: &AdmittedRequest) {
        let parts: PartList = admitted.caller.shared_parts().collect();
        if !parts.is_empty() && self.crashes.quarantine.lock().on_pass(clock::now(), &parts) {
            self.crashes.has_news.notify_one();
        }
    }
}

/// Checks whether an engine that broke off an answer at its start has ended, and records it as evidence
/// if so. An engine that lives has only failed this request, and one that leaves was to end.
pub fn check_engine(node: &Arc<Node>, admitted: &AdmittedRequest, endpoint: &Arc<Endpoint>) {
    let parts: PartList = admitted.caller.shared_parts().collect();
    let view = node.view();
    let usable = view.usable_endpoints(&endpoint.service);
    if parts.is_empty() || !usable.iter().any(|other| other.id == endpoint.id) {
        return;
    }
    let (node, endpoint) = (Arc::clone(node), Arc::clone(endpoint));
    let (id, at) = (admitted.caller.id.clone(), clock::now());
    tokio::spawn(async move {
        if !has_ended(endpoint.address).await {
            return;
        }
        metric::engine_crashed();
        warn!(node.logger, "crashes: an engine ended under a request"; "id" => id,
            "endpoint" => %endpoint.id, "parts" => display_parts(&parts));
        let crashes = &node.crashes;
        crashes.quarantine.lock().on_crash(at, &endpoint.id, &parts);
        crashes.has_news.notify_one();
    });
}

/// Formats parts for the log.
fn display_parts(parts: &[PartId]) -> String {
    let parts: SmallVec<[String; 4]> = parts.iter().map(ToString::to_string).collect();
    parts.join(",")
}

/// Exchanges evidence and loads of endpoints with other VMs, and judges the evidence, until the process ends.
pub(super) async fn share_crash_reports(control: Arc<Control>) {
    let address = {
        let settings = control.settings.lock();
        SocketAddr::from((settings.ip, settings.peer_port))
    };
    let socket = match UdpSocket::bind(address).await {
        Ok(socket) => socket,
        Err(error) => {
            warn!(control.logger, "crashes: cannot exchange evidence with other VMs";
                "address" => %address, "error" => %error);
            return;
        }
    };
    let mut datagram = vec![0; MAX_DATAGRAM_BYTES];
    let (mut compare_at, mut spread_at) = (Instant::now(), Instant::now());
    let (mut judge_at, mut spread_loads_at) = (Instant::now(), Instant::now());
    loop {
        let now = Instant::now();
        if now >= compare_at {
            compare_at = now + COMPARISON_PERIOD;
            compare_evidence(&control, &socket).await;
        }
        let has_news = control.crashes.quarantine.lock().has_news();
        if has_news && now >= spread_at {
            spread_at = now + ROUND_PERIOD;
            spread_news(&control, &socket).await;
        }
        if now >= judge_at {
            judge_at = now + JUDGE_PERIOD;
            control.crashes.judge(&control.logger);
        }
        let has_loads = control.loads.is_in_use();
        if has_loads && now >= spread_loads_at {
            spread_loads_at = now + load_reports::ROUND_PERIOD;
            spread_loads(&control, &socket).await;
        }
        let mut next = compare_at;
        if has_loads {
            next = next.min(spread_loads_at);
        }
        if has_news {
            next = next.min(spread_at);
        }
        if has_unsettled_evidence(&control) {
            next = next.min(judge_at);
        }
        tokio::select! {
            () = sleep_until(next) => {}
            () = control.crashes.has_news.notified(), if !has_news => {}
            received = socket.recv_from(&mut datagram) => {
                // An error means that the VM to which an earlier datagram went is down.
                if let Ok((size, from)) = received {
                    receive_report(&control, &socket, &datagram[..size], from).await;
                }
            }
        }
    }
}

/// Returns whether evidence may become a verdict by its age alone.
fn has_unsettled_evidence(control: &Control) -> bool {
    control
        .crashes
        .quarantine
        .lock()
        .has_unsettled(clock::now())
}

/// Returns the addresses of up to `count` live VMs, chosen at random.
fn random_live_vms(control: &Control, count: usize) -> SmallVec<[Ipv4Addr; 4]> {
    let live: Vec<Ipv4Addr> = control.gossip.lock().live().map(|vm| vm.ip).collect();
    live.sample(&mut rand::rng(), count).copied().collect()
}

/// Sends news to a few VMs.
async fn spread_news(control: &Control, socket: &UdpSocket) {
    let targets = random_live_vms(control, MESSAGES_PER_ROUND as usize);
    let report = {
        let vms = control.gossip.lock().known_count();
        let mut quarantine = control.crashes.quarantine.lock();
        quarantine.set_audience(vms, MESSAGES_PER_ROUND);
        quarantine.take_news(clock::now(), MESSAGES_PER_ROUND)
    };
    for target in targets {
        send(control, socket, target, &report, None).await;
    }
}

/// Asks a VM for the evidence that this VM lacks.
async fn compare_evidence(control: &Control, socket: &UdpSocket) {
    let digest = control.crashes.quarantine.lock().digest();
    for target in random_live_vms(control, 1) {
        send(
            control,
            socket,
            target,
            &CrashReport::default(),
            Some(digest),
        )
        .await;
    }
}

async fn send(
    control: &Control,
    socket: &UdpSocket,
    target: Ipv4Addr,
    report: &CrashReport,
    digest: Option<u64>,
) {
    let datagram = encode_crash_report(report, digest);
    let port = control.settings.lock().peer_port;
    metric::peer_message("sent", "crash_report", datagram.len());
    if let Err(error) = socket.send_to(&datagram, (target, port)).await {
        // No resend is needed: evidence is sent several times and compared later.
        slog::debug!(control.logger, "crashes: a report was not sent";
            "to" => %target, "error" => %error);
    }
}

/// Takes over what another VM reports, and sends it everything if it lacks some of it.
async fn receive_report(control: &Control, socket: &UdpSocket, datagram: &[u8], from: SocketAddr) {
    metric::peer_message("received", "crash_report", datagram.len());
    let SocketAddr::V4(from) = from else { return };
    match decode_load_reports(datagram) {
        Ok(loads) if !loads.is_empty() => return control.loads.receive(&loads),
        // The datagram has evidence of crashes, or the error shows again below.
        _ => {}
    }
    let (report, digest) = match decode_crash_report(datagram) {
        Ok(decoded) => decoded,
        Err(error) => {
            warn!(control.logger, "crashes: a report cannot be decoded and was dropped";
                "from" => %from, "error" => format!("{error:#}"));
            return;
        }
    };
    let missing = {
        let mut quarantine = control.crashes.quarantine.lock();
        quarantine.receive(clock::now(), &report);
        match digest {
            Some(digest) if digest != quarantine.digest() => quarantine.all_evidence(clock::now()),
            _ => Vec::new(),
        }
    };
    for report in missing {
        send(control, socket, *from.ip(), &report, None).await;
    }
}
