//! State of the control thread, and the handle through which its tasks share it.

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

/// Maximum number of messages to a peer whose times of sending are stored. At the minimum gap
/// between periodic messages they cover more than the life of a grant and of a lease.
const MAX_SENT_TIMES: usize = 64;

/// Shared handle of all tasks of the control thread.
pub struct Control {
    /// Settings, logger and the published snapshot.
    pub context: Context,
    /// Settings of the control thread.
    pub config: ControlConfig,
    /// State of the control thread.
    pub state: RefCell<ControlState>,
    /// Keep-alive connections for calls to other VMs.
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

/// State of the control thread, which is its only owner.
pub struct ControlState {
    /// Id of this VM.
    pub me: VmId,
    /// Leases and the owners of keys.
    pub membership: Membership,
    /// Manifest version and freshness.
    pub versions: ConfigVersion,
    /// Quota buckets of the organisations that this VM owns.
    pub quota: Quota,
    /// Allocator of the slots of the endpoints that this VM owns.
    pub allocator: SlotAllocator,
    /// Holder of the grants to this VM.
    pub holder: SlotHolder,
    /// The manifest in force.
    pub catalogue: Option<Arc<Catalogue>>,
    /// Bytes of the manifest in force, for peers that fetch it.
    pub manifest_bytes: ManifestBytes,
    /// Newest manifest version that a peer reported.
    pub newest_peer_manifest: Version,
    /// Parts by digest that were read for a manifest whose other parts are not all read yet.
    pub pending_parts: HashMap<String, Bytes>,
    /// VM list as read from the platform.
    pub vms: Arc<VmList>,
    /// Addresses of all VMs that are on the list or known from messages.
    pub addresses: HashMap<VmId, PeerAddresses>,
    /// State of the exchange with each other VM.
    pub peers: HashMap<VmId, Peer>,
    /// Demand of this VM's traffic by endpoint.
    pub demands: HashMap<EndpointName, LocalDemand>,
    /// Time as of which traffic counted the demands.
    pub demands_counted_at: Time,
    /// Times at which changes of grants became visible to traffic.
    pub publication_times: PublicationTimes,
    /// Settings of slots.
    pub slots_config: SlotsConfig,
    /// Sequence number of this VM's reports to its own allocator.
    pub self_report_sequence: u64,
    /// Pending updates from this VM's allocator to its own holder.
    pub self_updates: HashMap<EndpointName, SlotUpdate>,
    /// Endpoints of each allocator.
    pub endpoints_by_allocator: HashMap<VmId, Vec<EndpointName>>,
    /// Newest load report of each endpoint, read by this VM or sent by the endpoint's
    /// allocator.
    pub loads: HashMap<EndpointName, EndpointLoad>,
    /// Signs of cold starts that this VM or its peers saw.
    pub cold_signs: ColdSigns,
    /// Cache of the allocator of each endpoint, cleared when the owners of keys change.
    pub allocator_cache: HashMap<EndpointName, VmId>,
    /// Inputs from which the cached owners were computed.
    pub ownership_inputs: OwnershipInputs,
    /// Cached number of keys that this VM owns.
    pub owned_keys: OwnedKeyCounts,
    /// Whether this VM held its lease when that was last checked, for logging changes.
    pub had_lease: bool,
    /// Number of slots last logged for the grant of each endpoint.
    pub logged_slots: HashMap<EndpointName, u32>,
    /// Placement of models, whose orders this VM issues while it is the owner of placement.
    pub placement: Placement,
    /// Whether a planned stop of this VM began.
    pub stopping: bool,
    /// Number of acquires of quota tokens in progress.
    pub active_acquires: usize,
}

/// Inputs from which the owners of keys are computed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OwnershipInputs {
    /// Version of the VM list.
    pub list_version: Version,
    /// Version of the manifest.
    pub manifest_version: Version,
    /// VMs that a majority votes absent.
    pub absent: Vec<VmId>,
    /// Whether this VM gave up its keys for a planned stop.
    pub stopping: bool,
}

/// Bytes of the manifest in force.
#[derive(Debug, Default, Clone)]
pub struct ManifestBytes {
    /// Manifest index as published.
    pub index: Bytes,
    /// Digests of the parts in the order of the index.
    pub part_digests: Vec<String>,
    /// Parts by digest; only those that the index refers to.
    pub parts: HashMap<String, Bytes>,
}

/// Addresses at which a VM is reached by the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerAddresses {
    /// Address for state messages.
    pub state: SocketAddr,
    /// Address for calls, or `None` for a VM that is known from messages only.
    pub call: Option<SocketAddr>,
}

/// State of this VM's exchange with another VM, the peer.
#[derive(Default)]
pub struct Peer {
    /// Notified when the link should send a message at once.
    pub wake: Rc<Notify>,
    /// Address to which the link sends, and the task that runs the link.
    pub link: Option<(SocketAddr, AbortHandle)>,
    /// Incarnation of the peer's process that sent its newest message.
    pub incarnation: Option<Incarnation>,
    /// Sequence number of the newest message from the peer.
    pub sequence: u64,
    /// Time at which the newest message from the peer arrived.
    pub last_message_at: Option<Time>,
    /// Acknowledgement of the peer's newest heartbeat, until it is sent.
    pub acknowledgement: Option<Acknowledgement>,
    /// Sequence numbers and times of the last messages sent to the peer.
    pub sent_times: VecDeque<(u64, Time)>,
    /// Endpoints on which the peer reported to this VM as their allocator, and when the peer last
    /// used each.
    pub reported_endpoints: HashMap<EndpointName, Option<Time>>,
    /// Updates on reported endpoints that are to be sent to the peer.
    pub pending_updates: HashMap<EndpointName, SlotUpdate>,
    /// Total of completed attempts in the peer's newest report on each endpoint.
    pub completed: HashMap<EndpointName, u64>,
    /// Read time of the load report of each endpoint that was last sent to the peer.
    pub loads_sent: HashMap<EndpointName, Time>,
    /// Highest number of a cold notice received from the peer.
    pub last_cold_notice: u64,
    /// Whether the peer began a planned stop.
    pub leaving: bool,
    /// Manifest version in the peer's newest message.
    pub manifest_version: Version,
    /// Whether a fetch of a manifest from the peer is in progress.
    pub manifest_fetch_active: bool,
}

impl Peer {
    /// Records when a message was sent to the peer.
    pub fn record_sent(&mut self, sequence: u64, now: Time) {
        if self.sent_times.len() == MAX_SENT_TIMES {
            self.sent_times.pop_front();
        }
        self.sent_times.push_back((sequence, now));
    }

    /// Returns when the message with this sequence number was sent, if that is still stored.
    pub fn sent_at(&self, sequence: u64) -> Option<Time> {
        let found = self.sent_times.iter().find(|(sent, _)| *sent == sequence);
        found.map(|(_, at)| *at)
    }

    /// Drops the state that an earlier incarnation of the peer reported.
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
