//! Runs one request from its admission to its end, independent of the caller's connection.
//!
//! A non-idempotent stage must run to its end even if the caller disconnects, so each request
//! runs in its own task, and the connection only receives messages from it.

use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use serde::Serialize;
use serde_json::value::RawValue;
use slog::info;
use smallvec::SmallVec;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::clock;
use crate::manifest::Pipeline;
use crate::traffic::api_key::{self, Caller};
use crate::traffic::refusal::{Outcome, Refusal, RefusalCode};
use crate::traffic::request_ids::{Fingerprint, StoredResult};
use crate::traffic::state::Traffic;
use crate::traffic::{admission, metric, stage};
use crate::units::{EndpointName, RequestId, StageName, Time};

/// Timeout for an interrupted request to stop and report its outcome. A request that takes
/// longer is in a non-idempotent attempt, and its caller is told that the outcome is unknown.
const INTERRUPT_REPLY_TIMEOUT: Duration = Duration::from_millis(100);

/// Message from a request's task to the caller's connection.
#[derive(Debug)]
pub enum CallerMessage {
    /// Text of the last stage, sent only if the caller asked for a stream.
    Token(String),
    /// The whole summary as JSON, or the refusal. This is the last message.
    End(Result<Bytes, Refusal>),
}

/// Why a request must not start further stages or attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Interrupt {
    CallerGone,
    /// The API key was withdrawn or can no longer be confirmed; the code says which.
    ApiKeyInvalid(RefusalCode),
    DeadlinePassed,
    /// The planned stop of this VM nears its limit.
    VmStops,
}

/// State of one request while it runs.
pub struct Run {
    /// State shared by all requests.
    pub traffic: Arc<Traffic>,
    /// Id of the request, which this VM owns.
    pub id: RequestId,
    /// Caller that the request runs for.
    pub caller: Caller,
    /// Pipeline that the request runs.
    pub pipeline: Pipeline,
    /// Input of the first stage.
    pub input: Box<RawValue>,
    /// Digest of the pipeline's name and the request body.
    pub fingerprint: Fingerprint,
    /// Time by which the whole answer is due.
    pub deadline: Time,
    /// Whether the caller gets tokens as they arrive.
    pub stream: bool,
    /// Sends messages to the caller's connection.
    pub messages: mpsc::Sender<CallerMessage>,
    stop: CancellationToken,
    interrupt: OnceLock<Interrupt>,
    may_have_run: AtomicBool,
}

/// One stage in the summary that the caller receives.
#[derive(Debug, Clone, Serialize)]
pub struct StageSummary {
    /// Name of the stage.
    pub stage: StageName,
    /// Endpoint that answered the stage.
    pub endpoint: EndpointName,
    /// Number of attempts, including the one that was answered.
    pub attempts: u32,
    /// Time from the stage's start to its answer, in milliseconds.
    pub elapsed_ms: u64,
}

#[derive(Serialize)]
struct Summary<'a> {
    request_id: &'a RequestId,
    output: &'a RawValue,
    stages: &'a [StageSummary],
}

/// What a caller's connection passes on to start a request.
pub struct RunRequest {
    /// Id of the request, which is already marked as running in the request id table.
    pub id: RequestId,
    /// Caller that the request runs for.
    pub caller: Caller,
    /// Pipeline that the request runs.
    pub pipeline: Pipeline,
    /// Input of the first stage.
    pub input: Box<RawValue>,
    /// Digest of the pipeline's name and the request body.
    pub fingerprint: Fingerprint,
    /// Time by which the whole answer is due.
    pub deadline: Time,
    /// Whether the caller wants tokens as they arrive.
    pub stream: bool,
}

