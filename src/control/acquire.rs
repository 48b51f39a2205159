//! Acquires quota tokens: from the local buckets when this VM owns the organisation, otherwise
//! by a call to the VM that owns it.

use std::rc::Rc;
use std::time::Duration;

use metrics::counter;
use slog::{debug, info};
use tokio::sync::oneshot;
use tokio::time::sleep;

use crate::blackboard::AcquireOutcome;
use crate::clock;
use crate::control::state::Control;
use crate::decisions::membership::OwnershipEpoch;
use crate::decisions::ownership_keys::organisation_key;
use crate::decisions::quota::{Allowance, Reservation};
use crate::peer::calls::AcquireAnswer;
use crate::settings::QuotaMode;
use crate::units::{Burst, OrganisationName, RatePerSecond, Time, VmId};

/// Pause before the owner is looked up again and the request to it is retried. While a call runs,
/// the owner is looked up again at this interval.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Upper bound of the part of the caller's wait that is kept back for the owner's answer to travel
/// back.
const ANSWER_MARGIN: Duration = Duration::from_millis(5);

/// Handles [`crate::blackboard::ControlCommand::Acquire`]: acquires one token for `organisation`
/// within `max_wait` and sends the outcome to `reply`.
pub async fn acquire(
    control: Rc<Control>,
    organisation: OrganisationName,
    max_wait: Duration,
    reply: oneshot::Sender<AcquireOutcome>,
) {
    let Some(_permit) = control.begin_acquire() else {
        send_outcome(&control, &organisation, reply, AcquireOutcome::Unavailable);
        return;
    };
    let outcome = match control.config.quota_mode {
        QuotaMode::Owner => acquire_from_owner(&control, &organisation, max_wait, &reply).await,
        QuotaMode::StaticShare => {
            acquire_from_static_share(&control, &organisation, max_wait).await
        }
    };
    send_outcome(&control, &organisation, reply, outcome);
}

fn send_outcome(
    control: &Control,
    organisation: &OrganisationName,
    reply: oneshot::Sender<AcquireOutcome>,
    outcome: AcquireOutcome,
) {
    let label = match outcome {
        AcquireOutcome::Granted { .. } => "granted",
        AcquireOutcome::RateExceeded => "rate_exceeded",
        AcquireOutcome::Unavailable => "unavailable",
    };
    counter!("primrosewalk_control_acquires_total", "outcome" => label).increment(1);
    if !matches!(outcome, AcquireOutcome::Granted { .. }) {
        info!(control.logger(), "quota: token for {organisation} refused"; "reason" => label);
    }
    // The request may have ended meanwhile. A token that was granted to it is not returned.
    let _ = reply.send(outcome);
}

/// Counts as one active acquire, until it is dropped.
struct AcquirePermit(Rc<Control>);

impl Drop for AcquirePermit {
    fn drop(&mut self) {
        self.0.state.borrow_mut().active_acquires -= 1;
    }
}

impl Control {
    fn begin_acquire(self: &Rc<Self>) -> Option<AcquirePermit> {
        let mut state = self.state.borrow_mut();
        if state.active_acquires >= self.config.acquires_limit {
            return None;
        }
        state.active_acquires += 1;
        Some(AcquirePermit(self.clone()))
    }

    fn allowance(&self, organisation: &OrganisationName) -> Option<Allowance> {
        let state = self.state.borrow();
        let entry = state.catalogue.as_ref()?.organisation(organisation)?;
        Some(Allowance {
            rate: entry.rate_per_second,
            burst: entry.burst,
        })
    }
}

async fn acquire_from_owner(
    control: &Rc<Control>,
    organisation: &OrganisationName,
    max_wait: Duration,
    reply: &oneshot::Sender<AcquireOutcome>,
) -> AcquireOutcome {
    let key = organisation_key(organisation);
    let give_up_at = clock::now() + max_wait;
    loop {
        let asked_at = clock::now();
        let remaining = give_up_at.since(asked_at);
        if remaining.is_zero() || reply.is_closed() {
            return AcquireOutcome::Unavailable;
        }
        let owner = control.state.borrow().membership.owner_of(asked_at, &key);
        let answer = match owner {
            Some(vm) if vm == control.context.vm => {
                Some(acquire_as_owner(control, organisation, remaining).await)
            }
            Some(vm) => request_from_owner(control, &vm, &key, organisation, remaining).await,
            None => None,
        };
        match answer {
            Some(AcquireAnswer::RateExceeded) => return AcquireOutcome::RateExceeded,
            Some(AcquireAnswer::Granted { due_after_us }) => {
                let hold_time = Duration::from_micros(due_after_us);
                let usable_until = asked_at + hold_time + control.config.quota.credit_life;
                if clock::now() < usable_until {
                    return AcquireOutcome::Granted { usable_until };
                }
                debug!(
                    control.logger(),
                    "quota: a token for {organisation} arrived after it expired"
                );
            }
            Some(AcquireAnswer::NotOwner | AcquireAnswer::Busy) | None => {}
        }
        let remaining = give_up_at.since(clock::now());
        sleep(RETRY_PAUSE.min(remaining)).await;
    }
}

