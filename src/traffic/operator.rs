//! HTTP interface for operators: metrics, health, status and decisions (`docs/design.md`, 6).

use std::sync::Arc;

use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use serde::Serialize;

use crate::blackboard::{Catalogue, Snapshot};
use crate::clock;
use crate::manifest::{Endpoint, VmState};
use crate::query::{path_text, value_of};
use crate::status::{CircuitStatus, EndpointStatus, OrganisationStatus, PeerStatus, Status};
use crate::traffic::api_key::ConnectionApiKeys;
use crate::traffic::http_body::{self, Answer};
use crate::traffic::metric;
use crate::traffic::state::Traffic;
use crate::units::Time;

/// Maximum number of decisions in one answer to `/v1/decisions`.
const MAX_DECISIONS_PER_ANSWER: usize = 1000;

/// Serves one HTTP request of an operator.
pub async fn serve_operator(
    traffic: Arc<Traffic>,
    _: Arc<ConnectionApiKeys>,
    request: Request<Incoming>,
) -> Answer {
    if request.method() != Method::GET {
        return http_body::text(StatusCode::METHOD_NOT_ALLOWED, "only GET is served\n");
    }
    let decisions = &traffic.context.decisions;
    match request.uri().path() {
        "/metrics" => serve_metrics(&traffic),
        "/healthz" => http_body::text(StatusCode::OK, "ok\n"),
        "/readyz" => serve_readiness(&traffic),
        "/v1/status" => http_body::json(StatusCode::OK, &build_status(&traffic)),
        "/v1/decisions" => match parse_after(request.uri().query()) {
            Ok(after) => http_body::json(
                StatusCode::OK,
                &decisions.after(after, MAX_DECISIONS_PER_ANSWER),
            ),
            Err(problem) => http_body::text(StatusCode::BAD_REQUEST, problem),
        },
        path => match path.strip_prefix("/v1/explain/") {
            Some(id) => http_body::json(StatusCode::OK, &decisions.for_request(&path_text(id))),
            None => http_body::text(StatusCode::NOT_FOUND, format!("nothing is at {path}\n")),
        },
    }
}

/// Reads the sequence number `after` from a query, 0 if it is missing.
fn parse_after(query: Option<&str>) -> Result<u64, &'static str> {
    let Some(value) = value_of(query.unwrap_or_default(), "after") else {
        return Ok(0);
    };
    value
        .parse()
        .map_err(|_| "after is not a sequence number\n")
}

fn serve_metrics(traffic: &Traffic) -> Answer {
    metrics::gauge!(metric::RUNNING_REQUESTS).set(traffic.runs.len() as f64);
    match &traffic.config.metrics {
        Some(handle) => http_body::with_body(
            StatusCode::OK,
            "text/plain; version=0.0.4; charset=utf-8",
            handle.render(),
        ),
        None => http_body::text(StatusCode::NOT_FOUND, "no metrics recorder is installed\n"),
    }
}

#[derive(Serialize)]
struct Readiness {
    ready: bool,
    reasons: Vec<&'static str>,
}

fn serve_readiness(traffic: &Traffic) -> Answer {
    let snapshot = traffic.context.snapshot.load();
    let conditions = [
        (snapshot.catalogue.is_none(), "no manifest is in force"),
        (snapshot.vms.vms.is_empty(), "no VM list is in force"),
        (
            clock::now() >= snapshot.lease_until,
            "no majority acknowledges this VM",
        ),
        (snapshot.grants.is_empty(), "no slots are granted yet"),
        (traffic.is_stopping(), "a planned stop began"),
    ];
    let failed = conditions.into_iter().filter(|(has_failed, _)| *has_failed);
    let reasons: Vec<&str> = failed.map(|(_, reason)| reason).collect();
    let ready = reasons.is_empty();
    let status = if ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    http_body::json(status, &Readiness { ready, reasons })
}

fn build_status(traffic: &Traffic) -> Status {
    let snapshot = traffic.context.snapshot.load_full();
    let now = clock::now();
    let catalogue = snapshot.catalogue.as_deref();
    let endpoints =
        catalogue.map(|catalogue| endpoint_statuses(traffic, &snapshot, catalogue, now));
    Status {
        vm: traffic.context.vm.clone(),
        incarnation: traffic.context.incarnation,
        data_centre: traffic.context.data_centre.clone(),
        stopping: traffic.is_stopping(),
        has_lease: clock::now() < snapshot.lease_until,
        manifest_version: catalogue.map(|catalogue| catalogue.manifest.version),
        list_version: snapshot.vms.version,
        api_keys_fresh: now < snapshot.api_keys_fresh_until,
        running_requests: traffic.runs.len(),
        peers: peer_statuses(&snapshot),
        endpoints: endpoints.unwrap_or_default(),
        organisations: organisation_statuses(traffic),
    }
}

fn peer_statuses(snapshot: &Snapshot) -> Vec<PeerStatus> {
    let vms = snapshot.vms.vms.iter();
    vms.map(|vm| PeerStatus {
        vm: vm.id.clone(),
        data_centre: vm.data_centre.clone(),
        caller_address: vm.caller_address,
        leaving: vm.state == VmState::Leaving,
        absent: snapshot.absent_vms.contains(&vm.id),
        silent: snapshot.silent_vms.contains(&vm.id),
    })
    .collect()
}

fn endpoint_statuses(
    traffic: &Traffic,
    snapshot: &Snapshot,
    catalogue: &Catalogue,
    now: Time,
) -> Vec<EndpointStatus> {
    let endpoints = catalogue.manifest.endpoints.iter();
    endpoints
        .map(|endpoint| endpoint_status(traffic, snapshot, catalogue, endpoint, now))
        .collect()
}

fn endpoint_status(
    traffic: &Traffic,
    snapshot: &Snapshot,
    catalogue: &Catalogue,
    endpoint: &Endpoint,
    now: Time,
) -> EndpointStatus {
    let (in_flight, allows_attempt) = traffic.router.endpoint_state(now, &endpoint.name);
    let grant = snapshot.grants.get(&endpoint.name);
    let valid_grant = grant.filter(|grant| now < grant.valid_until);
    EndpointStatus {
        endpoint: endpoint.name.clone(),
        service: endpoint.service.clone(),
        data_centre: endpoint.data_centre.clone(),
        state: endpoint.state,
        in_service: catalogue.in_service(&endpoint.data_centre),
        granted_slots: valid_grant.map_or(0, |grant| grant.slots),
        slots: endpoint.slots,
        in_flight,
        circuit: if allows_attempt {
            CircuitStatus::Closed
        } else {
            CircuitStatus::Open
        },
        cold: snapshot.loads.get(&endpoint.name).map(|load| load.cold),
    }
}

fn organisation_statuses(traffic: &Traffic) -> Vec<OrganisationStatus> {
    let counts = traffic.counts().into_iter();
    let mut statuses: Vec<OrganisationStatus> = counts
        .map(|(organisation, counts)| OrganisationStatus {
            organisation,
            admitted: counts.admitted,
            refused: counts.refused,
        })
        .collect();
    statuses.sort_by(|left, right| left.organisation.cmp(&right.organisation));
    statuses
}
