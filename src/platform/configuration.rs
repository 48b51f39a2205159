//! Decodes the configuration document that the operator publishes in the platform's store.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context as _;
use bytes::Bytes;
use serde::{Deserialize, Deserializer};

use crate::fleet::model::{
    BatchLimits, CallerLimits, Configuration, Organisation, Route, RouteKind, RouteStage, Service,
};
use crate::units::{OrganisationName, ServiceName};

/// Longest duration that a configuration may give, in milliseconds: a day.
const MAX_DURATION_MS: f64 = 86_400_000.0;
/// Minimum time that a caller waits for the next event of a stream, in milliseconds. This and the two multiples
/// below are the platform's rule for its callers (`docs/platform.md`, "Requests").
const MIN_EVENT_GAP_MS: f64 = 2_000.0;
/// Time that a caller waits for the next event, as a multiple of the objective of the route.
const EVENT_GAP_OBJECTIVES: f64 = 4.0;
/// Time that a caller waits for the next event, as a multiple of the longest pause with which a stream is
/// still on time.
const EVENT_GAP_TARGET_PAUSES: f64 = 8.0;
/// Bytes in a megabyte, as the platform's documents use the word.
const MEGABYTE_BYTES: f64 = 1e6;

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Document {
    version: u64,
    routes: Vec<WireRoute>,
    services: Vec<WireService>,
    limits: WireLimits,
    /// `None` only without the field: an empty list means that no key is valid.
    #[serde(default, deserialize_with = "list_of_tenants")]
    tenants: Option<Vec<WireTenant>>,
}

