//! Guards the decisions of a VM on the users' platform, each under the load or fault that it is
//! meant for.
//!
//! No test here opens a socket. `GOSSIP_SEED` and `GOSSIP_RUNS` choose the seeds of the
//! randomised membership runs.

mod batching;
mod caller_memory;
mod choice;
mod endpoint_load;
mod generation_times;
mod gossip;
mod listing;
mod quarantine;
mod retry_window;
mod revision_lag;
mod settings;
mod stage_groups;
mod stage_order;
mod stage_start;
mod store_eras;
mod store_source;
mod store_view;
mod warm_start;

use std::sync::Arc;

use primrosewalk::fleet::model::Endpoint;
use primrosewalk::units::Time;

/// Returns a time on the tests' simulated clock, `ms` after its start.
fn at(ms: u64) -> Time {
    Time::from_millis(100_000 + ms)
}

/// Returns a ready endpoint of service `s` that is past its cold start. Its port is derived from
/// its name.
fn endpoint(name: &str, data_centre: &str) -> Arc<Endpoint> {
    let number: u16 = name
        .bytes()
        .fold(0, |sum, byte| sum * 7 + u16::from(byte) % 100);
    Arc::new(Endpoint {
        id: name.parse().unwrap(),
        service: "s".parse().unwrap(),
        address: ([127, 0, 0, 1], 10_000 + number).into(),
        data_centre: data_centre.parse().unwrap(),
        slots: 6,
        is_ready: true,
        cold_until: Time::ZERO,
        started_ms: 0,
    })
}
