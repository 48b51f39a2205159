//! Serves requests whose answer is a stream of events from a model engine.
//!
//! Only whole events are relayed to the caller. If the route is resumable, a stream that breaks off
//! is resumed at another engine within the same answer to the caller.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::HeaderMap;
use hyper::StatusCode;
use hyper::body::Frame;
use slog::{info, warn};
use tokio::task::yield_now;
use tokio::time::{sleep, timeout};

use crate::clock;
use crate::decisions::batching::ItemFailure;
use crate::decisions::endpoint_choice::{AttemptEnd, StartedAttempt};
use crate::fleet::admission::{AdmittedRequest, RequestEnd};
use crate::fleet::attempts::{
    Attempts, MAX_FAILED_CONNECTIONS, MIN_ATTEMPT_TIME, build_request, choose, generation_work,
    next_connection, quarantined, refuse_quarantined, retry_after, timed_out,
};
use crate::fleet::crash_reports::check_engine;
use crate::fleet::dispatcher::JobFailure;
use crate::fleet::endpoint_client::{AnswerBody, Connection, read_body};
use crate::fleet::engine_stream::{EngineStream, ReadOutcome};
use crate::fleet::metric::{self, StreamEnd};
use crate::fleet::model::Endpoint;
use crate::fleet::node::{MAX_SENDS, Node};
use crate::fleet::reply::{self, ReplyBody, relayed, whole_body};
use crate::fleet::stages::{StageResults, run_stages};
use crate::platform::endpoint_call::{ResponseClass, classify, returned_headers};
use crate::traffic::Execution;
use crate::units::PartId;

/// Time after which a caller should retry, sent when no engine takes its request.
const NOT_RUN_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Minimum of the time after which a caller should retry, sent when the stages are overloaded.
const MIN_OVERLOAD_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Maximum of the time after which a caller should retry, sent when the stages are overloaded.
const MAX_OVERLOAD_RETRY_AFTER: Duration = Duration::from_millis(2_000);
/// Timeout for the first event of a resumable request at one engine, as a multiple of the route's
/// objective. Another engine is tried after it.
const FIRST_EVENT_TIMEOUT_OBJECTIVES: f64 = 1.5;
/// Minimum timeout for the first event, since a long prompt takes long at any engine.
const MIN_FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Timeout for the next event within a resumable stream, after which it is resumed at another
/// engine.
const NEXT_EVENT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time after the deadline at which a stream is cut off. An engine that stops work at the deadline
/// has this time to report that in its stream.
const DEADLINE_GRACE: Duration = Duration::from_millis(200);
/// Estimate of the time that an engine takes to fetch the stage results that it reads, which it
/// does before it reads the prompt. The results are freed then: the memory that they use is what
/// limits the stages under load.
const INPUT_FETCH_ESTIMATE: Duration = Duration::from_millis(80);
/// Number of events with which an answer is past its start. An engine that ends sooner may have been
/// ended by the request.
const START_EVENTS: u64 = 3;
/// Minimum time left until the deadline for another engine to be worth trying.
const MIN_STREAM_TIME: Duration = Duration::from_millis(50);

/// Serves a request until its first event. The body of the reply then relays the further events;
/// it holds `active`, which marks the request as in progress, until the body is dropped.
pub async fn serve<G: Send + 'static>(
    node: Arc<Node>,
    admitted: Arc<AdmittedRequest>,
    active: G,
) -> RequestEnd {
    node.note_request(&admitted.service);
    let mut caller_stream = CallerStream::new(Arc::clone(&node), Arc::clone(&admitted));
    let opened = {
        let opening = timeout(admitted.time_left(), caller_stream.open_first());
        let part_wait = node.wait_for_quarantine(&admitted);
        tokio::select! {
            // A request that is to be refused must not be begun.
            biased;
            part = part_wait => Err(Some(part)),
            opened = opening => opened.map_err(|_| None),
        }
    };
    match opened {
        Err(Some(part)) => {
            caller_stream.is_ended = true;
            caller_stream.refuse_for(part)
        }
        Err(None) => {
            caller_stream.is_ended = true;
            timed_out(&caller_stream.attempts)
        }
        Ok(Err(ended)) => ended,
        Ok(Ok((headers, first))) => {
            let body = relay_body(caller_stream, first, active);
            let reason = "stream began";
            RequestEnd::new(relayed(StatusCode::OK, headers, body), reason)
        }
    }
}

