//! HTTP interface for callers: VM addresses, request ids and pipeline requests
//! (`docs/design.md`, 6).

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::stream;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{ACCEPT, EXPECT};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, Request, StatusCode};
use serde_json::value::RawValue;
use slog::info;
use tokio::sync::mpsc;

use crate::clock;
use crate::decisions::at_most_once::Begin;
use crate::manifest::Pipeline;
use crate::query::path_text;
use crate::traffic::api_key::{self, Caller, ConnectionApiKeys};
use crate::traffic::http_body::{self, Answer};
use crate::traffic::refusal::{Outcome, Refusal, RefusalCode};
use crate::traffic::request_ids::{Fingerprint, StoredResult, fingerprint};
use crate::traffic::run::{self, CallerMessage, RunRequest};
use crate::traffic::state::Traffic;
use crate::traffic::{address, forward, metric, sse};
use crate::units::{RequestId, Time};

/// Header that carries a request id.
pub const ID_HEADER: &str = "x-request-id";

/// Header that carries the time left until the caller's deadline, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";

/// Maximum number of bytes that are read and discarded of a refused request's body.
const MAX_DISCARDED_BYTES: usize = 4 * 1024 * 1024;

/// Serves one HTTP request of a caller.
pub async fn serve_caller(
    traffic: Arc<Traffic>,
    connection: Arc<ConnectionApiKeys>,
    request: Request<Incoming>,
) -> Answer {
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::GET, "/v1/address") => address::serve_address(&traffic, request.headers()),
        (&Method::POST, "/v1/request-ids") => address::serve_request_id(&traffic),
        (&Method::POST, path) if path.starts_with("/v1/pipelines/") => {
            let name = path_text(&path["/v1/pipelines/".len()..]);
            serve_pipeline(&traffic, &connection, &name, request).await
        }
        _ => {
            let message = format!("nothing is served at {path}");
            http_body::refusal(&Refusal::not_run(RefusalCode::UnknownPipeline, message))
        }
    }
}

/// A request whose body is still to be read.
struct RequestHead {
    parts: Parts,
    id: Option<RequestId>,
    arrived_at: Time,
}

/// A request that was read completely and passed all checks that do not depend on its id.
pub struct CheckedRequest {
    /// Request line and headers as the caller sent them.
    pub parts: Parts,
    /// Body of the request as the caller sent it.
    pub body: Bytes,
    /// The pipeline that the request runs.
    pub pipeline: Pipeline,
    /// The organisation that the request runs for, and its API key.
    pub caller: Caller,
    /// Time by which the complete answer is due.
    pub deadline: Time,
    input: Box<RawValue>,
}

async fn serve_pipeline(
    traffic: &Arc<Traffic>,
    connection: &ConnectionApiKeys,
    name: &str,
    request: Request<Incoming>,
) -> Answer {
    let (parts, mut body) = request.into_parts();
    let expects_continue = parts.headers.contains_key(EXPECT);
    let id = read_id(&parts.headers);
    let checked = match &id {
        Ok(id) => {
            let head = RequestHead {
                parts,
                id: id.clone(),
                arrived_at: clock::now(),
            };
            check_request(traffic, connection, name, head, &mut body).await
        }
        Err(refusal) => Err(refusal.clone()),
    };
    let id = id.unwrap_or(None);
    match checked {
        Ok(checked) => run_checked(traffic, id, checked).await,
        Err(refusal) => {
            if refusal.code != RefusalCode::BodyTimeout && !expects_continue {
                discard_body(body, traffic.config.body_read_timeout).await;
            }
            refuse(traffic, id.as_ref(), refusal)
        }
    }
}

/// Reads and discards the rest of a refused request's body, for at most `max_time`.
///
/// A connection that is closed while the caller still writes is reset, and the caller then
/// loses the refusal.
async fn discard_body(mut body: Incoming, max_time: Duration) {
    let read = async {
        let mut left_bytes = MAX_DISCARDED_BYTES;
        while let Some(Ok(frame)) = body.frame().await {
            let length = frame.data_ref().map_or(0, Bytes::len);
            let Some(left) = left_bytes.checked_sub(length) else {
                return;
            };
            left_bytes = left;
        }
    };
    // The refusal is sent next in either case: the body ended or the timeout passed.
    let _ = tokio::time::timeout(max_time, read).await;
}

