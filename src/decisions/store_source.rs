//! Decides from whom a VM learns of changes of the platform's store, so that it has each of them within a bounded
//! time.
//!
//! Each change ends the watch of every VM that watches the store, so a fleet of hundreds cannot all
//! watch it. A few VMs in each data centre do, the relays; the others learn of changes from a relay.
//!
//! What a VM knows has an age: the time since the store showed that the VM had all of its changes. A relay passes the
//! age on with what it knows, so it stays true over any number of VMs. Only the age decides when a VM turns to
//! others, and it asks all of them at once: the time to a source that answers does not grow with the number of
//! those that don't. This handles relays that die, freeze, wake or are cut off, one at a time or all at once, and a
//! store that serves some VMs and not others (`docs/platform.md`, "The way of a change").

mod order;

use std::collections::{HashMap, HashSet};
use std::net::Ipv4Addr;
use std::time::Duration;

pub use order::{Role, SourceList, SourceOrder, watches_store};

use crate::units::Time;

/// Age of the word of the store from which a VM also listens to others than its source. Two probes of a relay in a
/// row have to fail for it.
pub const DOUBT_AGE: Duration = Duration::from_millis(900);
/// Time that all sources have to answer before a VM asks the store itself.
const SOURCES_TIMEOUT: Duration = Duration::from_millis(300);
/// Time that all sources of a deputy have to answer, for whose word the others wait.
const DEPUTY_SOURCES_TIMEOUT: Duration = Duration::from_millis(100);
/// Time that all sources of a VM have to answer that has just started: its whole fleet may start, and the relays have to list
/// the store first.
const START_SOURCES_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time that they have while one of them lists the store; the last VMs of a fleet wait longer, by [`FLEET_CALLS_PER_S`].
const LISTING_SOURCES_TIMEOUT: Duration = Duration::from_millis(5_000);
/// Time from its first refusal for which a VM leaves its listing to one before it, in addition to the spread over the fleet.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(8_000);
/// Time without a page after which a VM whose listing is refused no longer counts as one that lists: a store may also turn
/// a VM away for good.
const PAGE_TIMEOUT: Duration = Duration::from_millis(3_500);
/// Time for which a source that listed the store is taken to go on.
const LISTING_PERIOD: Duration = Duration::from_millis(1_000);
/// Time over which the VMs of a fleet spread their own calls.
const OWN_CALL_SPREAD: Duration = Duration::from_millis(350);
/// Largest age of a VM's word when it asks the store itself at the latest, however many sources do not answer.
pub const MAX_WORD_AGE: Duration =
    DOUBT_AGE.saturating_add(SOURCES_TIMEOUT.saturating_add(OWN_CALL_SPREAD));
/// Number of sources that have asked the store in vain from which a VM takes it for down.
const MIN_WITNESSES: usize = 2;
/// Time that all sources have to answer before a VM probes the store.
const PROBE_SOURCES_TIMEOUT: Duration = Duration::from_millis(100);
/// Shortest time between two probes of a VM in doubt.
pub const DOUBT_PROBE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Calls per second of all VMs but relays and deputies together to a store that answers probes and fails the calls
/// after them.
const FLEET_CALLS_PER_S: f64 = 10.0;
/// Pause of a deputy after a call to such a store.
const DEPUTY_RETRY_PAUSE: Duration = Duration::from_millis(2_000);
/// Shortest pause of a deputy after a failed call: relays call again sooner.
const MIN_DEPUTY_PAUSE: Duration = Duration::from_millis(500);
/// Time between two calls of a VM that does not know whether the store is down, since no source answers.
const LONELY_INTERVAL: Duration = Duration::from_millis(2_000);
/// Initial pause of a VM that watches the store after a failed call; it doubles with each further failure.
const INITIAL_RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Maximum pause after a failed call.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(900);
/// By how much this pause is longer for each VM of the fleet than for the one before, at a start and after a listing
/// that the store refused for its rate limit. The first VMs then complete theirs, and the others take their state.
const REFUSED_PAUSE_STEP: Duration = Duration::from_millis(800);
/// Longest such pause.
const MAX_REFUSED_PAUSE: Duration = Duration::from_millis(10_000);
/// Time for which a deputy that has asked the store watches it.
const DEPUTY_PERIOD: Duration = Duration::from_secs(4);
/// Time for which a source that failed is not chosen.
const AVOID_PERIOD: Duration = Duration::from_millis(1_500);
/// Time from a call to a source that had no word until the next one.
const ASK_AGAIN_PAUSE: Duration = Duration::from_millis(200);
/// Time for which a VM that offered its word is listened to in doubt.
const OFFER_PERIOD: Duration = Duration::from_secs(4);
/// Time for which a VM offers its word to sources that have none.
const OFFERING_PERIOD: Duration = Duration::from_secs(1);
/// Number of VMs whose offers are kept.
const MAX_OFFERS: usize = 4;
/// Longest time until a plan is made again, since VMs come and go.
const MAX_PLAN_TIME: Duration = Duration::from_secs(1);

