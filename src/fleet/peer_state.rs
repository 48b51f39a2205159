//! Encodes and decodes the state of the platform's store that one VM sends to another that cannot
//! reach the store or whose watch lags.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slog::{Logger, warn};

use crate::decisions::store_view::{ScheduledEntry, SnapshotEntry, StoreSnapshot};
use crate::fleet::model::Endpoint;
use crate::fleet::wire::{FleetState, WireEndpoint, WireHeldEndpoint, WireHeldEvacuation};
use crate::platform::configuration::decode_configuration;
use crate::units::{StoreEra, StorePosition, Time};

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
    let endpoints = state.endpoints.iter().filter_map(decode_entry);
    let mut entries: BTreeMap<String, SnapshotEntry> =
        endpoints.map(|entry| (entry.id.clone(), entry)).collect();
    for held in &state.held_endpoints {
        let Some(listed) = held.endpoint.as_ref().and_then(decode_entry) else {
            continue;
        };
        let next = Some(ScheduledEntry {
            at: now + Duration::from_millis(held.used_in_ms),
            endpoint: listed.endpoint,
        });
        // One that drains is among the others too.
        let entry = entries.entry(listed.id.clone());
        let entry = entry.or_insert(SnapshotEntry {
            endpoint: None,
            next: None,
            ..listed
        });
        entry.next = next;
    }
    let held_evacuations = state.held_evacuations.into_iter();
    StoreSnapshot {
        position: StorePosition {
            era: state.era.map(StoreEra),
            revision,
        },
        configuration: configuration.map(Arc::new),
        evacuated: state.evacuated,
        held_evacuations: held_evacuations
            .map(|held| {
                let ends_in = Duration::from_millis(held.ends_in_ms);
                (held.data_centre, now + ends_in)
            })
            .collect(),
        entries: entries.into_values().collect(),
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
        id: wire.id.clone(),
        revision: match wire.revision {
            0 => state_revision,
            revision => revision,
        },
        endpoint: Some(Arc::new(endpoint)),
        next: wire.expires_in_ms.map(|expires_in_ms| ScheduledEntry {
            at: now + Duration::from_millis(expires_in_ms),
            endpoint: None,
        }),
    })
}

/// Encodes this VM's state of the store.
pub fn encode_state(now: Time, snapshot: &StoreSnapshot) -> FleetState {
    let encode_endpoint = |endpoint: &Endpoint, revision: u64| WireEndpoint {
        id: endpoint.id.to_string(),
        service: endpoint.service.to_string(),
        address: endpoint.address.to_string(),
        data_centre: endpoint.data_centre.to_string(),
        slots: endpoint.slots,
        is_ready: endpoint.is_ready,
        cold_ms: endpoint.cold_until.since(now).as_millis() as u64,
        started_ms: endpoint.started_ms,
        revision,
        expires_in_ms: None,
    };
    let mut state = FleetState {
        store_revision: snapshot.position.revision,
        era: snapshot.position.era.map(|era| era.0),
        configuration: snapshot
            .configuration
            .as_ref()
            .map(|configuration| configuration.document.clone())
            .unwrap_or_default(),
        evacuated: snapshot.evacuated.clone(),
        ..FleetState::default()
    };
    for entry in &snapshot.entries {
        let in_ms = |at: Time| at.since(now).as_millis() as u64;
        let expires_at = entry.next.as_ref().filter(|next| next.endpoint.is_none());
        if let Some(endpoint) = &entry.endpoint {
            state.endpoints.push(WireEndpoint {
                expires_in_ms: expires_at.map(|next| in_ms(next.at)),
                ..encode_endpoint(endpoint, entry.revision)
            });
        }
        if let Some(ScheduledEntry {
            at,
            endpoint: Some(listed),
        }) = &entry.next
        {
            state.held_endpoints.push(WireHeldEndpoint {
                endpoint: Some(encode_endpoint(listed, entry.revision)),
                used_in_ms: in_ms(*at),
            });
        }
    }
    let held_evacuations = snapshot.held_evacuations.iter();
    state.held_evacuations = held_evacuations
        .map(|(data_centre, ends_at)| WireHeldEvacuation {
            data_centre: data_centre.clone(),
            ends_in_ms: ends_at.since(now).as_millis() as u64,
        })
        .collect();
    state
}
