//! Circuit breakers that react by failure class.
//!
//! `docs/design.md`, 3.5 defines the classes. Failures of one endpoint never exclude other
//! endpoints.

mod network;

use std::time::Duration;

pub use network::{NetworkConfig, NetworkWatch};

use crate::units::Time;

/// Settings of a [`Circuit`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CircuitConfig {
    /// Number of consecutive transient failures that open the circuit.
    pub failures_to_open: u32,
    /// Pause between the opening of the circuit and its first probe. It doubles with each failed
    /// probe.
    pub initial_pause: Duration,
    /// Upper bound of the pause before a probe.
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
    /// A timeout, a connection reset or a 5xx answer; such a failure may pass by itself.
    Transient,
    /// The endpoint refuses requests of this system; the refusal lasts until the manifest changes.
    Permanent,
    /// The endpoint lacks the requested model, but can serve others.
    Model,
    /// The endpoint is in a cold start and refused the request, which is not a fault of the
    /// endpoint.
    Cold,
}

/// Role of an attempt for a circuit: ordinary, or a probe of an open circuit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// The attempt started while the circuit was closed.
    Ordinary,
    /// The attempt is the single probe that an open circuit allows, with the number of the probe.
    /// Because of the number, the end of a probe of an earlier opening does not affect the current
    /// one.
    Probe(u64),
}

/// State of an open circuit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct OpenState {
    opened_at: Time,
    /// Time from which a probe is allowed.
    probe_at: Time,
    failed_probes: u32,
    /// Number of the probe in flight, if any.
    probe: Option<u64>,
}

/// Circuit of an endpoint, or of one model at an endpoint.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Circuit {
    /// Number of consecutive transient failures.
    failures: u32,
    open: Option<OpenState>,
    /// Number of the newest probe.
    last_probe: u64,
    /// Whether the endpoint refuses requests until the manifest changes.
    is_refused: bool,
}

impl Circuit {
    /// Returns whether an attempt may start now. An open circuit whose pause is over allows a
    /// single attempt at a time, the probe.
    pub fn allows(&self, now: Time) -> bool {
        !self.is_refused
            && self
                .open
                .is_none_or(|open| now >= open.probe_at && open.probe.is_none())
    }

    /// Returns whether the circuit is open. It may allow a probe nevertheless.
    pub fn is_open(&self) -> bool {
        self.is_refused || self.open.is_some()
    }

    /// Records the start of an attempt that [`Circuit::allows`] has allowed.
    pub fn on_start(&mut self) -> Role {
        let Some(open) = &mut self.open else {
            return Role::Ordinary;
        };
        assert!(
            open.probe.is_none(),
            "an open circuit has at most one probe"
        );
        self.last_probe += 1;
        open.probe = Some(self.last_probe);
        Role::Probe(self.last_probe)
    }

    /// Records a successful attempt and closes the circuit. Any success does so, not only that of
    /// the probe, since it shows that the endpoint works. A permanent refusal stays in effect.
    pub fn on_success(&mut self) {
        self.failures = 0;
        self.open = None;
    }

    /// Records an attempt that failed for a transient reason.
    ///
    /// Attempts that were in flight when the circuit opened often fail for the same cause, so only
    /// a failed probe makes the pause longer.
    pub fn on_failure(&mut self, now: Time, role: Role, config: &CircuitConfig) {
        self.failures = self.failures.saturating_add(1);
        match (&mut self.open, role) {
            (Some(open), Role::Probe(number)) if open.probe == Some(number) => {
                open.failed_probes = open.failed_probes.saturating_add(1);
                open.probe_at = now + probe_pause(open.failed_probes, config);
                open.probe = None;
            }
            (None, _) if self.failures >= config.failures_to_open => {
                self.open = Some(OpenState {
                    opened_at: now,
                    probe_at: now + probe_pause(0, config),
                    failed_probes: 0,
                    probe: None,
                });
            }
            _ => {}
        }
    }

    /// Records a refusal that lasts until the manifest changes.
    pub fn on_permanent(&mut self) {
        self.is_refused = true;
    }

    /// Records an attempt whose end says nothing about the endpoint, such as a cancelled attempt.
    pub fn on_inconclusive(&mut self, role: Role) {
        if let (Some(open), Role::Probe(number)) = (&mut self.open, role)
            && open.probe == Some(number)
        {
            open.probe = None;
        }
    }

    /// Clears a permanent refusal after the manifest has changed.
    pub fn on_manifest_change(&mut self) {
        self.is_refused = false;
    }

    /// Closes the circuit if it opened at `time` or later. It is called when the cause of the
    /// failures turns out to be this VM's own network. A probe in flight ends as an ordinary
    /// attempt.
    pub fn close_if_opened_since(&mut self, time: Time) {
        if self.open.is_some_and(|open| open.opened_at >= time) {
            self.on_success();
        }
    }
}

/// Returns the pause before the next probe.
fn probe_pause(failed_probes: u32, config: &CircuitConfig) -> Duration {
    let doublings = failed_probes.min(16);
    let pause = config.initial_pause * 2_u32.pow(doublings);
    pause.min(config.max_pause)
}
