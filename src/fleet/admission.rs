//! Admits requests of callers: checks them, reads their bodies and finds their routes and services.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::HOST;
use hyper::{HeaderMap, Method, Request, StatusCode, Uri, Version};
use parking_lot::Mutex;

use crate::clock;
use crate::decisions::caller_memory::Phase;
use crate::decisions::endpoint_choice::hash_of;
use crate::decisions::warm_start::return_after;
use crate::fleet::caller_memory::{CallerAccount, OverMemory};
use crate::fleet::model::{Configuration, Organisation, Route, RouteKind};
use crate::fleet::node::Node;
use crate::fleet::reply::{self, Reply};
use crate::fleet::request_progress::Progress;
use crate::platform::caller::CallerRequest;
use crate::units::{ServiceName, Time};

/// Time after which a caller should retry, sent while the route has no service.
const NO_SERVICE_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Time after which a caller should retry, sent when this VM stops. It is short because another VM
/// takes the request at once.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(20);
/// Timeout for reading the whole body of a request, after which the request is refused. It is shorter if
/// the caller leaves sooner.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after which a caller should retry, sent when this VM holds too much for its callers. Slow callers give
/// way after a second.
const OVER_MEMORY_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Capacity up to which the buffer of a body is made at once, by the announced size. Larger ones grow as the body
/// comes.
const MAX_FIRST_CAPACITY_BYTES: usize = 64 * 1024;
/// Time before a caller leaves by which it is refused, so that the refusal still reaches it.
const REFUSAL_MARGIN: Duration = Duration::from_millis(150);

/// An admitted request.
pub struct AdmittedRequest {
    /// What the platform headers of the request say.
    pub caller: CallerRequest,
    /// Headers of the request.
    pub headers: HeaderMap,
    /// Method of the request.
    pub method: Method,
    /// URI of the request; its path and query go to the endpoint.
    pub uri: Uri,
    /// Body of the request, empty once it can no longer be sent.
    body: Mutex<Bytes>,
    /// The route that matches the request.
    pub route: Arc<Route>,
    /// The organisation whose API key the request has, if any.
    pub organisation: Option<Arc<Organisation>>,
    /// The service whose endpoints serve the request.
    pub service: ServiceName,
    /// Version of the configuration that the request was admitted with.
    pub configuration_version: u64,
    /// When the head of the request was read.
    pub arrived_at: Time,
    /// Time until which an answer is on time, from the objective of the route.
    pub due: Time,
    /// Time until which the request gets its final answer at the latest.
    pub deadline: Time,
    /// Time by which the caller needs the first event of a stream or a refusal, because it leaves soon after.
    /// It is the deadline for requests without a stream.
    pub first_event_by: Time,
    /// What the request waits for.
    pub progress: Arc<Progress>,
}

impl AdmittedRequest {
    /// Returns the body of the request.
    pub fn body(&self) -> Bytes {
        self.body.lock().clone()
    }

    /// Frees the body, once the request will not be sent again.
    pub fn free_body(&self) {
        *self.body.lock() = Bytes::new();
    }

    /// Returns the time left until the deadline.
    pub fn time_left(&self) -> Duration {
        self.deadline.since(clock::now())
    }

    /// Returns the time by which the caller needs the next event, if it gets one now.
    pub fn next_event_by(&self) -> Time {
        event_needed_by(&self.route, clock::now(), self.deadline)
    }

    /// Returns the priority of the request; 0 is the most urgent. The priority of the organisation
    /// goes before that of the route.
    pub fn priority(&self) -> u8 {
        let by_organisation = self
            .organisation
            .as_ref()
            .and_then(|organisation| organisation.priority);
        by_organisation.unwrap_or(self.route.priority)
    }
}

/// Whose answer a caller gets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerSource {
    /// This VM's own.
    Vm,
    /// That of an endpoint, unchanged.
    Endpoint,
}

impl AnswerSource {
    /// Returns the name for logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Vm => "vm",
            Self::Endpoint => "endpoint",
        }
    }
}

/// How a request ended: the answer to the caller, with the reason for the log.
pub struct RequestEnd {
    /// The answer to the caller. It is boxed to keep results small, since most results that can
    /// hold it hold another value.
    pub reply: Box<Reply>,
    /// Whose answer it is.
    pub source: AnswerSource,
    /// What led to the answer.
    pub reason: String,
}

impl RequestEnd {
    /// Pairs an answer of this VM with its reason.
    pub fn new(reply: Reply, reason: impl Into<String>) -> Self {
        Self {
            reply: Box::new(reply),
            source: AnswerSource::Vm,
            reason: reason.into(),
        }
    }

