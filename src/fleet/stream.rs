//! Serves requests whose answer is a stream of events from a model engine.
//!
//! Only whole events are relayed to the caller. If the route is resumable, a stream that breaks off
//! is resumed at another engine within the same answer to the caller.

use std::future::pending;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::HeaderMap;
use hyper::body::Frame;
use hyper::{Response, StatusCode};
use slog::{info, warn};
use tokio::task::yield_now;
use tokio::time::{sleep, timeout};

use crate::clock;
use crate::decisions::batching::ItemFailure;
use crate::decisions::endpoint_choice::{AttemptEnd, StartedAttempt};
use crate::fleet::admission::{AdmittedRequest, RequestEnd};
use crate::fleet::attempts::{
    Attempts, Awaited, MAX_FAILED_CONNECTIONS, MIN_ATTEMPT_TIME, await_or_replace, build_request,
    choose, failed, generation_work, next_connection, quarantined, read_head, refuse_quarantined,
    replacement_pauses, retry_after, timed_out, unconfirmed_refusal,
};
use crate::fleet::crash_reports::check_engine;
use crate::fleet::dispatcher::JobFailure;
use crate::fleet::endpoint_client::{AnswerBody, CallFailure, Connection, read_body};
use crate::fleet::engine_stream::{EngineStream, ReadOutcome};
use crate::fleet::metric::{self, StreamEnd};
use crate::fleet::model::Endpoint;
use crate::fleet::node::{MAX_SENDS, Node};
use crate::fleet::reply::{self, ReplyBody, relayed, whole_body};
use crate::fleet::request_progress::{LossCause, Wait};
use crate::fleet::stages::{StageFailure, StageResults, run_stages};
use crate::platform::endpoint_call::{ResponseClass, returned_headers};
use crate::traffic::Execution;
use crate::units::{EndpointName, PartId, Time};

/// Time after which a caller should retry, sent when no engine takes its request.
const NOT_RUN_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Minimum of the time after which a caller should retry, sent when the stages are overloaded.
const MIN_OVERLOAD_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Maximum of the time after which a caller should retry, sent when the stages are overloaded.
const MAX_OVERLOAD_RETRY_AFTER: Duration = Duration::from_millis(2_000);
/// Time without a first event after which a resumable request goes on at another engine if it can, as a
/// multiple of the route's objective.
const FIRST_EVENT_TIMEOUT_OBJECTIVES: f64 = 1.5;
/// Minimum of that time, since a long prompt takes long at any engine.
const MIN_FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time without an event after which a resumable stream goes on at another engine if it can.
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
/// Minimum time left until the caller leaves for another engine to be worth trying.
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
            part = part_wait => Err(Interruption::Quarantine(part)),
            opened = opening => opened.map_err(|_| Interruption::Deadline),
            () = node.stop_leaves_less_than(|| Duration::ZERO) => Err(Interruption::VmStops),
        }
    };
    match opened {
        Err(interruption) => caller_stream.interrupt(interruption),
        Ok(Err(ended)) => ended,
        Ok(Ok((headers, first))) => {
            let body = relay_body(caller_stream, first, active);
            let reason = "stream began";
            RequestEnd::relayed(relayed(StatusCode::OK, headers, body), reason)
        }
    }
}

/// Why a request ends while its stream is being opened.
enum Interruption {
    /// A part of the prompt has come under quarantine.
    Quarantine(PartId),
    /// The deadline of the request has passed.
    Deadline,
    /// This VM stops.
    VmStops,
}

/// Outcome of opening a stream at one engine.
enum OpenOutcome {
    /// The stream is open; holds the headers for the caller and the first event.
    Stream(HeaderMap, Bytes),
    /// The engine has ended the stream without an event; holds the status and the headers for the caller.
    Empty(StatusCode, HeaderMap),
    /// The request has ended without a stream, and no other engine is tried.
    Reply(RequestEnd),
    /// The request was sent to an engine, which failed for the given reason. Another one may be
    /// tried.
    Failed(String),
}

