//! The life of one request: admission, then the plain or the streaming path.
//!
//! `docs/platform.md`, "Requests" gives the sequence.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::{HeaderMap, Method, Request, StatusCode, Uri};
use slog::info;

use crate::clock;
use crate::decisions::rendezvous::rendezvous_order;
use crate::fleet::model::{Configuration, Organisation, Route, RouteKind};
use crate::fleet::node::Node;
use crate::fleet::reply::{self, Reply};
use crate::fleet::{metric, plain, stream};
use crate::platform::caller::{CallerRequest, decode_caller};
use crate::units::{ServiceName, Time};

/// Pause that a caller is told while this VM knows no configuration yet.
const NO_CONFIGURATION_PAUSE: Duration = Duration::from_millis(300);
/// Pause that a caller is told when this VM is about to end; another VM takes it at once.
const STOPPING_PAUSE: Duration = Duration::from_millis(20);
/// Time after the signal to stop in which requests are still taken: callers keep addresses
/// for as long.
const STOPPING_ACCEPTS: Duration = Duration::from_millis(2_600);
/// Time until a caller that sends its body too slowly is refused.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// An admitted request.
pub struct Call {
    /// What the caller said.
    pub caller: CallerRequest,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Its body.
    pub body: Bytes,
    /// The route that it goes by.
    pub route: Arc<Route>,
    /// The organisation whose key came with it.
    pub organisation: Option<Arc<Organisation>>,
    /// The service that it goes to.
    pub service: ServiceName,
    /// Version of the configuration that it goes by.
    pub version: u64,
    /// When its head was read.
    pub arrived_at: Time,
    /// When an answer stops to be on time.
    pub due: Time,
    /// When it gets its final answer at the latest.
    pub deadline: Time,
}

impl Call {
    /// Returns the time that is left for an answer.
    pub fn time_left(&self) -> Duration {
        self.deadline.since(clock::now())
    }

    /// Returns the rank of the request, 0 first.
    pub fn priority(&self) -> u8 {
        let own = self.organisation.as_ref().and_then(|known| known.priority);
        own.unwrap_or(self.route.priority)
    }
}

/// How a request ended, for the log.
pub struct Ended {
    /// The answer; boxed, since most results that may hold it hold something else.
    pub reply: Box<Reply>,
    /// What led to it.
    pub reason: String,
}

impl Ended {
    /// Pairs an answer with its reason.
    pub fn new(reply: Reply, reason: impl Into<String>) -> Self {
        Self {
            reply: Box::new(reply),
            reason: reason.into(),
        }
    }
}

struct ActiveGuard(Arc<Node>);

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        let before = self.0.active_requests.fetch_sub(1, Ordering::Relaxed);
        metric::active_requests(before.saturating_sub(1));
    }
}

/// Serves one request of a caller.
pub async fn serve_request(node: Arc<Node>, request: Request<Incoming>) -> Reply {
    let active = node.active_requests.fetch_add(1, Ordering::Relaxed);
    metric::active_requests(active + 1);
    let guard = ActiveGuard(Arc::clone(&node));
    let arrived_at = clock::now();
    let caller = decode_caller(request.headers());
    let id = caller.id.clone();
    let call = match admit(&node, request, caller, arrived_at).await {
        Ok(call) => Arc::new(call),
        Err(ended) => return finish(&node, &id, None, arrived_at, ended),
    };
    let ended = match call.route.kind {
        RouteKind::Streaming => stream::serve(Arc::clone(&node), Arc::clone(&call), guard).await,
        _ => {
            let ended = plain::serve(&node, &call).await;
            drop(guard);
            ended
        }
    };
    finish(&node, &id, Some(&call), arrived_at, ended)
}

fn finish(node: &Node, id: &str, call: Option<&Call>, arrived_at: Time, ended: Ended) -> Reply {
    let took = clock::now().since(arrived_at);
    let status = ended.reply.status();
    let outcome = if status.is_success() {
        "answered"
    } else {
        "failed"
    };
    metric::request_ended(outcome, status.as_u16(), took);
    info!(node.logger, "request: answered"; "id" => id, "status" => status.as_u16(),
        "reason" => ended.reason, "took_ms" => took.as_millis() as u64,
        "route" => call.map_or("", |call| &call.route.name),
        "configuration" => call.map_or(0, |call| call.version));
    *ended.reply
}