    /// Pairs an answer of an endpoint with its reason.
    pub fn relayed(reply: Reply, reason: impl Into<String>) -> Self {
        Self {
            source: AnswerSource::Endpoint,
            ..Self::new(reply, reason)
        }
    }

    /// Ends a request that cannot be answered before this VM stops. `runs` is the number of times that it has
    /// run or may have run.
    pub fn vm_stops(runs: u32) -> Self {
        let reply = match runs {
            0 => reply::not_run("this VM stops", STOPPING_RETRY_AFTER),
            _ => reply::text(StatusCode::BAD_GATEWAY, "this VM stops"),
        };
        Self::new(reply, "the VM stops")
    }
}

/// Checks a request, reads its body and finds its route and service.
pub async fn admit(
    node: &Node,
    request: Request<Incoming>,
    caller: CallerRequest,
    arrived_at: Time,
    progress: Arc<Progress>,
) -> Result<AdmittedRequest, RequestEnd> {
    let planned_stop = *node.planned_stop.lock();
    if planned_stop.is_some_and(|planned_stop| !planned_stop.accepts(arrived_at)) {
        return Err(RequestEnd::vm_stops(0));
    }
    let Some(configuration) = node.configuration_for(&caller).await else {
        let reply = reply::not_run("no configuration is known yet", return_after(&caller.id));
        return Err(RequestEnd::new(reply, "no configuration"));
    };
    let (head, body) = request.into_parts();
    let host = head.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = host.or_else(|| head.uri.host()).unwrap_or_default();
    let host = host
        .split(':')
        .next()
        .unwrap_or_default()
        .to_ascii_lowercase();
    let Some(route) = configuration.route(&host, head.uri.path()) else {
        let reply = reply::text(StatusCode::NOT_FOUND, "no route matches");
        return Err(RequestEnd::new(reply, "no route"));
    };
    if route.kind == RouteKind::Streaming && head.version < Version::HTTP_11 {
        // Without chunks, a stream that breaks off would look complete.
        let reply = reply::text(
            StatusCode::HTTP_VERSION_NOT_SUPPORTED,
            "streams need HTTP/1.1",
        );
        return Err(RequestEnd::new(reply, "a stream by HTTP/1.0"));
    }
    let organisation = check_api_key(&configuration, route, &caller)?;
    if caller.id.is_empty() {
        let reply = reply::text(StatusCode::BAD_REQUEST, "the request has no id");
        return Err(RequestEnd::new(reply, "no id"));
    }
    if caller.is_stage_key_unreadable && !route.stages.is_empty() {
        let reply = reply::text(StatusCode::BAD_REQUEST, "the key of the items is no UTF-8");
        return Err(RequestEnd::new(reply, "unreadable stage key"));
    }
    let Some(service) = pick_service(route, &caller.id) else {
        let reply = reply::not_run("the route has no service", NO_SERVICE_RETRY_AFTER);
        return Err(RequestEnd::new(reply, "no service"));
    };
    let time_limit = caller
        .deadline
        .map_or(route.timeout, |deadline| deadline.min(route.timeout));
    let deadline = arrived_at + time_limit;
    let first_event_by = event_needed_by(route, arrived_at, deadline);
    let body_timeout = BODY_TIMEOUT.min(first_event_by.since(clock::now()));
    let account = head.extensions.get::<CallerAccount>();
    let account = account.map_or_else(CallerAccount::unlimited, CallerAccount::clone);
    let limit_bytes = configuration.limits.max_body_bytes;
    let body = read_caller_body(body, limit_bytes, body_timeout, &account).await?;
    Ok(AdmittedRequest {
        headers: head.headers,
        method: head.method,
        uri: head.uri,
        body: Mutex::new(body),
        route: Arc::clone(route),
        organisation,
        service,
        configuration_version: configuration.version,
        arrived_at,
        due: arrived_at + route.objective,
        deadline,
        first_event_by,
        caller,
        progress,
    })
}

/// Returns the time by which a caller that begins to wait at `from` needs an event or a refusal. The deadline
/// needs no margin, since endpoints report it themselves.
fn event_needed_by(route: &Route, from: Time, deadline: Time) -> Time {
    let Some(gap) = route.max_event_gap else {
        return deadline;
    };
    deadline.min(from + gap.saturating_sub(REFUSAL_MARGIN))
}

