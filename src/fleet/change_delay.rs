//! Records how long a change took from the store to this VM and by which way, so that an operator sees a bound that
//! is nearly used up (`docs/platform.md`, "The way of a change").

use std::net::Ipv4Addr;
use std::time::Duration;

use slog::{info, warn};

use crate::clock;
use crate::fleet::control_state::Control;
use crate::fleet::metric;
use crate::units::Time;

/// Part of the bound from which a change is logged as a warning.
const WARNED_PART: f64 = 0.75;

/// How a change reached this VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Way {
    /// In the answer to a watch of this VM.
    Watch,
    /// In the answer to a call of this VM that does not wait.
    Check,
    /// In a listing that this VM made.
    Listing,
    /// From the VM that this one listens to.
    Relay(Ipv4Addr),
    /// In the state of a VM that reported a newer position.
    State(Ipv4Addr),
}

impl Way {
    /// Returns the name of the way in logs and metrics.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Watch => "watch",
            Self::Check => "check",
            Self::Listing => "listing",
            Self::Relay(_) => "relay",
            Self::State(_) => "state",
        }
    }

    fn vm(self) -> Option<Ipv4Addr> {
        match self {
            Self::Relay(ip) | Self::State(ip) => Some(ip),
            Self::Watch | Self::Check | Self::Listing => None,
        }
    }
}

/// Records changes that have just been applied. They were made after `known_at`, up to when this VM had all changes
/// before, so that they took at most the time since; `read_age` is the time since a VM read them from the store, as far
/// as it is known. A VM that has just started had none before.
pub(super) fn note_changes(
    control: &Control,
    way: Way,
    known_at: Option<Time>,
    read_age: Option<Duration>,
) {
    let Some(known_at) = known_at else { return };
    let at_most = clock::now().since(known_at);
    metric::store_change_arrived(way.name(), at_most);
    let bound = control.settings.lock().change_bound;
    let is_late = bound.is_some_and(|bound| at_most > bound.mul_f64(WARNED_PART));
    let through = way.name();
    let vm = way.vm().map(|ip| ip.to_string());
    let at_most_ms = at_most.as_millis() as u64;
    let since_read_ms = read_age.map(|age| age.as_millis() as u64);
    if is_late {
        warn!(control.logger, "store: a change took most of its bound"; "through" => through, "vm" => vm,
            "at_most_ms" => at_most_ms, "since_read_ms" => since_read_ms,
            "bound_ms" => bound.map(|bound| bound.as_millis() as u64));
    } else {
        info!(control.logger, "store: changes arrived"; "through" => through, "vm" => vm,
            "at_most_ms" => at_most_ms, "since_read_ms" => since_read_ms);
    }
}
