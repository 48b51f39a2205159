//! Follows the platform's store: through a relay or with calls of this VM, and through the state of
//! other VMs while neither brings changes in time.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context as _, anyhow, bail};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use slog::{error, info, warn};
use smallvec::SmallVec;
use tokio::time::{sleep, timeout};

use crate::clock;
use crate::decisions::change_log::ChangeLog;
use crate::decisions::store_source::{Source, StoreSource, has_listeners, watches_store};
use crate::decisions::store_view::StoreChange;
use crate::fleet::change_delay::{Way, note_changes};
use crate::fleet::control_state::Control;
use crate::fleet::metric;
use crate::fleet::model::{Endpoint, FleetVm};
use crate::fleet::peer_state::decode_state;
use crate::fleet::store_feed::{HOLD_TIME, MAX_ANSWER_AGE, StoreFeed, decode_item, logged};
use crate::fleet::wire::{Body, Empty, FleetState, ListenToStore};
use crate::platform::configuration::decode_configuration;
use crate::platform::endpoint_entry::decode_endpoint;
use crate::platform::store::{
    ENDPOINTS_PREFIX, OPERATOR_PREFIX, StoreClient, StoreItem, StoreKey, WatchOutcome,
};
use crate::units::{StoreEra, StorePosition, Time, VmId};

/// Time that a watch of the store waits for changes. A watch whose connection no longer delivers
/// changes is detected when another VM reports a newer revision ([`MAX_WATCH_LAG`]), and otherwise
/// when this time has passed.
const WATCH_WAIT: Duration = Duration::from_millis(2_000);
/// Timeout of a call that listens to a relay, which answers within [`HOLD_TIME`].
const LISTEN_TIMEOUT: Duration = HOLD_TIME.saturating_add(Duration::from_millis(600));
/// Time for which a VM of a fleet that starts for the first time waits for VMs that know the store.
const FIRST_START_WAIT: Duration = Duration::from_millis(3_000);
/// Time after which the relays of such a fleet go ahead: the VMs have met by then.
const FIRST_START_MEETING: Duration = Duration::from_millis(1_000);
/// Time for which any other VM waits at its start for VMs that know the store.
const START_WAIT: Duration = Duration::from_millis(150);
/// Longest such wait of a VM that has heard of no other VM yet.
const ALONE_WAIT: Duration = Duration::from_millis(1_000);
/// Time from its start in which a VM asks for the state of another one as soon as that one reports a newer
/// configuration: it may have read an older copy of the store.
const YOUNG_PERIOD: Duration = Duration::from_secs(4);
/// Pause from the first record of another VM until the records of all VMs are there.
const RECORDS_PAUSE: Duration = Duration::from_millis(30);
/// Time for which this VM waits for its own watch to reach a revision that another VM reported,
/// before it asks for the state of a VM. The watch may be behind because it pauses
/// for [`CHANGES_PAUSE`] after a change, and because reports take a period of gossip.
const MAX_WATCH_LAG: Duration = Duration::from_millis(800);
/// Pause after a watch that brought changes, and shortest time between the starts of two watches, so that a series of
/// changes takes few calls. It has to be short: within two seconds a new configuration must be in force, and an
/// endpoint that was removed must get no more requests.
const CHANGES_PAUSE: Duration = Duration::from_millis(450);
/// Interval at which a relay probes the store while its watch waits.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);
/// Number of probes in a row without an answer after which a relay no longer vouches for what it knows. A single
/// answer may be lost.
const MAX_FAILED_PROBES: u32 = 2;
/// Initial pause after a failed call to the store; it doubles with each further failure.
const INITIAL_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Maximum pause after a failed call to the store.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(900);
/// Number of VMs that a VM asks for their state at its start before it lists the store.
const MAX_ASKED_AT_START: usize = 3;
/// Delay, while the store cannot be reached, from another VM's report of a newer revision until
/// a VM is asked for its state.
const STATE_REQUEST_DELAY: Duration = Duration::from_millis(300);
/// Minimum interval between two requests for another VM's state of the store.
const STATE_REQUEST_INTERVAL: Duration = Duration::from_millis(500);

