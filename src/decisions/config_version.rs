//! Which configuration is in force: versions never go back, and keys need freshness.
//!
//! `docs/design.md`, 3.2 gives the rules.

use std::time::Duration;

use crate::units::{Time, Version};

/// Settings of freshness.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FreshnessConfig {
    /// How long a confirmation by the platform keeps keyed requests going.
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
}

impl ConfigVersion {
    /// Starts without a version.
    pub fn new(config: FreshnessConfig) -> Self {
        Self {
            config,
            newest: Version::default(),
            confirmed_at: None,
        }
    }

    /// Returns the version in force.
    pub fn newest(&self) -> Version {
        self.newest
    }

    /// Returns whether a version should be fetched and checked.
    pub fn wants(&self, version: Version) -> bool {
        version > self.newest
    }

    /// Puts a checked version in force; returns false and changes nothing if it is not newer.
    pub fn accept(&mut self, version: Version) -> bool {
        let newer = self.wants(version);
        if newer {
            self.newest = version;
        }
        newer
    }

    /// Notes that the platform showed `version` at time `at` (for a peer's word: now minus
    /// the age that it gave). An older version than held confirms nothing.
    pub fn confirm(&mut self, at: Time, version: Version) {
        if version >= self.newest {
            self.confirmed_at = self.confirmed_at.max(Some(at));
        }
    }

    /// Returns when the platform was last known to confirm the version in force.
    pub fn confirmed_at(&self) -> Option<Time> {
        self.confirmed_at
    }

    /// Returns until when keyed requests may run, given until when this VM is in force.
    pub fn keys_fresh_until(&self, in_force_until: Time) -> Time {
        let by_platform = self
            .confirmed_at
            .map(|at| at + self.config.confirmation_life);
        in_force_until.max(by_platform.unwrap_or_default())
    }
}