/// Outcome of opening a stream at one engine.
enum OpenOutcome {
    /// The stream is open; holds the headers for the caller and the first event.
    Stream(HeaderMap, Bytes),
    /// The request has ended without a stream, and no other engine is tried.
    Reply(RequestEnd),
    /// The request was sent to an engine, which failed for the given reason. Another one may be
    /// tried.
    Failed(String),
}

/// The stream of one caller, with the engine stream that it is currently read from.
struct CallerStream {
    node: Arc<Node>,
    admitted: Arc<AdmittedRequest>,
    attempts: Attempts,
    open: Option<EngineStream>,
    /// The attempt in progress, which the endpoint choice counts until it ends.
    started: Option<StartedAttempt>,
    /// Number of the last event that was read, or that the caller already had. A resumed stream
    /// continues after it.
    last_event: Option<u64>,
    /// Count of events that were read for the caller.
    events: u64,
    /// The engine of the attempt in progress or of the last one.
    engine: Option<Arc<Endpoint>>,
    /// Count of events that were read from that engine.
    engine_events: u64,
    /// Whether the stages were run before, so that another run of them is a retry.
    stages_ran: bool,
    /// Whether the end of the request is known. If not, a drop is logged as the caller's leaving.
    is_ended: bool,
}

impl CallerStream {
    fn new(node: Arc<Node>, admitted: Arc<AdmittedRequest>) -> Self {
        let last_event = admitted.caller.last_event;
        Self {
            node,
            admitted,
            attempts: Attempts::default(),
            open: None,
            started: None,
            last_event,
            events: 0,
            engine: None,
            engine_events: 0,
            stages_ran: false,
            is_ended: false,
        }
    }

    /// Tries engines until one opens the stream. Returns the headers for the caller and the first
    /// event, or how the request ended without them.
    async fn open_first(&mut self) -> Result<(HeaderMap, Bytes), RequestEnd> {
        loop {
            let reason = match self.try_open().await {
                OpenOutcome::Stream(headers, first) => return Ok((headers, first)),
                OpenOutcome::Reply(ended) => {
                    self.is_ended = true;
                    return Err(ended);
                }
                OpenOutcome::Failed(reason) => reason,
            };
            if !self.may_send_again() {
                self.is_ended = true;
                return Err(self.failure(reason));
            }
        }
    }

    /// Returns the refusal for a part of the prompt that has come under quarantine.
    fn refuse_for(&self, part: PartId) -> RequestEnd {
        let duration = self.node.quarantined_part(&self.admitted);
        let duration = duration.map_or(NOT_RUN_RETRY_AFTER, |(_, duration)| duration);
        quarantined(&self.attempts, part, duration)
    }

    /// Returns whether the route, the limits on attempts and the time left allow the request to be
    /// sent to another engine.
    fn may_send_again(&self) -> bool {
        let is_allowed = self.attempts.runs == 0
            || (self.admitted.route.is_resumable
                && self.attempts.runs < self.admitted.route.max_attempts);
        is_allowed
            && self.attempts.sent < MAX_SENDS
            && self.attempts.failed_connections < MAX_FAILED_CONNECTIONS
            && self.admitted.time_left() > MIN_STREAM_TIME
    }

    /// Returns the reply for a request that ended without a stream.
    fn failure(&self, reason: String) -> RequestEnd {
        if self.admitted.time_left() < MIN_ATTEMPT_TIME {
            return timed_out(&self.attempts);
        }
        if self.attempts.runs > 0 {
            let reply = reply::text(StatusCode::BAD_GATEWAY, "the engine failed");
            return RequestEnd::new(reply, reason);
        }
        RequestEnd::new(
            reply::not_run(
                "no engine took the request",
                retry_after(&self.node, &self.admitted, NOT_RUN_RETRY_AFTER),
            ),
            reason,
        )
    }

    /// Runs the stages, sends the request to one engine and reads its first event.
    async fn try_open(&mut self) -> OpenOutcome {
        if let Some(refusal) = refuse_quarantined(&self.node, &self.admitted, &self.attempts) {
            return OpenOutcome::Reply(refusal);
        }
        if !self.has_engine() {
            return OpenOutcome::Reply(self.failure("no engine".to_owned()));
        }
        let mut results = match self.stages().await {
            Ok(results) => results,
            Err(ended) => return OpenOutcome::Reply(ended),
        };
        let Some((endpoint, connection)) = self.connect(&results).await else {
            return OpenOutcome::Reply(self.failure("no engine".to_owned()));
        };
        // The connect and the stages take time, in which a part may have come under quarantine.
        if let Some(refusal) = refuse_quarantined(&self.node, &self.admitted, &self.attempts) {
            return OpenOutcome::Reply(refusal);
        }
        if self.attempts.sent > 0
            && !self
                .node
                .take_retry(&self.admitted.service, self.attempts.sent)
        {
            return OpenOutcome::Reply(self.failure("no repeat left".to_owned()));
        }
        self.node.note_trial(&self.admitted);
        self.send(&endpoint, connection, &mut results).await
    }

