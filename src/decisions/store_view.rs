//! A VM's copy of the platform's store: configuration, endpoints and evacuations.
//!
//! State never goes back while a process runs: an older configuration is ignored, and an item is
//! replaced only by one of a higher revision. Entries that expired while the store was unreachable
//! are kept for a short time after it answers again, since live endpoints register again. This
//! handles a store that is down, slow, lagging or has dropped its history.
//!
//! A view is complete at its revision: it has every change up to it. A listing, the answer to a watch
//! or the state of another VM can be overtaken by another of them, and what is overtaken must not be
//! applied (`docs/platform.md`, "Endpoints that leave").
//!
//! A store that comes back from an older copy begins a new era, in which its revisions go back and are given out
//! again. What this VM knows from the era before then holds against the copy until the items have been
//! written again (`docs/platform.md`, "A store that comes back from an older copy").

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use crate::decisions::revision_lag::StoreProgress;
use crate::fleet::model::{Configuration, Endpoint};
use crate::units::{StoreEra, StorePosition, Time};

/// Number of removed items of each kind that are known as such. Those of the last seconds matter, in which a copy may have
/// been made from which the store comes back.
const MAX_REMOVED_ITEMS: usize = 2_048;

/// Settings of the view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreViewConfig {
    /// Minimum length of an outage during which entries may have expired: a registration is valid
    /// for three heartbeat intervals of its endpoint.
    pub min_expiry_outage: Duration,
    /// Time after such an outage in which removed endpoints stay listed, since live endpoints
    /// register again.
    pub re_registration_grace: Duration,
    /// Time from the start of an outage in which reports of other VMs may still be of changes
    /// from before it.
    pub report_delay: Duration,
    /// Time from the start of a new era in which the store may still list what is no longer so: until the
    /// registrations of endpoints that are gone have lapsed, and what was written after the copy is written
    /// again.
    pub restore_hold: Duration,
}

impl Default for StoreViewConfig {
    fn default() -> Self {
        Self {
            min_expiry_outage: Duration::from_millis(1_000),
            re_registration_grace: Duration::from_millis(2_300),
            report_delay: Duration::from_millis(2_000),
            restore_hold: Duration::from_millis(6_000),
        }
    }
}

/// A change of one item of the store, decoded.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreChange {
    /// A configuration was published.
    Configuration(Arc<Configuration>),
    /// An evacuation of a data centre was requested or ended.
    Evacuation {
        /// Name of the data centre.
        data_centre: String,
        /// Revision of the change.
        revision: u64,
        /// Whether the data centre is to be evacuated now.
        is_evacuated: bool,
    },
    /// An endpoint's entry was written or removed.
    Endpoint {
        /// Id of the endpoint.
        id: String,
        /// Revision of the change.
        revision: u64,
        /// The endpoint as registered; `None` if it is not to be used.
        endpoint: Option<Arc<Endpoint>>,
    },
}

impl StoreChange {
    /// Returns the revision of the change; `None` for a configuration, which has a version instead.
    fn revision(&self) -> Option<u64> {
        match self {
            Self::Configuration(_) => None,
            Self::Evacuation { revision, .. } | Self::Endpoint { revision, .. } => Some(*revision),
        }
    }
}

/// A state of an endpoint's entry that replaces the present one unless the store reports a change before.
#[derive(Debug, Clone, PartialEq)]
pub struct ScheduledEntry {
    /// When it does.
    pub at: Time,
    /// The endpoint from then on; `None` if it is not to be used.
    pub endpoint: Option<Arc<Endpoint>>,
}

/// An endpoint's entry, as one VM sends it to another.
#[derive(Debug, Clone, PartialEq)]
pub struct SnapshotEntry {
    /// Id of the endpoint.
    pub id: String,
    /// Revision of the entry's last change. For an entry with a later state this is the change to that.
    pub revision: u64,
    /// The endpoint as registered; `None` for one that is not used yet.
    pub endpoint: Option<Arc<Endpoint>>,
    /// The later state of the entry, if there is one.
    pub next: Option<ScheduledEntry>,
}

/// The complete state of the store at one position, as one VM knows it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct StoreSnapshot {
    /// Position that the state reflects.
    pub position: StorePosition,
    /// The configuration in force.
    pub configuration: Option<Arc<Configuration>>,
    /// Names of the evacuated data centres.
    pub evacuated: Vec<String>,
    /// Evacuations that the store does not list, with the times at which they end.
    pub held_evacuations: Vec<(String, Time)>,
    /// Entries of all listed endpoints: also of those that drain, are evacuated, are about to expire or are not
    /// used yet.
    pub entries: Vec<SnapshotEntry>,
}