/// Follows the store, through a relay or with calls of this VM.
pub(super) async fn follow_store(control: Arc<Control>) {
    wait_for_fleet(&control).await;
    let mut follower = Follower {
        source: StoreSource::default(),
        changes: ChangeLog::default(),
        answering_since: None,
        may_watch: false,
        unanswered_since: None,
        wants_state: false,
        control,
    };
    let mut pause = INITIAL_RETRY_PAUSE;
    let mut last_source = None;
    let mut rng = ChaCha8Rng::seed_from_u64(u64::from(u32::from(follower.control.own_vm.ip)));
    loop {
        let source = follower.choose_source();
        let is_nobody = matches!(source, Source::Nobody(_));
        if !is_nobody && last_source.replace(source) != Some(source) {
            info!(follower.control.logger, "store: following it";
                "through" => format!("{source:?}"));
        }
        let outcome = match source {
            Source::Store => follower.ask_store().await,
            Source::Relay(ip) => {
                let listened = follower.listen_once(ip).await;
                listened.map(|()| Progress::Followed)
            }
            Source::Nobody(until) => {
                sleep(until.since(clock::now())).await;
                continue;
            }
        };
        match outcome {
            Ok(Progress::Followed) => {
                follower.source.on_answer();
                pause = INITIAL_RETRY_PAUSE;
                continue;
            }
            Ok(Progress::Checked) => {
                follower.source.on_answer();
                continue;
            }
            Ok(Progress::Unanswered) => {}
            Err(error) => follower.on_failure(source, &error),
        }
        if source == Source::Store {
            sleep(pause.mul_f64(rng.random_range(0.5..1.0))).await;
            pause = (pause * 2).min(MAX_RETRY_PAUSE);
        }
    }
}

/// Waits for a short time until this VM knows others that take requests. A VM that joins a running
/// fleet then learns of the store from a relay; when a whole fleet starts for the first time, only its
/// relays list the store.
async fn wait_for_fleet(control: &Control) {
    let (is_first_start, has_seeds) = {
        let settings = control.settings.lock();
        let has_seeds = settings.seeds.iter().any(|seed| *seed != settings.ip);
        (settings.is_first_start, has_seeds)
    };
    let max_wait = match (has_seeds, is_first_start) {
        (false, _) => return,
        (true, true) => FIRST_START_WAIT,
        (true, false) => ALONE_WAIT,
    };
    let started_at = clock::now();
    let mut view = control.view.subscribe();
    let meet = async {
        while view.borrow_and_update().vms.is_empty() {
            let waited = clock::now().since(started_at);
            let live = live_vms(control);
            let is_met = match is_first_start {
                true => waited >= FIRST_START_MEETING && watches_store(&control.own_vm, &live),
                false => waited >= START_WAIT && live.len() > 1,
            };
            if is_met {
                return;
            }
            // The timeout lets this VM notice that the time for meeting is over.
            let _ = timeout(START_WAIT, view.changed()).await;
        }
        // The records of a large fleet arrive in several datagrams.
        sleep(RECORDS_PAUSE).await;
    };
    let _ = timeout(max_wait, meet).await;
}

/// Returns this VM and the others that are alive, by name.
fn live_vms(control: &Control) -> BTreeMap<VmId, FleetVm> {
    let gossip = control.gossip.lock();
    let live = gossip.live().chain([&control.own_vm]);
    live.map(|vm| (vm.name.clone(), vm.clone())).collect()
}

/// Outcome of one call to a source.
enum Progress {
    /// A watch or a relay answered.
    Followed,
    /// The store answered a call without a wait.
    Checked,
    /// A watch ended without an answer, which a sound store may do. The next call shows whether it answers.
    Unanswered,
}

/// Follows the store for one VM.
struct Follower {
    control: Arc<Control>,
    source: StoreSource,
    changes: ChangeLog<StoreItem>,
    /// Since when the store has answered this VM or its relays without a break; `None` while it does not.
    answering_since: Option<Time>,
    /// Whether the store has answered the last call of this VM, and no other source was used since.
    may_watch: bool,
    /// When the store last may have answered, if the last watch ended without an answer.
    unanswered_since: Option<Time>,
    /// Whether the next call to a relay asks for the whole state: a change of the era was noticed.
    wants_state: bool,
}

impl Follower {
    /// Returns the source to ask next. A VM that no longer watches the store tells its listeners.
    fn choose_source(&mut self) -> Source {
        let vms = live_vms(&self.control);
        let source = self.source.choose(clock::now(), &self.control.own_vm, &vms);
        if source != Source::Store {
            self.may_watch = false;
            self.publish_feed(false);
        }
        source
    }