/// Starts a request and returns the receiver of its messages. Dropping the receiver tells the
/// request that the caller is gone.
pub fn start(traffic: &Arc<Traffic>, request: RunRequest) -> mpsc::Receiver<CallerMessage> {
    let (messages, receiver) = mpsc::channel(MESSAGE_BUFFER_LEN);
    let run = Run {
        traffic: Arc::clone(traffic),
        id: request.id,
        caller: request.caller,
        pipeline: request.pipeline,
        input: request.input,
        fingerprint: request.fingerprint,
        deadline: request.deadline,
        stream: request.stream,
        messages,
        stop: CancellationToken::new(),
        interrupt: OnceLock::new(),
        may_have_run: AtomicBool::new(false),
    };
    traffic.runs.spawn(supervise(run));
    receiver
}

/// Number of messages buffered for a slow caller. When the buffer is full, reading from the
/// engine pauses.
const MESSAGE_BUFFER_LEN: usize = 1024;

/// Records an unknown outcome for the request id if the request's task ends before it has
/// recorded a result.
struct EndGuard<'a> {
    run: &'a Run,
    ended: bool,
}

impl EndGuard<'_> {
    fn end(mut self, result: &Result<Bytes, Refusal>) {
        self.ended = true;
        self.run.record_end(result.clone());
    }
}

impl Drop for EndGuard<'_> {
    fn drop(&mut self) {
        if !self.ended {
            let message = "the request ended early";
            let refusal = Refusal::unknown(RefusalCode::OutcomeUnknown, message);
            self.run.record_end(Err(refusal.with_id(&self.run.id)));
        }
    }
}

async fn supervise(run: Run) {
    let started = clock::now();
    let guard = EndGuard {
        run: &run,
        ended: false,
    };
    let watch = async {
        let reason = tokio::select! {
            code = api_key::authorisation_lost(&run.traffic, &run.caller) => Interrupt::ApiKeyInvalid(code),
            () = run.messages.closed() => Interrupt::CallerGone,
            () = tokio::time::sleep(run.remaining()) => Interrupt::DeadlinePassed,
            () = run.traffic.drain_limit_nears() => Interrupt::VmStops,
        };
        run.interrupt(reason);
        tokio::time::sleep(INTERRUPT_REPLY_TIMEOUT).await;
        run.reply(Err(run.in_flight_refusal())).await;
        // Never completes: the attempt in flight runs to its end after the caller was answered.
        std::future::pending::<()>().await;
    };
    let result = tokio::select! {
        result = execute(&run) => result,
        () = watch => return,
    };
    let result = result.map_err(|refusal| refusal.with_id(&run.id));
    guard.end(&result);
    run.log_end(&result, started);
    run.reply(result).await;
}

async fn execute(run: &Run) -> Result<Bytes, Refusal> {
    let admitted = admission::admit(run).await;
    let organisation = &run.caller.organisation;
    if admitted.is_ok() {
        run.traffic.count_admitted(organisation);
    } else {
        run.traffic.count_refused(organisation);
    }
    admitted?;
    let mut stages_started_at = SmallVec::<[Time; 6]>::new();
    let mut stages = Vec::with_capacity(run.pipeline.stages.len());
    let mut input = run.input.clone();
    for index in 0..run.pipeline.stages.len() {
        if run.stop.is_cancelled() || run.remaining().is_zero() {
            return Err(run.interrupt_refusal());
        }
        stages_started_at.push(clock::now());
        let completed = stage::run_stage(run, index, &input).await?;
        stages.push(completed.summary);
        input = completed.output;
    }
    let summary = Summary {
        request_id: &run.id,
        output: &input,
        stages: &stages,
    };
    let traffic = &run.traffic;
    traffic.record_run_times(&run.pipeline.name, &stages_started_at);
    let json = serde_json::to_vec(&summary);
    let serialize_failed =
        |error| run.refusal(RefusalCode::StageFailed, format!("no summary: {error}"));
    json.map(Bytes::from).map_err(serialize_failed)
}

impl Run {
    /// Returns the time left until the deadline, or zero if the deadline has passed.
    pub fn remaining(&self) -> Duration {
        self.deadline.since(clock::now())
    }

