//! Serves requests whose answer is one document, as against a stream of events.

use std::future::pending;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::http::response;
use slog::info;
use tokio::time::{sleep, timeout};

use crate::clock;
use crate::decisions::endpoint_choice::{AttemptEnd, StartedAttempt, Work};
use crate::fleet::admission::{AdmittedRequest, RequestEnd};
use crate::fleet::attempts::{
    Attempts, Awaited, MIN_ATTEMPT_TIME, NOT_RUN_RETRY_AFTER, await_or_replace, build_request,
    failed, next_connection, read_head, refuse_quarantined, replacement_pauses, retry_after,
    timed_out, unconfirmed_refusal,
};
use crate::fleet::crash_reports::check_engine;
use crate::fleet::endpoint_client::{CallFailure, Connection, read_body};
use crate::fleet::model::{Endpoint, RouteKind};
use crate::fleet::node::{MAX_SENDS, Node};
use crate::fleet::reply::{self, Reply};
use crate::fleet::request_progress::Wait;
use crate::platform::endpoint_call::{ResponseClass, returned_headers};
use crate::traffic::Execution;

/// Time without an answer after which an idempotent request goes on at another endpoint if it can, as a
/// multiple of the route's objective.
const SILENCE_TIMEOUT_OBJECTIVES: f64 = 1.5;

/// Serves a request until its answer is complete or its deadline has passed.
pub async fn serve(node: &Arc<Node>, admitted: &AdmittedRequest) -> RequestEnd {
    node.note_request(&admitted.service);
    let mut attempts = Attempts::default();
    let mut fallback = None;
    let run = run(node, admitted, &mut attempts, &mut fallback);
    let ended = tokio::select! {
        biased;
        served = timeout(admitted.time_left(), run) => served.ok(),
        () = node.stop_leaves_less_than(|| Duration::ZERO) => None,
    };
    ended.unwrap_or_else(|| match fallback {
        Some(reply) => {
            RequestEnd::relayed(reply, "error of the endpoint; no other answered in time")
        }
        None if admitted.time_left().is_zero() => timed_out(&attempts),
        None => RequestEnd::vm_stops(attempts.runs),
    })
}

