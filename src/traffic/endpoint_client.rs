//! Calls of endpoints over HTTP.
//!
//! Idempotent calls share kept connections. A non-idempotent call has a connection of its
//! own and its bytes are sent once, because a kept connection that the endpoint closes at
//! the same moment makes a client send again (`docs/design.md`, 3.4).

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

/// Largest single event that is taken from an engine.
const EVENT_LIMIT_BYTES: usize = 1024 * 1024;

/// Whether the endpoint may have executed a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Execution {
    /// No byte was sent, or the endpoint answered that it did not run the attempt.
    NotRun,
    /// Bytes were sent, so the attempt may have had an effect.
    MayHaveRun,
}

/// How an attempt failed.
#[derive(Debug)]
pub struct CallError {
    /// The class for the circuit; `None` when the endpoint is not at fault.
    pub class: Option<FailureClass>,
    /// Whether the attempt can have had an effect.
    pub ran: Execution,
    /// Whether the endpoint showed a cold start.
    pub is_cold: bool,
    /// Whether another attempt can help.
    pub can_retry: bool,
    /// What happened.
    pub message: String,
}

impl CallError {
    /// Makes the error of an attempt that may pass by itself.
    pub fn transient(ran: Execution, message: impl Into<String>) -> Self {
        Self {
            class: Some(FailureClass::Transient),
            ran,
            is_cold: false,
            can_retry: true,
            message: message.into(),
        }
    }
}

/// What an attempt sends.
pub struct Call<'a> {
    /// Where to.
    pub address: SocketAddr,
    /// The stage.
    pub stage: &'a Stage,
    /// Its input.
    pub input: &'a RawValue,
    /// The request.
    pub id: &'a RequestId,
    /// Distinguishes the attempt from all others.
    pub attempt_id: &'a str,
    /// For fairness at the endpoint.
    pub organisation: &'a OrganisationName,
    /// Time that the endpoint may take.
    pub time: Duration,
}

#[derive(Serialize)]
struct RunBody<'a> {
    stage: &'a StageName,
    #[serde(skip_serializing_if = "Option::is_none")]
    model: Option<&'a ModelName>,
    input: &'a RawValue,
}

#[derive(Deserialize)]
struct RunAnswer {
    output: Box<RawValue>,
}

/// The head of an endpoint's answer, with its body still to come.
pub struct Reply {
    /// Whether the endpoint showed a cold start.
    pub is_cold: bool,
    /// Whether the body is a stream of events.
    pub is_stream: bool,
    body: Incoming,
    parser: EventParser,
    limit_bytes: usize,
}

impl Reply {
    /// Reads the rest of an answer that is one JSON document.
    ///
    /// # Errors
    ///
    /// Returns a transient failure when the answer is cut, too large or not as documented.
    pub async fn output(self) -> Result<Box<RawValue>, CallError> {
        let bad = |error: String| CallError::transient(Execution::MayHaveRun, error);
        let body = Limited::new(self.body, self.limit_bytes).collect().await;
        let bytes = body.map_err(|error| bad(format!("the answer broke off: {error}")))?;
        let answer: RunAnswer = serde_json::from_slice(&bytes.to_bytes())
            .map_err(|error| bad(format!("the answer is not as documented: {error}")))?;
        Ok(answer.output)
    }

    /// Reads the next event; `None` at the end of the stream.
    ///
    /// # Errors
    ///
    /// Returns a transient failure when the stream is cut or an event is too large.
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

/// Client of all endpoints.
pub struct EndpointClient {
    kept: Client<HttpConnector, Full<Bytes>>,
    connect_timeout: Duration,
    answer_limit_bytes: usize,
}

impl EndpointClient {
    /// Starts without connections.
    pub fn new(config: &TrafficConfig) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(config.connect_timeout));
        Self {
            kept: Client::builder(TokioExecutor::new()).build(connector),
            connect_timeout: config.connect_timeout,
            answer_limit_bytes: config.answer_limit_bytes,
        }
    }

    /// Sends an attempt and reads the head of its answer. `may_send` is asked after the
    /// connection stands, since the request may have ended meanwhile.
    ///
    /// # Errors
    ///
    /// Returns how the attempt failed and whether it can have had an effect.
    pub async fn call(
        &self,
        call: &Call<'_>,
        may_send: impl Fn() -> bool,
    ) -> Result<Reply, CallError> {
        let request = build_request(call).map_err(|error| {
            CallError::transient(Execution::NotRun, format!("no request: {error}"))
        })?;
        let response = if call.stage.idempotent {
            self.send_kept(request).await?
        } else {
            self.send_once(call.address, request, may_send).await?
        };
        self.check(call, response)
    }

    async fn send_kept(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, CallError> {
        let sent = self.kept.request(request).await;
        sent.map_err(|error| {
            let ran = if error.is_connect() {
                Execution::NotRun
            } else {
                Execution::MayHaveRun
            };
            CallError::transient(ran, format!("the call failed: {}", error_chain(&error)))
        })
    }

    async fn send_once(
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
            // The error also reaches whoever waits for the answer.
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

    fn check(&self, call: &Call<'_>, response: Response<Incoming>) -> Result<Reply, CallError> {
        let (head, body) = response.into_parts();
        let is_cold = header_is(&head.headers, "x-state", "cold");
        let answered = head.headers.get("x-attempt-id");
        if answered.is_some_and(|id| id.as_bytes() != call.attempt_id.as_bytes()) {
            let message = "the answer belongs to another attempt";
            return Err(CallError::transient(Execution::MayHaveRun, message));
        }
        if !head.status.is_success() {
            return Err(refused(call.stage, head.status, &head.headers, is_cold));
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
    let body = serde_json::to_vec(&RunBody {
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
        .header("x-request-id", call.id.to_string())
        .header("x-attempt-id", call.attempt_id)
        .header("x-deadline-ms", call.time.as_millis().to_string())
        .header("x-organisation", call.organisation.as_str())
        .body(Full::new(Bytes::from(body)))?;
    Ok(request)
}

fn header_is(headers: &HeaderMap, name: &str, value: &str) -> bool {
    let header = headers.get(name);
    header.is_some_and(|header| header.as_bytes().eq_ignore_ascii_case(value.as_bytes()))
}

/// Classifies an answer that is not a success.
fn refused(stage: &Stage, status: StatusCode, headers: &HeaderMap, is_cold: bool) -> CallError {
    let not_run = header_is(headers, "x-not-run", "true");
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
        ran: if not_run {
            Execution::NotRun
        } else {
            Execution::MayHaveRun
        },
        is_cold,
        // The endpoint found fault with the request itself: so will the others.
        can_retry: class.is_some() || not_run,
        message: format!("the endpoint answered {status}"),
    }
}

/// Returns an error with its causes, which hyper does not show by itself.
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
