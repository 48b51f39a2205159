//! Clock of the daemon.

use rustix::time::{ClockId, clock_gettime};

use crate::units::Time;

/// Returns the time since boot, including time during which the machine was suspended.
///
/// A process that resumes after a suspension therefore sees that its leases have expired
/// (`docs/design.md`, 3.1).
pub fn now() -> Time {
    let since_boot = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(since_boot.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(since_boot.tv_nsec).unwrap_or(0);
    Time {
        micros: seconds * 1_000_000 + nanos / 1_000,
    }
}