/// How a VM asks the store itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreCall {
    /// Waits for changes.
    Watch,
    /// Asks for the changes so far, which is answered at once.
    Check,
}

/// What a VM does now to learn of changes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// The VMs to listen to.
    pub listen_to: SourceList,
    /// The call to the store itself that is to be in progress.
    pub store_call: Option<StoreCall>,
    /// Whether to probe the store now, so that a VM which the store serves notices it.
    pub is_probe_due: bool,
    /// Whether this VM asks all its sources, since its word of the store is late.
    pub is_in_doubt: bool,
    /// Whether it offers its word to sources that may have none.
    pub is_offering: bool,
    /// When time alone changes the plan.
    pub next_at: Time,
}

/// What another VM says of its word of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SourceWord {
    /// Whether its word is recent.
    pub is_recent: bool,
    /// Whether the store has not answered its own calls.
    pub has_lost_store: bool,
    /// Whether it asks the store itself.
    pub asks_store: bool,
}

/// What a VM remembers of its sources.
#[derive(Debug)]
pub struct StoreSource {
    started_at: Time,
    /// The VM that this one listens to while all is well.
    current: Option<Ipv4Addr>,
    /// Sources that failed, which are not chosen until then.
    avoided_until: HashMap<Ipv4Addr, Time>,
    /// Sources without word, which are not asked until then.
    paused_until: HashMap<Ipv4Addr, Time>,
    /// Other VMs that had word of the store when this one had none, and until when they are listened to.
    offers: HashMap<Ipv4Addr, Time>,
    /// Whether the source, or a call of this VM, has failed since the last word.
    is_doubted: bool,
    in_doubt_since: Option<Time>,
    /// Sources that have asked the store in vain in this doubt.
    witnesses: HashSet<Ipv4Addr>,
    /// Sources in the last doubt.
    doubted_sources: SourceList,
    /// Sources that are to learn that this VM has word of the store.
    offers_to: SourceList,
    offers_until: Time,
    /// Whether the store has answered this VM's last call, and has given no cause for doubt since.
    knows_store: bool,
    /// When the last probe in doubt began.
    last_probe_at: Option<Time>,
    /// Whether the store has answered such a probe since the last call began.
    is_served: bool,
    /// Whether it had when the last call began.
    was_served: bool,
    /// Number of calls in a row that failed although the store had answered a probe before.
    refutations: u32,
    /// Number of own calls in a row that failed.
    failures: u32,
    last_call_ended_at: Option<Time>,
    /// When a VM that watches the store may call it.
    retry_at: Time,
    /// Number of listings in a row that the store refused for its rate limit.
    refusals: u32,
    /// When the first one was.
    refused_since: Option<Time>,
    /// When the last page of the first listing came, or its first refusal if none did.
    listed_at: Option<Time>,
    /// When a VM whose listing was refused may call the store again.
    refused_until: Time,
    /// Until when it leaves the listing to a source, unless it hears more of it.
    leaves_until: Time,
    /// When each source last said that it lists the store.
    listers_heard_at: HashMap<Ipv4Addr, Time>,
    /// Until when this VM watches the store as a deputy.
    acts_until: Time,
}

