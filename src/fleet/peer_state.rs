//! Encodes and decodes the state of the platform's store that one VM sends to another that cannot
//! reach the store or whose watch lags.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slog::{Logger, warn};

use crate::decisions::store_view::{SnapshotEntry, StoreSnapshot};
use crate::fleet::model::Endpoint;
use crate::fleet::wire::{FleetState, WireEndpoint};
use crate::platform::configuration::decode_configuration;
use crate::units::Time;

/// Decodes another VM's state of the store. Parts that cannot be decoded are logged and left out.
pub fn decode_state(logger: &Logger, now: Time, state: FleetState) -> StoreSnapshot {
    let configuration = Some(state.configuration)
        .filter(|document| !document.is_empty())
        .and_then(|document| {
            decode_configuration(document)
                .inspect_err(|error| {
                    warn!(logger, "configuration: cannot decode what another VM sent";
                        "error" => format!("{error:#}"));
                })
                .ok()
        });
    let revision = state.store_revision;
    let decode_entry = |wire: &WireEndpoint| {
        decode_entry(wire, revision, now)
            .inspect_err(|error| {
                warn!(logger, "endpoints: cannot decode an endpoint that another VM sent";
                    "endpoint" => &wire.id, "error" => format!("{error:#}"));
            })
            .ok()
    };
    StoreSnapshot {
        revision,
        configuration: configuration.map(Arc::new),
        evacuated: state.evacuated,
        endpoints: state.endpoints.iter().filter_map(decode_entry).collect(),
    }
}

/// `state_revision` stands for the revision of an entry that comes without one, as earlier builds
/// send it.
fn decode_entry(
    wire: &WireEndpoint,
    state_revision: u64,
    now: Time,
) -> anyhow::Result<SnapshotEntry> {
    let endpoint = Endpoint {
        id: wire.id.parse()?,
        service: wire.service.parse()?,
        address: wire.address.parse::<SocketAddr>()?,
        data_centre: wire.data_centre.parse()?,
        slots: wire.slots.max(1),
        is_ready: wire.is_ready,
        cold_until: now + Duration::from_millis(wire.cold_ms),
        started_ms: wire.started_ms,
    };
    Ok(SnapshotEntry {
        revision: match wire.revision {
            0 => state_revision,
            revision => revision,
        },
        endpoint: Arc::new(endpoint),
        expires_at: wire
            .expires_in_ms
            .map(|expires_in_ms| now + Duration::from_millis(expires_in_ms)),
    })
}

/// Encodes this VM's state of the store.
pub fn encode_state(now: Time, snapshot: &StoreSnapshot) -> FleetState {
    let encode_entry = |entry: &SnapshotEntry| {
        let endpoint = &entry.endpoint;
        WireEndpoint {
            id: endpoint.id.to_string(),
            service: endpoint.service.to_string(),
            address: endpoint.address.to_string(),
            data_centre: endpoint.data_centre.to_string(),
            slots: endpoint.slots,
            is_ready: endpoint.is_ready,
            cold_ms: endpoint.cold_until.since(now).as_millis() as u64,
            started_ms: endpoint.started_ms,
            revision: entry.revision,
            expires_in_ms: entry
                .expires_at
                .map(|expires_at| expires_at.since(now).as_millis() as u64),
        }
    };
    FleetState {
        store_revision: snapshot.revision,
        configuration: snapshot
            .configuration
            .as_ref()
            .map(|configuration| configuration.document.clone())
            .unwrap_or_default(),
        evacuated: snapshot.evacuated.clone(),
        endpoints: snapshot.endpoints.iter().map(encode_entry).collect(),
        answering_ms: 0,
    }
}
