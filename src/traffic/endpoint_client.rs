//! HTTP client that calls endpoints.
//!
//! Idempotent calls share pooled connections. A non-idempotent call opens its own connection
//! and its bytes are sent once: the pooled client sends a request again on its own if the
//! endpoint closes a pooled connection just as the request is sent (`docs/design.md`, 3.4).

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioIo};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use tokio::net::TcpStream;

use crate::decisions::circuit::FailureClass;
use crate::manifest::{Stage, StageKind};
use crate::traffic::config::TrafficConfig;
use crate::traffic::sse::{Event, EventParser};
use crate::units::{ModelName, OrganisationName, RequestId, StageName};

/// Maximum number of bytes buffered for an incomplete event of an engine.
const EVENT_LIMIT_BYTES: usize = 1024 * 1024;

/// Whether the endpoint may have executed a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Execution {
    /// No byte was sent, or the endpoint answered that it did not run the attempt.
    NotRun,
    /// Bytes may have been sent, so the attempt may have had an effect.
    MayHaveRun,
}

/// Failure of an attempt.
#[derive(Debug)]
pub struct CallError {
    /// Failure class that the endpoint's circuit records; `None` if the endpoint is not at
    /// fault.
    pub class: Option<FailureClass>,
    /// Whether the endpoint may have executed the attempt.
    pub execution: Execution,
    /// Whether the endpoint's answer showed a cold start.
    pub is_cold: bool,
    /// Whether another attempt may succeed.
    pub can_retry: bool,
    /// Description of the failure.
    pub message: String,
}

impl CallError {
    /// Creates the error of a transient failure, after which another attempt may succeed.
    pub fn transient(execution: Execution, message: impl Into<String>) -> Self {
        Self {
            class: Some(FailureClass::Transient),
            execution,
            is_cold: false,
            can_retry: true,
            message: message.into(),
        }
    }
}

/// One attempt to run a stage on an endpoint.
pub struct Call<'a> {
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Stage to run.
    pub stage: &'a Stage,
    /// Input of the stage.
    pub input: &'a RawValue,
    /// Id of the request.
    pub request_id: &'a RequestId,
    /// Id of the attempt, which no other attempt has.
    pub attempt_id: &'a str,
    /// Organisation that the request runs for, sent for fairness at the endpoint.
    pub organisation: &'a OrganisationName,
    /// Time that the endpoint may take, which it is told in `x-deadline-ms`.
    pub time_limit: Duration,
}

#[derive(Serialize)]
struct RunRequestBody<'a> {
    stage: &'a StageName,
    #[serde(skip_serializing_if = "Option::is_none")]
    model: Option<&'a ModelName>,
    input: &'a RawValue,
}

#[derive(Deserialize)]
struct RunResponseBody {
    output: Box<RawValue>,
}

/// An endpoint's answer whose head has been read and whose body has not.
pub struct Reply {
    /// Whether the endpoint's answer showed a cold start.
    pub is_cold: bool,
    /// Whether the body is a stream of events.
    pub is_stream: bool,
    body: Incoming,
    parser: EventParser,
    limit_bytes: usize,
}

impl Reply {
    /// Reads the body of an answer that is one JSON document and returns the stage's output.
    ///
    /// # Errors
    ///
    /// Returns a transient failure if the answer breaks off, is too large or is not as documented.
    pub async fn output(self) -> Result<Box<RawValue>, CallError> {
        let failed = |error: String| CallError::transient(Execution::MayHaveRun, error);
        let body = Limited::new(self.body, self.limit_bytes).collect().await;
        let bytes = body.map_err(|error| failed(format!("the answer broke off: {error}")))?;
        let answer: RunResponseBody = serde_json::from_slice(&bytes.to_bytes())
            .map_err(|error| failed(format!("the answer is not as documented: {error}")))?;
        Ok(answer.output)
    }

    /// Reads the next event. Returns `None` at the end of the stream.
    ///
    /// # Errors
    ///
    /// Returns a transient failure if the stream breaks off or an event is too large.
    pub async fn next_event(&mut self) -> Result<Option<Event>, CallError> {
        loop {
            if let Some(event) = self.parser.next_event() {
                return Ok(Some(event));
            }
            if self.parser.buffered_bytes() > EVENT_LIMIT_BYTES {
                return Err(CallError::transient(
                    Execution::MayHaveRun,
                    "an event is too large",
                ));
            }
            let Some(frame) = self.body.frame().await else {
                return Ok(None);
            };
            let frame = frame.map_err(|error| {
                CallError::transient(
                    Execution::MayHaveRun,
                    format!("the stream broke off: {error}"),
                )
            })?;
            if let Ok(data) = frame.into_data() {
                self.parser.push(&data);
            }
        }
    }
}

/// HTTP client for all endpoints.
pub struct EndpointClient {
    pooled: Client<HttpConnector, Full<Bytes>>,
    connect_timeout: Duration,
    answer_limit_bytes: usize,
}

