//! The caller interface: addresses, request ids and pipelines (`docs/design.md`, 6).

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
use crate::traffic::api_key::{self, Caller, ConnectionApiKeys};
use crate::traffic::http_body::{self, Answer};
use crate::traffic::refusal::{Outcome, Refusal, RefusalCode};
use crate::traffic::request_ids::{Fingerprint, Kept, fingerprint};
use crate::traffic::run::{self, CallerMessage, RunRequest};
use crate::traffic::state::Traffic;
use crate::traffic::{address, forward, metric, sse};
use crate::units::{RequestId, Time};

/// Header that carries a request id.
pub const ID_HEADER: &str = "x-request-id";

/// Header that carries the time left, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";

/// Most of a refused body that is read to its end.
const DISCARD_LIMIT_BYTES: usize = 4 * 1024 * 1024;

/// Serves one request of a caller.
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
            let name = &path["/v1/pipelines/".len()..];
            serve_pipeline(&traffic, &connection, name, request).await
        }
        _ => {
            let message = format!("nothing is served at {path}");
            http_body::refusal(&Refusal::not_run(RefusalCode::UnknownPipeline, message))
        }
    }
}

/// A request whose head was read.
struct Head {
    parts: Parts,
    id: Option<RequestId>,
    arrived: Time,
}

/// A request that was read whole and found in order.
pub struct Checked {
    /// Head of the request as the caller sent it.
    pub parts: Parts,
    /// Body as the caller sent it.
    pub body: Bytes,
    /// The pipeline it names.
    pub pipeline: Pipeline,
    /// Whom it runs for.
    pub caller: Caller,
    /// When the whole answer is due.
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
    let waits_to_send = parts.headers.contains_key(EXPECT);
    let id = read_id(&parts.headers);
    let checked = match &id {
        Ok(id) => {
            let head = Head {
                parts,
                id: id.clone(),
                arrived: clock::now(),
            };
            check(traffic, connection, name, head, &mut body).await
        }
        Err(refusal) => Err(refusal.clone()),
    };
    let id = id.unwrap_or(None);
    match checked {
        Ok(checked) => run_checked(traffic, id, checked).await,
        Err(refusal) => {
            if refusal.code != RefusalCode::BodyTimeout && !waits_to_send {
                discard(body, traffic.config.body_read_timeout).await;
            }
            refuse(traffic, id.as_ref(), refusal)
        }
    }
}

/// Reads the rest of a body that nobody needs. A connection that is closed while the
/// caller still writes is reset, and the caller then loses the refusal.
async fn discard(mut body: Incoming, time: Duration) {
    let read = async {
        let mut left_bytes = DISCARD_LIMIT_BYTES;
        while let Some(Ok(frame)) = body.frame().await {
            let length = frame.data_ref().map_or(0, Bytes::len);
            let Some(left) = left_bytes.checked_sub(length) else {
                return;
            };
            left_bytes = left;
        }
    };
    // Whether it ended or took too long, the refusal is next.
    let _ = tokio::time::timeout(time, read).await;
}

/// Reads and checks all that does not depend on the request id.
async fn check(
    traffic: &Traffic,
    connection: &ConnectionApiKeys,
    name: &str,
    head: Head,
    body: &mut Incoming,
) -> Result<Checked, Refusal> {
    let snapshot = traffic.context.snapshot.load_full();
    let Some(catalogue) = &snapshot.catalogue else {
        let message = "this VM has read no configuration yet";
        return Err(Refusal::not_run(RefusalCode::StaleConfiguration, message));
    };
    let found = name.parse().ok().and_then(|name| catalogue.pipeline(&name));
    let Some(pipeline) = found else {
        let message = format!("no pipeline is named {name:?}");
        return Err(Refusal::not_run(RefusalCode::UnknownPipeline, message));
    };
    let headers = &head.parts.headers;
    let caller = api_key::identify(&snapshot, pipeline, headers, connection)?;
    let deadline = head.arrived + read_time_left(headers, pipeline)?;
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
    Ok(Checked {
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
    let declared = hyper::body::Body::size_hint(body).lower();
    if declared > limit_bytes as u64 {
        return Err(too_large());
    }
    let left = deadline.since(clock::now());
    let limit = left.min(traffic.config.body_read_timeout);
    let read = tokio::time::timeout(limit, Limited::new(body, limit_bytes).collect()).await;
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

/// Refuses a request that did not begin.
///
/// An earlier copy with the same id may have run, or a late one may still arrive, so "not
/// run" holds only if this refusal is the id's final state (P7).
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
                Kept {
                    owner: None,
                    result,
                },
            );
            answer_refusal(traffic, refusal)
        }
        Begin::Forged => answer_refusal(traffic, refusal),
        Begin::Ended(kept) if is_not_run(&kept) => answer_refusal(traffic, refusal),
        _ => {
            let outcome = Outcome::Unknown;
            answer_refusal(traffic, Refusal { outcome, ..refusal })
        }
    }
}