impl StoreSource {
    /// Returns the state of a VM that starts now.
    pub fn new(now: Time) -> Self {
        Self {
            started_at: now,
            current: None,
            avoided_until: HashMap::new(),
            paused_until: HashMap::new(),
            offers: HashMap::new(),
            is_doubted: false,
            in_doubt_since: None,
            witnesses: HashSet::new(),
            doubted_sources: SourceList::new(),
            offers_to: SourceList::new(),
            offers_until: Time::ZERO,
            knows_store: false,
            last_probe_at: None,
            is_served: false,
            was_served: false,
            refutations: 0,
            failures: 0,
            last_call_ended_at: None,
            retry_at: now,
            refusals: 0,
            refused_since: None,
            listed_at: None,
            refused_until: Time::ZERO,
            leaves_until: Time::ZERO,
            listers_heard_at: HashMap::new(),
            acts_until: Time::ZERO,
        }
    }

    /// Returns what to do. `word_at` is the time up to which this VM has all changes; `None` before its first word.
    pub fn plan(&mut self, now: Time, order: &SourceOrder, word_at: Option<Time>) -> Plan {
        for times in [
            &mut self.avoided_until,
            &mut self.paused_until,
            &mut self.offers,
        ] {
            times.retain(|_, until| now < *until);
        }
        if word_at.is_some() {
            // The pauses are for listings at a start; now others may depend on this VM.
            self.refused_until = Time::ZERO;
            self.refused_since = None;
            self.listed_at = None;
            self.refusals = 0;
        }
        self.listers_heard_at
            .retain(|_, heard_at| now.since(*heard_at) < LISTING_PERIOD);
        self.leaves_until = self.leaves_until(now, order).unwrap_or(Time::ZERO);
        let refused_until = self.refused_or_leaves_until();
        let mut doubt_at = word_at.map_or(self.started_at, |at| at + DOUBT_AGE);
        if order.role == Role::Direct && self.knows_store {
            // Its own watch brings the changes, and nobody else depends on it.
            doubt_at = now + MAX_PLAN_TIME;
        }
        let is_in_doubt = self.is_doubted || now >= doubt_at;
        let mut next_at = now + MAX_PLAN_TIME;
        if is_in_doubt {
            self.knows_store = false;
        } else {
            self.in_doubt_since = None;
            self.witnesses.clear();
            self.is_served = false;
            next_at = next_at.min(doubt_at);
        }
        let in_doubt_since = is_in_doubt.then(|| *self.in_doubt_since.get_or_insert(now));
        // Returns whether a time has come, at which the plan changes.
        let is_due = |at: Time, next_at: &mut Time| {
            if now < at {
                *next_at = at.min(*next_at);
            }
            now >= at
        };
        let probe_at = in_doubt_since.map(|since| self.probe_at(order, since, word_at));
        let is_probe_due = probe_at.is_some_and(|at| is_due(at, &mut next_at));
        let watches = self.watches(now, order, in_doubt_since, word_at, &mut next_at);
        let is_starting = word_at.is_none();
        let served_call_at = in_doubt_since
            .filter(|_| !(is_starting && watches))
            .and_then(|_| self.served_call_at(now, order, is_starting));
        let store_call = match in_doubt_since {
            _ if served_call_at.is_some_and(|at| is_due(at.max(refused_until), &mut next_at)) => {
                Some(StoreCall::Check)
            }
            _ if watches => self.watcher_call(now, order.role, &mut next_at),
            Some(since) => self
                .own_call_at(order, since, word_at)
                .is_some_and(|at| is_due(at.max(refused_until), &mut next_at))
                .then_some(StoreCall::Check),
            None => None,
        };
        let is_first_call = is_starting && self.failures == 0;
        let mut listen_to = if is_first_call && matches!(order.role, Role::Direct | Role::Relay) {
            // The first call takes the state of the VMs that have run for longest, which other relays that have just
            // started do not know.
            SourceList::new()
        } else if is_in_doubt {
            let mut all: SourceList = order.sources().collect();
            self.doubted_sources.clone_from(&all);
            all.extend(self.offers.keys().copied());
            if self.refused_since.is_some() && order.role != Role::Listener {
                all.extend_from_slice(&order.earlier);
            }
            all.retain(|ip| !self.paused_until.contains_key(ip));
            let paused = self.paused_until.values().copied();
            next_at = paused.fold(next_at, Time::min);
            all
        } else if watches && self.knows_store {
            self.current = None;
            SourceList::new()
        } else {
            self.choose(order);
            self.current.into_iter().collect()
        };
        let is_offering = now < self.offers_until;
        if is_offering {
            listen_to.extend(self.offers_to.iter().copied());
        }
        listen_to.sort_unstable();
        listen_to.dedup();
        Plan {
            listen_to,
            store_call,
            is_probe_due,
            is_in_doubt,
            is_offering,
            next_at,
        }
    }