    fn on_failure(&mut self, source: Source, error: &anyhow::Error) {
        let now = clock::now();
        match source {
            Source::Store => {
                self.source.on_store_failed(now);
                self.may_watch = false;
                let since = self
                    .unanswered_since
                    .take()
                    .or(*self.control.word_at.lock());
                self.note_unreachable(since, error);
                self.publish_feed(false);
            }
            Source::Nobody(_) => {}
            Source::Relay(ip) => {
                self.source.on_relay_failed(now, ip);
                info!(self.control.logger, "store: a relay has no word of it"; "vm" => %ip,
                    "error" => format!("{error:#}"));
            }
        }
    }

    /// Notes that the store does not answer this VM, or a relay that it listens to, and has not done so since
    /// `since` at the earliest.
    fn note_unreachable(&mut self, since: Option<Time>, error: &anyhow::Error) {
        self.answering_since = None;
        let now = clock::now();
        let mut store = self.control.store.lock();
        if store.on_unreachable(now, since.unwrap_or(now)) {
            warn!(self.control.logger, "store: cannot be reached";
                "error" => format!("{error:#}"), "position" => %store.position);
        }
    }

    /// Publishes the changes for listeners; `is_current` says that the store has just answered.
    fn publish_feed(&self, is_current: bool) {
        let feed = &self.control.feed;
        let answered_at = is_current.then(clock::now);
        let has_lost_store = self.control.store.lock().is_unreachable();
        let is_known = {
            let known = feed.borrow();
            known.answered_at.is_none() && known.has_lost_store == has_lost_store
        };
        if answered_at.is_none() && is_known {
            return;
        }
        feed.send_replace(Arc::new(StoreFeed {
            changes: self.changes.clone(),
            answered_at,
            answering_since: self.answering_since,
            has_lost_store,
        }));
    }

    /// Makes one call to the store: a listing, a watch, or a check if it is not known that the store answers.
    ///
    /// While a watch waits, nothing shows whether the store is there. So no watch is made until a check has been
    /// answered, and a watch that ends without an answer is followed by a check.
    async fn ask_store(&mut self) -> anyhow::Result<Progress> {
        let client = {
            let settings = self.control.settings.lock();
            StoreClient {
                address: settings.platform_address,
                own_ip: settings.ip,
            }
        };
        if self.control.store.lock().position == StorePosition::default() {
            self.take_fleet_state().await;
        }
        let after = self.control.store.lock().position;
        if after == StorePosition::default() {
            self.list(client).await?;
            return Ok(Progress::Checked);
        }
        if !self.may_watch || self.unanswered_since.is_some() {
            metric::store_called("check");
            let outcome = client.check("", after).await?;
            self.apply_outcome(client, after, Way::Check, outcome)
                .await?;
            return Ok(Progress::Checked);
        }
        let began_at = clock::now();
        match self.watch(client, after).await {
            Ok(outcome) => {
                self.apply_outcome(client, after, Way::Watch, outcome)
                    .await?;
                // A watch may also end at once without changes, or with changes of items that are not used here.
                let took = clock::now().since(began_at);
                sleep(CHANGES_PAUSE.saturating_sub(took)).await;
                Ok(Progress::Followed)
            }
            Err(error) => {
                let now = clock::now();
                let was_silent = now.since(began_at) > WATCH_WAIT;
                let since = if was_silent { began_at } else { now };
                self.unanswered_since.get_or_insert(since);
                info!(self.control.logger, "store: a watch ended without an answer";
                    "error" => format!("{error:#}"), "after" => %after);
                Ok(Progress::Unanswered)
            }
        }
    }

    /// Watches the store. A relay probes it meanwhile, and gives the watch up when the store no longer answers: it
    /// would go on telling its listeners that nothing changed.
    async fn watch(
        &mut self,
        client: StoreClient,
        after: StorePosition,
    ) -> anyhow::Result<WatchOutcome> {
        metric::store_called("watch");
        let watch = client.watch("", after, WATCH_WAIT);
        let vms = live_vms(&self.control);
        if !has_listeners(&self.control.own_vm, &vms) {
            return watch.await;
        }
        let lost = async {
            let mut answered_at = clock::now();
            let mut failures = 0;
            while failures < MAX_FAILED_PROBES {
                if failures == 0 {
                    sleep(PROBE_INTERVAL).await;
                }
                metric::store_called("probe");
                if client.answers().await {
                    (answered_at, failures) = (clock::now(), 0);
                } else {
                    failures += 1;
                }
            }
            answered_at
        };
        tokio::select! {
            outcome = watch => outcome,
            answered_at = lost => {
                self.unanswered_since = Some(answered_at);
                self.publish_feed(false);
                bail!("the store answers no probe while the watch waits")
            }
        }
    }