/// The newest known state of an endpoint's entry.
#[derive(Debug)]
struct Entry {
    revision: u64,
    endpoint: Option<Arc<Endpoint>>,
    next: Option<ScheduledEntry>,
    /// Start of the endpoint's process as it registered last, in milliseconds since the Unix epoch.
    started_ms: u64,
}

impl Entry {
    /// Returns the entry of an endpoint that is not known.
    fn unknown() -> Self {
        Self {
            revision: 0,
            endpoint: None,
            next: None,
            started_ms: 0,
        }
    }

    /// Returns when the present endpoint stops being used.
    fn expires_at(&self) -> Option<Time> {
        let next = self.next.as_ref()?;
        next.endpoint.is_none().then_some(next.at)
    }

    /// Returns whether the store does not list the endpoint, and it is not used.
    fn is_removed(&self) -> bool {
        self.endpoint.is_none() && self.next.is_none()
    }

    fn set_endpoint(&mut self, endpoint: Option<Arc<Endpoint>>) {
        if let Some(endpoint) = &endpoint {
            self.started_ms = endpoint.started_ms;
        }
        self.endpoint = endpoint;
        self.next = None;
    }
}

/// Whether a data centre is evacuated.
#[derive(Debug)]
struct Evacuation {
    revision: u64,
    is_evacuated: bool,
    /// When the evacuation ends unless the store lists it before.
    ends_at: Option<Time>,
}

/// A time in which this VM's calls to the store fail.
#[derive(Debug)]
struct Outage {
    /// When the store last may have answered: the outage is no longer than from here.
    since: Time,
    /// When this VM noticed that the store does not answer.
    noticed_at: Time,
    /// Newest position that any VM has reached.
    newest_position: StorePosition,
    /// When a new revision showed that the store answers other VMs, so that live endpoints can
    /// register.
    served_others_at: Option<Time>,
}

/// The state of the store after all changes that this VM has received.
#[derive(Debug, Default)]
pub struct StoreView {
    config: StoreViewConfig,
    configuration: Option<Arc<Configuration>>,
    /// Evacuations by data centre. Their revisions and those of the entries are of the era of `position`.
    evacuations: BTreeMap<String, Evacuation>,
    entries: BTreeMap<String, Entry>,
    /// Ids of entries that were removed, oldest first. One that has registered again since may be among them.
    removed: VecDeque<String>,
    /// Newest position that the view reflects.
    pub position: StorePosition,
    /// `None` while the store answers.
    outage: Option<Outage>,
    /// When the last outage ended in which entries may have expired: when the store answered this
    /// VM again, or another VM before.
    returned_at: Option<Time>,
}

impl StoreView {
    /// Creates an empty view.
    pub fn new(config: StoreViewConfig) -> Self {
        Self {
            config,
            ..Self::default()
        }
    }

    /// Records that the store does not answer, and has not done so since `since` at the earliest. Returns whether
    /// that was unknown.
    ///
    /// A watch that fails says little: it may be cut by a sound store. Only a call that is answered without a
    /// wait shows an outage and its end.
    pub fn on_unreachable(&mut self, now: Time, since: Time) -> bool {
        let is_first = self.outage.is_none();
        self.outage.get_or_insert(Outage {
            since,
            noticed_at: now,
            newest_position: self.position,
            served_others_at: None,
        });
        is_first
    }

    /// Records that another VM has reached a position.
    pub fn on_peer_position(&mut self, now: Time, position: impl Into<StorePosition>) {
        let position = position.into();
        let report_delay = self.config.report_delay;
        let Some(outage) = &mut self.outage else {
            return;
        };
        if position <= outage.newest_position {
            return;
        }
        outage.newest_position = position;
        if now.since(outage.noticed_at) >= report_delay {
            outage.served_others_at.get_or_insert(now);
        }
    }

    /// Records that the store answers, and has done so since `since` at the latest: a relay may have had its
    /// answers for longer than its listener. Returns the length of the outage that this ends, if any.
    pub fn on_answer(&mut self, now: Time, since: Time) -> Option<Duration> {
        let outage = self.outage.take()?;
        let length = now.since(outage.since);
        if length >= self.config.min_expiry_outage {
            let returned_at = outage.served_others_at.unwrap_or(now);
            self.returned_at = Some(returned_at.min(since));
        }
        Some(length)
    }