/// An engine that is ready to get a request, with the results of the stages that it reads.
struct PreparedAttempt {
    endpoint: Arc<Endpoint>,
    connection: Connection,
    results: StageResults,
}

/// What an engine has sent first for a request.
enum Opening {
    /// The first event, with its number, the headers for the caller and the rest of the stream.
    Event(HeaderMap, EngineStream, u64, Bytes),
    /// A complete stream without events.
    Empty(StatusCode, HeaderMap),
    /// An error status, with the body that belongs to it.
    Error(StatusCode, HeaderMap, Result<Bytes, CallFailure>),
    /// The engine has not run the request.
    NotRun(AttemptEnd, String),
    /// The engine has not answered this request, or has refused it without stating that it has not run.
    Failed(AttemptEnd, String),
    /// The connection or the answer broke off.
    Broken(CallFailure),
}

/// Sends a request to an engine and reads its answer up to the first event. Frees the stage results once
/// the engine has read them.
async fn exchange(
    node: Arc<Node>,
    admitted: Arc<AdmittedRequest>,
    attempt: PreparedAttempt,
    last_event: Option<u64>,
) -> Opening {
    let PreparedAttempt {
        endpoint,
        connection,
        mut results,
    } = attempt;
    let inputs = results.inputs();
    let request = build_request(&admitted, &endpoint, inputs.as_deref(), last_event);
    let opening = async {
        match connection.send(request).await {
            Ok(answer) => read_opening(&node, &admitted, &endpoint, answer, last_event).await,
            Err(failure) => Opening::Broken(failure),
        }
    };
    let mut opening = std::pin::pin!(opening);
    tokio::select! {
        opening = opening.as_mut() => opening,
        () = sleep(INPUT_FETCH_ESTIMATE) => {
            results.free();
            opening.await
        }
    }
}

/// Checks the head of an engine's answer and reads the first event, or the body of an error.
async fn read_opening(
    node: &Node,
    admitted: &AdmittedRequest,
    endpoint: &Arc<Endpoint>,
    answer: Response<AnswerBody>,
    last_event: Option<u64>,
) -> Opening {
    let (head, body) = answer.into_parts();
    let status = head.status;
    let headers = returned_headers(&head.headers);
    match read_head(node, admitted, endpoint, &head) {
        ResponseClass::Answer if status.is_success() => {}
        ResponseClass::Answer => return Opening::Error(status, headers, read_body(body).await),
        ResponseClass::NotRun => {
            return Opening::NotRun(AttemptEnd::Full, format!("the engine refused {status}"));
        }
        ResponseClass::OtherEndpoint => {
            let reason = "another endpoint has the address".to_owned();
            return Opening::NotRun(AttemptEnd::Broken, reason);
        }
        ResponseClass::UnconfirmedRefusal => {
            return Opening::Failed(AttemptEnd::UnconfirmedRefusal, unconfirmed_refusal(status));
        }
        ResponseClass::Invalid => {
            let reason = format!("not an answer to this request: {status}");
            return Opening::Failed(AttemptEnd::Broken, reason);
        }
    }
    let mut stream = EngineStream::new(Arc::clone(endpoint), body);
    match stream.next_event(last_event).await {
        ReadOutcome::Event(number, event) => Opening::Event(headers, stream, number, event),
        ReadOutcome::Complete => Opening::Empty(status, headers),
        ReadOutcome::Broken(message) => Opening::Broken(CallFailure {
            ran: Execution::MayHaveRun,
            message,
        }),
    }
}

