//! Requests whose answer is a stream of events from a model engine.
//!
//! Only whole events go on to the caller. Where the route allows it, a stream that breaks off is
//! resumed at another engine within the same answer.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::HeaderMap;
use hyper::StatusCode;
use hyper::body::{Frame, Incoming};
use slog::{info, warn};
use tokio::time::{sleep, timeout};
use tokio_util::task::AbortOnDropHandle;

use crate::clock;
use crate::decisions::batching::ItemFailure;
use crate::decisions::endpoint_choice::{AttemptEnd, Started, Work};
use crate::fleet::dispatcher::JobFailure;
use crate::fleet::endpoint_client::{Connection, read_body};
use crate::fleet::model::Endpoint;
use crate::fleet::node::{MAX_SENDS, Node};
use crate::fleet::plain::{
    Attempts, MAX_CONNECTS, MIN_ATTEMPT, build_request, next_connection, timed_out,
};
use crate::fleet::reply::{self, ReplyBody, relayed, whole_body};
use crate::fleet::request::{Call, Ended};
use crate::fleet::stages::{StageResults, run_stages};
use crate::platform::endpoint_call::{ResponseClass, classify, returned_headers};
use crate::traffic::Execution;
use crate::traffic::sse::{BlockReader, event_number};
use crate::units::{DataCentreName, EndpointName};

/// Pause that a caller is told when no engine takes its request.
const FULL_PAUSE: Duration = Duration::from_millis(250);
/// Minimum and maximum pause that a caller is told when the stages are overloaded.
const OVERLOAD_PAUSE: Duration = Duration::from_millis(300);
const MAX_OVERLOAD_PAUSE: Duration = Duration::from_millis(2_000);
/// A resumable request without a first event after this many objectives goes elsewhere.
const PATIENCE_OBJECTIVES: f64 = 1.5;
/// Least such patience, since a long prompt takes its time at any engine.
const PATIENCE_LEAST: Duration = Duration::from_millis(1_500);
/// Silence within a resumable stream after which it goes on elsewhere.
const GAP_LIMIT: Duration = Duration::from_millis(1_500);
/// Time after the deadline at which a stream is cut, so that an engine that stops work at the
/// deadline can say so itself.
const CUT_SLACK: Duration = Duration::from_millis(200);
/// Time after which an engine has fetched the results that it reads. It fetches them before it
/// reads the prompt; the memory that they use is what limits the stages under load.
const INPUTS_FETCHED: Duration = Duration::from_millis(80);
/// Largest event that is taken from an engine.
const EVENT_LIMIT_BYTES: usize = 1024 * 1024;

/// Serves a request until its first event; the rest follows with the body.
pub async fn serve<G: Send + 'static>(node: Arc<Node>, call: Arc<Call>, active: G) -> Ended {
    node.note_request(&call.service);
    let mut source = Source::new(Arc::clone(&node), Arc::clone(&call));
    let opened = timeout(call.time_left(), source.open_first()).await;
    match opened {
        Err(_) => timed_out(&source.attempts),
        Ok(Err(ended)) => ended,
        Ok(Ok((headers, first))) => {
            let body = relay_body(source, first, active);
            let reason = "stream began";
            Ended::new(relayed(StatusCode::OK, headers, body), reason)
        }
    }
}

/// An engine's stream whose events are being read.
struct Open {
    endpoint: EndpointName,
    body: Incoming,
    blocks: BlockReader,
    _connection: AbortOnDropHandle<()>,
}

/// What reading from an engine gives.
enum Read {
    Event(Bytes),
    Complete,
    Broken(String),
}

/// How opening a stream at one engine ended.
enum Opening {
    Stream(HeaderMap, Bytes),
    Reply(Ended),
    /// Another engine may be tried.
    Failed(String),
}

/// One caller's stream and the engine that it is read from.
struct Source {
    node: Arc<Node>,
    call: Arc<Call>,
    attempts: Attempts,
    open: Option<Open>,
    started: Option<Started>,
    last_event: Option<u64>,
    events: u64,
    stages_ran: bool,
    is_ended: bool,
}

impl Source {
    fn new(node: Arc<Node>, call: Arc<Call>) -> Self {
        let last_event = call.caller.last_event;
        Self {
            node,
            call,
            attempts: Attempts::default(),
            open: None,
            started: None,
            last_event,
            events: 0,
            stages_ran: false,
            is_ended: false,
        }
    }

