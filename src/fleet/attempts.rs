//! Attempts to serve a request at endpoints: the choice of an endpoint, the connection to it, and the
//! request that it gets.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HOST;
use hyper::http::response;
use hyper::{Request, StatusCode};
use slog::info;
use smallvec::SmallVec;
use tokio::time::timeout;

use crate::clock;
use crate::decisions::endpoint_choice::{AttemptEnd, EndpointRequest, Work};
use crate::decisions::engine_load::LoadEstimate;
use crate::fleet::admission::{AdmittedRequest, RequestEnd};
use crate::fleet::endpoint_client::{CallFailure, Connection, connect};
use crate::fleet::metric;
use crate::fleet::model::{Endpoint, RouteKind};
use crate::fleet::node::Node;
use crate::fleet::reply::{self, Reply};
use crate::platform::endpoint_call::{
    EndpointHeaders, ResponseClass, classify, endpoint_headers, refusal_of,
};
use crate::units::{DataCentreName, EndpointName, PartId};

/// Time after which a caller should retry, sent when no endpoint takes its request.
pub const NOT_RUN_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Minimum time left until the deadline for another attempt to be worth starting.
pub const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(20);
/// Pause after the first failure to replace a silent endpoint; it doubles with each further one, since
/// each may have run stages in vain.
const REPLACEMENT_PAUSE: Duration = Duration::from_millis(250);
/// Maximum number of failed connections for one request. None of them counts as a retry.
pub const MAX_FAILED_CONNECTIONS: u32 = 4;

/// Endpoints that were tried for one request, with the counts of its attempts.
#[derive(Debug, Default)]
pub struct Attempts {
    /// Endpoints that are not tried again, because a connection failed or the request was sent.
    pub tried: SmallVec<[EndpointName; 4]>,
    /// Number of connections that failed.
    pub failed_connections: u32,
    /// Number of times that the request was sent.
    pub sent: u32,
    /// Number of sends after which the request has run or may have run.
    pub runs: u32,
    /// Load of the endpoint that was chosen last, where endpoints report how long work takes.
    pub load: Option<LoadEstimate>,
}

impl Attempts {
    /// Formats the load by which the last endpoint was chosen, for the log.
    pub fn load_text(&self) -> Option<String> {
        self.load.map(|load| load.to_string())
    }
}

/// Outcome of waiting for an endpoint.
pub enum Awaited<T, R> {
    /// What the endpoint has sent.
    Output(T),
    /// A replacement for the endpoint, which was silent until it was ready.
    Replacement(R),
}

/// Waits for `output` of an endpoint. Once the endpoint has been silent for `silence_timeout`, also waits for
/// `replacement`, which ends when the request can be sent to another endpoint.
///
/// A sound endpoint may be silent for a while. So it is given up only for another one, never because there is
/// none, no retry is left or a stage has no result (`docs/platform.md`, "Retries").
pub async fn await_or_replace<T, R>(
    output: impl Future<Output = T>,
    silence_timeout: Duration,
    replacement: impl Future<Output = R>,
) -> Awaited<T, R> {
    let mut output = std::pin::pin!(output);
    if let Ok(output) = timeout(silence_timeout, output.as_mut()).await {
        return Awaited::Output(output);
    }
    tokio::select! {
        biased;
        output = output => Awaited::Output(output),
        replacement = replacement => Awaited::Replacement(replacement),
    }
}

/// Pauses between the tries to replace a silent endpoint.
pub fn replacement_pauses() -> impl Iterator<Item = Duration> {
    std::iter::successors(Some(REPLACEMENT_PAUSE), |pause| Some(*pause * 2))
}

/// Returns the reply for a request whose deadline has passed, or whose caller is about to leave.
pub fn timed_out(attempts: &Attempts) -> RequestEnd {
    if attempts.runs > 0 {
        let reply = reply::text(StatusCode::GATEWAY_TIMEOUT, "no answer in time");
        return RequestEnd::new(reply, "timeout, may have run");
    }
    let reply = reply::not_run("no endpoint was free in time", NOT_RUN_RETRY_AFTER);
    RequestEnd::new(reply, "timeout, not run")
}

