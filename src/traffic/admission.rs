//! One token of the organisation's allowance per request (`docs/design.md`, 3.3).

use slog::info;
use tokio::sync::oneshot;

use crate::blackboard::{AcquireOutcome, ControlCommand};
use crate::clock;
use crate::traffic::metric;
use crate::traffic::refusal::{Refusal, RefusalCode};
use crate::traffic::run::Run;

/// Credits asked for again when one came too late to use.
const ASK_LIMIT: u32 = 5;

/// Waits for one token.
///
/// # Errors
///
/// Returns the refusal when there is none in time. The request has not run then.
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
    for _ in 0..ASK_LIMIT {
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
        let asked = async {
            run.traffic.commands.send(command).await.ok()?;
            answer.await.ok()
        };
        let outcome = tokio::select! {
            outcome = tokio::time::timeout(remaining, asked) => outcome,
            refusal = run.interrupted() => return Err(refusal),
        };
        match outcome {
            Ok(Some(AcquireOutcome::Granted { usable_until })) if clock::now() < usable_until => {
                return Ok(());
            }
            Ok(Some(AcquireOutcome::Granted { .. })) => {
                info!(run.traffic.context.logger, "quota: dropped a credit that came late";
                    "request" => %run.id);
            }
            Ok(Some(AcquireOutcome::RateExceeded)) => return Err(rate_exceeded()),
            Ok(Some(AcquireOutcome::Unavailable) | None) | Err(_) => break,
        }
    }
    let message = "no home VM granted a token in time";
    Err(Refusal::not_run(RefusalCode::QuotaUnavailable, message))
}

fn rate_exceeded() -> Refusal {
    let message = "the organisation's rate does not allow the request before its deadline";
    Refusal::not_run(RefusalCode::RateExceeded, message)
}