    /// Returns when a VM in doubt since `since` probes the store. A probe is cheap and counts toward no limit, so each VM
    /// makes its own, and the time until one that the store serves notices it does not grow with the fleet.
    fn probe_at(&self, order: &SourceOrder, since: Time, word_at: Option<Time>) -> Time {
        let timeout = match word_at {
            Some(_) => PROBE_SOURCES_TIMEOUT,
            None => self.start_timeout(order),
        };
        let first_at = since + timeout + OWN_CALL_SPREAD.mul_f64(order.share);
        let next_at = self.last_probe_at.map(|at| at + DOUBT_PROBE_INTERVAL);
        next_at.map_or(first_at, |at| at.max(first_at))
    }

    /// Returns when a VM asks the store because it has answered a probe: at once, or after a pause if calls after probes
    /// failed all the same. One of them may have been lost.
    ///
    /// A VM that starts lists the store, which takes many calls, so that it makes a longer pause after the first one; one
    /// that watches the store has its own pauses.
    fn served_call_at(&self, now: Time, order: &SourceOrder, is_starting: bool) -> Option<Time> {
        if !self.is_served {
            return None;
        }
        let fleet_interval = fleet_interval(order);
        let pause = match self.refutations {
            0 if !is_starting => return Some(now),
            1 if !is_starting => DOUBT_PROBE_INTERVAL,
            _ => fleet_interval
                .max(DOUBT_PROBE_INTERVAL)
                .mul_f64(1.0 + order.share),
        };
        Some(self.last_call_ended_at.map_or(now, |at| at + pause))
    }

    /// Returns whether this VM watches the store: as a relay, or as a deputy whose sources have no word of it.
    fn watches(
        &mut self,
        now: Time,
        order: &SourceOrder,
        in_doubt_since: Option<Time>,
        word_at: Option<Time>,
        next_at: &mut Time,
    ) -> bool {
        match order.role {
            Role::Direct | Role::Relay => return true,
            Role::Listener => return false,
            Role::Deputy => {}
        }
        if let Some(since) = in_doubt_since {
            let acts_at = since
                + match word_at {
                    Some(_) => DEPUTY_SOURCES_TIMEOUT,
                    None => self.start_timeout(order),
                };
            if now >= acts_at {
                self.acts_until = now + DEPUTY_PERIOD;
            } else {
                *next_at = (*next_at).min(acts_at);
            }
        }
        now < self.acts_until
    }

    fn watcher_call(&self, now: Time, role: Role, next_at: &mut Time) -> Option<StoreCall> {
        if self.knows_store {
            return Some(StoreCall::Watch);
        }
        let last_call = self.last_call_ended_at.filter(|_| self.failures > 0);
        let retry_at = match last_call {
            Some(at) if role == Role::Deputy && self.is_store_down() => at + DEPUTY_RETRY_PAUSE,
            Some(at) if role == Role::Deputy => self.retry_at.max(at + MIN_DEPUTY_PAUSE),
            _ => self.retry_at,
        };
        let retry_at = retry_at.max(self.refused_or_leaves_until());
        if now < retry_at {
            *next_at = (*next_at).min(retry_at);
            return None;
        }
        Some(StoreCall::Check)
    }

    /// Returns whether this VM takes the store for down.
    fn is_store_down(&self) -> bool {
        self.witnesses.len() >= MIN_WITNESSES
    }