    /// Returns whether an engine is left to which the request can be sent now. Without one, the
    /// stages would run in vain.
    fn has_engine(&self) -> bool {
        let work = generation_work(&self.admitted, &self.node.settings.data_centre);
        choose(&self.node, &self.admitted, &self.attempts, work).is_some()
    }

    /// Runs the stages. Runs them once more if the result of a stage was gone before the next stage
    /// had read it.
    async fn stages(&mut self) -> Result<StageResults, RequestEnd> {
        let is_retry = std::mem::replace(&mut self.stages_ran, true);
        let mut outcome = run_stages(&self.node, &self.admitted, is_retry).await;
        if matches!(outcome, Err(JobFailure::Item(ItemFailure::InputGone))) {
            outcome = run_stages(&self.node, &self.admitted, true).await;
        }
        outcome.map_err(|failure| self.stage_failure(failure))
    }

    /// Returns the reply for a request whose stages have no results.
    fn stage_failure(&self, failure: JobFailure) -> RequestEnd {
        let reason = format!("stages: {failure:?}");
        if self.attempts.runs > 0 {
            return self.failure(reason);
        }
        let (text, wait) = match failure {
            JobFailure::Overloaded(wait) => (
                "the stages are overloaded",
                wait.clamp(MIN_OVERLOAD_RETRY_AFTER, MAX_OVERLOAD_RETRY_AFTER),
            ),
            _ => ("a stage has no result", NOT_RUN_RETRY_AFTER),
        };
        RequestEnd::new(reply::not_run(text, wait), reason)
    }

    /// Connects to an engine, if possible in the data centre that stores most of its inputs.
    async fn connect(&mut self, results: &StageResults) -> Option<(Arc<Endpoint>, Connection)> {
        let view = self.node.view();
        let preferred_data_centre = results.data_centre(&view);
        let preferred_data_centre = preferred_data_centre
            .as_ref()
            .unwrap_or(&self.node.settings.data_centre);
        let work = generation_work(&self.admitted, preferred_data_centre);
        next_connection(&self.node, &self.admitted, &mut self.attempts, work).await
    }

    /// Sends the request to an engine on an open connection and waits for its first event.
    async fn send(
        &mut self,
        endpoint: &Arc<Endpoint>,
        connection: Connection,
        results: &mut StageResults,
    ) -> OpenOutcome {
        self.engine = Some(Arc::clone(endpoint));
        self.engine_events = 0;
        self.attempts.sent += 1;
        self.attempts.runs += 1;
        self.attempts.tried.push(endpoint.id.clone());
        let prompt_tokens = self.admitted.caller.prompt_tokens;
        let started = self
            .node
            .choice
            .lock()
            .start(clock::now(), endpoint, prompt_tokens);
        self.started = Some(started);
        let limit = if self.admitted.route.is_resumable
            && self.attempts.runs < self.admitted.route.max_attempts
        {
            let timeout_by_objective = self
                .admitted
                .route
                .objective
                .mul_f64(FIRST_EVENT_TIMEOUT_OBJECTIVES);
            timeout_by_objective
                .max(MIN_FIRST_EVENT_TIMEOUT)
                .min(self.admitted.time_left())
        } else {
            self.admitted.time_left()
        };
        let inputs = results.inputs();
        let opened = {
            let exchange = timeout(limit, self.exchange(endpoint, connection, inputs));
            let mut exchange = std::pin::pin!(exchange);
            tokio::select! {
                opened = exchange.as_mut() => opened,
                () = sleep(INPUT_FETCH_ESTIMATE) => {
                    results.free();
                    exchange.await
                }
            }
        };
        let opening = match opened {
            Ok(opening) => opening,
            Err(_) => {
                self.end_attempt(AttemptEnd::Broken);
                OpenOutcome::Failed(format!("no event in {limit:?}"))
            }
        };
        let outcome = match &opening {
            OpenOutcome::Stream(..) => "stream began",
            OpenOutcome::Reply(ended) => &ended.reason,
            OpenOutcome::Failed(reason) => reason,
        };
        info!(self.node.logger, "request: attempt to open a stream ended";
            "id" => &self.admitted.caller.id,
            "endpoint" => %endpoint.id, "data_centre" => %endpoint.data_centre,
            "sent" => self.attempts.sent, "outcome" => outcome);
        // The engine has read its inputs, or the attempt has failed and does not need them.
        results.free();
        opening
    }

