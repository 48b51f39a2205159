//! One request from its admission to its end, independent of the caller's connection.
//!
//! A non-idempotent stage must run to its end even when the caller goes away, so each
//! request is a task of its own that the connection only listens to.

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

/// How long an interrupted request may take to say what it had sent. After that it is in
/// a non-idempotent attempt, and the caller is told that the outcome is unknown.
const INTERRUPT_REPLY: Duration = Duration::from_millis(100);

/// What the caller's connection receives.
#[derive(Debug)]
pub enum CallerMessage {
    /// Text of the last stage, only when the caller streams.
    Token(String),
    /// The whole summary as JSON, or the refusal. Nothing follows.
    End(Result<Bytes, Refusal>),
}

/// Why a request must not go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Interrupt {
    CallerGone,
    KeyLost(RefusalCode),
    DeadlinePassed,
}

/// One request.
pub struct Run {
    /// Shared state.
    pub traffic: Arc<Traffic>,
    /// The request's id, which this VM owns.
    pub id: RequestId,
    /// Whom it runs for.
    pub caller: Caller,
    /// What it runs.
    pub pipeline: Pipeline,
    /// Input of the first stage.
    pub input: Box<RawValue>,
    /// Digest of pipeline and body.
    pub fingerprint: Fingerprint,
    /// When the whole answer is due.
    pub deadline: Time,
    /// Set when the caller gets tokens as they come.
    pub stream: bool,
    /// The caller's connection.
    pub messages: mpsc::Sender<CallerMessage>,
    stop: CancellationToken,
    interrupt: OnceLock<Interrupt>,
    may_have_run: AtomicBool,
}

/// What one stage did, as the caller sees it.
#[derive(Debug, Clone, Serialize)]
pub struct StageSummary {
    /// The stage.
    pub stage: StageName,
    /// The endpoint that answered.
    pub endpoint: EndpointName,
    /// Attempts made, the last included.
    pub attempts: u32,
    /// Time from the stage's start to its answer.
    pub elapsed_ms: u64,
}

#[derive(Serialize)]
struct Summary<'a> {
    request_id: &'a RequestId,
    output: &'a RawValue,
    stages: &'a [StageSummary],
}

/// Parts of a request that its connection knows.
pub struct RunRequest {
    /// The request's id, which is marked as running.
    pub id: RequestId,
    /// Whom it runs for.
    pub caller: Caller,
    /// What it runs.
    pub pipeline: Pipeline,
    /// Input of the first stage.
    pub input: Box<RawValue>,
    /// Digest of pipeline and body.
    pub fingerprint: Fingerprint,
    /// When the whole answer is due.
    pub deadline: Time,
    /// Whether the caller wants tokens as they come.
    pub stream: bool,
}

/// Starts a request and returns what its connection listens to. Dropping the receiver
/// tells the request that the caller is gone.
pub fn start(traffic: &Arc<Traffic>, request: RunRequest) -> mpsc::Receiver<CallerMessage> {
    let (messages, receiver) = mpsc::channel(MESSAGE_BUFFER);
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

/// Tokens that wait for a slow caller before the engine's stream is held back.
const MESSAGE_BUFFER: usize = 1024;

/// Marks the id as ended with an unknown outcome if the request's task ends early.
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
            code = api_key::authorisation_lost(&run.traffic, &run.caller) => Interrupt::KeyLost(code),
            () = run.messages.closed() => Interrupt::CallerGone,
            () = tokio::time::sleep(run.remaining()) => Interrupt::DeadlinePassed,
        };
        run.interrupt_for(reason);
        tokio::time::sleep(INTERRUPT_REPLY).await;
        run.reply(Err(run.early_refusal())).await;
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
        let done = stage::run_stage(run, index, &input).await?;
        stages.push(done.summary);
        input = done.output;
    }
    let summary = Summary {
        request_id: &run.id,
        output: &input,
        stages: &stages,
    };
    let traffic = &run.traffic;
    traffic.record_run_times(&run.pipeline.name, &stages_started_at);
    let json = serde_json::to_vec(&summary);
    let failed = |error| run.refusal(RefusalCode::StageFailed, format!("no summary: {error}"));
    json.map(Bytes::from).map_err(failed)
}

impl Run {
    /// Returns the time to the deadline, zero when it has passed.
    pub fn remaining(&self) -> Duration {
        self.deadline.since(clock::now())
    }

    /// Returns whether the request must not start anything more.
    pub fn is_interrupted(&self) -> bool {
        self.stop.is_cancelled()
    }

    /// Waits until the request must not go on, and returns the refusal.
    pub async fn interrupted(&self) -> Refusal {
        self.stop.cancelled().await;
        self.interrupt_refusal()
    }

    /// Notes that a stage may have had an effect.
    pub fn set_may_have_run(&self) {
        self.may_have_run.store(true, Ordering::Release);
    }

    /// Makes a refusal with the outcome that holds now.
    pub fn refusal(&self, code: RefusalCode, message: impl Into<String>) -> Refusal {
        let refusal = if self.may_have_run.load(Ordering::Acquire) {
            Refusal::unknown(code, message)
        } else {
            Refusal::not_run(code, message)
        };
        refusal.with_id(&self.id)
    }

    /// Makes the refusal that says why the request did not go on.
    pub fn interrupt_refusal(&self) -> Refusal {
        match self.interrupt.get() {
            Some(Interrupt::CallerGone) => {
                self.refusal(RefusalCode::StageFailed, "the caller closed its connection")
            }
            Some(Interrupt::KeyLost(RefusalCode::KeyWithdrawn)) => {
                self.refusal(RefusalCode::KeyWithdrawn, "the key was withdrawn")
            }
            Some(Interrupt::KeyLost(code)) => self.refusal(
                *code,
                "this VM has no recent confirmation of the configuration",
            ),
            Some(Interrupt::DeadlinePassed) | None => {
                self.refusal(RefusalCode::DeadlinePassed, "the deadline passed")
            }
        }
    }

    fn interrupt_for(&self, reason: Interrupt) {
        let _ = self.interrupt.set(reason);
        self.stop.cancel();
        let reason = match reason {
            Interrupt::CallerGone => "the caller left",
            Interrupt::KeyLost(code) => code.as_str(),
            Interrupt::DeadlinePassed => "the deadline passed",
        };
        info!(self.traffic.context.logger, "once: starting nothing more: {reason}";
            "request" => %self.id);
    }

    /// Makes the refusal for a caller that does not learn how the attempt in flight ends.
    fn early_refusal(&self) -> Refusal {
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
        // The send fails when the caller is gone or already has its answer.
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
