//! Encodes and decodes the state of the platform's store that one VM sends to another that cannot
//! reach the store or whose watch lags.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slog::{Logger, warn};

use crate::clock;
use crate::decisions::store_view::StoreChange;
use crate::fleet::model::{Endpoint, FleetView};
use crate::fleet::wire::{FleetState, WireEndpoint};
use crate::platform::configuration::decode_configuration;
use crate::units::Time;

/// Decodes another VM's state of the store. Parts that cannot be decoded are logged and left out.
pub fn decode_state(logger: &Logger, state: FleetState) -> Vec<StoreChange> {
    let revision = state.store_revision;
    let now = clock::now();
    let mut changes = Vec::new();
    if !state.configuration.is_empty() {
        match decode_configuration(state.configuration) {
            Ok(configuration) => {
                changes.push(StoreChange::Configuration(Arc::new(configuration)));
            }
            Err(error) => warn!(logger, "configuration: cannot decode what another VM sent";
                "error" => format!("{error:#}")),
        }
    }
    for data_centre in state.evacuated {
        changes.push(StoreChange::Evacuation {
            data_centre,
            revision,
            is_evacuated: true,
        });
    }
    for wire in state.endpoints {
        match decode_wire_endpoint(&wire, now) {
            Ok(endpoint) => changes.push(StoreChange::Endpoint {
                id: wire.id,
                revision,
                endpoint: Some(Arc::new(endpoint)),
            }),
            Err(error) => {
                warn!(logger, "endpoints: cannot decode an endpoint that another VM sent";
                    "endpoint" => wire.id, "error" => format!("{error:#}"))
            }
        }
    }
    changes
}

fn decode_wire_endpoint(wire: &WireEndpoint, now: Time) -> anyhow::Result<Endpoint> {
    Ok(Endpoint {
        id: wire.id.parse()?,
        service: wire.service.parse()?,
        address: wire.address.parse::<SocketAddr>()?,
        data_centre: wire.data_centre.parse()?,
        slots: wire.slots.max(1),
        is_ready: wire.is_ready,
        cold_until: now + Duration::from_millis(wire.cold_ms),
        started_ms: wire.started_ms,
    })
}

/// Encodes this VM's state of the store, with only the endpoints that may get requests now.
pub fn encode_state(view: &FleetView) -> FleetState {
    let now = clock::now();
    let endpoints = view
        .endpoints
        .values()
        .flatten()
        .map(|endpoint| WireEndpoint {
            id: endpoint.id.to_string(),
            service: endpoint.service.to_string(),
            address: endpoint.address.to_string(),
            data_centre: endpoint.data_centre.to_string(),
            slots: endpoint.slots,
            is_ready: endpoint.is_ready,
            cold_ms: endpoint.cold_until.since(now).as_millis() as u64,
            started_ms: endpoint.started_ms,
        });
    FleetState {
        store_revision: view.store_revision,
        configuration: view
            .configuration
            .as_ref()
            .map(|configuration| configuration.document.clone())
            .unwrap_or_default(),
        evacuated: view.evacuated.iter().map(ToString::to_string).collect(),
        endpoints: endpoints.collect(),
    }
}
