//! Follows the platform's store for one VM: listens to other VMs and calls the store, as `store_source` plans it.
//!
//! All calls run at the same time as tasks of their own, so that one that is not answered delays no other
//! (`docs/platform.md`, "The way of a change").

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context as _, anyhow};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use slog::{info, warn};
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{sleep, timeout};

use crate::clock;
use crate::decisions::change_log::{ChangeLog, LoggedChange};
use crate::decisions::store_source::{
    DOUBT_AGE, Plan, Role, SourceOrder, SourceWord, StoreCall, StoreSource, watches_store,
};
use crate::fleet::change_delay::{Way, note_changes};
use crate::fleet::control_state::Control;
use crate::fleet::metric;
use crate::fleet::model::FleetVm;
use crate::fleet::store_apply::{apply_changes, apply_state, decode_change, report_unreadable};
use crate::fleet::store_calls::{CallFault, StoreNewsOfCall, WATCH_WAIT, call_store};
use crate::fleet::store_feed::{DOUBT_HOLD_TIME, HOLD_TIME, StoreFeed, decode_item, logged};
use crate::fleet::store_listing::{FullListing, Listed};
use crate::fleet::wire::{Body, FleetState, ListenToStore, StoreNews};
use crate::platform::store::{CHECK_TIMEOUT, PROBE_TIMEOUT, StoreError, StoreItem};
use crate::units::{StoreEra, StorePosition, Time, VmId};

/// Time that an answer of another VM may take beyond the time for which that one holds the call.
const LISTEN_SLACK: Duration = Duration::from_millis(600);
/// Time for which a VM of a fleet that starts for the first time waits for VMs that know the store.
const FIRST_START_WAIT: Duration = Duration::from_millis(3_000);
/// Time after which the relays of such a fleet go ahead: the VMs have met by then.
const FIRST_START_MEETING: Duration = Duration::from_millis(1_000);
/// Time for which any other VM waits at its start for VMs that know the store.
const START_WAIT: Duration = Duration::from_millis(150);
/// Longest such wait of a VM that has heard of no other VM yet.
const ALONE_WAIT: Duration = Duration::from_millis(1_000);
/// Pause from the first record of another VM until the records of all VMs are there.
const RECORDS_PAUSE: Duration = Duration::from_millis(30);
/// Pause after a watch that brought changes, and shortest time between the starts of two watches, so that a series of
/// changes takes few calls. It has to be short: within two seconds a new configuration must be in force, and an
/// endpoint that was removed must get no more requests.
const CHANGES_PAUSE: Duration = Duration::from_millis(450);
/// Longest time without an answer of the store until a VM that watches it probes it.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);
/// Time for which a probe waits for a watch that is about to begin. In a series of changes each watch is answered at
/// once, and no probe is needed.
const WATCH_FIRST_PERIOD: Duration = Duration::from_millis(100);
/// Time that a watch has to bring a change that a probe has shown.
const PROBED_CHANGE_TIMEOUT: Duration = Duration::from_millis(150);
/// Pause after the second listing without an answered watch in between; it doubles with each further one.
const MIN_LISTING_PAUSE: Duration = Duration::from_millis(200);
/// Longest such pause.
const MAX_LISTING_PAUSE: Duration = Duration::from_millis(2_000);
/// Shortest wait between two rounds of the loop.
const MIN_ROUND: Duration = Duration::from_millis(2);

