//! Control state that traffic reads.
//!
//! The control thread is the only writer. Traffic threads read an immutable
//! [`Snapshot`] and send [`ControlCommand`]s back (`docs/design.md`, 2 and 4).

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use tokio::sync::oneshot;

use crate::manifest::{
    ApiKeyDigest, DataCentreState, Endpoint, EndpointState, Manifest, Organisation, Pipeline,
    VmEntry, VmList, VmState,
};
use crate::units::{
    DataCentreName, EndpointName, ModelName, OrganisationName, PipelineName, Time, Version, VmId,
};

/// The latest snapshot, replaced as a whole by the control thread.
pub type SharedSnapshot = ArcSwap<Snapshot>;

/// What traffic threads know. It is immutable; a change publishes a new one.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// The manifest in force, with look-up tables; `None` until one was read.
    pub catalogue: Option<Arc<Catalogue>>,
    /// The VM list in force.
    pub vms: Arc<VmList>,
    /// Requests with an API key are refused from this time on unless a newer snapshot extends it.
    pub api_keys_fresh_until: Time,
    /// Slots that this VM may use, by endpoint.
    pub grants: Arc<HashMap<EndpointName, SlotGrant>>,
    /// Latest load report of each endpoint that this VM knows of.
    pub loads: Arc<HashMap<EndpointName, EndpointLoad>>,
    /// VMs that a majority votes absent; callers are not sent there.
    pub absent_vms: Arc<Vec<VmId>>,
    /// VMs that this VM did not hear lately; callers are sent there only if no other is left.
    pub silent_vms: Arc<Vec<VmId>>,
    /// Set once a planned stop began.
    pub stopping: bool,
    /// Until when a majority acknowledged this VM's lease; past when it holds none.
    pub lease_until: Time,
    /// The VM list version that leases go by.
    pub list_version: Version,
    /// The manifest version in force.
    pub manifest_version: Version,
    /// Number of keys that this VM owns, for operators.
    pub owned_keys: OwnedKeyCounts,
}

/// Number of keys that this VM owns.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OwnedKeyCounts {
    /// Organisations whose buckets this VM holds.
    pub organisations: usize,
    /// Endpoints whose slots this VM divides.
    pub endpoints: usize,
}

/// Slots that this VM may have in use at one endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotGrant {
    /// Requests that may be in flight from this VM.
    pub slots: u32,
    /// No new request starts at or after this time.
    pub valid_until: Time,
}

/// A load report as an endpoint published it, which may lag.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EndpointLoad {
    /// When this VM, or the peer that passed it on, read the report.
    pub read_at: Time,
    /// Whether the endpoint is in a cold start.
    pub cold: bool,
    /// Requests that run there.
    pub running: u32,
    /// Requests that wait there.
    pub queued: u32,
    /// Models that are loaded.
    pub models: Vec<ModelName>,
}

/// A manifest with the look-up tables that routing needs.
#[derive(Debug)]
pub struct Catalogue {
    /// The manifest itself.
    pub manifest: Manifest,
    organisation_by_digest: HashMap<ApiKeyDigest, usize>,
    organisation_by_name: HashMap<OrganisationName, usize>,
    pipeline_by_name: HashMap<PipelineName, usize>,
    endpoint_by_name: HashMap<EndpointName, usize>,
}

impl Catalogue {
    /// Builds the tables of a checked manifest.
    pub fn new(manifest: Manifest) -> Self {
        let mut organisation_by_digest = HashMap::new();
        for (index, organisation) in manifest.organisations.iter().enumerate() {
            let digests = organisation.api_key_digests.iter();
            organisation_by_digest.extend(digests.map(|digest| (*digest, index)));
        }
        Self {
            organisation_by_digest,
            organisation_by_name: index_by(&manifest.organisations, |item| item.name.clone()),
            pipeline_by_name: index_by(&manifest.pipelines, |item| item.name.clone()),
            endpoint_by_name: index_by(&manifest.endpoints, |item| item.name.clone()),
            manifest,
        }
    }

