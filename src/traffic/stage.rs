//! Runs one stage of a request: waits for a slot, makes an attempt and retries where allowed.
//!
//! `docs/design.md`, 3.4 and 3.5 give the rules for routing and retries.

use std::future::Future;
use std::time::Duration;

use serde::Deserialize;
use serde_json::value::RawValue;
use sha2::{Digest, Sha256};
use slog::info;

use crate::blackboard::ControlCommand;
use crate::clock;
use crate::decisions::retry::stage_time;
use crate::manifest::{Stage, StageKind};
use crate::traffic::endpoint_client::{Call, CallError, Execution, Reply};
use crate::traffic::metric;
use crate::traffic::refusal::{Refusal, RefusalCode};
use crate::traffic::router_state::{NoSlot, Slot, SlotRequest};
use crate::traffic::run::{Run, StageSummary};
use crate::traffic::token_relay::{ReplayDiverged, TokenRelay};
use crate::units::Time;

/// Number of leading bytes of an engine's input that are hashed as its prompt prefix.
const PREFIX_BYTES: usize = 256;

/// Maximum number of refusals by cold endpoints after which one stage waits for a slot again without
/// a retry. It bounds what a stage sends to endpoints that always refuse.
const MAX_COLD_REFUSALS: u32 = 8;

/// Lower bound of the timeout for one step of an idempotent attempt.
const MIN_STEP_TIMEOUT: Duration = Duration::from_millis(20);

/// Result of a stage that an endpoint answered.
pub struct CompletedStage {
    /// Entry of the stage in the caller's summary.
    pub summary: StageSummary,
    /// Output of the stage, which is the input of the next stage.
    pub output: Box<RawValue>,
}

/// State of one stage across its attempts.
struct StageRun<'a> {
    run: &'a Run,
    stage: &'a Stage,
    input: &'a RawValue,
    index: usize,
    deadline: Time,
    relay: TokenRelay,
    request: SlotRequest,
    attempts: u32,
    /// Number of attempts that a cold endpoint refused without running them.
    cold_refusals: u32,
    /// Whether the last answer said that the endpoint is in a cold start.
    answered_cold: bool,
}

/// Returns the time that a stage which starts now may take (see [`stage_time`]).
fn stage_time_limit(run: &Run, index: usize) -> Duration {
    let stages = &run.pipeline.stages;
    let later = stages[index + 1..].iter().map(|stage| stage.weight);
    stage_time(run.remaining(), stages[index].weight, later)
}

/// Runs one stage of a request until an endpoint answers it or it fails for good.
///
/// # Errors
///
/// Returns the refusal for the caller.
pub async fn run_stage(
    run: &Run,
    index: usize,
    input: &RawValue,
) -> Result<CompletedStage, Refusal> {
    let started = clock::now();
    let stages = &run.pipeline.stages;
    let stage = &stages[index];
    let is_last = index + 1 == stages.len();
    let streams = run.stream && is_last && stage.kind == StageKind::Generate;
    let mut state = StageRun {
        run,
        stage,
        input,
        index,
        deadline: started + stage_time_limit(run, index),
        relay: TokenRelay::new(streams.then(|| run.messages.clone())),
        request: slot_request(run, stage, input),
        attempts: 0,
        cold_refusals: 0,
        answered_cold: false,
    };
    run.traffic.router.on_first_attempt();
    let result = state.run_attempts().await;
    let elapsed = clock::now().since(started);
    let outcome = if result.is_ok() { "answered" } else { "failed" };
    metrics::histogram!(metric::STAGE_SECONDS, "pipeline" => run.pipeline.name.to_string(),
        "stage" => stage.name.to_string(), "outcome" => outcome)
    .record(elapsed.as_secs_f64());
    let (endpoint, output) = result?;
    let summary = StageSummary {
        stage: stage.name.clone(),
        endpoint,
        attempts: state.attempts,
        elapsed_ms: u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX),
    };
    Ok(CompletedStage { summary, output })
}