    /// Returns whether the last call to the store failed.
    pub fn is_unreachable(&self) -> bool {
        self.outage.is_some()
    }

    /// Returns how far this VM has followed the store.
    pub fn progress(&self) -> StoreProgress {
        StoreProgress {
            position: self.position,
            configuration_version: self.configuration.as_ref().map_or(0, |known| known.version),
        }
    }

    /// Returns the configuration in force.
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.configuration.as_ref()
    }

    /// Returns all listed endpoints.
    pub fn endpoints(&self) -> impl Iterator<Item = &Arc<Endpoint>> {
        self.entries
            .values()
            .filter_map(|entry| entry.endpoint.as_ref())
    }

    /// Returns the names of the evacuated data centres.
    pub fn evacuated(&self) -> impl Iterator<Item = &str> {
        let evacuated = self
            .evacuations
            .iter()
            .filter(|(_, evacuation)| evacuation.is_evacuated);
        evacuated.map(|(name, _)| name.as_str())
    }

    /// Applies a change if it is newer than the known state of its item, and returns whether it is.
    pub fn apply(&mut self, now: Time, change: StoreChange) -> bool {
        match change {
            StoreChange::Configuration(configuration) => {
                let known = self.configuration.as_ref().map_or(0, |known| known.version);
                let is_newer = self.configuration.is_none() || configuration.version > known;
                if is_newer {
                    self.configuration = Some(configuration);
                }
                is_newer
            }
            StoreChange::Evacuation {
                data_centre,
                revision,
                is_evacuated,
            } => {
                let known = self.evacuations.get(&data_centre);
                let is_newer = known.is_none_or(|known| revision > known.revision);
                if is_newer {
                    let evacuation = Evacuation {
                        revision,
                        is_evacuated,
                        ends_at: None,
                    };
                    self.evacuations.insert(data_centre, evacuation);
                }
                is_newer
            }
            StoreChange::Endpoint {
                id,
                revision,
                endpoint,
            } => self.apply_endpoint(now, id, revision, endpoint),
        }
    }

    /// Applies the answer to a watch, which has all changes from the one before up to `position`.
    /// Returns whether any of them is newer than the known state of its item. Changes of another era are not
    /// applied, since others may be missing before them.
    pub fn apply_changes(
        &mut self,
        now: Time,
        changes: impl IntoIterator<Item = StoreChange>,
        position: impl Into<StorePosition>,
    ) -> bool {
        let position = position.into();
        if position.era != self.position.era {
            return false;
        }
        // The state of another VM may have arrived during the watch. An endpoint that registered and
        // left before that state is unknown here, and the next watch will not bring its removal.
        let known_revision = self.position.revision;
        let mut is_any_newer = false;
        for change in changes {
            let is_overtaken = change
                .revision()
                .is_some_and(|revision| revision <= known_revision);
            is_any_newer |= !is_overtaken && self.apply(now, change);
        }
        self.position = self.position.max(position);
        self.forget_removed();
        is_any_newer
    }

    /// Applies a complete listing of the store at `position`, unless a newer state is known. Known items that are
    /// not in it count as removed, but for those that the store may have lost in a new era. Returns whether it
    /// was applied.
    pub fn apply_listing(
        &mut self,
        now: Time,
        changes: Vec<StoreChange>,
        position: impl Into<StorePosition>,
    ) -> bool {
        let position = position.into();
        if position < self.position {
            return false;
        }
        let restored = self.enter_era(now, position.era);
        let mut listed = Listed::default();
        for change in changes {
            listed.note(&change);
            match change {
                StoreChange::Endpoint {
                    id,
                    revision,
                    endpoint: Some(endpoint),
                } => {
                    self.apply_listed(now, id, revision, endpoint, restored.as_ref());
                }
                change => {
                    self.apply(now, change);
                }
            }
        }
        self.remove_unlisted(now, position, &listed, restored.as_ref());
        true
    }

    /// Returns the complete state for another VM.
    pub fn snapshot(&self) -> StoreSnapshot {
        let entry = |(id, entry): (&String, &Entry)| {
            let is_listed = entry.endpoint.is_some() || entry.next.is_some();
            is_listed.then(|| SnapshotEntry {
                id: id.clone(),
                revision: entry.revision,
                endpoint: entry.endpoint.clone(),
                next: entry.next.clone(),
            })
        };
        let in_effect = self
            .evacuations
            .iter()
            .filter(|(_, evacuation)| evacuation.is_evacuated);
        let (held, listed): (Vec<_>, Vec<_>) =
            in_effect.partition(|(_, evacuation)| evacuation.ends_at.is_some());
        let held = held.into_iter();
        StoreSnapshot {
            position: self.position,
            configuration: self.configuration.clone(),
            evacuated: listed.into_iter().map(|(name, _)| name.clone()).collect(),
            held_evacuations: held
                .filter_map(|(name, evacuation)| Some((name.clone(), evacuation.ends_at?)))
                .collect(),
            entries: self.entries.iter().filter_map(entry).collect(),
        }
    }

    /// Applies another VM's state of the store if it is newer than this one. Of any other, its configuration counts if
    /// that is newer, and what it holds against a store that came back from an older copy. Returns whether anything was
    /// applied.
    pub fn apply_snapshot(&mut self, now: Time, snapshot: StoreSnapshot) -> bool {
        let position = snapshot.position;
        let configuration = snapshot.configuration.map(StoreChange::Configuration);
        let is_configuration_newer =
            configuration.is_some_and(|configuration| self.apply(now, configuration));
        if position <= self.position {
            let may_hold = position.era == self.position.era;
            let holds =
                may_hold && self.take_over_holds(snapshot.entries, snapshot.held_evacuations);
            return is_configuration_newer || holds;
        }
        let is_starting = self.position == StorePosition::default();
        let restored = self.enter_era(now, position.era);
        let revision = position.revision;
        let mut listed = Listed::default();
        for data_centre in snapshot.evacuated {
            let change = StoreChange::Evacuation {
                data_centre,
                revision,
                is_evacuated: true,
            };
            listed.note(&change);
            self.apply(now, change);
        }
        for (data_centre, ends_at) in snapshot.held_evacuations {
            listed.evacuations.insert(data_centre.clone());
            let evacuation = Evacuation {
                revision,
                is_evacuated: true,
                ends_at: Some(ends_at),
            };
            self.evacuations.insert(data_centre, evacuation);
        }
        for entry in snapshot.entries {
            listed.endpoints.insert(entry.id.clone());
            let SnapshotEntry {
                id,
                revision,
                endpoint,
                next,
            } = entry;
            match (endpoint, next) {
                (Some(endpoint), None) => {
                    self.apply_listed(now, id, revision, endpoint, restored.as_ref());
                }
                (None, None) => {
                    self.apply_endpoint(now, id, revision, None);
                }
                (Some(endpoint), Some(next)) if next.endpoint.is_none() => {
                    if is_starting || self.is_unreachable() {
                        self.apply_expiring(id, revision, endpoint, next);
                    } else {
                        // The other VM may have been cut off alone; this one decides by its own outages.
                        self.apply_endpoint(now, id, revision, None);
                    }
                }
                (endpoint, Some(next)) => self.apply_held(id, revision, endpoint, next),
            }
        }
        self.remove_unlisted(now, position, &listed, restored.as_ref());
        true
    }

    /// Applies what was scheduled: drops removed endpoints whose time to register again has passed, and takes over
    /// what the store lists since it came back from an older copy. Returns whether there was anything.
    pub fn expire(&mut self, now: Time) -> bool {
        let mut has_changed = false;
        for (id, entry) in &mut self.entries {
            if let Some(next) = entry.next.take_if(|next| now >= next.at) {
                entry.set_endpoint(next.endpoint);
                has_changed = true;
                if entry.is_removed() {
                    self.removed.push_back(id.clone());
                }
            }
        }
        for evacuation in self.evacuations.values_mut() {
            if evacuation.ends_at.take_if(|at| now >= *at).is_some() {
                evacuation.is_evacuated = false;
                has_changed = true;
            }
        }
        has_changed
    }

    /// Returns when [`StoreView::expire`] has something to do.
    pub fn next_expiry(&self) -> Option<Time> {
        let entries = self.entries.values();
        let entries = entries.filter_map(|entry| entry.next.as_ref().map(|next| next.at));
        let evacuations = self.evacuations.values();
        entries
            .chain(evacuations.filter_map(|evacuation| evacuation.ends_at))
            .min()
    }

    /// Goes on in the era of a complete state. Returns what has to be known of the era before if the store has
    /// come back from an older copy since.
    fn enter_era(&mut self, now: Time, era: Option<StoreEra>) -> Option<Restored> {
        let former = self.position;
        if era == former.era {
            return None;
        }
        self.position = StorePosition { era, revision: 0 };
        if former.revision == 0 {
            return None;
        }
        for entry in self.entries.values_mut() {
            entry.revision = 0;
        }
        for evacuation in self.evacuations.values_mut() {
            evacuation.revision = 0;
        }
        if !self.is_after_outage(now) {
            self.returned_at = Some(now);
        }
        Some(Restored {
            former_revision: former.revision,
            hold_until: now + self.config.restore_hold,
        })
    }

    /// Removes what a complete state at `position` does not list, and sets the view to that position.
    fn remove_unlisted(
        &mut self,
        now: Time,
        position: StorePosition,
        listed: &Listed,
        restored: Option<&Restored>,
    ) {
        let revision = position.revision;
        let removed: Vec<String> = self
            .entries
            .iter()
            .filter(|(id, entry)| entry.revision <= revision && !listed.endpoints.contains(*id))
            .map(|(id, _)| id.clone())
            .collect();
        for id in removed {
            self.apply_endpoint(now, id, revision, None);
        }
        for (name, evacuation) in &mut self.evacuations {
            if evacuation.revision > revision || listed.evacuations.contains(name) {
                continue;
            }
            evacuation.revision = revision;
            match restored {
                // The copy may be older than the evacuation, which is then requested again.
                Some(restored) if evacuation.is_evacuated => {
                    evacuation.ends_at = Some(restored.hold_until);
                }
                _ => evacuation.is_evacuated &= evacuation.ends_at.is_some(),
            }
        }
        self.position = self.position.max(position);
        self.forget_removed();
    }

    /// Forgets the oldest removed entries, and evacuations that ended if there are many. Changes up to `position` are not
    /// applied again, so that only later ones are needed to tell which change is older.
    fn forget_removed(&mut self) {
        let revision = self.position.revision;
        if self.evacuations.len() > MAX_REMOVED_ITEMS {
            self.evacuations
                .retain(|_, evacuation| evacuation.is_evacuated || evacuation.revision > revision);
        }
        while self.removed.len() > MAX_REMOVED_ITEMS {
            let Some(id) = self.removed.pop_front() else {
                return;
            };
            let Some(entry) = self.entries.get(&id).filter(|entry| entry.is_removed()) else {
                continue;
            };
            if entry.revision > revision {
                self.removed.push_back(id);
                return;
            }
            self.entries.remove(&id);
        }
    }

    /// Applies an endpoint that a complete state lists. In a new era that state may be of the copy: what drained
    /// or was not listed in the era before stays so until the store reports a change, or for
    /// [`StoreViewConfig::restore_hold`].
    fn apply_listed(
        &mut self,
        now: Time,
        id: String,
        revision: u64,
        listed: Arc<Endpoint>,
        restored: Option<&Restored>,
    ) {
        // A change after the last known revision of the era before is newer in any case.
        let restored = restored.filter(|restored| revision <= restored.former_revision);
        let Some(restored) = restored else {
            self.apply_endpoint(now, id, revision, Some(listed));
            return;
        };
        let entry = self.entries.entry(id.clone());
        let entry = entry.or_insert(Entry::unknown());
        let is_started_again = entry.started_ms > 0 && listed.started_ms > entry.started_ms;
        let endpoint = match &entry.endpoint {
            _ if is_started_again => listed,
            Some(known) if known.is_ready || !listed.is_ready => {
                let cold_until = known.cold_until.max(listed.cold_until);
                Arc::new(Endpoint {
                    cold_until,
                    ..Endpoint::clone(&listed)
                })
            }
            _ => {
                entry.revision = revision;
                entry.next = Some(ScheduledEntry {
                    at: restored.hold_until,
                    endpoint: Some(listed),
                });
                return;
            }
        };
        self.apply_endpoint(now, id, revision, Some(endpoint));
    }

    /// Holds what another VM in this era holds: this VM may have read the copy when it started. What the store has
    /// reported since stays. Returns whether there was anything.
    fn take_over_holds(
        &mut self,
        entries: Vec<SnapshotEntry>,
        evacuations: Vec<(String, Time)>,
    ) -> bool {
        let mut has_changed = false;
        for held in entries {
            let is_held = held
                .next
                .as_ref()
                .is_some_and(|next| next.endpoint.is_some());
            let Some(entry) = self.entries.get_mut(&held.id).filter(|_| is_held) else {
                continue;
            };
            if entry.revision == held.revision && entry.next.is_none() {
                entry.set_endpoint(held.endpoint);
                entry.next = held.next;
                has_changed = true;
            }
        }
        for (data_centre, ends_at) in evacuations {
            self.evacuations.entry(data_centre).or_insert_with(|| {
                has_changed = true;
                Evacuation {
                    revision: 0,
                    is_evacuated: true,
                    ends_at: Some(ends_at),
                }
            });
        }
        has_changed
    }

    /// Applies an entry that another VM holds as it was before the store came back from an older copy.
    fn apply_held(
        &mut self,
        id: String,
        revision: u64,
        endpoint: Option<Arc<Endpoint>>,
        next: ScheduledEntry,
    ) {
        let entry = self.entries.entry(id).or_insert(Entry::unknown());
        if revision > entry.revision {
            entry.revision = revision;
            entry.set_endpoint(endpoint);
            entry.next = Some(next);
        }
    }

    /// Applies an entry that was removed at `revision` and that another VM keeps for a while.
    /// A VM that knows of the removal has already decided whether to keep the entry.
    fn apply_expiring(
        &mut self,
        id: String,
        revision: u64,
        endpoint: Arc<Endpoint>,
        next: ScheduledEntry,
    ) {
        let is_forgotten = !self.entries.contains_key(&id) && revision <= self.position.revision;
        if is_forgotten {
            return;
        }
        let entry = self.entries.entry(id).or_insert(Entry::unknown());
        if revision <= entry.revision {
            return;
        }
        entry.revision = revision;
        // An endpoint that is known to drain goes on draining.
        entry.endpoint.get_or_insert(endpoint);
        entry.next = Some(next);
    }

    /// Returns whether an outage or an era of the store has ended so lately that live endpoints may not have
    /// registered again.
    fn is_after_outage(&self, now: Time) -> bool {
        self.returned_at
            .is_some_and(|returned| now.since(returned) < self.config.re_registration_grace)
    }

    /// Applies an endpoint's entry. Shortly after an outage a removed endpoint stays listed, since
    /// it may be live and register again.
    fn apply_endpoint(
        &mut self,
        now: Time,
        id: String,
        revision: u64,
        endpoint: Option<Arc<Endpoint>>,
    ) -> bool {
        let is_after_outage = self.is_after_outage(now);
        let grace_ends = self
            .returned_at
            .map(|at| at + self.config.re_registration_grace);
        if endpoint.is_none() && !self.entries.contains_key(&id) {
            // Keys of other writers would make the view grow for as long as the process runs.
            return false;
        }
        let entry = self.entries.entry(id.clone());
        let entry = entry.or_insert(Entry::unknown());
        if revision < entry.revision || (revision == entry.revision && endpoint.is_some()) {
            return false;
        }
        entry.revision = revision;
        let was_removed = entry.is_removed();
        if endpoint.is_none() && is_after_outage && entry.endpoint.is_some() {
            let expires_at = entry.expires_at().or(grace_ends);
            entry.next = expires_at.map(|at| ScheduledEntry { at, endpoint: None });
            return true;
        }
        entry.set_endpoint(endpoint);
        if entry.is_removed() && !was_removed {
            self.removed.push_back(id);
        }
        true
    }
}

/// What a complete state lists.
#[derive(Debug, Default)]
struct Listed {
    endpoints: HashSet<String>,
    evacuations: HashSet<String>,
}

impl Listed {
    fn note(&mut self, change: &StoreChange) {
        match change {
            StoreChange::Endpoint { id, .. } => {
                self.endpoints.insert(id.clone());
            }
            StoreChange::Evacuation { data_centre, .. } => {
                self.evacuations.insert(data_centre.clone());
            }
            StoreChange::Configuration(_) => {}
        }
    }
}

/// The end of an era of the store.
#[derive(Debug, Clone, Copy)]
struct Restored {
    /// Revision up to which this VM knew the former era.
    former_revision: u64,
    /// Until when what the store lists may be of the copy.
    hold_until: Time,
}
