//! Serves requests whose answer is one document, as against a stream of events.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use slog::info;
use smallvec::SmallVec;
use tokio::time::timeout;

use crate::clock;
use crate::decisions::endpoint_choice::{AttemptEnd, EndpointRequest, Work};
use crate::fleet::endpoint_client::{CallFailure, Connection, connect, read_body};
use crate::fleet::metric;
use crate::fleet::model::{Endpoint, RouteKind};
use crate::fleet::node::{MAX_SENDS, Node};
use crate::fleet::reply::{self, Reply};
use crate::fleet::request::{AdmittedRequest, RequestEnd};
use crate::platform::endpoint_call::{
    EndpointHeaders, ResponseClass, classify, endpoint_headers, returned_headers,
};
use crate::traffic::Execution;
use crate::units::EndpointName;

/// Time after which a caller should retry, sent when no endpoint takes its request.
const NOT_RUN_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Minimum time left until the deadline for another attempt to be worth starting.
pub const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(20);
/// Timeout of an attempt of an idempotent request that may be retried, as a multiple of the route's
/// objective. The request is sent to another endpoint after it.
const ATTEMPT_TIMEOUT_OBJECTIVES: f64 = 1.5;
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
}

/// Serves a request until its answer is complete or its deadline has passed.
pub async fn serve(node: &Node, admitted: &AdmittedRequest) -> RequestEnd {
    node.note_request(&admitted.service);
    let mut attempts = Attempts::default();
    let served = timeout(admitted.time_left(), run(node, admitted, &mut attempts)).await;
    served.unwrap_or_else(|_| timed_out(&attempts))
}

/// Returns the reply for a request whose deadline has passed.
pub fn timed_out(attempts: &Attempts) -> RequestEnd {
    if attempts.runs > 0 {
        let reply = reply::text(StatusCode::GATEWAY_TIMEOUT, "no answer in time");
        return RequestEnd::new(reply, "timeout, may have run");
    }
    let reply = reply::not_run("no endpoint was free in time", NOT_RUN_RETRY_AFTER);
    RequestEnd::new(reply, "timeout, not run")
}

/// Sends a request to one endpoint after the other until one answers or no other may be tried.
async fn run(node: &Node, admitted: &AdmittedRequest, attempts: &mut Attempts) -> RequestEnd {
    let is_idempotent = admitted.route.kind == RouteKind::Idempotent;
    let mut fallback: Option<Reply> = None;
    let mut last_reason = String::from("no endpoint");
    while let Some((endpoint, connection)) =
        next_connection(node, admitted, attempts, Work::Plain).await
    {
        if attempts.sent > 0 && !node.take_retry(&admitted.service, attempts.sent) {
            last_reason.push_str(", no repeat left");
            break;
        }
        attempts.sent += 1;
        attempts.runs += 1;
        attempts.tried.push(endpoint.id.clone());
        let may_retry = is_idempotent && attempts.runs < admitted.route.max_attempts;
        let limit = if may_retry {
            let timeout_by_objective = admitted.route.objective.mul_f64(ATTEMPT_TIMEOUT_OBJECTIVES);
            timeout_by_objective.min(admitted.time_left() / 2)
        } else {
            admitted.time_left()
        };
        let (reason, outcome) = attempt(node, admitted, &endpoint, connection, limit).await;
        info!(node.logger, "request: attempt ended"; "id" => &admitted.caller.id,
            "endpoint" => %endpoint.id, "sent" => attempts.sent, "end" => &reason);
        last_reason = reason;
        match outcome {
            AttemptOutcome::Answer(reply) if reply.status().is_server_error() && may_retry => {
                fallback = Some(reply);
            }
            AttemptOutcome::Answer(reply) => return RequestEnd::new(reply, last_reason),
            AttemptOutcome::NotRun => attempts.runs -= 1,
            AttemptOutcome::Unknown if may_retry => {}
            AttemptOutcome::Unknown => break,
        }
        if attempts.sent >= MAX_SENDS || admitted.time_left() < MIN_ATTEMPT_TIME {
            break;
        }
    }
    if fallback.is_none() && admitted.time_left() < MIN_ATTEMPT_TIME {
        // The timeout of the last attempt ends at the deadline of the request, so it can pass just
        // before the timeout of `serve` does.
        return timed_out(attempts);
    }
    match fallback {
        Some(reply) => RequestEnd::new(reply, format!("error of the endpoint; {last_reason}")),
        None if attempts.runs > 0 => RequestEnd::new(
            reply::text(StatusCode::BAD_GATEWAY, "the endpoint failed"),
            last_reason,
        ),
        None => RequestEnd::new(
            reply::not_run("no endpoint took the request", NOT_RUN_RETRY_AFTER),
            last_reason,
        ),
    }
}

