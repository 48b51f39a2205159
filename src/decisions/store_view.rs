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

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use crate::fleet::model::{Configuration, Endpoint};
use crate::units::Time;

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
}

impl Default for StoreViewConfig {
    fn default() -> Self {
        Self {
            min_expiry_outage: Duration::from_millis(1_000),
            re_registration_grace: Duration::from_millis(2_300),
            report_delay: Duration::from_millis(2_000),
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

/// A listed endpoint, as one VM sends it to another.
#[derive(Debug, Clone, PartialEq)]
pub struct SnapshotEntry {
    /// Revision of the entry's last change. For an entry that is about to expire this is its removal.
    pub revision: u64,
    /// The endpoint as registered.
    pub endpoint: Arc<Endpoint>,
    /// When the endpoint stops being listed unless it registers again; `None` for an entry that
    /// the store has.
    pub expires_at: Option<Time>,
}

/// The complete state of the store at one revision, as one VM knows it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct StoreSnapshot {
    /// Revision that the state reflects.
    pub revision: u64,
    /// The configuration in force.
    pub configuration: Option<Arc<Configuration>>,
    /// Names of the evacuated data centres.
    pub evacuated: Vec<String>,
    /// All listed endpoints: also those that drain, are evacuated or are about to expire.
    pub endpoints: Vec<SnapshotEntry>,
}

/// The newest known entry of an endpoint.
#[derive(Debug)]
struct Entry {
    revision: u64,
    endpoint: Option<Arc<Endpoint>>,
    /// When a removed endpoint stops being listed, unless it registers again before.
    expires_at: Option<Time>,
}

/// A time in which this VM's calls to the store fail.
#[derive(Debug)]
struct Outage {
    /// When the store last may have answered: the outage is no longer than from here.
    since: Time,
    /// When this VM noticed that the store does not answer.
    noticed_at: Time,
    /// Newest revision that any VM has reached.
    newest_revision: u64,
    /// When a new revision showed that the store answers other VMs, so that live endpoints can
    /// register.
    served_others_at: Option<Time>,
}

/// The state of the store after all changes that this VM has received.
#[derive(Debug, Default)]
pub struct StoreView {
    config: StoreViewConfig,
    configuration: Option<Arc<Configuration>>,
    /// Revision and whether the evacuation is in effect, by data centre.
    evacuations: BTreeMap<String, (u64, bool)>,
    entries: BTreeMap<String, Entry>,
    /// Newest revision that the view reflects.
    pub revision: u64,
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
            newest_revision: self.revision,
            served_others_at: None,
        });
        is_first
    }

    /// Records that another VM has reached a revision.
    pub fn on_peer_revision(&mut self, now: Time, revision: u64) {
        let report_delay = self.config.report_delay;
        let Some(outage) = &mut self.outage else {
            return;
        };
        if revision <= outage.newest_revision {
            return;
        }
        outage.newest_revision = revision;
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
            .filter(|(_, (_, is_evacuated))| *is_evacuated);
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
                let known = self
                    .evacuations
                    .get(&data_centre)
                    .map_or(0, |(known, _)| *known);
                let is_newer = revision > known;
                if is_newer {
                    self.evacuations
                        .insert(data_centre, (revision, is_evacuated));
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

    /// Applies the answer to a watch, which has all changes from the one before up to `revision`.
    /// Returns whether any of them is newer than the known state of its item.
    pub fn apply_changes(
        &mut self,
        now: Time,
        changes: impl IntoIterator<Item = StoreChange>,
        revision: u64,
    ) -> bool {
        // The state of another VM may have arrived during the watch. An endpoint that registered and
        // left before that state is unknown here, and the next watch will not bring its removal.
        let known_revision = self.revision;
        let mut is_any_newer = false;
        for change in changes {
            let is_overtaken = change
                .revision()
                .is_some_and(|revision| revision <= known_revision);
            is_any_newer |= !is_overtaken && self.apply(now, change);
        }
        self.revision = self.revision.max(revision);
        is_any_newer
    }

    /// Applies a complete listing of the store at `revision`. Known items that are not in it count
    /// as removed.
    pub fn apply_listing(&mut self, now: Time, changes: Vec<StoreChange>, revision: u64) {
        if revision < self.revision {
            return;
        }
        let mut listed_endpoints = HashSet::new();
        let mut listed_evacuations = HashSet::new();
        for change in &changes {
            match change {
                StoreChange::Endpoint { id, .. } => {
                    listed_endpoints.insert(id.clone());
                }
                StoreChange::Evacuation { data_centre, .. } => {
                    listed_evacuations.insert(data_centre.clone());
                }
                StoreChange::Configuration(_) => {}
            }
        }
        for change in changes {
            self.apply(now, change);
        }
        self.remove_unlisted(now, revision, &listed_endpoints, &listed_evacuations);
    }

    /// Returns the complete state for another VM.
    pub fn snapshot(&self) -> StoreSnapshot {
        let listed = |entry: &Entry| {
            Some(SnapshotEntry {
                revision: entry.revision,
                endpoint: Arc::clone(entry.endpoint.as_ref()?),
                expires_at: entry.expires_at,
            })
        };
        StoreSnapshot {
            revision: self.revision,
            configuration: self.configuration.clone(),
            evacuated: self.evacuated().map(str::to_owned).collect(),
            endpoints: self.entries.values().filter_map(listed).collect(),
        }
    }

    /// Applies another VM's state of the store if it is newer than this one, and returns whether
    /// it is.
    pub fn apply_snapshot(&mut self, now: Time, snapshot: StoreSnapshot) -> bool {
        let revision = snapshot.revision;
        if revision <= self.revision {
            return false;
        }
        if let Some(configuration) = snapshot.configuration {
            self.apply(now, StoreChange::Configuration(configuration));
        }
        for data_centre in &snapshot.evacuated {
            let change = StoreChange::Evacuation {
                data_centre: data_centre.clone(),
                revision,
                is_evacuated: true,
            };
            self.apply(now, change);
        }
        let mut listed_endpoints = HashSet::new();
        for entry in snapshot.endpoints {
            let id = entry.endpoint.id.to_string();
            listed_endpoints.insert(id.clone());
            match entry.expires_at {
                None => {
                    self.apply_endpoint(now, id, entry.revision, Some(entry.endpoint));
                }
                Some(at) if self.is_unreachable() => {
                    self.apply_expiring(id, entry.revision, entry.endpoint, at);
                }
                // The other VM may have been cut off alone; this one decides by its own outages.
                Some(_) => {
                    self.apply_endpoint(now, id, entry.revision, None);
                }
            }
        }
        let listed_evacuations = snapshot.evacuated.into_iter().collect();
        self.remove_unlisted(now, revision, &listed_endpoints, &listed_evacuations);
        true
    }

    /// Drops removed endpoints whose time to register again has passed. Returns whether there were
    /// any.
    pub fn expire(&mut self, now: Time) -> bool {
        let before = self.endpoints().count();
        for entry in self.entries.values_mut() {
            if entry.expires_at.is_some_and(|at| now >= at) {
                entry.endpoint = None;
                entry.expires_at = None;
            }
        }
        self.endpoints().count() != before
    }

    /// Returns when [`StoreView::expire`] has something to do.
    pub fn next_expiry(&self) -> Option<Time> {
        self.entries
            .values()
            .filter_map(|entry| entry.expires_at)
            .min()
    }

    /// Removes what a complete state at `revision` does not list, and sets the view to that revision.
    fn remove_unlisted(
        &mut self,
        now: Time,
        revision: u64,
        listed_endpoints: &HashSet<String>,
        listed_evacuations: &HashSet<String>,
    ) {
        let removed: Vec<String> = self
            .entries
            .iter()
            .filter(|(id, entry)| entry.revision <= revision && !listed_endpoints.contains(*id))
            .map(|(id, _)| id.clone())
            .collect();
        for id in removed {
            self.apply_endpoint(now, id, revision, None);
        }
        for (name, (known, is_evacuated)) in &mut self.evacuations {
            if *known <= revision && !listed_evacuations.contains(name) {
                *known = revision;
                *is_evacuated = false;
            }
        }
        self.revision = self.revision.max(revision);
    }

    /// Applies an entry that was removed at `revision` and that another VM keeps until `expires_at`.
    /// A VM that knows of the removal has already decided whether to keep the entry.
    fn apply_expiring(
        &mut self,
        id: String,
        revision: u64,
        endpoint: Arc<Endpoint>,
        expires_at: Time,
    ) {
        let entry = self.entries.entry(id).or_insert(Entry {
            revision: 0,
            endpoint: None,
            expires_at: None,
        });
        if revision <= entry.revision {
            return;
        }
        entry.revision = revision;
        // An endpoint that is known to drain goes on draining.
        entry.endpoint.get_or_insert(endpoint);
        entry.expires_at = Some(expires_at);
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
        let after_outage = self
            .returned_at
            .is_some_and(|returned| now.since(returned) < self.config.re_registration_grace);
        let grace_ends = self
            .returned_at
            .map(|at| at + self.config.re_registration_grace);
        let entry = self.entries.entry(id).or_insert(Entry {
            revision: 0,
            endpoint: None,
            expires_at: None,
        });
        if revision < entry.revision || (revision == entry.revision && endpoint.is_some()) {
            return false;
        }
        entry.revision = revision;
        if endpoint.is_none() && after_outage && entry.endpoint.is_some() {
            entry.expires_at = entry.expires_at.or(grace_ends);
            return true;
        }
        entry.endpoint = endpoint;
        entry.expires_at = None;
        true
    }
}