/// Reads the request and makes every check that does not depend on its id.
async fn check_request(
    traffic: &Traffic,
    connection: &ConnectionApiKeys,
    name: &str,
    head: RequestHead,
    body: &mut Incoming,
) -> Result<CheckedRequest, Refusal> {
    let snapshot = traffic.context.snapshot.load_full();
    let Some(catalogue) = &snapshot.catalogue else {
        let message = "this VM has read no configuration yet";
        return Err(Refusal::not_run(RefusalCode::StaleConfiguration, message));
    };
    let pipeline = name.parse().ok().and_then(|name| catalogue.pipeline(&name));
    let Some(pipeline) = pipeline else {
        let message = format!("no pipeline is named {name:?}");
        return Err(Refusal::not_run(RefusalCode::UnknownPipeline, message));
    };
    let headers = &head.parts.headers;
    let caller = api_key::identify(&snapshot, pipeline, headers, connection)?;
    let deadline = head.arrived_at + read_time_left(headers, pipeline)?;
    let needs_id = pipeline.stages.iter().any(|stage| !stage.idempotent);
    if needs_id && head.id.is_none() {
        let message = format!("pipeline {name} has a non-idempotent stage: send {ID_HEADER}");
        return Err(Refusal::not_run(RefusalCode::RequestIdRequired, message));
    }
    let body = read_body(traffic, body, deadline).await?;
    let input = serde_json::from_slice(&body).map_err(|error| {
        let message = format!("the body is not JSON: {error}");
        Refusal::not_run(RefusalCode::MalformedBody, message)
    })?;
    Ok(CheckedRequest {
        parts: head.parts,
        body,
        pipeline: pipeline.clone(),
        caller,
        deadline,
        input,
    })
}

fn read_id(headers: &HeaderMap) -> Result<Option<RequestId>, Refusal> {
    let Some(value) = headers.get(ID_HEADER) else {
        return Ok(None);
    };
    let id = value.to_str().ok().and_then(|text| text.parse().ok());
    let message = format!("{ID_HEADER} is not an id that a VM issued");
    id.map(Some)
        .ok_or_else(|| Refusal::not_run(RefusalCode::InvalidRequestId, message))
}

fn read_time_left(headers: &HeaderMap, pipeline: &Pipeline) -> Result<Duration, Refusal> {
    let Some(value) = headers.get(DEADLINE_HEADER) else {
        return Ok(Duration::from_millis(pipeline.deadline_ms));
    };
    let left_ms = value
        .to_str()
        .ok()
        .and_then(|text| text.parse::<u64>().ok());
    let Some(left_ms) = left_ms else {
        let message = format!("{DEADLINE_HEADER} is not a number of milliseconds");
        return Err(Refusal::not_run(RefusalCode::MalformedBody, message));
    };
    if left_ms == 0 {
        return Err(deadline_passed());
    }
    Ok(Duration::from_millis(left_ms.min(pipeline.deadline_ms)))
}

fn deadline_passed() -> Refusal {
    let message = "the deadline passed before the request could start";
    Refusal::not_run(RefusalCode::DeadlinePassed, message)
}

async fn read_body(
    traffic: &Traffic,
    body: &mut Incoming,
    deadline: Time,
) -> Result<Bytes, Refusal> {
    let limit_bytes = traffic.config.body_limit_bytes;
    let too_large = || {
        let message = format!("the body is larger than {limit_bytes} bytes");
        Refusal::not_run(RefusalCode::BodyTooLarge, message)
    };
    let declared_bytes = hyper::body::Body::size_hint(body).lower();
    if declared_bytes > limit_bytes as u64 {
        return Err(too_large());
    }
    let left = deadline.since(clock::now());
    let read_timeout = left.min(traffic.config.body_read_timeout);
    let read = tokio::time::timeout(read_timeout, Limited::new(body, limit_bytes).collect()).await;
    match read {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(too_large()),
        Ok(Err(error)) => {
            let message = format!("the body broke off: {error}");
            Err(Refusal::not_run(RefusalCode::MalformedBody, message))
        }
        Err(_) => {
            let message = "the body did not arrive in time";
            Err(Refusal::not_run(RefusalCode::BodyTimeout, message))
        }
    }
}