/// Returns the refusal of a request with a part of its prompt that crashes engines, if there is one.
pub fn refuse_quarantined(
    node: &Node,
    admitted: &AdmittedRequest,
    attempts: &Attempts,
) -> Option<RequestEnd> {
    let (part, duration) = node.quarantined_part(admitted)?;
    Some(quarantined(attempts, part, duration))
}

/// Returns the reply for a request with a part of its prompt that is under quarantine for that much
/// longer.
pub fn quarantined(attempts: &Attempts, part: PartId, duration: Duration) -> RequestEnd {
    metric::quarantine_refused();
    let reason = format!("quarantined part {part}");
    let text = "a part of the prompt crashes engines";
    let reply = match attempts.runs {
        0 => reply::not_run(text, duration),
        _ => reply::text(StatusCode::BAD_GATEWAY, text),
    };
    RequestEnd::new(reply, reason)
}

/// Returns the time after which a caller should retry a request that no endpoint takes: `usual`, or that
/// until the first endpoint takes requests again if all have asked for a pause.
pub fn retry_after(node: &Node, admitted: &AdmittedRequest, usual: Duration) -> Duration {
    pause_of_all(node, admitted).map_or(usual, |pause| pause.max(usual))
}

/// Returns the time until the first endpoint takes requests again, if all have asked for a pause.
fn pause_of_all(node: &Node, admitted: &AdmittedRequest) -> Option<Duration> {
    let view = node.view();
    node.notices.pause(view.usable_endpoints(&admitted.service))
}

/// Returns the reply for a request that may have run and that no endpoint has answered. Its caller may repeat it if
/// its route allows that, and has no use for a repeat before an endpoint takes requests again.
pub fn failed(node: &Node, admitted: &AdmittedRequest) -> Reply {
    let pause = pause_of_all(node, admitted).filter(|_| admitted.route.may_retry());
    reply::may_have_run("the endpoint failed", pause)
}

/// Connects to the best endpoint that can be reached. Returns `None` when no endpoint is left or
/// [`MAX_FAILED_CONNECTIONS`] connections have failed.
pub async fn next_connection(
    node: &Node,
    admitted: &AdmittedRequest,
    attempts: &mut Attempts,
    work: Work<'_>,
) -> Option<(Arc<Endpoint>, Connection)> {
    loop {
        let endpoint = choose(node, admitted, attempts, work)?;
        node.choice.lock().reserve(clock::now(), &endpoint);
        attempts.load = node.loads.estimate(&endpoint);
        if let Some(load) = &attempts.load {
            metric::load_report_used(load.age);
        }
        node.loads.on_send(&endpoint, &work);
        match connect_to(node, admitted, &endpoint, attempts).await {
            Some(connection) => return Some((endpoint, connection)),
            None if attempts.failed_connections >= MAX_FAILED_CONNECTIONS => return None,
            None => {}
        }
    }
}

/// Chooses the best endpoint that was not tried yet.
pub fn choose(
    node: &Node,
    admitted: &AdmittedRequest,
    attempts: &Attempts,
    work: Work<'_>,
) -> Option<Arc<Endpoint>> {
    let view = node.view();
    let open = node.notices.open(view.usable_endpoints(&admitted.service));
    let request = EndpointRequest {
        tried: &attempts.tried,
        own_data_centre: &node.settings.data_centre,
        may_retry: admitted.route.may_retry(),
        work,
    };
    let cold_limit = |endpoint: &Endpoint| node.max_cold_requests_per_s(&view, endpoint);
    let (now, choice) = (clock::now(), node.choice.lock());
    node.loads.with(|loads| {
        choice.choose_by_load(now, &open, request, cold_limit, loads, &mut rand::rng())
    })
}

