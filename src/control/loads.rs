//! Reads the load reports of the endpoints of which this VM is the allocator or on which it places
//! models.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::StatusCode;
use metrics::counter;
use serde::Deserialize;
use slog::debug;
use tokio::task::AbortHandle;
use tokio::time::{MissedTickBehavior, interval};

use crate::blackboard::EndpointLoad;
use crate::clock;
use crate::control::http::HttpReader;
use crate::control::state::Control;
use crate::decisions::ownership_keys::PLACEMENT_KEY;
use crate::decisions::placement::EngineReport;
use crate::manifest::StageKind;
use crate::units::{EndpointName, ModelName, Time};

/// Settings of load reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadsConfig {
    /// Interval between two reads from an endpoint.
    pub period: Duration,
    /// Timeout of a read.
    pub timeout: Duration,
    /// Maximum size of a report in bytes.
    pub size_limit_bytes: usize,
}

impl Default for LoadsConfig {
    fn default() -> Self {
        Self {
            period: Duration::from_millis(500),
            timeout: Duration::from_millis(400),
            size_limit_bytes: 64 * 1024,
        }
    }
}

/// Body of the reply to `GET /load`. Fields that other versions of an endpoint add are ignored.
#[derive(Debug, Deserialize)]
struct LoadReport {
    state: ReportedState,
    running: u32,
    queued: u32,
    #[serde(default)]
    models: Vec<String>,
    /// Models that the endpoint is loading, or `None` from an endpoint that does not report them.
    loading: Option<Vec<String>>,
}

/// Returns the models that a manifest can name. An endpoint may have others too.
fn readable_models(names: &[String]) -> Vec<ModelName> {
    names.iter().filter_map(|name| name.parse().ok()).collect()
}

#[derive(Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum ReportedState {
    Warm,
    Cold,
}

/// Address and task of the reader of each endpoint.
type Readers = HashMap<EndpointName, (SocketAddr, AbortHandle)>;

/// Keeps one reader task running for each endpoint of which this VM is the allocator or on which
/// it places models, until the task is dropped.
pub async fn read_loads(control: Rc<Control>) {
    let mut readers = Readers::new();
    let mut ticks = interval(control.config.loads.period);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        sync_readers(&control, &mut readers);
    }
}

fn sync_readers(control: &Rc<Control>, readers: &mut Readers) {
    let watched = watched_endpoints(control);
    readers.retain(|endpoint, (address, task)| {
        let keep = watched.get(endpoint) == Some(address);
        if !keep {
            task.abort();
        }
        keep
    });
    for (endpoint, address) in watched {
        readers.entry(endpoint.clone()).or_insert_with(|| {
            let task = tokio::task::spawn_local(read_endpoint(control.clone(), endpoint, address));
            (address, task.abort_handle())
        });
    }
}

fn watched_endpoints(control: &Control) -> HashMap<EndpointName, SocketAddr> {
    let now = clock::now();
    let mut state = control.state.borrow_mut();
    let Some(catalogue) = state.catalogue.clone() else {
        return HashMap::new();
    };
    let endpoints = catalogue.manifest.endpoints.iter();
    // The owner of placement needs to know the models of every engine.
    let me = Some(&control.context.vm);
    let owns_placement = state.membership.owner_of(now, PLACEMENT_KEY).as_ref() == me;
    let watched = endpoints.filter(|endpoint| {
        let is_placed = owns_placement && endpoint.kind == StageKind::Generate;
        is_placed || state.allocator_of(now, &endpoint.name).as_ref() == me
    });
    watched
        .map(|endpoint| (endpoint.name.clone(), endpoint.address))
        .collect()
}

async fn read_endpoint(control: Rc<Control>, endpoint: EndpointName, address: SocketAddr) {
    let config = control.config.loads;
    let mut http = HttpReader::new(address, "load", config.size_limit_bytes);
    let mut ticks = interval(config.period);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let asked_at = clock::now();
        let report = match http.get("/load", config.timeout).await {
            Ok(reply) if reply.status == StatusCode::OK => {
                serde_json::from_slice::<LoadReport>(&reply.body).map_err(|error| error.to_string())
            }
            Ok(reply) => Err(reply.status.to_string()),
            Err(error) => Err(error.to_string()),
        };
        match report {
            Ok(report) => handle_load_report(&control, &endpoint, address, asked_at, report),
            Err(error) => {
                counter!("primrosewalk_control_load_failures_total").increment(1);
                debug!(
                    control.logger(),
                    "slots: load report of {endpoint} not read: {error}"
                );
            }
        }
    }
}

/// Handles a report that was asked for at `read_at` from `address`. Another endpoint may run there if the manifest has moved
/// this one meanwhile.
fn handle_load_report(
    control: &Control,
    endpoint: &EndpointName,
    address: SocketAddr,
    read_at: Time,
    report: LoadReport,
) {
    if !control.state.borrow().is_at(endpoint, address) {
        return;
    }
    let cold = report.state == ReportedState::Cold;
    let load = EndpointLoad {
        read_at,
        cold,
        running: report.running,
        queued: report.queued,
        models: readable_models(&report.models),
    };
    let mut state = control.state.borrow_mut();
    if state.allocates(read_at, endpoint) {
        state.allocator.on_load(clock::now(), endpoint, &load);
    }
    // An engine that does not report what it is loading is assumed to carry out its orders.
    let loading = report.loading.as_deref().map(readable_models);
    let loading = loading.unwrap_or_else(|| state.placement.ordered_loads(endpoint));
    let report = EngineReport {
        read_at,
        loaded: load.models.clone(),
        loading,
        fencing: None,
    };
    state.placement.on_report(endpoint, report);
    state.loads.insert(endpoint.clone(), load);
    drop(state);
    if cold {
        control.handle_cold_sign(endpoint, "load report");
    }
}
