//! Builds the headers of calls to endpoints and classifies the heads of the answers.

use std::time::Duration;

use hyper::header::{HeaderName, HeaderValue};
use hyper::{HeaderMap, StatusCode};

use crate::decisions::endpoint_notices::Notice;
use crate::decisions::engine_load::LoadReport;
use crate::units::{EndpointName, OrganisationName};

/// Header that says after how many seconds a caller should retry.
pub const RETRY_AFTER: &str = "retry-after";
/// Header with the number of the event after which a stream resumes.
const LAST_EVENT_ID: &str = "last-event-id";
/// Header that shows that an answer comes from an endpoint and not from something in between.
const SIGNATURE: &str = "response-signature";
const REQUEST_ID: &str = "request-id";
/// Header by which an endpoint says that it leaves.
const LEAVING: &str = "server-leaving";
/// Header with the load of an endpoint.
const LOAD: &str = "instance-load";
/// Header by which an endpoint states that it has not run the request.
const NOT_EXECUTED: &str = "not-executed";

/// Statuses that promise callers that their request has not run and never will.
const NOT_RUN_STATUSES: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// Request headers that are not passed on from callers to endpoints: they apply to a single
/// connection, or only this system may set them.
const HEADERS_NOT_FORWARDED: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
    "authorization",
    "tenant",
    "deadline-ms",
    "expect-instance",
    "expect-version",
    "request-priority",
    "inputs",
    "hold",
    "pin-ms",
    "kv-backup",
    "kv-from",
    "kv-fetch",
    "pieces",
    "piece-key",
];

/// Response headers that are not passed on from endpoints to callers: they apply to a single
/// connection, or report the endpoint's load.
const HEADERS_NOT_RETURNED: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-connection",
    "transfer-encoding",
    "trailer",
    "upgrade",
    "content-length",
    LOAD,
];

/// Values of the headers that this system sets on a request to an endpoint.
pub struct EndpointHeaders<'a> {
    /// The only endpoint that may run the request; another one at the same address refuses it.
    pub endpoint: &'a EndpointName,
    /// Time until the deadline of the request, which is sent to the endpoint.
    pub time_left: Duration,
    /// The organisation that the caller's API key belongs to.
    pub organisation: Option<&'a OrganisationName>,
    /// Priority at a model engine; 0 is the most urgent, and values above 9 are sent as 9.
    pub priority: Option<u8>,
    /// Handles of the stage results that the engine reads.
    pub inputs: Option<&'a [String]>,
    /// Number of the last stream event that the caller already has.
    pub last_event: Option<u64>,
}

/// Builds the headers of a request to an endpoint from the caller's and from the system's own.
/// Headers that the caller's `connection` header lists are left out too.
pub fn endpoint_headers(caller: &HeaderMap, call: &EndpointHeaders<'_>) -> HeaderMap {
    let connection_headers: Vec<String> = caller
        .get_all("connection")
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut headers = HeaderMap::with_capacity(caller.len() + 8);
    for (name, value) in caller {
        let skipped = HEADERS_NOT_FORWARDED.contains(&name.as_str())
            || connection_headers
                .iter()
                .any(|other| other == name.as_str());
        if !skipped {
            headers.append(name.clone(), value.clone());
        }
    }
    let mut set = |name: &'static str, value: String| {
        if let Ok(value) = HeaderValue::from_str(&value) {
            headers.insert(HeaderName::from_static(name), value);
        }
    };
    set("expect-instance", call.endpoint.to_string());
    set("deadline-ms", call.time_left.as_millis().to_string());
    if let Some(organisation) = call.organisation {
        set("tenant", organisation.to_string());
    }
    if let Some(priority) = call.priority {
        set("request-priority", priority.min(9).to_string());
    }
    if let Some(inputs) = call.inputs {
        set("inputs", inputs.join(","));
    }
    if let Some(event) = call.last_event {
        set(LAST_EVENT_ID, event.to_string());
    }
    headers
}

/// Builds the headers of a call that runs stage items at `endpoint`.
pub fn stage_headers(endpoint: &EndpointName) -> HeaderMap {
    let mut headers = HeaderMap::with_capacity(4);
    headers.insert("content-type", HeaderValue::from_static("application/json"));
    if let Ok(value) = HeaderValue::from_str(endpoint.as_str()) {
        headers.insert("expect-instance", value);
    }
    headers
}

/// What the status and headers of an endpoint's answer mean for the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseClass {
    /// The endpoint did not run the request.
    NotRun,
    /// Another endpoint than the intended one listens at the address.
    OtherEndpoint,
    /// The endpoint ran this request; its answer goes to the caller as it is.
    Answer,
    /// The status promises that the request has not run, which the endpoint does not state. It may have run, so the
    /// status must not reach the caller.
    UnconfirmedRefusal,
    /// Not a valid answer to this request: it has no signature, has a content encoding, does not have this request's
    /// id, or has a status that ends no request; for a stage call, any status but 200.
    Invalid,
}

