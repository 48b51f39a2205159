//! Requests whose answer is one document.

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
use crate::decisions::endpoint_choice::{AttemptEnd, Placement, Work};
use crate::fleet::endpoint_client::{Answer, CallFailure, Connection, connect, read_body};
use crate::fleet::metric;
use crate::fleet::model::{Endpoint, RouteKind};
use crate::fleet::node::{MAX_SENDS, Node};
use crate::fleet::reply::{self, Reply};
use crate::fleet::request::{Call, Ended};
use crate::platform::endpoint_call::{
    EndpointHeaders, ResponseClass, classify, endpoint_headers, returned_headers,
};
use crate::traffic::Execution;
use crate::units::EndpointName;

/// Pause that a caller is told when no endpoint takes its request.
const FULL_PAUSE: Duration = Duration::from_millis(200);
/// Minimum time that is left for an attempt to make sense.
pub const MIN_ATTEMPT: Duration = Duration::from_millis(20);
/// An idempotent request that has no answer after this many objectives is sent elsewhere.
const PATIENCE_OBJECTIVES: f64 = 1.5;
/// Connections that are tried for one request; none of them costs a retry.
pub const MAX_CONNECTS: u32 = 4;

/// Endpoints that a request was offered to and what came of it.
#[derive(Debug, Default)]
pub struct Attempts {
    /// Endpoints not to try again.
    pub tried: SmallVec<[EndpointName; 4]>,
    /// Connections that failed.
    pub connects: u32,
    /// Times that the request was sent.
    pub sent: u32,
    /// Times that it has run or may have run.
    pub runs: u32,
}

/// Serves a request to its end.
pub async fn serve(node: &Node, call: &Call) -> Ended {
    node.note_request(&call.service);
    let mut attempts = Attempts::default();
    let served = timeout(call.time_left(), run(node, call, &mut attempts)).await;
    served.unwrap_or_else(|_| timed_out(&attempts))
}

/// Answers a request whose time is over.
pub fn timed_out(attempts: &Attempts) -> Ended {
    if attempts.runs > 0 {
        let reply = reply::text(StatusCode::GATEWAY_TIMEOUT, "no answer in time");
        return Ended::new(reply, "timeout, may have run");
    }
    let reply = reply::not_run("no endpoint was free in time", FULL_PAUSE);
    Ended::new(reply, "timeout, not run")
}

async fn run(node: &Node, call: &Call, attempts: &mut Attempts) -> Ended {
    let is_idempotent = call.route.kind == RouteKind::Idempotent;
    let mut fallback: Option<Reply> = None;
    let mut last = String::from("no endpoint");
    while let Some((endpoint, connection)) =
        next_connection(node, call, attempts, Work::Plain).await
    {
        if attempts.sent > 0 && !node.take_retry(&call.service, attempts.sent) {
            last.push_str(", no repeat left");
            break;
        }
        attempts.sent += 1;
        attempts.runs += 1;
        attempts.tried.push(endpoint.id.clone());
        let may_go_on = is_idempotent && attempts.runs < call.route.max_attempts;
        let limit = if may_go_on {
            let patience = call.route.objective.mul_f64(PATIENCE_OBJECTIVES);
            patience.min(call.time_left() / 2)
        } else {
            call.time_left()
        };
        let (end, outcome) = attempt(node, call, &endpoint, connection, limit).await;
        info!(node.logger, "request: attempt ended"; "id" => &call.caller.id,
            "endpoint" => %endpoint.id, "sent" => attempts.sent, "end" => &end);
        last = end;
        match outcome {
            Outcome::Answer(reply) if reply.status().is_server_error() && may_go_on => {
                fallback = Some(reply);
            }
            Outcome::Answer(reply) => return Ended::new(reply, last),
            Outcome::NotRun => attempts.runs -= 1,
            Outcome::Unknown if may_go_on => {}
            Outcome::Unknown => break,
        }
        if attempts.sent >= MAX_SENDS || call.time_left() < MIN_ATTEMPT {
            break;
        }
    }
    if fallback.is_none() && call.time_left() < MIN_ATTEMPT {
        // The limit of the last attempt and the deadline of the request end at the same moment.
        return timed_out(attempts);
    }
    match fallback {
        Some(reply) => Ended::new(reply, format!("error of the endpoint; {last}")),
        None if attempts.runs > 0 => Ended::new(
            reply::text(StatusCode::BAD_GATEWAY, "the endpoint failed"),
            last,
        ),
        None => Ended::new(
            reply::not_run("no endpoint took the request", FULL_PAUSE),
            last,
        ),
    }
}

enum Outcome {
    Answer(Reply),
    NotRun,
    Unknown,
}

/// Connects to the best endpoint that can be reached.
pub async fn next_connection(
    node: &Node,
    call: &Call,
    attempts: &mut Attempts,
    work: Work<'_>,
) -> Option<(Arc<Endpoint>, Connection)> {
    loop {
        let endpoint = choose(node, call, attempts, work)?;
        match connect_to(node, call, &endpoint, attempts).await {
            Some(connection) => return Some((endpoint, connection)),
            None if attempts.connects >= MAX_CONNECTS => return None,
            None => {}
        }
    }
}