    /// Opens the stream at the first engine that answers.
    async fn open_first(&mut self) -> Result<(HeaderMap, Bytes), Ended> {
        loop {
            let reason = match self.open_once().await {
                Opening::Stream(headers, first) => return Ok((headers, first)),
                Opening::Reply(ended) => {
                    self.is_ended = true;
                    return Err(ended);
                }
                Opening::Failed(reason) => reason,
            };
            if !self.may_go_on() {
                self.is_ended = true;
                return Err(self.failure(reason));
            }
        }
    }

    /// Returns whether the route and the time allow another send.
    fn may_go_on(&self) -> bool {
        let is_allowed = self.attempts.runs == 0
            || (self.call.route.is_resumable && self.attempts.runs < self.call.route.max_attempts);
        is_allowed
            && self.attempts.sent < MAX_SENDS
            && self.attempts.connects < MAX_CONNECTS
            && self.call.time_left() > Duration::from_millis(50)
    }

    fn failure(&self, reason: String) -> Ended {
        if self.call.time_left() < MIN_ATTEMPT {
            return timed_out(&self.attempts);
        }
        if self.attempts.runs > 0 {
            let reply = reply::text(StatusCode::BAD_GATEWAY, "the engine failed");
            return Ended::new(reply, reason);
        }
        Ended::new(
            reply::not_run("no engine took the request", FULL_PAUSE),
            reason,
        )
    }

    /// Runs the stages, sends the request to one engine and reads its first event.
    async fn open_once(&mut self) -> Opening {
        let mut results = match self.stages().await {
            Ok(results) => results,
            Err(ended) => return Opening::Reply(ended),
        };
        let Some((endpoint, connection)) = self.connect(&results).await else {
            return Opening::Failed("no engine".to_owned());
        };
        if self.attempts.sent > 0 && !self.node.take_retry(&self.call.service, self.attempts.sent) {
            return Opening::Reply(self.failure("no repeat left".to_owned()));
        }
        self.send(&endpoint, connection, &mut results).await
    }

    async fn stages(&mut self) -> Result<StageResults, Ended> {
        let is_retry = std::mem::replace(&mut self.stages_ran, true);
        let mut outcome = run_stages(&self.node, &self.call, is_retry).await;
        if matches!(outcome, Err(JobFailure::Item(ItemFailure::InputGone))) {
            outcome = run_stages(&self.node, &self.call, true).await;
        }
        outcome.map_err(|failure| self.stage_failure(failure))
    }

    fn stage_failure(&self, failure: JobFailure) -> Ended {
        let reason = format!("stages: {failure:?}");
        if self.attempts.runs > 0 {
            return self.failure(reason);
        }
        let pause = match failure {
            JobFailure::Overloaded(wait) => wait.clamp(OVERLOAD_PAUSE, MAX_OVERLOAD_PAUSE),
            _ => FULL_PAUSE,
        };
        Ended::new(reply::not_run("the stages are overloaded", pause), reason)
    }

    async fn connect(&mut self, results: &StageResults) -> Option<(Arc<Endpoint>, Connection)> {
        let view = self.node.view();
        let preferred_data_centre = results.data_centre(&view);
        let preferred_data_centre = preferred_data_centre
            .as_ref()
            .unwrap_or(&self.node.settings.data_centre);
        let work = generation(&self.call, preferred_data_centre);
        next_connection(&self.node, &self.call, &mut self.attempts, work).await
    }