/// The request that an answer names as its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnsweredId {
    /// The request that was sent.
    Own,
    /// Another request.
    Other,
    /// None.
    Missing,
}

impl AnsweredId {
    fn of(headers: &HeaderMap, id: &str) -> Self {
        match headers.get(REQUEST_ID) {
            Some(echoed) if echoed.as_bytes() == id.as_bytes() => Self::Own,
            Some(_) => Self::Other,
            None => Self::Missing,
        }
    }

    /// Returns the name for logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Other => "other",
            Self::Missing => "missing",
        }
    }
}

/// What an endpoint says of a request that it refuses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Whether the endpoint states that it has not run the request.
    pub states_not_run: bool,
    /// Whether the answer has the signature of an endpoint.
    pub is_signed: bool,
    /// The request that the answer names.
    pub answered_id: AnsweredId,
}

/// Returns whether a status promises callers that their request has not run and never will.
pub fn promises_not_run(status: StatusCode) -> bool {
    NOT_RUN_STATUSES.contains(&status)
}

/// Returns what an answer to request `id` says of a refusal; `None` for any other answer.
pub fn refusal_of(status: StatusCode, headers: &HeaderMap, id: &str) -> Option<Refusal> {
    let states_not_run = headers.contains_key(NOT_EXECUTED);
    (states_not_run || promises_not_run(status)).then(|| Refusal {
        states_not_run,
        is_signed: headers.contains_key(SIGNATURE),
        answered_id: AnsweredId::of(headers, id),
    })
}

/// Returns whether a status ends a request (RFC 9110, 15). The library accepts any number of three digits.
fn is_final_status(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Classifies the head of an endpoint's answer to request `id`.
pub fn classify(status: StatusCode, headers: &HeaderMap, id: &str) -> ResponseClass {
    if !is_final_status(status) {
        return ResponseClass::Invalid;
    }
    let answered_id = AnsweredId::of(headers, id);
    if answered_id == AnsweredId::Other {
        return ResponseClass::Invalid;
    }
    if status == StatusCode::MISDIRECTED_REQUEST {
        return ResponseClass::OtherEndpoint;
    }
    if headers.contains_key(NOT_EXECUTED) {
        return ResponseClass::NotRun;
    }
    let is_genuine = headers.contains_key(SIGNATURE)
        && answered_id == AnsweredId::Own
        && !headers.contains_key("content-encoding");
    match is_genuine {
        true if promises_not_run(status) => ResponseClass::UnconfirmedRefusal,
        true => ResponseClass::Answer,
        false => ResponseClass::Invalid,
    }
}

/// Returns what an answer of an endpoint asks for beside the request itself.
pub fn notice_of(status: StatusCode, headers: &HeaderMap) -> Notice {
    let seconds = headers
        .get(RETRY_AFTER)
        .and_then(|value| value.to_str().ok());
    let seconds: Option<f64> = seconds.and_then(|text| text.trim().parse().ok());
    let pause = seconds.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    Notice {
        is_leaving: headers
            .get(LEAVING)
            .is_some_and(|value| value.as_bytes() == b"1"),
        pause: pause.filter(|_| status == StatusCode::SERVICE_UNAVAILABLE),
    }
}

/// Returns the load that an answer of an endpoint reports. A malformed report is ignored, since the
/// answer itself may be sound.
pub fn load_of(headers: &HeaderMap) -> Option<LoadReport> {
    let text = headers.get(LOAD)?.to_str().ok()?;
    let mut figures = text.splitn(5, ',').map(|figure| figure.trim().parse().ok());
    let report = LoadReport {
        running: figures.next()??,
        waiting: figures.next()??,
        slots: figures.next()??,
        work_time_percent: match figures.next() {
            None => None,
            Some(percent) => Some(percent?),
        },
    };
    report.is_plausible().then_some(report)
}

/// Returns the headers of an endpoint's answer that are passed on to the caller.
pub fn returned_headers(endpoint: &HeaderMap) -> HeaderMap {
    let mut headers = endpoint.clone();
    for name in HEADERS_NOT_RETURNED {
        headers.remove(*name);
    }
    headers
}

/// Classifies the head of an endpoint's answer to a stage call. Such answers have no signature.
pub fn classify_stage(status: StatusCode, headers: &HeaderMap) -> ResponseClass {
    if !is_final_status(status) {
        return ResponseClass::Invalid;
    }
    if status == StatusCode::MISDIRECTED_REQUEST {
        return ResponseClass::OtherEndpoint;
    }
    if headers.contains_key(NOT_EXECUTED) {
        return ResponseClass::NotRun;
    }
    if status == StatusCode::OK {
        ResponseClass::Answer
    } else {
        ResponseClass::Invalid
    }
}
