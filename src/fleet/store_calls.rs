//! Calls of this VM to the platform's store, and requests for the state of other VMs. They change nothing here but for
//! the state that a VM takes at its start; `store_follow` and `store_apply` do with the answers what is to be done.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use slog::{info, warn};
use smallvec::SmallVec;
use thiserror::Error;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::clock;
use crate::decisions::store_source::StoreCall;
use crate::fleet::change_delay::{Way, note_changes};
use crate::fleet::control_state::Control;
use crate::fleet::metric;
use crate::fleet::store_apply::{OLDER_BY, apply_state};
use crate::fleet::store_listing::{FullListing, IncompleteListing, Listed, list};
use crate::fleet::wire::{Body, Empty, FleetState};
use crate::platform::store::{StoreAnswer, StoreClient, StoreError, WatchOutcome};
use crate::units::{StorePosition, Time};

/// Time that a watch of the store waits for changes.
pub(super) const WATCH_WAIT: Duration = Duration::from_millis(2_000);
/// Number of VMs that a VM asks for their state at its start before it lists the store.
const MAX_ASKED_AT_START: usize = 3;
/// Longest time for which it waits for them, however many do not answer.
const START_STATE_TIMEOUT: Duration = Duration::from_millis(700);
/// Time for which it waits, once one has answered, for one that has run for longer.
const OLDER_STATE_TIMEOUT: Duration = Duration::from_millis(150);
/// Time in which the first calls of a VM that starts bring the state of another one.
const START_PAUSE: Duration = Duration::from_millis(200);
/// Time from its start in which a VM asks for the state of another one as soon as that one reports a newer
/// configuration: it may have read an older copy of the store.
const YOUNG_PERIOD: Duration = Duration::from_secs(4);
/// Time for which this VM waits for its own source to reach a position that another VM reported,
/// before it asks for the state of a VM. The source may be behind because watches pause
/// after a change, and because reports take a period of gossip.
const MAX_LAG: Duration = Duration::from_millis(800);
/// The same while the store cannot be reached.
const UNREACHABLE_LAG: Duration = Duration::from_millis(300);
/// Minimum interval between two rounds of requests for other VMs' states of the store.
const STATE_REQUEST_INTERVAL: Duration = Duration::from_millis(500);
/// Pause from the request to one VM until the next VM is asked as well. A state is large, and the first one mostly
/// answers.
const NEXT_STATE_PAUSE: Duration = Duration::from_millis(100);

/// What the store answered.
pub(super) enum StoreNewsOfCall {
    /// All changes after a position.
    Changes(StorePosition, StoreAnswer),
    /// All items.
    Listing(Listed),
}