/// Refuses a request that did not start to run.
///
/// An earlier copy with the same id may have run, or a late copy may still arrive. The
/// answer therefore says "not run" only if this refusal is the id's final state (P7).
/// Otherwise it gives the outcome as unknown.
fn refuse(traffic: &Traffic, id: Option<&RequestId>, refusal: Refusal) -> Answer {
    let Some(id) = id else {
        return answer_refusal(traffic, refusal);
    };
    let refusal = refusal.with_id(id);
    match traffic.ids.begin(id) {
        Begin::Run => {
            let result = Err(refusal.clone());
            traffic.ids.end(
                id,
                StoredResult {
                    requester: None,
                    result,
                },
            );
            answer_refusal(traffic, refusal)
        }
        Begin::Forged => answer_refusal(traffic, refusal),
        Begin::Ended(stored) if is_not_run(&stored) => answer_refusal(traffic, refusal),
        _ => {
            let outcome = Outcome::Unknown;
            answer_refusal(traffic, Refusal { outcome, ..refusal })
        }
    }
}

fn is_not_run(stored: &StoredResult) -> bool {
    let result = stored.result.as_ref();
    result.is_err_and(|refusal| refusal.outcome == Outcome::NotRun)
}

/// Counts and logs a refusal and makes the answer that carries it.
fn answer_refusal(traffic: &Traffic, refusal: Refusal) -> Answer {
    let code = refusal.code.as_str();
    metrics::counter!(metric::REFUSALS_TOTAL, "code" => code).increment(1);
    if let Some(id) = &refusal.request_id {
        info!(traffic.context.logger, "once: refused as {code}: {}", refusal.message;
            "request" => %id);
    }
    http_body::refusal(&refusal)
}

async fn run_checked(
    traffic: &Arc<Traffic>,
    id: Option<RequestId>,
    checked: CheckedRequest,
) -> Answer {
    let fingerprint = fingerprint(&checked.pipeline.name, &checked.body);
    let id = id.unwrap_or_else(|| traffic.ids.issue());
    let begin = traffic.ids.begin(&id);
    let logger = &traffic.context.logger;
    match begin {
        Begin::Run => start_run(traffic, id, fingerprint, checked).await,
        Begin::Foreign(owner) => {
            info!(logger, "once: VM {owner} issued the id"; "request" => %id);
            forward::forward(traffic, &id, &owner, checked).await
        }
        Begin::Ended(stored) => {
            info!(logger, "once: found a stored result for the id"; "request" => %id);
            answer_stored(traffic, &id, &stored, &fingerprint, &checked)
        }
        other => {
            let refusal = refusal_of(&other).with_id(&id);
            answer_refusal(traffic, refusal)
        }
    }
}

/// Returns the refusal of a request whose id must not run now.
fn refusal_of<A>(begin: &Begin<A>) -> Refusal {
    match begin {
        Begin::AlreadyRunning => {
            let message = "a copy with this id runs; it keeps its own outcome";
            Refusal::unknown(RefusalCode::DuplicateRunning, message)
        }
        Begin::Forged => {
            let message = "no VM issued this id";
            Refusal::not_run(RefusalCode::InvalidRequestId, message)
        }
        Begin::Full => {
            let message = "this VM keeps as many request ids as it can";
            Refusal::not_run(RefusalCode::NoCapacity, message)
        }
        _ => {
            let message = "the record of this id is gone";
            Refusal::unknown(RefusalCode::OutcomeUnknown, message)
        }
    }
}

/// Answers a request whose id already ended with the result stored for that id.
fn answer_stored(
    traffic: &Traffic,
    id: &RequestId,
    stored: &StoredResult,
    fingerprint: &Fingerprint,
    checked: &CheckedRequest,
) -> Answer {
    if !stored.may_answer(&checked.caller.organisation, fingerprint) {
        let message = "the id was used for another request";
        let refusal = Refusal::unknown(RefusalCode::InvalidRequestId, message);
        return answer_refusal(traffic, refusal.with_id(id));
    }
    match &stored.result {
        Ok(summary) if wants_stream(checked) => {
            let end = sse::encode_event("end", &String::from_utf8_lossy(summary));
            http_body::event_stream(stream::iter([end]))
        }
        Ok(summary) => http_body::with_body(StatusCode::OK, "application/json", summary.clone()),
        Err(refusal) => answer_refusal(traffic, refusal.clone()),
    }
}

/// Returns whether the request is answered with server-sent events: the caller accepts them
/// and the pipeline's last stage generates text.
fn wants_stream(checked: &CheckedRequest) -> bool {
    let accept = checked.parts.headers.get(ACCEPT);
    let accepts = accept.and_then(|value| value.to_str().ok());
    let last = checked.pipeline.stages.last();
    accepts.is_some_and(|value| value.contains("text/event-stream"))
        && last.is_some_and(|stage| stage.kind == crate::manifest::StageKind::Generate)
}

