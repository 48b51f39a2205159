//! VMs on the users' platform as real processes, against stand-ins for store and endpoints.

mod users_platform;

mod fleet_vm_cases {
    mod platform;
    mod requests;
    mod streams;
}

use users_platform::caller::Got;

fn status(got: &Option<Got>) -> u16 {
    got.as_ref().map_or(0, |got| got.status)
}
