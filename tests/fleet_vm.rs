//! Guards the fleet daemon: VMs run as real processes against stand-ins for the platform's store
//! and endpoints.

mod users_platform;

mod fleet_vm_cases {
    mod platform;
    mod requests;
    mod streams;
}

use users_platform::caller::CallerAnswer;

/// Returns the status of an answer, or 0 if the caller received none.
fn status(answer: &Option<CallerAnswer>) -> u16 {
    answer.as_ref().map_or(0, |answer| answer.status)
}