/// Follows the store until the process ends.
pub(super) async fn follow_store(control: Arc<Control>) {
    wait_for_fleet(&control).await;
    let mut follower = Follower::new(control);
    loop {
        let plan = follower.plan();
        let wake_at = follower.carry_out(&plan);
        follower.note_outage();
        follower.publish_feed(&plan);
        let wait = wake_at.since(clock::now()).max(MIN_ROUND);
        let offers = Arc::clone(&follower.control.offers);
        tokio::select! {
            Some(event) = follower.tasks.join_next() => match event {
                Ok(event) => follower.handle(event),
                Err(error) if error.is_panic() => std::panic::resume_unwind(error.into_panic()),
                // The task was aborted.
                Err(_) => {}
            },
            () = sleep(wait) => {}
            () = offers.is_new.notified() => follower.take_offers(),
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

/// End of a call that ran as a task.
enum Event {
    /// Another VM answered, or did not.
    Heard {
        ip: Ipv4Addr,
        called_at: Time,
        /// Position after which changes were asked for.
        after: StorePosition,
        answer: anyhow::Result<Body>,
    },
    /// The store answered, or did not.
    Called {
        number: u64,
        call: StoreCall,
        began_at: Time,
        answer: Result<StoreNewsOfCall, CallFault>,
    },
    /// The store answered a probe, or did not.
    Probed {
        began_at: Time,
        /// Whether the probe was made in doubt, and not beside a watch.
        is_in_doubt: bool,
        position: Result<StorePosition, StoreError>,
    },
}

/// Call to the store that is in progress.
struct CallInProgress {
    number: u64,
    call: StoreCall,
    began_at: Time,
    task: AbortHandle,
}

/// Follows the store for one VM.
struct Follower {
    control: Arc<Control>,
    source: StoreSource,
    order: SourceOrder,
    /// Version of the membership that `order` is of.
    order_version: u64,
    changes: Arc<ChangeLog<StoreItem>>,
    /// Since when the store has answered this VM or its sources without a break; `None` while it does not.
    answering_since: Option<Time>,
    /// When the store, or a source with recent word of it, last answered.
    answered_at: Time,
    /// When the store last may have answered this VM: a watch that waits does not show it.
    maybe_answered_at: Time,
    /// Since when the store does not answer this VM.
    lost_since: Option<Time>,
    /// Whether a source has said, since the last word, that the store does not answer it.
    heard_of_loss: bool,
    /// Whether the next call to a source asks for the whole state: a change of the era was noticed.
    wants_state: bool,
    tasks: JoinSet<Event>,
    /// When the last call to each source began that has not answered yet.
    listening_to: HashMap<Ipv4Addr, Time>,
    call: Option<CallInProgress>,
    last_call_number: u64,
    /// When the next watch may begin.
    watch_from: Time,
    /// Number of listings since the last watch that was answered with changes.
    listings_in_a_row: u32,
    is_probing: bool,
    /// When the last call began that the store has answered, or the last probe.
    asked_at: Time,
    /// A probe whose position has not been reached, with its begin and its end.
    unreached_probe: Option<(StorePosition, Time, Time)>,
    /// Sources whose failure has been logged since this VM last had recent word.
    reported: HashSet<Ipv4Addr>,
    was_in_doubt: bool,
    followed: Option<Way>,
    last_note_at: Option<Time>,
    rng: ChaCha8Rng,
}

impl Follower {
    fn new(control: Arc<Control>) -> Self {
        let now = clock::now();
        let order_version = control.gossip.lock().version();
        let order = SourceOrder::new(&control.own_vm, &live_vms(&control));
        Self {
            source: StoreSource::new(now),
            order,
            order_version,
            changes: Arc::default(),
            answering_since: None,
            answered_at: now,
            maybe_answered_at: now,
            lost_since: None,
            heard_of_loss: false,
            wants_state: false,
            tasks: JoinSet::new(),
            listening_to: HashMap::new(),
            call: None,
            last_call_number: 0,
            watch_from: now,
            listings_in_a_row: 0,
            is_probing: false,
            asked_at: now,
            unreached_probe: None,
            reported: HashSet::new(),
            was_in_doubt: false,
            followed: None,
            last_note_at: None,
            rng: ChaCha8Rng::seed_from_u64(u64::from(u32::from(control.own_vm.ip))),
            control,
        }
    }

    fn plan(&mut self) -> Plan {
        let version = self.control.gossip.lock().version();
        if self.order_version != version {
            self.order_version = version;
            self.order = SourceOrder::new(&self.control.own_vm, &live_vms(&self.control));
        }
        let word_at = *self.control.word_at.lock();
        let plan = self.source.plan(clock::now(), &self.order, word_at);
        self.log_source(&plan, word_at);
        plan
    }

    /// Logs a change of whom this VM follows.
    fn log_source(&mut self, plan: &Plan, word_at: Option<Time>) {
        let logger = &self.control.logger;
        if plan.is_in_doubt {
            if !self.was_in_doubt {
                let age = word_at.map(|at| clock::now().since(at).as_millis() as u64);
                info!(logger, "store: its word is late, asking all sources"; "age_ms" => age,
                    "sources" => plan.listen_to.len());
            }
            self.was_in_doubt = true;
            self.followed = None;
            return;
        }
        self.was_in_doubt = false;
        self.reported.clear();
        let through = match (plan.store_call, plan.listen_to.first()) {
            (Some(StoreCall::Watch), _) => Way::Watch,
            (_, Some(ip)) => Way::Relay(*ip),
            (_, None) => return,
        };
        if self.followed.replace(through) != Some(through) {
            let through = match through {
                Way::Relay(ip) => format!("Relay({ip})"),
                _ => "Store".to_owned(),
            };
            info!(logger, "store: following it"; "through" => through);
        }
    }

    /// Starts and ends calls according to the plan, and returns when to plan again at the latest.
    fn carry_out(&mut self, plan: &Plan) -> Time {
        let now = clock::now();
        let mut wake_at = plan.next_at;
        for ip in &plan.listen_to {
            if !self.listening_to.contains_key(ip) {
                self.listening_to.insert(*ip, now);
                self.listen(*ip, plan, now);
            }
        }
        if plan.is_probe_due && !self.is_probing {
            self.source.on_probe_began(now);
            self.start_probe(now, true);
        }
        let in_progress = self.call.as_ref().map(|call| call.call);
        if in_progress == Some(StoreCall::Watch) && plan.store_call != in_progress {
            self.abort_call();
        }
        match plan.store_call {
            Some(StoreCall::Watch) if self.call.is_none() && now < self.watch_from => {
                wake_at = wake_at.min(self.watch_from);
            }
            Some(call) if self.call.is_none() => self.call_store(call),
            _ => {}
        }
        if plan.store_call == Some(StoreCall::Watch) && self.order.role != Role::Direct {
            wake_at = wake_at.min(self.probe(now));
        }
        wake_at
    }

    /// Listens to another VM until it has changes or a later word, or says that there are none.
    fn listen(&mut self, ip: Ipv4Addr, plan: &Plan, called_at: Time) {
        metric::store_called("relay");
        let after = self.control.store.lock().position;
        // An offer is made again soon: its receiver may not have noticed yet that it has no word.
        let hold_time = if plan.is_in_doubt || plan.is_offering {
            DOUBT_HOLD_TIME
        } else {
            HOLD_TIME
        };
        let word_at = *self.control.word_at.lock();
        let call = ListenToStore {
            after: if self.wants_state { 0 } else { after.revision },
            at_once: plan.is_in_doubt,
            era: after.era.map(|era| era.0),
            hold_ms: Some(hold_time.as_millis() as u64),
            word_age_ms: word_at.map(|at| called_at.since(at).as_millis() as u64),
            listener_ip: u32::from(self.control.own_vm.ip),
        };
        let peers = Arc::clone(&self.control.peers);
        self.tasks.spawn(async move {
            let answer = peers.call(ip, Body::ListenToStore(call));
            let answer = timeout(hold_time + LISTEN_SLACK, answer).await;
            let answer = answer
                .context("no answer in time")
                .and_then(|answer| answer);
            Event::Heard {
                ip,
                called_at,
                after,
                answer,
            }
        });
    }

    fn call_store(&mut self, call: StoreCall) {
        self.source.on_call_began();
        self.last_call_number += 1;
        let number = self.last_call_number;
        let began_at = clock::now();
        let control = Arc::clone(&self.control);
        let task = self.tasks.spawn(async move {
            let answer = call_store(&control, call).await;
            Event::Called {
                number,
                call,
                began_at,
                answer,
            }
        });
        self.call = Some(CallInProgress {
            number,
            call,
            began_at,
            task,
        });
    }

    fn abort_call(&mut self) {
        if let Some(call) = self.call.take() {
            call.task.abort();
        }
    }

    /// Probes the store while a watch waits, which shows nothing until a change comes: a VM that has lost the store would
    /// go on telling its listeners that nothing changed. Returns when there is something to do.
    fn probe(&mut self, now: Time) -> Time {
        let watch_from = self.watch_from;
        let due_at = |asked_at: Time| {
            let at = asked_at + PROBE_INTERVAL;
            let is_watch_next = at < watch_from && watch_from.since(at) <= WATCH_FIRST_PERIOD;
            if is_watch_next {
                watch_from + WATCH_FIRST_PERIOD
            } else {
                at
            }
        };
        let mut next_at = due_at(self.asked_at);
        if now >= next_at && !self.is_probing {
            next_at = due_at(now);
            self.asked_at = now;
            self.start_probe(now, false);
        }
        let watch = self
            .call
            .as_ref()
            .filter(|call| call.call == StoreCall::Watch);
        if self.is_probing {
            next_at = next_at.max(now + PROBE_INTERVAL);
        }
        let (Some(watch), Some((_, _, ended_at))) = (watch, self.unreached_probe) else {
            return next_at;
        };
        let overdue_at = watch.began_at.max(ended_at) + PROBED_CHANGE_TIMEOUT;
        if now >= overdue_at {
            // The connection of the watch carries nothing any more, or the store has forgotten it.
            info!(
                self.control.logger,
                "store: a watch does not bring a change that is there"
            );
            self.unreached_probe = None;
            self.source.on_store_unsure();
            return now;
        }
        overdue_at.min(next_at)
    }

    fn start_probe(&mut self, began_at: Time, is_in_doubt: bool) {
        metric::store_called("probe");
        self.is_probing = true;
        let client = self.control.store_client();
        // In doubt, a store that answers slowly serves this VM too.
        let max_time = if is_in_doubt {
            CHECK_TIMEOUT
        } else {
            PROBE_TIMEOUT
        };
        self.tasks.spawn(async move {
            Event::Probed {
                began_at,
                is_in_doubt,
                position: client.probe(max_time).await,
            }
        });
    }

    fn take_offers(&mut self) {
        for ip in self.control.offers.take() {
            self.source.on_offer(clock::now(), ip);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Heard {
                ip,
                called_at,
                after,
                answer,
            } => {
                if self.listening_to.get(&ip) == Some(&called_at) {
                    self.listening_to.remove(&ip);
                }
                if let Err(error) = self.on_heard(ip, called_at, after, answer) {
                    self.source.on_source_failed(clock::now(), ip, called_at);
                    self.report(ip, &error);
                }
            }
            Event::Called {
                number,
                call,
                began_at,
                answer,
            } => {
                self.call.take_if(|call| call.number == number);
                match answer {
                    Ok(news) => self.on_store_news(call, began_at, news),
                    Err(error) => self.on_store_failure(call, began_at, &error),
                }
            }
            Event::Probed {
                began_at,
                is_in_doubt,
                position,
            } => {
                self.is_probing = false;
                match position {
                    // A stale read shows that the store serves this VM, and nothing about the present state without
                    // a watch beside it.
                    Ok(_) if is_in_doubt => self.source.on_probe_answered(),
                    Ok(position) => self.on_probed(began_at, position),
                    Err(_) => {}
                }
            }
        }
    }

    fn on_store_news(&mut self, call: StoreCall, began_at: Time, news: StoreNewsOfCall) {
        let now = clock::now();
        let known_at = *self.control.word_at.lock();
        self.asked_at = self.asked_at.max(began_at);
        if self.was_in_doubt {
            // Calls from before state an older word than the one that is offered now.
            self.listening_to.clear();
        }
        self.source.on_store_answer(now);
        self.maybe_answered_at = now;
        // Entries that lapsed in an outage have to be known as such when their removal is applied.
        self.note_answering(now);
        if let Some(since) = self.lost_since.take() {
            info!(self.control.logger, "store: answers again";
                "outage_ms" => now.since(since).as_millis() as u64);
        }
        let mut read_at = began_at;
        let (is_any_newer, way) = match news {
            StoreNewsOfCall::Changes(after, answer) => {
                report_unreadable(&self.control, &answer.unreadable);
                self.listings_in_a_row = 0;
                let logged = answer.items.iter().cloned().map(|item| logged(item, now));
                self.extend_log(after, answer.position.revision, logged);
                let is_any_newer = apply_changes(&self.control, answer.items, answer.position);
                let way = match call {
                    StoreCall::Watch => Way::Watch,
                    StoreCall::Check => Way::Check,
                };
                (is_any_newer, way)
            }
            StoreNewsOfCall::Listing(listed) => {
                read_at = listed.read_at;
                self.apply_listing(listed);
                (true, Way::Listing)
            }
        };
        // A watch may also end at once without changes, or with changes of items that are not used here.
        self.watch_from = match way {
            Way::Watch | Way::Check if is_any_newer => now + CHANGES_PAUSE,
            Way::Watch => began_at + CHANGES_PAUSE,
            Way::Listing => now + self.listing_pause(),
            _ => now,
        };
        self.note_word(read_at);
        if is_any_newer {
            note_changes(&self.control, way, known_at, Some(Duration::ZERO));
        }
    }

    fn apply_listing(&mut self, listed: Listed) {
        let now = clock::now();
        let Listed {
            position,
            changes,
            later,
            ..
        } = listed;
        let control = &self.control;
        let known = control.store.lock().position;
        let later = later.map(|answer| {
            report_unreadable(control, &answer.unreadable);
            let items = answer.items.iter().cloned();
            let decoded: Vec<_> = items
                .filter_map(|item| decode_change(control, item))
                .collect();
            (decoded, answer)
        });
        let is_applied = {
            // Nobody sees the listing without the later changes.
            let mut store = control.store.lock();
            let is_applied = store.apply_listing(now, changes, position);
            if let Some((decoded, answer)) = &later {
                store.apply_changes(now, decoded.iter().cloned(), answer.position);
            }
            is_applied
        };
        info!(control.logger, "store: listed"; "position" => %position, "known" => %known,
            "is_applied" => is_applied);
        control.publish_store();
        if is_applied {
            Arc::make_mut(&mut self.changes).reset(position);
        }
        if let Some((_, answer)) = later {
            let items = answer.items.into_iter().map(|item| logged(item, now));
            self.extend_log(position, answer.position.revision, items);
        }
    }

    /// Returns the pause after a listing: none after the first one, so that nothing is missed, and longer ones while each
    /// watch leads to another listing.
    fn listing_pause(&mut self) -> Duration {
        let pause = match self.listings_in_a_row {
            0 => Duration::ZERO,
            before => MIN_LISTING_PAUSE * 2_u32.saturating_pow(before.min(8) - 1),
        };
        self.listings_in_a_row += 1;
        pause.min(MAX_LISTING_PAUSE)
    }

    fn on_store_failure(&mut self, call: StoreCall, began_at: Time, error: &CallFault) {
        let now = clock::now();
        let is_starting = self.control.word_at.lock().is_none();
        if error.is_refusal() && is_starting {
            self.source
                .on_listing_refused(now, &self.order, self.rng.random());
        }
        if error.has_progressed() {
            self.maybe_answered_at = now;
            if is_starting {
                self.lost_since = None;
            }
            self.source.on_call_interrupted(now, self.rng.random());
            return;
        }
        if call == StoreCall::Watch {
            let was_silent = now.since(began_at) > WATCH_WAIT;
            let maybe_answered_at = if was_silent { began_at } else { now };
            self.maybe_answered_at = self.maybe_answered_at.max(maybe_answered_at);
            info!(self.control.logger, "store: a watch ended without an answer";
                "error" => %error);
            self.source.on_store_unsure();
            return;
        }
        self.source.on_store_failed(now, self.rng.random());
        if is_starting && self.source.is_listing(now) {
            // One lost page is no loss of the store, and others may leave the listing to this VM.
            self.lost_since = None;
            return;
        }
        if self
            .lost_since
            .replace(self.lost_since.unwrap_or(now))
            .is_none()
        {
            warn!(self.control.logger, "store: cannot be reached"; "error" => %error,
                "position" => %self.control.store.lock().position);
        }
    }

    /// Takes the position that a probe has shown: all changes up to it that this VM has were there when the probe began.
    fn on_probed(&mut self, began_at: Time, position: StorePosition) {
        let known = self.changes.position();
        if position.era > known.era {
            self.source.on_store_unsure();
        } else if position.era < known.era {
            metric::store_word_dropped("earlier_era");
        } else if position.revision <= known.revision {
            self.unreached_probe = None;
            self.note_word(began_at);
        } else {
            self.unreached_probe = Some((position, began_at, clock::now()));
        }
    }

    /// Adds changes to the log for listeners. A log that lacks some before them starts again.
    fn extend_log(
        &mut self,
        after: StorePosition,
        revision: u64,
        changes: impl IntoIterator<Item = LoggedChange<StoreItem>>,
    ) {
        let known = self.changes.position();
        let is_known = after.era == known.era && after.revision.max(revision) <= known.revision;
        if !is_known {
            Arc::make_mut(&mut self.changes).extend(after, revision, changes);
        }
        let known = self.changes.position();
        if let Some((_, began_at, _)) = self
            .unreached_probe
            .take_if(|(position, ..)| *position <= known)
        {
            self.note_word(began_at);
        }
    }

    fn on_heard(
        &mut self,
        ip: Ipv4Addr,
        called_at: Time,
        after: StorePosition,
        answer: anyhow::Result<Body>,
    ) -> anyhow::Result<()> {
        match answer? {
            Body::StoreNews(news) => self.on_source_news(ip, called_at, after, news),
            Body::State(state) => {
                self.on_source_state(ip, called_at, state);
                Ok(())
            }
            _ => Err(anyhow!("an answer of the wrong type")),
        }
    }

    fn on_source_news(
        &mut self,
        ip: Ipv4Addr,
        called_at: Time,
        after: StorePosition,
        news: StoreNews,
    ) -> anyhow::Result<()> {
        let now = clock::now();
        let own = self.control.store.lock().position;
        let position = StorePosition {
            era: news.era.map(StoreEra),
            revision: news.revision,
        };
        let word = |is_recent| SourceWord {
            is_recent,
            has_lost_store: news.has_lost_store,
            asks_store: news.asks_store,
        };
        // An earlier build does not say how old its word is, and sends no changes when it is old.
        let word_at = match news.word_offset_ms {
            Some(offset_ms) => Some(offset_by(called_at, offset_ms)),
            None => news.is_current.then_some(now),
        };
        // A VM that has lost its log has nothing to pass on yet, whatever its word.
        let knows_store = position != StorePosition::default();
        let Some(word_at) = word_at.filter(|_| knows_store && position.era >= own.era) else {
            self.heard_of_loss |= news.has_lost_store;
            self.source.on_source_word(now, ip, called_at, word(false));
            self.report(
                ip,
                &anyhow!("it has no word, or is in an earlier era of the store"),
            );
            return Ok(());
        };
        self.wants_state = position.era != own.era;
        if self.wants_state {
            // What lies between is not known; the next call brings the whole state.
            return Ok(());
        }
        let is_recent = now.since(word_at) < DOUBT_AGE;
        if is_recent {
            self.note_answering(now - Duration::from_millis(news.answering_ms));
        }
        let known_at = *self.control.word_at.lock();
        let read_age = news.changes.iter().map(|change| change.read_age_ms).max();
        let changes = news.changes.into_iter().map(|change| {
            let read_at = now - Duration::from_millis(change.read_age_ms);
            (decode_item(change), read_at)
        });
        let changes: Vec<(StoreItem, Time)> = changes.collect();
        let logged = changes
            .iter()
            .map(|(item, read_at)| logged(item.clone(), *read_at));
        self.extend_log(after, position.revision, logged);
        let items = changes.into_iter().map(|(item, _)| item);
        let is_any_newer = apply_changes(&self.control, items, position);
        self.note_word(word_at);
        if is_any_newer {
            let read_age = read_age.map(Duration::from_millis);
            note_changes(&self.control, Way::Relay(ip), known_at, read_age);
        }
        self.heard_of_loss |= !is_recent && news.has_lost_store;
        self.source
            .on_source_word(now, ip, called_at, word(is_recent));
        if !is_recent {
            self.report(ip, &anyhow!("its word is {:?} old", now.since(word_at)));
        }
        Ok(())
    }

    fn on_source_state(&mut self, ip: Ipv4Addr, called_at: Time, state: FleetState) {
        let now = clock::now();
        let known_at = *self.control.word_at.lock();
        self.wants_state = false;
        let word_at = match state.word_offset_ms {
            Some(offset_ms) => offset_by(called_at, offset_ms),
            None => now,
        };
        let is_recent = now.since(word_at) < DOUBT_AGE;
        if is_recent {
            self.note_answering(now - Duration::from_millis(state.answering_ms));
        }
        let position = StorePosition {
            era: state.era.map(StoreEra),
            revision: state.store_revision,
        };
        let is_any_newer = apply_state(&self.control, ip, state);
        let own = self.control.store.lock().position;
        if own >= position {
            // Without this, the log would have the word and lack changes before it.
            Arc::make_mut(&mut self.changes).reset(own);
            self.note_word(word_at);
        }
        if is_any_newer {
            note_changes(&self.control, Way::Relay(ip), known_at, None);
        }
        let word = SourceWord {
            is_recent,
            has_lost_store: false,
            asks_store: false,
        };
        self.source.on_source_word(now, ip, called_at, word);
    }

    /// Logs once that a source has no word, until this VM has recent word again.
    fn report(&mut self, ip: Ipv4Addr, error: &anyhow::Error) {
        if self.reported.insert(ip) {
            info!(self.control.logger, "store: a relay has no word of it"; "vm" => %ip,
                "error" => format!("{error:#}"));
        }
    }

    /// Notes that this VM has all changes up to `word_at`.
    fn note_word(&mut self, word_at: Time) {
        let before = {
            let mut known_at = self.control.word_at.lock();
            if *known_at >= Some(word_at) {
                return;
            }
            known_at.replace(word_at)
        };
        if before.is_none() {
            *self.control.listing.lock() = FullListing::default();
        }
        let now = clock::now();
        if let Some(before) = self.last_note_at.replace(now) {
            metric::store_word_gap(now.since(before));
        }
    }

    /// Notes that the store answers this VM or a source, and has done so since `since` at the latest.
    fn note_answering(&mut self, since: Time) {
        let now = clock::now();
        self.answered_at = now;
        self.heard_of_loss = false;
        if matches!(self.order.role, Role::Deputy | Role::Listener) {
            // This VM does not ask the store any more, and does not know whether it answers.
            self.lost_since = None;
        }
        let since = self.answering_since.map_or(since, |known| known.min(since));
        self.answering_since = Some(since);
        let outage = self.control.store.lock().on_answer(now, since);
        if let Some(outage) = outage {
            info!(self.control.logger, "store: word of it again";
                "outage_ms" => outage.as_millis() as u64);
        }
    }

    /// Notes an outage of the store once it answers neither this VM nor a source.
    fn note_outage(&mut self) {
        let now = clock::now();
        let word_at = *self.control.word_at.lock();
        let is_late = word_at.is_none_or(|at| now.since(at) >= DOUBT_AGE);
        let is_lost = self
            .lost_since
            .is_some_and(|at| is_late || at > self.answered_at);
        let is_outage = is_lost || (is_late && self.heard_of_loss);
        if !is_outage {
            return;
        }
        self.answering_since = None;
        let since = self.maybe_answered_at.max(word_at.unwrap_or(Time::ZERO));
        let mut store = self.control.store.lock();
        if store.on_unreachable(now, since) {
            warn!(self.control.logger, "store: no word of it"; "position" => %store.position);
        }
    }

    /// Publishes what this VM knows for listeners, if it has changed.
    fn publish_feed(&self, plan: &Plan) {
        let word_at = *self.control.word_at.lock();
        // A VM that starts says only what its own calls have shown. That others cannot reach the store says nothing of
        // those that list it.
        let has_lost_word = word_at.is_some() && self.control.store.lock().is_unreachable();
        let next = StoreFeed {
            changes: Arc::clone(&self.changes),
            word_at,
            answering_since: self.answering_since,
            has_lost_store: self.lost_since.is_some() || has_lost_word,
            asks_store: plan.store_call.is_some() || self.source.is_listing(clock::now()),
        };
        self.control.feed.send_if_modified(|feed| {
            let is_same = feed.word_at == next.word_at
                && Arc::ptr_eq(&feed.changes, &next.changes)
                && feed.has_lost_store == next.has_lost_store
                && feed.asks_store == next.asks_store;
            if !is_same {
                *feed = Arc::new(next);
            }
            !is_same
        });
    }
}

/// Returns the time that is `offset_ms` after `time`, or before it if that is below 0.
fn offset_by(time: Time, offset_ms: i64) -> Time {
    let offset = Duration::from_millis(offset_ms.unsigned_abs());
    match offset_ms < 0 {
        true => time - offset,
        false => time + offset,
    }
}
