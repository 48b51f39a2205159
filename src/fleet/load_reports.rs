//! Loads that endpoints report: where a VM's threads keep them, and how VMs exchange them
//! (`docs/design/endpoint-load.md`).

use std::net::Ipv4Addr;
use std::time::Duration;

use parking_lot::Mutex;
use rand::RngExt;
use rand::seq::IndexedRandom;
use smallvec::SmallVec;
use tokio::net::UdpSocket;

use crate::clock;
use crate::decisions::endpoint_choice::{AttemptEnd, Work};
use crate::decisions::engine_load::{EngineLoad, LoadEstimate, LoadReport, ProcessKey, SharedLoad};
use crate::fleet::control_state::Control;
use crate::fleet::metric;
use crate::fleet::model::Endpoint;
use crate::fleet::wire::encode_load_reports;

/// Pause between two rounds in which a VM passes on reports.
pub(super) const ROUND_PERIOD: Duration = Duration::from_millis(100);
/// Number of VMs of the own data centre that get the reports of one round.
const NEAR_RECEIVERS: usize = 2;
/// One in this many rounds also goes to a VM of another data centre, since bytes between data centres
/// are dear. The VMs of a data centre together still hear of the others many times a second.
const FAR_ROUNDS: u32 = 8;

/// Loads and outcomes that this VM knows, which its traffic and its control thread share.
pub struct LoadBoard {
    loads: Mutex<EngineLoad>,
}

impl Default for LoadBoard {
    fn default() -> Self {
        Self {
            loads: Mutex::new(EngineLoad::new(rand::rng().random())),
        }
    }
}

impl LoadBoard {
    /// Records the load that an answer of an endpoint reports.
    pub fn on_report(&self, endpoint: &Endpoint, report: LoadReport) {
        if report.work_time_percent.is_none() {
            return;
        }
        metric::load_reports("answers", 1);
        let (now, process) = (clock::now(), ProcessKey::of(endpoint));
        self.loads.lock().on_report(now, process, report);
    }

    /// Records a request that is about to be sent to an endpoint.
    pub fn on_send(&self, endpoint: &Endpoint, work: &Work<'_>) {
        let (now, process) = (clock::now(), ProcessKey::of(endpoint));
        let mut loads = self.loads.lock();
        let Work::Generation {
            prompt_prefix,
            prompt_tokens,
            shared_tokens,
            ..
        } = *work
        else {
            return loads.on_send(now, process, 0);
        };
        loads.on_send(now, process, prompt_tokens);
        let unshared_tokens = prompt_tokens.saturating_sub(shared_tokens);
        loads.on_prompt(now, prompt_prefix, unshared_tokens);
    }

    /// Records how an attempt at an endpoint ended.
    pub fn on_attempt_end(&self, process: ProcessKey, end: AttemptEnd) {
        let has_failed = match end {
            AttemptEnd::Answered(_) => false,
            AttemptEnd::Error | AttemptEnd::Broken | AttemptEnd::UnconfirmedRefusal => true,
            AttemptEnd::Full | AttemptEnd::Inconclusive => return,
        };
        let now = clock::now();
        self.loads.lock().on_outcome(now, process, has_failed);
    }

    /// Passes the loads to a decision.
    pub fn with<T>(&self, decide: impl FnOnce(&EngineLoad) -> T) -> T {
        decide(&self.loads.lock())
    }

    /// Returns what is known of the load of an endpoint.
    pub fn estimate(&self, endpoint: &Endpoint) -> Option<LoadEstimate> {
        let (now, process) = (clock::now(), ProcessKey::of(endpoint));
        self.loads.lock().estimate(now, process)
    }

    /// Forgets endpoints without recent observations, and takes over the number of VMs.
    pub fn refresh(&self, vms: usize) {
        let mut loads = self.loads.lock();
        loads.forget_old(clock::now());
        loads.set_vms(u32::try_from(vms).unwrap_or(u32::MAX));
    }

    /// Returns whether there is something to pass on from time to time.
    pub(super) fn is_in_use(&self) -> bool {
        !self.loads.lock().is_empty()
    }

    /// Takes over what another VM reports.
    pub(super) fn receive(&self, shared: &[SharedLoad]) {
        let now = clock::now();
        let used = self.loads.lock().receive(now, shared);
        metric::load_reports("received", shared.len());
        metric::load_reports("newer", used);
    }
}

/// Sends the newest reports to a few VMs, most of them in this data centre. The number of datagrams and
/// their size do not depend on the size of the fleet.
pub(super) async fn spread_loads(control: &Control, socket: &UdpSocket) {
    let news = control.loads.loads.lock().take_news(clock::now());
    if news.is_empty() {
        return;
    }
    let datagram = encode_load_reports(&news);
    let port = control.settings.lock().peer_port;
    for target in receivers(control) {
        metric::load_reports("sent", news.len());
        // A lost datagram needs no resend: newer reports follow within a fraction of a second.
        let _ = socket.send_to(&datagram, (target, port)).await;
    }
}

/// Returns the VMs that get the reports of one round.
fn receivers(control: &Control) -> SmallVec<[Ipv4Addr; 4]> {
    let gossip = control.gossip.lock();
    let own = &control.own_vm.data_centre;
    let (near, far): (Vec<_>, Vec<_>) = gossip.live().partition(|vm| vm.data_centre == *own);
    let mut random = rand::rng();
    let has_far = near.len() < NEAR_RECEIVERS || random.random_ratio(1, FAR_ROUNDS);
    let near = near.sample(&mut random, NEAR_RECEIVERS).map(|vm| vm.ip);
    let mut receivers: SmallVec<[Ipv4Addr; 4]> = near.collect();
    if has_far {
        receivers.extend(far.choose(&mut rand::rng()).map(|vm| vm.ip));
    }
    receivers
}