/// A call to the store that failed.
#[derive(Debug, Error)]
pub(super) enum CallFault {
    #[error(transparent)]
    Store(#[from] StoreError),
    #[error(transparent)]
    Listing(#[from] IncompleteListing),
}

impl CallFault {
    /// Returns whether the store answered a part of the call.
    pub(super) fn has_progressed(&self) -> bool {
        matches!(self, Self::Listing(listing) if listing.has_progressed)
    }

    /// Returns whether a listing was not completed since the store refused it for its rate limit.
    pub(super) fn is_refusal(&self) -> bool {
        matches!(self, Self::Listing(listing) if listing.is_refused)
    }
}

impl Control {
    pub(super) fn store_client(&self) -> StoreClient {
        let settings = self.settings.lock();
        StoreClient {
            address: settings.platform_address,
            own_ip: settings.ip,
        }
    }
}

/// Makes one call to the store. It becomes a listing if this VM knows nothing yet, or if the store cannot tell the
/// changes since.
///
/// # Errors
///
/// Fails when the store does not answer in time, or with anything else than changes or a listing.
pub(super) async fn call_store(
    control: &Control,
    call: StoreCall,
) -> Result<StoreNewsOfCall, CallFault> {
    if control.store.lock().position == StorePosition::default() {
        take_fleet_state(control).await;
    }
    let client = control.store_client();
    let is_first = control.store.lock().position == StorePosition::default();
    if is_first {
        let listed = list(control, client).await;
        let has_state = control.store.lock().position != StorePosition::default();
        match listed {
            // Another VM has sent its state meanwhile.
            Err(_) if has_state => *control.listing.lock() = FullListing::default(),
            listed => return Ok(StoreNewsOfCall::Listing(listed?)),
        }
    }
    let after = control.store.lock().position;
    let outcome = match call {
        StoreCall::Watch => {
            metric::store_called("watch");
            client.watch("", after, WATCH_WAIT).await
        }
        StoreCall::Check => {
            metric::store_called("check");
            client.check("", after).await
        }
    };
    match outcome {
        Ok(WatchOutcome::Changes(mut answer)) => {
            sort_changes(&mut answer);
            control.incomplete_checks.store(0, Ordering::Relaxed);
            // A listing in progress is of no use any more.
            *control.listing.lock() = FullListing::default();
            return Ok(StoreNewsOfCall::Changes(after, answer));
        }
        Ok(WatchOutcome::HistoryLost) => {
            info!(control.logger,
                "store: the history after the revision is gone, listing again"; "after" => %after);
        }
        Ok(WatchOutcome::EraChanged(era)) => {
            warn!(control.logger, "store: it came back from an older copy, listing again";
                "era" => %era, "after" => %after);
        }
        // A watch may be cut at any time, and one answer may break off.
        Err(error @ StoreError::Incomplete(_))
            if call == StoreCall::Watch || !is_repeated_check(control) =>
        {
            return Err(error.into());
        }
        // The same call would bring the same answer. Pages of a listing are smaller.
        Err(error @ (StoreError::Unreadable(_) | StoreError::Incomplete(_))) => {
            warn!(control.logger, "store: its changes cannot be read, listing again";
                "after" => %after, "error" => %error);
        }
        Err(error) => return Err(error.into()),
    }
    Ok(StoreNewsOfCall::Listing(list(control, client).await?))
}

/// Sorts changes by their revisions: the platform does not say in which order they stand in an answer.
pub(super) fn sort_changes(answer: &mut StoreAnswer) {
    answer.items.sort_by_key(|item| item.revision);
}

/// Counts an answer to a check that did not arrive whole, and returns whether it is the second one in a row.
fn is_repeated_check(control: &Control) -> bool {
    control.incomplete_checks.fetch_add(1, Ordering::Relaxed) > 0
}

/// Takes the state of the VM that has run for longest: it knows what the store has lost if it came back from an
/// older copy lately. VMs of earlier builds do not tell, and are passed over while there are others. All are asked at
/// once, so that the ones that do not answer cost their time once.
async fn take_fleet_state(control: &Control) {
    let oldest: SmallVec<[Ipv4Addr; MAX_ASKED_AT_START]> = {
        let gossip = control.gossip.lock();
        let vms = gossip.oldest_serving(MAX_ASKED_AT_START);
        vms.map(|vm| vm.ip).collect()
    };
    let count = oldest.len();
    let ask = |(rank, ip)| async move { (rank, ip, fetch_state(control, ip).await) };
    let mut asked: FuturesUnordered<_> = oldest.into_iter().enumerate().map(ask).collect();
    let mut best: Option<(usize, Ipv4Addr, FleetState)> = None;
    let mut is_open = vec![true; count];
    let mut until = Instant::now() + START_STATE_TIMEOUT;
    while let Ok(Some((rank, ip, state))) = timeout_at(until, asked.next()).await {
        is_open[rank] = false;
        if let Some(state) = state {
            until = until.min(Instant::now() + OLDER_STATE_TIMEOUT);
            // Lower is better.
            let place = |rank: usize, state: &FleetState| (state.era.is_none(), rank);
            let is_better = best
                .as_ref()
                .is_none_or(|(known, _, best)| place(rank, &state) < place(*known, best));
            if is_better {
                best = Some((rank, ip, state));
            }
        }
        let is_settled = best.as_ref().is_some_and(|(rank, _, state)| {
            state.era.is_some() && !is_open[..*rank].contains(&true)
        });
        if is_settled {
            break;
        }
    }
    if let Some((_, ip, state)) = best {
        // This VM has only started, so that no change is late.
        apply_state(control, ip, state);
    }
}

/// Takes the state of a VM that had run before this one started, as soon as there is one, unless this VM has it
/// from its start: the store that it has read, or other VMs that have just started, may have come back from an older copy.
pub(super) async fn take_older_state(control: Arc<Control>) {
    let started_at = clock::now();
    let mut view = control.view.subscribe();
    while clock::now().since(started_at) < YOUNG_PERIOD {
        let has_older = control
            .gossip
            .lock()
            .older_serving(OLDER_BY)
            .next()
            .is_some();
        if has_older {
            // The first calls of this VM may bring it.
            sleep(START_PAUSE).await;
            if !control.knows_older_state.load(Ordering::Relaxed) {
                take_fleet_state(&control).await;
            }
            return;
        }
        let _ = timeout(START_PAUSE, view.changed()).await;
    }
}

/// Asks a VM for its state of the store.
async fn fetch_state(control: &Control, ip: Ipv4Addr) -> Option<FleetState> {
    match control.peers.call(ip, Body::StateRequest(Empty {})).await {
        Ok(Body::State(state)) => Some(state),
        Ok(_) => {
            warn!(control.logger, "store: another VM did not answer with its state"; "vm" => %ip);
            None
        }
        // `Peers::call` has already logged the failure.
        Err(_) => None,
    }
}

/// Asks other VMs for their state of the store while this VM cannot reach the store, or while its
/// source does not deliver changes that the other VMs already have.
pub(super) async fn fetch_newer_peer_state(control: Arc<Control>) {
    let started_at = clock::now();
    loop {
        let max_lag = max_lag(&control, started_at);
        let own = control.store.lock().progress();
        let due_at = control.lag.lock().due_at(own, max_lag);
        match due_at {
            None => {
                control.peer_is_newer.notified().await;
                continue;
            }
            Some(at) if at > clock::now() => {
                // A report of a newer configuration may be due sooner.
                let wait = at.since(clock::now());
                let _ = timeout(wait, control.peer_is_newer.notified()).await;
                continue;
            }
            Some(_) => {}
        }
        let newest = control.lag.lock().take_newest();
        let known_at = *control.word_at.lock();
        let ask = |(rank, ip): (usize, Ipv4Addr)| {
            let control = Arc::clone(&control);
            async move {
                sleep(NEXT_STATE_PAUSE * rank as u32).await;
                (ip, fetch_state(&control, ip).await)
            }
        };
        let mut asked: FuturesUnordered<_> = newest.into_iter().enumerate().map(ask).collect();
        while let Some((ip, state)) = asked.next().await {
            if state.is_some_and(|state| apply_state(&control, ip, state)) {
                note_changes(&control, Way::State(ip), known_at, None);
                break;
            }
        }
        drop(asked);
        sleep(STATE_REQUEST_INTERVAL).await;
    }
}

/// Returns for how long this VM may lack what another one reports before it asks for its state.
fn max_lag(control: &Control, started_at: Time) -> Duration {
    let (own, is_unreachable) = {
        let store = control.store.lock();
        (store.progress(), store.is_unreachable())
    };
    let is_young = clock::now().since(started_at) < YOUNG_PERIOD;
    let may_have_read_copy = is_young && own.configuration_version > 0;
    if may_have_read_copy && control.lag.lock().lacks_configuration(&own) {
        Duration::ZERO
    } else if is_unreachable {
        UNREACHABLE_LAG
    } else {
        MAX_LAG
    }
}
