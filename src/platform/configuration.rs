//! Decodes the configuration document that the operator publishes in the platform's store.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context as _, ensure};
use bytes::Bytes;
use serde::{Deserialize, Deserializer};
use serde_json::Value;
use serde_json::value::RawValue;
use smallvec::SmallVec;

use crate::findings::Findings;
use crate::fleet::model::{
    BatchLimits, CallerLimits, Configuration, Organisation, Route, RouteKind, RouteStage, Service,
};
use crate::platform::object::parse_object;
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
struct Document<'a> {
    version: u64,
    /// The parts of the lists are decoded one by one, so that an odd one costs only itself.
    #[serde(borrow)]
    routes: Vec<&'a RawValue>,
    #[serde(borrow)]
    services: Vec<&'a RawValue>,
    limits: WireLimits,
    /// `None` only without the field: an empty list means that no key is valid.
    #[serde(borrow, default, deserialize_with = "list_of_tenants")]
    tenants: Option<Vec<&'a RawValue>>,
}

/// Decodes a list that must not be null, which would turn the check of keys off.
fn list_of_tenants<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<Vec<&'de RawValue>>, D::Error> {
    Vec::deserialize(deserializer).map(Some)
}

/// The requests that a route is for.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireRoutePlace {
    host: String,
    path_prefix: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireServiceName {
    name: String,
}

/// The requests that an organisation makes.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireTenantKeys {
    #[serde(default)]
    api_keys: Vec<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireRoute {
    /// Decoded leniently, because only logs use it.
    #[serde(default)]
    name: Value,
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
    gap_target_ms: Value,
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
    priority: Option<u8>,
}

/// Decodes a configuration document. A route, service or organisation that cannot be used costs only the requests that
/// it concerns, which are refused (`docs/platform.md`, "Odd parts of a configuration").
///
/// # Errors
///
/// Returns what is wrong with the document as a whole, or with a part of which it cannot be read whom it concerns. The
/// caller then keeps the configuration that is in force.
pub fn decode_configuration(document: Bytes) -> anyhow::Result<Configuration> {
    let decoded: Document<'_> =
        parse_object(&document).context("the configuration cannot be decoded")?;
    let mut findings = Findings::default();
    let services = decode_services(&decoded.services, &mut findings)?;
    let routes = decode_routes(&decoded.routes, &services, &mut findings)?;
    let tenants = decoded.tenants.as_deref();
    let keys = tenants.map(|tenants| decode_keys(tenants, &mut findings));
    let keys = keys.transpose()?.map(|keys| (keys.usable, keys.unusable));
    let (api_keys, unusable_keys) = keys.unzip();
    let limits = CallerLimits {
        max_header_bytes: decoded.limits.max_header_bytes,
        max_body_bytes: decoded.limits.max_body_bytes,
        header_timeout: Duration::from_millis(decoded.limits.header_timeout_ms),
        idle_timeout: Duration::from_millis(decoded.limits.idle_timeout_ms),
    };
    Ok(Configuration {
        version: decoded.version,
        routes,
        services: services.usable,
        api_keys,
        unusable_keys: unusable_keys.unwrap_or_default(),
        limits,
        findings,
        document,
    })
}

struct Services {
    usable: HashMap<ServiceName, Service>,
    /// Names of services whose limits cannot be read. Without them, their endpoints might get too many requests.
    unusable: HashSet<String>,
}

fn decode_services(parts: &[&RawValue], findings: &mut Findings) -> anyhow::Result<Services> {
    let mut services = Services {
        usable: HashMap::new(),
        unusable: HashSet::new(),
    };
    for (index, part) in parts.iter().enumerate() {
        let place = format!("Services[{index}]");
        let WireServiceName { name } = parse_object::<WireServiceName>(part.get().as_bytes())
            .with_context(|| place.clone())?;
        match parse_object::<WireService>(part.get().as_bytes()) {
            Ok(service) => {
                let service = decode_service(service);
                services.usable.insert(service.name.clone(), service);
            }
            Err(error) => {
                findings.add(place, error.to_string());
                services.unusable.insert(name);
            }
        }
    }
    Ok(services)
}