/// Chooses an endpoint that was not tried yet.
pub fn choose(
    node: &Node,
    call: &Call,
    attempts: &Attempts,
    work: Work<'_>,
) -> Option<Arc<Endpoint>> {
    let view = node.view();
    node.choice.lock().choose(
        clock::now(),
        view.usable(&call.service),
        Placement {
            tried: &attempts.tried,
            own: &node.settings.data_centre,
            may_retry: call.route.may_retry(),
            work,
        },
        |endpoint| node.cold_sends(&view, endpoint),
    )
}

/// Connects to an endpoint; a failure is noted and costs no retry, since nothing was sent.
async fn connect_to(
    node: &Node,
    call: &Call,
    endpoint: &Endpoint,
    attempts: &mut Attempts,
) -> Option<Connection> {
    match connect(endpoint.address).await {
        Ok(connection) => Some(connection),
        Err(CallFailure { message, .. }) => {
            attempts.connects += 1;
            attempts.tried.push(endpoint.id.clone());
            let mut choice = node.choice.lock();
            let started = choice.start(clock::now(), endpoint, 0);
            choice.finish(clock::now(), started, AttemptEnd::Broken);
            metric::connection_failed();
            info!(node.logger, "request: no connection"; "id" => &call.caller.id,
                "endpoint" => %endpoint.id, "error" => message);
            None
        }
    }
}

async fn attempt(
    node: &Node,
    call: &Call,
    endpoint: &Endpoint,
    connection: Connection,
    limit: Duration,
) -> (String, Outcome) {
    let started = node.choice.lock().start(clock::now(), endpoint, 0);
    // Freed also when the caller leaves and this future is dropped.
    let mut observed = Observed {
        node,
        started: Some(started),
    };
    let sent_at = clock::now();
    let request = build_request(call, endpoint, None, None);
    let answer = timeout(limit, whole_answer(connection, request, &call.caller.id)).await;
    let took = clock::now().since(sent_at);
    let (end, text, outcome) = match answer {
        Err(_) => (
            AttemptEnd::Broken,
            format!("no answer in {limit:?}"),
            Outcome::Unknown,
        ),
        Ok(Err(failure)) => {
            let outcome = match failure.ran {
                Execution::NotRun => Outcome::NotRun,
                Execution::MayHaveRun => Outcome::Unknown,
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
            (end, format!("answered {status}"), Outcome::Answer(reply))
        }
        Ok(Ok((ResponseClass::NotRun, reply))) => (
            AttemptEnd::Full,
            format!("refused {}", reply.status()),
            Outcome::NotRun,
        ),
        Ok(Ok((ResponseClass::OtherEndpoint, _))) => (
            AttemptEnd::Broken,
            "another endpoint has the address".to_owned(),
            Outcome::NotRun,
        ),
        Ok(Ok((ResponseClass::Invalid, reply))) => (
            AttemptEnd::Broken,
            format!("not an answer to this request: {}", reply.status()),
            Outcome::Unknown,
        ),
    };
    observed.finish(end);
    (text, outcome)
}

/// An attempt that is noted as ended inconclusively unless its end is known.
struct Observed<'a> {
    node: &'a Node,
    started: Option<crate::decisions::endpoint_choice::Started>,
}

impl Observed<'_> {
    fn finish(&mut self, end: AttemptEnd) {
        if let Some(started) = self.started.take() {
            self.node.end_attempt(started, end);
        }
    }
}

impl Drop for Observed<'_> {
    fn drop(&mut self) {
        self.finish(AttemptEnd::Inconclusive);
    }
}

async fn whole_answer(
    connection: Connection,
    request: Request<Full<Bytes>>,
    id: &str,
) -> Result<(ResponseClass, Reply), CallFailure> {
    let answer: Answer = connection.send(request).await?;
    let (response, _connection) = answer.into_parts();
    let (head, body) = response.into_parts();
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

/// Builds the request to an endpoint.
pub fn build_request(
    call: &Call,
    endpoint: &Endpoint,
    inputs: Option<&[String]>,
    last_event: Option<u64>,
) -> Request<Full<Bytes>> {
    let headers = endpoint_headers(
        &call.headers,
        &EndpointHeaders {
            endpoint: &endpoint.id,
            time_left: call.time_left(),
            organisation: call.organisation.as_ref().map(|known| &known.name),
            priority: (call.route.kind == RouteKind::Streaming).then(|| call.priority()),
            inputs,
            last_event,
        },
    );
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    let path = call.uri.path_and_query().map_or("/", |path| path.as_str());
    *request.uri_mut() = path.parse().unwrap_or_default();
    *request.headers_mut() = headers;
    if let Some(host) = call.headers.get(HOST) {
        request.headers_mut().insert(HOST, host.clone());
    }
    request
}