    /// Returns the time that the sources of a VM that has just started have to answer.
    fn start_timeout(&self, order: &SourceOrder) -> Duration {
        match self.listers_heard_at.is_empty() {
            true => START_SOURCES_TIMEOUT,
            false => LISTING_SOURCES_TIMEOUT + fleet_interval(order).mul_f64(order.share),
        }
    }

    /// Returns until when a VM whose listing was refused makes no call: for its own pause, and while it leaves the listing to
    /// another one.
    fn refused_or_leaves_until(&self) -> Time {
        self.refused_until.max(self.leaves_until)
    }

    /// Returns until when a VM whose listing was refused leaves it to one before it that lists, unless it hears more.
    fn leaves_until(&self, now: Time, order: &SourceOrder) -> Option<Time> {
        let spread = fleet_interval(order).mul_f64(order.share);
        let max_until = self.refused_since? + LEAVE_TIMEOUT + spread;
        let heard_at = |ip| self.listers_heard_at.get(ip).copied();
        let heard_at = order.earlier.iter().filter_map(heard_at).max()?;
        (now < max_until).then_some(max_until.min(heard_at + LISTING_PERIOD))
    }

    /// Returns when a VM that does not watch the store asks it without a probe, in doubt since `since`. `None` if it takes
    /// the store for down.
    fn own_call_at(&self, order: &SourceOrder, since: Time, word_at: Option<Time>) -> Option<Time> {
        if self.is_store_down() {
            return None;
        }
        let timeout = match word_at {
            Some(_) => SOURCES_TIMEOUT,
            None => self.start_timeout(order),
        };
        let last_call = self.last_call_ended_at.filter(|at| *at >= since);
        let first_at = since + timeout + OWN_CALL_SPREAD.mul_f64(order.share);
        Some(last_call.map_or(first_at, |at| at + LONELY_INTERVAL))
    }

    /// Chooses the VM to listen to. A relay that works is kept, so that one that returns from a cut gets listeners
    /// only when another one fails; another VM is kept only while no relay works.
    fn choose(&mut self, order: &SourceOrder) {
        let is_fit = |ip: &Ipv4Addr| !self.avoided_until.contains_key(ip);
        let current = self.current.filter(is_fit);
        let relay = current.filter(|ip| order.relays.contains(ip));
        self.current = relay
            .or_else(|| order.relays.iter().copied().find(is_fit))
            .or(current)
            .or_else(|| order.sources().find(is_fit))
            .or_else(|| order.sources().next());
    }

    /// Records that a source has answered a call of `called_at`.
    pub fn on_source_word(&mut self, now: Time, ip: Ipv4Addr, called_at: Time, word: SourceWord) {
        if word.is_recent {
            self.avoided_until.remove(&ip);
            if self.is_doubted || self.in_doubt_since.is_some() {
                self.current = Some(ip);
            }
            self.is_doubted = false;
            self.offers_to.retain(|offered| *offered != ip);
            return;
        }
        if word.asks_store && !word.has_lost_store {
            self.listers_heard_at.insert(ip, now);
        } else {
            self.listers_heard_at.remove(&ip);
        }
        if word.has_lost_store || word.asks_store {
            self.witnesses.insert(ip);
        }
        self.on_source_failed(now, ip, called_at);
    }

    /// Records that a source did not answer a call of `called_at`, or has no word of the store.
    pub fn on_source_failed(&mut self, now: Time, ip: Ipv4Addr, called_at: Time) {
        self.avoided_until.insert(ip, now + AVOID_PERIOD);
        self.paused_until.insert(ip, called_at + ASK_AGAIN_PAUSE);
        // The store has answered this VM since.
        let is_outdated =
            self.failures == 0 && self.last_call_ended_at.is_some_and(|at| called_at < at);
        self.is_doubted |= self.current == Some(ip) && !is_outdated;
    }