async fn admit(
    node: &Node,
    request: Request<Incoming>,
    caller: CallerRequest,
    arrived_at: Time,
) -> Result<Call, Ended> {
    let refuse_late = |node: &Node| {
        let began = *node.stop_began.lock();
        began.is_some_and(|began| arrived_at.since(began) > STOPPING_ACCEPTS)
    };
    if refuse_late(node) {
        let reply = reply::not_run("this VM stops", STOPPING_PAUSE);
        return Err(Ended::new(reply, "the VM stops"));
    }
    let Some(configuration) = node.view().configuration.clone() else {
        let reply = reply::not_run("no configuration is known yet", NO_CONFIGURATION_PAUSE);
        return Err(Ended::new(reply, "no configuration"));
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
        return Err(Ended::new(reply, "no route"));
    };
    let organisation = check_key(&configuration, route, &caller)?;
    if caller.id.is_empty() {
        let reply = reply::text(StatusCode::BAD_REQUEST, "the request has no id");
        return Err(Ended::new(reply, "no id"));
    }
    let body = read_caller_body(body, configuration.limits.max_body_bytes).await?;
    let Some(service) = pick_service(route, &caller.id) else {
        let reply = reply::not_run("the route has no service", NO_CONFIGURATION_PAUSE);
        return Err(Ended::new(reply, "no service"));
    };
    let wait = caller
        .deadline
        .map_or(route.timeout, |deadline| deadline.min(route.timeout));
    Ok(Call {
        headers: head.headers,
        method: head.method,
        uri: head.uri,
        body,
        route: Arc::clone(route),
        organisation,
        service,
        version: configuration.version,
        arrived_at,
        due: arrived_at + route.objective,
        deadline: arrived_at + wait,
        caller,
    })
}

fn check_key(
    configuration: &Configuration,
    route: &Route,
    caller: &CallerRequest,
) -> Result<Option<Arc<Organisation>>, Ended> {
    if configuration.api_keys.is_empty() {
        return Ok(None);
    }
    let key = caller.api_key.as_deref();
    let organisation = key.and_then(|key| configuration.api_keys.get(key)).cloned();
    if organisation.is_none() && !route.is_public {
        let reply = reply::text(StatusCode::UNAUTHORIZED, "the key is not known");
        return Err(Ended::new(reply, "unknown key"));
    }
    Ok(organisation)
}

async fn read_caller_body(body: Incoming, limit_bytes: usize) -> Result<Bytes, Ended> {
    let read = tokio::time::timeout(BODY_TIMEOUT, Limited::new(body, limit_bytes).collect()).await;
    match read {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            let reply = reply::text(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large");
            Err(Ended::new(reply, "body too large"))
        }
        Ok(Err(error)) => {
            let reply = reply::text(StatusCode::BAD_REQUEST, "the body is incomplete");
            Err(Ended::new(reply, format!("the body broke off: {error}")))
        }
        Err(_) => {
            let reply = reply::text(StatusCode::REQUEST_TIMEOUT, "the body came too slowly");
            Err(Ended::new(reply, "body too slow"))
        }
    }
}

/// Picks among the services of a split route by weight, the same for each id at all VMs.
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
    let mut rest = crate::decisions::endpoint_choice::hash_of(id) % total;
    for (service, weight) in &route.targets {
        if rest < u64::from(*weight) {
            return Some(service.clone());
        }
        rest -= u64::from(*weight);
    }
    None
}

/// Returns the VMs in the order in which they batch for a service.
pub fn batching_order(
    view: &crate::fleet::model::FleetView,
    service: &ServiceName,
) -> Vec<crate::fleet::model::FleetVm> {
    rendezvous_order(service.as_str(), view.vms.keys())
        .into_iter()
        .filter_map(|name| view.vms.get(name).cloned())
        .collect()
}