fn slot_request(run: &Run, stage: &Stage, input: &RawValue) -> SlotRequest {
    let prefix = (stage.kind == StageKind::Generate).then(|| {
        let bytes = input.get().as_bytes();
        let digest = Sha256::digest(&bytes[..bytes.len().min(PREFIX_BYTES)]);
        digest[..8]
            .iter()
            .fold(0, |hash, byte| (hash << 8) | u64::from(*byte))
    });
    SlotRequest {
        stage: stage.clone(),
        organisation: run.caller.organisation.clone(),
        weight: run.caller.weight,
        exclude: Vec::new(),
        avoid: None,
        prefix,
    }
}

/// Endpoint that answered a stage, and its output.
type StageAnswer = (crate::units::EndpointName, Box<RawValue>);

impl StageRun<'_> {
    async fn run_attempts(&mut self) -> Result<StageAnswer, Refusal> {
        loop {
            let slot = self.wait_for_slot().await?;
            self.attempts += 1;
            let endpoint = slot.endpoint.clone();
            let error = match self.attempt(slot).await? {
                Ok(output) => return Ok((endpoint.name, output)),
                Err(error) => error,
            };
            let logger = &self.run.traffic.context.logger;
            info!(logger, "retry: attempt failed: {}", error.message;
                "request" => %self.run.id, "stage" => %self.stage.name,
                "endpoint" => %endpoint.name, "attempt" => self.attempts);
            self.check_retry(&error)?;
            self.request.exclude.push(endpoint.name);
            self.request.avoid = Some(endpoint.data_centre);
        }
    }

    async fn wait_for_slot(&mut self) -> Result<Slot, Refusal> {
        let run = self.run;
        let started = clock::now();
        let slot = tokio::select! {
            slot = self.acquire() => slot,
            refusal = run.interrupted() => return Err(refusal),
        };
        let waited = clock::now().since(started);
        metrics::histogram!(metric::SLOT_WAIT_SECONDS,
            "service" => self.stage.service.to_string())
        .record(waited.as_secs_f64());
        let logger = &run.traffic.context.logger;
        match slot {
            Ok(slot) => {
                // The wait for the slot may have used up the stage's time, so the time limit is
                // computed again from the request's remaining time.
                self.deadline = self
                    .deadline
                    .max(clock::now() + stage_time_limit(run, self.index));
                info!(logger, "routing: chose {}: {}", slot.endpoint.name, slot.reason;
                    "request" => %run.id, "stage" => %self.stage.name,
                    "attempt" => self.attempts + 1, "waited_ms" => waited.as_millis());
                Ok(slot)
            }
            Err(reason) => {
                let message = match reason {
                    NoSlot::NoEndpoint => "no endpoint in service offers the stage",
                    NoSlot::TimedOut => "no endpoint had a free slot in the stage's time",
                };
                info!(logger, "routing: {message}"; "request" => %run.id,
                    "stage" => %self.stage.name, "waited_ms" => waited.as_millis());
                Err(run.refusal(RefusalCode::NoCapacity, message))
            }
        }
    }

    async fn acquire(&mut self) -> Result<Slot, NoSlot> {
        let router = &self.run.traffic.router;
        let slot = router.acquire(self.request.clone(), self.max_wait()).await;
        if !matches!(slot, Err(NoSlot::NoEndpoint)) || self.request.exclude.is_empty() {
            return slot;
        }
        // Only endpoints that failed an earlier attempt are left, which is better than none.
        self.request.exclude.clear();
        router.acquire(self.request.clone(), self.max_wait()).await
    }

    /// Returns the maximum time to wait for a slot: until the stage's deadline, or longer if
    /// the rest of the pipeline usually needs less time than the request has left.
    fn max_wait(&self) -> Duration {
        let run = self.run;
        let until_deadline = self.deadline.since(clock::now());
        let spare = run
            .traffic
            .max_wait(&run.pipeline.name, self.index, run.remaining());
        until_deadline.max(spare)
    }

    /// Makes one attempt. The outer error ends the request, the inner error only the attempt.
    async fn attempt(&mut self, slot: Slot) -> Result<Result<Box<RawValue>, CallError>, Refusal> {
        let run = self.run;
        let endpoint = slot.endpoint.clone();
        let started = clock::now();
        let result = if self.stage.idempotent {
            tokio::select! {
                result = self.exchange(&slot) => result,
                refusal = run.interrupted() => {
                    run.set_may_have_run();
                    info!(run.traffic.context.logger, "retry: cancelled the attempt";
                        "request" => %run.id, "stage" => %self.stage.name,
                        "endpoint" => %endpoint.name, "reason" => refusal.code.as_str());
                    return Err(Refusal { outcome: run.refusal(refusal.code, "").outcome, ..refusal });
                }
            }
        } else {
            let extra = run.traffic.config.non_idempotent_grace;
            let limit = self.deadline.since(started) + extra;
            let timed_out = || CallError::transient(Execution::MayHaveRun, "no answer in time");
            let exchange = tokio::time::timeout(limit, self.exchange(&slot)).await;
            exchange.unwrap_or_else(|_| Err(timed_out()))
        };
        if !matches!(&result, Err(error) if error.execution == Execution::NotRun) {
            run.set_may_have_run();
        }
        self.release_and_report(slot, &result, started);
        Ok(result)
    }

    /// Releases the slot and reports the attempt's result to the router and the control thread.
    fn release_and_report(
        &self,
        slot: Slot,
        result: &Result<Box<RawValue>, CallError>,
        started: Time,
    ) {
        let traffic = &self.run.traffic;
        let name = slot.endpoint.name.clone();
        let outcome = match result {
            Ok(_) => "answered",
            Err(_) => "failed",
        };
        metrics::histogram!(metric::ATTEMPT_SECONDS,
            "service" => self.stage.service.to_string(), "outcome" => outcome)
        .record(clock::now().since(started).as_secs_f64());
        match result {
            Ok(_) => {
                slot.finish(Ok(()));
                if !self.answered_cold {
                    traffic.report(ControlCommand::AttemptCompleted {
                        endpoint: name,
                        started_at: started,
                    });
                }
            }
            Err(error) => {
                if error.is_cold {
                    self.report_cold(&slot);
                }
                slot.finish(error.class.map_or(Ok(()), Err));
            }
        }
    }

    fn report_cold(&self, slot: &Slot) {
        let endpoint = slot.endpoint.name.clone();
        if !self.run.traffic.router.on_cold_sign(&endpoint) {
            return;
        }
        info!(self.run.traffic.context.logger, "routing: {endpoint} is in a cold start";
            "request" => %self.run.id);
        let commands = self.run.traffic.commands.clone();
        let command = ControlCommand::EndpointCold { endpoint };
        // The report must not be dropped when the channel is full, and the request must not
        // wait until it is sent, so a task of its own sends it.
        tokio::spawn(async move { commands.send(command).await });
    }

    async fn exchange(&mut self, slot: &Slot) -> Result<Box<RawValue>, CallError> {
        let run = self.run;
        self.relay.begin_attempt();
        let attempt_id = format!("{}/{}/{}", run.id, self.stage.name, self.attempts);
        let call = Call {
            address: slot.endpoint.address,
            stage: self.stage,
            input: self.input,
            request_id: &run.id,
            attempt_id: &attempt_id,
            organisation: &run.caller.organisation,
            time_limit: self.deadline.since(clock::now()),
        };
        let may_send = || !run.is_interrupted() && !run.remaining().is_zero();
        let head = run.traffic.client.call(&call, may_send);
        let reply = self.with_step_timeout(head).await?;
        self.answered_cold = reply.is_cold;
        if reply.is_cold {
            self.report_cold(slot);
        } else {
            run.traffic.router.on_warm_answer(&slot.endpoint.name);
        }
        if reply.is_stream {
            self.read_stream(reply).await
        } else {
            let output = self.with_step_timeout(reply.output()).await?;
            self.relay.finish_attempt().map_err(replay_error)?;
            Ok(output)
        }
    }

    async fn read_stream(&mut self, mut reply: Reply) -> Result<Box<RawValue>, CallError> {
        loop {
            let Some(event) = self.with_step_timeout(reply.next_event()).await? else {
                let message = "the stream ended without its end event";
                return Err(CallError::transient(Execution::MayHaveRun, message));
            };
            match event.name.as_str() {
                "token" => {
                    let text = token_text(&event.data)?;
                    self.relay.push(&text).await.map_err(replay_error)?;
                    self.check_text_size()?;
                }
                "end" => {
                    let text = self.relay.finish_attempt().map_err(replay_error)?;
                    return end_output(&event.data, text);
                }
                "error" => {
                    let message = format!("the engine reported {:.200}", event.data);
                    return Err(CallError::transient(Execution::MayHaveRun, message));
                }
                _ => {}
            }
        }
    }

    fn check_text_size(&self) -> Result<(), CallError> {
        if self.relay.text_bytes() <= self.run.traffic.config.answer_limit_bytes {
            return Ok(());
        }
        Err(CallError {
            class: None,
            can_retry: false,
            ..CallError::transient(Execution::MayHaveRun, "the streamed text is too large")
        })
    }

    /// Runs one step of an attempt. In an idempotent stage, the timeout is half of the stage's
    /// remaining time, so that there is time for a retry if the endpoint hangs. A
    /// non-idempotent attempt that times out is not retried, so [`Self::attempt`] limits it
    /// as a whole.
    async fn with_step_timeout<T>(
        &self,
        step: impl Future<Output = Result<T, CallError>>,
    ) -> Result<T, CallError> {
        if !self.stage.idempotent {
            return step.await;
        }
        let remaining = self.deadline.since(clock::now());
        let limit = (remaining / 2).max(MIN_STEP_TIMEOUT);
        let timed_out = || CallError::transient(Execution::MayHaveRun, "no answer in time");
        let result = tokio::time::timeout(limit, step).await;
        result.unwrap_or_else(|_| Err(timed_out()))
    }

    /// Returns `Ok` if another attempt may start, and the refusal for the caller otherwise. Takes a
    /// retry from the budget unless the attempt was one that a cold endpoint refused.
    fn check_retry(&mut self, error: &CallError) -> Result<(), Refusal> {
        let run = self.run;
        let message = format!("stage {} failed: {}", self.stage.name, error.message);
        if !self.stage.idempotent && error.execution == Execution::MayHaveRun {
            return Err(run.refusal(RefusalCode::OutcomeUnknown, message));
        }
        if run.is_interrupted() || run.remaining().is_zero() {
            return Err(run.interrupt_refusal());
        }
        let has_time = !self.deadline.since(clock::now()).is_zero();
        if !error.can_retry || !has_time {
            return Err(run.refusal(RefusalCode::StageFailed, message));
        }
        // The router has dropped the endpoint's grant, so the next attempt waits for a slot that
        // takes the cold start into account.
        let is_cold_refusal = error.is_cold && error.execution == Execution::NotRun;
        if is_cold_refusal && self.cold_refusals < MAX_COLD_REFUSALS {
            self.cold_refusals += 1;
            return Ok(());
        }
        if !run
            .traffic
            .router
            .take_retry(self.attempts - self.cold_refusals)
        {
            return Err(run.refusal(RefusalCode::StageFailed, message));
        }
        metrics::counter!(metric::RETRIES_TOTAL,
            "service" => self.stage.service.to_string())
        .increment(1);
        Ok(())
    }
}