/// Sends a request to one endpoint after the other until one answers or no other may be tried.
/// `fallback` receives the error of an endpoint, which is relayed if no other one answers.
async fn run(
    node: &Arc<Node>,
    admitted: &AdmittedRequest,
    attempts: &mut Attempts,
    fallback: &mut Option<Reply>,
) -> RequestEnd {
    let is_idempotent = admitted.route.kind == RouteKind::Idempotent;
    let mut last_reason = String::from("no endpoint");
    let mut replacement = None;
    loop {
        let prepared = match replacement.take() {
            Some(connected) => Ok(connected),
            None => prepare(node, admitted, attempts).await,
        };
        let (endpoint, connection) = match prepared {
            Ok(connected) => connected,
            Err(Obstacle::Refused(refusal)) => return refusal,
            Err(Obstacle::NoEndpoint) => break,
            Err(Obstacle::NoRetryLeft) => {
                last_reason.push_str(", no repeat left");
                break;
            }
        };
        node.note_trial(admitted);
        admitted.progress.wait_for(Wait::Answer);
        attempts.sent += 1;
        attempts.runs += 1;
        attempts.tried.push(endpoint.id.clone());
        let may_retry = is_idempotent && attempts.runs < admitted.route.max_attempts;
        let mut guard = AttemptGuard::start(node, admitted, &endpoint);
        let answer = attempt(node, admitted, &endpoint, connection);
        let awaited = if may_retry {
            let silence_timeout = admitted.route.objective.mul_f64(SILENCE_TIMEOUT_OBJECTIVES);
            let silence_timeout = silence_timeout.min(admitted.time_left() / 2);
            let replacement = async {
                guard.note_silence();
                replacement_for_silent(node, admitted, attempts).await
            };
            await_or_replace(answer, silence_timeout, replacement).await
        } else {
            Awaited::Output(answer.await)
        };
        let (end, reason, outcome) = match awaited {
            Awaited::Output(ended) => ended,
            Awaited::Replacement(connected) => {
                replacement = Some(connected);
                let reason = "silent".to_owned();
                (AttemptEnd::Broken, reason, AttemptOutcome::Unknown)
            }
        };
        guard.finish(end);
        info!(node.logger, "request: attempt ended"; "id" => &admitted.caller.id,
            "endpoint" => %endpoint.id, "sent" => attempts.sent, "end" => &reason,
            "load" => attempts.load_text());
        last_reason = reason;
        match outcome {
            AttemptOutcome::Answer(reply) if reply.status().is_server_error() && may_retry => {
                *fallback = Some(reply);
            }
            AttemptOutcome::Answer(reply) => return RequestEnd::relayed(reply, last_reason),
            AttemptOutcome::NotRun => attempts.runs -= 1,
            AttemptOutcome::Unknown if may_retry => {}
            AttemptOutcome::Unknown => break,
        }
        if attempts.sent >= MAX_SENDS || admitted.time_left() < MIN_ATTEMPT_TIME {
            break;
        }
    }
    if fallback.is_none() && admitted.time_left() < MIN_ATTEMPT_TIME {
        // The last attempt failed just before the deadline.
        return timed_out(attempts);
    }
    match fallback.take() {
        Some(reply) => RequestEnd::relayed(reply, format!("error of the endpoint; {last_reason}")),
        None if attempts.runs > 0 => RequestEnd::new(failed(node, admitted), last_reason),
        None => RequestEnd::new(
            reply::not_run(
                "no endpoint took the request",
                retry_after(node, admitted, NOT_RUN_RETRY_AFTER),
            ),
            last_reason,
        ),
    }
}

/// Why a request cannot be sent to another endpoint now.
enum Obstacle {
    Refused(RequestEnd),
    NoEndpoint,
    NoRetryLeft,
}

/// Connects to the next endpoint, and takes a retry if the request was sent before. The request may be
/// sent then.
async fn prepare(
    node: &Node,
    admitted: &AdmittedRequest,
    attempts: &mut Attempts,
) -> Result<(Arc<Endpoint>, Connection), Obstacle> {
    let is_retry = attempts.sent > 0;
    if is_retry && !node.allows_retry(&admitted.service, attempts.sent) {
        return Err(Obstacle::NoRetryLeft);
    }
    admitted.progress.wait_for(Wait::Endpoint);
    let connected = next_connection(node, admitted, attempts, Work::Plain).await;
    let connected = connected.ok_or(Obstacle::NoEndpoint)?;
    if let Some(refusal) = refuse_quarantined(node, admitted, attempts) {
        return Err(Obstacle::Refused(refusal));
    }
    if is_retry && !node.take_retry(&admitted.service, attempts.sent) {
        return Err(Obstacle::NoRetryLeft);
    }
    Ok(connected)
}