    /// Takes the state of the VM that has run for longest: it knows what the store has lost if it came back from an
    /// older copy lately. VMs of earlier builds do not tell, and are passed over while there are others.
    async fn take_fleet_state(&self) {
        let control = &self.control;
        let oldest: SmallVec<[Ipv4Addr; MAX_ASKED_AT_START]> = {
            let gossip = control.gossip.lock();
            let vms = gossip.oldest_serving(MAX_ASKED_AT_START);
            vms.map(|vm| vm.ip).collect()
        };
        let mut best = None;
        for ip in oldest {
            let Some(state) = fetch_state(control, ip).await else {
                continue;
            };
            let states_era = state.era.is_some();
            if best.is_none() || states_era {
                best = Some((ip, state));
            }
            if states_era {
                break;
            }
        }
        if let Some((ip, state)) = best {
            // This VM has only started, so that no change is late.
            let _ = apply_state(control, ip, state);
        }
    }

    /// Applies the answer to a watch or a check after the position `after`.
    async fn apply_outcome(
        &mut self,
        client: StoreClient,
        after: StorePosition,
        way: Way,
        outcome: WatchOutcome,
    ) -> anyhow::Result<()> {
        let known_at = *self.control.word_at.lock();
        self.note_answer();
        let answer = match outcome {
            WatchOutcome::Changes(answer) => answer,
            WatchOutcome::HistoryLost => {
                info!(self.control.logger,
                    "store: the history after the revision is gone, listing again"; "after" => %after);
                return self.list(client).await;
            }
            WatchOutcome::EraChanged(era) => {
                warn!(self.control.logger, "store: it came back from an older copy, listing again";
                    "era" => %era, "after" => %after);
                return self.list(client).await;
            }
        };
        let logged = answer.items.iter().cloned().map(logged);
        self.changes.extend(after, answer.position.revision, logged);
        let is_any_newer = apply_changes(&self.control, answer.items, answer.position);
        self.publish_feed(true);
        if is_any_newer {
            note_changes(&self.control, way, known_at, Some(Duration::ZERO));
            sleep(CHANGES_PAUSE).await;
        }
        Ok(())
    }

    /// Notes that the store has answered this VM.
    fn note_answer(&mut self) {
        self.may_watch = true;
        self.unanswered_since = None;
        self.note_word(clock::now());
    }

    /// Notes that the store answers this VM or a relay, and has done so since `since` at the latest.
    fn note_word(&mut self, since: Time) {
        let now = clock::now();
        if let Some(before) = self.control.word_at.lock().replace(now) {
            metric::store_word_gap(now.since(before));
        }
        let known = self.answering_since.unwrap_or(since);
        self.answering_since = Some(known.min(since));
        let outage = self.control.store.lock().on_answer(now, since);
        if let Some(outage) = outage {
            info!(self.control.logger, "store: answers again"; "outage_ms" => outage.as_millis() as u64);
        }
    }

    async fn list(&mut self, client: StoreClient) -> anyhow::Result<()> {
        metric::store_called("list");
        let known = self.control.store.lock().position;
        let (operator, endpoints) =
            tokio::try_join!(client.list(OPERATOR_PREFIX), client.list(ENDPOINTS_PREFIX))?;
        if operator.position.era != endpoints.position.era {
            bail!("the store came back from an older copy between two listings");
        }
        // The watch starts at the lower revision, so that it reports the changes that were made
        // between the two listings.
        let listed = operator.position.min(endpoints.position);
        let position = StorePosition {
            era: listed.era.or(known.era),
            ..listed
        };
        if position < known {
            metric::store_word_dropped("older_listing");
            bail!("the store lists {position}, which is before {known}");
        }
        let known_at = *self.control.word_at.lock();
        self.note_answer();
        let control = &self.control;
        let items = operator.items.into_iter().chain(endpoints.items);
        let changes = items
            .filter_map(|item| decode_change(control, item))
            .collect();
        control
            .store
            .lock()
            .apply_listing(clock::now(), changes, position);
        info!(control.logger, "store: listed"; "position" => %position, "known" => %known);
        control.publish_store();
        note_changes(control, Way::Listing, known_at, Some(Duration::ZERO));
        self.changes.reset(position);
        self.publish_feed(true);
        Ok(())
    }