/// What one attempt means for the request.
enum AttemptOutcome {
    /// The endpoint has answered, maybe with an error status.
    Answer(Reply),
    /// The request has not run at the endpoint.
    NotRun,
    /// The request may have run at the endpoint.
    Unknown,
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
    node.choice.lock().choose(
        clock::now(),
        view.usable_endpoints(&admitted.service),
        EndpointRequest {
            tried: &attempts.tried,
            own_data_centre: &node.settings.data_centre,
            may_retry: admitted.route.may_retry(),
            work,
        },
        |endpoint| node.max_cold_requests_per_s(&view, endpoint),
    )
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

/// Sends a request to an endpoint and reads the answer. Returns the end of the attempt as text for
/// the log, and its outcome.
async fn attempt(
    node: &Node,
    admitted: &AdmittedRequest,
    endpoint: &Endpoint,
    connection: Connection,
    limit: Duration,
) -> (String, AttemptOutcome) {
    let started = node.choice.lock().start(clock::now(), endpoint, 0);
    // The guard also ends the attempt when the caller leaves and this future is dropped.
    let mut guard = AttemptGuard {
        node,
        started: Some(started),
    };
    let sent_at = clock::now();
    let request = build_request(admitted, endpoint, None, None);
    let answer = timeout(
        limit,
        whole_answer(connection, request, &admitted.caller.id),
    )
    .await;
    let took = clock::now().since(sent_at);
    let (end, reason, outcome) = match answer {
        Err(_) => (
            AttemptEnd::Broken,
            format!("no answer in {limit:?}"),
            AttemptOutcome::Unknown,
        ),
        Ok(Err(failure)) => {
            let outcome = match failure.ran {
                Execution::NotRun => AttemptOutcome::NotRun,
                Execution::MayHaveRun => AttemptOutcome::Unknown,
            };
            (AttemptEnd::Broken, failure.message, outcome)
        }
        Ok(Ok((ResponseClass::Answer, reply))) => {
            let status = reply.status();
            let end = if status.is_server_error() {
                AttemptEnd::Error
            } else {
                AttemptEnd::Answered(Some(took))
            };
            (
                end,
                format!("answered {status}"),
                AttemptOutcome::Answer(reply),
            )
        }
        Ok(Ok((ResponseClass::NotRun, reply))) => (
            AttemptEnd::Full,
            format!("refused {}", reply.status()),
            AttemptOutcome::NotRun,
        ),
        Ok(Ok((ResponseClass::OtherEndpoint, _))) => (
            AttemptEnd::Broken,
            "another endpoint has the address".to_owned(),
            AttemptOutcome::NotRun,
        ),
        Ok(Ok((ResponseClass::Invalid, reply))) => (
            AttemptEnd::Broken,
            format!("not an answer to this request: {}", reply.status()),
            AttemptOutcome::Unknown,
        ),
    };
    guard.finish(end);
    (reason, outcome)
}

/// Records an attempt as inconclusive when it is dropped before [`AttemptGuard::finish`].
struct AttemptGuard<'a> {
    node: &'a Node,
    started: Option<crate::decisions::endpoint_choice::StartedAttempt>,
}

impl AttemptGuard<'_> {
    fn finish(&mut self, end: AttemptEnd) {
        if let Some(started) = self.started.take() {
            self.node.end_attempt(started, end);
        }
    }
}

impl Drop for AttemptGuard<'_> {
    fn drop(&mut self) {
        self.finish(AttemptEnd::Inconclusive);
    }
}

/// Sends a request and classifies its answer. The body is read only for an answer to this request.
async fn whole_answer(
    connection: Connection,
    request: Request<Full<Bytes>>,
    id: &str,
) -> Result<(ResponseClass, Reply), CallFailure> {
    let (head, body) = connection.send(request).await?.into_parts();
    let class = classify(head.status, &head.headers, id);
    let body = if class == ResponseClass::Answer {
        read_body(body).await?
    } else {
        Bytes::new()
    };
    let headers = returned_headers(&head.headers);
    let reply = reply::relayed(head.status, headers, reply::whole_body(body));
    Ok((class, reply))
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
    let mut request = Request::new(Full::new(admitted.body.clone()));
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
