//! One token of the organisation's allowance per request (`docs/design.md`, 3.3).

use std::time::Duration;

use parking_lot::Mutex;
use slog::info;
use tokio::sync::oneshot;

use crate::blackboard::{AcquireOutcome, ControlCommand, Snapshot};
use crate::clock;
use crate::decisions::membership::Tenure;
use crate::decisions::quota::{Allowance, Quota, QuotaConfig, Reservation};
use crate::manifest::VmState;
use crate::traffic::config::QuotaMode;
use crate::traffic::metric;
use crate::traffic::refusal::{Refusal, RefusalCode};
use crate::traffic::run::Run;
use crate::units::{Burst, OrganisationName, RatePerSecond, Time};

/// Credits asked for again when one came too late to use.
const ASK_LIMIT: u32 = 5;

/// Local buckets of the static-share baseline.
pub struct StaticShare {
    quota: Mutex<Quota>,
    since: Time,
}

impl Default for StaticShare {
    fn default() -> Self {
        // A local token is used at once, so no part of the burst is set aside for its life.
        let config = QuotaConfig {
            credit_life: Duration::ZERO,
        };
        Self {
            quota: Mutex::new(Quota::new(config)),
            since: clock::now(),
        }
    }
}

/// Waits for one token.
///
/// # Errors
///
/// Returns the refusal when there is none in time. The request has not run then.
pub async fn admit(run: &Run) -> Result<(), Refusal> {
    let started = clock::now();
    let result = match run.traffic.config.quota_mode {
        QuotaMode::Home => ask_home(run).await,
        QuotaMode::StaticShare => take_share(run).await,
    };
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

async fn ask_home(run: &Run) -> Result<(), Refusal> {
    for _ in 0..ASK_LIMIT {
        let remaining = run.remaining();
        let pipeline = &run.pipeline.name;
        let max_wait = run.traffic.longest_token_wait(pipeline, remaining);
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

async fn take_share(run: &Run) -> Result<(), Refusal> {
    let snapshot = run.traffic.context.snapshot.load_full();
    let allowance = share_of(&snapshot, &run.caller.organisation).ok_or_else(rate_exceeded)?;
    let share = &run.traffic.static_share;
    let tenure = Tenure {
        number: 0,
        since: share.since,
        until: Time { micros: u64::MAX },
    };
    let now = clock::now();
    let reservation = {
        let mut quota = share.quota.lock();
        let organisation = &run.caller.organisation;
        quota.reserve(now, organisation, allowance, tenure, run.remaining())
    };
    let Reservation::DueAt(due) = reservation else {
        return Err(rate_exceeded());
    };
    tokio::select! {
        () = tokio::time::sleep(due.since(now)) => Ok(()),
        refusal = run.interrupted() => Err(refusal),
    }
}

/// Returns this VM's fixed share. A burst below the number of VMs still leaves each VM one
/// request at once, so this baseline can exceed such a burst across the fleet.
fn share_of(snapshot: &Snapshot, organisation: &OrganisationName) -> Option<Allowance> {
    let organisation = snapshot.catalogue.as_ref()?.organisation(organisation)?;
    let is_live = |vm: &&crate::manifest::VmEntry| vm.state == VmState::Live;
    let vms = u32::try_from(snapshot.vms.vms.iter().filter(is_live).count()).ok()?;
    let vms = vms.max(1);
    Some(Allowance {
        rate: RatePerSecond(organisation.rate_per_second.0 / f64::from(vms)),
        burst: Burst((organisation.burst.0 / vms).max(1)),
    })
}

fn rate_exceeded() -> Refusal {
    let message = "the organisation's rate does not allow the request before its deadline";
    Refusal::not_run(RefusalCode::RateExceeded, message)
}