    /// Records that another VM has a later word of the store than this one.
    pub fn on_offer(&mut self, now: Time, ip: Ipv4Addr) {
        if self.in_doubt_since.is_none() {
            return;
        }
        self.offers.insert(ip, now + OFFER_PERIOD);
        if self.offers.len() > MAX_OFFERS {
            // The VMs that the store serves may be others by now.
            let oldest = self.offers.iter().min_by_key(|(ip, until)| (**until, **ip));
            if let Some(oldest) = oldest.map(|(ip, _)| *ip) {
                self.offers.remove(&oldest);
            }
        }
    }

    /// Records that a probe in doubt began.
    pub fn on_probe_began(&mut self, now: Time) {
        self.last_probe_at = Some(now);
    }

    /// Records that the store has answered such a probe.
    pub fn on_probe_answered(&mut self) {
        self.is_served = true;
    }

    /// Records that a call to the store began.
    pub fn on_call_began(&mut self) {
        self.was_served = std::mem::take(&mut self.is_served);
    }

    /// Records that the store has answered a call of this VM.
    pub fn on_store_answer(&mut self, now: Time) {
        self.knows_store = true;
        self.is_doubted = false;
        self.is_served = false;
        self.refutations = 0;
        self.failures = 0;
        self.refusals = 0;
        self.refused_since = None;
        self.listed_at = None;
        self.last_call_ended_at = Some(now);
        if self.in_doubt_since.is_some() {
            self.offers_to.clone_from(&self.doubted_sources);
            self.offers_until = now + OFFERING_PERIOD;
        }
    }

    /// Records that it is not known whether the store answers: a watch ended without an answer, which a sound store
    /// may do, or does not bring a change that is known to be there.
    pub fn on_store_unsure(&mut self) {
        self.knows_store = false;
    }

    /// Records that the store refused a listing of a VM without word for its rate limit, toward which refused calls may
    /// count. `jitter` is as in [`StoreSource::on_store_failed`].
    pub fn on_listing_refused(&mut self, now: Time, order: &SourceOrder, jitter: f64) {
        let place = order.share * order.fleet_size as f64;
        let pause = INITIAL_RETRY_PAUSE * 2_u32.saturating_pow(self.refusals.min(8));
        let max_pause = MAX_RETRY_PAUSE + REFUSED_PAUSE_STEP.mul_f64(place);
        let pause = pause.mul_f64(1.0 + place).min(max_pause);
        self.refused_until = now + pause.min(MAX_REFUSED_PAUSE).mul_f64(0.75 + jitter / 4.0);
        self.refusals += 1;
        self.refused_since.get_or_insert(now);
        self.listed_at.get_or_insert(now);
    }

    /// Returns whether this VM, which starts, is in a listing that goes on between its calls, or leaves it to another one.
    pub fn is_listing(&self, now: Time) -> bool {
        let goes_on = self
            .listed_at
            .is_some_and(|at| now.since(at) < PAGE_TIMEOUT);
        goes_on || now < self.leaves_until
    }

    /// Records that the store answered a part of a call, such as some pages of a listing, and not all of it. `jitter`
    /// is as in [`StoreSource::on_store_failed`].
    pub fn on_call_interrupted(&mut self, now: Time, jitter: f64) {
        self.failures = 0;
        self.was_served = false;
        self.listed_at = Some(now);
        self.on_store_failed(now, jitter);
    }

    /// Records that the store did not answer a call of this VM. `jitter`, from 0 to 1, spreads the next calls of
    /// several VMs.
    pub fn on_store_failed(&mut self, now: Time, jitter: f64) {
        self.knows_store = false;
        self.refutations += u32::from(self.was_served);
        self.is_doubted |= self.failures == 0;
        let pause = INITIAL_RETRY_PAUSE * 2_u32.saturating_pow(self.failures.min(8));
        self.retry_at = now + pause.min(MAX_RETRY_PAUSE).mul_f64(0.75 + jitter / 4.0);
        self.failures += 1;
        self.last_call_ended_at = Some(now);
    }
}

/// Returns the time over which the VMs of a fleet spread calls to a store that may fail them.
fn fleet_interval(order: &SourceOrder) -> Duration {
    Duration::from_secs_f64(order.fleet_size as f64 / FLEET_CALLS_PER_S)
}