/// Connects to an endpoint. A failure counts against the endpoint in later choices, but not as a
/// retry, since nothing was sent.
async fn connect_to(
    node: &Node,
    admitted: &AdmittedRequest,
    endpoint: &Endpoint,
    attempts: &mut Attempts,
) -> Option<Connection> {
    match connect(endpoint.address).await {
        Ok(connection) => Some(connection),
        Err(CallFailure { message, .. }) => {
            attempts.failed_connections += 1;
            attempts.tried.push(endpoint.id.clone());
            let mut choice = node.choice.lock();
            let started = choice.start(clock::now(), endpoint, 0);
            choice.finish(clock::now(), started, AttemptEnd::Broken);
            metric::connection_failed();
            info!(node.logger, "request: connecting to an endpoint failed";
                "id" => &admitted.caller.id,
                "endpoint" => %endpoint.id, "error" => message);
            None
        }
    }
}

/// Returns the work of a request for an engine, by which the engine is chosen.
/// `preferred_data_centre` is the data centre that stores most of what the engine reads.
pub fn generation_work<'a>(
    admitted: &AdmittedRequest,
    preferred_data_centre: &'a DataCentreName,
) -> Work<'a> {
    let prompt = &admitted.caller.prompt_parts;
    // The last part of the prompt belongs to this request alone. The part before it is the longest
    // prefix that requests share.
    let prompt_prefix = prompt.iter().rev().nth(1).or(prompt.last());
    let shared = prompt.split_last().map_or(&[][..], |(_, shared)| shared);
    Work::Generation {
        prompt_prefix: prompt_prefix.map_or(0, |part| part.id.0),
        prompt_tokens: admitted.caller.prompt_tokens,
        shared_tokens: shared
            .iter()
            .fold(0, |sum: u32, part| sum.saturating_add(part.tokens)),
        preferred_data_centre,
    }
}

/// Heeds what the head of an endpoint's answer asks for, and classifies it. A refusal is logged with what the
/// endpoint states about it, since the answer to the caller does not show that.
pub fn read_head(
    node: &Node,
    admitted: &AdmittedRequest,
    endpoint: &Endpoint,
    head: &response::Parts,
) -> ResponseClass {
    let id = &admitted.caller.id;
    node.notices.read(endpoint, head.status, &head.headers);
    if let Some(refusal) = refusal_of(head.status, &head.headers, id) {
        metric::endpoint_refused(head.status.as_u16(), refusal.states_not_run);
        info!(node.logger, "request: an endpoint refused it"; "id" => id,
            "endpoint" => %endpoint.id, "status" => head.status.as_u16(),
            "states_not_run" => refusal.states_not_run, "signed" => refusal.is_signed,
            "answered_id" => refusal.answered_id.name());
    }
    classify(head.status, &head.headers, id)
}

/// Returns the reason, for the log, why a refusal of an endpoint counts as a failure.
pub fn unconfirmed_refusal(status: StatusCode) -> String {
    format!("refused {status} without stating that it has not run")
}

/// Builds the request to an endpoint. `inputs` are the stage results that it reads, and
/// `last_event` is the number of the event after which a stream is resumed.
pub fn build_request(
    admitted: &AdmittedRequest,
    endpoint: &Endpoint,
    inputs: Option<&[String]>,
    last_event: Option<u64>,
) -> Request<Full<Bytes>> {
    let headers = endpoint_headers(
        &admitted.headers,
        &EndpointHeaders {
            endpoint: &endpoint.id,
            time_left: admitted.time_left(),
            organisation: admitted
                .organisation
                .as_ref()
                .map(|organisation| &organisation.name),
            priority: (admitted.route.kind == RouteKind::Streaming).then(|| admitted.priority()),
            inputs,
            last_event,
        },
    );
    let mut request = Request::new(Full::new(admitted.body()));
    *request.method_mut() = admitted.method.clone();
    let path = admitted
        .uri
        .path_and_query()
        .map_or("/", |path| path.as_str());
    *request.uri_mut() = path.parse().unwrap_or_default();
    *request.headers_mut() = headers;
    if let Some(host) = admitted.headers.get(HOST) {
        request.headers_mut().insert(HOST, host.clone());
    }
    request
}