/// The stream of one caller, with the engine stream that it is currently read from.
struct CallerStream {
    node: Arc<Node>,
    admitted: Arc<AdmittedRequest>,
    attempts: Attempts,
    open: Option<EngineStream>,
    /// The attempt in progress, which the endpoint choice counts until it ends.
    started: Option<StartedAttempt>,
    /// When the request was sent to the engine of the attempt in progress.
    sent_at: Time,
    /// Longest time that the engines took for an event after the first one, while the caller was reading.
    max_pause: Duration,
    /// Number of the last event that was read, or that the caller already had. A resumed stream
    /// continues after it.
    last_event: Option<u64>,
    /// Count of events that were read for the caller.
    events: u64,
    /// Time by which the caller needs the next event. An attempt whose first event would come later is not
    /// begun, but an engine that has the request may still send it then.
    next_event_by: Time,
    /// The engine of the attempt in progress or of the last one.
    engine: Option<Arc<Endpoint>>,
    /// Count of events that were read from that engine.
    engine_events: u64,
    /// Whether the stages were run before, so that another run of them is a retry.
    stages_ran: bool,
    /// Whether the end of the request is known. If not, a drop after the first event is logged with its cause.
    is_ended: bool,
}

impl CallerStream {
    fn new(node: Arc<Node>, admitted: Arc<AdmittedRequest>) -> Self {
        let last_event = admitted.caller.last_event;
        let next_event_by = admitted.first_event_by;
        Self {
            node,
            admitted,
            attempts: Attempts::default(),
            open: None,
            started: None,
            sent_at: Time::ZERO,
            max_pause: Duration::ZERO,
            last_event,
            events: 0,
            next_event_by,
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
                OpenOutcome::Empty(status, headers) => {
                    self.is_ended = true;
                    let reply = relayed(status, headers, whole_body(Bytes::new()));
                    return Err(RequestEnd::relayed(reply, "an empty stream"));
                }
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

    /// Ends the request before its stream is open.
    fn interrupt(&mut self, interruption: Interruption) -> RequestEnd {
        self.is_ended = true;
        match interruption {
            Interruption::Quarantine(part) => self.refuse_for(part),
            Interruption::Deadline => {
                self.end_attempt(AttemptEnd::Broken);
                timed_out(&self.attempts)
            }
            Interruption::VmStops => RequestEnd::vm_stops(self.attempts.runs),
        }
    }

    /// Returns the refusal for a part of the prompt that has come under quarantine.
    fn refuse_for(&self, part: PartId) -> RequestEnd {
        let duration = self.node.quarantined_part(&self.admitted);
        let duration = duration.map_or(NOT_RUN_RETRY_AFTER, |(_, duration)| duration);
        quarantined(&self.attempts, part, duration)
    }

    /// Returns the time left until the caller needs the next event.
    fn time_to_next_event(&self) -> Duration {
        self.next_event_by.since(clock::now())
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
            && self.time_to_next_event() > MIN_STREAM_TIME
    }

    /// Returns the reply for a request that ended without a stream.
    fn failure(&self, reason: String) -> RequestEnd {
        if self.time_to_next_event() < MIN_ATTEMPT_TIME {
            return timed_out(&self.attempts);
        }
        if self.attempts.runs > 0 {
            return RequestEnd::new(failed(&self.node, &self.admitted), reason);
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
        // Once an engine has the request, its answer is awaited until the caller leaves.
        match timeout(self.time_to_next_event(), self.prepare()).await {
            Ok(Ok(attempt)) => self.open(attempt).await,
            Ok(Err(ended)) => OpenOutcome::Reply(ended),
            Err(_) => OpenOutcome::Reply(timed_out(&self.attempts)),
        }
    }

    /// Runs the stages, connects to an engine and takes a retry if the request was sent before. The
    /// request may be sent then.
    async fn prepare(&mut self) -> Result<PreparedAttempt, RequestEnd> {
        if let Some(refusal) = refuse_quarantined(&self.node, &self.admitted, &self.attempts) {
            return Err(refusal);
        }
        let (service, sent) = (&self.admitted.service, self.attempts.sent);
        if sent > 0 && !self.node.allows_retry(service, sent) {
            return Err(self.failure("no repeat left".to_owned()));
        }
        if !self.has_engine() {
            return Err(self.failure("no engine".to_owned()));
        }
        self.check_stop(None)?;
        let results = self.stages().await?;
        let Some((endpoint, connection)) = self.connect(&results).await else {
            return Err(self.failure("no engine".to_owned()));
        };
        if self.time_to_next_event() < MIN_ATTEMPT_TIME {
            return Err(self.failure("no time left".to_owned()));
        }
        self.check_stop(Some(&endpoint.id))?;
        // The connect and the stages take time, in which a part may have come under quarantine.
        if let Some(refusal) = refuse_quarantined(&self.node, &self.admitted, &self.attempts) {
            return Err(refusal);
        }
        if sent > 0 && !self.node.take_retry(&self.admitted.service, sent) {
            return Err(self.failure("no repeat left".to_owned()));
        }
        Ok(PreparedAttempt {
            endpoint,
            connection,
            results,
        })
    }

    /// Refuses a request whose whole generation no longer fits in a planned stop: it would be cut in its middle,
    /// while another VM can still serve it (`docs/platform.md`, "Planned stop").
    fn check_stop(&self, endpoint: Option<&EndpointName>) -> Result<(), RequestEnd> {
        let node = &self.node;
        let estimate = node.generation_estimate(&self.admitted, endpoint, self.last_event);
        if !node.stops_within(estimate.total()) {
            return Ok(());
        }
        info!(node.logger, "request: its generation does not fit in the planned stop";
            "id" => &self.admitted.caller.id, "endpoint" => endpoint.map(ToString::to_string),
            "first_event_ms" => estimate.first_event.as_millis() as u64,
            "further_events_ms" => estimate.further_events.as_millis() as u64);
        Err(RequestEnd::vm_stops(self.attempts.runs))
    }

    /// Waits until the request can be sent to another engine than the silent one that has it.
    async fn replacement_for_silent(&mut self) -> PreparedAttempt {
        if !self.admitted.route.is_resumable {
            return pending().await;
        }
        for pause in replacement_pauses() {
            if !self.may_send_again() {
                return pending().await;
            }
            if let Some(started) = &mut self.started {
                self.node.note_silence(started);
            }
            let obstacle = match self.prepare().await {
                Ok(attempt) => return attempt,
                Err(ended) => ended.reason,
            };
            info!(self.node.logger, "request: waiting for a silent engine";
                "id" => &self.admitted.caller.id, "obstacle" => &obstacle);
            sleep(pause).await;
        }
        pending().await
    }

    /// Returns whether an engine is left to which the request can be sent now. Without one, the
    /// stages would run in vain.
    fn has_engine(&self) -> bool {
        let work = generation_work(&self.admitted, &self.node.settings.data_centre);
        choose(&self.node, &self.admitted, &self.attempts, work).is_some()
    }

    /// Records what the request waits for before it is sent. While a silent engine has it, it still waits for that
    /// one.
    fn note_preparation(&self, wait: Wait) {
        if self.started.is_none() {
            self.admitted.progress.wait_for(wait);
        }
    }

    /// Runs the stages. Runs them once more if the result of a stage was gone before the next stage
    /// had read it.
    async fn stages(&mut self) -> Result<StageResults, RequestEnd> {
        self.note_preparation(Wait::Stages);
        let is_retry = std::mem::replace(&mut self.stages_ran, true);
        let (node, admitted, event_by) = (&self.node, &self.admitted, self.next_event_by);
        let mut outcome = run_stages(node, admitted, event_by, is_retry).await;
        if matches!(
            outcome,
            Err(StageFailure::Job(JobFailure::Item(ItemFailure::InputGone)))
        ) {
            outcome = run_stages(node, admitted, event_by, true).await;
        }
        outcome.map_err(|failure| self.stage_failure(failure))
    }

    /// Returns the reply for a request whose stages have no results.
    fn stage_failure(&self, failure: StageFailure) -> RequestEnd {
        let failure = match failure {
            StageFailure::VmStops => return RequestEnd::vm_stops(self.attempts.runs),
            StageFailure::Job(failure) => failure,
        };
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
        self.note_preparation(Wait::Endpoint);
        let view = self.node.view();
        let preferred_data_centre = results.data_centre(&view);
        let preferred_data_centre = preferred_data_centre
            .as_ref()
            .unwrap_or(&self.node.settings.data_centre);
        let work = generation_work(&self.admitted, preferred_data_centre);
        next_connection(&self.node, &self.admitted, &mut self.attempts, work).await
    }

    /// Sends the request to an engine and waits for its first event. An engine that is silent for long is
    /// replaced if another one can be.
    async fn open(&mut self, mut attempt: PreparedAttempt) -> OpenOutcome {
        loop {
            self.note_sent(&attempt.endpoint);
            let silence_timeout = self.admitted.route.objective;
            let silence_timeout = silence_timeout.mul_f64(FIRST_EVENT_TIMEOUT_OBJECTIVES);
            let silence_timeout = silence_timeout.max(MIN_FIRST_EVENT_TIMEOUT);
            let (node, admitted) = (Arc::clone(&self.node), Arc::clone(&self.admitted));
            let exchange = exchange(node, admitted, attempt, self.last_event);
            let awaited =
                await_or_replace(exchange, silence_timeout, self.replacement_for_silent()).await;
            let replacement = match awaited {
                Awaited::Output(opening) => {
                    let outcome = self.finish_opening(opening);
                    self.log_attempt(match &outcome {
                        OpenOutcome::Stream(..) => "stream began",
                        OpenOutcome::Empty(..) => "an empty stream",
                        OpenOutcome::Reply(ended) => &ended.reason,
                        OpenOutcome::Failed(reason) => reason,
                    });
                    return outcome;
                }
                Awaited::Replacement(replacement) => replacement,
            };
            self.log_attempt("silent, replaced");
            self.end_attempt(AttemptEnd::Broken);
            attempt = replacement;
        }
    }

    /// Records that the request is sent to an engine.
    fn note_sent(&mut self, endpoint: &Arc<Endpoint>) {
        self.node.note_trial(&self.admitted);
        self.admitted.progress.wait_for(Wait::Answer);
        self.engine = Some(Arc::clone(endpoint));
        self.engine_events = 0;
        self.attempts.sent += 1;
        self.attempts.runs += 1;
        self.attempts.tried.push(endpoint.id.clone());
        self.sent_at = clock::now();
        let prompt_tokens = self.admitted.caller.prompt_tokens;
        let mut choice = self.node.choice.lock();
        self.started = Some(choice.start(clock::now(), endpoint, prompt_tokens));
    }

    fn log_attempt(&self, outcome: &str) {
        let engine = self.engine.as_ref();
        info!(self.node.logger, "request: attempt to open a stream ended";
            "id" => &self.admitted.caller.id,
            "endpoint" => engine.map(|engine| engine.id.to_string()),
            "data_centre" => engine.map(|engine| engine.data_centre.to_string()),
            "sent" => self.attempts.sent, "outcome" => outcome,
            "load" => self.attempts.load_text(),
            "unshared_prompt_tokens" => self.admitted.caller.unshared_prompt_tokens(),
            "took_ms" => clock::now().since(self.sent_at).as_millis() as u64);
    }

    /// Records what an engine has sent for its answer, and decides whether another one may be tried.
    fn finish_opening(&mut self, opening: Opening) -> OpenOutcome {
        match opening {
            Opening::Event(headers, stream, number, event) => {
                let (now, endpoint) = (clock::now(), &stream.endpoint.id);
                let mut times = self.node.generation_times.lock();
                let took = now.since(self.sent_at);
                times.on_first_event(now, &self.admitted.service, endpoint, took);
                drop(times);
                self.open = Some(stream);
                self.note_event(number);
                let mut choice = self.node.choice.lock();
                if let Some(started) = &mut self.started {
                    // The engine generates events only once it has read the prompt.
                    choice.on_prompt_read(started);
                }
                OpenOutcome::Stream(headers, event)
            }
            Opening::Empty(status, headers) => {
                self.end_attempt(AttemptEnd::Answered(None));
                OpenOutcome::Empty(status, headers)
            }
            Opening::Error(status, headers, body) => {
                self.end_attempt(AttemptEnd::Error);
                let reason = format!("the engine answered {status}");
                let may_retry = status.is_server_error() && self.may_send_again();
                match body {
                    _ if may_retry => OpenOutcome::Failed(reason),
                    Ok(body) => {
                        let reply = relayed(status, headers, whole_body(body));
                        OpenOutcome::Reply(RequestEnd::relayed(reply, reason))
                    }
                    Err(failure) => OpenOutcome::Failed(failure.message),
                }
            }
            Opening::NotRun(end, reason) => {
                self.attempts.runs -= 1;
                self.end_attempt(end);
                OpenOutcome::Failed(reason)
            }
            Opening::Failed(end, reason) => {
                self.end_attempt(end);
                OpenOutcome::Failed(reason)
            }
            Opening::Broken(failure) => {
                if failure.ran == Execution::NotRun {
                    self.attempts.runs -= 1;
                }
                self.end_broken_attempt();
                OpenOutcome::Failed(failure.message)
            }
        }
    }

    /// Records an event that was read for the caller.
    fn note_event(&mut self, number: u64) {
        self.admitted.progress.wait_for(Wait::NextEvent);
        self.last_event = Some(number);
        self.next_event_by = self.admitted.next_event_by();
        self.events += 1;
        self.engine_events += 1;
        let route = &self.admitted.route;
        if self.events == 1 && !(route.is_resumable && self.attempts.runs < route.max_attempts) {
            self.admitted.free_body();
        }
        if self.engine_events == START_EVENTS {
            self.node.note_pass(&self.admitted);
        }
    }

    /// Records the wait for an event after the first one, or for the end, for later estimates. The time in which
    /// the caller does not read is no part of it.
    fn note_wait(&mut self, endpoint: &EndpointName, since: Time) {
        let now = clock::now();
        self.max_pause = self.max_pause.max(now.since(since));
        let mut times = self.node.generation_times.lock();
        times.on_next_event(now, &self.admitted.service, endpoint, now.since(since));
    }

    /// Records the number of events of a complete generation, for later estimates. The number of events before
    /// a stream that the caller itself resumes is only its word.
    fn note_length(&self) {
        if self.admitted.caller.last_event.is_some() {
            return;
        }
        let expected = self.admitted.caller.expected_tokens();
        let mut times = self.node.generation_times.lock();
        times.on_complete(clock::now(), &self.admitted.service, expected, self.events);
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
        let Some(mut open) = self.open.take() else {
            return Some(Err(io::Error::other("no engine is open")));
        };
        let waits_since = clock::now();
        // The caller begins to wait once it has read the event before.
        self.next_event_by = self.admitted.next_event_by();
        let read = open.next_event(self.last_event);
        let awaited = await_or_replace(read, NEXT_EVENT_TIMEOUT, self.replacement_for_silent());
        let (end, reason, replacement) = match timeout(left, awaited).await {
            Ok(Awaited::Output(ReadOutcome::Event(number, event))) => {
                self.note_wait(&open.endpoint.id, waits_since);
                self.open = Some(open);
                self.note_event(number);
                return Some(Ok(event));
            }
            Ok(Awaited::Output(ReadOutcome::Complete)) => {
                self.note_wait(&open.endpoint.id, waits_since);
                self.end_attempt(AttemptEnd::Answered(None));
                self.note_length();
                if self.engine_events < START_EVENTS {
                    self.node.note_pass(&self.admitted);
                }
                self.log_end(StreamEnd::Complete, "complete");
                return None;
            }
            Ok(Awaited::Output(ReadOutcome::Broken(reason))) => {
                self.end_broken_attempt();
                (StreamEnd::Broken, reason, None)
            }
            Ok(Awaited::Replacement(attempt)) => {
                let reason = format!("no event in {NEXT_EVENT_TIMEOUT:?}");
                (StreamEnd::Silent, reason, Some(attempt))
            }
            Err(_) => {
                let reason = "no event until the deadline".to_owned();
                self.end_attempt(AttemptEnd::Broken);
                self.log_end(StreamEnd::Deadline, &reason);
                return Some(Err(io::Error::other(reason)));
            }
        };
        // The engine must stop before another one goes on.
        drop(open);
        self.end_attempt(AttemptEnd::Broken);
        let obstacle = match self.resume(&reason, replacement).await {
            Ok(Some(event)) => return Some(Ok(event)),
            Ok(None) => {
                self.log_end(StreamEnd::Complete, "complete after its last event");
                return None;
            }
            Err(obstacle) => obstacle,
        };
        self.log_end(end, &format!("{reason}; {obstacle}"));
        Some(Err(io::Error::other(reason)))
    }

    /// Resumes the stream at another engine after the last event that was sent to the caller, first at
    /// that of `prepared`. Returns the next event, or `None` if none follows: the engine before had only not
    /// ended the stream yet. Otherwise returns why the stream cannot be resumed.
    async fn resume(
        &mut self,
        reason: &str,
        mut prepared: Option<PreparedAttempt>,
    ) -> Result<Option<Bytes>, String> {
        while prepared.is_some() || self.admitted.route.is_resumable && self.may_send_again() {
            warn!(self.node.logger, "request: resuming a stream"; "id" => &self.admitted.caller.id,
                "after_event" => self.last_event, "reason" => reason);
            let time_left = self.admitted.time_left();
            let opened = match prepared.take() {
                Some(attempt) => timeout(time_left, self.open(attempt)).await,
                None => timeout(time_left, self.try_open()).await,
            };
            match opened {
                Ok(OpenOutcome::Stream(_, event)) => return Ok(Some(event)),
                Ok(OpenOutcome::Empty(..)) => return Ok(None),
                Ok(OpenOutcome::Failed(_)) => {}
                Ok(OpenOutcome::Reply(ended)) => return Err(ended.reason),
                Err(_) => {
                    self.end_attempt(AttemptEnd::Broken);
                    return Err("the deadline has passed".to_owned());
                }
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
        let wait = self.admitted.progress.waiting_for();
        let cause = end.loss_cause();
        if let Some(cause) = cause {
            metric::request_unanswered(cause, wait);
        }
        let took = clock::now().since(self.admitted.arrived_at);
        info!(self.node.logger, "request: stream ended"; "id" => &self.admitted.caller.id,
            "cause" => cause.map(LossCause::name), "waiting_for" => cause.map(|_| wait.name()),
            "events" => self.events, "reason" => reason, "took_ms" => took.as_millis() as u64,
            "max_pause_ms" => self.max_pause.as_millis() as u64);
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        let started = self.started.as_ref();
        let endpoint = started.map(|started| started.endpoint.to_string());
        self.end_attempt(AttemptEnd::Inconclusive);
        // Before its first event, the request itself is reported.
        if !self.is_ended && self.events > 0 {
            let cause = match std::thread::panicking() {
                true => LossCause::Failure,
                false => self.node.loss_cause(),
            };
            let wait = self.admitted.progress.waiting_for();
            metric::request_unanswered(cause, wait);
            let took = clock::now().since(self.admitted.arrived_at);
            info!(self.node.logger, "request: its connection ended in the middle of its stream";
                "id" => &self.admitted.caller.id, "cause" => %cause, "waiting_for" => %wait,
                "stopping" => self.node.is_stopping(), "events" => self.events, "endpoint" => endpoint,
                "took_ms" => took.as_millis() as u64);
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