/// Runs a request under its id and relays the messages of the run to the caller.
async fn start_run(
    traffic: &Arc<Traffic>,
    id: RequestId,
    fingerprint: Fingerprint,
    checked: CheckedRequest,
) -> Answer {
    let early_refusal = if traffic.refuses_new_work() {
        Some(address::stopping_refusal(
            traffic,
            Some(&checked.caller.organisation),
        ))
    } else if checked.deadline <= clock::now() {
        Some(deadline_passed())
    } else {
        None
    };
    if let Some(refusal) = early_refusal {
        let refusal = refusal.with_id(&id);
        let result = Err(refusal.clone());
        traffic.ids.end(
            &id,
            StoredResult {
                requester: None,
                result,
            },
        );
        return answer_refusal(traffic, refusal);
    }
    let stream = wants_stream(&checked);
    let caller = checked.caller.clone();
    let run_id = id.clone();
    let request = RunRequest {
        id,
        caller: checked.caller,
        pipeline: checked.pipeline,
        input: checked.input,
        fingerprint,
        deadline: checked.deadline,
        stream,
    };
    let mut messages = run::start(traffic, request);
    match messages.recv().await {
        Some(CallerMessage::Token(text)) => {
            let first = CallerMessage::Token(text);
            let stream = EventStream {
                traffic: Arc::clone(traffic),
                id: run_id,
                caller,
                messages,
            };
            http_body::event_stream(stream.events(first))
        }
        Some(CallerMessage::End(Ok(summary))) if stream => {
            let end = sse::encode_event("end", &String::from_utf8_lossy(&summary));
            http_body::event_stream(stream::iter([end]))
        }
        Some(CallerMessage::End(Ok(summary))) => {
            http_body::with_body(StatusCode::OK, "application/json", summary)
        }
        Some(CallerMessage::End(Err(refusal))) => answer_refusal(traffic, refusal),
        None => {
            let message = "the request ended early";
            let refusal = Refusal::unknown(RefusalCode::OutcomeUnknown, message);
            answer_refusal(traffic, refusal)
        }
    }
}

/// Messages of a running request whose caller reads them as server-sent events.
struct EventStream {
    traffic: Arc<Traffic>,
    id: RequestId,
    caller: Caller,
    messages: mpsc::Receiver<CallerMessage>,
}

impl EventStream {
    /// Encodes `first` and the messages that follow it as events, up to and including the last
    /// message.
    fn events(self, first: CallerMessage) -> impl futures::Stream<Item = Bytes> + Send + 'static {
        let state = Some((Some(first), self));
        stream::unfold(state, |state| async {
            let (first, mut stream) = state?;
            let message = match first {
                Some(message) => message,
                None => stream.next_message().await,
            };
            match message {
                CallerMessage::Token(text) => {
                    let json = serde_json::json!({ "text": text }).to_string();
                    Some((sse::encode_event("token", &json), Some((None, stream))))
                }
                CallerMessage::End(Ok(summary)) => Some((
                    sse::encode_event("end", &String::from_utf8_lossy(&summary)),
                    None,
                )),
                CallerMessage::End(Err(refusal)) => Some((error_event(&refusal), None)),
            }
        })
    }

    /// Returns the next message, or a refusal if the API key is no longer valid.
    ///
    /// A caller that reads slowly must not get buffered tokens after its API key was
    /// withdrawn, so the key is checked here as well as in the run.
    async fn next_message(&mut self) -> CallerMessage {
        let refusal = tokio::select! {
            biased;
            code = api_key::authorisation_lost(&self.traffic, &self.caller) => {
                Refusal::unknown(code, "the key no longer holds")
            }
            message = self.messages.recv() => match message {
                Some(message) => return message,
                None => Refusal::unknown(RefusalCode::OutcomeUnknown, "the request ended early"),
            },
        };
        CallerMessage::End(Err(refusal.with_id(&self.id)))
    }
}

/// Encodes the `error` event that ends a stream without a result, and counts its refusal.
pub fn error_event(refusal: &Refusal) -> Bytes {
    let code = refusal.code.as_str();
    metrics::counter!(metric::REFUSALS_TOTAL, "code" => code).increment(1);
    sse::encode_event("error", &String::from_utf8_lossy(&refusal.to_json()))
}
