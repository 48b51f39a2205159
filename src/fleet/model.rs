//! What a VM knows of the fleet: configuration, endpoints, evacuated data centres, VMs.
//!
//! The control thread publishes these values as one immutable [`FleetView`]; traffic only
//! reads them (`docs/platform.md`, "State and its owners").

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use smallvec::SmallVec;

use crate::units::{DataCentreName, EndpointName, OrganisationName, ServiceName, Time, VmId};

/// How often a request of a route may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// Answers with events; runs at most once unless the route is resumable.
    Streaming,
}

/// One stage that runs before the request itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteStage {
    /// The service whose endpoints run the stage.
    pub service: ServiceName,
    /// The stages whose results it reads.
    pub after: SmallVec<[usize; 2]>,
    /// Approximate size of one result.
    pub result_bytes: u64,
}

/// One route of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Its name, for logs.
    pub name: String,
    /// The host that selects it.
    pub host: String,
    /// The path prefix that selects it.
    pub path_prefix: String,
    /// How often its requests may run.
    pub kind: RouteKind,
    /// Maximum time that a request may be kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is on time.
    pub objective: Duration,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Services with their weights.
    pub targets: SmallVec<[(ServiceName, u32); 2]>,
    /// Most endpoints that one request may run on.
    pub max_attempts: u32,
    /// Stages, in the order of their numbers.
    pub stages: SmallVec<[RouteStage; 3]>,
    /// Whether requests need no key.
    pub is_public: bool,
    /// Whether a broken stream may go on at another endpoint.
    pub is_resumable: bool,
}

impl Route {
    /// Returns whether one request may run at more than one endpoint.
    pub fn may_retry(&self) -> bool {
        self.kind == RouteKind::Idempotent || self.is_resumable
    }
}

/// Limits of a service whose endpoints run stages in batches.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BatchLimits {
    /// Calls that one endpoint runs at a time.
    pub slots: u32,
    /// Items that one call may hold.
    pub batch: usize,
    /// Time that a call takes besides its items, in milliseconds.
    pub call_ms: f64,
    /// Approximate time of one item, in milliseconds.
    pub item_ms: f64,
    /// Memory of one endpoint for results.
    pub result_memory_bytes: u64,
    /// How long a result is kept after its call.
    pub result_ttl: Duration,
}

/// One service of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// Requests a second that a cold endpoint bears.
    pub cold_per_s: f64,
    /// Present when its endpoints run stages.
    pub batching: Option<BatchLimits>,
}

/// An organisation as its key shows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Organisation {
    /// Its name.
    pub name: OrganisationName,
    /// Rank that goes before the route's.
    pub priority: Option<u8>,
}

/// Bounds on what a caller sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest head of a request.
    pub max_header_bytes: usize,
    /// Largest body of a request.
    pub max_body_bytes: usize,
    /// Maximum time until a head is complete.
    pub header_timeout: Duration,
    /// Maximum time that a connection may be idle.
    pub idle_timeout: Duration,
}

/// One version of the operator's configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Configuration {
    /// Its version; versions only rise.
    pub version: u64,
    /// Routes of each host, longest prefix first.
    pub routes: HashMap<String, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: HashMap<ServiceName, Service>,
    /// Organisations by key. Empty when no key is asked for.
    pub keys: HashMap<String, Arc<Organisation>>,
    /// Bounds on callers.
    pub limits: CallerLimits,
    /// The document as it was published, for VMs that cannot reach the platform.
    pub document: Bytes,
}

impl Configuration {
    /// Returns the route with the longest prefix that matches.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        routes
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
    }
}

/// One endpoint as the platform lists it.
#[derive(Debug, Clone, PartialEq)]
pub struct Endpoint {
    /// Its id, new at each start for most endpoints.
    pub id: EndpointName,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where to call it.
    pub address: SocketAddr,
    /// Where it stands.
    pub data_centre: DataCentreName,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Whether it still takes new work.
    pub is_ready: bool,
    /// Until when it takes little work; in the past for a warm endpoint.
    pub cold_until: Time,
    /// Start of the process, in milliseconds since the epoch; 0 when it does not say.
    pub started_ms: u64,
}

/// One VM that serves callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetVm {
    /// Its name.
    pub name: VmId,
    /// Its address.
    pub ip: Ipv4Addr,
    /// Where it stands.
    pub data_centre: DataCentreName,
}

/// All that traffic reads of the control state.
#[derive(Debug, Clone, Default)]
pub struct FleetView {
    /// The newest configuration; `None` until one is known.
    pub configuration: Option<Arc<Configuration>>,
    /// Endpoints of each service that may be used now.
    pub endpoints: HashMap<ServiceName, Vec<Arc<Endpoint>>>,
    /// Data centres whose endpoints get nothing.
    pub evacuated: HashSet<DataCentreName>,
    /// VMs that take work, this one included, by name.
    pub vms: BTreeMap<VmId, FleetVm>,
    /// Most VMs that may act at the same time, for shares of fleet-wide limits.
    pub share_count: u32,
    /// Revision of the platform's store that the view reflects.
    pub store_revision: u64,
}

impl FleetView {
    /// Returns the endpoints of a service that may be given work.
    pub fn usable(&self, service: &ServiceName) -> &[Arc<Endpoint>] {
        self.endpoints.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns an endpoint by its address.
    pub fn endpoint_at(&self, address: SocketAddr) -> Option<&Arc<Endpoint>> {
        self.endpoints
            .values()
            .flatten()
            .find(|endpoint| endpoint.address == address)
    }
}
