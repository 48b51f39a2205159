//! The clock of a daemon.

use rustix::time::{ClockId, clock_gettime};

use crate::units::Time;

/// Reads the boot-time clock, which goes on while the machine is suspended.
///
/// A process that wakes late therefore sees that its leases lapsed
/// (`docs/design.md`, 3.1).
pub fn now() -> Time {
    let reading = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(reading.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(reading.tv_nsec).unwrap_or(0);
    Time {
        micros: seconds * 1_000_000 + nanos / 1_000,
    }
}
