//! Admits a request with one token of its organisation's rate allowance (`docs/design.md`, 3.3).

use slog::info;
use tokio::sync::oneshot;

use crate::blackboard::{AcquireOutcome, ControlCommand};
use crate::clock;
use crate::traffic::metric;
use crate::traffic::refusal::{Refusal, RefusalCode};
use crate::traffic::run::Run;

/// Maximum number of tokens asked for in turn when each one arrives too late to use.
const MAX_ACQUIRE_ATTEMPTS: u32 = 5;

/// Waits for one token of the organisation's rate allowance.
///
/// # Errors
///
/// Returns a refusal if no token is granted in time or if the request is interrupted. No stage of
/// the request has run then.
pub async fn admit(run: &Run) -> Result<(), Refusal> {
    let started = clock::now();
    let result = acquire(run).await;
    let waited = clock::now().since(started);
    metrics::histogram!(metric::QUOTA_WAIT_SECONDS).record(waited.as_secs_f64());
    let organisation = &run.caller.organisation;
    let outcome = match &result {
        Ok(()) => "admitted",
        Err(refusal) => refusal.code.as_str(),
    };
    info!(run.traffic.context.logger, "quota: {outcome} a request of {organisation}";
        "request" => %run.id, "waited_ms" => waited.as_millis());
    result
}

async fn acquire(run: &Run) -> Result<(), Refusal> {
    for _ in 0..MAX_ACQUIRE_ATTEMPTS {
        let remaining = run.remaining();
        let pipeline = &run.pipeline.name;
        let max_wait = run.traffic.max_wait(pipeline, 0, remaining);
        if remaining.is_zero() {
            break;
        }
        let (reply, answer) = oneshot::channel();
        let command = ControlCommand::Acquire {
            organisation: run.caller.organisation.clone(),
            max_wait,
            reply,
        };
        let exchange = async {
            run.traffic.commands.send(command).await.ok()?;
            answer.await.ok()
        };
        let outcome = tokio::select! {
            outcome = tokio::time::timeout(remaining, exchange) => outcome,
            refusal = run.interrupted() => return Err(refusal),
        };
        match outcome {
            Ok(Some(AcquireOutcome::Granted { usable_until })) if clock::now() < usable_until => {
                return Ok(());
            }
            Ok(Some(AcquireOutcome::Granted { .. })) => {
                info!(run.traffic.context.logger, "quota: dropped a token that arrived too late to use";
                    "request" => %run.id);
            }
            Ok(Some(AcquireOutcome::RateExceeded)) => return Err(rate_exceeded()),
            Ok(Some(AcquireOutcome::Unavailable) | None) | Err(_) => break,
        }
    }
    let message = "no home VM granted a token in time";
    Err(Refusal::not_run(RefusalCode::QuotaUnavailable, message))
}

/// Makes the refusal for a rate that allows no token in time.
fn rate_exceeded() -> Refusal {
    let message = "the organisation's rate does not allow the request before its deadline";
    Refusal::not_run(RefusalCode::RateExceeded, message)
}
