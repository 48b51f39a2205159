//! Circuit breakers by failure class.
//!
//! `docs/design.md`, 3.5 gives the classes. One endpoint's failures never exclude the others.

mod network;

use std::time::Duration;

pub use network::{NetworkConfig, NetworkWatch};

use crate::units::Time;

/// Settings of a circuit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CircuitConfig {
    /// Transient failures in a row that open the circuit.
    pub failures_to_open: u32,
    /// First pause before a probe.
    pub initial_pause: Duration,
    /// Maximum pause before a probe.
    pub max_pause: Duration,
}

impl Default for CircuitConfig {
    fn default() -> Self {
        Self {
            failures_to_open: 3,
            initial_pause: Duration::from_millis(250),
            max_pause: Duration::from_secs(8),
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

/// Whether an attempt tests an open circuit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Started while the circuit was closed.
    Ordinary,
    /// The one attempt that an open circuit allows, with its number. The number keeps a probe
    /// of an earlier opening from ending the present one.
    Probe(u64),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Open {
    since: Time,
    until: Time,
    failed_probes: u32,
    probe: Option<u64>,
}

/// State of one endpoint's circuit, or of one model at an endpoint.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Circuit {
    failures: u32,
    open: Option<Open>,
    probes: u64,
    permanent: bool,
}

impl Circuit {
    /// Returns whether an attempt may start now. An open circuit whose pause is over allows
    /// one attempt, the probe, until it ends.
    pub fn allows(&self, now: Time) -> bool {
        !self.permanent
            && self
                .open
                .is_none_or(|open| now >= open.until && open.probe.is_none())
    }

    /// Returns whether the circuit is open; a probe may still be allowed.
    pub fn is_open(&self) -> bool {
        self.permanent || self.open.is_some()
    }

    /// Notes the start of an attempt that [`Circuit::allows`] has let through.
    pub fn on_start(&mut self) -> Role {
        let Some(open) = &mut self.open else {
            return Role::Ordinary;
        };
        assert!(
            open.probe.is_none(),
            "an open circuit has at most one probe"
        );
        self.probes += 1;
        open.probe = Some(self.probes);
        Role::Probe(self.probes)
    }

    /// Notes an attempt that ended well, whichever it was: the endpoint works.
    pub fn on_success(&mut self) {
        self.failures = 0;
        self.open = None;
    }

    /// Notes an attempt that failed for a transient reason.
    ///
    /// Attempts that were in flight when the circuit opened fail together with its cause, so
    /// only a failed probe makes the pause longer.
    pub fn on_failure(&mut self, now: Time, role: Role, config: &CircuitConfig) {
        self.failures = self.failures.saturating_add(1);
        match (&mut self.open, role) {
            (Some(open), Role::Probe(number)) if open.probe == Some(number) => {
                open.failed_probes = open.failed_probes.saturating_add(1);
                open.until = now + pause(open.failed_probes, config);
                open.probe = None;
            }
            (None, _) if self.failures >= config.failures_to_open => {
                self.open = Some(Open {
                    since: now,
                    until: now + pause(0, config),
                    failed_probes: 0,
                    probe: None,
                });
            }
            _ => {}
        }
    }

    /// Notes a refusal that lasts until the manifest changes.
    pub fn on_permanent(&mut self) {
        self.permanent = true;
    }

    /// Notes an attempt that ended inconclusively for the endpoint, such as a cancelled one.
    pub fn on_inconclusive(&mut self, role: Role) {
        if let (Some(open), Role::Probe(number)) = (&mut self.open, role)
            && open.probe == Some(number)
        {
            open.probe = None;
        }
    }

    /// Allows attempts again after the manifest changed.
    pub fn on_manifest_change(&mut self) {
        self.permanent = false;
    }

    /// Closes a circuit that opened at `time` or later, when the cause turns out to be this
    /// VM's own network. A probe that is under way ends as an ordinary attempt.
    pub fn withdraw_since(&mut self, time: Time) {
        if self.open.is_some_and(|open| open.since >= time) {
            self.on_success();
        }
    }
}

fn pause(failed_probes: u32, config: &CircuitConfig) -> Duration {
    let doublings = failed_probes.min(16);
    let pause = config.initial_pause * 2_u32.pow(doublings);
    pause.min(config.max_pause)
}