    /// Listens to a relay until it has changes or says that there are none.
    async fn listen_once(&mut self, ip: Ipv4Addr) -> anyhow::Result<()> {
        let control = &self.control;
        let call = {
            let store = control.store.lock();
            ListenToStore {
                after: match self.wants_state {
                    true => 0,
                    false => store.position.revision,
                },
                at_once: store.is_unreachable(),
                era: store.position.era.map(|era| era.0),
            }
        };
        let call = Body::ListenToStore(call);
        metric::store_called("relay");
        let answer = timeout(LISTEN_TIMEOUT, control.peers.call(ip, call)).await;
        match answer.context("the relay did not answer in time")?? {
            Body::StoreNews(news) if news.is_current => {
                let own = control.store.lock().position;
                let position = StorePosition {
                    era: news.era.map(StoreEra),
                    revision: news.revision,
                };
                if position.era < own.era {
                    bail!("the relay is in an earlier era of the store, or its build knows none");
                }
                let known_at = *control.word_at.lock();
                self.note_word(answering_since(news.answering_ms));
                self.wants_state = position.era != own.era;
                let read_age = news.changes.iter().map(|change| change.read_age_ms).max();
                let items = news.changes.into_iter().map(decode_item);
                if apply_changes(&self.control, items, position) {
                    let read_age = read_age.map(Duration::from_millis);
                    note_changes(&self.control, Way::Relay(ip), known_at, read_age);
                }
                Ok(())
            }
            Body::StoreNews(news) => {
                let error = anyhow!("the relay does not reach the store");
                if news.has_lost_store {
                    // A relay vouches for some time for what it has learned before.
                    let since = self.control.word_at.lock().map(|at| at - MAX_ANSWER_AGE);
                    self.note_unreachable(since, &error);
                }
                Err(error)
            }
            Body::State(state) => {
                let known_at = *control.word_at.lock();
                self.note_word(answering_since(state.answering_ms));
                self.wants_state = false;
                if apply_state(&self.control, ip, state) {
                    note_changes(&self.control, Way::Relay(ip), known_at, None);
                }
                Ok(())
            }
            _ => bail!("the relay sent an answer of the wrong type"),
        }
    }
}

/// Applies all changes from the ones before up to `position`, and returns whether any was new.
fn apply_changes(
    control: &Control,
    items: impl IntoIterator<Item = StoreItem>,
    position: StorePosition,
) -> bool {
    let changes = items
        .into_iter()
        .filter_map(|item| decode_change(control, item));
    let changes: Vec<StoreChange> = changes.collect();
    let (is_any_newer, is_later) = {
        let mut store = control.store.lock();
        let before = store.position;
        let is_any_newer = store.apply_changes(clock::now(), changes, position);
        (is_any_newer, store.position > before)
    };
    if is_any_newer || is_later {
        control.publish_store();
    }
    is_any_newer
}