fn decode_routes(
    parts: &[&RawValue],
    services: &Services,
    findings: &mut Findings,
) -> anyhow::Result<HashMap<String, Vec<Arc<Route>>>> {
    let mut routes: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
    for (index, part) in parts.iter().enumerate() {
        let place = format!("Routes[{index}]");
        let requests =
            parse_object::<WireRoutePlace>(part.get().as_bytes()).with_context(|| place.clone())?;
        let decoded = parse_object::<WireRoute>(part.get().as_bytes()).map_err(anyhow::Error::from);
        let route = decoded.and_then(|route| {
            check_route(&route, services)?;
            Ok(decode_route(route))
        });
        let route = route.unwrap_or_else(|error| {
            findings.add(place, error.to_string());
            unusable_route(requests)
        });
        let host = route.host.clone();
        routes.entry(host).or_default().push(Arc::new(route));
    }
    for routes in routes.values_mut() {
        routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
    }
    Ok(routes)
}

fn check_route(route: &WireRoute, services: &Services) -> anyhow::Result<()> {
    let targets = route.split.iter().map(|target| &target.service);
    let stages = route.stages.iter().map(|stage| &stage.service);
    for service in targets.chain(&route.service).chain(stages) {
        ensure!(
            !services.unusable.contains(service.as_str()),
            "the service {service} cannot be used"
        );
    }
    check_stages(&route.stages)
}

/// Checks that the stages of a route can run one after the other, in whatever order they are listed.
fn check_stages(stages: &[WireStage]) -> anyhow::Result<()> {
    let mut has_run: SmallVec<[bool; 4]> = SmallVec::from_elem(false, stages.len());
    let can_run = |has_run: &[bool], number: usize| {
        let mut inputs = stages[number].after.iter();
        !has_run[number] && inputs.all(|input| has_run.get(*input) == Some(&true))
    };
    while let Some(number) = (0..stages.len()).find(|number| can_run(&has_run, *number)) {
        has_run[number] = true;
    }
    ensure!(
        !has_run.contains(&false),
        "a stage reads results of a stage that is not there, or stages read each other's"
    );
    Ok(())
}

struct Keys {
    /// Organisations by API key.
    usable: HashMap<String, Arc<Organisation>>,
    /// API keys of organisations that cannot be used.
    unusable: HashSet<String>,
}

fn decode_keys(parts: &[&RawValue], findings: &mut Findings) -> anyhow::Result<Keys> {
    let mut decoded = Keys {
        usable: HashMap::new(),
        unusable: HashSet::new(),
    };
    for (index, part) in parts.iter().enumerate() {
        let place = format!("Tenants[{index}]");
        let keys =
            parse_object::<WireTenantKeys>(part.get().as_bytes()).with_context(|| place.clone())?;
        match parse_object::<WireTenant>(part.get().as_bytes()) {
            Ok(tenant) => {
                let organisation = Arc::new(Organisation {
                    name: tenant.name,
                    priority: tenant.priority,
                });
                let keys = keys.api_keys.into_iter();
                let keys = keys.map(|key| (key, Arc::clone(&organisation)));
                decoded.usable.extend(keys);
            }
            Err(error) => {
                findings.add(place, error.to_string());
                decoded.unusable.extend(keys.api_keys);
            }
        }
    }
    Ok(decoded)
}

/// Returns a route that has no service, so that all its requests are refused, also those without a valid key. Without
/// it, a route with a shorter prefix would take them.
fn unusable_route(requests: WireRoutePlace) -> Route {
    Route {
        name: String::new(),
        host: requests.host.to_ascii_lowercase(),
        path_prefix: requests.path_prefix,
        kind: RouteKind::NonIdempotent,
        timeout: Duration::ZERO,
        objective: Duration::ZERO,
        priority: 0,
        targets: SmallVec::new(),
        max_attempts: 1,
        stages: SmallVec::new(),
        is_public: true,
        is_resumable: false,
        max_event_gap: None,
    }
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
    let mut targets: SmallVec<[(ServiceName, u32); 2]> = route
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
        name: route.name.as_str().unwrap_or_default().to_owned(),
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
