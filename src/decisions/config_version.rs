//! Which configuration version is in force, and until when requests with API keys may rely on it.
//! The version in force never goes back.
//!
//! `docs/design.md`, 3.2 gives the rules.

use std::time::Duration;

use crate::units::{Time, Version};

/// Settings for how long a configuration counts as fresh.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FreshnessConfig {
    /// Time for which requests with an API key may run after the platform confirmed the version.
    pub confirmation_life: Duration,
}

impl Default for FreshnessConfig {
    fn default() -> Self {
        Self {
            confirmation_life: Duration::from_secs(4),
        }
    }
}

/// Tracks the version in force and when it was last confirmed.
#[derive(Debug)]
pub struct ConfigVersion {
    config: FreshnessConfig,
    /// The version in force, which is the newest accepted one.
    newest: Version,
    /// When the platform was last known to confirm the version in force.
    confirmed_at: Option<Time>,
    /// The newest version that failed its check.
    refused: Version,
    /// A newer version that is known of but not yet in force.
    pending: Option<Pending>,
}

/// A newer version that is neither accepted nor refused yet.
#[derive(Debug, Clone, Copy)]
struct Pending {
    version: Version,
    /// Earliest time from which this VM's version is known to be outdated.
    since: Time,
    /// When the platform last reported the pending version; `None` if only peers did.
    reported_at: Option<Time>,
}

impl ConfigVersion {
    /// Creates the state of a VM that has no version.
    pub fn new(config: FreshnessConfig) -> Self {
        Self {
            config,
            newest: Version::default(),
            confirmed_at: None,
            refused: Version::default(),
            pending: None,
        }
    }

    /// Returns the version in force.
    pub fn newest(&self) -> Version {
        self.newest
    }

    /// Returns whether a version should be fetched and checked: it is newer than the version in
    /// force and than any refused version.
    pub fn should_fetch(&self, version: Version) -> bool {
        version > self.newest && version > self.refused
    }

    /// Puts a checked version in force; returns false and changes nothing if it is not newer.
    pub fn accept(&mut self, version: Version) -> bool {
        let is_newer = version > self.newest;
        if is_newer {
            self.newest = version;
            self.clear_pending(version);
        }
        is_newer
    }

    /// Records that a version failed its check. The version in force stays, and reports of the
    /// refused version by the platform then confirm it.
    pub fn refuse(&mut self, version: Version) {
        if version > self.newest {
            self.refused = self.refused.max(version);
            self.clear_pending(version);
        }
    }

    /// Clears the pending version if `version` is at least as new. If they are the same, the
    /// platform's report of it counts as a confirmation.
    fn clear_pending(&mut self, version: Version) {
        let Some(pending) = self.pending.filter(|pending| pending.version <= version) else {
            return;
        };
        self.pending = None;
        if pending.version == version {
            self.confirmed_at = self.confirmed_at.max(pending.reported_at);
        }
    }

    /// Records that the platform reported `version` at time `at`. For a report passed on by a peer,
    /// `at` is now minus the age that the peer gave. A version older than the one in force
    /// confirms nothing. A newer one is pending, and marks the version in force as outdated, until
    /// [`ConfigVersion::accept`] or [`ConfigVersion::refuse`].
    pub fn confirm(&mut self, at: Time, version: Version) {
        if self.should_fetch(version) {
            self.record_pending(at, version, Some(at));
        } else if version >= self.newest {
            self.confirmed_at = self.confirmed_at.max(Some(at));
        }
    }

    /// Records that a peer has put `version` in force. If it is newer, this VM's version is
    /// outdated, even while this VM holds its lease.
    pub fn on_peer_version(&mut self, now: Time, version: Version) {
        if self.should_fetch(version) {
            self.record_pending(now, version, None);
        }
    }

    /// Records a newer version, with the earliest time at which this VM's version was outdated.
    fn record_pending(&mut self, at: Time, version: Version, reported_at: Option<Time>) {
        let Some(pending) = &mut self.pending else {
            self.pending = Some(Pending {
                version,
                since: at,
                reported_at,
            });
            return;
        };
        pending.since = pending.since.min(at);
        if version > pending.version {
            pending.version = version;
            pending.reported_at = reported_at;
        } else if version == pending.version {
            pending.reported_at = pending.reported_at.max(reported_at);
        }
    }

    /// Returns when the platform was last known to confirm the version in force.
    pub fn confirmed_at(&self) -> Option<Time> {
        self.confirmed_at
    }

    /// Returns until when requests with an API key may run, given until when this VM holds its
    /// lease.
    ///
    /// A version that has been known to be outdated for `confirmation_life` is not fresh, whatever
    /// the lease or confirmations: a newer version may withdraw API keys.
    pub fn api_keys_fresh_until(&self, lease_until: Time) -> Time {
        let life = self.config.confirmation_life;
        let by_platform = self.confirmed_at.map(|at| at + life);
        let fresh_until = lease_until.max(by_platform.unwrap_or_default());
        let outdated_limit = self.pending.map(|pending| pending.since + life);
        outdated_limit.map_or(fresh_until, |limit| fresh_until.min(limit))
    }
}