    async fn send(
        &mut self,
        endpoint: &Endpoint,
        connection: Connection,
        results: &mut StageResults,
    ) -> Opening {
        self.attempts.sent += 1;
        self.attempts.runs += 1;
        self.attempts.tried.push(endpoint.id.clone());
        let prompt_tokens = self.call.caller.prompt_tokens;
        let started = self
            .node
            .choice
            .lock()
            .start(clock::now(), endpoint, prompt_tokens);
        self.started = Some(started);
        let limit =
            if self.call.route.is_resumable && self.attempts.runs < self.call.route.max_attempts {
                let patience = self.call.route.objective.mul_f64(PATIENCE_OBJECTIVES);
                patience.max(PATIENCE_LEAST).min(self.call.time_left())
            } else {
                self.call.time_left()
            };
        let inputs = results.inputs();
        let opened = {
            let exchange = timeout(limit, self.exchange(endpoint, connection, inputs));
            let mut exchange = std::pin::pin!(exchange);
            tokio::select! {
                opened = exchange.as_mut() => opened,
                () = sleep(INPUTS_FETCHED) => {
                    results.free();
                    exchange.await
                }
            }
        };
        let opening = match opened {
            Ok(opening) => opening,
            Err(_) => {
                self.end_attempt(AttemptEnd::Broken);
                Opening::Failed(format!("no event in {limit:?}"))
            }
        };
        let text = match &opening {
            Opening::Stream(..) => "stream began",
            Opening::Reply(ended) => &ended.reason,
            Opening::Failed(reason) => reason,
        };
        info!(self.node.logger, "request: attempt"; "id" => &self.call.caller.id,
            "endpoint" => %endpoint.id, "data_centre" => %endpoint.data_centre,
            "sent" => self.attempts.sent, "outcome" => text);
        // The engine has read its inputs, or does not need them any more.
        results.free();
        opening
    }

    async fn exchange(
        &mut self,
        endpoint: &Endpoint,
        connection: Connection,
        inputs: Option<Vec<String>>,
    ) -> Opening {
        let request = build_request(&self.call, endpoint, inputs.as_deref(), self.last_event);
        let answer = match connection.send(request).await {
            Ok(answer) => answer,
            Err(failure) => {
                if failure.ran == Execution::NotRun {
                    self.attempts.runs -= 1;
                }
                self.end_attempt(AttemptEnd::Broken);
                return Opening::Failed(failure.message);
            }
        };
        let (response, guard) = answer.into_parts();
        let (head, body) = response.into_parts();
        let status = head.status;
        match classify(status, &head.headers, &self.call.caller.id) {
            ResponseClass::Answer if status.is_success() => {}
            ResponseClass::Answer => return self.failed_answer(status, &head.headers, body).await,
            ResponseClass::NotRun => {
                self.attempts.runs -= 1;
                self.end_attempt(AttemptEnd::Full);
                return Opening::Failed(format!("the engine refused {status}"));
            }
            ResponseClass::OtherEndpoint => {
                self.attempts.runs -= 1;
                self.end_attempt(AttemptEnd::Broken);
                return Opening::Failed("another endpoint has the address".to_owned());
            }
            ResponseClass::Invalid => {
                self.end_attempt(AttemptEnd::Broken);
                return Opening::Failed(format!("not an answer to this request: {status}"));
            }
        }
        self.open = Some(Open {
            endpoint: endpoint.id.clone(),
            body,
            blocks: BlockReader::default(),
            _connection: guard,
        });
        match self.read().await {
            Read::Event(event) => {
                self.note_first_event();
                Opening::Stream(returned_headers(&head.headers), event)
            }
            Read::Complete => {
                self.end_attempt(AttemptEnd::Answered(None));
                let headers = returned_headers(&head.headers);
                let reply = relayed(status, headers, whole_body(Bytes::new()));
                Opening::Reply(Ended::new(reply, "an empty stream"))
            }
            Read::Broken(reason) => {
                self.end_attempt(AttemptEnd::Broken);
                Opening::Failed(reason)
            }
        }
    }

    /// Passes on an answer that is a failure of the engine.
    async fn failed_answer(
        &mut self,
        status: StatusCode,
        headers: &HeaderMap,
        body: Incoming,
    ) -> Opening {
        self.end_attempt(AttemptEnd::Error);
        let may_retry = status.is_server_error() && self.may_go_on();
        match read_body(body).await {
            _ if may_retry => Opening::Failed(format!("the engine answered {status}")),
            Ok(body) => {
                let reply = relayed(status, returned_headers(headers), whole_body(body));
                Opening::Reply(Ended::new(reply, format!("the engine answered {status}")))
            }
            Err(failure) => Opening::Failed(failure.message),
        }
    }

    fn note_first_event(&mut self) {
        let mut choice = self.node.choice.lock();
        if let Some(started) = &mut self.started {
            choice.on_prompt_read(started);
        }
    }