/// Requests a token from the VM that owns the organisation. The call is abandoned when another VM
/// becomes the owner; the old owner may then have spent a token that nobody uses.
async fn request_from_owner(
    control: &Rc<Control>,
    vm: &VmId,
    key: &str,
    organisation: &OrganisationName,
    remaining: Duration,
) -> Option<AcquireAnswer> {
    let address = control.state.borrow().addresses.get(vm)?.call?;
    let max_wait = remaining.saturating_sub(ANSWER_MARGIN.min(remaining / 4));
    let call = control
        .clients
        .acquire(vm, address, organisation.clone(), max_wait, remaining);
    let owner_changed = async {
        loop {
            sleep(RETRY_PAUSE).await;
            let owner = control
                .state
                .borrow()
                .membership
                .owner_of(clock::now(), key);
            if owner.as_ref() != Some(vm) {
                return;
            }
        }
    };
    tokio::select! {
        result = call => {
            if let Err(error) = &result {
                debug!(
                    control.logger(),
                    "quota: call to {vm}, the owner of {organisation}, failed: {error}"
                );
            }
            result.ok()
        }
        () = owner_changed => None,
    }
}

/// Acquires a token as the owner of the organisation. The answer is delayed until the token is due.
pub async fn acquire_as_owner(
    control: &Rc<Control>,
    organisation: &OrganisationName,
    max_wait: Duration,
) -> AcquireAnswer {
    let asked_at = clock::now();
    let key = organisation_key(organisation);
    let Some(allowance) = control.allowance(organisation) else {
        return AcquireAnswer::NotOwner;
    };
    let epoch = control
        .state
        .borrow_mut()
        .membership
        .ownership_epoch(asked_at, &key);
    let Some(epoch) = epoch.filter(|epoch| asked_at < epoch.until) else {
        return AcquireAnswer::NotOwner;
    };
    let due_at = match reserve(control, asked_at, organisation, allowance, epoch, max_wait) {
        Reservation::DueAt(due_at) => due_at,
        Reservation::Refused { .. } => return AcquireAnswer::RateExceeded,
    };
    sleep_until(due_at).await;
    // The process may have been paused during the wait, so ownership is checked again.
    let now = clock::now();
    let current = control
        .state
        .borrow_mut()
        .membership
        .ownership_epoch(now, &key);
    let is_same_epoch =
        |current: &OwnershipEpoch| current.number == epoch.number && now < current.until;
    if current.as_ref().is_some_and(is_same_epoch) {
        // The hold time ends when the token was due, not when the answer is sent: the bucket
        // allows use of the token from its due time on, and a late answer must not extend that.
        let hold_time = due_at.since(asked_at).as_micros();
        AcquireAnswer::Granted {
            due_after_us: u64::try_from(hold_time).unwrap_or(u64::MAX),
        }
    } else {
        AcquireAnswer::NotOwner
    }
}

fn reserve(
    control: &Control,
    now: Time,
    organisation: &OrganisationName,
    allowance: Allowance,
    epoch: OwnershipEpoch,
    max_wait: Duration,
) -> Reservation {
    let mut state = control.state.borrow_mut();
    let quota = &mut state.quota;
    quota.reserve(now, organisation, allowance, epoch, max_wait)
}

async fn sleep_until(due_at: Time) {
    loop {
        let remaining = due_at.since(clock::now());
        if remaining.is_zero() {
            return;
        }
        sleep(remaining).await;
    }
}

/// Reserves from this VM's equal share of the allowance, without a call to another VM.
async fn acquire_from_static_share(
    control: &Rc<Control>,
    organisation: &OrganisationName,
    max_wait: Duration,
) -> AcquireOutcome {
    let now = clock::now();
    let Some(fleet_allowance) = control.allowance(organisation) else {
        return AcquireOutcome::Unavailable;
    };
    let vm_count = control.state.borrow().vms.vms.len().max(1);
    let vm_allowance = Allowance {
        rate: RatePerSecond(fleet_allowance.rate.0 / vm_count as f64),
        burst: Burst(
            (fleet_allowance.burst.0 / u32::try_from(vm_count).unwrap_or(u32::MAX)).max(1),
        ),
    };
    let epoch = OwnershipEpoch {
        number: 1,
        since: control.config.started_at,
        until: Time { micros: u64::MAX },
    };
    match reserve(control, now, organisation, vm_allowance, epoch, max_wait) {
        Reservation::Refused { .. } => AcquireOutcome::RateExceeded,
        Reservation::DueAt(due_at) => {
            sleep_until(due_at).await;
            AcquireOutcome::Granted {
                usable_until: due_at + control.config.quota.credit_life,
            }
        }
    }
}