/// Applies the state that another VM sent, if it is newer than that of this VM. Returns whether it is.
fn apply_state(control: &Control, ip: Ipv4Addr, state: FleetState) -> bool {
    let now = clock::now();
    let snapshot = decode_state(&control.logger, now, state);
    let position = snapshot.position;
    let (own, is_newer) = {
        let mut store = control.store.lock();
        (store.position, store.apply_snapshot(now, snapshot))
    };
    info!(control.logger, "store: received the state of another VM"; "vm" => %ip,
        "position" => %position, "own_position" => %own, "is_newer" => is_newer);
    if is_newer {
        control.publish_store();
    } else {
        metric::store_word_dropped("older_state");
    }
    is_newer
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

/// Returns since when the store has answered a relay that says for how long it has.
fn answering_since(answering_ms: u64) -> Time {
    clock::now() - Duration::from_millis(answering_ms)
}

/// Decodes an item of the store. Returns `None` for items that this system ignores, and for a
/// removed or invalid configuration, which leaves the former one in force.
fn decode_change(control: &Control, item: StoreItem) -> Option<StoreChange> {
    let StoreItem {
        key,
        revision,
        value,
    } = item;
    match key {
        StoreKey::Configuration => match decode_configuration(value?) {
            Ok(configuration) => {
                let in_force = control
                    .store
                    .lock()
                    .configuration()
                    .map(|known| known.version);
                info!(control.logger, "configuration: received";
                    "version" => configuration.version, "revision" => revision,
                    "in_force" => in_force, "bytes" => configuration.document.len());
                Some(StoreChange::Configuration(Arc::new(configuration)))
            }
            Err(error) => {
                error!(control.logger, "configuration: cannot be decoded, the former one stays";
                    "revision" => revision, "error" => format!("{error:#}"));
                None
            }
        },
        StoreKey::Evacuation(data_centre) => {
            info!(control.logger, "evacuation: changed"; "data_centre" => &data_centre,
                "evacuated" => value.is_some(), "revision" => revision);
            Some(StoreChange::Evacuation {
                data_centre,
                revision,
                is_evacuated: value.is_some(),
            })
        }
        StoreKey::Endpoint(id) => {
            let endpoint = value.and_then(|value| {
                let decoded = decode_endpoint(&id, &value, clock::now());
                decoded
                    .map_err(|error| {
                        warn!(control.logger, "endpoints: an entry cannot be used";
                            "endpoint" => &id, "error" => format!("{error:#}"));
                    })
                    .ok()
            });
            log_endpoint(control, &id, revision, endpoint.as_ref());
            Some(StoreChange::Endpoint {
                id,
                revision,
                endpoint: endpoint.map(Arc::new),
            })
        }
        StoreKey::Other => None,
    }
}

fn log_endpoint(control: &Control, id: &str, revision: u64, endpoint: Option<&Endpoint>) {
    let state = match endpoint {
        None => "gone",
        Some(endpoint) if !endpoint.is_ready => "leaving",
        Some(endpoint) if endpoint.cold_until > clock::now() => "cold",
        Some(_) => "ready",
    };
    info!(control.logger, "endpoints: an entry changed"; "endpoint" => id,
        "state" => state, "revision" => revision);
}

/// Applies what the view has scheduled: removes endpoints that did not register again after an outage of the
/// store, and ends what is held against a store that came back from an older copy.
pub(super) async fn expire_entries(control: Arc<Control>) {
    let mut view = control.view.subscribe();
    loop {
        let next_expiry = control.store.lock().next_expiry();
        let wait = next_expiry.map_or(Duration::MAX, |at| at.since(clock::now()));
        // A change may bring an earlier expiry.
        if let Ok(Err(_)) = timeout(wait, view.changed()).await {
            return;
        }
        if control.store.lock().expire(clock::now()) {
            control.publish_store();
        }
    }
}

/// Asks another VM for its state of the store while this VM cannot reach the store, or while its
/// watch does not deliver changes that the other VM already has.
pub(super) async fn fetch_newer_peer_state(control: Arc<Control>) {
    let started_at = clock::now();
    loop {
        let (own, max_lag) = {
            let store = control.store.lock();
            let is_unreachable = store.is_unreachable();
            let own = store.progress();
            let is_young = clock::now().since(started_at) < YOUNG_PERIOD;
            let may_have_read_copy = is_young && own.configuration_version > 0;
            let max_lag = if may_have_read_copy && control.lag.lock().lacks_configuration(&own) {
                Duration::ZERO
            } else if is_unreachable {
                STATE_REQUEST_DELAY
            } else {
                MAX_WATCH_LAG
            };
            (own, max_lag)
        };
        let due_at = control.lag.lock().due_at(own, max_lag);
        match due_at {
            None => {
                control.peer_is_newer.notified().await;
                continue;
            }
            Some(at) if at > clock::now() => {
                sleep(at.since(clock::now())).await;
                continue;
            }
            Some(_) => {}
        }
        let Some(ip) = control.lag.lock().take_newest() else {
            continue;
        };
        let known_at = *control.word_at.lock();
        if let Some(state) = fetch_state(&control, ip).await
            && apply_state(&control, ip, state)
        {
            note_changes(&control, Way::State(ip), known_at, None);
        }
        sleep(STATE_REQUEST_INTERVAL).await;
    }
}