/// Decodes a list that must not be null, which would turn the check of keys off.
fn list_of_tenants<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<Vec<WireTenant>>, D::Error> {
    Vec::deserialize(deserializer).map(Some)
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireRoute {
    #[serde(default)]
    name: String,
    host: String,
    path_prefix: String,
    route_kind: WireRouteKind,
    timeout_ms: f64,
    #[serde(default)]
    target_latency_ms: f64,
    #[serde(default)]
    priority: u8,
    #[serde(default)]
    service: Option<ServiceName>,
    #[serde(default)]
    split: Vec<WireTarget>,
    #[serde(default = "one_attempt")]
    max_attempts: u32,
    #[serde(default)]
    stages: Vec<WireStage>,
    #[serde(default)]
    public: bool,
    #[serde(default)]
    resumable: bool,
    /// Longest pause between events with which a stream is on time. It is decoded leniently because only
    /// streams use it, and a route works without it.
    #[serde(default)]
    gap_target_ms: serde_json::Value,
}

fn one_attempt() -> u32 {
    1
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "snake_case")]
enum WireRouteKind {
    Idempotent,
    NonIdempotent,
    Streaming,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireTarget {
    service: ServiceName,
    weight: u32,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireStage {
    service: ServiceName,
    #[serde(default)]
    after: Vec<usize>,
    #[serde(default)]
    payload_size: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireService {
    name: ServiceName,
    #[serde(default)]
    cold_per_s: f64,
    #[serde(default)]
    pieces: Option<WireBatching>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireBatching {
    slots: u32,
    batch: usize,
    call_ms: f64,
    item_ms: f64,
    headroom_mb: f64,
    handle_ttl_s: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireLimits {
    max_header_bytes: usize,
    max_body_bytes: usize,
    header_timeout_ms: u64,
    idle_timeout_ms: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireTenant {
    name: OrganisationName,
    #[serde(default)]
    api_keys: Vec<String>,
    #[serde(default)]
    priority: Option<u8>,
}

/// Decodes a configuration document.
///
/// # Errors
///
/// Returns what is wrong with the document. The caller then keeps the configuration that is in
/// force.
pub fn decode_configuration(document: Bytes) -> anyhow::Result<Configuration> {
    let decoded: Document =
        serde_json::from_slice(&document).context("the configuration cannot be decoded")?;
    let mut routes: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
    for route in decoded.routes {
        let host = route.host.to_ascii_lowercase();
        routes
            .entry(host)
            .or_default()
            .push(Arc::new(decode_route(route)));
    }
    for routes in routes.values_mut() {
        routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
    }
    let limits = CallerLimits {
        max_header_bytes: decoded.limits.max_header_bytes,
        max_body_bytes: decoded.limits.max_body_bytes,
        header_timeout: Duration::from_millis(decoded.limits.header_timeout_ms),
        idle_timeout: Duration::from_millis(decoded.limits.idle_timeout_ms),
    };
    let services = decoded.services.into_iter().map(decode_service);
    Ok(Configuration {
        version: decoded.version,
        routes,
        services: services
            .map(|service| (service.name.clone(), service))
            .collect(),
        api_keys: decoded.tenants.map(index_api_keys),
        limits,
        document,
    })
}

fn index_api_keys(tenants: Vec<WireTenant>) -> HashMap<String, Arc<Organisation>> {
    let mut api_keys = HashMap::new();
    for tenant in tenants {
        let organisation = Arc::new(Organisation {
            name: tenant.name,
            priority: tenant.priority,
        });
        for key in tenant.api_keys {
            api_keys.insert(key, Arc::clone(&organisation));
        }
    }
    api_keys
}

/// Returns how long callers of a route wait for the next event of a stream (`docs/platform.md`, "Requests").
fn decode_event_gap(route: &WireRoute) -> Option<Duration> {
    let WireRouteKind::Streaming = route.route_kind else {
        return None;
    };
    let target_pause_ms = route.gap_target_ms.as_f64().filter(|ms| *ms >= 0.0)?;
    let gap_ms = MIN_EVENT_GAP_MS
        .max(route.target_latency_ms * EVENT_GAP_OBJECTIVES)
        .max(target_pause_ms * EVENT_GAP_TARGET_PAUSES);
    Some(duration_from_ms(gap_ms))
}

fn decode_route(route: WireRoute) -> Route {
    let max_event_gap = decode_event_gap(&route);
    let mut targets: smallvec::SmallVec<[(ServiceName, u32); 2]> = route
        .split
        .into_iter()
        .map(|target| (target.service, target.weight))
        .collect();
    if let Some(service) = route.service {
        targets.push((service, 1));
    }
    let stages = route.stages.into_iter().map(|stage| RouteStage {
        service: stage.service,
        after: stage.after.into(),
        result_bytes: stage.payload_size.max(0.0) as u64,
    });
    Route {
        name: route.name,
        host: route.host.to_ascii_lowercase(),
        path_prefix: route.path_prefix,
        kind: match route.route_kind {
            WireRouteKind::Idempotent => RouteKind::Idempotent,
            WireRouteKind::NonIdempotent => RouteKind::NonIdempotent,
            WireRouteKind::Streaming => RouteKind::Streaming,
        },
        timeout: duration_from_ms(route.timeout_ms),
        objective: duration_from_ms(route.target_latency_ms),
        priority: route.priority,
        targets,
        max_attempts: route.max_attempts.max(1),
        stages: stages.collect(),
        is_public: route.public,
        is_resumable: route.resumable,
        max_event_gap,
    }
}

fn decode_service(service: WireService) -> Service {
    let batching = service.pieces.map(|pieces| BatchLimits {
        slots: pieces.slots.max(1),
        max_batch_items: pieces.batch.max(1),
        call_overhead_ms: pieces.call_ms.clamp(0.0, MAX_DURATION_MS),
        item_ms: pieces.item_ms.clamp(0.0, MAX_DURATION_MS),
        result_memory_bytes: (pieces.headroom_mb.max(0.0) * MEGABYTE_BYTES) as u64,
        result_ttl: duration_from_ms(pieces.handle_ttl_s * 1_000.0),
    });
    Service {
        name: service.name,
        cold_requests_per_s: service.cold_per_s,
        batching,
    }
}

/// Converts milliseconds to a duration between zero and a day.
fn duration_from_ms(value: f64) -> Duration {
    Duration::from_secs_f64(value.clamp(0.0, MAX_DURATION_MS) / 1_000.0)
}
