//! Decides when a VM that has just started knows enough of its fleet to place work.
//!
//! A VM that knows only itself owns all groups of stage endpoints, and names itself as the only address
//! for callers. When all VMs start at once under load, callers then gather at the few VMs that were
//! found first, and many queues send calls that are partly full to the same endpoints. So a VM places no
//! work and names no addresses before it has met its fleet, and holds the requests that arrive before it
//! has a configuration, since a refusal uses up a retry of the caller. This handles the return of a whole
//! fleet under more load than it can serve (`docs/design/coming-back.md`).

use std::time::Duration;

use crate::decisions::endpoint_choice::hash_of;
use crate::units::Time;

/// Settings of [`WarmStart`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WarmStartConfig {
    /// Time from the start after which a VM goes ahead, also if it has heard of no other.
    pub max_duration: Duration,
    /// Time from the first word of another VM after which a VM goes ahead, if no VM has told it how large
    /// the fleet is: two requests for records and their answers.
    pub meeting_period: Duration,
}

impl Default for WarmStartConfig {
    fn default() -> Self {
        Self {
            max_duration: Duration::from_millis(500),
            meeting_period: Duration::from_millis(100),
        }
    }
}

/// Time for which the VMs of a fleet that starts may know different parts of it. Only after it does a VM
/// tell others how large the fleet is, and until then it passes stage jobs on to the owner that it knows.
pub const SETTLING_PERIOD: Duration = Duration::from_secs(3);
/// Time from the start of a VM for which it holds requests while it has no configuration. A VM that has
/// none by then can reach neither the store nor a VM that knows it.
const HOLD_PERIOD: Duration = Duration::from_secs(1);
/// Part of the time that a caller leaves for its request for which the request may be held.
const HELD_FRACTION: f64 = 0.25;
/// Shortest time after which callers that were refused for lack of a configuration are to return.
const MIN_RETURN_AFTER: Duration = Duration::from_millis(300);
/// Time over which the returns of these callers are spread, because they were refused together.
const RETURN_SPREAD: Duration = Duration::from_millis(600);

/// Returns until when a request that arrives `now` is held while a VM that started at `started_at` has no
/// configuration. `time_left` is the time that the caller leaves for it, if it says so.
pub fn hold_until(started_at: Time, now: Time, time_left: Option<Duration>) -> Time {
    let latest = started_at + HOLD_PERIOD;
    match time_left {
        Some(time_left) => latest.min(now + time_left.mul_f64(HELD_FRACTION)),
        None => latest,
    }
}

/// Returns when a caller that was refused for lack of a configuration is to return.
pub fn return_after(request: &str) -> Duration {
    let position = hash_of(request) as f64 / u64::MAX as f64;
    MIN_RETURN_AFTER + RETURN_SPREAD.mul_f64(position)
}

/// Part of the VMs that another VM knows which a VM has to know itself. The other one may count VMs that
/// have just died.
const KNOWN_FRACTION: f64 = 0.9;

/// What a VM knows of its fleet since its start.
#[derive(Debug, Clone, Copy, Default)]
pub struct WarmStart {
    started_at: Option<Time>,
    /// When this VM first knew another one.
    heard_at: Option<Time>,
    /// Number of VMs in the fleet according to VMs that know it.
    fleet_size: Option<usize>,
    met_at: Option<Time>,
}

impl WarmStart {
    /// Returns whether this VM has met its fleet. It stays so until the process ends.
    pub fn has_met(&self) -> bool {
        self.met_at.is_some()
    }

    /// Returns whether this VM may tell others how many VMs it knows.
    pub fn knows_fleet_size(&self, now: Time) -> bool {
        self.met_at
            .is_some_and(|met_at| now >= met_at + SETTLING_PERIOD)
    }

    /// Returns when [`WarmStart::update`] may find that this VM has met its fleet although no message
    /// arrives; `None` once it has.
    pub fn due_at(&self, config: &WarmStartConfig) -> Option<Time> {
        let started_at = self.started_at.filter(|_| !self.has_met())?;
        let latest = started_at + config.max_duration;
        let meeting_ends_at = self.heard_at.map(|at| at + config.meeting_period);
        Some(meeting_ends_at.map_or(latest, |at| at.min(latest)))
    }

    /// Records how many VMs another VM says that there are.
    pub fn on_fleet_size(&mut self, fleet_size: usize) {
        self.fleet_size = self.fleet_size.max(Some(fleet_size));
    }

    /// Records how many VMs this one knows to be alive, itself included. Returns whether it has met its
    /// fleet with that.
    pub fn update(&mut self, now: Time, known_vms: usize, config: &WarmStartConfig) -> bool {
        if self.has_met() {
            return false;
        }
        self.started_at.get_or_insert(now);
        if known_vms > 1 {
            self.heard_at.get_or_insert(now);
        }
        let knows_enough = |size: usize| known_vms as f64 >= size as f64 * KNOWN_FRACTION;
        let is_told = self.fleet_size.is_some_and(knows_enough);
        let is_due = self.due_at(config).is_some_and(|due_at| now >= due_at);
        let has_met = is_told || is_due;
        self.met_at = has_met.then_some(now);
        has_met
    }
}