/// Returns the organisation of the API key. A request without a known API key is refused unless the
/// route is public or requests need no key; one of an organisation that cannot be used is always refused.
fn check_api_key(
    configuration: &Configuration,
    route: &Route,
    caller: &CallerRequest,
) -> Result<Option<Arc<Organisation>>, RequestEnd> {
    let Some(api_keys) = &configuration.api_keys else {
        return Ok(None);
    };
    let api_key = caller.api_key.as_deref();
    if api_key.is_some_and(|api_key| configuration.unusable_keys.contains(api_key)) {
        let reply = reply::not_run("the organisation is not usable", NO_SERVICE_RETRY_AFTER);
        return Err(RequestEnd::new(reply, "unusable organisation"));
    }
    let organisation = api_key.and_then(|api_key| api_keys.get(api_key)).cloned();
    if organisation.is_none() && !route.is_public {
        let reply = reply::text(StatusCode::UNAUTHORIZED, "the key is not known");
        return Err(RequestEnd::new(reply, "unknown key"));
    }
    Ok(organisation)
}

/// Reads the whole body of a request, up to `limit_bytes`, within the time limit and the memory of this VM.
async fn read_caller_body(
    body: Incoming,
    limit_bytes: usize,
    time_limit: Duration,
    account: &CallerAccount,
) -> Result<Bytes, RequestEnd> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    account.enter(Phase::Body);
    let read = tokio::time::timeout(time_limit, collect_body(body, limit_bytes, account));
    let read = tokio::select! {
        biased;
        read = read => read,
        () = account.body_gives_way() => Ok(Err(BodyFailure::OverMemory)),
    };
    account.enter(Phase::Serving);
    match read {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(failure)) => Err(failure.into()),
        Err(_) => {
            let reply = reply::text(StatusCode::REQUEST_TIMEOUT, "the body came too slowly");
            Err(RequestEnd::new(reply, "body too slow"))
        }
    }
}

/// Why the body of a request was not read to its end.
enum BodyFailure {
    TooLarge,
    Incomplete(hyper::Error),
    OverMemory,
}

impl From<OverMemory> for BodyFailure {
    fn from(_: OverMemory) -> Self {
        Self::OverMemory
    }
}

impl From<BodyFailure> for RequestEnd {
    fn from(failure: BodyFailure) -> Self {
        match failure {
            BodyFailure::TooLarge => {
                let reply = reply::text(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large");
                Self::new(reply, "body too large")
            }
            BodyFailure::Incomplete(error) => {
                let reply = reply::text(StatusCode::BAD_REQUEST, "the body is incomplete");
                Self::new(reply, format!("the body broke off: {error}"))
            }
            BodyFailure::OverMemory => {
                let reply = reply::not_run(
                    "this VM holds too much for its callers",
                    OVER_MEMORY_RETRY_AFTER,
                );
                Self::new(reply, "no memory for the body")
            }
        }
    }
}

/// Copies the parts of a body into one buffer as they come, since each part would keep the buffer of the
/// connection in use. The body is charged by its announced size before it is read, and by its buffer.
async fn collect_body(
    mut body: Incoming,
    limit_bytes: usize,
    account: &CallerAccount,
) -> Result<Bytes, BodyFailure> {
    let size = body.size_hint();
    let announced = size
        .exact()
        .map(|bytes| usize::try_from(bytes).unwrap_or(usize::MAX));
    if announced.is_some_and(|bytes| bytes > limit_bytes) {
        return Err(BodyFailure::TooLarge);
    }
    let mut held = account.hold(Phase::Body);
    held.grow_to(announced.unwrap_or(0))?;
    let max_capacity = announced.unwrap_or(limit_bytes);
    let mut buffer = Vec::with_capacity(announced.unwrap_or(0).min(MAX_FIRST_CAPACITY_BYTES));
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(BodyFailure::Incomplete)?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        let needed = buffer.len() + data.len();
        if needed > limit_bytes {
            return Err(BodyFailure::TooLarge);
        }
        if needed > buffer.capacity() {
            let capacity = needed
                .max(buffer.capacity() * 2)
                .min(max_capacity.max(needed));
            held.grow_to(capacity)?;
            buffer.reserve_exact(capacity - buffer.len());
        }
        buffer.extend_from_slice(data);
    }
    Ok(held.attach_all(buffer))
}

/// Picks one of the services of a route by weight. The choice depends only on the request id, so
/// that all VMs pick the same service.
fn pick_service(route: &Route, id: &str) -> Option<ServiceName> {
    if let [(service, _)] = route.targets.as_slice() {
        return Some(service.clone());
    }
    let total: u64 = route
        .targets
        .iter()
        .map(|(_, weight)| u64::from(*weight))
        .sum();
    if total == 0 {
        return None;
    }
    let mut position = hash_of(id) % total;
    for (service, weight) in &route.targets {
        if position < u64::from(*weight) {
            return Some(service.clone());
        }
        position -= u64::from(*weight);
    }
    None
}
