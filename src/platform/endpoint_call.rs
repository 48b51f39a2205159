//! Headers of the calls to endpoints and of their answers.

use std::time::Duration;

use hyper::header::{HeaderName, HeaderValue};
use hyper::{HeaderMap, StatusCode};

use crate::units::{EndpointName, OrganisationName};

/// Says how long a caller waits before it comes back, in seconds.
pub const RETRY_AFTER: &str = "retry-after";
/// Names the event after which a stream goes on.
const LAST_EVENT: &str = "last-event-id";
/// Proves that an answer is an endpoint's own.
const SIGNATURE: &str = "response-signature";
const REQUEST_ID: &str = "request-id";

/// Headers that a caller may not set at an endpoint: they concern one connection only, or the
/// system sets them itself.
const NOT_FORWARDED: &[&str] = &[
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

/// Headers of an answer that concern one connection only.
const NOT_RETURNED: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-connection",
    "transfer-encoding",
    "trailer",
    "upgrade",
    "content-length",
    "instance-load",
];

/// What the system says of a request to an endpoint.
pub struct EndpointHeaders<'a> {
    /// The endpoint that alone may run it.
    pub endpoint: &'a EndpointName,
    /// Time that the endpoint may take.
    pub time_left: Duration,
    /// The organisation that the key belongs to.
    pub organisation: Option<&'a OrganisationName>,
    /// Rank at a model engine, 0 first.
    pub priority: Option<u8>,
    /// Results of stages that the engine reads.
    pub inputs: Option<&'a [String]>,
    /// Last event that the caller already has.
    pub last_event: Option<u64>,
}

/// Builds the headers of a request to an endpoint from those of the caller.
pub fn endpoint_headers(caller: &HeaderMap, call: &EndpointHeaders<'_>) -> HeaderMap {
    let named: Vec<String> = caller
        .get_all("connection")
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut headers = HeaderMap::with_capacity(caller.len() + 8);
    for (name, value) in caller {
        let skipped = NOT_FORWARDED.contains(&name.as_str())
            || named.iter().any(|other| other == name.as_str());
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
        set(LAST_EVENT, event.to_string());
    }
    headers
}

/// Builds the headers of a call that runs stage items at an endpoint.
pub fn stage_headers(endpoint: &EndpointName) -> HeaderMap {
    let mut headers = HeaderMap::with_capacity(4);
    headers.insert("content-type", HeaderValue::from_static("application/json"));
    if let Ok(value) = HeaderValue::from_str(endpoint.as_str()) {
        headers.insert("expect-instance", value);
    }
    headers
}

/// What the head of an endpoint's answer says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseClass {
    /// The endpoint did not run the request.
    NotRun,
    /// Another endpoint has the address.
    OtherEndpoint,
    /// An answer of the endpoint to this request, to be returned as it is.
    Answer,
    /// Not an answer to this request: it is unsigned, encoded, or has another request's id.
    Invalid,
}

/// Classifies the head of an endpoint's answer to request `id`.
pub fn classify(status: StatusCode, headers: &HeaderMap, id: &str) -> ResponseClass {
    let echoed = headers.get(REQUEST_ID);
    if echoed.is_some_and(|echoed| echoed.as_bytes() != id.as_bytes()) {
        return ResponseClass::Invalid;
    }
    if status == StatusCode::MISDIRECTED_REQUEST {
        return ResponseClass::OtherEndpoint;
    }
    if headers.contains_key("not-executed") {
        return ResponseClass::NotRun;
    }
    let is_whole = headers.contains_key(SIGNATURE)
        && echoed.is_some()
        && !headers.contains_key("content-encoding");
    if is_whole {
        ResponseClass::Answer
    } else {
        ResponseClass::Invalid
    }
}

/// Returns the headers of an answer that go on to the caller.
pub fn returned_headers(endpoint: &HeaderMap) -> HeaderMap {
    let mut headers = endpoint.clone();
    for name in NOT_RETURNED {
        headers.remove(*name);
    }
    headers
}

/// Classifies the head of an endpoint's answer to a stage call, which bears no signature.
pub fn classify_stage(status: StatusCode, headers: &HeaderMap) -> ResponseClass {
    if status == StatusCode::MISDIRECTED_REQUEST {
        return ResponseClass::OtherEndpoint;
    }
    if headers.contains_key("not-executed") {
        return ResponseClass::NotRun;
    }
    if status == StatusCode::OK {
        ResponseClass::Answer
    } else {
        ResponseClass::Invalid
    }
}
