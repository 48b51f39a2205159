//! State that the control thread publishes and the traffic threads read.
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

/// Control state as of one moment. A snapshot is immutable; each change publishes a new one.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// The manifest in force, with look-up tables; `None` until a manifest has been read.
    pub catalogue: Option<Arc<Catalogue>>,
    /// The VM list in force.
    pub vms: Arc<VmList>,
    /// Requests with an API key are refused from this time on unless a newer snapshot extends it.
    pub api_keys_fresh_until: Time,
    /// Slots that this VM may use, by endpoint.
    pub grants: Arc<HashMap<EndpointName, SlotGrant>>,
    /// Latest load report that this VM has of each endpoint.
    pub loads: Arc<HashMap<EndpointName, EndpointLoad>>,
    /// VMs that a majority votes absent; callers are not directed to them.
    pub absent_vms: Arc<Vec<VmId>>,
    /// VMs that this VM has not heard from lately; callers are directed to them only if no
    /// other VM is left.
    pub silent_vms: Arc<Vec<VmId>>,
    /// Whether a planned stop has begun.
    pub stopping: bool,
    /// End of this VM's lease, as a majority acknowledged it; in the past if the VM holds no
    /// lease.
    pub lease_until: Time,
    /// Version of the VM list that leases refer to.
    pub list_version: Version,
    /// Version of the manifest in force.
    pub manifest_version: Version,
    /// Number of keys that this VM owns, shown to operators.
    pub owned_keys: OwnedKeyCounts,
}

/// Number of keys that this VM owns, by kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OwnedKeyCounts {
    /// Number of organisations whose token buckets this VM holds.
    pub organisations: usize,
    /// Number of endpoints whose slots this VM divides among the VMs.
    pub endpoints: usize,
}

/// Slots that this VM may have in use at one endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotGrant {
    /// Number of this VM's requests that may be in flight at the endpoint.
    pub slots: u32,
    /// End of the grant: no new request starts at or after this time.
    pub valid_until: Time,
}

/// Load report that an endpoint published; it may lag behind the endpoint's state.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EndpointLoad {
    /// Time at which this VM, or the peer that passed the report on, read it.
    pub read_at: Time,
    /// Whether the endpoint is in a cold start.
    pub cold: bool,
    /// Number of requests that run at the endpoint.
    pub running: u32,
    /// Number of requests that wait at the endpoint.
    pub queued: u32,
    /// Models that the endpoint has loaded.
    pub models: Vec<ModelName>,
}

/// A manifest with the look-up tables that routing needs.
#[derive(Debug)]
pub struct Catalogue {
    /// Manifest that the tables index.
    pub manifest: Manifest,
    organisation_by_digest: HashMap<ApiKeyDigest, usize>,
    organisation_by_name: HashMap<OrganisationName, usize>,
    pipeline_by_name: HashMap<PipelineName, usize>,
    endpoint_by_name: HashMap<EndpointName, usize>,
}

impl Catalogue {
    /// Builds the look-up tables of a validated manifest.
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

    /// Returns whether a data centre is in service and may get new work.
    pub fn in_service(&self, name: &DataCentreName) -> bool {
        let mut centres = self.manifest.data_centres.iter();
        centres.any(|centre| centre.name == *name && centre.state == DataCentreState::In)
    }

    /// Returns whether an endpoint may get new work.
    pub fn accepts_work(&self, endpoint: &Endpoint) -> bool {
        endpoint.state == EndpointState::Live && self.in_service(&endpoint.data_centre)
    }
}

/// Returns the index of each item by its key.
fn index_by<T, K: Eq + std::hash::Hash>(items: &[T], key: impl Fn(&T) -> K) -> HashMap<K, usize> {
    let entries = items.iter().enumerate();
    entries.map(|(index, item)| (key(item), index)).collect()
}

impl Snapshot {
    /// Returns the VMs that callers may be directed to: those that are live, not absent, and in
    /// a data centre in service.
    pub fn vms_open_to_callers(&self) -> impl Iterator<Item = &VmEntry> {
        self.vms.vms.iter().filter(|vm| {
            let in_service = |catalogue: &Arc<Catalogue>| catalogue.in_service(&vm.data_centre);
            vm.state == VmState::Live
                && !self.absent_vms.contains(&vm.id)
                && self.catalogue.as_ref().is_none_or(in_service)
        })
    }
}

/// Request or report from the traffic side to the control thread.
#[derive(Debug)]
pub enum ControlCommand {
    /// Asks for one quota token of an organisation, from this VM or the organisation's owner VM.
    Acquire {
        /// Organisation whose token is asked for.
        organisation: OrganisationName,
        /// Maximum time that the request can wait.
        max_wait: Duration,
        /// Receives a grant when the token is due, or a refusal at once.
        reply: oneshot::Sender<AcquireOutcome>,
    },
    /// Reports a sign of a cold start at an endpoint.
    EndpointCold {
        /// Endpoint that showed the sign of a cold start.
        endpoint: EndpointName,
    },
    /// Reports requests in flight and waiting, for the allocators of the endpoints.
    Demand {
        /// Time of the count. Every request that started before it is counted or has ended.
        counted_at: Time,
        /// Requests in flight and waiting, by endpoint.
        by_endpoint: HashMap<EndpointName, SlotDemand>,
    },
    /// Reports an attempt that an endpoint answered completely and without a sign of a cold
    /// start, which lets an endpoint ramp up after a cold start.
    AttemptCompleted {
        /// Endpoint that answered the attempt.
        endpoint: EndpointName,
        /// Time at which the attempt started. Only an attempt that started after the sign of a
        /// cold start shows that the cold start is over.
        started_at: Time,
    },
    /// Begins a planned stop.
    Stop,
}

/// One VM's demand for slots at one endpoint.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct SlotDemand {
    /// Number of requests in flight.
    pub in_flight: u32,
    /// Number of requests that wait for a slot.
    pub waiting: u32,
}

/// Answer to [`ControlCommand::Acquire`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AcquireOutcome {
    /// One request may start before `usable_until`.
    Granted {
        /// End of the granted token's validity on this VM's clock.
        usable_until: Time,
    },
    /// The rate does not allow the request within the time it can wait.
    RateExceeded,
    /// No VM could be asked for the token in time; the request has not run.
    Unavailable,
}