    /// Sends the request, checks the head of the answer and reads the first event.
    async fn exchange(
        &mut self,
        endpoint: &Arc<Endpoint>,
        connection: Connection,
        inputs: Option<Vec<String>>,
    ) -> OpenOutcome {
        let request = build_request(&self.admitted, endpoint, inputs.as_deref(), self.last_event);
        let answer = match connection.send(request).await {
            Ok(answer) => answer,
            Err(failure) => {
                if failure.ran == Execution::NotRun {
                    self.attempts.runs -= 1;
                }
                self.end_broken_attempt();
                return OpenOutcome::Failed(failure.message);
            }
        };
        let (head, body) = answer.into_parts();
        let status = head.status;
        self.node.notices.read(endpoint, status, &head.headers);
        match classify(status, &head.headers, &self.admitted.caller.id) {
            ResponseClass::Answer if status.is_success() => {}
            ResponseClass::Answer => return self.failed_answer(status, &head.headers, body).await,
            ResponseClass::NotRun => {
                self.attempts.runs -= 1;
                self.end_attempt(AttemptEnd::Full);
                return OpenOutcome::Failed(format!("the engine refused {status}"));
            }
            ResponseClass::OtherEndpoint => {
                self.attempts.runs -= 1;
                self.end_attempt(AttemptEnd::Broken);
                return OpenOutcome::Failed("another endpoint has the address".to_owned());
            }
            ResponseClass::Invalid => {
                self.end_attempt(AttemptEnd::Broken);
                return OpenOutcome::Failed(format!("not an answer to this request: {status}"));
            }
        }
        self.open = Some(EngineStream::new(Arc::clone(endpoint), body));
        match self.read().await {
            ReadOutcome::Event(_, event) => {
                self.note_first_event();
                OpenOutcome::Stream(returned_headers(&head.headers), event)
            }
            ReadOutcome::Complete => {
                self.end_attempt(AttemptEnd::Answered(None));
                let headers = returned_headers(&head.headers);
                let reply = relayed(status, headers, whole_body(Bytes::new()));
                OpenOutcome::Reply(RequestEnd::new(reply, "an empty stream"))
            }
            ReadOutcome::Broken(reason) => {
                self.end_broken_attempt();
                OpenOutcome::Failed(reason)
            }
        }
    }

    /// Handles an answer of the engine with an error status: fails the attempt if another engine
    /// may be tried, otherwise relays the answer.
    async fn failed_answer(
        &mut self,
        status: StatusCode,
        headers: &HeaderMap,
        body: AnswerBody,
    ) -> OpenOutcome {
        self.end_attempt(AttemptEnd::Error);
        let may_retry = status.is_server_error() && self.may_send_again();
        match read_body(body).await {
            _ if may_retry => OpenOutcome::Failed(format!("the engine answered {status}")),
            Ok(body) => {
                let reply = relayed(status, returned_headers(headers), whole_body(body));
                OpenOutcome::Reply(RequestEnd::new(
                    reply,
                    format!("the engine answered {status}"),
                ))
            }
            Err(failure) => OpenOutcome::Failed(failure.message),
        }
    }

    /// Records that the engine has read the prompt: it generates events only after that.
    fn note_first_event(&mut self) {
        let mut choice = self.node.choice.lock();
        if let Some(started) = &mut self.started {
            choice.on_prompt_read(started);
        }
    }

    /// Reads the next event from the open stream.
    async fn read(&mut self) -> ReadOutcome {
        let Some(open) = &mut self.open else {
            return ReadOutcome::Broken("no engine is open".to_owned());
        };
        let outcome = open.next_event(self.last_event).await;
        if let ReadOutcome::Event(number, _) = &outcome {
            self.last_event = Some(*number);
            self.events += 1;
            self.engine_events += 1;
            if self.engine_events == START_EVENTS {
                self.node.note_pass(&self.admitted);
            }
        }
        outcome
    }