impl EndpointClient {
    /// Creates a client without connections.
    pub fn new(config: &TrafficConfig) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(config.connect_timeout));
        Self {
            pooled: Client::builder(TokioExecutor::new()).build(connector),
            connect_timeout: config.connect_timeout,
            answer_limit_bytes: config.answer_limit_bytes,
        }
    }

    /// Sends an attempt and reads the head of its answer. For a non-idempotent stage,
    /// `may_send` is called once the connection is established, since the request may have
    /// ended meanwhile.
    ///
    /// # Errors
    ///
    /// Returns how the attempt failed and whether the endpoint may have executed it.
    pub async fn call(
        &self,
        call: &Call<'_>,
        may_send: impl Fn() -> bool,
    ) -> Result<Reply, CallError> {
        let request = build_request(call).map_err(|error| {
            CallError::transient(Execution::NotRun, format!("no request: {error}"))
        })?;
        let response = if call.stage.idempotent {
            self.send_pooled(request).await?
        } else {
            self.send_on_new_connection(call.address, request, may_send)
                .await?
        };
        self.read_head(call, response)
    }

    async fn send_pooled(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, CallError> {
        let sent = self.pooled.request(request).await;
        sent.map_err(|error| {
            let execution = if error.is_connect() {
                Execution::NotRun
            } else {
                Execution::MayHaveRun
            };
            CallError::transient(
                execution,
                format!("the call failed: {}", error_chain(&error)),
            )
        })
    }

    async fn send_on_new_connection(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        may_send: impl Fn() -> bool,
    ) -> Result<Response<Incoming>, CallError> {
        let not_sent = |error: String| {
            CallError::transient(Execution::NotRun, format!("no connection: {error}"))
        };
        let connect = tokio::time::timeout(self.connect_timeout, TcpStream::connect(address));
        let stream = match connect.await {
            Ok(connected) => connected.map_err(|error| not_sent(error.to_string()))?,
            Err(_) => return Err(not_sent("the connect timeout passed".to_owned())),
        };
        stream
            .set_nodelay(true)
            .map_err(|error| not_sent(error.to_string()))?;
        let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
        let (mut sender, connection) = handshake.map_err(|error| not_sent(error.to_string()))?;
        if !may_send() {
            return Err(CallError {
                class: None,
                can_retry: false,
                ..not_sent("the request ended before it was sent".to_owned())
            });
        }
        tokio::spawn(async move {
            // The error needs no handling here: sending the request or reading the answer
            // returns it too.
            let _ = connection.await;
        });
        let sent = sender.send_request(request).await;
        sent.map_err(|error| {
            CallError::transient(
                Execution::MayHaveRun,
                format!("the call failed: {}", error_chain(&error)),
            )
        })
    }

    fn read_head(&self, call: &Call<'_>, response: Response<Incoming>) -> Result<Reply, CallError> {
        let (head, body) = response.into_parts();
        let is_cold = header_is(&head.headers, "x-state", "cold");
        let answered_attempt_id = head.headers.get("x-attempt-id");
        if answered_attempt_id.is_some_and(|id| id.as_bytes() != call.attempt_id.as_bytes()) {
            let message = "the answer belongs to another attempt";
            return Err(CallError::transient(Execution::MayHaveRun, message));
        }
        if !head.status.is_success() {
            // On a pooled connection, a late answer of an earlier attempt may come first. A connection of its
            // own carries no other attempt.
            let is_own = answered_attempt_id.is_some() || !call.stage.idempotent;
            let states_not_run = is_own && header_is(&head.headers, "x-not-run", "true");
            return Err(classify_refusal(
                call.stage,
                head.status,
                states_not_run,
                is_cold,
            ));
        }
        let content_type = head.headers.get(hyper::header::CONTENT_TYPE);
        let is_stream =
            content_type.is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"));
        Ok(Reply {
            is_cold,
            is_stream,
            body,
            parser: EventParser::default(),
            limit_bytes: self.answer_limit_bytes,
        })
    }
}

fn build_request(call: &Call<'_>) -> anyhow::Result<Request<Full<Bytes>>> {
    let body = serde_json::to_vec(&RunRequestBody {
        stage: &call.stage.name,
        model: call.stage.model.as_ref(),
        input: call.input,
    })?;
    let accept = match call.stage.kind {
        StageKind::Generate => "text/event-stream, application/json",
        _ => "application/json",
    };
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{}/v1/run", call.address))
        .header(hyper::header::HOST, call.address.to_string())
        .header(hyper::header::CONTENT_TYPE, "application/json")
        .header(hyper::header::ACCEPT, accept)
        .header("x-request-id", call.request_id.to_string())
        .header("x-attempt-id", call.attempt_id)
        .header("x-deadline-ms", call.time_limit.as_millis().to_string())
        .header("x-organisation", call.organisation.as_str())
        .body(Full::new(Bytes::from(body)))?;
    Ok(request)
}

fn header_is(headers: &HeaderMap, name: &str, value: &str) -> bool {
    let header = headers.get(name);
    header.is_some_and(|header| header.as_bytes().eq_ignore_ascii_case(value.as_bytes()))
}

/// Classifies an answer whose status is not a success. `states_not_run` says whether the endpoint states that
/// it has not run this attempt.
fn classify_refusal(
    stage: &Stage,
    status: StatusCode,
    states_not_run: bool,
    is_cold: bool,
) -> CallError {
    let class = match status {
        _ if is_cold => Some(FailureClass::Cold),
        StatusCode::UNAUTHORIZED | StatusCode::FORBIDDEN => Some(FailureClass::Permanent),
        StatusCode::NOT_FOUND if stage.model.is_some() => Some(FailureClass::Model),
        StatusCode::NOT_FOUND => Some(FailureClass::Permanent),
        StatusCode::REQUEST_TIMEOUT | StatusCode::TOO_MANY_REQUESTS => {
            Some(FailureClass::Transient)
        }
        status if status.is_client_error() => None,
        _ => Some(FailureClass::Transient),
    };
    CallError {
        class,
        execution: if states_not_run {
            Execution::NotRun
        } else {
            Execution::MayHaveRun
        },
        is_cold,
        // `None` means that the endpoint rejected the request itself, which any other endpoint
        // would reject too. An attempt that did not run may be retried even so.
        can_retry: class.is_some() || states_not_run,
        message: format!("the endpoint answered {status}"),
    }
}

/// Returns the text of an error and its causes, which hyper's own text leaves out.
pub fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
