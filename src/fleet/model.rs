//! Model of what the platform publishes: configuration, endpoints, and the VMs of the fleet.

use std::collections::{HashMap, HashSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use smallvec::SmallVec;

use crate::findings::Findings;
use crate::units::{DataCentreName, EndpointName, OrganisationName, ServiceName, Time, VmId};

/// Says how often a request of a route may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    NonIdempotent,
    /// A request is answered with a stream of events and runs at most once, unless the route is
    /// resumable.
    Streaming,
}

/// One stage that runs before the request itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteStage {
    /// The service whose endpoints run the stage.
    pub service: ServiceName,
    /// Numbers of the stages whose results this stage reads.
    pub after: SmallVec<[usize; 2]>,
    /// Approximate size of the result of one item.
    pub result_bytes: u64,
}

/// One route of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name of the route, for logs.
    pub name: String,
    /// Host name, in lower case, of the requests that the route is for.
    pub host: String,
    /// Path prefix of the requests that the route is for.
    pub path_prefix: String,
    /// Says how often a request of the route may run.
    pub kind: RouteKind,
    /// Upper bound on the time from the arrival of a request to its deadline.
    pub timeout: Duration,
    /// Target latency: an answer within this time is on time.
    pub objective: Duration,
    /// Priority of the requests; 0 is the most urgent.
    pub priority: u8,
    /// Services among which the requests are split, with their weights.
    pub targets: SmallVec<[(ServiceName, u32); 2]>,
    /// Maximum number of endpoints on which one request may run.
    pub max_attempts: u32,
    /// Stages that run before the request, in the order of their numbers.
    pub stages: SmallVec<[RouteStage; 3]>,
    /// Whether requests need no API key.
    pub is_public: bool,
    /// Whether a stream that broke may be resumed at another endpoint.
    pub is_resumable: bool,
    /// Time for which a caller waits for the first or the next event of a stream before it leaves. `None`
    /// for routes without streams, and where the configuration does not say.
    pub max_event_gap: Option<Duration>,
}

impl Route {
    /// Returns whether one request may run at more than one endpoint, one after the other.
    pub fn may_retry(&self) -> bool {
        self.kind == RouteKind::Idempotent || self.is_resumable
    }
}

/// Limits of a service whose endpoints run stages in batches.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BatchLimits {
    /// Number of calls that one endpoint runs at the same time.
    pub slots: u32,
    /// Maximum number of items in one call.
    pub max_batch_items: usize,
    /// Approximate time that a call takes in addition to that of its items, in milliseconds.
    pub call_overhead_ms: f64,
    /// Approximate time that each item adds to a call, in milliseconds.
    pub item_ms: f64,
    /// Memory for results that one endpoint has.
    pub result_memory_bytes: u64,
    /// Time for which an endpoint keeps a result after the call that made it.
    pub result_ttl: Duration,
}

/// One service of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceName,
    /// Maximum number of requests per second to a cold endpoint, from all VMs together; 0 for no
    /// limit.
    pub cold_requests_per_s: f64,
    /// Limits of batches; present when the endpoints of the service run stages.
    pub batching: Option<BatchLimits>,
}

/// An organisation, as found by an API key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Organisation {
    /// Name of the organisation.
    pub name: OrganisationName,
    /// Priority that replaces the route's; `None` keeps the route's.
    pub priority: Option<u8>,
}

/// Bounds on callers' requests and connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest head of a request: the request line and headers.
    pub max_header_bytes: usize,
    /// Largest body of a request.
    pub max_body_bytes: usize,
    /// Timeout until the head of a request is complete.
    pub header_timeout: Duration,
    /// Idle timeout of a connection.
    pub idle_timeout: Duration,
}

/// One version of the operator's configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Configuration {
    /// Version of the configuration; a newer configuration has a higher one.
    pub version: u64,
    /// Routes by host name in lower case; those of one host are in order of their path prefixes,
    /// longest first.
    pub routes: HashMap<String, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: HashMap<ServiceName, Service>,
    /// Organisations by API key. `None` if requests need no key; an empty table admits none but those on
    /// public routes.
    pub api_keys: Option<HashMap<String, Arc<Organisation>>>,
    /// API keys of organisations that cannot be used. Requests with them are refused on all routes.
    pub unusable_keys: HashSet<String>,
    /// Bounds on callers.
    pub limits: CallerLimits,
    /// Parts of the document that cannot be used.
    pub findings: Findings,
    /// The document as it was published, which is passed on to VMs that cannot reach the platform.
    pub document: Bytes,
}

impl Configuration {
    /// Returns the route for a request: the one of `host` with the longest prefix that matches.
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
    /// Id of the endpoint; most endpoints get a new one at each start.
    pub id: EndpointName,
    /// The service that the endpoint belongs to.
    pub service: ServiceName,
    /// Address at which the endpoint is called.
    pub address: SocketAddr,
    /// Data centre of the endpoint.
    pub data_centre: DataCentreName,
    /// Number of requests that the endpoint runs at the same time.
    pub slots: u32,
    /// Whether the endpoint takes new requests; false while it drains.
    pub is_ready: bool,
    /// Time until which the endpoint is cold and takes few requests; in the past for a warm one.
    pub cold_until: Time,
    /// Start of the endpoint's process, in milliseconds since the Unix epoch; 0 when the endpoint
    /// does not report it.
    pub started_ms: u64,
}

/// Size of a VM, by which work for the whole fleet is given to the larger ones.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct VmSize {
    /// Processor time that the VM may use, in thousandths of a core; 0 if it is unknown.
    pub cpu_millicores: u32,
    /// Bandwidth of the VM's link, in megabits per second; 0 if it is unknown.
    pub link_mbit_per_s: u32,
}

/// One VM of the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetVm {
    /// Name of the VM.
    pub name: VmId,
    /// Address of the VM.
    pub ip: Ipv4Addr,
    /// Data centre of the VM.
    pub data_centre: DataCentreName,
    /// Size of the VM.
    pub size: VmSize,
}