    /// Returns the next event for the caller. An error closes the connection to the caller.
    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        if self.is_ended {
            return None;
        }
        let left = (self.admitted.deadline + DEADLINE_GRACE).since(clock::now());
        // A timeout does not end a read that is ready at once.
        if left.is_zero() {
            self.end_attempt(AttemptEnd::Broken);
            self.log_end(StreamEnd::Deadline, "the deadline has passed");
            return Some(Err(io::Error::other("the deadline has passed")));
        }
        let may_resume = self.admitted.route.is_resumable && self.may_send_again();
        let limit = if may_resume {
            NEXT_EVENT_TIMEOUT.min(left)
        } else {
            left
        };
        let (end, reason) = match timeout(limit, self.read()).await {
            Ok(ReadOutcome::Event(_, event)) => return Some(Ok(event)),
            Ok(ReadOutcome::Complete) => {
                self.end_attempt(AttemptEnd::Answered(None));
                if self.engine_events < START_EVENTS {
                    self.node.note_pass(&self.admitted);
                }
                self.log_end(StreamEnd::Complete, "complete");
                return None;
            }
            Ok(ReadOutcome::Broken(reason)) => {
                self.end_broken_attempt();
                (StreamEnd::Broken, reason)
            }
            Err(_) => (StreamEnd::Silent, format!("no event in {limit:?}")),
        };
        self.end_attempt(AttemptEnd::Broken);
        let obstacle = match self.resume(&reason).await {
            Ok(event) => return Some(Ok(event)),
            Err(obstacle) => obstacle,
        };
        self.log_end(end, &format!("{reason}; {obstacle}"));
        Some(Err(io::Error::other(reason)))
    }

    /// Resumes the stream at another engine after the last event that was sent to the caller, and
    /// returns the next event, or else why the stream cannot be resumed.
    async fn resume(&mut self, reason: &str) -> Result<Bytes, String> {
        while self.admitted.route.is_resumable && self.may_send_again() {
            warn!(self.node.logger, "request: resuming a stream"; "id" => &self.admitted.caller.id,
                "after_event" => self.last_event, "reason" => reason);
            let opened = timeout(self.admitted.time_left(), self.try_open()).await;
            match opened {
                Ok(OpenOutcome::Stream(_, event)) => return Ok(event),
                Ok(OpenOutcome::Failed(_)) => {}
                Ok(OpenOutcome::Reply(ended)) => return Err(ended.reason),
                Err(_) => return Err("the deadline has passed".to_owned()),
            }
        }
        Err("may not be sent again".to_owned())
    }

    fn end_attempt(&mut self, end: AttemptEnd) {
        self.open = None;
        if let Some(started) = self.started.take() {
            self.node.end_attempt(started, end);
        }
    }

    /// Ends an attempt whose answer broke off. If that was at its start, the engine may have ended
    /// because of the request.
    fn end_broken_attempt(&mut self) {
        self.end_attempt(AttemptEnd::Broken);
        if let Some(engine) = &self.engine
            && self.engine_events < START_EVENTS
        {
            check_engine(&self.node, &self.admitted, engine);
        }
    }

    fn log_end(&mut self, end: StreamEnd, reason: &str) {
        self.is_ended = true;
        metric::stream_ended(end);
        let took = clock::now().since(self.admitted.arrived_at);
        info!(self.node.logger, "request: stream ended"; "id" => &self.admitted.caller.id,
            "events" => self.events, "reason" => reason, "took_ms" => took.as_millis() as u64);
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        let endpoint = self.open.as_ref().map(|open| open.endpoint.id.to_string());
        self.end_attempt(AttemptEnd::Inconclusive);
        if !self.is_ended {
            info!(self.node.logger, "request: the caller left"; "id" => &self.admitted.caller.id,
                "events" => self.events, "endpoint" => endpoint);
        }
    }
}

/// Returns a body that relays the events of a stream, `first` before the others.
fn relay_body<G: Send + 'static>(
    caller_stream: CallerStream,
    first: Bytes,
    active: G,
) -> ReplyBody {
    let state = (caller_stream, Some(first), active);
    let events = stream::unfold(state, |(mut caller_stream, first, active)| async move {
        let next = match first {
            Some(event) => Some(Ok(event)),
            None => caller_stream.next().await,
        };
        if matches!(next, Some(Err(_))) {
            // An error drops what is not sent yet; the server sends it while the body waits.
            yield_now().await;
        }
        next.map(|event| (event.map(Frame::data), (caller_stream, None, active)))
    });
    StreamBody::new(events).boxed_unsync()
}
