//! Decodes an endpoint's entry in the platform's store.

use std::time::Duration;

use anyhow::bail;
use serde::Deserialize;

use crate::fleet::model::Endpoint;
use crate::platform::object::parse_object;
use crate::units::{EndpointName, Time};

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Entry {
    service: String,
    address: String,
    zone: String,
    slots: u32,
    state: String,
    cold_remaining_ms: f64,
    // Named in lower case on the wire, unlike its neighbours.
    #[serde(default, rename = "born")]
    started_ms: u64,
}

/// Decodes the entry of endpoint `id`, which was read from the store at `now`.
///
/// # Errors
///
/// Returns which part of the entry is missing or unreadable. The endpoint of such an entry
/// gets no requests.
pub fn decode_endpoint(id: &str, value: &[u8], now: Time) -> anyhow::Result<Endpoint> {
    let entry: Entry = parse_object(value)?;
    let is_ready = match entry.state.as_str() {
        "ready" => true,
        "draining" => false,
        other => bail!("the state {other:?} is neither \"ready\" nor \"draining\""),
    };
    let id: EndpointName = id.parse()?;
    let cold_remaining = Duration::from_secs_f64(entry.cold_remaining_ms.clamp(0.0, 1e9) / 1_000.0);
    Ok(Endpoint {
        id,
        service: entry.service.parse()?,
        address: entry.address.parse()?,
        data_centre: entry.zone.parse()?,
        slots: entry.slots.max(1),
        is_ready,
        cold_until: now + cold_remaining,
        started_ms: entry.started_ms,
    })
}