    /// Returns whether the request must not start further stages or attempts.
    pub fn is_interrupted(&self) -> bool {
        self.stop.is_cancelled()
    }

    /// Waits until the request is interrupted and returns the refusal for the caller.
    pub async fn interrupted(&self) -> Refusal {
        self.stop.cancelled().await;
        self.interrupt_refusal()
    }

    /// Records that a stage may have run and so may have had an effect.
    pub fn set_may_have_run(&self) {
        self.may_have_run.store(true, Ordering::Release);
    }

    /// Creates a refusal whose outcome says whether a stage may have run so far.
    pub fn refusal(&self, code: RefusalCode, message: impl Into<String>) -> Refusal {
        let refusal = if self.may_have_run.load(Ordering::Acquire) {
            Refusal::unknown(code, message)
        } else {
            Refusal::not_run(code, message)
        };
        refusal.with_id(&self.id)
    }

    /// Creates the refusal that says why the request was interrupted.
    pub fn interrupt_refusal(&self) -> Refusal {
        match self.interrupt.get() {
            Some(Interrupt::CallerGone) => {
                self.refusal(RefusalCode::StageFailed, "the caller closed its connection")
            }
            Some(Interrupt::ApiKeyInvalid(RefusalCode::KeyWithdrawn)) => {
                self.refusal(RefusalCode::KeyWithdrawn, "the key was withdrawn")
            }
            Some(Interrupt::ApiKeyInvalid(code)) => self.refusal(
                *code,
                "this VM has no recent confirmation of the configuration",
            ),
            Some(Interrupt::VmStops) => self.refusal(RefusalCode::Stopping, "this VM stops"),
            Some(Interrupt::DeadlinePassed) | None => {
                self.refusal(RefusalCode::DeadlinePassed, "the deadline passed")
            }
        }
    }

    fn interrupt(&self, reason: Interrupt) {
        let _ = self.interrupt.set(reason);
        self.stop.cancel();
        let reason = match reason {
            Interrupt::CallerGone => "the caller left",
            Interrupt::ApiKeyInvalid(code) => code.as_str(),
            Interrupt::DeadlinePassed => "the deadline passed",
            Interrupt::VmStops => "this VM stops",
        };
        info!(self.traffic.context.logger,
            "once: starting no further stages or attempts: {reason}";
            "request" => %self.id);
    }

    /// Creates the refusal for a caller whose request still has an attempt in flight: the
    /// caller is answered before the attempt's outcome is known.
    fn in_flight_refusal(&self) -> Refusal {
        let refusal = self.interrupt_refusal();
        let code = match refusal.code {
            RefusalCode::DeadlinePassed => RefusalCode::OutcomeUnknown,
            code => code,
        };
        Refusal {
            code,
            outcome: Outcome::Unknown,
            message: format!("{}; a stage is still in flight", refusal.message),
            ..refusal
        }
    }

    fn record_end(&self, result: Result<Bytes, Refusal>) {
        let requester = Some((self.caller.organisation.clone(), self.fingerprint));
        self.traffic
            .ids
            .end(&self.id, StoredResult { requester, result });
    }

    async fn reply(&self, result: Result<Bytes, Refusal>) {
        // The send fails if the caller is gone or already has its answer.
        let _ = self.messages.send(CallerMessage::End(result)).await;
    }

    fn log_end(&self, result: &Result<Bytes, Refusal>, started: Time) {
        let elapsed = clock::now().since(started);
        let outcome = match result {
            Ok(_) => "answered",
            Err(refusal) => refusal.code.as_str(),
        };
        metrics::histogram!(metric::REQUEST_SECONDS,
            "pipeline" => self.pipeline.name.to_string(), "outcome" => outcome)
        .record(elapsed.as_secs_f64());
        info!(self.traffic.context.logger, "once: request ended as {outcome}";
            "request" => %self.id, "pipeline" => %self.pipeline.name,
            "elapsed_ms" => elapsed.as_millis());
    }
}
