//! Circuit breakers by failure class.
//!
//! `docs/design.md`, 3.5 gives the classes. One endpoint's failures never condemn the rest.

use std::time::Duration;

use crate::units::Time;

/// Settings of a circuit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CircuitConfig {
    /// Transient failures in a row that open the circuit.
    pub failures_to_open: u32,
    /// First pause before a probe.
    pub first_pause: Duration,
    /// Longest pause before a probe.
    pub longest_pause: Duration,
}

impl Default for CircuitConfig {
    fn default() -> Self {
        Self {
            failures_to_open: 3,
            first_pause: Duration::from_millis(250),
            longest_pause: Duration::from_secs(8),
        }
    }
}

/// How an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum FailureClass {
    /// Timeout, reset or a 5xx answer: may pass by itself.
    Transient,
    /// The endpoint refuses this system: lasts until the manifest changes.
    Permanent,
    /// The endpoint lacks this model only.
    Model,
    /// The endpoint is in a cold start and refused the work; not a fault of its own.
    Cold,
}

/// State of one endpoint's circuit.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Circuit {
    failures: u32,
    open_until: Option<Time>,
    probing: bool,
}

impl Circuit {
    /// Returns whether an attempt may start now. An open circuit whose pause is over allows
    /// one attempt, the probe, until it ends.
    pub fn allows(&self, now: Time) -> bool {
        match self.open_until {
            None => true,
            Some(until) => now >= until && !self.probing,
        }
    }

    /// Notes the start of an attempt.
    pub fn on_start(&mut self) {
        self.probing |= self.open_until.is_some();
    }

    /// Notes an attempt that ended well.
    pub fn on_success(&mut self) {
        *self = Self::default();
    }

    /// Notes an attempt that failed for a transient reason.
    pub fn on_failure(&mut self, now: Time, config: &CircuitConfig) {
        self.failures = self.failures.saturating_add(1);
        self.probing = false;
        if self.failures < config.failures_to_open {
            return;
        }
        let doublings = (self.failures - config.failures_to_open).min(16);
        let pause = config.first_pause * 2_u32.pow(doublings);
        self.open_until = Some(now + pause.min(config.longest_pause));
    }
}