/// Waits until the request can be sent to another endpoint than the silent one that has it.
async fn replacement_for_silent(
    node: &Node,
    admitted: &AdmittedRequest,
    attempts: &mut Attempts,
) -> (Arc<Endpoint>, Connection) {
    if attempts.sent >= MAX_SENDS {
        return pending().await;
    }
    for pause in replacement_pauses() {
        if let Ok(connected) = prepare(node, admitted, attempts).await {
            return connected;
        }
        // The silent endpoint still has the request.
        admitted.progress.wait_for(Wait::Answer);
        sleep(pause).await;
    }
    pending().await
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

/// Sends a request to an endpoint and reads the answer. Returns how the attempt ended, that as text for
/// the log, and its outcome.
async fn attempt(
    node: &Arc<Node>,
    admitted: &AdmittedRequest,
    endpoint: &Arc<Endpoint>,
    connection: Connection,
) -> (AttemptEnd, String, AttemptOutcome) {
    let sent_at = clock::now();
    let request = build_request(admitted, endpoint, None, None);
    let answer = whole_answer(node, admitted, endpoint, connection, request).await;
    let took = clock::now().since(sent_at);
    match answer {
        Err(failure) => {
            let outcome = match failure.ran {
                Execution::NotRun => AttemptOutcome::NotRun,
                Execution::MayHaveRun => AttemptOutcome::Unknown,
            };
            check_engine(node, admitted, endpoint);
            (AttemptEnd::Broken, failure.message, outcome)
        }
        Ok((ResponseClass::Answer, head, body)) => {
            node.note_pass(admitted);
            let end = if head.status.is_server_error() {
                AttemptEnd::Error
            } else {
                AttemptEnd::Answered(Some(took))
            };
            let headers = returned_headers(&head.headers);
            let reply = reply::relayed(head.status, headers, reply::whole_body(body));
            (
                end,
                format!("answered {}", head.status),
                AttemptOutcome::Answer(reply),
            )
        }
        Ok((ResponseClass::NotRun, head, _)) => (
            AttemptEnd::Full,
            format!("refused {}", head.status),
            AttemptOutcome::NotRun,
        ),
        Ok((ResponseClass::OtherEndpoint, ..)) => (
            AttemptEnd::Broken,
            "another endpoint has the address".to_owned(),
            AttemptOutcome::NotRun,
        ),
        Ok((ResponseClass::UnconfirmedRefusal, head, _)) => (
            AttemptEnd::UnconfirmedRefusal,
            unconfirmed_refusal(head.status),
            AttemptOutcome::Unknown,
        ),
        Ok((ResponseClass::Invalid, head, _)) => (
            AttemptEnd::Broken,
            format!("not an answer to this request: {}", head.status),
            AttemptOutcome::Unknown,
        ),
    }
}

/// Ends an attempt that is dropped before [`AttemptGuard::finish`]: its endpoint was silent until the
/// deadline, or the caller has left.
struct AttemptGuard<'a> {
    node: &'a Node,
    admitted: &'a AdmittedRequest,
    started: Option<StartedAttempt>,
}

impl<'a> AttemptGuard<'a> {
    fn start(node: &'a Node, admitted: &'a AdmittedRequest, endpoint: &Endpoint) -> Self {
        let started = node.choice.lock().start(clock::now(), endpoint, 0);
        Self {
            node,
            admitted,
            started: Some(started),
        }
    }

    fn note_silence(&mut self) {
        if let Some(started) = &mut self.started {
            self.node.note_silence(started);
        }
    }

    fn finish(&mut self, end: AttemptEnd) {
        if let Some(started) = self.started.take() {
            self.node.end_attempt(started, end);
        }
    }
}

impl Drop for AttemptGuard<'_> {
    fn drop(&mut self) {
        let Some(started) = &self.started else { return };
        let end = if self.admitted.time_left().is_zero() {
            info!(self.node.logger, "request: attempt ended"; "id" => &self.admitted.caller.id,
                "endpoint" => %started.endpoint, "end" => "no answer until the deadline");
            AttemptEnd::Broken
        } else {
            AttemptEnd::Inconclusive
        };
        self.finish(end);
    }
}

/// Sends a request and classifies its answer. The body is read only for an answer to this request.
async fn whole_answer(
    node: &Node,
    admitted: &AdmittedRequest,
    endpoint: &Endpoint,
    connection: Connection,
    request: Request<Full<Bytes>>,
) -> Result<(ResponseClass, response::Parts, Bytes), CallFailure> {
    let (head, body) = connection.send(request).await?.into_parts();
    let class = read_head(node, admitted, endpoint, &head);
    let body = if class == ResponseClass::Answer {
        read_body(body).await?
    } else {
        Bytes::new()
    };
    Ok((class, head, body))
}
