//! Which configuration is in force: versions never go back, and API keys need freshness.
//!
//! `docs/design.md`, 3.2 gives the rules.

use std::time::Duration;

use crate::units::{Time, Version};

/// Settings of freshness.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FreshnessConfig {
    /// How long a confirmation by the platform keeps requests with an API key going.
    pub confirmation_life: Duration,
}

impl Default for FreshnessConfig {
    fn default() -> Self {
        Self {
            confirmation_life: Duration::from_secs(4),
        }
    }
}

/// Tracks the newest version held and when it was last confirmed.
#[derive(Debug)]
pub struct ConfigVersion {
    config: FreshnessConfig,
    newest: Version,
    confirmed_at: Option<Time>,
    /// The newest version that failed its check.
    refused: Version,
    /// A newer version that is known of but not yet in force.
    pending: Option<Pending>,
}

#[derive(Debug, Clone, Copy)]
struct Pending {
    version: Version,
    /// When this VM first knew that its own version is outdated.
    since: Time,
    /// When the platform last showed the version, if it did.
    shown_at: Option<Time>,
}

impl ConfigVersion {
    /// Starts without a version.
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

    /// Returns whether a version should be fetched and checked.
    pub fn wants(&self, version: Version) -> bool {
        version > self.newest && version > self.refused
    }

    /// Puts a checked version in force; returns false and changes nothing if it is not newer.
    pub fn accept(&mut self, version: Version) -> bool {
        let newer = version > self.newest;
        if newer {
            self.newest = version;
            self.settle(version);
        }
        newer
    }

    /// Notes that a version failed its check. The version in force stays, and what shows the
    /// refused one confirms it.
    pub fn refuse(&mut self, version: Version) {
        if version > self.newest {
            self.refused = self.refused.max(version);
            self.settle(version);
        }
    }

    fn settle(&mut self, version: Version) {
        let Some(pending) = self.pending.filter(|pending| pending.version <= version) else {
            return;
        };
        self.pending = None;
        if pending.version == version {
            self.confirmed_at = self.confirmed_at.max(pending.shown_at);
        }
    }

    /// Notes that the platform showed `version` at time `at` (for a peer's word: now minus
    /// the age that it gave). An older version than held confirms nothing. A newer one is
    /// noted as outdating the version in force until [`ConfigVersion::accept`] or
    /// [`ConfigVersion::refuse`].
    pub fn confirm(&mut self, at: Time, version: Version) {
        if self.wants(version) {
            self.note_pending(at, version, Some(at));
        } else if version >= self.newest {
            self.confirmed_at = self.confirmed_at.max(Some(at));
        }
    }

    /// Notes that a peer has put `version` in force. If it is newer, this VM's own version
    /// is outdated, even while its lease holds.
    pub fn on_peer_version(&mut self, now: Time, version: Version) {
        if self.wants(version) {
            self.note_pending(now, version, None);
        }
    }

    fn note_pending(&mut self, at: Time, version: Version, shown_at: Option<Time>) {
        let Some(pending) = &mut self.pending else {
            self.pending = Some(Pending {
                version,
                since: at,
                shown_at,
            });
            return;
        };
        pending.since = pending.since.min(at);
        if version > pending.version {
            pending.version = version;
            pending.shown_at = shown_at;
        } else if version == pending.version {
            pending.shown_at = pending.shown_at.max(shown_at);
        }
    }

    /// Returns when the platform was last known to confirm the version in force.
    pub fn confirmed_at(&self) -> Option<Time> {
        self.confirmed_at
    }

    /// Returns until when requests with an API key may run, given until when this VM holds its
    /// lease.
    ///
    /// Neither a lease nor a confirmation keeps a version fresh that is known to be outdated
    /// for longer than a confirmation counts: a newer one may withdraw API keys.
    pub fn api_keys_fresh_until(&self, lease_until: Time) -> Time {
        let life = self.config.confirmation_life;
        let by_platform = self.confirmed_at.map(|at| at + life);
        let fresh = lease_until.max(by_platform.unwrap_or_default());
        let outdated = self.pending.map(|pending| pending.since + life);
        outdated.map_or(fresh, |outdated| fresh.min(outdated))
    }
}