fn is_not_run(kept: &Kept) -> bool {
    let result = kept.result.as_ref();
    result.is_err_and(|refusal| refusal.outcome == Outcome::NotRun)
}

fn answer_refusal(traffic: &Traffic, refusal: Refusal) -> Answer {
    let code = refusal.code.as_str();
    metrics::counter!(metric::REFUSALS_TOTAL, "code" => code).increment(1);
    if let Some(id) = &refusal.request_id {
        info!(traffic.context.logger, "at-most-once: refused as {code}: {}", refusal.message;
            "request" => %id);
    }
    http_body::refusal(&refusal)
}

async fn run_checked(traffic: &Arc<Traffic>, id: Option<RequestId>, checked: Checked) -> Answer {
    let print = fingerprint(&checked.pipeline.name, &checked.body);
    let id = id.unwrap_or_else(|| traffic.ids.issue());
    let is_begun = traffic.ids.begin(&id);
    let logger = &traffic.context.logger;
    match is_begun {
        Begin::Run => begin_run(traffic, id, print, checked).await,
        Begin::Foreign(owner) => {
            info!(logger, "at-most-once: {owner} owns the id"; "request" => %id);
            forward::forward(traffic, &id, &owner, checked).await
        }
        Begin::Ended(kept) => {
            info!(logger, "at-most-once: answered with the kept outcome"; "request" => %id);
            answer_kept(traffic, &id, &kept, &print, &checked)
        }
        other => {
            let refusal = refusal_of(&other).with_id(&id);
            answer_refusal(traffic, refusal)
        }
    }
}

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

fn answer_kept(
    traffic: &Traffic,
    id: &RequestId,
    kept: &Kept,
    print: &Fingerprint,
    checked: &Checked,
) -> Answer {
    if !kept.belongs_to(&checked.caller.organisation, print) {
        let message = "the id was used for another request";
        let refusal = Refusal::unknown(RefusalCode::InvalidRequestId, message);
        return answer_refusal(traffic, refusal.with_id(id));
    }
    match &kept.result {
        Ok(summary) if wants_stream(checked) => {
            let end = sse::encode_event("end", &String::from_utf8_lossy(summary));
            http_body::events(stream::iter([end]))
        }
        Ok(summary) => http_body::whole(StatusCode::OK, "application/json", summary.clone()),
        Err(refusal) => answer_refusal(traffic, refusal.clone()),
    }
}

fn wants_stream(checked: &Checked) -> bool {
    let accept = checked.parts.headers.get(ACCEPT);
    let accepts = accept.and_then(|value| value.to_str().ok());
    let last = checked.pipeline.stages.last();
    accepts.is_some_and(|value| value.contains("text/event-stream"))
        && last.is_some_and(|stage| stage.kind == crate::manifest::StageKind::Generate)
}

async fn begin_run(
    traffic: &Arc<Traffic>,
    id: RequestId,
    print: Fingerprint,
    checked: Checked,
) -> Answer {
    let early = if traffic.refuses_new_work() {
        Some(address::stopping(
            traffic,
            Some(&checked.caller.organisation),
        ))
    } else if checked.deadline <= clock::now() {
        Some(deadline_passed())
    } else {
        None
    };
    if let Some(refusal) = early {
        let refusal = refusal.with_id(&id);
        let result = Err(refusal.clone());
        traffic.ids.end(
            &id,
            Kept {
                owner: None,
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
        fingerprint: print,
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
            http_body::events(stream.events(first))
        }
        Some(CallerMessage::End(Ok(summary))) if stream => {
            let end = sse::encode_event("end", &String::from_utf8_lossy(&summary));
            http_body::events(stream::iter([end]))
        }
        Some(CallerMessage::End(Ok(summary))) => {
            http_body::whole(StatusCode::OK, "application/json", summary)
        }
        Some(CallerMessage::End(Err(refusal))) => answer_refusal(traffic, refusal),
        None => {
            let message = "the request ended early";
            let refusal = Refusal::unknown(RefusalCode::OutcomeUnknown, message);
            answer_refusal(traffic, refusal)
        }
    }
}

/// The messages of a request whose caller streams.
struct EventStream {
    traffic: Arc<Traffic>,
    id: RequestId,
    caller: Caller,
    messages: mpsc::Receiver<CallerMessage>,
}

impl EventStream {
    /// Turns the messages into events, up to and including the last one.
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

    /// Returns the next message. A caller that reads slowly must not get waiting tokens
    /// after its API key was withdrawn, so the key is checked here as well.
    async fn next_message(&mut self) -> CallerMessage {
        let refusal = tokio::select! {
            biased;
            code = api_key::lost(&self.traffic, &self.caller) => {
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

/// Writes the event that ends a stream without an answer.
pub fn error_event(refusal: &Refusal) -> Bytes {
    let code = refusal.code.as_str();
    metrics::counter!(metric::REFUSALS_TOTAL, "code" => code).increment(1);
    sse::encode_event("error", &String::from_utf8_lossy(&refusal.to_json()))
}