    /// Returns the organisation that an API key belongs to.
    pub fn organisation_of_api_key(&self, digest: &ApiKeyDigest) -> Option<&Organisation> {
        let index = self.organisation_by_digest.get(digest)?;
        self.manifest.organisations.get(*index)
    }

    /// Returns an organisation by name.
    pub fn organisation(&self, name: &OrganisationName) -> Option<&Organisation> {
        let index = self.organisation_by_name.get(name)?;
        self.manifest.organisations.get(*index)
    }

    /// Returns a pipeline by name.
    pub fn pipeline(&self, name: &PipelineName) -> Option<&Pipeline> {
        let index = self.pipeline_by_name.get(name)?;
        self.manifest.pipelines.get(*index)
    }

    /// Returns an endpoint by name.
    pub fn endpoint(&self, name: &EndpointName) -> Option<&Endpoint> {
        let index = self.endpoint_by_name.get(name)?;
        self.manifest.endpoints.get(*index)
    }

    /// Returns whether a data centre may get new work.
    pub fn in_service(&self, name: &DataCentreName) -> bool {
        let mut centres = self.manifest.data_centres.iter();
        centres.any(|centre| centre.name == *name && centre.state == DataCentreState::In)
    }

    /// Returns whether an endpoint may get new work.
    pub fn accepts_work(&self, endpoint: &Endpoint) -> bool {
        endpoint.state == EndpointState::Live && self.in_service(&endpoint.data_centre)
    }
}

fn index_by<T, K: Eq + std::hash::Hash>(items: &[T], key: impl Fn(&T) -> K) -> HashMap<K, usize> {
    let entries = items.iter().enumerate();
    entries.map(|(index, item)| (key(item), index)).collect()
}

impl Snapshot {
    /// Returns the VMs that callers may be sent to: live, not absent, and in a data centre
    /// in service.
    pub fn vms_open_to_callers(&self) -> impl Iterator<Item = &VmEntry> {
        self.vms.vms.iter().filter(|vm| {
            let in_service = |catalogue: &Arc<Catalogue>| catalogue.in_service(&vm.data_centre);
            vm.state == VmState::Live
                && !self.absent_vms.contains(&vm.id)
                && self.catalogue.as_ref().is_none_or(in_service)
        })
    }
}

/// What traffic asks of the control thread.
#[derive(Debug)]
pub enum ControlCommand {
    /// Asks for one token of an organisation's allowance, here or at its owner VM.
    Acquire {
        /// Whose allowance.
        organisation: OrganisationName,
        /// Maximum time that the request can wait.
        max_wait: Duration,
        /// Receives the answer when the token is due, or the refusal at once.
        reply: oneshot::Sender<AcquireOutcome>,
    },
    /// Reports a sign of a cold start at an endpoint.
    EndpointCold {
        /// The endpoint.
        endpoint: EndpointName,
    },
    /// Reports requests in flight and waiting, for the allocators of the endpoints.
    Demand {
        /// When traffic counted. All that started before is in the count or has ended.
        counted_at: Time,
        /// In flight and waiting, by endpoint.
        by_endpoint: HashMap<EndpointName, SlotDemand>,
    },
    /// Reports an attempt that an endpoint answered whole and without a sign of a cold start,
    /// which lets a cold one ramp up.
    AttemptCompleted {
        /// The endpoint.
        endpoint: EndpointName,
        /// When the attempt started. Only one that started after the sign of a cold start
        /// shows that it is over.
        started_at: Time,
    },
    /// Begins a planned stop.
    Stop,
}

/// What one VM wants of one endpoint.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct SlotDemand {
    /// Requests in flight.
    pub in_flight: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
}

/// Answer to [`ControlCommand::Acquire`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AcquireOutcome {
    /// One request may start before `usable_until`.
    Granted {
        /// End of the credit on this VM's clock.
        usable_until: Time,
    },
    /// The rate does not allow the request within the time it can wait.
    RateExceeded,
    /// No VM could be asked in time; the request has not run.
    Unavailable,
}