    /// Reads the next event from the open engine, without duplicates or gaps.
    async fn read(&mut self) -> Read {
        let Some(open) = &mut self.open else {
            return Read::Broken("no engine is open".to_owned());
        };
        loop {
            if let Some(block) = open.blocks.next_block() {
                let number = event_number(&block);
                match (number, self.last_event) {
                    (Some(number), Some(last)) if number <= last => continue,
                    (Some(number), Some(last)) if number > last + 1 => {
                        return Read::Broken(format!("event {number} follows {last}"));
                    }
                    _ => {}
                }
                self.last_event = number.or(self.last_event);
                self.events += 1;
                return Read::Event(block);
            }
            if open.blocks.buffered_bytes() > EVENT_LIMIT_BYTES {
                return Read::Broken("an event is too large".to_owned());
            }
            match open.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        open.blocks.push(&data);
                    }
                }
                Some(Err(error)) => return Read::Broken(format!("the stream broke off: {error}")),
                None if open.blocks.buffered_bytes() > 0 => {
                    return Read::Broken("the stream ended within an event".to_owned());
                }
                None => return Read::Complete,
            }
        }
    }

    /// Returns the next event for the caller; an error cuts its connection.
    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        if self.is_ended {
            return None;
        }
        let left = (self.call.deadline + CUT_SLACK).since(clock::now());
        let may_resume = self.call.route.is_resumable && self.may_go_on();
        let limit = if may_resume {
            GAP_LIMIT.min(left)
        } else {
            left
        };
        let reason = match timeout(limit, self.read()).await {
            Ok(Read::Event(event)) => return Some(Ok(event)),
            Ok(Read::Complete) => {
                self.end_attempt(AttemptEnd::Answered(None));
                self.log_end("complete");
                return None;
            }
            Ok(Read::Broken(reason)) => reason,
            Err(_) => format!("no event in {limit:?}"),
        };
        self.end_attempt(AttemptEnd::Broken);
        if let Some(event) = self.resume(&reason).await {
            return Some(Ok(event));
        }
        self.log_end(&reason);
        Some(Err(io::Error::other(reason)))
    }

    /// Goes on at another engine after the last event that the caller got.
    async fn resume(&mut self, reason: &str) -> Option<Bytes> {
        while self.call.route.is_resumable && self.may_go_on() {
            warn!(self.node.logger, "request: resuming a stream"; "id" => &self.call.caller.id,
                "after_event" => self.last_event, "reason" => reason);
            let opened = timeout(self.call.time_left(), self.open_once()).await;
            match opened {
                Ok(Opening::Stream(_, event)) => return Some(event),
                Ok(Opening::Failed(_)) => {}
                Ok(Opening::Reply(_)) | Err(_) => return None,
            }
        }
        None
    }

    fn end_attempt(&mut self, end: AttemptEnd) {
        self.open = None;
        if let Some(started) = self.started.take() {
            self.node.end_attempt(started, end);
        }
    }

    fn log_end(&mut self, reason: &str) {
        self.is_ended = true;
        let took = clock::now().since(self.call.arrived_at);
        info!(self.node.logger, "request: stream ended"; "id" => &self.call.caller.id,
            "events" => self.events, "reason" => reason, "took_ms" => took.as_millis() as u64);
    }
}

impl Drop for Source {
    fn drop(&mut self) {
        let endpoint = self.open.as_ref().map(|open| open.endpoint.to_string());
        self.end_attempt(AttemptEnd::Inconclusive);
        if !self.is_ended {
            info!(self.node.logger, "request: the caller left"; "id" => &self.call.caller.id,
                "events" => self.events, "endpoint" => endpoint);
        }
    }
}

/// Returns what a request asks of an engine. `preferred_data_centre` is the data centre with most
/// of what the engine reads.
pub fn generation<'a>(call: &Call, preferred_data_centre: &'a DataCentreName) -> Work<'a> {
    let prompt = &call.caller.prompt;
    // The last part belongs to the request alone; the one before it is shared and longest.
    let prompt_prefix = prompt.iter().rev().nth(1).or(prompt.last());
    Work::Generation {
        prompt_prefix: prompt_prefix.map_or(0, |part| part.id),
        prompt_tokens: call.caller.prompt_tokens,
        preferred_data_centre,
    }
}

fn relay_body<G: Send + 'static>(source: Source, first: Bytes, active: G) -> ReplyBody {
    let state = (source, Some(first), active);
    let events = stream::unfold(state, |(mut source, first, active)| async move {
        let next = match first {
            Some(event) => Some(Ok(event)),
            None => source.next().await,
        };
        next.map(|event| (event.map(Frame::data), (source, None, active)))
    });
    StreamBody::new(events).boxed_unsync()
}