fn replay_error(_: ReplayDiverged) -> CallError {
    CallError {
        class: None,
        can_retry: false,
        ..CallError::transient(
            Execution::MayHaveRun,
            "a replayed stream differs from what was sent",
        )
    }
}

fn token_text(data: &str) -> Result<String, CallError> {
    #[derive(Deserialize)]
    struct Token {
        text: String,
    }
    let token: Result<Token, _> = serde_json::from_str(data);
    token.map(|token| token.text).map_err(|error| {
        CallError::transient(
            Execution::MayHaveRun,
            format!("a token is not as documented: {error}"),
        )
    })
}

/// Returns the output in an `end` event, or the streamed text if the event has none.
fn end_output(data: &str, text: &str) -> Result<Box<RawValue>, CallError> {
    #[derive(Deserialize)]
    struct End {
        #[serde(default)]
        output: Option<Box<RawValue>>,
    }
    let malformed = |error: serde_json::Error| {
        CallError::transient(
            Execution::MayHaveRun,
            format!("the end is not as documented: {error}"),
        )
    };
    let output = match data.trim() {
        "" => None,
        data => serde_json::from_str::<End>(data).map_err(malformed)?.output,
    };
    match output {
        Some(output) => Ok(output),
        None => serde_json::value::to_raw_value(text).map_err(malformed),
    }
}
