//! The state of the control thread and what its tasks share.

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use slog::Logger;
use tokio::sync::{Notify, watch};
use tokio::task::AbortHandle;

use crate::blackboard::{Catalogue, EndpointLoad, OwnedKeyCounts};
use crate::context::Context;
use crate::control::cold::ColdSigns;
use crate::control::event_loop::ControlConfig;
use crate::control::slots::{LocalDemand, PublicationTimes};
use crate::decisions::config_version::ConfigVersion;
use crate::decisions::membership::{Acknowledgement, Membership};
use crate::decisions::placement::Placement;
use crate::decisions::quota::Quota;
use crate::decisions::slots::{SlotAllocator, SlotHolder, SlotUpdate, SlotsConfig};
use crate::manifest::VmList;
use crate::peer::calls::CallClients;
use crate::units::{EndpointName, Incarnation, Time, Version, VmId};

/// Messages to a peer whose time of sending is remembered. It covers more than a grant's
/// and a lease's life at the shortest gap between periodic messages.
const MAX_SENT_TIMES: usize = 64;

/// What all tasks of the control thread share.
pub struct Control {
    /// Settings, logger and the published snapshot.
    pub context: Context,
    /// Settings of the control thread.
    pub config: ControlConfig,
    /// All control state.
    pub state: RefCell<ControlState>,
    /// Kept connections for calls.
    pub clients: CallClients,
    /// Turns true when a planned stop begins.
    pub stop: watch::Sender<bool>,
}

impl Control {
    /// Returns the logger.
    pub fn logger(&self) -> &Logger {
        &self.context.logger
    }
}

/// Control state; the control thread is its one owner.
pub struct ControlState {
    /// This VM.
    pub me: VmId,
    /// Leases and the owners of keys.
    pub membership: Membership,
    /// Manifest version and freshness.
    pub versions: ConfigVersion,
    /// Buckets of the organisations that this VM owns.
    pub quota: Quota,
    /// Slots of the endpoints that this VM owns.
    pub allocator: SlotAllocator,
    /// Grants to this VM.
    pub holder: SlotHolder,
    /// The manifest in force.
    pub catalogue: Option<Arc<Catalogue>>,
    /// Its bytes, for peers that ask.
    pub manifest_bytes: ManifestBytes,
    /// Newest manifest version that a peer showed.
    pub newest_peer_manifest: Version,
    /// Parts read for an index of which another part could not be read.
    pub pending_parts: HashMap<String, Bytes>,
    /// The platform's VM list, as it gave it.
    pub vms: Arc<VmList>,
    /// Addresses of every VM listed or heard of.
    pub addresses: HashMap<VmId, PeerAddresses>,
    /// What is known of other VMs.
    pub peers: HashMap<VmId, Peer>,
    /// What traffic on this VM wants of endpoints.
    pub demands: HashMap<EndpointName, LocalDemand>,
    /// When traffic counted the demands.
    pub demands_counted_at: Time,
    /// When grants became visible to traffic.
    pub publication_times: PublicationTimes,
    /// Settings of slots.
    pub slots_config: SlotsConfig,
    /// Sequence of the reports to this VM as allocator.
    pub self_report_sequence: u64,
    /// Updates that this VM as allocator sends to itself.
    pub self_updates: HashMap<EndpointName, SlotUpdate>,
    /// Endpoints by allocator.
    pub endpoints_by_allocator: HashMap<VmId, Vec<EndpointName>>,
    /// Load reports, read here or passed on by allocators.
    pub loads: HashMap<EndpointName, EndpointLoad>,
    /// Signs of cold starts.
    pub cold_signs: ColdSigns,
    /// Cached allocators of endpoints; empty after a change of owners.
    pub allocator_cache: HashMap<EndpointName, VmId>,
    /// What the cached owners were derived from.
    pub ownership_inputs: OwnershipInputs,
    /// Cached number of keys that this VM owns.
    pub owned_keys: OwnedKeyCounts,
    /// Whether this VM held its lease at the last look, for the log.
    pub had_lease: bool,
    /// Last logged slots of each grant, for the log.
    pub logged_slots: HashMap<EndpointName, u32>,
    /// Orders of models, given while this VM is the owner of placement.
    pub placement: Placement,
    /// Whether a planned stop began.
    pub stopping: bool,
    /// Asks for tokens in progress.
    pub active_acquires: usize,
}

/// What the owners of keys depend on.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OwnershipInputs {
    /// The VM list.
    pub list_version: Version,
    /// The manifest.
    pub manifest_version: Version,
    /// VMs that a majority votes absent.
    pub absent: Vec<VmId>,
    /// Whether this VM gave up its keys.
    pub stopping: bool,
}

/// The bytes of the manifest in force.
#[derive(Debug, Default, Clone)]
pub struct ManifestBytes {
    /// The index as published.
    pub index: Bytes,
    /// Digests of the parts in the order of the index.
    pub part_digests: Vec<String>,
    /// Parts by digest; only those that the index refers to.
    pub parts: HashMap<String, Bytes>,
}

/// Where other VMs reach a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerAddresses {
    /// For state messages.
    pub state: SocketAddr,
    /// For calls; unknown for a VM that was only heard of.
    pub call: Option<SocketAddr>,
}

/// What this VM knows of another one.
#[derive(Default)]
pub struct Peer {
    /// Notified to send a message at once.
    pub wake: Rc<Notify>,
    /// The task that sends to it, and the address that it goes to.
    pub link: Option<(SocketAddr, AbortHandle)>,
    /// Its run.
    pub incarnation: Option<Incarnation>,
    /// Sequence of its newest message.
    pub sequence: u64,
    /// When its newest message came.
    pub heard_at: Option<Time>,
    /// Answer to its newest heartbeat that was not sent yet.
    pub acknowledgement: Option<Acknowledgement>,
    /// Sequences and times of the last messages to it.
    pub sent_times: VecDeque<(u64, Time)>,
    /// Endpoints that this VM is the allocator of and it reported on, and when it last used them.
    pub reported_endpoints: HashMap<EndpointName, Option<Time>>,
    /// Updates on them that it has yet to get.
    pub pending_updates: HashMap<EndpointName, SlotUpdate>,
    /// Its running totals of completed attempts.
    pub completed: HashMap<EndpointName, u64>,
    /// Read time of the load report last sent to it.
    pub loads_sent: HashMap<EndpointName, Time>,
    /// Highest cold notice seen from it.
    pub last_cold_notice: u64,
    /// Whether it began a planned stop.
    pub leaving: bool,
    /// The manifest version that it showed.
    pub manifest_version: Version,
    /// Whether a fetch of a manifest from it is in progress.
    pub manifest_fetch_active: bool,
}

impl Peer {
    /// Remembers when a message was sent.
    pub fn note_sent(&mut self, sequence: u64, now: Time) {
        if self.sent_times.len() == MAX_SENT_TIMES {
            self.sent_times.pop_front();
        }
        self.sent_times.push_back((sequence, now));
    }

    /// Returns when a message was sent, if that is still remembered.
    pub fn sent_at(&self, sequence: u64) -> Option<Time> {
        let found = self.sent_times.iter().find(|(sent, _)| *sent == sequence);
        found.map(|(_, at)| *at)
    }

    /// Forgets what an earlier incarnation of the peer reported.
    pub fn restart(&mut self, incarnation: Incarnation) {
        let old = std::mem::take(self);
        *self = Self {
            wake: old.wake,
            link: old.link,
            sent_times: old.sent_times,
            incarnation: Some(incarnation),
            manifest_fetch_active: old.manifest_fetch_active,
            ..Self::default()
        };
    }
}
